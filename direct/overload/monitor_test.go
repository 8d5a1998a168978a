package overload

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a router that sheds requests without an overload, and against a
// router that sheds all of them.
func TestShedProbabilityIncreasesWithDelay(t *testing.T) {
	must.Eq(t, 0.0, shedProbability(shedThreshold))
	must.Positive(t, shedProbability(shedThreshold+time.Millisecond))
	must.Less(t, shedProbability(400*time.Millisecond), shedProbability(200*time.Millisecond))
	must.Eq(t, maxShedProbability, shedProbability(time.Minute))
}

// Guards against a probe that does not wait in the run queue: its goroutine must
// be delayed by all other runnable goroutines.
func TestFullRunQueueRaisesSchedulingDelay(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var m Monitor
	go func() { _ = m.Run(ctx) }()
	stop := time.Now().Add(3 * time.Second)
	var workers sync.WaitGroup
	// Each goroutine waits while all others run for 1 ms each, which takes much
	// longer than shedThreshold.
	for range 400 {
		workers.Go(func() {
			for time.Now().Before(stop) {
				for turn := time.Now(); time.Since(turn) < time.Millisecond; {
				}
				runtime.Gosched()
			}
		})
	}
	var highest time.Duration
	for time.Now().Before(stop) {
		highest = max(highest, m.SchedulingDelay())
		runtime.Gosched()
	}
	workers.Wait()
	must.Greater(t, shedThreshold, highest)
}

// feedProbes passes a repeating pattern of delays to a monitor for d and returns
// the time after the last probe.
func feedProbes(m *Monitor, now time.Time, d time.Duration, pattern ...time.Duration) time.Time {
	end := now.Add(d)
	for i := 0; now.Before(end); i++ {
		delay := pattern[i%len(pattern)]
		now = now.Add(probeInterval + delay)
		m.observe(now, delay)
	}
	return now
}

// Guards against shedding for seconds after the run queue has emptied.
func TestSchedulingDelayFallsAfterOverload(t *testing.T) {
	var m Monitor
	now := feedProbes(&m, time.Unix(1_700_000_000, 0), time.Second, 300*time.Millisecond)
	must.Eq(t, 300*time.Millisecond, m.SchedulingDelay())
	feedProbes(&m, now, 500*time.Millisecond, 0)
	must.Less(t, shedThreshold, m.SchedulingDelay())
}

// Guards against shedding on a host with a CPU quota period of 100 ms whose run
// queue empties in each period.
func TestCPUThrottlingIsNotOverload(t *testing.T) {
	var m Monitor
	now := time.Unix(1_700_000_000, 0)
	for range 20 {
		now = feedProbes(&m, now, window, 85*time.Millisecond, 0)
		must.Eq(t, 0.0, shedProbability(m.SchedulingDelay()))
		must.Less(t, leaveDelay, m.SchedulingDelay())
	}
}

// Guards against a persistent run queue that is not detected as an overload.
func TestPersistentRunQueueIsOverload(t *testing.T) {
	var m Monitor
	feedProbes(&m, time.Unix(1_700_000_000, 0), 2*window, 200*time.Millisecond, 400*time.Millisecond)
	must.Eq(t, 200*time.Millisecond, m.SchedulingDelay())
	must.Positive(t, shedProbability(m.SchedulingDelay()))
}
