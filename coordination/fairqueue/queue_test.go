package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func one(string) uint64 { return 1 }

func ticket(request, team string, hint uint64, queuedMs int) Ticket {
	return Ticket{
		Request:        request,
		Attempt:        1,
		Team:           team,
		Router:         "r1",
		RouterInstance: "ri1",
		Hint:           hint,
		QueuedAt:       at(queuedMs),
	}
}

func report(endpoint string, sequence uint64, tokens ...string) Report {
	return Report{
		Endpoint:   endpoint,
		Instance:   "i-" + endpoint,
		Address:    "a-" + endpoint,
		Zone:       "z-" + endpoint,
		Sequence:   sequence,
		FreeTokens: tokens,
		Full:       true,
		Capacity:   uint32(len(tokens)),
	}
}

func newQueue(opts Options, endpoints ...string) *Queue {
	q := New(start, opts)
	var list []Endpoint
	for _, e := range endpoints {
		list = append(list, Endpoint{Name: e})
	}
	q.SetEndpoints(list)
	return q
}

func grantAll(q *Queue, now time.Time, weight func(string) uint64) []Grant {
	var out []Grant
	for {
		g, ok := q.Next(now, weight)
		if !ok {
			return out
		}
		out = append(out, g)
	}
}

func requests(grants []Grant) []string {
	var out []string
	for _, g := range grants {
		out = append(out, g.Ticket.Request)
	}
	return out
}

// Guards against an order that ignores weights, hints or the tie rule.
func TestOrder(t *testing.T) {
	weights := func(team string) uint64 { return map[string]uint64{"a": 1, "b": 2}[team] }
	cases := map[string]struct {
		ordering Ordering
		want     []string
	}{
		"fair":        {Fair, []string{"a1", "b1", "b2", "a2", "b3", "b4"}},
		"fcfs":        {FCFS, []string{"b4", "b3", "b2", "b1", "a2", "a1"}},
		"router-fair": {RouterFair, []string{"a1", "b1", "b2", "a2", "b3", "b4"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{Ordering: c.ordering}, "e")
			queued := map[string]int{"a1": -10, "a2": -20, "b1": -30, "b2": -40, "b3": -50, "b4": -60}
			for _, id := range []string{"a1", "a2", "b1", "b2", "b3", "b4"} {
				tk := ticket(id, id[:1], 10, queued[id])
				if c.ordering != FCFS {
					tk.QueuedAt = at(-60 + int(id[1]))
				}
				must.True(t, q.Enqueue(at(0), tk))
			}
			q.Report(at(1), report("e", 1, "t1", "t2", "t3", "t4", "t5", "t6"))
			must.Eq(t, c.want, requests(grantAll(q, at(2), weights)))
		})
	}
}

// Guards against a baseline that isn't a round robin over the entry routers.
func TestRouterFairTakesRoutersInTurn(t *testing.T) {
	q := newQueue(Options{Ordering: RouterFair}, "e")
	for i := range 4 {
		tk := ticket(fmt.Sprint("x", i), "a", 1, -10)
		must.True(t, q.Enqueue(at(0), tk))
	}
	tk := ticket("y", "b", 1, -1)
	tk.Router, tk.RouterInstance = "r2", "ri2"
	must.True(t, q.Enqueue(at(0), tk))
	q.Report(at(1), report("e", 1, "t1", "t2", "t3"))
	must.Eq(t, []string{"x0", "y", "x1"}, requests(grantAll(q, at(2), one)))
}

// Guards against credit for a team that had nothing to do, and against
// charging it twice.
func TestIdleTeamEarnsNoCredit(t *testing.T) {
	q := newQueue(Options{}, "e")
	for i := range 100 {
		q.Enqueue(at(0), ticket(fmt.Sprint("a", i), "a", 10, 0))
	}
	seq := uint64(1)
	serve := func(now, n int) []string {
		seq++
		r := report("e", seq)
		for i := range n {
			r.FreeTokens = append(r.FreeTokens, fmt.Sprint("t", seq, "-", i))
		}
		r.Counters = []Counter{{Team: "a", Cost: seq * 50, Normalized: seq * 50 * millionths}}
		q.Report(at(now), r)
		return requests(grantAll(q, at(now), one))
	}
	serve(1, 5)
	serve(2, 5)
	q.Enqueue(at(3), ticket("late", "late", 10, 3))
	q.Enqueue(at(3), ticket("late2", "late", 10, 3))
	q.Enqueue(at(3), ticket("late3", "late", 10, 3))
	got := serve(4, 4)
	must.SliceContains(t, got, "late")
	must.SliceNotContains(t, got, "late3", must.Sprint("the late team got credit for its silence"))
}

