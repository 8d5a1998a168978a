package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
)

var start = time.Unix(1_800_000_000, 0)

func atMs(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func unitWeight(string) uint64 { return 1 }

func ticket(request, team string, hint uint64, queuedMs int) Ticket {
	return Ticket{
		Request:        request,
		Attempt:        1,
		Team:           team,
		Router:         "r1",
		RouterInstance: "ri1",
		Hint:           hint,
		QueuedAt:       atMs(queuedMs),
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

// Guards against an order that ignores weights, hints or the tie-breaking rule.
func TestOrderingsHonorWeightsHintsAndTies(t *testing.T) {
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
					tk.QueuedAt = atMs(-60 + int(id[1]))
				}
				must.True(t, q.Enqueue(atMs(0), tk))
			}
			q.Report(atMs(1), report("e", 1, "t1", "t2", "t3", "t4", "t5", "t6"))
			must.Eq(t, c.want, requests(grantAll(q, atMs(2), weights)))
		})
	}
}

// Guards against a RouterFair order that is not round robin over the entry routers.
func TestRouterFairServesRoutersRoundRobin(t *testing.T) {
	q := newQueue(Options{Ordering: RouterFair}, "e")
	for i := range 4 {
		tk := ticket(fmt.Sprint("x", i), "a", 1, -10)
		must.True(t, q.Enqueue(atMs(0), tk))
	}
	tk := ticket("y", "b", 1, -1)
	tk.Router, tk.RouterInstance = "r2", "ri2"
	must.True(t, q.Enqueue(atMs(0), tk))
	q.Report(atMs(1), report("e", 1, "t1", "t2", "t3"))
	must.Eq(t, []string{"x0", "y", "x1"}, requests(grantAll(q, atMs(2), unitWeight)))
}

// Guards against credit for a team that was idle, and against charging it twice.
func TestIdleTeamEarnsNoCredit(t *testing.T) {
	q := newQueue(Options{}, "e")
	for i := range 100 {
		q.Enqueue(atMs(0), ticket(fmt.Sprint("a", i), "a", 10, 0))
	}
	seq := uint64(1)
	serve := func(now, n int) []string {
		seq++
		r := report("e", seq)
		for i := range n {
			r.FreeTokens = append(r.FreeTokens, fmt.Sprint("t", seq, "-", i))
		}
		r.Counters = []Counter{{Team: "a", Cost: seq * 50, Normalized: seq * 50 * millionths}}
		q.Report(atMs(now), r)
		return requests(grantAll(q, atMs(now), unitWeight))
	}
	serve(1, 5)
	serve(2, 5)
	q.Enqueue(atMs(3), ticket("late", "late", 10, 3))
	q.Enqueue(atMs(3), ticket("late2", "late", 10, 3))
	q.Enqueue(atMs(3), ticket("late3", "late", 10, 3))
	got := serve(4, 4)
	must.SliceContains(t, got, "late")
	must.SliceNotContains(t, got, "late3", must.Sprint("the team that started late got credit for its idle time"))
}

// Guards against granting tokens that are stale, draining, superseded or of an
// endpoint without all counters.
func TestTokensThatMustNotBeGranted(t *testing.T) {
	cases := map[string]func(q *Queue) time.Time{
		"stale": func(q *Queue) time.Time {
			q.Report(atMs(0), report("e", 1, "t"))
			return atMs(1501)
		},
		"agent drains": func(q *Queue) time.Time {
			r := report("e", 1, "t")
			r.Draining = true
			q.Report(atMs(0), r)
			return atMs(1)
		},
		"endpoint drains": func(q *Queue) time.Time {
			q.Report(atMs(0), report("e", 1, "t"))
			q.SetEndpoints([]Endpoint{{Name: "e", Draining: true}})
			return atMs(1)
		},
		"endpoint removed": func(q *Queue) time.Time {
			q.Report(atMs(0), report("e", 1, "t"))
			q.SetEndpoints(nil)
			return atMs(1)
		},
		"superseded": func(q *Queue) time.Time {
			later := report("e", 1)
			later.Instance, later.StartedUnixMs = "later", 2
			q.Report(atMs(0), later)
			must.True(t, q.Report(atMs(0), report("e", 1, "t")).Superseded)
			return atMs(1)
		},
		"counters missing": func(q *Queue) time.Time {
			r := report("e", 1, "t")
			r.Full = false
			must.True(t, q.Report(atMs(0), r).WantFull)
			return atMs(1400)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{}, "e")
			q.Enqueue(atMs(0), ticket("a", "a", 1, 0))
			_, ok := q.Next(prepare(q), unitWeight)
			must.False(t, ok)
		})
	}
}

