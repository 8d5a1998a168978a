package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// newBuilds returns a Dispatcher with one engine of each version, named like it.
func newBuilds(versions ...string) *Dispatcher {
	table := registry.NewTable()
	for _, v := range versions {
		table.Put(registry.Endpoint{ID: v, Service: "s", Version: v, Slots: 8})
	}
	return New("", table, placement.DefaultPolicy(), retry.DefaultLimits())
}

// Guards against a continued stream at another build, whatever its load, and against one
// that is refused because the only engines of its build are as busy as all others.
func TestContinuedStreamIsPlacedAtItsBuild(t *testing.T) {
	d := newBuilds("v1", "v2")
	now := time.Unix(1_700_000_000, 0)
	request := &Request{Service: "s", Cost: prompt.Cost{UnsharedTokens: 2000}, Target: time.Second}
	placed := 0
	for ; ; placed++ {
		if _, refusal := d.PlaceEngine(now, request); refusal != nil {
			must.Eq(t, Saturated, refusal.Reason)
			break
		}
	}
	continued := *request
	continued.Build, continued.Continued = streamorigin.BuildOf("s", "v2"), true
	a, refusal := d.PlaceEngine(now, &continued)
	must.Nil(t, refusal, must.Sprint("after", placed, "new requests"))
	must.Eq(t, "v2", a.Endpoint.ID)
	for range 100 {
		if a, refusal = d.PlaceEngine(now, &continued); refusal != nil {
			break
		}
		must.Eq(t, "v2", a.Endpoint.ID)
	}
	must.NotNil(t, refusal, must.Sprint("continued streams have limits, too"))
}

// Guards against a stream that waits for an engine of a build that no longer exists.
func TestBuildWithoutReadyEndpoint(t *testing.T) {
	d := newBuilds("v1")
	d.registry.Put(registry.Endpoint{ID: "leaving", Service: "s", Version: "v2", State: registry.Draining})
	v1, v2 := streamorigin.BuildOf("s", "v1"), streamorigin.BuildOf("s", "v2")
	must.True(t, d.HasReady("s", v1))
	must.False(t, d.HasReady("s", v2))
	must.False(t, d.HasReady("other", v1))
	must.False(t, d.HasUsable(time.Unix(1_700_000_000, 0), "s", nil, v2))
	d.registry.Put(registry.Endpoint{ID: "p", Service: "plain", Version: "v1"})
	must.Eq(t, map[string]map[streamorigin.Build]int{
		"s": {v1: len(d.registry.Ready("s")), v2: 1}, "plain": {streamorigin.BuildOf("plain", "v1"): 1},
	}, d.Builds(), must.Sprint("endpoints that drain still write to streams"))
}
