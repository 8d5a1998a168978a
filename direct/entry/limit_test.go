package entry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// Guards against an endpoint that gets far more requests than the limit that it named,
// and against refusing requests that another endpoint can serve.
func TestEndpointGetsNoMoreRequestsThanItsLimit(t *testing.T) {
	const (
		limit    = 4.0
		duration = 2 * time.Second
		interval = 10 * time.Millisecond
	)
	for path, service := range map[string]string{"/lookup/1": "plain", "/stream/1": "engines"} {
		r := newRouter(t)
		limited := r.add("limited", service, func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusOK, "ok", headers.RequestLimit+": 4.0")
			return true
		})
		must.Eq(t, http.StatusOK, r.post(path).status, must.Sprint("names its limit"))
		r.add("other", service, ok)
		for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
			must.Eq(t, http.StatusOK, r.post(path).status)
		}
		allowed := 1.5*limit*duration.Seconds() + 5
		must.LessEq(t, int(allowed), len(limited.Calls()), must.Sprint(service))
	}
}
