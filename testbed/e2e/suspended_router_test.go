package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// Guards against requests that aren't served or run twice, and against a fleet
// without a single owner, when a suspended queue owner resumes while another router
// owns its queue.
func TestSuspendedQueueOwnerResumes(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4})
	suspended := d.Owner(plainService, d.routers...)
	remaining := d.otherRouters(suspended)
	l := d.startLoad(2, 6, 20)
	l.awaitFinished(20)
	l.pool.set(remaining)
	d.suspend(suspended)
	for range 2 {
		var next *fleet.Process
		d.Eventually("another router owns the queue", func() bool {
			next = d.Owner(plainService, remaining...)
			return next != nil
		})
		l.awaitFinished(40)
		suspended.Signal(syscall.SIGCONT)
		d.Eventually("the resumed router owns its queue again", func() bool {
			return d.countAliveRouters(d.Status(remaining[0]), remaining[0]) == len(d.routers) && d.Owner(plainService, d.routers...) == suspended
		})
		l.awaitFinished(20)
		// The second suspension is shorter than the time to detect it.
		d.suspend(suspended)
		time.Sleep(suspendDuration / 4)
		suspended.Signal(syscall.SIGCONT)
		l.awaitFinished(20)
		d.suspend(suspended)
	}
	suspended.Signal(syscall.SIGCONT)
	l.stop()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
}
