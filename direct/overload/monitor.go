// Package overload notices that a router gets less processor time than its
// work needs, by the time that a goroutine waits for its turn. Monitor owns the
// recent lateness.
package overload

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// probeInterval is the time between two looks at the clock.
	probeInterval = 20 * time.Millisecond
	// decay is the part of the measured lateness that a timely probe leaves.
	decay = 0.8
	// shedFrom is the lateness at which new connections begin to be closed.
	// Callers abandon a request that isn't read within a second, and a request
	// waits for its turn several times until it is placed.
	shedFrom = 20 * time.Millisecond
	// shedMost is the lateness at which most new connections are closed.
	shedMost = 120 * time.Millisecond
	// mostShed keeps some connections: a ready router must take new ones.
	mostShed = 0.95
)

// Monitor is safe for use by several goroutines.
type Monitor struct{ lateness atomic.Int64 }

// Run measures until ctx ends.
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
		// The timer alone says little: a goroutine that it wakes runs next. The
		// wait behind all runnable goroutines is what a request waits at each step.
		woken := time.Now()
		runtime.Gosched()
		now := time.Now()
		m.observe(max(now.Sub(woken), woken.Sub(last)-probeInterval))
		last = now
	}
}

func (m *Monitor) observe(late time.Duration) {
	faded := time.Duration(decay * float64(m.lateness.Load()))
	m.lateness.Store(int64(max(late, faded)))
}

// Lateness returns the recent lateness.
func (m *Monitor) Lateness() time.Duration { return time.Duration(m.lateness.Load()) }

// Shed decides whether to close a new connection unread.
func (m *Monitor) Shed() bool { return rand.Float64() < shedProbability(m.Lateness()) }

func shedProbability(late time.Duration) float64 {
	over := float64(late-shedFrom) / float64(shedMost-shedFrom)
	return min(max(over, 0), mostShed)
}
