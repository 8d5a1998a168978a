package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// deadlyBody is the body of the request that crashes endpoints.
const deadlyBody = "deadly"

// addMortalEndpoint adds an endpoint that crashes when it has read a request with deadlyBody
// and is replaced at once by one with another identifier.
func (f *mortalFleet) addMortalEndpoint() {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("mortal-%d", f.started)
	f.mu.Unlock()
	f.addCrashing(id, f.service, func(e *directtest.Endpoint, c net.Conn, call *directtest.Call) bool {
		if call.BodyText == deadlyBody {
			f.mu.Lock()
			f.crashes++
			f.mu.Unlock()
			e.Crash()
			f.addMortalEndpoint()
			return false
		}
		directtest.Respond(c, call, http.StatusOK, "ok")
		return true
	})
}

// Guards against taking a refusal by a full endpoint for an answer, which would clear the
// request that crashes endpoints.
func TestRefusalDoesNotClearCrashingRequest(t *testing.T) {
	f := &mortalFleet{router: newRouter(t), service: "plain"}
	for range 4 {
		f.addMortalEndpoint()
	}
	f.send("/order/x", deadlyBody)
	time.Sleep(crashInterval)
	full := f.add("a-full", "plain", func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusServiceUnavailable, "full", headers.NotExecuted+": 1")
		return true
	})
	for range 8 {
		f.send("/order/x", deadlyBody)
		time.Sleep(crashInterval)
	}
	must.Positive(t, len(full.Calls()))
	must.LessEq(t, 3, f.numCrashes())
}

// mortalFleet is a router in front of such endpoints.
type mortalFleet struct {
	*router
	service string
	mu      sync.Mutex
	started int
	crashes int
}

func (f *mortalFleet) numCrashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

func (f *mortalFleet) send(path, body string) result {
	return f.do(f.request(http.MethodPost, path, body))
}

// Guards against a request that crashes one endpoint after the other: its caller sends it
// again and again, and an idempotent one goes to a second endpoint after the first crash.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	for path, service := range map[string]string{"/lookup/x": "plain", "/order/x": "plain", "/resumable/x": "engines", "/stream/x": "engines"} {
		t.Run(path, func(t *testing.T) {
			f := &mortalFleet{router: newRouter(t), service: service}
			for range 4 {
				f.addMortalEndpoint()
			}
			for i := range 14 {
				time.Sleep(crashInterval)
				f.send(path, deadlyBody)
				must.Eq(t, http.StatusOK, f.send(path, "sound").status, must.Sprintf("repeated sound request %d", i))
				must.Eq(t, http.StatusOK, f.send(path, fmt.Sprint("sound", i)).status, must.Sprintf("sound request %d", i))
			}
			// Three crashes and three repetitions.
			must.LessEq(t, 6, f.numCrashes())
			refused := f.send(path, deadlyBody)
			must.Eq(t, http.StatusServiceUnavailable, refused.status)
			must.NotEq(t, "", refused.header.Get("Retry-After"))
			must.Eq(t, http.StatusOK, f.send(path, "deadly for others only").status)
		})
	}
}
