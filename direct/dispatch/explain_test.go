package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// place places a request at a model engine or, unless isEngine is set, at a plain endpoint.
func place(d *Dispatcher, now time.Time, request Request, isEngine bool) (*Assignment, *Refusal) {
	if isEngine {
		return d.PlaceEngine(now, &request)
	}
	return d.PlacePlain(now, &request)
}

// stateOf returns the explained state of an endpoint, or "" if it isn't shown.
func stateOf(x Explanation, id string) CandidateState {
	for _, c := range x.Candidates {
		if c.Endpoint.ID == id {
			return c.State
		}
	}
	return ""
}

// Guards against an explanation that names a wrong reason for an endpoint that gets no requests, for both
// kinds of services, and against a decision that differs from that of the placement.
func TestExplanationNamesTheStateOfAnEndpoint(t *testing.T) {
	now := time.Now()
	v1 := streamorigin.BuildOf("s", "v1")
	plain := Request{Service: "s", Target: time.Second}
	// send places a request at e1 and returns it.
	send := func(t *testing.T, d *Dispatcher) *Assignment {
		a, refusal := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second, Exclude: []string{"e0"}})
		must.Nil(t, refusal)
		return a
	}
	for _, test := range []struct {
		state   CandidateState
		request Request
		// lasts is how long the state lasts; 0 if that isn't known.
		lasts   time.Duration
		prepare func(t *testing.T, d *Dispatcher, e registry.Endpoint)
	}{
		{state: StateReady, request: plain, prepare: func(*testing.T, *Dispatcher, registry.Endpoint) {}},
		{state: StateLeaving, request: plain, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			e.State = registry.Draining
			d.registry.Put(e)
		}},
		{state: StatePaused, request: plain, lasts: time.Second, prepare: func(t *testing.T, d *Dispatcher, _ registry.Endpoint) {
			a := send(t, d)
			a.Pause(now, time.Second)
			a.End(now, endpointload.Refused)
		}},
		{state: StateUnreachable, request: plain, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			d.RecordConnectFailure(now, e.ID)
		}},
		{state: StateStalled, request: plain, prepare: func(t *testing.T, d *Dispatcher, _ registry.Endpoint) {
			send(t, d)
			now = now.Add(10 * time.Second)
		}},
		{state: StateLimited, request: plain, prepare: func(t *testing.T, d *Dispatcher, _ registry.Endpoint) {
			a := send(t, d)
			a.RecordLimit(now, 0, now)
			a.End(now, endpointload.Succeeded)
		}},
		{state: StateRoom, request: plain, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			load := endpointload.Load{Running: 16}
			d.ApplyPeerReport(now, PeerReport{Instance: "p", Sequence: 1, Loads: []endpointload.PeerLoad{{Endpoint: endpointload.Hash(e.ID), Load: load}}})
		}},
		{state: StateEvacuated, request: plain, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			e.Zone = "z"
			d.registry.Put(e)
			d.evacuations.Begin("z")
		}},
		{state: StateCold, request: plain, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			makeCold(d, now, e)
		}},
		{state: StateDoubted, request: Request{Service: "s", Target: time.Second, Resumable: true}, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			d.DoubtIncarnation(now, e.ID)
		}},
		{state: StateBuild, request: Request{Service: "s", Target: time.Second, Build: v1, Resumable: true}, prepare: func(_ *testing.T, d *Dispatcher, e registry.Endpoint) {
			e.Version = "v2"
			d.registry.Put(e)
		}},
	} {
		for _, isEngine := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,engine=%v", test.state, isEngine), func(t *testing.T) {
				now = time.Now()
				d := newBuilds()
				for _, id := range []string{"e0", "e1"} {
					register(d, registry.Endpoint{ID: id, Service: "s", Version: "v1", Slots: 8, Started: now})
				}
				register(d, registry.Endpoint{ID: "other", Service: "t", Slots: 8, Started: now})
				e, _ := d.registry.Lookup("e1")
				test.prepare(t, d, e)
				x := d.Explain(now, test.request, isEngine)
				must.Len(t, 2, x.Candidates)
				must.Eq(t, test.state, stateOf(x, "e1"))
				must.Eq(t, StateReady, stateOf(x, "e0"))
				must.Nil(t, x.Refusal)
				if test.state != StateReady {
					must.Eq(t, "e0", x.Chosen)
				}
				if test.lasts > 0 {
					must.Between(t, test.lasts, x.Candidates[1].For, test.lasts+test.lasts/10)
				}
				a, refusal := place(d, now, test.request, isEngine)
				must.Nil(t, refusal)
				must.Eq(t, x.Chosen, a.Endpoint.ID)
			})
		}
	}
}

