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

// Guards against a digest that depends on the order of the tickets, or that is
// equal for different sets with the same number of tickets.
func TestDigestIdentifiesSetOfTickets(t *testing.T) {
	a, b := ticket("a", "t", 1, 0), ticket("b", "t", 1, 0)
	retried := a
	retried.Attempt = 2
	must.Eq(t, digestOf(a, b), digestOf(b, a))
	must.NotEq(t, digestOf(a), digestOf(b))
	must.NotEq(t, digestOf(a), digestOf(retried))
	must.NotEq(t, digestOf(a, a), digestOf(b, b))
	d := digestOf(a, b)
	d.remove("a", 1)
	must.Eq(t, digestOf(b), d)
}

// Guards against an owner that does not notice a lost ticket, and against unneeded
// full syncs after a digest that was lost, duplicated, reordered or sent while
// other messages were in transit.
func TestCompareRequestsOnlyNeededSyncs(t *testing.T) {
	a, b, c := ticket("a", "t", 1, 0), ticket("b", "t", 1, 0), ticket("c", "t", 1, 0)
	retried := a
	retried.Attempt = 2
	sync := func(sequence uint64, full bool, tickets ...Ticket) func(*Queue) {
		return func(q *Queue) { q.Sync(atMs(1), "r1", "ri1", sequence, tickets, full) }
	}
	compare := func(sequence uint64, tickets ...Ticket) func(*Queue) bool {
		return func(q *Queue) bool {
			q.Sync(atMs(1), "r1", "ri1", sequence, nil, false)
			return q.CompareDigest(atMs(1), "r1", "ri1", sequence, digestOf(tickets...))
		}
	}
	ignore := func(f func(*Queue) bool) func(*Queue) { return func(q *Queue) { f(q) } }
	grant := func(q *Queue) {
		q.Report(atMs(1), report("e", 1, "t1", "t2"))
		must.Len(t, 2, grantAll(q, atMs(1), unitWeight))
	}
	cases := map[string]struct {
		before []func(*Queue)
		last   func(*Queue) bool
		want   bool
	}{
		"matches":                        {[]func(*Queue){sync(1, true, a, b)}, compare(2, b, a), false},
		"owner has no tickets":           {nil, compare(1, a), true},
		"no tickets":                     {nil, compare(1), false},
		"owner lost a ticket":            {[]func(*Queue){sync(1, true, b)}, compare(2, a, b), true},
		"owner has extra tickets":        {[]func(*Queue){sync(1, true, a, b)}, compare(2, a), true},
		"other attempt":                  {[]func(*Queue){sync(1, true, a)}, compare(2, retried), true},
		"enqueue lost":                   {[]func(*Queue){sync(1, true, a)}, compare(3, a, b), true},
		"enqueue late":                   {[]func(*Queue){sync(1, true, a), ignore(compare(3, a, b)), sync(2, false, b)}, compare(4, a, b), false},
		"digest after a later enqueue":   {[]func(*Queue){sync(1, true, a), sync(3, false, b)}, compare(2, a), false},
		"digest after a later full sync": {[]func(*Queue){sync(3, true, a, b)}, compare(2, a), false},
		"duplicate digest":               {[]func(*Queue){sync(1, true, a), ignore(compare(2, a))}, compare(2, a), false},
		"duplicate around an enqueue":    {[]func(*Queue){sync(1, true, a), ignore(compare(2, a)), sync(3, false, b)}, compare(2, a), false},
		"enqueue after its digest":       {[]func(*Queue){sync(1, true, a), ignore(compare(3, a)), sync(2, false, b)}, compare(4, a), false},
		"grants in dispatch":             {[]func(*Queue){sync(1, true, a, b, c), grant}, compare(2, a, b, c), false},
		"one grant in dispatch":          {[]func(*Queue){sync(1, true, a, b, c), grant}, compare(2, b, c), false},
		"grants arrived":                 {[]func(*Queue){sync(1, true, a, b, c), grant}, compare(2, c), false},
		"lost ticket and a grant":        {[]func(*Queue){sync(1, true, a, b), grant}, compare(2, b, c), true},
		"later attempt of a grant":       {[]func(*Queue){sync(1, true, a, b), grant}, compare(2, retried), true},
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

// Guards against digests that stay wrong after tickets leave the queue, so that
// every digest causes a full sync.
func TestDigestTracksRemovedTickets(t *testing.T) {
	q := newQueue(Options{}, "e")
	var tickets []Ticket
	for i := range 20 {
		tickets = append(tickets, ticket(fmt.Sprint("r", i), fmt.Sprint("t", i%3), 1, 0))
	}
	q.Sync(atMs(1), "r1", "ri1", 1, tickets, true)
	q.Withdraw(atMs(1), "r1", "ri1", []string{"r0", "r1"})
	q.Sync(atMs(1), "r1", "ri1", 2, tickets[3:], true)
	must.False(t, q.CompareDigest(atMs(1), "r1", "ri1", 2, Digest{}))
	q.Sync(atMs(1), "r1", "ri1", 3, nil, false)
	must.False(t, q.CompareDigest(atMs(1), "r1", "ri1", 3, digestOf(tickets[3:]...)))
	// Another instance at the address has no tickets.
	q.Sync(atMs(2), "r1", "ri2", 1, nil, false)
	must.False(t, q.CompareDigest(atMs(2), "r1", "ri2", 1, Digest{}))
	must.False(t, q.CompareDigest(atMs(2), "r1", "ri1", 4, digestOf(tickets...)))
	// The owner drops a router that sends no messages, together with its tickets.
	q.Sync(atMs(2), "r1", "ri2", 2, tickets[:1], true)
	q.Tick(atMs(5_003))
	q.Sync(atMs(5_003), "r1", "ri2", 3, nil, false)
	must.True(t, q.CompareDigest(atMs(5_003), "r1", "ri2", 3, digestOf(tickets[0])))
}