// Guards against an invalid report that is partly applied.
func TestInvalidReportsChangeNothing(t *testing.T) {
	counter := func(cost, normalized uint64) []Counter {
		return []Counter{{Team: "a", Cost: cost, Normalized: normalized}}
	}
	running := func(n uint32, outstanding uint64) []Counter {
		return []Counter{{Team: "a", Cost: 10, Normalized: 10, Running: n, Outstanding: outstanding}}
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
		"counter decreased":            {func(r *Report) { r.Counters = counter(9, 9) }, RefusedCounterDecreased},
		"normalized decreased":         {func(r *Report) { r.Counters = counter(20, 9) }, RefusedCounterDecreased},
		"impossible cost":              {func(r *Report) { r.Counters = counter(MaxCost+1, 10) }, RefusedImpossibleCost},
		"cost too small":               {func(r *Report) { r.Counters = counter(20, 20*millionths+1) }, RefusedImpossibleCost},
		"impossible hints":             {func(r *Report) { r.Running, r.Counters = 1, running(1, MaxCountedHint*millionths+1) }, RefusedImpossibleCost},
		"hints without requests":       {func(r *Report) { r.Counters = running(0, 1) }, RefusedImpossibleCost},
		"too many requests":            {func(r *Report) { r.Running = MaxTokens }, RefusedTooManyTokens},
		"more than the total":          {func(r *Report) { r.Running, r.Counters = 1, running(2, 1) }, RefusedTooManyTokens},
		"impossible base":              {func(r *Report) { r.Counters = []Counter{{Team: "b", Base: maxVirtualTime + 1}} }, RefusedImpossibleCost},
		"virtual time":                 {func(r *Report) { r.VirtualTime = maxVirtualTime + 1 }, RefusedImpossibleCost},
		"duplicate token":              {func(r *Report) { r.FreeTokens = []string{"n", "n"} }, RefusedDuplicate},
		"duplicate counter":            {func(r *Report) { r.Counters = append(counter(20, 20), counter(21, 21)...) }, RefusedDuplicate},
		"instance of another endpoint": {func(r *Report) { r.Endpoint = "f" }, RefusedUnknownEndpoint},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{}, "e", "f")
			first := report("e", 1, "t")
			first.Counters = counter(10, 10)
			q.Report(atMs(0), first)
			teams, endpoints := q.Teams(), q.Endpoints()
			bad := report("e", 2, "new")
			c.change(&bad)
			must.Eq(t, c.want, q.Report(atMs(1), bad).Refused)
			must.Eq(t, teams, q.Teams())
			must.Eq(t, endpoints, q.Endpoints())
		})
	}
}

func virtualOf(q *Queue, team string) uint64 {
	for _, t := range q.Teams() {
		if t.Team == team {
			return t.VirtualTime
		}
	}
	return 0
}

// newRebuiltQueue returns the queue of a new owner at 10 s, with the given counters
// in the full report of its only endpoint.
func newRebuiltQueue(counters ...Counter) *Queue {
	q := New(atMs(10_000), Options{})
	q.SetEndpoints([]Endpoint{{Name: "e"}})
	r := report("e", 1)
	r.Counters, r.VirtualTime = counters, 1000
	q.Report(atMs(10_001), r)
	return q
}

// Guards against a new owner that loses the state of the previous one: counters,
// bases and virtual time count, a team that was waiting throughout keeps its v, and
// a team that was idle or is not known starts at the virtual time.
func TestNewOwnerRestoresAccounts(t *testing.T) {
	cases := map[string]struct {
		known    []Counter
		queuedMs int
		want     uint64
	}{
		"waiting throughout": {[]Counter{{Team: "a", Cost: 5, Normalized: 300, Base: 400}}, 9_000, 700},
		"idle":               {[]Counter{{Team: "a", Cost: 5, Normalized: 300, Base: 400}}, 10_002, 1000},
		"above virtual time": {[]Counter{{Team: "a", Cost: 5, Normalized: 900, Base: 400}}, 10_002, 1300},
		"unknown":            {nil, 9_000, 1000},
		"unknown base":       {[]Counter{{Team: "a", Cost: 5, Normalized: 300}}, 9_000, 1000},
		"unknown and idle":   {nil, 10_002, 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newRebuiltQueue(c.known...)
			q.Enqueue(atMs(10_003), ticket("r", "a", 1, c.queuedMs))
			must.Eq(t, c.want, virtualOf(q, "a"))
		})
	}
}