// Guards against an endpoint that a later rule of placement leaves out and that is shown as ready.
func TestEndpointWithoutAKnownReasonIsExcluded(t *testing.T) {
	d := newBuilds("v1")
	e, _ := d.registry.Lookup("v1")
	state, _ := d.explainState(time.Now(), &Request{Service: "s"}, e, stateChecks)
	must.Eq(t, StateExcluded, state)
}

// Guards against an explanation that gives another reason of a refusal than the placement, or none.
func TestExplanationNamesTheReasonOfARefusal(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	crashing := prompt.Parse("a:800,b:10,c:250", "", "")
	big := prompt.Parse("x:100000", "", "")
	saturate := func(d *Dispatcher) {
		load := endpointload.Load{Pending: 1 << 20, Running: 64}
		d.ApplyPeerReport(now, PeerReport{Instance: "p", Sequence: 1, Loads: []endpointload.PeerLoad{{Endpoint: endpointload.Hash("e0"), Load: load}}})
	}
	for _, test := range []struct {
		reason   Reason
		request  Request
		isEngine bool
		engines  int
		prepare  func(d *Dispatcher)
	}{
		{reason: NoEndpoint, request: Request{Service: "s"}, isEngine: true, prepare: func(*Dispatcher) {}},
		{reason: NoEndpoint, request: Request{Service: "s"}, prepare: func(*Dispatcher) {}},
		{reason: Saturated, request: Request{Service: "s", Target: time.Second}, isEngine: true, engines: 1, prepare: saturate},
		{reason: Saturated, request: Request{Service: "s", Target: time.Second}, engines: 1, prepare: func(d *Dispatcher) {
			load := endpointload.Load{Running: 2 * 64}
			d.ApplyPeerReport(now, PeerReport{Instance: "p", Sequence: 1, Loads: []endpointload.PeerLoad{{Endpoint: endpointload.Hash("e0"), Load: load}}})
		}},
		{reason: Paused, request: Request{Service: "s", Target: time.Second}, isEngine: true, engines: 1, prepare: func(d *Dispatcher) {
			a, _ := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second})
			a.Pause(now, time.Second)
			a.End(now, endpointload.Refused)
		}},
		{reason: OverShare, request: Request{Service: "s", Team: "flood", Target: time.Second}, isEngine: true, engines: 1, prepare: func(d *Dispatcher) {
			for range 100 {
				d.RecordRequest(now, "s", "flood", big.Units())
				if a, _ := d.PlaceEngine(now, &Request{Service: "s", Team: "flood", Cost: big, Target: time.Second}); a != nil {
					a.Begin(now)
					a.End(now, endpointload.Succeeded)
				}
			}
			d.RecordRequest(now, "s", "small", big.Units())
			saturate(d)
			now = now.Add(2 * levelRefreshInterval)
		}},
		{reason: Quarantined, request: Request{Service: "s", Target: time.Second, Cost: crashing}, isEngine: true, engines: 1, prepare: func(d *Dispatcher) {
			for i := range uint32(2) {
				d.crashingParts.AddInterrupted(quarantine.Interrupted{
					Crash: i, At: now.Add(time.Duration(i) * time.Second), Responding: true, Parts: crashing.SharedIDs(),
				}, i, true)
			}
			now = now.Add(time.Second)
		}},
	} {
		t.Run(fmt.Sprintf("%s,engine=%v", test.reason, test.isEngine), func(t *testing.T) {
			now = time.Unix(1_800_000_000, 0)
			d := newEngines(test.engines, 10_000)
			test.prepare(d)
			x := d.Explain(now, test.request, test.isEngine)
			must.NotNil(t, x.Refusal)
			must.Eq(t, test.reason, x.Refusal.Reason)
			must.Positive(t, x.Refusal.RetryAfter)
			must.Eq(t, "", x.Chosen)
			must.Len(t, test.engines, x.Candidates)
			refusal := d.Quarantine(now, test.request.Cost, 0)
			if refusal == nil {
				_, refusal = place(d, now, test.request, test.isEngine)
			}
			must.NotNil(t, refusal)
			must.Eq(t, test.reason, refusal.Reason)
		})
	}
}

