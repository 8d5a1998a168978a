package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// streamFrom returns a script that continues a stream after the caller's last event with a
// version's events up to last, and then ends it, or breaks it off if last is below total.
func streamFrom(version string, last, total int) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		first := 0
		_, _ = fmt.Sscan(call.Header.Get(headers.LastEventID), &first)
		directtest.BeginStream(c, call)
		for n := first + 1; n <= last; n++ {
			directtest.Chunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", n, version))
		}
		if last < total {
			return false
		}
		directtest.Chunk(c, "")
		return true
	}
}

// takeUp takes up the stream that attempt began, after an event.
func (r *router) takeUp(attempt string, after int) result {
	r.t.Helper()
	in := r.request(http.MethodPost, "/resumable/1", "body")
	in.Header.Set(headers.RequestID, "id-2")
	in.Header.Set(headers.LastEventID, fmt.Sprint(after))
	if attempt != "" {
		in.Header.Set(headers.Resumes, attempt)
	}
	return r.do(in)
}

// Guards against a stream that the router itself continues at an endpoint of another version.
func TestInterruptedStreamContinuesAtItsVersion(t *testing.T) {
	for range 20 {
		r := newRouter(t)
		r.addVersion("e0", "engines", "v1", streamFrom("v1", 2, 4))
		began := r.post("/resumable/1")
		must.ErrorContains(t, began.err, "EOF")

		r = newRouter(t)
		r.addVersion("e0", "engines", "v1", streamFrom("v1", 2, 4))
		r.addVersion("e1", "engines", "v2", streamFrom("v2", 2, 4))
		r.addVersion("e2", "engines", "v1", streamFrom("v1", 4, 4))
		r.addVersion("e3", "engines", "v2", streamFrom("v2", 4, 4))
		got := r.post("/resumable/1")
		must.NoError(t, got.err)
		must.Eq(t, 4, strings.Count(got.body, "id:"))
		must.False(t, strings.Contains(got.body, "v1") && strings.Contains(got.body, "v2"), must.Sprint(got.body))
	}
}

// Guards against a stream that its caller takes up again and that goes on at an endpoint of
// another version.
func TestStreamTakenUpGoesOnAtItsVersion(t *testing.T) {
	for range 20 {
		r := newRouter(t)
		r.addVersion("e0", "engines", "v1", streamFrom("v1", 2, 4))
		must.Error(t, r.post("/resumable/1").err)
		r.endpoints.Remove("e0", time.Now())
		r.addVersion("e1", "engines", "v2", streamFrom("v2", 4, 4))
		r.addVersion("e2", "engines", "v2", streamFrom("v2", 4, 4))
		r.addVersion("e3", "engines", "v1", streamFrom("v1", 4, 4))
		got := r.takeUp("id-1", 2)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "id: 3\ndata: v1\n\nid: 4\ndata: v1\n\n", got.body)
	}
}

// Guards against a stream that goes on at another version because no endpoint of its own is
// left, or because the version that began it is unknown. Both are refused at once.
func TestStreamOfAnotherOrUnknownVersionIsRefused(t *testing.T) {
	r := newRouter(t)
	e := r.addVersion("e1", "engines", "v2", streamFrom("v2", 4, 4))
	must.Eq(t, http.StatusServiceUnavailable, r.takeUp("unknown", 2).status)
	r.origins.Record("id-1", dispatch.BuildOf(registry.Endpoint{Service: "engines", Version: "v1"}))
	refused := r.takeUp("id-1", 2)
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.NotEq(t, "", refused.header.Get("Retry-After"))
	must.Len(t, 0, e.Calls())
}

// Guards against a stream that is refused because its route moved to several services.
func TestStreamTakenUpGoesOnAtItsService(t *testing.T) {
	r := newRouter(t)
	r.addVersion("p1", "plain", "v1", streamFrom("plain", 4, 4))
	r.origins.Record("id-1", dispatch.BuildOf(registry.Endpoint{Service: "plain", Version: "v1"}))
	must.Eq(t, http.StatusServiceUnavailable, r.takeUp("id-1", 2).status, must.Sprint("the route doesn't lead to the service"))
	r.addVersion("e1", "engines", "v1", streamFrom("engines", 4, 4))
	must.Eq(t, http.StatusServiceUnavailable, r.takeUp("id-1", 2).status)
}

