package entry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// latencyTarget is the target of the routes in the test configuration. It bounds the time that
// an endpoint which is silent for good costs a caller.
const latencyTarget = 2 * time.Second

// Guards against callers that wait longer for an endpoint that is silent for good, and whose
// attempt isn't ended while another one runs, than the latency target allows.
func TestHangingEndpointCostsNoMoreThanTheTarget(t *testing.T) {
	t.Parallel()
	hang := func(c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	silent := func(c net.Conn, _ *directtest.Call) bool { return hang(c) }
	events := func(n int) directtest.Script {
		return func(c net.Conn, call *directtest.Call) bool {
			directtest.BeginStream(c, call)
			if n > 0 {
				directtest.Chunk(c, eventsFrom(1, n))
			}
			return hang(c)
		}
	}
	stream := silentAfter(streamEvents)(func() {})
	answer := func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusOK, "other")
		return true
	}
	for _, c := range []struct {
		name, path, service, want string
		hanging, sound            directtest.Script
	}{
		{"stream before its headers", "/resumable/1", "engines", completeStream(), silent, stream},
		{"stream before its first event", "/resumable/1", "engines", completeStream(), events(0), stream},
		{"stream after two events", "/resumable/1", "engines", completeStream(), events(2), stream},
		{"request before its response", "/lookup/1", "plain", "other", silent, answer},
		{"request inside its response", "/lookup/1", "plain", "other", func(c net.Conn, call *directtest.Call) bool {
			beginBody(c, call, largeBody("first"), bufferedBytes/2)
			return hang(c)
		}, answer},
	} {
		for _, unreachable := range []bool{false, true} {
			name := c.name
			if unreachable {
				name += ", and another endpoint can't be reached"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := newRouter(t)
				logOnFailure(t, r)
				received := make(chan struct{}, 1)
				r.add("first", c.service, func(conn net.Conn, call *directtest.Call) bool {
					received <- struct{}{}
					return c.hanging(conn, call)
				})
				answered := make(chan result, 1)
				go func() { answered <- r.post(c.path) }()
				awaitRequest(t, received, answered)
				began := time.Now()
				if unreachable {
					r.endpoints.Put(registry.Endpoint{ID: "down", Service: c.service, Address: directtest.RefusingAddress(t), Zone: "z", Version: "v1", Slots: 100})
				}
				other := r.add("other", c.service, c.sound)
				got := <-answered
				elapsed := time.Since(began)
				t.Logf("answered after %v", elapsed)
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, c.want, got.body)
				must.Len(t, 1, other.Calls())
				must.Less(t, latencyTarget, elapsed)
				mustBeIdle(t, r)
			})
		}
	}
}
