// Package placement selects the model engine for a request, or reports that none
// can serve it in time. It has no state. It handles four load patterns:
//
//   - Prompts that share long parts are sent to engines that have the parts cached.
//   - If there are more such prompts than the engines can prefill, those whose
//     shared parts would have to be prefilled again are refused.
//   - In a burst, no engine gets a backlog that delays the first event of a response
//     beyond the latency target.
//   - No engine gets so many requests with long responses at the same time that none
//     of them ends in time.
package placement

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

// Policy holds the limits and weights of placement.
type Policy struct {
	// TargetFraction is the fraction of a request's latency target that the backlog
	// ahead of it may take.
	TargetFraction float64
	// MaxBacklog bounds that backlog for all requests, so that a request with a
	// short target can still be placed behind one with a long target.
	MaxBacklog time.Duration
	// MaxRunningFraction bounds the requests in progress at one engine, as a fraction of its
	// batch size. Steps slow down as the batch fills.
	MaxRunningFraction float64
	// MinRunningLimit is the number of requests below which that fraction of a small batch
	// doesn't reduce the limit: what a request adds to a step doesn't depend on the batch size.
	MinRunningLimit float64
	// MaxBatchFraction bounds the requests in progress in any case. The rest of the batch is
	// left for requests that peers have sent since their latest report.
	MaxBatchFraction float64
	// CacheMissWeight is the cost of prefilling a part again that is cached
	// elsewhere, relative to its prefill time.
	CacheMissWeight float64
	// UncachedFactor scales the prefill time of uncached shared parts when it is
	// compared with the backlog limit. Under load a prompt then waits for the
	// engine that has its parts cached, or is refused, and does not take the
	// capacity of two requests at another engine.
	UncachedFactor float64
	// MinMissTokens is the minimum cost, in tokens, of an engine that lacks part of
	// the cached prefix.
	MinMissTokens int64
	// RunningTokens is the cost of one request in progress, in prompt tokens.
	RunningTokens int64
	// ZonePenaltyTokens is the cost, in tokens, of an engine in another
	// availability zone.
	ZonePenaltyTokens int64
}

// DefaultPolicy returns the limits and weights of direct routers.
func DefaultPolicy() Policy {
	return Policy{
		TargetFraction:     0.5,
		MaxBacklog:         250 * time.Millisecond,
		MaxRunningFraction: 0.4,
		// MaxRunningFraction of a batch of 64, with which engines of 2.6 to 4.2 ms a step served
		// callers best.
		MinRunningLimit:   25.6,
		MaxBatchFraction:  0.95,
		CacheMissWeight:   4,
		UncachedFactor:    2.5,
		MinMissTokens:     3000,
		RunningTokens:     100,
		ZonePenaltyTokens: 150,
	}
}

// Candidate is the state of one engine as known to the router.
type Candidate struct {
	ID string
	// Pending is the number of prompt tokens that the fleet has sent and whose
	// prefill has not begun.
	Pending int64
	// Running is the number of the fleet's requests in progress.
	Running int
	// Slots is the size of the engine's batch.
	Slots int
	// UncachedTokens is the number of shared tokens that are not in the engine's cache and
	// must be prefilled.
	UncachedTokens int64
	// Rate is the prefill rate in prompt tokens per millisecond.
	Rate float64
	// SameZone is set if the engine is in the router's availability zone.
	SameZone bool
	// FailureRate is the recent fraction of failed requests, 0 to 1.
	FailureRate float64
}

// Wait returns the expected time until the engine begins a new request.
func (c *Candidate) Wait() time.Duration { return c.prefillTime(float64(c.Pending)) }

// prefillTime returns the time that the engine needs to prefill tokens.
func (c *Candidate) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / c.Rate * float64(time.Millisecond))
}

// Request describes a request to be placed.
type Request struct {
	Cost prompt.Cost
	// Target is the latency target.
	Target time.Duration
	// Allowance scales the limits. It is below 1 for a team above its fair share, and above 1
	// for a stream that few engines can continue.
	Allowance float64
	// Unlimited is set if the request must be placed although all engines are above the limits.
	Unlimited bool
}

// Choose returns the index of the engine to use. If no engine is within the limits,
// ok is false and wait is the shortest expected time until one is.
func Choose(p Policy, r Request, candidates []Candidate) (index int, wait time.Duration, ok bool) {
	limit := min(time.Duration(float64(r.Target)*p.TargetFraction), p.MaxBacklog)
	limit = time.Duration(float64(limit) * r.Allowance)
	best, bestScore := -1, 0.0
	shortest := time.Duration(-1)
	for i := range candidates {
		c := &candidates[i]
		excess := c.Wait() + c.prefillTime(p.UncachedFactor*float64(c.UncachedTokens)) - limit
		maxRunning := max(int(p.maxRunning(c.Slots)*(minRunningFraction+(1-minRunningFraction)*r.Allowance)), 1)
		if c.Running >= maxRunning {
			excess = max(excess, time.Duration(c.Running-maxRunning+1)*slotReleaseTime)
		}
		if excess > 0 && !r.Unlimited {
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

// maxRunning returns the number of requests that may be in progress at an engine with a batch of this
// size.
func (p Policy) maxRunning(slots int) float64 {
	batch := float64(slots)
	return min(max(p.MaxRunningFraction*batch, p.MinRunningLimit), p.MaxBatchFraction*batch)
}

// minRunningFraction is the part of maxRunning that remains available to a
// team far above its fair share.
const minRunningFraction = 0.2

// slotReleaseTime is the typical time until a full batch frees one slot: a stream
// lasts several seconds and a batch holds several dozen streams.
const slotReleaseTime = 100 * time.Millisecond

// failurePenaltyTokens is the cost, in tokens, of an engine that fails every
// request.
const failurePenaltyTokens = 60000

func (p Policy) score(c *Candidate) float64 {
	score := float64(c.Pending) + float64(c.Running)*float64(p.RunningTokens)
	if c.UncachedTokens > 0 {
		score += max(p.CacheMissWeight*float64(c.UncachedTokens), float64(p.MinMissTokens))
	}
	if !c.SameZone {
		score += float64(p.ZonePenaltyTokens)
	}
	return score + c.FailureRate*failurePenaltyTokens
}