// Guards against counting charges twice: the raise of a base substitutes for counters
// that the new owner has not received, and is reduced when they arrive.
func TestProvisionalBaseIsReplacedByLateCounters(t *testing.T) {
	q := New(atMs(10_000), Options{})
	q.SetEndpoints([]Endpoint{{Name: "e"}, {Name: "late"}})
	r := report("e", 1)
	r.VirtualTime = 1000
	q.Report(atMs(10_001), r)
	q.Enqueue(atMs(10_002), ticket("r", "a", 1, 9_000))
	q.Tick(atMs(11_500))
	must.Eq(t, 1000, virtualOf(q, "a"))
	r = report("late", 1)
	r.Counters = []Counter{{Team: "a", Cost: 5, Normalized: 700}}
	q.Report(atMs(11_501), r)
	must.Eq(t, 1000, virtualOf(q, "a"))
	r.Sequence, r.Counters = 2, []Counter{{Team: "a", Cost: 6, Normalized: 800}}
	q.Report(atMs(11_502), r)
	must.Eq(t, 1100, virtualOf(q, "a"))
}

// Guards against grants by an owner that lacks counters, and against waiting
// forever for an endpoint that is down.
func TestNewOwnerWaitsForFullReports(t *testing.T) {
	q := newQueue(Options{}, "e", "f")
	q.Enqueue(atMs(0), ticket("a", "a", 1, 0))
	q.Report(atMs(0), report("e", 1, "t"))
	_, ok := q.Next(atMs(100), unitWeight)
	must.False(t, ok)
	q.Report(atMs(900), report("e", 2, "t"))
	_, ok = q.Next(atMs(1000), unitWeight)
	must.True(t, ok)

	q = newQueue(Options{}, "e", "f")
	q.Enqueue(atMs(0), ticket("a", "a", 1, 0))
	q.Report(atMs(0), report("e", 1, "t"))
	q.Report(atMs(0), report("f", 1))
	_, ok = q.Next(atMs(1), unitWeight)
	must.True(t, ok)
}

// Guards against a team that loses or gains service when a message about its ticket
// is lost: the team was waiting throughout.
func TestResentTicketKeepsVirtualTime(t *testing.T) {
	q := newQueue(Options{}, "e")
	q.Report(atMs(0), report("e", 1))
	q.Enqueue(atMs(1), ticket("a1", "a", 10, 0))
	for i := range 9 {
		q.Enqueue(atMs(1), ticket(fmt.Sprint("b", i), "b", 10, 0))
	}
	q.Sync(atMs(2), "r1", "ri1", 1, nil, true)
	before := virtualOf(q, "a")
	q.Enqueue(atMs(3), ticket("b0", "b", 10, 0))
	q.Report(atMs(3), report("e", 2, "t1"))
	grantAll(q, atMs(3), unitWeight)
	q.Enqueue(atMs(4), ticket("b1", "b", 10, 4))
	q.Report(atMs(4), report("e", 3, "t1", "t2"))
	grantAll(q, atMs(4), unitWeight)
	must.Greater(t, before, q.virtualTime)
	q.Sync(atMs(5), "r1", "ri1", 2, []Ticket{ticket("a1", "a", 10, 0)}, true)
	must.Eq(t, before, virtualOf(q, "a"))
}

