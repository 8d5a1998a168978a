package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against a response that is cut, because the endpoint that breaks off is replaced like one
// of a new request: other endpoints are saturated or stalled.
func TestBegunStreamIsPlacedBeyondTheLimitsOfNewRequests(t *testing.T) {
	endpoints := registry.NewTable()
	endpoints.Put(registry.Endpoint{ID: "e1", Service: "engines", Zone: "z", Version: "v1", Slots: 4})
	d := New("z", endpoints, placement.DefaultPolicy(), retry.DefaultLimits())
	now := time.Unix(1_700_000_000, 0)
	request := &Request{Service: "engines", Cost: prompt.Cost{UnsharedTokens: 3000}, Target: time.Minute}
	var last *Assignment
	for {
		a, refusal := d.PlaceEngine(now, request)
		if refusal != nil {
			must.Eq(t, Saturated, refusal.Reason)
			break
		}
		last = a
	}
	begun := *request
	begun.Begun, begun.Repeated, begun.Continued = true, true, true
	_, refusal := d.PlaceEngine(now, &begun)
	must.Nil(t, refusal)

	now = now.Add(time.Minute)
	_, refusal = d.PlaceEngine(now, request)
	must.Eq(t, NoEndpoint, refusal.Reason)
	_, refusal = d.PlaceEngine(now, &begun)
	must.Nil(t, refusal)

	last.Pause(now, time.Second)
	_, refusal = d.PlaceEngine(now, &begun)
	must.Eq(t, Paused, refusal.Reason)
}
