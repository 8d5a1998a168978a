package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
)

// Guards against a request that is sent without a turn to an endpoint which became cold while the request
// waited for CPU time, against a refusal if another endpoint can take it, and against counting the cold
// endpoint as unreachable, here and at peers, because the request wasn't sent.
func TestEndpointThatBecameColdBeforeSendIsNotUsed(t *testing.T) {
	r := newRouter(t)
	cold := r.add("e1", "plain", ok)
	r.handler.Dispatcher.UpdateCold(time.Now(), map[string]dispatch.ColdService{"plain": {Start: time.Minute, Rate: 10}})
	var next *directtest.Endpoint
	_, conn := connPair(t)
	w := r.serveDelayed("/order/1", changingOnSecondCheck{Conn: conn, checks: new(int), change: func() {
		e, _ := r.endpoints.Lookup("e1")
		e.ColdUntil = time.Now().Add(time.Minute)
		r.endpoints.Put(e)
		next = r.add("e2", "plain", ok)
	}})
	must.Eq(t, http.StatusOK, w.Code)
	must.Len(t, 0, cold.Calls())
	must.Len(t, 1, next.Calls())
	must.False(t, r.handler.Dispatcher.Report(time.Now()).Loads["e1"].Unreachable)
}
