package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partitionSide is the queue owner on one side of a partition.
type partitionSide struct {
	q *Queue
	// teams are the backlogged teams whose entry routers can reach this side.
	teams []string
}

// partitionAgent is an agent that completes each request before its next report.
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

// fill adds enough tickets of each team for all slots.
func (s *partitionSide) fill(now time.Time, created *int) {
	for _, team := range s.teams {
		for range partitionSlots {
			*created++
			t := ticket(fmt.Sprintf("q%06d", *created), team, partitionCost/2, 0)
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

// Guards against a service gap that remains after a partition. Both teams are
// backlogged throughout and both sides grant tokens, but one team reaches only one
// side. After the partition heals, one owner merges the counters of all agents and
// serves the team that received less until the gap is below the bound, where it
// must stay.
func TestServiceGapReturnsBelowBoundAfterPartition(t *testing.T) {
	const bound = 2 * 2 * partitionSlots * partitionCost
	full := &partitionSide{q: newQueue(Options{CreditLimit: 1_000_000}, "e", "f"), teams: []string{"large", "small"}}
	partial := &partitionSide{q: newQueue(Options{CreditLimit: 1_000_000}, "e", "f"), teams: []string{"large"}}
	agents := map[string]*partitionAgent{}
	for _, name := range []string{"e", "f"} {
		agents[name] = &partitionAgent{endpoint: name, counters: map[string]uint64{}, bases: map[string]uint64{}}
	}
	service := map[string]uint64{}
	created, ms := 0, 0
	serve := func(now time.Time, s *partitionSide, endpoints ...string) {
		s.fill(now, &created)
		for _, name := range endpoints {
			agents[name].report(t, now, s.q)
			for _, g := range grantAll(s.q, now, unitWeight) {
				s.q.Resolve(now, g, Accepted)
				agents[g.Endpoint].counters[g.Ticket.Team] += partitionCost
				service[g.Ticket.Team] += partitionCost
			}
		}
		s.q.Tick(now)
	}
	repeat := func(rounds int, step func(now time.Time)) {
		for range rounds {
			ms += 100
			step(atMs(ms))
		}
	}
	gap := func() int { return int(service["large"]) - int(service["small"]) }

	repeat(50, func(now time.Time) {
		serve(now, full, "e", "f")
		must.LessEq(t, bound, max(gap(), -gap()))
	})
	repeat(200, func(now time.Time) {
		serve(now, full, "e")
		serve(now, partial, "f")
	})
	gapAtHeal := gap()
	must.Greater(t, bound, gapAtHeal, must.Sprint("the partition caused no gap above the bound, so the test does not cover the recovery"))
	repeat(200, func(now time.Time) { serve(now, full, "f", "e") })
	must.LessEq(t, bound, max(gap(), -gap()), must.Sprintf("the gap was %d when the partition healed", gapAtHeal))
	before := gap()
	repeat(200, func(now time.Time) {
		serve(now, full, "e", "f")
		must.LessEq(t, bound, max(gap()-before, before-gap()))
	})
}