// Guards against outdated messages of entry routers that overwrite the effect of
// later ones, and against duplicate messages that add a ticket twice.
func TestSyncIgnoresOutdatedMessages(t *testing.T) {
	a, b := ticket("a", "t", 1, 0), ticket("b", "t", 1, 0)
	retried := a
	retried.Attempt = 2
	type message struct {
		instance string
		sequence uint64
		tickets  []Ticket
		full     bool
	}
	cases := map[string]struct {
		messages []message
		want     int
	}{
		"partial messages add up":      {[]message{{"i", 2, []Ticket{b}, false}, {"i", 1, []Ticket{a}, false}}, 2},
		"duplicates":                   {[]message{{"i", 1, []Ticket{a}, false}, {"i", 2, []Ticket{a, a}, false}}, 1},
		"full drops unlisted":          {[]message{{"i", 1, []Ticket{a}, false}, {"i", 2, []Ticket{b}, true}}, 1},
		"full after a later message":   {[]message{{"i", 2, []Ticket{a}, false}, {"i", 1, nil, true}}, 1},
		"partial after a later full":   {[]message{{"i", 2, nil, true}, {"i", 1, []Ticket{a}, false}}, 0},
		"duplicate full":               {[]message{{"i", 1, []Ticket{a}, true}, {"i", 1, nil, true}}, 1},
		"later attempt replaces":       {[]message{{"i", 1, []Ticket{a}, false}, {"i", 2, []Ticket{retried}, false}}, 1},
		"restart drops tickets":        {[]message{{"i", 5, []Ticket{a}, true}, {"j", 1, nil, false}}, 0},
		"message of previous instance": {[]message{{"i", 5, nil, true}, {"j", 1, nil, true}, {"i", 6, []Ticket{a}, true}}, 0},
		"restart resets sequence":      {[]message{{"i", 5, nil, true}, {"j", 1, []Ticket{a, b}, true}}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue(Options{}, "e")
			for _, m := range c.messages {
				must.SliceEmpty(t, q.Sync(atMs(1), "r", m.instance, m.sequence, m.tickets, m.full))
			}
			must.Eq(t, c.want, q.Waiting())
		})
	}
}

// Guards against treating a later attempt as a duplicate of one that the agent
// refused, and against queueing the same attempt again while its grant is being
// dispatched.
func TestLaterAttemptReplacesGrantedOne(t *testing.T) {
	q := newQueue(Options{}, "e")
	first := ticket("a", "t", 10, 0)
	q.Enqueue(atMs(1), first)
	q.Report(atMs(1), report("e", 1, "t1"))
	must.Len(t, 1, grantAll(q, atMs(1), unitWeight))
	q.Enqueue(atMs(2), first)
	must.Eq(t, 0, q.Waiting())
	second := first
	second.Attempt = 2
	q.Enqueue(atMs(2), second)
	must.Eq(t, 1, q.Waiting())
	must.Eq(t, 0, q.Teams()[0].Running)
	q.Enqueue(atMs(2), first)
	must.Eq(t, 2, q.tickets["a"].Attempt)
	third := first
	third.Attempt = 3
	q.Enqueue(atMs(3), third)
	must.Eq(t, 3, q.tickets["a"].Attempt)
}

// Guards against a queue that grows beyond its limit, and against a limit that still
// applies after tickets were withdrawn.
func TestFullQueueRefuses(t *testing.T) {
	q := newQueue(Options{MaxQueuedPerTeam: 1}, "e")
	tickets := []Ticket{ticket("a", "t", 1, 0), ticket("b", "t", 1, 0), ticket("c", "u", 1, 0)}
	must.Eq(t, []string{"b"}, q.Sync(atMs(1), "r", "i", 1, tickets, true))
	q.Withdraw(atMs(2), "r", "i", []string{"a"})
	must.SliceEmpty(t, q.Sync(atMs(3), "r", "i", 2, tickets[1:], true))
}

// Guards against hints that are charged in addition to the metered cost, or not at
// all.
func TestMeteredCostReplacesHint(t *testing.T) {
	q := newQueue(Options{}, "e")
	q.Enqueue(atMs(1), ticket("a", "t", 100, 0))
	base := virtualOf(q, "t")
	q.Report(atMs(1), report("e", 1, "t1"))
	g := grantAll(q, atMs(1), unitWeight)[0]
	must.Eq(t, 100*millionths+1, virtualOf(q, "t"))
	for sequence, metered := range []uint64{0, 30, 100, 150} {
		r := report("e", uint64(sequence)+2)
		r.Running = 1
		r.Counters = []Counter{{
			Team: "t", Cost: metered, Normalized: metered * millionths,
			Running: 1, Outstanding: (max(100, metered) - metered) * millionths,
		}}
		q.Report(atMs(2), r)
		must.Eq(t, base+1+max(100, metered)*millionths, virtualOf(q, "t"))
	}
	q.Resolve(atMs(3), g, Gone)
	must.Eq(t, base+1+150*millionths, virtualOf(q, "t"))
}

