package warmup

import (
	"math"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
)

const (
	// maxSets is the number of disjoint sets of members that may send at the same time: that of the
	// whole fleet and that of a part with more than half of it.
	maxSets = 2
	// sendsPerMember is the number of requests per second that a member of a fleet that is large enough
	// may send. With fewer, an endpoint needs more members, and each of them needs requests for it.
	sendsPerMember = 2
	// window is the time in which a member sends no more than its requests per second. It is longer
	// than a second by the time that a request may need from the last check to the socket.
	window = 1030 * time.Millisecond
	// minPeriod is the shortest time in which a member gets as many turns as it may send in a window.
	// The difference absorbs differing delays between turn and send.
	minPeriod = 1060 * time.Millisecond
	// usedFraction is the fraction of the rate of a cold endpoint that turns are given for. The goal is
	// 0.7; the rest is left for turns for which a member has no request.
	usedFraction = 0.9
)

// Bounds are the limits on the requests to a cold endpoint: in no second more than its rate times
// Overshoot plus Slack.
type Bounds struct{ Overshoot, Slack float64 }

// maxSends returns the number of requests that one set of members may send in a second.
func (b Bounds) maxSends(rate float64) int {
	return int(min(b.Overshoot*rate+b.Slack, math.MaxInt32)) / maxSets
}

// share is a router's part of the requests to a cold endpoint.
type share struct {
	// sends is the number of requests that it may send in a window; 0 if it isn't a member.
	sends int
	// phase, 0 to 1, is the position of its turns among those of the other members.
	phase float64
}

// shareOf returns the share of a router if these are the candidates. The sends of all members add up
// to maxSends.
func shareOf(self, key string, candidates []string, maxSends int) share {
	own, found, rank := rendezvous.Weight(key, self), false, 0
	for _, c := range candidates {
		if c == self {
			found = true
		} else if w := rendezvous.Weight(key, c); w > own || w == own && c < self {
			rank++
		}
	}
	members := min((maxSends+sendsPerMember-1)/sendsPerMember, len(candidates))
	if !found || rank >= members {
		return share{}
	}
	s := share{sends: maxSends / members, phase: float64(rank) / float64(members)}
	if rank < maxSends%members {
		s.sends++
	}
	return s
}

// period returns the time in which a set of members gets maxSends turns.
func period(rate float64, maxSends int) time.Duration {
	sustained := float64(maxSends) / (usedFraction * rate)
	return max(minPeriod, time.Duration(min(sustained, maxPeriod.Seconds())*float64(time.Second)))
}

// maxPeriod bounds the period, so that it is a valid duration for every positive rate.
const maxPeriod = 24 * time.Hour