// decisionOf returns the chosen endpoint or the reason of the refusal.
func decisionOf(x Explanation) string {
	if x.Refusal != nil {
		return string(x.Refusal.Reason)
	}
	return x.Chosen
}

// Guards against a question that charges a team or counts a request: of two routers with the same requests, one of which is asked
// before each of them, both make the same decisions. It also guards against an explained decision that differs
// from the one that follows.
func TestExplanationChangesNothing(t *testing.T) {
	const seed = 541
	for _, isEngine := range []bool{true, false} {
		random := rand.New(rand.NewPCG(seed, 1))
		begin := time.Unix(1_800_000_000, 0)
		newRouter := func() *Dispatcher {
			table := registry.NewTable()
			d := New("a", table, placement.DefaultPolicy(), retry.DefaultLimits())
			for i := range 6 {
				register(d, registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Zone: string(rune('a' + i%2)), Slots: 8, Started: begin})
			}
			d.SetCapacity(20_000, 6)
			return d
		}
		asked, other := newRouter(), newRouter()
		both := []*Dispatcher{asked, other}
		var running [2][]*Assignment
		chosen := 0
		for step := range 4000 {
			now := begin.Add(time.Duration(step) * 3 * time.Millisecond)
			request := Request{
				Service: "s", Team: fmt.Sprintf("t%d", random.IntN(3)), Target: 500 * time.Millisecond, Resumable: random.IntN(2) == 0,
				Cost: prompt.Parse(fmt.Sprintf("p%d:%d,own:%d", random.IntN(8), 200, random.IntN(400)), "", "5"),
			}
			ending, doubt := random.IntN(3) > 0, random.IntN(300) == 0
			var ids [2]string
			explained := ""
			for i, d := range both {
				if d == asked {
					d.Explain(now.Add(-time.Millisecond), request, isEngine)
				}
				d.RecordRequest(now, "s", request.Team, request.Cost.Units())
				if d == asked {
					explained = decisionOf(d.Explain(now, request, isEngine))
				}
				a, refusal := place(d, now, request, isEngine)
				if refusal != nil {
					ids[i] = string(refusal.Reason)
					continue
				}
				ids[i] = a.Endpoint.ID
				if doubt {
					d.DoubtIncarnation(now, a.Endpoint.ID)
				}
				running[i] = append(running[i], a)
			}
			must.Eq(t, ids[1], ids[0], must.Sprintf("seed %d, step %d", seed, step))
			must.Eq(t, ids[0], explained, must.Sprintf("seed %d, step %d", seed, step))
			if len(running[0]) > 0 {
				chosen++
			}
			for i := range both {
				if ending && len(running[i]) > 0 {
					running[i][0].Begin(now)
					running[i][0].End(now, endpointload.Succeeded)
					running[i] = running[i][1:]
				}
			}
		}
		end := begin.Add(12 * time.Second)
		must.Eq(t, other.Report(end), asked.Report(end))
		_, otherRequests := other.Limits(end)
		_, askedRequests := asked.Limits(end)
		must.Eq(t, otherRequests, askedRequests)
		must.MapLen(t, len(other.teams), asked.teams)
		must.Positive(t, chosen)
	}
	d := newBuilds("v1")
	d.Explain(time.Unix(1_800_000_000, 0), Request{Service: "s", Team: "unknown"}, true)
	must.MapEmpty(t, d.teams)
}

