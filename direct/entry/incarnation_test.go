package entry_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// Guards against a stream of two versions: the endpoint that began it crashes and comes back under its
// identifier with newer software, while its entry in the store is still the one of before.
func TestStreamIsNotContinuedAtAnotherIncarnation(t *testing.T) {
	r := newRouter(t)
	var version atomic.Value
	version.Store("v1")
	total := func() int {
		if version.Load() == "v1" {
			return 2
		}
		return 4
	}
	e := r.addVersion("e0", "engines", "v1", func(c net.Conn, call *directtest.Call) bool {
		return streamFrom(version.Load().(string), total(), 4)(c, call)
	})
	began := r.post("/resumable/1")
	must.ErrorContains(t, began.err, "EOF")
	version.Store("v2")
	must.Eq(t, http.StatusServiceUnavailable, r.takeUp("id-1", 2).status)
	must.Eq(t, http.StatusServiceUnavailable, r.post("/resumable/1").status, must.Sprint("a new stream, whose origin would be wrong"))
	must.Eq(t, 1, len(e.Calls()))

	entry := registry.Endpoint{ID: "e0", Service: "engines", Address: e.Address, Zone: "z", Version: "v2", Slots: 4, Started: time.Now()}
	r.endpoints.Put(entry)
	r.handler.Dispatcher.Restarted(entry.ID, entry.Started)
	must.Eq(t, http.StatusServiceUnavailable, r.takeUp("id-1", 2).status, must.Sprint("another version"))
	must.Eq(t, http.StatusOK, r.post("/resumable/1").status)
}

// Guards against a request that is sent although the endpoint restarted after it was chosen: the idle
// connection to it is found closed, and the new one reaches another incarnation.
func TestClosedIdleConnectionPutsIncarnationInDoubt(t *testing.T) {
	r := newRouter(t)
	served := make(chan net.Conn, 1)
	e := r.addVersion("e0", "engines", "v1", func(c net.Conn, call *directtest.Call) bool {
		streamFrom("v1", 4, 4)(c, call)
		served <- c
		return true
	})
	must.Eq(t, http.StatusOK, r.post("/resumable/1").status)
	must.NoError(t, (<-served).Close())
	time.Sleep(20 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, r.post("/resumable/1").status)
	must.Eq(t, 1, len(e.Calls()))
}

// Guards against a stream that goes on at an endpoint which restarted with other software while the store was
// away, through a router that had no connection to it and so noticed nothing.
func TestStreamGoesOnOnlyAtAVerifiedIncarnation(t *testing.T) {
	for range 3 {
		r := newRouter(t)
		r.handler.Pool.Uncertain = func() bool { return true }
		r.handler.Verification = func(e registry.Endpoint) *endpointhttp.Verification {
			request := &endpointhttp.Request{Method: http.MethodGet, URI: "/report", Host: e.Address}
			return &endpointhttp.Verification{Request: request, Check: func(_ int, body []byte) error {
				if string(body) != e.Version {
					return errors.New("restarted")
				}
				return nil
			}}
		}
		script := func(version string, last int) directtest.Script {
			return func(c net.Conn, call *directtest.Call) bool {
				if call.URL.Path == "/report" {
					directtest.Respond(c, call, http.StatusOK, version)
					return true
				}
				return streamFrom(version, last, 4)(c, call)
			}
		}
		r.addVersion("e0", "engines", "v1", script("v1", 2))
		got := r.post("/resumable/1")
		must.ErrorContains(t, got.err, "EOF")
		r.addVersion("e1", "engines", "v1", script("v2", 4))
		r.addVersion("e2", "engines", "v1", script("v2", 4))
		refused := r.takeUp("id-1", 2)
		must.False(t, strings.Contains(refused.body, "v2"), must.Sprint(refused.body))
		r.addVersion("e3", "engines", "v1", script("v1", 4))
		got = r.takeUp("id-1", 2)
		must.False(t, strings.Contains(got.body, "v2"), must.Sprint(got.body))
	}
}
