package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stepInterval is the interval at which a process calls Step.
const stepInterval = 100 * time.Millisecond

// clock steps a rotation through time.
type clock struct {
	now time.Time
	r   *Rotation
}

func newClock() *clock {
	now := time.Unix(1_700_000_000, 0)
	return &clock{now: now, r: NewRotation(now)}
}

// run steps for d and returns how long the router was out.
func (c *clock) run(d time.Duration, pressure Pressure, others Fleet) time.Duration {
	var out time.Duration
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(stepInterval) {
		c.r.Step(c.now, pressure, others)
		if c.r.Out() {
			out += stepInterval
		}
	}
	return out
}

var (
	fleet = Fleet{Live: 28}
	calm  Pressure
	late  = Pressure{Lateness: leaveFrom}
)

// Guards against a flooded host that keeps the new connections of its busy
// caller while others have room.
func TestOverloadedRouterLeavesTheRotation(t *testing.T) {
	c := newClock()
	must.Zero(t, c.run(startTime, calm, fleet))
	must.Zero(t, c.run(leaveAfter, late, fleet))
	c.run(stepInterval, late, fleet)
	must.True(t, c.r.Out())
	must.Eq(t, minRest-stepInterval, c.run(2*minRest, calm, fleet))
	must.False(t, c.r.Out())
}

// Guards against a host that uses up its share of the processor and stays in
// the rotation because its run queue empties now and then.
func TestBusyRouterLeavesTheRotation(t *testing.T) {
	c := newClock()
	c.run(startTime, calm, fleet)
	c.run(leaveAfter+stepInterval, Pressure{Busy: leaveBusy}, fleet)
	must.True(t, c.r.Out())
}

// Guards against routers that leave because they are late for a moment or
// while they start.
func TestShortLatenessKeepsTheRotation(t *testing.T) {
	c := newClock()
	must.Zero(t, c.run(startTime, late, fleet))
	for range 20 {
		must.Zero(t, c.run(leaveAfter, late, fleet))
		must.Zero(t, c.run(stepInterval, Pressure{Lateness: leaveFrom - time.Millisecond, Busy: leaveBusy - 0.01}, fleet))
	}
}

// Guards against a fleet that leaves the rotation as a whole, and against a
// small fleet that loses one of few routers.
func TestMostRoutersStayInTheRotation(t *testing.T) {
	for _, others := range []Fleet{{Live: 28, Out: 7}, {Live: 2}, {}, {Live: 6, Out: 1}} {
		c := newClock()
		must.Zero(t, c.run(startTime+time.Minute, late, others))
	}
}

// Guards against a router that returns to the same flood again and again, and
// against one that never returns.
func TestRestGrowsWhileTheOverloadReturns(t *testing.T) {
	c := newClock()
	c.run(startTime, calm, fleet)
	last := time.Duration(0)
	for range 4 {
		out := time.Duration(0)
		for !c.r.Out() {
			c.run(stepInterval, late, fleet)
		}
		for c.r.Out() {
			out += c.run(stepInterval, calm, fleet)
		}
		must.GreaterEq(t, last, out)
		must.LessEq(t, maxRest, out)
		last = out
	}
	must.Greater(t, minRest, last)
	c.run(2*maxRest, calm, fleet)
	for !c.r.Out() {
		c.run(stepInterval, late, fleet)
	}
	must.LessEq(t, minRest, c.run(2*minRest, calm, fleet))
}
