package entry_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// Guards against a sound endpoint that counts as busy and silent, and gets no new requests, because
// it refused a second attempt whose first one is still in progress.
func TestEndpointOfAFailedSecondAttemptTakesRequests(t *testing.T) {
	refusals := map[string]directtest.Script{
		"refuses": status(http.StatusServiceUnavailable, headers.NotExecuted+": 1"),
		"resets":  reset,
		"fails":   status(http.StatusInternalServerError),
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			received := make(chan struct{}, 1)
			hang := make(chan struct{})
			t.Cleanup(func() { close(hang) })
			r.add("silent", "plain", func(net.Conn, *directtest.Call) bool {
				received <- struct{}{}
				<-hang
				return false
			})
			go r.post("/lookup/1")
			<-received
			var calls atomic.Int32
			refused := make(chan struct{})
			r.add("other", "plain", func(c net.Conn, call *directtest.Call) bool {
				if calls.Add(1) == 1 {
					defer close(refused)
					return refusal(c, call)
				}
				directtest.Respond(c, call, http.StatusOK, "ok")
				return true
			})
			<-refused
			// Longer than the time after which a silent endpoint gets no new requests.
			time.Sleep(time.Second)
			for id, load := range r.handler.Dispatcher.Report(time.Now()).Loads {
				t.Logf("%v: %+v", id, load)
			}
			got := r.post("/order/1")
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		})
	}
}
