package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against more retries than the budget allows in any interval of Window,
// for random schedules of requests and retries.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := time.Unix(1_700_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				requests = append(requests, now)
			}
			if !b.Take(now) {
				continue
			}
			retries = append(retries, now)
			allowed := Floor + Fraction*float64(countWithin(requests, now))
			if got := float64(countWithin(retries, now)); got > allowed {
				t.Fatalf("%v retries in %v, allowed %v", got, Window, allowed)
			}
		}
	})
}

// countWithin returns the number of times in the interval of Window that ends at now.
func countWithin(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < Window {
			n++
		}
	}
	return n
}

// Guards against a budget that never refills, or that allows no retries to a
// router without requests.
func TestBudgetRefillsToFloor(t *testing.T) {
	var b Budget
	now := time.Unix(1_700_000_000, 0)
	for range Floor {
		must.True(t, b.Take(now))
	}
	must.False(t, b.Take(now))
	must.True(t, b.Take(now.Add(Window+bucketWidth)))
}
