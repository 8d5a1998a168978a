package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/coordination/warmup"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// coldFixture is a dispatcher of the only router of a fleet, some time after its start, with endpoints
// e0, e1, ... of a service with cold endpoints.
type coldFixture struct {
	*Dispatcher
	table    *registry.Table
	now      time.Time
	services map[string]ColdService
}

const coldStart = 8 * time.Second

func newColdFixture(n int) *coldFixture {
	f := &coldFixture{table: registry.NewTable(), now: time.Unix(1_700_000_000, 0), services: map[string]ColdService{"s": {Start: coldStart, Rate: 10}}}
	f.Dispatcher = New("z", f.table, placement.DefaultPolicy(), retry.DefaultLimits())
	f.SetColdBounds(warmup.Bounds{Overshoot: 1.5, Slack: 5})
	f.SetFleet(f.now, warmup.Fleet{Self: "a", Candidates: []string{"a"}})
	f.now = f.now.Add(10 * time.Second)
	f.table.StoreRecovered(f.now.Add(-10 * time.Second))
	for i := range n {
		f.put(fmt.Sprintf("e%d", i), 0)
	}
	return f
}

// put applies an entry.
func (f *coldFixture) put(id string, cold time.Duration) {
	e := registry.Endpoint{ID: id, Service: "s", Zone: "z", Slots: 64, Started: time.Unix(1_600_000_000, 0)}
	if cold > 0 {
		e.ColdUntil = f.now.Add(cold)
	}
	f.table.Put(e)
	f.Restarted(id, e.Started)
	f.UpdateCold(f.now, f.services)
}

// makeMemberOfNone makes this router one that isn't a member of any set.
func (f *coldFixture) makeMemberOfNone() {
	f.SetFleet(f.now, warmup.Fleet{Self: "a", Candidates: []string{"b"}, Heard: 1, Known: []string{"b"}})
}

// place places n requests at the same time and returns how many each endpoint got.
func (f *coldFixture) place(n int) map[string]int {
	got := map[string]int{}
	for range n {
		a, refusal := f.PlaceEngine(f.now, &Request{Service: "s", Cost: prompt.Cost{UnsharedTokens: 10}, Target: time.Second})
		if refusal != nil {
			got["refused"]++
			continue
		}
		got[a.Endpoint.ID]++
		if a.MaySend(f.now) {
			got["sent to "+a.Endpoint.ID]++
		}
		a.End(f.now, endpointload.Succeeded)
	}
	return got
}

// Guards against requests to a cold endpoint beyond the router's turn, and against a router that isn't a
// member of its set and uses it.
func TestColdEndpointGetsOneRequestPerTurn(t *testing.T) {
	f := newColdFixture(2)
	f.put("e0", time.Minute)
	f.put("e1", time.Minute)
	must.Eq(t, map[string]int{"e0": 1, "e1": 1, "sent to e0": 1, "sent to e1": 1, "refused": 4}, f.place(6))
	f.now = f.now.Add(time.Second)
	must.Eq(t, map[string]int{"e0": 1, "e1": 1, "sent to e0": 1, "sent to e1": 1, "refused": 4}, f.place(6))
	cold, leftOut := f.ColdEndpoints(f.now)
	must.Eq(t, 2, cold)
	must.Positive(t, leftOut)

	f.makeMemberOfNone()
	f.now = f.now.Add(time.Second)
	must.Eq(t, map[string]int{"refused": 6}, f.place(6))
	f.put("e1", 0)
	must.Eq(t, map[string]int{"e1": 6, "sent to e1": 6}, f.place(6))
}

// Guards against refusals that send callers back before the next turn, or long after it.
func TestRefusalNamesTheNextTurn(t *testing.T) {
	f := newColdFixture(1)
	f.put("e0", time.Minute)
	must.Eq(t, 1, f.place(1)["e0"])
	request := &Request{Service: "s", Cost: prompt.Cost{UnsharedTokens: 10}, Target: time.Second}
	_, refusal := f.PlaceEngine(f.now, request)
	must.Eq(t, Saturated, refusal.Reason)
	// The only router gives turns for 0.9 of the rate.
	must.Between(t, 111*time.Millisecond, refusal.RetryAfter, 112*time.Millisecond)
	f.now = f.now.Add(refusal.RetryAfter)
	_, refusal = f.PlaceEngine(f.now, request)
	must.Nil(t, refusal)
	_, refusal = f.PlacePlain(f.now, request)
	must.Eq(t, Saturated, refusal.Reason)
	f.now = f.now.Add(refusal.RetryAfter)
	_, refusal = f.PlacePlain(f.now, request)
	must.Nil(t, refusal)
}