// Guards against tokens that are granted while stale, draining or superseded.
func TestTokensThatMustNotBeGranted(t *testing.T) {
	cases := map[string]func(q *Queue) time.Time{
		"stale": func(q *Queue) time.Time {
			q.Report(at(0), report("e", 1, "t"))
			return at(1501)
		},
		"agent drains": func(q *Queue) time.Time {
			r := report("e", 1, "t")
			r.Draining = true
			q.Report(at(0), r)
			return at(1)
		},
		"object drains": func(q *Queue) time.Time {
			q.Report(at(0), report("e", 1, "t"))
			q.SetEndpoints([]Endpoint{{Name: "e", Draining: true}})
			return at(1)
		},
		"endpoint removed": func(q *Queue) time.Time {
			q.Report(at(0), report("e", 1, "t"))
			q.SetEndpoints(nil)
			return at(1)
		},
		"superseded": func(q *Queue) time.Time {
			later := report("e", 1)
			later.Instance, later.StartedUnixMs = "later", 2
			q.Report(at(0), later)
			must.True(t, q.Report(at(0), report("e", 1, "t")).Superseded)
			return at(1)
		},
		"not full": func(q *Queue) time.Time {
			r := report("e", 1, "t")
			r.Full = false
			must.True(t, q.Report(at(0), r).WantFull)
			return at(1400)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{}, "e")
			q.Enqueue(at(0), ticket("a", "a", 1, 0))
			_, ok := q.Next(prepare(q), one)
			must.False(t, ok)
		})
	}
}

// Guards against a faulty report that changes a part of the state.
func TestFaultyReportsChangeNothing(t *testing.T) {
	counter := func(cost, normalized uint64) []Counter {
		return []Counter{{Team: "a", Cost: cost, Normalized: normalized}}
	}
	cases := map[string]struct {
		change func(r *Report)
		want   Refusal
	}{
		"unknown endpoint": {func(r *Report) { r.Endpoint = "other" }, RefusedUnknownEndpoint},
		"too many tokens": {func(r *Report) {
			for i := range MaxTokens {
				r.FreeTokens = append(r.FreeTokens, fmt.Sprint(i))
			}
		}, RefusedTooManyTokens},
		"counter down":      {func(r *Report) { r.Counters = counter(9, 9) }, RefusedCounterDecreased},
		"normalized down":   {func(r *Report) { r.Counters = counter(20, 9) }, RefusedCounterDecreased},
		"impossible cost":   {func(r *Report) { r.Counters = counter(MaxCost+1, 10) }, RefusedImpossibleCost},
		"cost too small":    {func(r *Report) { r.Counters = counter(20, 20*millionths+1) }, RefusedImpossibleCost},
		"impossible hint":   {func(r *Report) { r.Running = []Running{{Team: "a", Hint: MaxCost + 1, Weight: 1}} }, RefusedImpossibleCost},
		"no weight":         {func(r *Report) { r.Running = []Running{{Team: "a", Hint: 1}} }, RefusedImpossibleCost},
		"impossible base":   {func(r *Report) { r.Counters = []Counter{{Team: "b", Base: maxVirtual + 1}} }, RefusedImpossibleCost},
		"virtual time":      {func(r *Report) { r.VirtualTime = maxVirtual + 1 }, RefusedImpossibleCost},
		"token twice":       {func(r *Report) { r.FreeTokens = []string{"n", "n"} }, RefusedDuplicate},
		"counter twice":     {func(r *Report) { r.Counters = append(counter(20, 20), counter(21, 21)...) }, RefusedDuplicate},
		"free and running":  {func(r *Report) { r.Running = []Running{{Team: "a", Token: "new", Weight: 1}} }, RefusedDuplicate},
		"endpoint of other": {func(r *Report) { r.Endpoint = "f" }, RefusedUnknownEndpoint},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{}, "e", "f")
			first := report("e", 1, "t")
			first.Counters = counter(10, 10)
			q.Report(at(0), first)
			teams, endpoints := q.Teams(), q.Endpoints()
			bad := report("e", 2, "new")
			c.change(&bad)
			must.Eq(t, c.want, q.Report(at(1), bad).Refused)
			must.Eq(t, teams, q.Teams())
			must.Eq(t, endpoints, q.Endpoints())
		})
	}
}
