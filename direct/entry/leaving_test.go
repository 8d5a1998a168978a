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

// Guards against requests to an endpoint that has said in an answer that it is leaving, of
// whatever kind the answer is, and whatever its entry in the store still says.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	leaving := headers.Leaving + ": 1"
	scripts := map[string]directtest.Script{
		"success": func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusOK, "ok", leaving)
			return true
		},
		"error": status(http.StatusInternalServerError, leaving),
		"stream": func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusOK, directtest.Event(1), leaving, "Content-Type: text/event-stream")
			return true
		},
		"refusal": func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusServiceUnavailable, "", leaving, headers.NotExecuted+": 1")
			return true
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			e := r.add("a-leaving", "plain", script)
			r.post("/lookup/x")
			must.Eq(t, 1, len(e.Calls()))
			entry := registry.Endpoint{ID: "a-leaving", Service: "plain", Address: e.Address, Zone: "z", Slots: 4}
			r.endpoints.Put(entry)
			r.add("b-stays", "plain", ok)
			for range 10 {
				must.Eq(t, http.StatusOK, r.post("/lookup/x").status)
			}
			must.Eq(t, 1, len(e.Calls()))
			must.Len(t, 1, r.endpoints.Ready("plain"))
			entry.Started = time.Now()
			r.endpoints.Put(entry)
			must.Len(t, 2, r.endpoints.Ready("plain"), must.Sprint("a new instance is used"))
		})
	}
}

// Guards against a request that is sent long after its endpoint left, by a router that is late to
// learn it: between the placement and the write, the process gets no processor time.
func TestLateRouterDoesNotTrustItsEntries(t *testing.T) {
	const maxAge = 100 * time.Millisecond
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	r.endpoints.SetMaxAge(maxAge)
	r.endpoints.Checked(time.Now())
	must.Eq(t, http.StatusOK, r.post("/lookup/x").status)
	time.Sleep(maxAge + 10*time.Millisecond)
	got := r.post("/lookup/x")
	must.Eq(t, http.StatusServiceUnavailable, got.status, must.Sprint("a promise that it wasn't run"))
	must.Eq(t, 1, len(e.Calls()))
	r.endpoints.Checked(time.Now())
	must.Eq(t, http.StatusOK, r.post("/lookup/x").status, must.Sprint("lateness is no evidence against the endpoint"))
}