// Guards against plain requests, and against further attempts at streams, that ignore turns.
func TestPlainRequestsAndContinuedStreamsNeedTurns(t *testing.T) {
	f := newColdFixture(1)
	f.put("e0", time.Minute)
	request := &Request{Service: "s", Target: time.Second}
	_, refusal := f.PlacePlain(f.now, request)
	must.Nil(t, refusal)
	request.Repeated, request.Continued, request.Begun = true, true, true
	_, refusal = f.PlacePlain(f.now, request)
	must.NotNil(t, refusal)
	_, refusal = f.PlaceEngine(f.now, request)
	must.NotNil(t, refusal)
	must.False(t, f.HasUsable(f.now, "s", nil, 0))
}

// Guards against requests between the moment at which the registry has the entry of a cold endpoint and
// the one at which the dispatcher is told.
func TestEntryIsEffectiveBeforeTheDispatcherIsTold(t *testing.T) {
	f := newColdFixture(1)
	f.makeMemberOfNone()
	e, _ := f.table.Lookup("e0")
	e.Started, e.ColdUntil = f.now, f.now.Add(time.Second)
	f.table.Put(e)
	must.Eq(t, map[string]int{"refused": 3}, f.place(3))
	must.Eq(t, 1, len(f.TakeColdChanges()))
	f.now = f.now.Add(time.Second)
	must.Eq(t, map[string]int{"e0": 3, "sent to e0": 3}, f.place(3))
}

// Guards against a request that was placed before its endpoint became cold, or whose turn is long over,
// and is sent nevertheless, as on a host that was late.
func TestLateRequestIsNotSentToAColdEndpoint(t *testing.T) {
	f := newColdFixture(1)
	request := &Request{Service: "s", Cost: prompt.Cost{UnsharedTokens: 10}, Target: time.Second}
	before, _ := f.PlaceEngine(f.now, request)
	f.put("e0", time.Minute)
	must.False(t, before.MaySend(f.now))
	before.End(f.now, endpointload.NotSent)

	late, refusal := f.PlaceEngine(f.now, request)
	must.Nil(t, refusal)
	f.now = f.now.Add(5 * time.Second)
	must.False(t, late.MaySend(f.now))
	late.End(f.now, endpointload.NotSent)

	// The turn of a request that wasn't sent is used by the next one.
	unsent, refusal := f.PlaceEngine(f.now, request)
	must.Nil(t, refusal)
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	unsent.End(f.now, endpointload.NotSent)
	must.Eq(t, 1, f.place(1)["sent to e0"])
}

// Guards against an endpoint that stays cold although the broken connection was no sign of a crash, as
// after a reset of many sound connections, and against one that isn't asked.
func TestConfirmedEndpointsAreNotColdAfterAReset(t *testing.T) {
	f := newColdFixture(53)
	f.makeMemberOfNone()
	started := time.Unix(1_600_000_000, 0)
	for i := range 53 {
		f.DoubtIncarnation(f.now, fmt.Sprintf("e%d", i))
	}
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	f.now = f.now.Add(100 * time.Millisecond)
	questions := f.TakeQuestions(f.now)
	must.Len(t, 53, questions)
	for _, e := range questions {
		must.False(t, f.Reported(f.now, f.now.Add(-time.Millisecond), e.ID, started))
	}
	must.MapNotContainsKey(t, f.place(20), "refused")
	f.EvictExpired(f.now)
	cold, _ := f.ColdEndpoints(f.now)
	must.Eq(t, 0, cold)
}

// Guards against an endpoint that crashes, restarts under the same identifier and gets all requests before
// its new entry is read.
func TestCrashedEndpointIsColdUntilItsEntryIsRead(t *testing.T) {
	f := newColdFixture(1)
	f.makeMemberOfNone()
	f.DoubtIncarnation(f.now, "e0")
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	asked := f.now.Add(4 * time.Second)
	f.now = asked.Add(time.Millisecond)
	must.True(t, f.Reported(f.now, asked, "e0", f.now.Add(-time.Second)))
	// The suspicion begins again with the news of the restart.
	f.now = f.now.Add(coldStart - time.Millisecond)
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	f.now = f.now.Add(time.Millisecond)
	must.Eq(t, 1, f.place(1)["e0"])
}

// Guards against an endpoint that stays cold by a suspicion after its new entry was read, which says how
// long it is.
func TestEntryOfNewIncarnationEndsTheSuspicion(t *testing.T) {
	f := newColdFixture(1)
	f.makeMemberOfNone()
	f.DoubtIncarnation(f.now, "e0")
	e, _ := f.table.Lookup("e0")
	e.Started, e.ColdUntil = f.now, f.now.Add(time.Second)
	f.table.Put(e)
	f.Restarted("e0", e.Started)
	f.UpdateCold(f.now, f.services)
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	f.now = f.now.Add(time.Second)
	must.Eq(t, 1, f.place(1)["e0"])
}

