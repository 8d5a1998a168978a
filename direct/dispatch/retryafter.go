package dispatch

import "time"

const (
	// minRetryFraction and maxRetryFraction bound the retry delay of a refused
	// caller, as fractions of the latency target. An earlier retry would come
	// before an engine has started another request; a later one would leave too
	// little time for the backlog and the prefill of the prompt.
	minRetryFraction = 0.1
	maxRetryFraction = 0.6
	// maxRetryAfter bounds the retry delay on routes without a latency target,
	// whose callers may wait for minutes.
	maxRetryAfter = 2 * time.Second
)

// retryAfter returns the delay after which a refused caller should retry.
// The capacity of an engine changes within milliseconds, so a longer delay does
// not raise the chance of finding some, and a caller that retries early can
// still get a response within its target. The delay does not depend on how long a
// caller has been retrying: the router can't derive that from the caller's
// timeout, since callers choose their own. jitter, 0 to 1, spreads the retries
// of callers that are refused at the same time.
func retryAfter(target time.Duration, jitter float64) time.Duration {
	latest := min(time.Duration(maxRetryFraction*float64(target)), maxRetryAfter)
	earliest := min(time.Duration(minRetryFraction*float64(target)), latest/2)
	return earliest + time.Duration(jitter*float64(latest-earliest))
}