// Guards against interrupted streams of a team above its share that can't be taken up, and
// against a team that gets any number of requests by taking up one stream.
func TestStreamTakenUpIsNotLimitedByTheShare(t *testing.T) {
	r := newRouter(t)
	r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
	r.origins.Record("id-1", dispatch.BuildOf(registry.Endpoint{Service: "engines", Version: "v1"}))
	now := time.Now()
	r.handler.Dispatcher.SetCapacity(1000, 1)
	r.handler.Dispatcher.RecordRequest(now, "engines", "t1", 1_000_000)
	// Another team with the same demand has got so little that this one must wait.
	r.handler.Dispatcher.ApplyPeerReport(now, dispatch.PeerReport{Instance: "peer", Sequence: 1, HasTeams: true, Teams: []dispatch.TeamUsage{
		{Team: dispatch.TeamHash("other"), Usage: fairshare.Usage{Requested: 1_000_000, Started: 10, Begun: 10}},
		{Team: dispatch.TeamHash("t1"), Usage: fairshare.Usage{Requested: 1_000_000, Started: 100_000, Begun: 100_000}},
	}})
	must.Eq(t, http.StatusTooManyRequests, r.post("/resumable/1").status)
	for range 3 {
		must.Eq(t, http.StatusOK, r.takeUp("id-1", 2).status)
	}
	must.Eq(t, http.StatusTooManyRequests, r.takeUp("id-1", 2).status)
}

func buildOfVersion(version string) streamorigin.Build {
	return dispatch.BuildOf(registry.Endpoint{Service: "engines", Version: version})
}

// Guards against a caller that gets the first event of a stream whose origin is lost if all
// routers are killed right then.
func TestFirstEventWaitsForItsOrigin(t *testing.T) {
	r := newRouter(t)
	r.addVersion("e1", "engines", "v2", streamFrom("v2", 4, 4))
	saved, began := make(chan struct{}), make(chan struct{})
	r.origins.onBegin = func() { close(began); <-saved }
	answered := make(chan result)
	go func() { answered <- r.post("/resumable/1") }()
	<-began
	select {
	case <-answered:
		t.Fatal("answered before the origin was saved")
	case <-time.After(100 * time.Millisecond):
	}
	close(saved)
	got := <-answered
	must.NoError(t, got.err)
	must.Eq(t, 4, strings.Count(got.body, "id:"))
}

// Guards against streams that can't be told apart after a kill of all routers, and against streams
// that are refused: while origins can't be saved, streams begin where none is needed, and a
// stream that had begun elsewhere begins again there.
func TestStreamsBeginAtTheImpliedBuildWhileOriginsCannotBeSaved(t *testing.T) {
	r := newRouter(t)
	r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
	r.addVersion("e2", "engines", "v2", streamFrom("v2", 4, 4))
	r.origins.failSaves(buildOfVersion("v1"))
	for range 20 {
		got := r.post("/resumable/1")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, 4, strings.Count(got.body, "data: v1"))
	}

	r = newRouter(t)
	r.addVersion("e2", "engines", "v2", streamFrom("v2", 4, 4))
	// The store fails after the stream was placed.
	r.origins.onBegin = sync.OnceFunc(func() {
		r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
		r.origins.failSaves(buildOfVersion("v1"))
	})
	got := r.post("/resumable/1")
	must.NoError(t, got.err)
	must.Eq(t, 4, strings.Count(got.body, "data: v1"))
	must.False(t, strings.Contains(got.body, "v2"))
	build, ok := r.origins.Find(t.Context(), "id-1", nil)
	must.True(t, ok)
	must.Eq(t, buildOfVersion("v1"), build)
}