// reportUnreachable applies a peer's report that it can't reach the endpoints.
func (f *coldFixture) reportUnreachable(peer string, sequence uint64, ids ...string) {
	var loads []endpointload.PeerLoad
	for _, id := range ids {
		loads = append(loads, endpointload.PeerLoad{Endpoint: endpointload.Hash(id), Load: endpointload.Load{Unreachable: true}})
	}
	f.ApplyPeerReport(f.now, PeerReport{Instance: peer, Sequence: sequence, Loads: loads})
}

// Guards against a fleet in which all treat all endpoints as cold because one router can't reach them and
// reports it after each try, and against a question to each endpoint after each report.
func TestPeerThatCannotReachEndpointsDoesNotKeepThemCold(t *testing.T) {
	f := newColdFixture(2)
	f.makeMemberOfNone()
	refused, asked := 0, 0
	for sequence := range uint64(300) {
		f.reportUnreachable("p", sequence+1, "e0", "e1")
		refused += f.place(1)["refused"]
		f.now = f.now.Add(100 * time.Millisecond)
		for _, e := range f.TakeQuestions(f.now) {
			asked++
			must.False(t, f.Reported(f.now, f.now.Add(-time.Millisecond), e.ID, e.Started))
		}
	}
	must.Eq(t, 1, refused)
	must.Eq(t, 2, asked)
}

// Guards against a router that knows of a crash only from a peer, because it had no connection to the
// endpoint, and that sends all its requests once it is up again and before its new entry arrives. The
// endpoint may be down for some seconds.
func TestCrashThatAPeerReportsIsASuspicion(t *testing.T) {
	f := newColdFixture(1)
	f.makeMemberOfNone()
	f.reportUnreachable("p", 1, "e0")
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	f.now = f.now.Add(5 * time.Second)
	f.reportUnreachable("q", 1, "e0")
	f.now = f.now.Add(coldStart - time.Millisecond)
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	must.Len(t, 1, f.TakeQuestions(f.now))
	must.True(t, f.Reported(f.now, f.now.Add(-time.Millisecond), "e0", f.now))
	f.now = f.now.Add(coldStart - time.Millisecond)
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	f.now = f.now.Add(time.Millisecond)
	must.Eq(t, 1, f.place(1)["e0"])
}

// Guards against a zone that gets its whole traffic at the end of its evacuation, and against other zones
// and services that count as cold with it.
func TestReturnedZoneIsCold(t *testing.T) {
	f := newColdFixture(2)
	f.makeMemberOfNone()
	e, _ := f.table.Lookup("e1")
	e.Zone = "other"
	f.table.Put(e)
	f.table.Put(registry.Endpoint{ID: "x", Service: "without", Zone: "other", Slots: 64})
	f.UpdateCold(f.now, f.services)
	f.ZoneReturned(f.now, "other")
	must.Eq(t, 5, f.place(5)["e0"])
	_, refusal := f.PlaceEngine(f.now, &Request{Service: "without", Cost: prompt.Cost{UnsharedTokens: 10}, Target: time.Second})
	must.Nil(t, refusal)
	cold, _ := f.ColdEndpoints(f.now)
	must.Eq(t, 1, cold)
	changes := f.TakeColdChanges()
	must.Eq(t, []ColdChange{{ID: "e1", Change: warmup.Change{
		Endpoint: endpointload.Hash("e1"), Cold: true, Source: warmup.Evacuation, Until: f.now.Add(coldStart),
	}}}, changes)
	f.now = f.now.Add(coldStart)
	f.EvictExpired(f.now)
	cold, _ = f.ColdEndpoints(f.now)
	must.Eq(t, 0, cold)
	must.Eq(t, "e1", f.TakeColdChanges()[0].ID)
}

// Guards against endpoints that stay limited after their service has no cold endpoints any more, and
// against limits on services that never had some.
func TestServiceWithoutColdEndpoints(t *testing.T) {
	f := newColdFixture(1)
	f.makeMemberOfNone()
	f.put("e0", time.Minute)
	must.Eq(t, map[string]int{"refused": 1}, f.place(1))
	f.TakeColdChanges()
	f.services = nil
	f.UpdateCold(f.now, nil)
	must.Eq(t, 1, f.place(1)["e0"])
	changes := f.TakeColdChanges()
	must.Len(t, 1, changes)
	must.Eq(t, "e0", changes[0].ID)
	f.DoubtIncarnation(f.now, "e0")
	f.ZoneReturned(f.now, "z")
	must.Eq(t, 1, f.place(1)["e0"])
}

// Guards against a cold engine that counts as having its home parts cached, which it lost at its start.
func TestHomePartsOfAColdEngineAreUncached(t *testing.T) {
	f := newColdFixture(1)
	cost := prompt.Cost{UnsharedTokens: 10, SharedParts: []prompt.Part{{Key: 5, Tokens: 400}}}
	request := &Request{Service: "s", Cost: cost, Target: time.Second}
	f.put("e0", time.Minute)
	a, refusal := f.PlaceEngine(f.now, request)
	must.Nil(t, refusal)
	must.Eq(t, 400, a.UncachedTokens)
}
