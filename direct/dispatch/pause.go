package dispatch

import "time"

const (
	// leastReturn and mostReturn bound the pause of a refused caller, as parts of
	// the latency target: not before an engine has begun something else, and
	// early enough for the backlog and the reading of the prompt.
	leastReturn = 0.1
	mostReturn  = 0.6
)

// pauseOf returns after which time a refused caller should return. Room at an
// engine comes and goes within milliseconds, so that waiting longer doesn't
// raise the chance of finding some; a caller that returns soon can still be
// answered on time. How long a caller has been trying can't be told from its
// time limit, since callers choose limits of their own. at, 0 to 1, spreads the
// returns of callers that are refused together, so that they don't come as one
// wave.
func pauseOf(target time.Duration, at float64) time.Duration {
	return time.Duration((leastReturn + at*(mostReturn-leastReturn)) * float64(target))
}
