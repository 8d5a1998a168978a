package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against streams of two versions: an endpoint that came back under its identifier while its
// entry is still that of the incarnation before neither begins nor continues a stream that may be
// resumed, and other requests don't wait for it.
func TestDoubtedIncarnationGetsNoResumableStreams(t *testing.T) {
	now := time.Now()
	d := newBuilds()
	e := registry.Endpoint{ID: "e1", Service: "s", Version: "v1", Slots: 8, Started: now}
	register(d, e)
	v1 := streamorigin.BuildOf("s", "v1")
	resumable := &Request{Service: "s", Target: time.Second, Resumable: true}
	continued := &Request{Service: "s", Target: time.Second, Build: v1, Continued: true}
	other := &Request{Service: "s", Target: time.Second}
	usable := func(request *Request) bool {
		a, refusal := d.PlaceEngine(now, request)
		if refusal != nil {
			return false
		}
		a.End(now, endpointload.NotSent)
		return true
	}
	must.True(t, usable(resumable) && usable(continued) && usable(other) && d.HasReady("s", v1))
	chosen := e

	d.DoubtIncarnation(now, "e1")
	must.False(t, usable(resumable))
	must.False(t, usable(continued))
	must.True(t, usable(other))
	must.False(t, d.HasReady("s", v1))
	must.False(t, d.HasUsable(now, "s", nil, v1))
	must.False(t, d.Accepting(chosen, true), must.Sprint("chosen before the doubt"))
	must.True(t, d.Accepting(chosen, false))

	e.Version, e.Started = "v2", now.Add(time.Second)
	d.registry.Put(e)
	must.False(t, usable(resumable), must.Sprint("until the dispatcher knows of the restart"))
	d.Restarted(e.ID, e.Started)
	must.True(t, usable(resumable) && !usable(continued))
	must.False(t, d.Accepting(chosen, true), must.Sprint("chosen as another incarnation"))
	must.True(t, d.Accepting(e, true))
}

// Guards against what is known of an incarnation outliving it: after an endpoint has reported another
// start, its pause, limit and cached parts are gone, and its stale entry doesn't bring them back.
func TestReportedRestartDiscardsWhatWasKnown(t *testing.T) {
	now := time.Now()
	d := newBuilds()
	e := registry.Endpoint{ID: "e1", Service: "s", Version: "v1", Slots: 8, Started: now}
	register(d, e)
	shared := []prompt.Part{{Key: 1, Tokens: 500}}
	a, refusal := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second, Cost: prompt.Cost{SharedParts: shared}})
	must.Nil(t, refusal)
	a.RecordLimit(now, 2, now)
	a.Pause(now, time.Minute)
	a.End(now, endpointload.Succeeded)
	must.Eq(t, 0, d.loads.View(now, "e1", shared).UncachedTokens)

	d.DoubtIncarnation(now, "e1")
	must.True(t, d.Reported(now, now.Add(1), "e1", now.Add(time.Second)))
	for range 2 {
		must.Eq(t, 500, d.loads.View(now, "e1", shared).UncachedTokens)
		must.Eq(t, 0, d.LimitedEndpoints())
		must.True(t, d.Accepting(e, false))
		must.False(t, d.Accepting(e, true), must.Sprint("its version is unknown"))
		d.Restarted(e.ID, e.Started)
	}
}

// Guards against an older entry that is passed on late: it is not a restart.
func TestLateCallWithOlderStartIsNoRestart(t *testing.T) {
	now := time.Now()
	d := newBuilds()
	e := registry.Endpoint{ID: "e1", Service: "s", Version: "v1", Slots: 8, Started: now.Add(time.Second)}
	register(d, e)
	a, refusal := d.PlaceEngine(now, &Request{Service: "s", Target: time.Second})
	must.Nil(t, refusal)
	a.Pause(now, time.Minute)
	d.Restarted(e.ID, now)
	must.False(t, d.Accepting(e, false))
}

// Guards against a limit, a pause or a failure of an incarnation that has ended counting for the next
// one: its last responses are read after its successor is known, and peers report its limit.
func TestEarlierIncarnationSaysNothingOfTheNext(t *testing.T) {
	now := time.Now()
	d := newBuilds()
	e := registry.Endpoint{ID: "e1", Service: "s", Version: "v1", Slots: 8, Started: now.Add(-time.Minute)}
	register(d, e)
	place := func() *Assignment {
		a, refusal := d.PlaceEngine(time.Now(), &Request{Service: "s", Target: time.Second})
		must.Nil(t, refusal)
		return a
	}
	first, late, broken := place(), place(), place()
	must.True(t, first.RecordLimit(now, 50, now))
	first.End(now, endpointload.Succeeded)
	ofPeers, _ := d.Limits(now)

	e.Started = now
	register(d, e)
	must.False(t, late.RecordLimit(time.Now(), 50, now))
	late.Pause(time.Now(), time.Minute)
	late.End(time.Now(), endpointload.Refused)
	broken.End(time.Now(), endpointload.Failed)
	d.MergeLimits(time.Now(), "peer", 10, ofPeers)
	must.Eq(t, 0, d.LimitedEndpoints())
	must.True(t, d.Accepting(e, true))
	must.Eq(t, 0, d.loads.View(time.Now(), "e1", nil).FailureRate)

	next := place()
	must.True(t, next.RecordLimit(time.Now(), 20, time.Now()), must.Sprint("its own limit counts"))
	next.Pause(time.Now(), time.Minute)
	must.False(t, d.Accepting(e, true), must.Sprint("and so does its pause"))
}
