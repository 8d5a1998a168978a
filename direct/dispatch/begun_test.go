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

// newBegun returns a Dispatcher with engines of one build and an idle one of another build, and the
// request of a stream that has begun at the first engine and broke off.
func newBegun(engines ...string) (*Dispatcher, *Request) {
	d := newBuilds("v2")
	for _, id := range engines {
		d.registry.Put(registry.Endpoint{ID: id, Service: "s", Version: "v1", Slots: 8})
	}
	return d, &Request{
		Service: "s", Cost: prompt.Cost{UnsharedTokens: 2000}, Target: time.Second, Exclude: engines[:1],
		Build: streamorigin.BuildOf("s", "v1"), Continued: true, Repeated: true, Begun: true,
	}
}

// saturate places requests until all endpoints of the request's build but the excluded ones are
// above the limits, also for streams that continue after the caller has come back.
func saturate(t *testing.T, d *Dispatcher, now time.Time, request *Request) {
	t.Helper()
	fill := *request
	fill.Begun = false
	for range 1000 {
		if _, refusal := d.PlaceEngine(now, &fill); refusal != nil {
			must.Eq(t, Saturated, refusal.Reason)
			return
		}
	}
	t.Fatal("the engines are never saturated")
}

// stall makes an endpoint stall; it returns the time then.
func stall(t *testing.T, d *Dispatcher, now time.Time, request *Request, id string) time.Time {
	t.Helper()
	exclude := []string{}
	for _, e := range d.registry.Ready(request.Service) {
		if e.ID != id {
			exclude = append(exclude, e.ID)
		}
	}
	a, refusal := d.PlaceEngine(now, &Request{Service: request.Service, Target: time.Minute, Exclude: exclude})
	must.Nil(t, refusal)
	must.Eq(t, id, a.Endpoint.ID)
	a.Sent(now)
	now = now.Add(time.Second)
	must.True(t, a.Stalled(now))
	return now
}

// Guards against a stream that is cut because all other endpoints of its build are too busy for new
// requests or silent, and against one that goes on at another build.
func TestBegunStreamIsPlacedWhateverTheLoad(t *testing.T) {
	t.Run("saturated", func(t *testing.T) {
		d, request := newBegun("e1", "e2", "e3")
		now := time.Unix(1_700_000_000, 0)
		saturate(t, d, now, request)
		a, refusal := d.PlaceEngine(now, request)
		must.Nil(t, refusal)
		must.SliceContains(t, []string{"e2", "e3"}, a.Endpoint.ID)
	})
	t.Run("stalled", func(t *testing.T) {
		d, request := newBegun("e1", "e2")
		now := stall(t, d, time.Unix(1_700_000_000, 0), request, "e2")
		again := *request
		again.Begun = false
		_, refusal := d.PlaceEngine(now, &again)
		must.NotNil(t, refusal)
		a, refusal := d.PlaceEngine(now, request)
		must.Nil(t, refusal)
		must.Eq(t, "e2", a.Endpoint.ID)
	})
	t.Run("saturated and stalled", func(t *testing.T) {
		d, request := newBegun("e1", "e2")
		now := time.Unix(1_700_000_000, 0)
		saturate(t, d, now, request)
		now = now.Add(time.Second)
		a, refusal := d.PlaceEngine(now, request)
		must.Nil(t, refusal)
		must.Eq(t, "e2", a.Endpoint.ID)
	})
	t.Run("a working one before a stalled one", func(t *testing.T) {
		d, request := newBegun("e1", "e2", "e3")
		now := stall(t, d, time.Unix(1_700_000_000, 0), request, "e2")
		for range 5 {
			a, refusal := d.PlaceEngine(now, request)
			must.Nil(t, refusal)
			must.Eq(t, "e3", a.Endpoint.ID)
		}
	})
	t.Run("paused, unreachable or at its own limit", func(t *testing.T) {
		now := time.Unix(1_700_000_000, 0)
		for name, prevent := range map[string]func(a *Assignment){
			"paused":      func(a *Assignment) { a.Pause(now, time.Minute); a.End(now, endpointload.Refused) },
			"unreachable": func(a *Assignment) { a.End(now, endpointload.ConnectFailed) },
			"limited":     func(a *Assignment) { a.RecordLimit(now, 0, now); a.End(now, endpointload.Refused) },
		} {
			d, request := newBegun("e1", "e2")
			a, refusal := d.PlaceEngine(now, request)
			must.Nil(t, refusal)
			prevent(a)
			_, refusal = d.PlaceEngine(now, request)
			must.NotNil(t, refusal, must.Sprint(name, ": the endpoint wants no request"))
		}
	})
}

// Guards against a stream that is cut because one of the other endpoints is at the limit that it
// named, while another one is only silent.
func TestBegunStreamIsPlacedBesideALimitedEndpoint(t *testing.T) {
	d, request := newBegun("e1", "e2", "e3")
	now := stall(t, d, time.Unix(1_700_000_000, 0), request, "e2")
	limited, refusal := d.PlaceEngine(now, request)
	must.Nil(t, refusal)
	must.Eq(t, "e3", limited.Endpoint.ID)
	limited.RecordLimit(now, 0, now)
	limited.End(now, endpointload.Refused)
	a, refusal := d.PlaceEngine(now, request)
	must.Nil(t, refusal)
	must.Eq(t, "e2", a.Endpoint.ID)
}

// Guards against a stream of a service without engines that is cut because all its other endpoints
// are too busy for new requests or silent.
func TestBegunStreamOfAPlainServiceIsPlacedWhateverTheLoad(t *testing.T) {
	newPlain := func() (*Dispatcher, *Request) {
		d, request := newBegun("e1", "e2")
		request.Cost = prompt.Cost{}
		return d, request
	}
	t.Run("saturated", func(t *testing.T) {
		d, request := newPlain()
		now := time.Unix(1_700_000_000, 0)
		fill := *request
		fill.Begun = false
		for refused := false; !refused; {
			_, refusal := d.PlacePlain(now, &fill)
			refused = refusal != nil
		}
		a, refusal := d.PlacePlain(now, request)
		must.Nil(t, refusal)
		must.Eq(t, "e2", a.Endpoint.ID)
	})
	t.Run("stalled", func(t *testing.T) {
		d, request := newPlain()
		now := stall(t, d, time.Unix(1_700_000_000, 0), request, "e2")
		a, refusal := d.PlacePlain(now, request)
		must.Nil(t, refusal)
		must.Eq(t, "e2", a.Endpoint.ID)
	})
}
