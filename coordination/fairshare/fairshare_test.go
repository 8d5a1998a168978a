package fairshare

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/acaciaspar/acaciaspar/coordination/timebucket/clocktest"
)

// Guards against a level above the capacity and against a level that leaves
// capacity unused while a demand is not met.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Int64Range(0, 10_000), 1, 30).Draw(t, "demands")
		capacity := rapid.Int64Range(0, 100_000).Draw(t, "capacity")
		level := MaxMinLevel(demands, capacity)
		var taken, requested int64
		for _, d := range demands {
			taken += min(d, level)
			requested += d
		}
		if requested <= capacity && taken != requested {
			t.Fatalf("demands %v fit %d, but the level is %d", demands, capacity, level)
		}
		if requested > capacity && (taken > capacity || taken+int64(len(demands)) <= capacity) {
			t.Fatalf("level %d takes %d of %d", level, taken, capacity)
		}
	})
}

// Guards against a level below the largest demand when the demands add up to the capacity
// and a smaller one equals its rounded share.
func TestLevelFitsDemandsThatAddUpToTheCapacity(t *testing.T) {
	must.Eq(t, 1, MaxMinLevel([]int64{0, 1}, 1))
	must.Eq(t, 5, MaxMinLevel([]int64{2, 5, 1}, 8))
	must.Eq(t, 3, MaxMinLevel([]int64{3, 3}, 6))
}

// Guards against counts that are kept after the end of the window, and against
// counts that are dropped before it.
func TestWindowDropsOnlyExpiredCounts(t *testing.T) {
	var w Window
	now := time.Unix(1_700_000_000, 0)
	w.AddRequested(now, 5)
	w.AddStarted(now, 3)
	must.Eq(t, Usage{Requested: 5, Started: 3}, w.Sum(now.Add(WindowLength-bucketWidth)))
	must.Eq(t, Usage{}, w.Sum(now.Add(WindowLength)))
	w.AddRequested(now.Add(WindowLength), 7)
	must.Eq(t, Usage{Requested: 7}, w.Sum(now.Add(WindowLength)))
}

// Guards against charging a team for requests that no engine processed, and against a
// refund that reduces the counts of later requests.
func TestRefundAffectsOnlyItsWindow(t *testing.T) {
	var w Window
	now := time.Unix(1_700_000_000, 0)
	w.AddStarted(now, 5)
	w.AddStarted(now, 3)
	w.Refund(now, 5)
	must.Eq(t, 3, w.Sum(now).Started)
	later := now.Add(WindowLength)
	w.AddStarted(later, 7)
	w.Refund(now, 3)
	must.Eq(t, 7, w.Sum(later).Started)
}

// Guards against a team whose usage is forgotten after a step of the time of day: it would get
// more than its share, or be refused for what it no longer asks.
func TestStepOfTheTimeOfDayKeepsTheUsage(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			var w Window
			now := time.Now()
			w.AddRequested(now, 5)
			w.AddStarted(now, 3)
			w.AddBegun(now, 2)
			later := clocktest.Step(now.Add(time.Second), step)
			must.Eq(t, Usage{Requested: 5, Started: 3, Begun: 2}, w.Sum(later))
			w.AddRequested(later, 7)
			w.Refund(clocktest.Step(now, step), 3)
			must.Eq(t, Usage{Requested: 12, Begun: 2}, w.Sum(later))
			must.Eq(t, Usage{}, w.Sum(clocktest.Step(now.Add(time.Second+WindowLength), step)))
		})
	}
}
