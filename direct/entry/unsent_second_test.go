package entry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
)

// Guards against requests to a silent endpoint that use up the request limit of another endpoint
// with second attempts that the retry budget doesn't allow and that are never sent.
func TestUnsentSecondAttemptsDoNotUseTheRequestLimit(t *testing.T) {
	const (
		// waiting requests fill the silent endpoint.
		waiting = 8
		// secondAttempts is a time after which second attempts are due.
		secondAttempts = 2 * time.Second
		// The requests are fewer than the limit of 4 per second allows.
		requests, interval = 4, 400 * time.Millisecond
	)
	for name, path := range map[string]string{"may run once": "/order/1", "idempotent": "/lookup/1"} {
		t.Run("waiting requests: "+name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			r.handler.Dispatcher = dispatch.New("z", r.endpoints, placement.DefaultPolicy(), retry.Limits{})
			hang := make(chan struct{})
			t.Cleanup(func() { close(hang) })
			silent := r.add("silent", "plain", func(net.Conn, *directtest.Call) bool {
				<-hang
				return false
			})
			for range waiting {
				go r.post(path)
			}
			for len(silent.Calls()) < waiting {
				time.Sleep(10 * time.Millisecond)
			}
			limited := r.add("limited", "plain", func(c net.Conn, call *directtest.Call) bool {
				directtest.Respond(c, call, http.StatusOK, "ok", headers.RequestLimit+": 4.0")
				return true
			})
			must.Eq(t, http.StatusOK, r.post("/order/1").status, must.Sprintf("names its limit; %d calls there", len(limited.Calls())))
			time.Sleep(secondAttempts)
			served := 0
			for range requests {
				if r.post("/order/1").status == http.StatusOK {
					served++
				}
				time.Sleep(interval)
			}
			must.Eq(t, requests, served, must.Sprintf("%d calls", len(limited.Calls())))
		})
	}
}
