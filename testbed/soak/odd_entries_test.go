package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against routers that end, or stop following the endpoints, because of odd entries of
// another writer, and against requests that are sent to such endpoints.
func TestOddEntriesDoNotStopTheRouters(t *testing.T) {
	f := newFleet(t)
	f.forgeEntries()
	f.forgeEntries()
	for _, r := range f.routers[1:] {
		r.signal(syscall.SIGKILL)
		r.restart()
		r.waitUntilReady()
	}
	f.publishWith("after")
	time.Sleep(configurationBound)
	for range 20 {
		must.Eq(t, []int{http.StatusOK, http.StatusOK, http.StatusOK}, f.statuses("/after/x"))
	}
	for _, r := range f.routers {
		select {
		case <-r.done:
			t.Errorf("router %d has ended", r.index)
		default:
		}
	}
}
