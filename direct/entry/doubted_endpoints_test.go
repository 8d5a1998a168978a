package entry_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against a stream that is cut because the connections to all endpoints broke at the same
// moment, although the endpoints are sound and confirmed a moment later, long before the deadline.
func TestBegunStreamWaitsForAnEndpointToBeConfirmed(t *testing.T) {
	const confirmDelay = 200 * time.Millisecond
	started := time.Now().Add(-time.Minute)
	r := newRouter(t)
	put := func(id string, script directtest.Script) {
		e := directtest.NewEndpoint(t, script)
		r.endpoints.Put(registry.Endpoint{ID: id, Service: "engines", Address: e.Address, Zone: "z", Version: "v1", Slots: 4, Started: started})
		r.handler.Dispatcher.Restarted(id, started)
	}
	put("first", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, eventsFrom(1, 2))
		put("other", streamFrom("v1", streamEvents, streamEvents))
		r.handler.Dispatcher.DoubtIncarnation(time.Now(), "other")
		time.AfterFunc(confirmDelay, func() {
			now := time.Now()
			r.handler.Dispatcher.Reported(now, now, "other", started)
		})
		return reset(c, call)
	})
	got := r.post("/resumable/1")
	must.NoError(t, got.err)
	must.Eq(t, streamEvents, strings.Count(got.body, "id:"))
}
