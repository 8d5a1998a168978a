package requestlimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/timebucket/clocktest"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a limit that is dropped because of a response to a request that was sent
// before it, and against one that is kept although the endpoint no longer names it.
func TestLimitEndsWithLaterResponseWithoutIt(t *testing.T) {
	table := NewTable()
	must.False(t, table.Observe(start, 1, NoLimit, start))
	must.True(t, table.Observe(start.Add(time.Second), 1, 4.5, start))
	must.False(t, table.Observe(start.Add(2*time.Second), 1, 4.5, start.Add(time.Second)))
	must.False(t, table.Observe(start.Add(3*time.Second), 1, NoLimit, start.Add(time.Millisecond)))
	must.Eq(t, 1, table.Limited())
	must.True(t, table.Observe(start.Add(4*time.Second), 1, 2, start))
	must.True(t, table.Observe(start.Add(5*time.Second), 1, NoLimit, start.Add(4*time.Second)))
	must.Eq(t, 0, table.Limited())
}

// Guards against a router that, after a step of the time of day, reports none of its requests and
// loses its part of the endpoints' limits.
func TestStepOfTheTimeOfDayKeepsTheDemand(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			table := NewTable()
			now := time.Now()
			table.CountRequest(now)
			table.CountRequest(now)
			must.Eq(t, 2, table.Requests(clocktest.Step(now.Add(time.Second), step)))
			must.Eq(t, 0, table.Requests(clocktest.Step(now.Add(demandWindow), step)))
		})
	}
}