// Guards against new streams of a split route that are sent to a service where their origin would have to
// be saved, while it can't be.
func TestNewStreamsOfASplitRouteWhileOriginsCannotBeSaved(t *testing.T) {
	r := newRouter(t)
	split := config()
	split.Version = 2
	for i := range split.Routes {
		if split.Routes[i].Name == "resumable" {
			split.Routes[i].Destinations = []routing.Destination{{Service: "plain", Weight: 9}, {Service: "engines", Weight: 1}}
		}
	}
	table, err := routing.Compile(split)
	must.NoError(t, err)
	must.True(t, r.handler.Routes.Advance(table))
	plain := r.addVersion("p1", "plain", "v1", streamFrom("plain", 4, 4))
	r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
	r.origins.failSaves(buildOfVersion("v1"))
	for range 20 {
		got := r.post("/resumable/1")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, 4, strings.Count(got.body, "data: v1"))
	}
	must.Len(t, 0, plain.Calls())
}

// Guards against a caller that gets the first events of a stream whose origin isn't saved although
// an endpoint of another build may be taken for its origin later, after all routers were killed: the
// endpoints of that build are only away. If this is known before the stream is sent, no endpoint runs it
// and the caller may retry it.
func TestFirstEventsWithoutASavedOriginAreWithheld(t *testing.T) {
	unreachable := func(r *router) {
		r.origins.failSaves(buildOfVersion("v1"))
		r.endpoints.StoreRecovered(time.Now().Add(-time.Hour))
		r.endpoints.StoreUnavailable(time.Now())
	}
	for name, test := range map[string]struct {
		prepare func(r *router)
		status  int
	}{
		"no attempts left": {func(r *router) {
			// The first attempt breaks off before its first event, and the store fails after the second
			// one was placed.
			var calls atomic.Int32
			script := func(c net.Conn, call *directtest.Call) bool {
				return calls.Add(1) > 1 && streamFrom("v2", 4, 4)(c, call)
			}
			r.addVersion("e2", "engines", "v2", script)
			r.addVersion("e3", "engines", "v2", script)
			r.origins.onBegin = sync.OnceFunc(func() {
				r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
				r.origins.failSaves(buildOfVersion("v1"))
			})
		}, http.StatusBadGateway},
		"no endpoint of the implied build when the store fails": {func(r *router) {
			r.origins.onBegin = sync.OnceFunc(func() { unreachable(r) })
		}, http.StatusBadGateway},
		"the implied build is unknown when the store fails": {func(r *router) {
			r.origins.onBegin = sync.OnceFunc(func() { r.origins.failSaves(streamorigin.AnyBuild) })
		}, http.StatusBadGateway},
		"the implied build is unknown": {func(r *router) {
			r.origins.failSaves(streamorigin.AnyBuild)
			r.endpoints.StoreRecovered(time.Now().Add(-time.Hour))
		}, http.StatusServiceUnavailable},
		"no endpoint of the implied build": {func(r *router) {
			r.origins.failSaves(buildOfVersion("v1"))
			r.endpoints.StoreRecovered(time.Now().Add(-time.Hour))
		}, http.StatusServiceUnavailable},
		"no endpoint of the implied build in an outage": {unreachable, http.StatusServiceUnavailable},
		"entries may be missing":                        {func(r *router) { r.origins.failSaves(buildOfVersion("v1")) }, http.StatusServiceUnavailable},
		"the endpoint of the implied build may have restarted": {func(r *router) {
			unreachable(r)
			r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
			r.handler.Dispatcher.DoubtIncarnation(time.Now(), "e1")
		}, http.StatusServiceUnavailable},
		"an entry lapsed": {func(r *router) {
			unreachable(r)
			r.addVersion("e1", "engines", "v1", streamFrom("v1", 4, 4))
			r.endpoints.Remove("e1", time.Now())
			r.endpoints.Expire(time.Now().Add(time.Minute))
		}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			e := r.addVersion("e2", "engines", "v2", streamFrom("v2", 4, 4))
			test.prepare(r)
			got := r.post("/resumable/1")
			must.Eq(t, test.status, got.status)
			must.False(t, strings.Contains(got.body, "data:"), must.Sprint(got.body))
			_, known := r.origins.Find(t.Context(), "id-1", nil)
			must.False(t, known)
			if test.status == http.StatusServiceUnavailable {
				must.Len(t, 0, e.Calls())
				must.NotEq(t, "", got.header.Get("Retry-After"))
			}
		})
	}
}
