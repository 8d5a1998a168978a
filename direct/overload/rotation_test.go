package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stepInterval is the interval at which the process calls Step.
const stepInterval = 100 * time.Millisecond

// simulation calls a Rotation at regular intervals of simulated time.
type simulation struct {
	now time.Time
	r   *Rotation
}

func newSimulation() *simulation {
	now := time.Unix(1_700_000_000, 0)
	return &simulation{now: now, r: NewRotation(now)}
}

// run simulates d and returns how long the router was out of the rotation.
func (s *simulation) run(d time.Duration, pressure Pressure, peers PeerCounts) time.Duration {
	var out time.Duration
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(stepInterval) {
		s.r.Step(s.now, pressure, peers)
		if s.r.Out() {
			out += stepInterval
		}
	}
	return out
}

var (
	fleet      = PeerCounts{Live: 28}
	noPressure Pressure
	highDelay  = Pressure{SchedulingDelay: leaveDelay}
)

// Guards against an overloaded host that keeps getting the new connections of its
// busy caller while other hosts have capacity.
func TestHighSchedulingDelayLeavesRotation(t *testing.T) {
	s := newSimulation()
	must.Zero(t, s.run(startupGrace, noPressure, fleet))
	must.Zero(t, s.run(leaveAfter, highDelay, fleet))
	s.run(stepInterval, highDelay, fleet)
	must.True(t, s.r.Out())
	must.Eq(t, minOutTime-stepInterval, s.run(2*minOutTime, noPressure, fleet))
	must.False(t, s.r.Out())
}

// Guards against a host that uses up its CPU share and stays in the rotation
// because its run queue empties from time to time.
func TestHighCPUUtilizationLeavesRotation(t *testing.T) {
	s := newSimulation()
	s.run(startupGrace, noPressure, fleet)
	s.run(leaveAfter+stepInterval, Pressure{Utilization: leaveUtilization}, fleet)
	must.True(t, s.r.Out())
}

// Guards against routers that leave the rotation because of a short scheduling
// delay or while they start.
func TestShortOrStartupPressureStaysInRotation(t *testing.T) {
	s := newSimulation()
	must.Zero(t, s.run(startupGrace, highDelay, fleet))
	for range 20 {
		must.Zero(t, s.run(leaveAfter, highDelay, fleet))
		must.Zero(t, s.run(stepInterval, Pressure{SchedulingDelay: leaveDelay - time.Millisecond, Utilization: leaveUtilization - 0.01}, fleet))
	}
}

// Guards against a whole fleet that leaves the rotation, and against a small
// fleet that loses one of its few routers.
func TestFractionOfRoutersOutIsBounded(t *testing.T) {
	for _, peers := range []PeerCounts{{Live: 28, Out: 7}, {Live: 2}, {}, {Live: 6, Out: 1}} {
		s := newSimulation()
		must.Zero(t, s.run(startupGrace+time.Minute, highDelay, peers))
	}
}

// Guards against a router that rejoins at the same short interval while the
// overload persists, and against one that never rejoins.
func TestOutTimeGrowsWithRepeatedOverload(t *testing.T) {
	s := newSimulation()
	s.run(startupGrace, noPressure, fleet)
	last := time.Duration(0)
	for range 4 {
		out := time.Duration(0)
		for !s.r.Out() {
			s.run(stepInterval, highDelay, fleet)
		}
		for s.r.Out() {
			out += s.run(stepInterval, noPressure, fleet)
		}
		must.GreaterEq(t, last, out)
		must.LessEq(t, maxOutTime, out)
		last = out
	}
	must.Greater(t, minOutTime, last)
	s.run(2*maxOutTime, noPressure, fleet)
	for !s.r.Out() {
		s.run(stepInterval, highDelay, fleet)
	}
	must.LessEq(t, minOutTime, s.run(2*minOutTime, noPressure, fleet))
}

// Guards against an overloaded host that stays in the rotation because its early refusals
// keep its CPU utilization low: it refuses most requests of its callers for as long as
// they come, while other hosts have capacity.
func TestHostThatRefusesHalfLeavesRotation(t *testing.T) {
	const (
		load           = 2.5 // CPU utilization if all requests were admitted
		costOfRefusal  = 0.15
		highestAllowed = leaveUtilization - 0.05
	)
	s := newSimulation()
	var admission Admission
	s.run(startupGrace, noPressure, fleet)
	for range 20 {
		admitted := admission.Admitted()
		utilization := load * (admitted + costOfRefusal*(1-admitted))
		admission.Step(utilization)
		s.run(stepInterval, Pressure{Utilization: min(utilization, highestAllowed), Refused: 1 - admission.Admitted()}, fleet)
	}
	must.True(t, s.r.Out())
}
