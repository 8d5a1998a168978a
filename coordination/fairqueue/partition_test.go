package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partitionSide is the queue owner of one side of a partition.
type partitionSide struct {
	q *Queue
	// teams are the backlogged teams whose entry routers this side reaches.
	teams []string
}

// partitionAgent completes each request that it gets before its next report.
type partitionAgent struct {
	endpoint string
	sequence uint64
	counters map[string]uint64
	bases    map[string]uint64
	virtual  uint64
}

const (
	partitionSlots = 4
	partitionCost  = 10
)

// fill keeps enough tickets of each team waiting.
func (s *partitionSide) fill(now time.Time, made *int) {
	for _, team := range s.teams {
		for range partitionSlots {
			*made++
			t := ticket(fmt.Sprintf("q%06d", *made), team, partitionCost/2, 0)
			t.QueuedAt = now
			s.q.Enqueue(now, t)
		}
	}
}

// report sends a report with all slots free and all counters.
func (a *partitionAgent) report(t *testing.T, now time.Time, q *Queue) {
	a.sequence++
	r := report(a.endpoint, a.sequence)
	r.VirtualTime = a.virtual
	for i := range partitionSlots {
		r.FreeTokens = append(r.FreeTokens, fmt.Sprint(a.sequence, "-", i))
	}
	for team, cost := range a.counters {
		r.Counters = append(r.Counters, Counter{Team: team, Cost: cost, Normalized: cost * millionths, Base: a.bases[team]})
	}
	result := q.Report(now, r)
	must.Eq(t, RefusedNone, result.Refused)
	a.virtual = max(a.virtual, result.VirtualTime)
	for _, b := range result.Bases {
		a.bases[b.Team] = max(a.bases[b.Team], b.Base)
	}
}

// Guards against a gap that a partition leaves for good. Both teams are
// backlogged throughout, but one reaches only one side. Both sides serve. After
// the rejoin the counters of all agents count, so that the team that got less
// is served until the gap is below the bound, and the gap stays there.
func TestGapReturnsUnderTheBoundAfterRejoin(t *testing.T) {
	const bound = 2 * 2 * partitionSlots * partitionCost
	near := &partitionSide{q: newQueue(Options{CreditLimit: 1_000_000}, "e", "f"), teams: []string{"large", "small"}}
	far := &partitionSide{q: newQueue(Options{CreditLimit: 1_000_000}, "e", "f"), teams: []string{"large"}}
	agents := map[string]*partitionAgent{}
	for _, name := range []string{"e", "f"} {
		agents[name] = &partitionAgent{endpoint: name, counters: map[string]uint64{}, bases: map[string]uint64{}}
	}
	service := map[string]uint64{}
	made, ms := 0, 0
	serve := func(now time.Time, s *partitionSide, endpoints ...string) {
		s.fill(now, &made)
		for _, name := range endpoints {
			agents[name].report(t, now, s.q)
			for _, g := range grantAll(s.q, now, one) {
				s.q.Resolve(now, g, Accepted)
				agents[g.Endpoint].counters[g.Ticket.Team] += partitionCost
				service[g.Ticket.Team] += partitionCost
			}
		}
		s.q.Expire(now)
	}
	run := func(rounds int, step func(now time.Time)) {
		for range rounds {
			ms += 100
			step(at(ms))
		}
	}
	gap := func() int { return int(service["large"]) - int(service["small"]) }

	run(50, func(now time.Time) {
		serve(now, near, "e", "f")
		must.LessEq(t, bound, max(gap(), -gap()))
	})
	run(200, func(now time.Time) {
		serve(now, near, "e")
		serve(now, far, "f")
	})
	apart := gap()
	must.Greater(t, bound, apart, must.Sprint("the partition left no gap, so the test shows nothing"))
	run(200, func(now time.Time) { serve(now, near, "f", "e") })
	must.LessEq(t, bound, max(gap(), -gap()), must.Sprintf("the gap was %d at the rejoin", apart))
	before := gap()
	run(200, func(now time.Time) {
		serve(now, near, "e", "f")
		must.LessEq(t, bound, max(gap()-before, before-gap()))
	})
}
