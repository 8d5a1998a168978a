package overload

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against connections closed by a router that has time, and against a
// router that closes all of them.
func TestSheddingGrowsWithTheLateness(t *testing.T) {
	must.Eq(t, 0.0, shedProbability(shedFrom))
	must.Positive(t, shedProbability(shedFrom+time.Millisecond))
	must.Less(t, shedProbability(100*time.Millisecond), shedProbability(60*time.Millisecond))
	must.Eq(t, mostShed, shedProbability(time.Minute))
}

// Guards against a monitor that a full run queue doesn't delay: its goroutine
// must wait behind the others.
func TestBusyProcessIsNoticed(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var m Monitor
	go func() { _ = m.Run(ctx) }()
	stop := time.Now().Add(3 * time.Second)
	var workers sync.WaitGroup
	for range 100 {
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
		highest = max(highest, m.Lateness())
		runtime.Gosched()
	}
	workers.Wait()
	must.Greater(t, shedFrom, highest)
}

// Guards against one late probe that sheds for seconds.
func TestLatenessFades(t *testing.T) {
	var m Monitor
	m.observe(300 * time.Millisecond)
	must.Eq(t, 300*time.Millisecond, m.Lateness())
	for range int(500 * time.Millisecond / probeInterval) {
		m.observe(0)
	}
	must.Less(t, shedFrom, m.Lateness())
}
