package overload

import (
	"sync"
	"time"
)

const (
	// leaveDelay is the scheduling delay at which a router leaves the load
	// balancer's rotation: most of a CPU quota period of 100 ms, in every probe.
	leaveDelay = 80 * time.Millisecond
	// leaveUtilization is the CPU utilization at which a router leaves.
	// Requests arrive in bursts, so a host with an average utilization of 0.8 is
	// saturated for a part of the time.
	leaveUtilization = 0.8
	// leaveRefused is the fraction of refused requests at which a router leaves. The
	// refusals keep its utilization below leaveUtilization.
	leaveRefused = 0.5
	// leaveRefusedUnread is the fraction of connections refused unread at which a router leaves.
	// It reads connections slower than they arrive.
	leaveRefusedUnread = 0.1
	// leaveAfter is how long the pressure must last, in addition to the time
	// over which it is measured. The load balancer takes two more seconds to
	// react.
	leaveAfter = 300 * time.Millisecond
	// startupGrace is the time after the start in which pressure is expected
	// and ignored.
	startupGrace = 3 * time.Second
	// minOutTime is how long a router stays out of the rotation at first: about
	// the duration of a burst of one team.
	minOutTime = 10 * time.Second
	// maxOutTime bounds the time out of the rotation, which doubles while the
	// overload recurs.
	maxOutTime = 40 * time.Second
	// maxOutFraction is the fraction of the fleet that may be out at the same
	// time. If more left, their load would only move to other overloaded routers.
	maxOutFraction = 0.25
)

// Pressure measures how short of CPU time a process is.
type Pressure struct {
	// SchedulingDelay is the minimum time for which a runnable goroutine waits to
	// be scheduled.
	SchedulingDelay time.Duration
	// Utilization is the used fraction of the CPU time that the process may use.
	Utilization float64
	// Refused is the fraction of requests that is refused for lack of CPU time.
	Refused float64
	// RefusedUnread is the fraction of connections whose request is refused unread.
	RefusedUnread float64
}

func (p Pressure) high() bool {
	return p.SchedulingDelay >= leaveDelay || p.Utilization >= leaveUtilization || p.Refused >= leaveRefused || p.RefusedUnread >= leaveRefusedUnread
}

// PeerCounts counts the peers of this router.
type PeerCounts struct {
	// Live is the number of peers that sent a report recently.
	Live int
	// Out is the number of live peers that are out of the rotation.
	Out int
}

// Rotation decides whether this router takes new connections from the load
// balancer. The load balancer distributes callers by a hash and not by the
// capacity of the hosts, so that one busy caller can overload a small host; while
// that host is out of the rotation, its new connections go to other hosts.
// Rotation is safe for concurrent use.
type Rotation struct {
	mu        sync.Mutex
	startedAt time.Time
	highSince time.Time
	// outUntil is the time at which the router rejoins; zero while in the rotation.
	outUntil   time.Time
	rejoinedAt time.Time
	// outTime is how long the router stays, or last stayed, out of the rotation.
	outTime time.Duration
}

// NewRotation returns the Rotation of a router that starts at now, in the
// rotation.
func NewRotation(now time.Time) *Rotation { return &Rotation{startedAt: now} }

// Out reports whether the router is out of the rotation.
func (r *Rotation) Out() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.outUntil.IsZero()
}

// Step decides from the pressure at now whether the router leaves or rejoins the
// rotation, and reports whether it did.
func (r *Rotation) Step(now time.Time, pressure Pressure, peers PeerCounts) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.outUntil.IsZero() {
		return r.rejoin(now)
	}
	if !pressure.high() || now.Sub(r.startedAt) < startupGrace {
		r.highSince = time.Time{}
		return false
	}
	if r.highSince.IsZero() {
		r.highSince = now
	}
	if now.Sub(r.highSince) < leaveAfter || !mayLeave(peers) {
		return false
	}
	r.leave(now)
	return true
}

func mayLeave(peers PeerCounts) bool {
	return float64(peers.Out+1) <= maxOutFraction*float64(peers.Live+1)
}

// leave takes the router out of the rotation for outTime, which doubles if less
// than the previous outTime has passed since the router rejoined.
func (r *Rotation) leave(now time.Time) {
	if !r.rejoinedAt.IsZero() && now.Sub(r.rejoinedAt) < r.outTime {
		r.outTime = min(2*r.outTime, maxOutTime)
	} else {
		r.outTime = minOutTime
	}
	r.outUntil = now.Add(r.outTime)
	r.highSince = time.Time{}
}

func (r *Rotation) rejoin(now time.Time) bool {
	if now.Before(r.outUntil) {
		return false
	}
	r.outUntil, r.rejoinedAt = time.Time{}, now
	return true
}
