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
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// newZones returns a Dispatcher in zone a with two endpoints in each zone, and its evacuations.
func newZones(zones ...string) (*Dispatcher, *evacuation.Table) {
	table := registry.NewTable()
	for _, zone := range zones {
		for i := range 2 {
			table.Put(registry.Endpoint{ID: fmt.Sprintf("%s%d", zone, i), Service: "s", Zone: zone, Version: "v1", Slots: 8})
		}
	}
	d, evacuations := New("a", table, placement.DefaultPolicy(), retry.DefaultLimits()), evacuation.NewTable()
	d.UseEvacuations(evacuations)
	return d, evacuations
}

// placeIn returns the zone at which each kind of service places a request, or the refusal.
func (d *Dispatcher) placeIn(now time.Time, r *Request, engine bool) (zone string, refusal *Refusal) {
	place := d.PlacePlain
	if engine {
		place = d.PlaceEngine
	}
	a, refusal := place(now, r)
	if refusal != nil {
		return "", refusal
	}
	a.End(now, endpointload.NotSent)
	return a.Endpoint.Zone, nil
}

// Guards against placements in an evacuated zone, of any kind of request: the zone of this router is
// preferred, a prompt's parts are cached there, a stream has begun or continues.
func TestEvacuatedZoneGetsNoPlacements(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d, evacuations := newZones("a", "b")
	shared := prompt.Parse("5c:800,dead:10,e4:250", "", "")
	requests := map[string]*Request{
		"new":       {},
		"shared":    {Cost: shared},
		"retry":     {Exclude: []string{"b0"}, Repeated: true},
		"resumable": {Resumable: true},
		"continued": {Resumable: true, Build: streamorigin.BuildOf("s", "v1"), Continued: true, Repeated: true, Begun: true},
	}
	for name, r := range requests {
		r.Service, r.Target = "s", time.Second
		for _, engine := range []bool{false, true} {
			evacuations.End("a")
			seen := map[string]bool{}
			for _, evacuated := range []bool{false, true} {
				if evacuated {
					evacuations.Begin("a")
				}
				for range 20 {
					zone, refusal := d.placeIn(now, r, engine)
					must.Nil(t, refusal, must.Sprint(name))
					if evacuated {
						must.Eq(t, "b", zone, must.Sprint(name, engine))
					} else {
						seen[zone] = true
					}
				}
			}
			must.True(t, seen["a"] || name == "shared", must.Sprint(name, "the zone of the router is used before"))
		}
	}
}

// Guards against requests that wait or get a misleading refusal while all endpoints that could run them
// are evacuated, and against an evacuation that outlives its end.
func TestServiceInEvacuatedZonesIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d, evacuations := newZones("a", "b")
	request := &Request{Service: "s", Target: time.Second}
	evacuations.Begin("a")
	evacuations.Begin("b")
	for _, engine := range []bool{false, true} {
		_, refusal := d.placeIn(now, request, engine)
		must.NotNil(t, refusal)
		must.Eq(t, Evacuated, refusal.Reason)
		must.Eq(t, time.Second, refusal.RetryAfter)
		_, refusal = d.placeIn(now, &Request{Service: "other", Target: time.Second}, engine)
		must.Eq(t, NoEndpoint, refusal.Reason)
	}
	must.False(t, d.HasUsable(now, "s", nil, streamorigin.AnyBuild))
	evacuations.End("b")
	must.True(t, d.HasUsable(now, "s", nil, streamorigin.AnyBuild))
	must.False(t, d.HasUsable(now, "s", []string{"b0", "b1"}, streamorigin.AnyBuild), must.Sprint("a hedge goes nowhere else"))
	for _, engine := range []bool{false, true} {
		zone, refusal := d.placeIn(now, request, engine)
		must.Nil(t, refusal)
		must.Eq(t, "b", zone)
	}
}

// Guards against a refusal that names an evacuation although the endpoints elsewhere have asked for a
// pause, and callers that come back before those do.
func TestPauseOutsideOfEvacuatedZonesIsNamed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d, evacuations := newZones("a", "b")
	evacuations.Begin("a")
	for range 2 {
		a, refusal := d.PlacePlain(now, &Request{Service: "s", Target: time.Second})
		must.Nil(t, refusal)
		a.Pause(now, 5*time.Second)
		a.End(now, endpointload.Refused)
	}
	_, refusal := d.PlacePlain(now, &Request{Service: "s", Target: time.Second})
	must.Eq(t, Paused, refusal.Reason)
	must.GreaterEq(t, 5*time.Second, refusal.RetryAfter)
}

