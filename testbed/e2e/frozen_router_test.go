package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// Guards against a queue owner that is frozen and wakes while another owns its
// queue: requests must go on meanwhile, run at most once, and the fleet must
// agree on one owner again.
func TestFrozenQueueOwnerWakes(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 3, teams: 4})
	frozen := d.Owner(plainService, d.routers...)
	rest := d.others(frozen)
	l := d.startLoad(2, 6, 20)
	l.awaitMore(20)
	l.pool.set(rest)
	d.freeze(frozen)
	for range 2 {
		var next *fleet.Process
		d.Eventually("another router owns the queue", func() bool {
			next = d.Owner(plainService, rest...)
			return next != nil
		})
		l.awaitMore(40)
		frozen.Signal(syscall.SIGCONT)
		d.Eventually("the frozen router is back", func() bool {
			return d.aliveIn(d.Status(rest[0]), rest[0]) == len(d.routers) && d.Owner(plainService, d.routers...) == frozen
		})
		l.awaitMore(20)
		// The second freeze is shorter than the time in which it is noticed.
		d.freeze(frozen)
		time.Sleep(pauseTime / 4)
		frozen.Signal(syscall.SIGCONT)
		l.awaitMore(20)
		d.freeze(frozen)
	}
	frozen.Signal(syscall.SIGCONT)
	l.stop()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
}
