package fairqueue

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func digestOf(tickets ...Ticket) Digest {
	var d Digest
	for _, t := range tickets {
		d.Add(t.Request, t.Attempt)
	}
	return d
}

// Guards against a digest that depends on the order, or that doesn't tell sets
// with the same number of tickets apart.
func TestDigest(t *testing.T) {
	a, b := ticket("a", "t", 1, 0), ticket("b", "t", 1, 0)
	again := a
	again.Attempt = 2
	must.Eq(t, digestOf(a, b), digestOf(b, a))
	must.NotEq(t, digestOf(a), digestOf(b))
	must.NotEq(t, digestOf(a), digestOf(again))
	must.NotEq(t, digestOf(a, a), digestOf(b, b))
	d := digestOf(a, b)
	d.remove("a", 1)
	must.Eq(t, digestOf(b), d)
}

// Guards against an owner that misses a lost ticket, and against full syncs
// that a lost, doubled, overtaken or crossing digest doesn't need.
func TestCompare(t *testing.T) {
	a, b, c := ticket("a", "t", 1, 0), ticket("b", "t", 1, 0), ticket("c", "t", 1, 0)
	again := a
	again.Attempt = 2
	sync := func(sequence uint64, full bool, tickets ...Ticket) func(*Queue) {
		return func(q *Queue) { q.Sync(at(1), "r1", "ri1", sequence, tickets, full) }
	}
	compare := func(sequence uint64, tickets ...Ticket) func(*Queue) bool {
		return func(q *Queue) bool {
			q.Sync(at(1), "r1", "ri1", sequence, nil, false)
			return q.Compare(at(1), "r1", "ri1", sequence, digestOf(tickets...))
		}
	}
	ignore := func(f func(*Queue) bool) func(*Queue) { return func(q *Queue) { f(q) } }
	grant := func(q *Queue) {
		q.Report(at(1), report("e", 1, "t1", "t2"))
		must.Len(t, 2, grantAll(q, at(1), one))
	}
	cases := map[string]struct {
		before []func(*Queue)
		last   func(*Queue) bool
		want   bool
	}{
		"agrees":                    {[]func(*Queue){sync(1, true, a, b)}, compare(2, b, a), false},
		"owner knows nothing":       {nil, compare(1, a), true},
		"nothing waits":             {nil, compare(1), false},
		"owner lost a ticket":       {[]func(*Queue){sync(1, true, b)}, compare(2, a, b), true},
		"owner holds too many":      {[]func(*Queue){sync(1, true, a, b)}, compare(2, a), true},
		"other attempt":             {[]func(*Queue){sync(1, true, a)}, compare(2, again), true},
		"enqueue lost":              {[]func(*Queue){sync(1, true, a)}, compare(3, a, b), true},
		"enqueue late":              {[]func(*Queue){sync(1, true, a), ignore(compare(3, a, b)), sync(2, false, b)}, compare(4, a, b), false},
		"crossed by an enqueue":     {[]func(*Queue){sync(1, true, a), sync(3, false, b)}, compare(2, a), false},
		"crossed by a full sync":    {[]func(*Queue){sync(3, true, a, b)}, compare(2, a), false},
		"doubled":                   {[]func(*Queue){sync(1, true, a), ignore(compare(2, a))}, compare(2, a), false},
		"doubled around an enqueue": {[]func(*Queue){sync(1, true, a), ignore(compare(2, a)), sync(3, false, b)}, compare(2, a), false},
		"enqueue after its digest":  {[]func(*Queue){sync(1, true, a), ignore(compare(3, a)), sync(2, false, b)}, compare(4, a), false},
		"grants on their way":       {[]func(*Queue){sync(1, true, a, b, c), grant}, compare(2, a, b, c), false},
		"one grant on its way":      {[]func(*Queue){sync(1, true, a, b, c), grant}, compare(2, b, c), false},
		"grants arrived":            {[]func(*Queue){sync(1, true, a, b, c), grant}, compare(2, c), false},
		"lost beside a grant":       {[]func(*Queue){sync(1, true, a, b), grant}, compare(2, b, c), true},
		"later attempt of a grant":  {[]func(*Queue){sync(1, true, a, b), grant}, compare(2, again), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{}, "e")
			for _, f := range c.before {
				f(q)
			}
			must.Eq(t, c.want, c.last(q))
		})
	}
}

// Guards against digests that stay wrong after tickets left the queue, so that
// every digest leads to a full sync.
func TestDigestFollowsTheTable(t *testing.T) {
	q := newQueue(Options{}, "e")
	var tickets []Ticket
	for i := range 20 {
		tickets = append(tickets, ticket(fmt.Sprint("r", i), fmt.Sprint("t", i%3), 1, 0))
	}
	q.Sync(at(1), "r1", "ri1", 1, tickets, true)
	q.Withdraw(at(1), "r1", "ri1", []string{"r0", "r1"})
	q.Sync(at(1), "r1", "ri1", 2, tickets[3:], true)
	must.False(t, q.Compare(at(1), "r1", "ri1", 2, Digest{}))
	q.Sync(at(1), "r1", "ri1", 3, nil, false)
	must.False(t, q.Compare(at(1), "r1", "ri1", 3, digestOf(tickets[3:]...)))
	// Another instance at the address has no tickets.
	q.Sync(at(2), "r1", "ri2", 1, nil, false)
	must.False(t, q.Compare(at(2), "r1", "ri2", 1, Digest{}))
	must.False(t, q.Compare(at(2), "r1", "ri1", 4, digestOf(tickets...)))
	// The owner forgets silent routers, and with them what it held.
	q.Sync(at(2), "r1", "ri2", 2, tickets[:1], true)
	q.Expire(at(5_003))
	q.Sync(at(5_003), "r1", "ri2", 3, nil, false)
	must.True(t, q.Compare(at(5_003), "r1", "ri2", 3, digestOf(tickets[0])))
}
