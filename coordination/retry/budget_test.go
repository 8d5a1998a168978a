package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/acaciaspar/acaciaspar/coordination/timebucket/clocktest"
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

// Guards against retries above the budget after a step of the time of day, which made the budget
// forget those before it, and against a budget that forgets its requests.
func TestStepOfTheTimeOfDayKeepsTheCounts(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		for _, requests := range []int{0, 400} {
			t.Run(fmt.Sprint(step, requests), func(t *testing.T) {
				var b Budget
				now := time.Now()
				for range requests {
					b.CountRequest(now)
				}
				for range Floor {
					must.True(t, b.Take(now))
				}
				now = now.Add(2 * time.Second)
				taken := 0
				for b.Take(clocktest.Step(now, step)) {
					taken++
				}
				must.Eq(t, int(Fraction*float64(requests)), taken)
				must.True(t, b.Take(clocktest.Step(now.Add(Window+bucketWidth), step)))
			})
		}
	}
}
