package soak

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

const (
	// evacuationBound is the time after which an evacuation must be in force.
	evacuationBound = 5 * time.Second
	// returnTimeout bounds waits for the return of a zone on a busy host.
	returnTimeout   = 30 * time.Second
	evacuationTopic = "keyed.op"
	evacuationKey   = "evacuate/" + routerZone
)

// Guards against requests to an evacuated zone after all router processes were killed, after the store
// came back from an older copy and after an invalid record, and against a zone that isn't used again.
func TestEvacuationOutlivesProcessesAndARestoredStore(t *testing.T) {
	var arrivals atomic.Int64
	f := startFleet(t, func(f *fleet) {
		for i, zone := range []string{routerZone, routerZone, "y", "y"} {
			w := &platformtest.Worker{ID: fmt.Sprintf("plain-%d", i), ExecutionCounter: f.executions}
			if zone == routerZone {
				w.Receive = func(*http.Request) bool { arrivals.Add(1); return true }
			}
			f.addWorkerInZone("plain", defaultVersion, zone, w)
		}
	})
	// sendAll sends a request through each router. It returns how many reached the routers' zone, which
	// they prefer.
	sendAll := func() int64 {
		before := arrivals.Load()
		must.Eq(t, []int{http.StatusOK, http.StatusOK, http.StatusOK}, f.statuses("/lookup/x"))
		return arrivals.Load() - before
	}
	awaitArrivals := func(n int64, limit time.Duration) {
		t.Helper()
		began := time.Now()
		for sendAll() != n {
			must.Less(t, limit, time.Since(began))
		}
		t.Logf("%d of %d requests reached the zone after %v", n, numRouters, time.Since(began))
	}
	mustAvoid := func(d time.Duration, what string) {
		t.Helper()
		for began := time.Now(); time.Since(began) < d; time.Sleep(20 * time.Millisecond) {
			must.Eq(t, 0, sendAll(), must.Sprint(what))
		}
	}
	awaitArrivals(numRouters, returnTimeout)
	older := f.store.Copy()
	f.store.Put(evacuationTopic, evacuationKey, []byte("{}"))
	awaitArrivals(0, evacuationBound)

	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range f.routers {
		r.restart()
	}
	for _, r := range f.routers {
		r.waitUntilReady()
	}
	mustAvoid(time.Second, "after a kill of all routers")

	f.store.Put(evacuationTopic, evacuationKey, []byte("[]"))
	f.store.Put(evacuationTopic, "evacuate/", []byte("{}"))
	mustAvoid(2*time.Second, "after an invalid record")

	f.restoreStore(older, time.Second)
	mustAvoid(1500*time.Millisecond, "while the restored store lacks the record")
	f.store.Put(evacuationTopic, evacuationKey, []byte("{}"))
	mustAvoid(4*time.Second, "after the record was written again")

	f.store.Put(evacuationTopic, evacuationKey, nil)
	awaitArrivals(numRouters, returnTimeout)
}
