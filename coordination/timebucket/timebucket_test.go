package timebucket

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/timebucket/clocktest"
)

// Guards against numbers that follow the time of day, and against a negative number for a time
// that was taken before the first one.
func TestIndexFollowsTheMonotonicClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		var o Origin
		began := time.Now()
		must.Eq(t, 0, o.Index(began, time.Second))
		must.Eq(t, 0, o.Index(began.Add(-5*time.Second), time.Second))
		must.Eq(t, 7, o.Index(clocktest.Step(began.Add(7*time.Second), step), time.Second), must.Sprint(step))
	}
}
