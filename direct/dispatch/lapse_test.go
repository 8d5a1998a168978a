package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/state/registry"
)

// register adds an endpoint whose entry was read.
func register(d *Dispatcher, e registry.Endpoint) {
	d.registry.Put(e)
	d.Restarted(e.ID, e.Started)
}

// newLimited returns a Dispatcher and an endpoint that has named a limit and asked for a pause.
func newLimited(t *testing.T, pause time.Duration) (*Dispatcher, registry.Endpoint, time.Time) {
	t.Helper()
	d := newBuilds("v1")
	now := time.Now()
	e := registry.Endpoint{ID: "e1", Service: "s", Version: "v1", Slots: 8, Started: now}
	register(d, e)
	a, refusal := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second, Exclude: []string{"v1"}})
	must.Nil(t, refusal)
	a.RecordLimit(now, 2, now)
	a.Pause(now, pause)
	a.End(now, 0)
	return d, e, now
}

// Guards against a pause and a limit that are forgotten because the entry of the endpoint that named
// them was away for longer than departures are remembered.
func TestLongLapseKeepsLimitAndPause(t *testing.T) {
	d, e, now := newLimited(t, 4*time.Minute)
	d.registry.Remove(e.ID, now)
	d.registry.Expire(now.Add(2 * time.Minute))
	must.False(t, d.registry.Remembers(e.ID))
	d.EvictExpired(now.Add(2 * time.Minute))
	register(d, e)
	must.Eq(t, 1, d.LimitedEndpoints())
	must.False(t, d.Accepting(e, false))

	d.registry.Remove(e.ID, now)
	d.registry.Expire(now.Add(6 * time.Minute))
	d.EvictExpired(now.Add(6 * time.Minute))
	must.Eq(t, 0, d.LimitedEndpoints())
	must.Eq(t, time.Time{}, d.loads.PausedUntil(now, e.ID), must.Sprint("a pause that is over is dropped"))
}

// Guards against an endpoint that gets more requests than it wants because its entry lapsed in an
// outage of the store and came back: it still names its limit and its pause.
func TestLapsedEntryKeepsLimitAndPause(t *testing.T) {
	d, e, now := newLimited(t, time.Minute)
	d.registry.Remove(e.ID, now)
	d.EvictExpired(now)
	register(d, e)
	must.Eq(t, 1, d.LimitedEndpoints())
	must.False(t, d.Accepting(e, false))

	d.registry.Remove(e.ID, now)
	d.EvictExpired(now)
	e.Started = now.Add(time.Second)
	register(d, e)
	must.Eq(t, 0, d.LimitedEndpoints(), must.Sprint("another instance"))
	must.True(t, d.Accepting(e, false))

	d.registry.Remove(e.ID, now)
	d.registry.Expire(now.Add(2 * time.Minute))
	d.EvictExpired(now)
	must.MapEmpty(t, d.loads.OwnLoads(now))
	must.False(t, d.registry.Remembers(e.ID))
}
