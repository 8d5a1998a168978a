package entry_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// useEvacuations gives the router a table of evacuated zones. Endpoints are in zone z if not said
// otherwise.
func (r *router) useEvacuations() *evacuation.Table {
	t := evacuation.NewTable()
	r.handler.Dispatcher.UseEvacuations(t)
	return t
}

// register adds an endpoint that was started before.
func (r *router) register(id, service, zone string, e *directtest.Endpoint) {
	r.endpoints.Put(registry.Endpoint{ID: id, Service: service, Address: e.Address, Zone: zone, Version: "v1", Slots: 4})
}

// Guards against a request that was placed before the evacuation of a zone and is written after it, on a
// new connection or on one that carried a request before.
func TestPlacedRequestIsNotWrittenToAnEvacuatedZone(t *testing.T) {
	for _, reused := range []bool{false, true} {
		r := newRouter(t)
		evacuations := r.useEvacuations()
		before := r.add("e1", "plain", ok)
		calls := 0
		if reused {
			must.Eq(t, http.StatusOK, r.post("/order/0").status)
			calls = 1
		}
		next := directtest.NewEndpoint(t, ok)
		_, conn := connPair(t)
		w := r.serveDelayed("/order/1", changingOnSecondCheck{Conn: conn, checks: new(int), change: func() {
			evacuations.Begin("z")
			r.register("e2", "plain", "y", next)
		}})
		must.Eq(t, http.StatusOK, w.Code)
		must.Len(t, calls, before.Calls())
		must.Len(t, 1, next.Calls())
	}
}

// Guards against callers that wait, or aren't told when to come back and that nothing ran, while all
// endpoints are in evacuated zones, and against an evacuation that outlives its end.
func TestRequestsOfAnEvacuatedServiceAreRefused(t *testing.T) {
	r := newRouter(t)
	evacuations := r.useEvacuations()
	plain, engine := r.add("e1", "plain", ok), r.add("e2", "engines", streamFrom("v1", streamEvents, streamEvents))
	evacuations.Begin("z")
	for _, path := range []string{"/order/1", "/lookup/1", "/stream/1", "/resumable/1"} {
		got := r.post(path)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, "1.00", got.header.Get("Retry-After"))
		must.StrContains(t, got.body, "all endpoints are in evacuated zones")
		must.StrContains(t, got.body, "not-run")
	}
	must.Len(t, 0, append(plain.Calls(), engine.Calls()...))
	evacuations.End("z")
	must.Eq(t, http.StatusOK, r.post("/order/1").status)
	must.Eq(t, http.StatusOK, r.post("/stream/1").status)
}

// Guards against requests and streams that are ended because their zone is evacuated.
func TestRequestsInProgressOutliveTheEvacuation(t *testing.T) {
	for _, path := range []string{"/stream/1", "/resumable/1"} {
		r := newRouter(t)
		evacuations := r.useEvacuations()
		other := directtest.NewEndpoint(t, ok)
		e := r.add("e1", "engines", silentAfter(2)(func() {
			evacuations.Begin("z")
			r.register("e2", "engines", "y", other)
		}))
		got := r.post(path)
		must.NoError(t, got.err)
		must.Eq(t, completeStream(), got.body)
		must.Len(t, 1, e.Calls())
		must.Len(t, 0, other.Calls())
	}
	r := newRouter(t)
	evacuations := r.useEvacuations()
	r.add("e1", "plain", func(c net.Conn, call *directtest.Call) bool {
		evacuations.Begin("z")
		return ok(c, call)
	})
	must.Eq(t, http.StatusOK, r.post("/order/1").status)
}

// Guards against retries, continuations of streams and second attempts beside a silent endpoint that go
// to an evacuated zone: each is taken by the only endpoint elsewhere, though the others are nearer.
func TestFurtherAttemptsAvoidTheEvacuatedZone(t *testing.T) {
	silent := func(events int) directtest.Script {
		return func(c net.Conn, call *directtest.Call) bool {
			directtest.BeginStream(c, call)
			if events > 0 {
				directtest.Chunk(c, eventsFrom(1, events))
			}
			_, _ = c.Read(make([]byte, 1))
			return false
		}
	}
	broken := func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, eventsFrom(1, 2))
		return reset(c, call)
	}
	stream := silentAfter(streamEvents)(func() {})
	for _, c := range []struct {
		name, path, service, want string
		first, sound              directtest.Script
	}{
		{"retry", "/lookup/1", "plain", "ok", reset, ok},
		{"retry after a refusal", "/order/1", "plain", "ok", func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusServiceUnavailable, "", headers.NotExecuted+": 1")
			return true
		}, ok},
		{"hedge of a request", "/lookup/1", "plain", "ok", func(c net.Conn, _ *directtest.Call) bool {
			_, _ = c.Read(make([]byte, 1))
			return false
		}, ok},
		{"continuation", "/resumable/1", "engines", completeStream(), broken, stream},
		{"hedge before the first event", "/resumable/1", "engines", completeStream(), silent(0), stream},
		{"hedge after two events", "/resumable/1", "engines", completeStream(), silent(2), stream},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			logOnFailure(t, r)
			evacuations := r.useEvacuations()
			near, far := directtest.NewEndpoint(t, c.sound), directtest.NewEndpoint(t, c.sound)
			r.add("first", c.service, func(conn net.Conn, call *directtest.Call) bool {
				evacuations.Begin("z")
				r.register("near", c.service, "z", near)
				r.register("far", c.service, "y", far)
				return c.first(conn, call)
			})
			got := r.post(c.path)
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, c.want, got.body)
			must.Len(t, 0, near.Calls())
			must.Len(t, 1, far.Calls())
			mustBeIdle(t, r)
		})
	}
}