// Guards against a stream whose build counts as gone while its endpoints are evacuated: it would be told
// so, or go on at another build, where joined events are corrupt.
func TestBuildInAnEvacuatedZoneIsNotGone(t *testing.T) {
	now := time.Now()
	d, evacuations := newZones("a", "b")
	v2 := streamorigin.BuildOf("s", "v2")
	d.registry.Put(registry.Endpoint{ID: "new", Service: "s", Zone: "c", Version: "v2", Slots: 8, Started: now})
	d.Restarted("new", now)
	evacuations.Begin("c")
	must.True(t, d.HasReady("s", v2))
	d.DoubtIncarnation(now, "new")
	must.True(t, d.HasReady("s", v2), must.Sprint("the doubt can't be settled now"))
	must.False(t, d.HasReady("s", streamorigin.BuildOf("s", "v3")))
	_, refusal := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second, Build: v2, Continued: true})
	must.Eq(t, Evacuated, refusal.Reason)
	evacuations.End("c")
	must.False(t, d.HasReady("s", v2), must.Sprint("in doubt, as without an evacuation"))
}

// Guards against a request that was placed before the evacuation and is written after it, and against
// requests in progress there that aren't counted.
func TestPlacedRequestIsRejectedBeforeItsWrite(t *testing.T) {
	now := time.Now()
	d, evacuations := newZones("a")
	a, refusal := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second})
	must.Nil(t, refusal)
	must.True(t, d.Accepting(a.Endpoint, false))
	must.Eq(t, 0, d.EvacuatedInProgress(now))
	evacuations.Begin("a")
	must.False(t, d.Accepting(a.Endpoint, false))
	must.Eq(t, 1, d.EvacuatedInProgress(now))
	a.End(now, endpointload.Succeeded)
	must.Eq(t, 0, d.EvacuatedInProgress(now))
	evacuations.End("a")
	must.True(t, d.Accepting(a.Endpoint, false))
}

// Guards against a question to an endpoint in an evacuated zone, and against a doubt that isn't settled
// soon after the zone's return, however long the evacuation was.
func TestQuestionsWaitForTheReturnOfTheZone(t *testing.T) {
	now := time.Now()
	d, evacuations := newZones("a")
	resumable := &Request{Service: "s", Target: time.Second, Resumable: true}
	for _, id := range []string{"a0", "a1"} {
		d.Restarted(id, now.Add(-time.Hour))
		d.DoubtIncarnation(now, id)
	}
	_, refusal := d.PlaceEngine(now, resumable)
	must.NotNil(t, refusal, must.Sprint("both are in doubt, and now wanted"))
	evacuations.Begin("a")
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		must.SliceEmpty(t, d.TakeQuestions(now))
	}
	evacuations.End("a")
	must.Len(t, 2, d.TakeQuestions(now))
}

// BenchmarkDecisionInEvacuation measures one placement among 53 engines in 4 zones, one of which is
// evacuated.
func BenchmarkDecisionInEvacuation(b *testing.B) {
	for _, evacuated := range []bool{false, true} {
		b.Run(fmt.Sprintf("evacuated=%t", evacuated), func(b *testing.B) {
			table := registry.NewTable()
			for i := range 53 {
				table.Put(registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: 64, Zone: fmt.Sprint("z", i%4)})
			}
			d, evacuations := New("z1", table, placement.DefaultPolicy(), retry.DefaultLimits()), evacuation.NewTable()
			d.UseEvacuations(evacuations)
			if evacuated {
				evacuations.Begin("z0")
			}
			now := time.Now()
			request := &Request{Service: "s", Cost: prompt.Parse("aa:500,bb:5000,cc:600", "6100,300", ""), Target: time.Second}
			for b.Loop() {
				a, refusal := d.PlaceEngine(now, request)
				if refusal != nil {
					b.Fatal(refusal.Reason)
				}
				a.End(now, endpointload.NotSent)
			}
		})
	}
}
