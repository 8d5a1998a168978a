package overload

import (
	"sync"
	"time"
)

const (
	// leaveFrom is the lateness at which a router leaves the balancer's
	// rotation: most of a scheduling period of 100 ms, in every probe.
	leaveFrom = 80 * time.Millisecond
	// leaveBusy is the used part of the processor time at which a router leaves.
	// Callers come in waves, so that a host that is busy to four fifths on
	// average queues for a part of the time.
	leaveBusy = 0.8
	// leaveAfter is how long the pressure must last, beyond the time over which
	// it is measured. The balancer needs two more seconds to react.
	leaveAfter = 300 * time.Millisecond
	// startTime is the time after a start in which pressure is expected.
	startTime = 3 * time.Second
	// minRest is how long a router stays out at first: about as long as a team's
	// burst lasts.
	minRest = 10 * time.Second
	// maxRest bounds the doubling of the rest.
	maxRest = 40 * time.Second
	// maxOut is the part of the fleet that may be out at the same time. More of
	// them would only move the load among overloaded routers.
	maxOut = 0.25
)

// Pressure is how short of processor time a process is.
type Pressure struct {
	// Lateness is the time that a runnable goroutine waits at the least.
	Lateness time.Duration
	// Busy is the used part of the processor time that the process may use.
	Busy float64
}

func (p Pressure) high() bool { return p.Lateness >= leaveFrom || p.Busy >= leaveBusy }

// Fleet counts the other routers.
type Fleet struct {
	// Live routers were heard lately.
	Live int
	// Out are those that left the rotation.
	Out int
}

// Rotation decides whether this router takes new connections from the
// balancer. The balancer divides callers by a hash and not by what a host can
// carry, so that one busy caller can exceed a small host; while that host is out,
// its new connections go to others. It is safe for use by several goroutines.
type Rotation struct {
	mu        sync.Mutex
	started   time.Time
	highSince time.Time
	// until is the end of the rest; zero while in rotation.
	until    time.Time
	returned time.Time
	rest     time.Duration
}

// NewRotation returns a rotation that begins inside.
func NewRotation(now time.Time) *Rotation { return &Rotation{started: now} }

// Out reports whether the router is out of the rotation.
func (r *Rotation) Out() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.until.IsZero()
}

// Step takes the pressure at now and reports whether Out changed.
func (r *Rotation) Step(now time.Time, pressure Pressure, others Fleet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.until.IsZero() {
		return r.comeBack(now)
	}
	if !pressure.high() || now.Sub(r.started) < startTime {
		r.highSince = time.Time{}
		return false
	}
	if r.highSince.IsZero() {
		r.highSince = now
	}
	if now.Sub(r.highSince) < leaveAfter || !mayLeave(others) {
		return false
	}
	r.leave(now)
	return true
}

func mayLeave(others Fleet) bool {
	return float64(others.Out+1) <= maxOut*float64(others.Live+1)
}

// leave starts a rest, a longer one if the last rest didn't help for long.
func (r *Rotation) leave(now time.Time) {
	if !r.returned.IsZero() && now.Sub(r.returned) < r.rest {
		r.rest = min(2*r.rest, maxRest)
	} else {
		r.rest = minRest
	}
	r.until = now.Add(r.rest)
	r.highSince = time.Time{}
}

func (r *Rotation) comeBack(now time.Time) bool {
	if now.Before(r.until) {
		return false
	}
	r.until, r.returned = time.Time{}, now
	return true
}