// Guards against hints that are lost or counted twice when a report lists only the
// teams that changed, and when the owner misses some of these reports.
func TestBriefReportsUpdateOutstandingHints(t *testing.T) {
	q := newQueue(Options{}, "e")
	hints := func(team string, n uint32, units uint64) Counter {
		return Counter{Team: team, Running: n, Outstanding: units * millionths}
	}
	send := func(sequence uint64, full bool, total uint32, counters ...Counter) ReportResult {
		r := report("e", sequence)
		r.Full, r.Running, r.Counters = full, total, counters
		result := q.Report(atMs(int(sequence)), r)
		must.Eq(t, RefusedNone, result.Refused)
		return result
	}
	outstanding := func(team string) uint64 { return q.teams[team].outstanding / millionths }
	must.False(t, send(1, true, 3, hints("a", 2, 30), hints("b", 1, 5)).WantFull)
	must.False(t, send(2, false, 3, hints("a", 1, 10), hints("c", 1, 7)).WantFull)
	must.Eq(t, []uint64{10, 5, 7}, []uint64{outstanding("a"), outstanding("b"), outstanding("c")})
	must.True(t, send(1, false, 9, hints("a", 9, 90)).Stale)
	must.Eq(t, 10, outstanding("a"))
	must.False(t, send(3, false, 1, hints("a", 0, 0), hints("b", 0, 0)).WantFull)
	must.Eq(t, []uint64{0, 0, 7}, []uint64{outstanding("a"), outstanding("b"), outstanding("c")})
	// The agent has two more requests than the owner knows of.
	must.True(t, send(4, false, 3, hints("c", 1, 2)).WantFull)
	must.False(t, send(5, true, 2, hints("a", 2, 40)).WantFull)
	must.Eq(t, []uint64{40, 0, 0}, []uint64{outstanding("a"), outstanding("b"), outstanding("c")})
	must.Eq(t, 2, q.Endpoints()[0].Running)
	q.Tick(atMs(5_000))
	must.Eq(t, 0, outstanding("a"))
	must.True(t, send(6, false, 2).WantFull)
}

// Guards against an unreachable entry router that takes all tokens.
func TestLostDispatchDropsTheRoutersTickets(t *testing.T) {
	q := newQueue(Options{}, "e")
	q.Enqueue(atMs(1), ticket("a", "t", 1, 0))
	q.Enqueue(atMs(1), ticket("b", "t", 1, 0))
	other := ticket("c", "t", 1, 0)
	other.Router = "r2"
	q.Enqueue(atMs(1), other)
	q.Report(atMs(1), report("e", 1, "t1"))
	q.Resolve(atMs(2), grantAll(q, atMs(1), unitWeight)[0], Lost)
	must.Eq(t, 1, q.Waiting())
}

// Guards against keeping tickets and tokens of processes that no longer send
// messages, and against counters that are lost or counted twice when an agent
// returns after a long time without reports.
func TestSilentProcessesExpireWithoutLosingCounters(t *testing.T) {
	q := newQueue(Options{}, "e")
	q.Enqueue(atMs(1), ticket("a", "t", 1, 0))
	r := report("e", 1, "t1")
	r.Counters = []Counter{{Team: "t", Cost: 9, Normalized: 500, Running: 1, Outstanding: 1}}
	r.Running = 1
	q.Report(atMs(1), r)
	q.Tick(atMs(3_002))
	must.Eq(t, 0, q.Waiting())
	must.SliceEmpty(t, q.Endpoints())
	must.Eq(t, 0, q.Teams()[0].Running)
	v := virtualOf(q, "t")
	q.Tick(atMs(60_002))
	must.Eq(t, v, virtualOf(q, "t"))
	must.Eq(t, v, q.teams["t"].base)
	r.Sequence, r.Running = 2, 0
	r.Counters = []Counter{{Team: "t", Cost: 9, Normalized: 600}}
	must.False(t, q.Report(atMs(70_000), r).WantFull)
	must.Eq(t, v+100, virtualOf(q, "t"))
	q.Tick(atMs(131_000))
	must.Eq(t, v+100, virtualOf(q, "t"))
	must.Eq(t, v+100, q.teams["t"].base)
}

