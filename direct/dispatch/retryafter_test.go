package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against retries that come too late to meet the latency target, against
// immediate retries, and against retries of all callers at the same time.
func TestRetryAfterIsWithinLatencyTarget(t *testing.T) {
	must.Eq(t, 100*time.Millisecond, retryAfter(time.Second, 0))
	must.Eq(t, 350*time.Millisecond, retryAfter(time.Second, 0.5))
	must.Eq(t, 600*time.Millisecond, retryAfter(time.Second, 1))
}

// Guards against retry delays of minutes on a route without a latency target,
// and against delays without jitter there.
func TestRetryAfterWithoutLatencyTargetIsBounded(t *testing.T) {
	must.Eq(t, maxRetryAfter, retryAfter(5*time.Minute, 1))
	must.Eq(t, maxRetryAfter/2, retryAfter(5*time.Minute, 0))
}
