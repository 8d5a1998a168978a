package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against gaps over intervals in which a team wasn't backlogged, and
// against gaps that are computed only from the start of an interval.
func TestFairnessGap(t *testing.T) {
	teams := []Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 1}}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for name, test := range map[string]struct {
		events []serviceEvent
		gap    float64
	}{
		"difference divided by weight": {
			[]serviceEvent{{at(0), 0, 1, 0}, {at(0), 1, 1, 0}, {at(1), 0, 0, 10}, {at(2), 1, 0, 10}}, 10,
		},
		"interval inside the common backlog": {
			[]serviceEvent{
				{at(0), 0, 1, 0}, {at(0), 1, 1, 0},
				{at(1), 0, 0, 10}, {at(2), 1, 0, 60}, {at(3), 0, 0, 5},
			}, 30,
		},
		"service outside of the backlog doesn't count": {
			[]serviceEvent{
				{at(0), 0, 1, 0}, {at(1), 0, 0, 100}, {at(2), 1, 1, 0},
				{at(3), 0, 0, 7}, {at(4), 1, -1, 0}, {at(5), 0, 0, 100},
			}, 7,
		},
		"a new backlog begins a new interval": {
			[]serviceEvent{
				{at(0), 0, 1, 0}, {at(0), 1, 1, 0}, {at(1), 0, 0, 8},
				{at(2), 1, -1, 0}, {at(3), 1, 1, 0}, {at(4), 0, 0, 9},
			}, 9,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := fairnessGap(teams, test.events, 4, 10, at(10))
			must.Eq(t, test.gap, g.Largest)
			must.Eq(t, 80, g.Bound)
			must.Eq(t, test.gap/80, g.MaxBoundRatio)
		})
	}
}

// Guards against including times in which no request waits in the utilization.
func TestUtilization(t *testing.T) {
	second := time.Second
	events := []serviceEvent{{at: second, waitingDelta: 1}, {at: 3 * second, waitingDelta: -1}}
	idle := idleSpans(events, 4*second)
	must.Eq(t, []span{{0, second}, {3 * second, 4 * second}}, idle)
	samples := []Sample{{0, 0, 0}, {second, 0, 2}, {2 * second, 2, 2}, {3 * second, 3, 0}, {4 * second, 3, 0}}
	u := utilization(samples, idle, 2)
	must.Eq(t, Utilization{Busy: 0.75, Occupied: 0.75, WaitingSeconds: 2}, u)
}
