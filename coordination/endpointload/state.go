package endpointload

import (
	"math/rand/v2"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

const (
	// cacheLifetime is how long a part is assumed to stay cached after its last use.
	cacheLifetime = 30 * time.Second
	// maxParts bounds the number of parts tracked per endpoint.
	maxParts = 4096
	// failureSmoothing is the weight of the newest result in the moving average
	// of failures, so that about the latest 10 results count.
	failureSmoothing = 0.1
	// failureHalfLife is the time after the latest failure in which the failure
	// rate drops by half, so that an avoided endpoint is used again.
	failureHalfLife = 2 * time.Second
	// stallTimeout is the time without a received byte after which an endpoint
	// with requests in progress gets no new ones. Engine steps take under 100 ms,
	// so a working engine with several streams never pauses this long.
	stallTimeout = 800 * time.Millisecond
	// initialBackoff and maxBackoff bound the backoff after a failed connection.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// maxPause bounds how long an endpoint can ask for no requests, so that none is lost for
	// good.
	maxPause = 5 * time.Minute
	// maxPauseSpread bounds the random time by which a router lengthens a pause, so that the
	// routers don't all return at the same moment.
	maxPauseSpread = time.Second
	// ownResponsePrecedence is how long data received by this router takes
	// precedence over peers that report the endpoint as unreachable. A network
	// path may fail for some routers only.
	ownResponsePrecedence = 500 * time.Millisecond
	// rateSmoothing is the weight of the newest observation in the moving average
	// of the prefill rate.
	rateSmoothing = 0.1
	// minRateTokens is the minimum number of prompt tokens for a usable
	// observation of the prefill rate.
	minRateTokens = 3000
	// firstEventOverhead is the part of the time to the first event that doesn't
	// depend on the prompt: one engine step and the first token.
	firstEventOverhead = 25 * time.Millisecond
	// minRate and maxRate bound the prefill rate in tokens per millisecond.
	minRate = 5.0
	maxRate = 200.0
)

// endpoint is the state of one endpoint at this router.
type endpoint struct {
	// hash identifies the endpoint in load reports.
	hash    uint32
	started time.Time
	// restarts is the number of its restarts that are known here.
	restarts int
	pending  int64
	running  int
	parts    map[uint64]time.Time
	rate     float64
	failures float64
	failedAt time.Time
	// lastActivity is the time of the latest received byte, or of the first
	// request sent after the endpoint was idle.
	lastActivity time.Time
	// lastReceived is the time of the latest received byte.
	lastReceived     time.Time
	unreachableUntil time.Time
	backoff          time.Duration
	// pausedUntil is the time until which the endpoint wants no requests from this router.
	pausedUntil time.Time
}

func newEndpoint(hash uint32, started time.Time) *endpoint {
	return &endpoint{hash: hash, started: started, parts: map[uint64]time.Time{}}
}

// uncachedTokens returns the number of tokens from the first part that is not
// assumed to be cached to the end of shared.
func (e *endpoint) uncachedTokens(now time.Time, shared []prompt.Part) int64 {
	for i, p := range shared {
		if used, ok := e.parts[p.Key]; ok && now.Sub(used) < cacheLifetime {
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

// recordCached records the use of parts, which are assumed to be cached from now
// on. Above maxParts it deletes the expired parts and, if still above, all parts.
func (e *endpoint) recordCached(now time.Time, shared []prompt.Part) {
	if len(e.parts) > maxParts {
		for key, used := range e.parts {
			if now.Sub(used) >= cacheLifetime {
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

// failureRate returns the moving average of failures, between 0 and 1, reduced
// by the time since the latest failure.
func (e *endpoint) failureRate(now time.Time) float64 {
	if e.failures < 0.01 {
		return 0
	}
	age := float64(now.Sub(e.failedAt)) / float64(failureHalfLife)
	if age <= 0 {
		return e.failures
	}
	return e.failures / (1 + age)
}

func (e *endpoint) recordResult(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
		e.failedAt = now
	}
	e.failures += failureSmoothing * (value - e.failures)
}

// stalled reports whether requests are in progress and no byte was received
// within stallTimeout.
func (e *endpoint) stalled(now time.Time) bool {
	return e.running > 0 && now.Sub(e.lastActivity) > stallTimeout
}

// takesRequests reports whether the endpoint is neither in backoff nor paused.
func (e *endpoint) takesRequests(now time.Time) bool {
	return !now.Before(e.unreachableUntil) && !now.Before(e.pausedUntil)
}

// markUnreachable records a failed connection and starts the next backoff.
func (e *endpoint) markUnreachable(now time.Time) {
	e.backoff = min(max(initialBackoff, 2*e.backoff), maxBackoff)
	e.unreachableUntil = now.Add(e.backoff)
}

// pause records that the endpoint wants no requests for a time.
func (e *endpoint) pause(now time.Time, d time.Duration) {
	d = min(d, maxPause)
	spread := min(d/10, maxPauseSpread)
	until := now.Add(d + time.Duration(rand.Float64()*float64(spread)))
	if until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// respondedRecently reports whether this router received a byte recently enough
// to ignore peers that report the endpoint as unreachable.
func (e *endpoint) respondedRecently(now time.Time) bool {
	return !e.lastReceived.IsZero() && now.Sub(e.lastReceived) < ownResponsePrecedence
}

// recordReceived records a received byte and ends any backoff.
func (e *endpoint) recordReceived(now time.Time) {
	e.lastActivity, e.lastReceived = now, now
	e.backoff = 0
	e.unreachableUntil = time.Time{}
}
