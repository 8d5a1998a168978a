package warmup

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newTable returns the table of the only router of a fleet, some time after its start.
func newTable() (*Table, time.Time) {
	t := NewTable(standardBounds)
	t.SetFleet(start, Fleet{Self: "a", Candidates: []string{"a"}})
	return t, start.Add(startDelay)
}

// Guards against limiting endpoints that aren't cold, or not any more.
func TestOnlyColdEndpointsAreLimited(t *testing.T) {
	table, now := newTable()
	table.Set(now, 1, 10, Entry, now.Add(3*time.Second))
	for range 50 {
		must.True(t, table.Allow(now, 2))
		must.True(t, table.Send(now, 2, table.Take(now, 2)))
	}
	must.Eq(t, 1, table.Cold(now))
	table.Take(now, 1)
	must.False(t, table.Allow(now, 1))
	now = now.Add(3 * time.Second)
	must.Eq(t, 0, table.Cold(now))
	for range 50 {
		must.True(t, table.Allow(now, 1))
		must.True(t, table.Send(now, 1, table.Take(now, 1)))
	}
	table.Expire(now)
	must.Eq(t, 0, table.Len())
}

// Guards against an endpoint that stays cold on a suspicion after its incarnation was confirmed, or for
// longer than the suspicion, and against a suspicion that ends what the entry says.
func TestSuspicionEndsWithConfirmation(t *testing.T) {
	table, now := newTable()
	table.Set(now, 1, 10, Connection, now.Add(8*time.Second))
	table.Set(now, 1, 10, Peer, now.Add(2*time.Second))
	must.True(t, table.IsCold(now, 1))
	must.True(t, table.Suspected(now, 1))
	table.Confirm(1)
	must.False(t, table.IsCold(now, 1))

	table.Set(now, 1, 10, Connection, now.Add(8*time.Second))
	table.Set(now, 1, 10, Connection, now.Add(7*time.Second))
	must.True(t, table.IsCold(now.Add(7900*time.Millisecond), 1))
	must.False(t, table.IsCold(now.Add(8*time.Second), 1))

	table.Set(now, 1, 10, Entry, now.Add(5*time.Second))
	table.Confirm(1)
	must.True(t, table.IsCold(now, 1))
	table.Set(now, 1, 10, Entry, now)
	must.False(t, table.IsCold(now, 1))
}

// Guards against a request that was placed before the endpoint became cold, or whose turn is long over,
// and that is sent beside those with turns.
func TestRequestWithoutPresentTurnIsNotSent(t *testing.T) {
	table, now := newTable()
	before := table.Take(now, 1)
	table.Set(now, 1, 10, Entry, now.Add(time.Minute))
	must.False(t, table.Send(now, 1, before))

	turn := table.Take(now, 1)
	spacing := table.endpoints[1].spacing()
	must.False(t, table.Send(now.Add(spacing+time.Millisecond), 1, turn))
	must.True(t, table.Send(now.Add(spacing), 1, turn))
}

// Guards against turns that are lost because their requests weren't sent.
func TestUnusedTurnIsReturned(t *testing.T) {
	table, now := newTable()
	table.Set(now, 1, 10, Entry, now.Add(time.Minute))
	turn := table.Take(now, 1)
	must.False(t, table.Allow(now, 1))
	table.Return(1, turn)
	must.True(t, table.Allow(now, 1))
	// A later turn was taken, so that the first one must not bring its time back.
	turn = table.Take(now, 1)
	next, ok := table.NextTurn(now, 1)
	must.True(t, ok)
	must.True(t, table.Allow(next, 1))
	table.Take(next, 1)
	table.Return(1, turn)
	must.False(t, table.Allow(next, 1))
}

// Guards against a burst after a time without requests.
func TestTurnsDoNotAccumulate(t *testing.T) {
	table, now := newTable()
	table.Set(now, 1, 10, Entry, now.Add(time.Minute))
	now = now.Add(10 * time.Second)
	taken := 0
	for range 5 {
		if table.Allow(now, 1) {
			table.Take(now, 1)
			taken++
		}
	}
	must.Eq(t, 1, taken)
}

// Guards against an endpoint whose bound doesn't allow even one request per second and router, and
// that gets some nevertheless.
func TestEndpointWithoutRoomGetsNothing(t *testing.T) {
	table := NewTable(Bounds{Overshoot: 1, Slack: 0})
	table.SetFleet(start, Fleet{Self: "a", Candidates: []string{"a"}})
	now := start.Add(startDelay)
	table.Set(now, 1, 1, Entry, now.Add(time.Minute))
	must.False(t, table.Allow(now, 1))
	_, ok := table.NextTurn(now, 1)
	must.False(t, ok)
}

// Guards against changes that the log doesn't show, or shows without their cause.
func TestChangesAreReported(t *testing.T) {
	table, now := newTable()
	until := now.Add(2 * time.Second)
	table.Set(now, 1, 10, Connection, until)
	table.Set(now, 1, 10, Connection, until)
	must.Eq(t, []Change{{Endpoint: 1, Cold: true, Source: Connection, Until: until}}, table.TakeChanges())
	table.Expire(until)
	must.Eq(t, []Change{{Endpoint: 1, Source: Connection, Until: until}}, table.TakeChanges())
	must.SliceEmpty(t, table.TakeChanges())
}

// Guards against members that differ between routers with the same view, and against sets of members
// that together send more or less than the bound allows.
func TestSharesAddUpToTheBound(t *testing.T) {
	for n := 1; n <= 40; n++ {
		var candidates []string
		for i := range n {
			candidates = append(candidates, string(rune('A'+i)))
		}
		for _, maxSends := range []int{0, 1, 3, 8, 10, 77} {
			sum := 0
			for _, self := range candidates {
				sum += shareOf(self, "endpoint", candidates, maxSends).sends
			}
			must.Eq(t, maxSends, sum, must.Sprint(n, " routers"))
		}
	}
	must.Eq(t, share{}, shareOf("x", "endpoint", []string{"a", "b"}, 10))
}