// Guards against a question that takes the turns of a limit: however often it is asked, as many requests are
// sent as without.
func TestExplanationTakesNoTurn(t *testing.T) {
	for _, isEngine := range []bool{true, false} {
		placed := map[bool]int{}
		for _, ask := range []bool{false, true} {
			now := time.Unix(1_800_000_000, 0)
			d := newBuilds()
			register(d, registry.Endpoint{ID: "e1", Service: "s", Slots: 100, Started: now})
			request := Request{Service: "s", Target: time.Second}
			a, refusal := place(d, now, request, isEngine)
			must.Nil(t, refusal)
			a.RecordLimit(now, 1, now)
			a.End(now, endpointload.Succeeded)
			// The unused turns of many seconds.
			now = now.Add(time.Minute)
			for d.allowed(now, "e1") {
				for range 100 {
					if ask {
						must.Eq(t, "e1", d.Explain(now, request, isEngine).Chosen)
					}
				}
				_, refusal = place(d, now, request, isEngine)
				must.Nil(t, refusal)
				placed[ask]++
			}
			x := d.Explain(now, request, isEngine)
			must.Eq(t, Saturated, x.Refusal.Reason)
			must.Eq(t, StateLimited, stateOf(x, "e1"))
		}
		must.Eq(t, placed[false], placed[true])
	}
}

// Guards against a question for which an endpoint in doubt is asked for its incarnation: that is billed.
func TestExplanationSendsNoProbe(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	d := newBuilds()
	register(d, registry.Endpoint{ID: "e1", Service: "s", Slots: 8, Started: now})
	d.DoubtIncarnation(now, "e1")
	request := Request{Service: "s", Target: time.Second, Resumable: true}
	later := now.Add(time.Second)
	must.Eq(t, NoEndpoint, d.Explain(now, request, true).Refusal.Reason)
	must.SliceEmpty(t, d.TakeQuestions(later))
	_, refusal := d.PlaceEngine(now, &request)
	must.NotNil(t, refusal)
	must.Len(t, 1, d.TakeQuestions(later))
}

// makeCold records that an endpoint stays cold for a second. No router is a member of its set yet.
func makeCold(d *Dispatcher, now time.Time, e registry.Endpoint) {
	e.ColdUntil = now.Add(time.Second)
	d.registry.Put(e)
	d.UpdateCold(now, map[string]ColdService{e.Service: {Start: time.Second, Rate: 10}})
}

// Guards against a question for which a cold endpoint that may have restarted is asked for its start, or
// that counts as a placement.
func TestExplanationOfAColdEndpointCountsNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	d := newBuilds()
	e := registry.Endpoint{ID: "e1", Service: "s", Slots: 8, Started: now}
	register(d, e)
	makeCold(d, now, e)
	d.DoubtIncarnation(now, "e1")
	request := Request{Service: "s", Target: time.Second}
	later := now.Add(500 * time.Millisecond)
	for _, isEngine := range []bool{false, true} {
		must.Eq(t, StateCold, stateOf(d.Explain(now, request, isEngine), "e1"))
	}
	must.SliceEmpty(t, d.TakeQuestions(later))
	must.Eq(t, 0, d.cold.leftOut)
	_, refusal := d.PlaceEngine(now, &request)
	must.NotNil(t, refusal)
	must.Eq(t, 1, d.cold.leftOut)
}
