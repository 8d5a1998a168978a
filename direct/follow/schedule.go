package follow

import (
	"math/rand/v2"
	"time"
)

// schedule decides when the calls to the store for one topic begin. It holds no calls itself. It isn't safe
// for concurrent use.
type schedule struct {
	// suspect is set while a call has failed or is overdue and none has succeeded since.
	suspect bool
	// overdueAt is when the call in progress is overdue; only used while not suspect.
	overdueAt time.Time
	// notBefore is when the next call may begin, unless it is a probe.
	notBefore time.Time
	// recheck is set when a call becomes overdue, until another has begun: the store may answer, and only
	// this call be lost.
	recheck bool
	// wasAnswering is set if the store was known to answer anything at the latest decision while suspect.
	wasAnswering bool
	backoff      time.Duration
	// relistDelay is the delay before the topic is listed because a read was refused. The
	// first such listing is immediate.
	relistDelay time.Duration
}

// surroundings is what a decision depends on besides the topic's own calls.
type surroundings struct {
	// busy is set while a call for the topic is in progress.
	busy bool
	// wanted is set if this router should read the topic from the store.
	wanted bool
	// answering is set if the store answers the calls of a peer for both topics.
	answering bool
	// otherAnswers is set if the store answers calls for this router's other topic. The topic itself may be
	// silent: the store is partitioned.
	otherAnswers bool
	// mayProbe reports whether this router may probe the store now.
	mayProbe func() bool
}

// shouldBegin reports whether a call should begin now. While the store answers nobody for this topic,
// calls begin in the turns that the fleet shares, whether or not earlier ones have ended: a call that
// began in an outage may be lost. Once it answers a peer, a call begins at once, and also, a single time, when
// it begins to answer for the other topic: retries at the pace of each router would grow with the fleet.
func (s *schedule) shouldBegin(now time.Time, around surroundings) bool {
	due := !around.busy && !now.Before(s.notBefore)
	if !s.suspect {
		return due && (around.wanted || around.mayProbe())
	}
	answers := around.answering || around.otherAnswers
	answersAgain := answers && !s.wasAnswering
	s.wasAnswering = answers
	if around.wanted && (answersAgain || around.answering && (due || s.recheck)) {
		return true
	}
	return !around.answering && around.mayProbe()
}

// began records that a call has begun that the store may hold for wait.
func (s *schedule) began(now time.Time, wait time.Duration) {
	s.recheck = false
	if !s.suspect {
		s.overdueAt = now.Add(wait + overdueDelay)
	}
}

// checkOverdue reports whether a call has become overdue; busy is set while one is in progress.
func (s *schedule) checkOverdue(now time.Time, busy bool) bool {
	if s.suspect || !busy || now.Before(s.overdueAt) {
		return false
	}
	s.suspectNow()
	s.recheck = true
	return true
}

func (s *schedule) suspectNow() {
	if !s.suspect {
		s.suspect, s.wasAnswering, s.backoff = true, true, minBackoff
	}
}

// succeeded records that a call which began at a time succeeded. All others have been given up.
func (s *schedule) succeeded(began time.Time, wasRead bool) {
	s.suspect = false
	s.notBefore = began.Add(minReadInterval)
	if wasRead {
		// A listing succeeds also while all reads are refused.
		s.relistDelay = 0
	}
}

// failed records that a call failed.
func (s *schedule) failed(now time.Time) {
	s.suspectNow()
	s.notBefore = now.Add(jitter(s.backoff))
	s.backoff = min(2*s.backoff, maxBackoff)
}

// refused records that the store answered a read, but doesn't hold the next records. All other calls
// have been given up.
func (s *schedule) refused(now time.Time) {
	s.suspect = false
	s.notBefore = now.Add(jitter(s.relistDelay))
	s.relistDelay = min(max(2*s.relistDelay, minBackoff), maxBackoff)
}

// outdated records that the store answered, from a later era. All other calls have been given up.
func (s *schedule) outdated() { s.suspect, s.notBefore = false, time.Time{} }

// idle records that this router doesn't read the topic any more. All calls have been given up.
func (s *schedule) idle() { s.suspect = false }

// pause returns how long no decision is due unless a call ends; busy is set while one is in progress.
func (s *schedule) pause(now time.Time, busy bool) time.Duration {
	switch {
	case s.suspect:
		return probeCheckInterval
	case busy:
		return max(s.overdueAt.Sub(now), minPause)
	case now.Before(s.notBefore):
		return max(s.notBefore.Sub(now), minPause)
	}
	return readerCheckInterval
}

// minPause is the shortest pause between two decisions.
const minPause = time.Millisecond

// jitter returns a random duration from half of d to one and a half of it.
func jitter(d time.Duration) time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(d)) }
