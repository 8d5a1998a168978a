// Package overload detects that a router gets less CPU time than it needs, from
// the scheduling delay of its goroutines and its CPU utilization, and decides how
// to react: the router refuses a part of the requests, and it leaves the load
// balancer's rotation so that new connections go to other routers. Monitor owns
// the recent scheduling delay, Rotation whether the router takes new connections.
package overload

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// probeInterval is the time between two probes of the scheduling delay.
	probeInterval = 20 * time.Millisecond
	// window is the time over which the minimum delay is taken. On a host with
	// a CPU quota, probes are delayed at the start of each quota period without
	// an overload, while a persistent queue of runnable goroutines delays every
	// probe. The longest quota period is 100 ms.
	window = 300 * time.Millisecond
	// shedThreshold is the scheduling delay above which some requests are
	// refused without being read. Callers abandon a request that isn't read
	// within a second, and a request is delayed several times until it is placed.
	shedThreshold = 150 * time.Millisecond
	// maxShedDelay is the scheduling delay towards which the shed probability
	// rises to its maximum.
	maxShedDelay = 500 * time.Millisecond
	// busyThreshold is the CPU utilization from which the router processes data
	// in larger batches, well below the utilization at which it leaves the
	// rotation.
	busyThreshold = 0.5
	// maxShedProbability is below 1 because a router that reports itself ready
	// must still serve some requests.
	maxShedProbability = 0.95
)

// Monitor measures how short of CPU time the process is. It is safe for
// concurrent use.
type Monitor struct {
	schedulingDelay atomic.Int64
	// utilization holds the bits of a float64.
	utilization atomic.Uint64
	// minDelay is the minimum delay since windowStart; only Run's goroutine
	// uses both.
	minDelay    time.Duration
	windowStart time.Time
}

// Run probes the scheduling delay until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		// The timer alone is not enough, since a goroutine that it wakes runs
		// next. Gosched waits behind all runnable goroutines, as a request does
		// at each of its steps.
		wokenAt := time.Now()
		runtime.Gosched()
		now := time.Now()
		m.observe(now, max(now.Sub(wokenAt), wokenAt.Sub(last)-probeInterval))
		last = now
	}
}

// observe records one probe. The scheduling delay falls with the first probe
// that is below it, and rises only at the end of a window, to the minimum of
// that window.
func (m *Monitor) observe(now time.Time, delay time.Duration) {
	if m.windowStart.IsZero() {
		m.windowStart, m.minDelay = now, delay
	}
	m.minDelay = min(m.minDelay, delay)
	if int64(delay) < m.schedulingDelay.Load() {
		m.schedulingDelay.Store(int64(delay))
	}
	if now.Sub(m.windowStart) >= window {
		m.schedulingDelay.Store(int64(m.minDelay))
		m.windowStart = time.Time{}
	}
}

// SetUtilization sets the CPU utilization as a fraction of the available CPU time.
func (m *Monitor) SetUtilization(fraction float64) { m.utilization.Store(math.Float64bits(fraction)) }

// Pressure returns the current scheduling delay and CPU utilization.
func (m *Monitor) Pressure() Pressure {
	return Pressure{SchedulingDelay: m.SchedulingDelay(), Utilization: math.Float64frombits(m.utilization.Load())}
}

// PreferBatching reports whether the router should process data in larger batches
// to save CPU time.
func (m *Monitor) PreferBatching() bool { return m.Pressure().Utilization >= busyThreshold }

// SchedulingDelay returns the minimum scheduling delay of the recent probes.
func (m *Monitor) SchedulingDelay() time.Duration { return time.Duration(m.schedulingDelay.Load()) }

// Shed decides at random whether to refuse a request without reading it, with a
// probability that grows with the scheduling delay.
func (m *Monitor) Shed() bool { return rand.Float64() < shedProbability(m.SchedulingDelay()) }

func shedProbability(delay time.Duration) float64 {
	over := float64(delay-shedThreshold) / float64(maxShedDelay-shedThreshold)
	return min(max(over, 0), maxShedProbability)
}
