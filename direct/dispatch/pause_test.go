package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against refused callers that return only when their answer must be
// late, against returns at once, and against returns at the same moment.
func TestRefusedCallerReturnsWithinItsTarget(t *testing.T) {
	must.Eq(t, 100*time.Millisecond, pauseOf(time.Second, 0))
	must.Eq(t, 350*time.Millisecond, pauseOf(time.Second, 0.5))
	must.Eq(t, 600*time.Millisecond, pauseOf(time.Second, 1))
}

// Guards against callers that are sent away for minutes by a route without a
// target, and against a pause that isn't spread there.
func TestPauseWithoutTargetIsBounded(t *testing.T) {
	must.Eq(t, longestPause, pauseOf(5*time.Minute, 1))
	must.Eq(t, longestPause/2, pauseOf(5*time.Minute, 0))
}
