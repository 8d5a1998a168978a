package endpointload

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

const (
	// cachedFor is how long a part is believed to be cached after its last use.
	cachedFor = 30 * time.Second
	// maxParts bounds the parts remembered per endpoint.
	maxParts = 4096
	// failureDecay weighs the newest result in the failure average; about the
	// latest 10 results count.
	failureDecay = 0.1
	// failureHalfLife lets a shunned endpoint be tried again.
	failureHalfLife = 2 * time.Second
	// stallAfter is the silence of an endpoint with work in progress after
	// which it gets no new work. Steps take under 100 ms, so an engine with
	// several streams is never this quiet.
	stallAfter = 800 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed connection.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// trustOwn is how long an answer outweighs peers that find the endpoint
	// unreachable. Paths fail for some routers only.
	trustOwn = 500 * time.Millisecond
	// rateDecay weighs the newest observation of the reading rate.
	rateDecay = 0.1
	// rateTokens is the least number of tokens that tells something of the rate.
	rateTokens = 3000
	// startOverhead is the part of the time to a first event that doesn't
	// depend on the prompt: one step and the first token.
	startOverhead = 25 * time.Millisecond
	// minRate and maxRate bound the reading rate in tokens per millisecond.
	minRate = 5.0
	maxRate = 200.0
)

// endpoint is the state of one endpoint at this router.
type endpoint struct {
	// hash stands for the endpoint in reports.
	hash     uint64
	started  time.Time
	pending  int64
	running  int
	parts    map[uint64]time.Time
	rate     float64
	failures float64
	failedAt time.Time
	// heard is the time of the latest byte, or of the first send after idleness.
	heard time.Time
	// answered is the time of the latest byte.
	answered  time.Time
	downUntil time.Time
	backoff   time.Duration
}

func newEndpoint(hash uint64, started time.Time) *endpoint {
	return &endpoint{hash: hash, started: started, parts: map[uint64]time.Time{}}
}

func (e *endpoint) missing(now time.Time, shared []prompt.Part) int64 {
	for i, p := range shared {
		if used, ok := e.parts[p.Key]; ok && now.Sub(used) < cachedFor {
			continue
		}
		var tokens int64
		for _, rest := range shared[i:] {
			tokens += rest.Tokens
		}
		return tokens
	}
	return 0
}

func (e *endpoint) remember(now time.Time, shared []prompt.Part) {
	if len(e.parts) > maxParts {
		for key, used := range e.parts {
			if now.Sub(used) >= cachedFor {
				delete(e.parts, key)
			}
		}
	}
	if len(e.parts) > maxParts {
		clear(e.parts)
	}
	for _, p := range shared {
		e.parts[p.Key] = now
	}
}

// suspicion returns the failure average, decayed since the last failure.
func (e *endpoint) suspicion(now time.Time) float64 {
	if e.failures < 0.01 {
		return 0
	}
	age := float64(now.Sub(e.failedAt)) / float64(failureHalfLife)
	if age <= 0 {
		return e.failures
	}
	return e.failures / (1 + age)
}

func (e *endpoint) result(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
		e.failedAt = now
	}
	e.failures += failureDecay * (value - e.failures)
}

func (e *endpoint) stalled(now time.Time) bool {
	return e.running > 0 && now.Sub(e.heard) > stallAfter
}

func (e *endpoint) usable(now time.Time) bool {
	return !e.stalled(now) && !now.Before(e.downUntil)
}

func (e *endpoint) unreachable(now time.Time) {
	e.backoff = min(max(firstBackoff, 2*e.backoff), maxBackoff)
	e.downUntil = now.Add(e.backoff)
}

// answeredLately reports whether this router knows better than peers that find
// the endpoint unreachable.
func (e *endpoint) answeredLately(now time.Time) bool {
	return !e.answered.IsZero() && now.Sub(e.answered) < trustOwn
}

func (e *endpoint) reached(now time.Time) {
	e.heard, e.answered = now, now
	e.backoff = 0
	e.downUntil = time.Time{}
}
