// Package overload notices that a router gets less processor time than its
// work needs, by the time that a goroutine waits for its turn, and decides what
// follows: some requests are refused, and the balancer is told to send new
// connections elsewhere. Monitor owns the recent lateness, Rotation whether the
// router takes new connections.
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
	// probeInterval is the time between two looks at the clock.
	probeInterval = 20 * time.Millisecond
	// window is the time over which the least lateness counts. A host that
	// gets its processor time in slices is late at the start of each slice
	// without being overloaded; a queue of runnable goroutines that stays
	// makes every probe late. The longest slice is 100 ms.
	window = 300 * time.Millisecond
	// shedFrom is the lateness at which requests begin to be refused unread.
	// Callers abandon a request that isn't read within a second, and a request
	// waits for its turn several times until it is placed.
	shedFrom = 150 * time.Millisecond
	// shedMost is the lateness at which most requests are refused.
	shedMost = 500 * time.Millisecond
	// busyFrom is the used part of the processor time from which work is done in
	// larger steps, well before the router leaves the rotation.
	busyFrom = 0.5
	// mostShed keeps some requests: a ready router must serve.
	mostShed = 0.95
)

// Monitor is safe for use by several goroutines.
type Monitor struct {
	lateness atomic.Int64
	// busy holds the bits of a float64.
	busy atomic.Uint64
	// least is the least lateness since windowStart; only Run's goroutine uses both.
	least       time.Duration
	windowStart time.Time
}

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
		m.observe(now, max(now.Sub(woken), woken.Sub(last)-probeInterval))
		last = now
	}
}

// observe takes one probe. The lateness falls with the first timely probe and
// rises only at the end of a window in which all were late.
func (m *Monitor) observe(now time.Time, late time.Duration) {
	if m.windowStart.IsZero() {
		m.windowStart, m.least = now, late
	}
	m.least = min(m.least, late)
	if int64(late) < m.lateness.Load() {
		m.lateness.Store(int64(late))
	}
	if now.Sub(m.windowStart) >= window {
		m.lateness.Store(int64(m.least))
		m.windowStart = time.Time{}
	}
}

// NoteBusy keeps the used part of the process's processor time.
func (m *Monitor) NoteBusy(part float64) { m.busy.Store(math.Float64bits(part)) }

// Pressure returns how short of processor time the process is.
func (m *Monitor) Pressure() Pressure {
	return Pressure{Lateness: m.Lateness(), Busy: math.Float64frombits(m.busy.Load())}
}

// Busy reports whether the process should work in larger steps to need less
// processor time.
func (m *Monitor) Busy() bool { return m.Pressure().Busy >= busyFrom }

// Lateness returns the least lateness of the recent probes.
func (m *Monitor) Lateness() time.Duration { return time.Duration(m.lateness.Load()) }

// Shed decides whether to refuse a request unread.
func (m *Monitor) Shed() bool { return rand.Float64() < shedProbability(m.Lateness()) }

func shedProbability(late time.Duration) float64 {
	over := float64(late-shedFrom) / float64(shedMost-shedFrom)
	return min(max(over, 0), mostShed)
}