// Guards against an agent that restarts repeatedly until no new instance is
// accepted, and against losing the counters of the evicted instances.
func TestRepeatedAgentRestartsKeepCounters(t *testing.T) {
	q := newQueue(Options{}, "e")
	for i := range MaxInstances + 10 {
		r := report("e", 1, "t")
		r.Instance, r.StartedUnixMs = fmt.Sprint("i", i), int64(i)
		r.Counters = []Counter{{Team: "t", Cost: 1, Normalized: 1}}
		result := q.Report(atMs(i), r)
		must.Eq(t, RefusedNone, result.Refused)
		must.False(t, result.Superseded)
	}
	must.MapLen(t, MaxInstances, q.instances)
	must.Eq(t, MaxInstances+10, virtualOf(q, "t"))
}

// Guards against unlimited credit of a team whose counters were lost.
func TestCreditLimitRaisesBase(t *testing.T) {
	q := newQueue(Options{CreditLimit: 50}, "e")
	r := report("e", 1)
	r.Counters = []Counter{{Team: "high", Cost: 100, Normalized: 100 * millionths}}
	q.Report(atMs(1), r)
	q.Enqueue(atMs(1), ticket("a", "high", 1, 0))
	q.Enqueue(atMs(1), ticket("b", "low", 1, 0))
	q.Tick(atMs(2))
	must.Eq(t, virtualOf(q, "high")-50*millionths, virtualOf(q, "low"))
}

// Guards against bases that are not stored by any agent, and against sending them
// in every reply.
func TestBaseIsSentInSeveralReplies(t *testing.T) {
	q := newQueue(Options{}, "e")
	q.Report(atMs(0), report("e", 1))
	q.Enqueue(atMs(1), ticket("a", "t", 1, 1))
	for i := range baseCopies {
		must.Eq(t, []TeamBase{{Team: "t", Base: 1}}, q.Report(atMs(2), report("e", uint64(i+2))).Bases)
	}
	must.SliceEmpty(t, q.Report(atMs(3), report("e", 100)).Bases)
	q.Tick(atMs(60_001))
	must.Len(t, 1, q.Report(atMs(60_002), report("e", 101)).Bases)
}

// Guards against placement that ignores the affinity key, the zone or the load.
func TestPlacementByAffinityZoneAndLoad(t *testing.T) {
	q := newQueue(Options{}, "e", "f", "g")
	place := func(affinity, zone string) string {
		tk := ticket("r", "t", 1, 0)
		tk.Affinity, tk.Zone = affinity, zone
		q.Enqueue(atMs(1), tk)
		g, ok := q.Next(atMs(1), unitWeight)
		must.True(t, ok)
		q.Resolve(atMs(1), g, Gone)
		return g.Endpoint
	}
	for _, e := range []string{"e", "f", "g"} {
		q.Report(atMs(1), report(e, 1, "t1", "t2"))
	}
	seen := map[string]bool{}
	for i := range 20 {
		key := fmt.Sprint("key", i)
		seen[place(key, "z-e")] = true
		must.Eq(t, place(key, "z-e"), place(key, "z-f"))
	}
	must.MapLen(t, 3, seen)
	q.SetEndpoints([]Endpoint{{Name: "e"}, {Name: "f", Draining: true}, {Name: "g"}})
	for i := range 20 {
		key := fmt.Sprint("key", i)
		must.Eq(t, rendezvous.Choose(key, []string{"e", "g"}), place(key, "none"))
	}
	q.SetEndpoints([]Endpoint{{Name: "e"}, {Name: "f"}, {Name: "g"}})
	q.Report(atMs(1), report("f", 2, "t1", "t2"))
	first := place("key", "z-e")
	q.Report(atMs(1), report(first, 3))
	tokens := []string{"t1", "t2"}
	for _, e := range []string{"e", "f", "g"} {
		if e != first {
			must.Eq(t, e, place("key", "z-"+e))
			tokens = append(tokens, "t"+e)
			q.Report(atMs(1), report(e, 3, tokens...))
			must.Eq(t, e, place("key", "none"))
		}
	}
}
