package entry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Guards against a request that waits without end for the lock of its hedge, because a panic in a
// check left it locked.
func TestPanicInACheckLeavesTheHedgeUnlocked(t *testing.T) {
	h := &hedge{
		r:     &request{h: &Handler{Log: slog.New(slog.DiscardHandler)}, route: &routing.Route{Attempts: 2}},
		first: &attempt{}, scheduled: time.Now(), executions: 1,
	}
	panics := func() bool { panic("unread") }
	h.first.unread.Store(&panics)
	h.check()
	must.True(t, h.mu.TryLock())
}
