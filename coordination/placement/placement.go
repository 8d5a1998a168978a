// Package placement decides which model engine runs a request, or that none
// can in time. It answers four load patterns: prompts that share long parts
// (stay where the part is cached), more of them than the engines can read
// (turn away what would be read twice), bursts (no engine gets a backlog that
// pushes first events past their target), and long answers (no engine gets so
// many at once that none ends in time). It owns no state.
package placement

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

// Policy holds the limits of the decisions.
type Policy struct {
	// TargetFraction is the part of a request's latency target that the
	// backlog ahead of it may take.
	TargetFraction float64
	// MaxBacklog bounds that backlog for all requests, so that a request with
	// a short target finds room behind one with a long target.
	MaxBacklog time.Duration
	// MaxRunning bounds the requests in progress at one engine, as a fraction
	// of its batch. Steps slow down as the batch fills.
	MaxRunning float64
	// MissWeight is the price of reading a cached part again elsewhere,
	// relative to its reading time.
	MissWeight float64
	// ColdFactor weighs the reading time of shared parts that are not cached
	// against the backlog's limit. Under load a prompt then waits for the
	// engine that has its parts, or is turned away, and doesn't take the
	// capacity of two requests at another engine.
	ColdFactor float64
	// MissFloor is the least price in tokens of leaving the cached prefix.
	MissFloor int64
	// RunningWeight is the cost of one request in progress in prompt tokens.
	RunningWeight int64
	// ZoneTokens is the price in tokens of another availability zone.
	ZoneTokens int64
}

// DefaultPolicy returns limits found by measured rounds (docs/measurements.md).
func DefaultPolicy() Policy {
	return Policy{
		TargetFraction: 0.5,
		MaxBacklog:     250 * time.Millisecond,
		MaxRunning:     0.4,
		MissWeight:     4,
		ColdFactor:     2.5,
		MissFloor:      3000,
		RunningWeight:  100,
		ZoneTokens:     150,
	}
}

// Candidate is one engine as the router sees it.
type Candidate struct {
	ID string
	// Pending is the number of prompt tokens sent by the fleet and not begun.
	Pending int64
	// Running is the number of the fleet's requests in progress.
	Running int
	// Slots is the size of the engine's batch.
	Slots int
	// Missing is the number of shared tokens that the engine must read first.
	Missing int64
	// Rate is the reading rate in prompt tokens per millisecond.
	Rate float64
	// SameZone is set if the engine is in the router's availability zone.
	SameZone bool
	// Suspect is the recent fraction of failures, 0 to 1.
	Suspect float64
}

// Wait returns the expected time until the engine begins a request.
func (c *Candidate) Wait() time.Duration { return c.reading(float64(c.Pending)) }

// reading returns the time in which the engine reads tokens.
func (c *Candidate) reading(tokens float64) time.Duration {
	return time.Duration(tokens / c.Rate * float64(time.Millisecond))
}

// Demand describes a request.
type Demand struct {
	Cost prompt.Cost
	// Target is the latency target.
	Target time.Duration
	// Allowance scales the limits, 0 to 1: small for a team that has more
	// than its share.
	Allowance float64
}

// Choose returns the index of the engine to use. Without one, ok is false and
// wait is the shortest expected time until an engine has room.
func Choose(p Policy, d Demand, candidates []Candidate) (index int, wait time.Duration, ok bool) {
	limit := min(time.Duration(float64(d.Target)*p.TargetFraction), p.MaxBacklog)
	limit = time.Duration(float64(limit) * d.Allowance)
	best, bestScore := -1, 0.0
	shortest := time.Duration(-1)
	for i := range candidates {
		c := &candidates[i]
		excess := c.Wait() + c.reading(p.ColdFactor*float64(c.Missing)) - limit
		maxRunning := int(float64(c.Slots) * p.MaxRunning * (runningFloor + (1-runningFloor)*d.Allowance))
		if c.Running >= maxRunning {
			excess = max(excess, time.Duration(c.Running-maxRunning+1)*slotTurn)
		}
		if excess > 0 {
			if shortest < 0 || excess < shortest {
				shortest = excess
			}
			continue
		}
		if score := p.score(c); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return best, 0, true
	}
	return -1, max(shortest, 0), false
}

// runningFloor is the part of MaxRunning that a team far above its share may
// still fill.
const runningFloor = 0.2

// slotTurn is the typical time until a full batch frees one slot: a stream
// lasts some seconds and a batch holds some dozens.
const slotTurn = 100 * time.Millisecond

// suspectTokens is the price in tokens of an engine that fails every request.
const suspectTokens = 60000

func (p Policy) score(c *Candidate) float64 {
	score := float64(c.Pending) + float64(c.Running)*float64(p.RunningWeight)
	if c.Missing > 0 {
		score += max(p.MissWeight*float64(c.Missing), float64(p.MissFloor))
	}
	if !c.SameZone {
		score += float64(p.ZoneTokens)
	}
	return score + c.Suspect*suspectTokens
}
