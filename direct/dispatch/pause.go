package dispatch

import "time"

const (
	// leastReturn and mostReturn bound the pause of a refused caller, as parts of
	// the latency target: not before an engine has begun something else, and
	// early enough for the backlog and the reading of the prompt.
	leastReturn = 0.1
	mostReturn  = 0.6
	// longestPause bounds the pause on routes without a latency target, whose
	// callers may wait for minutes.
	longestPause = 2 * time.Second
)

// pauseOf returns after which time a refused caller should return. Room at an
// engine comes and goes within milliseconds, so that waiting longer doesn't
// raise the chance of finding some; a caller that returns soon can still be
// answered on time. How long a caller has been trying can't be told from its
// time limit, since callers choose limits of their own. at, 0 to 1, spreads the
// returns of callers that are refused together, so that they don't come as one
// wave.
func pauseOf(target time.Duration, at float64) time.Duration {
	latest := min(time.Duration(mostReturn*float64(target)), longestPause)
	least := min(time.Duration(leastReturn*float64(target)), latest/2)
	return least + time.Duration(at*float64(latest-least))
}
