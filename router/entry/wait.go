package entry

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/audit"
)

const (
	// firstRequeueDelay is the delay of the second requeue; the first has
	// none. Later ones double up to maxRequeueDelay. Eight requeues then take
	// about 1.6 s, longer than the 1.5 s for which an owner grants the tokens
	// of an agent that is gone.
	firstRequeueDelay = 25 * time.Millisecond
	maxRequeueDelay   = 400 * time.Millisecond
)

// run takes a request from the queue to its end.
func (s *Server) run(w http.ResponseWriter, r *http.Request, q *request) {
	var delay time.Duration
	for {
		a := s.wait(w, r, q, delay)
		if a == nil {
			return
		}
		if s.send(w, r, q, a) {
			return
		}
		delay = nextDelay(q.attempt)
	}
}

// nextDelay returns the time for which an attempt after the first is held back.
func nextDelay(attempt uint32) time.Duration {
	if attempt <= 2 {
		return 0
	}
	shift := min(attempt-3, 10)
	return min(firstRequeueDelay<<shift, maxRequeueDelay)
}

// wait queues the request and returns its assignment, or nil if the request ended.
func (s *Server) wait(w http.ResponseWriter, r *http.Request, q *request, delay time.Duration) *fleetpb.Assignment {
	timeout := time.NewTimer(s.beginWait(q, delay == 0))
	defer timeout.Stop()
	held := time.NewTimer(delay)
	defer held.Stop()
	for {
		select {
		case a := <-q.dispatched:
			return a
		case <-held.C:
			if delay > 0 {
				s.show(q)
			}
		case <-timeout.C:
			return s.giveUp(w, q, http.StatusServiceUnavailable, "no endpoint became free in time")
		case <-q.overfull:
			return s.giveUp(w, q, http.StatusTooManyRequests, "the team's queue is full")
		case <-s.end.Done():
			return s.giveUp(w, q, http.StatusServiceUnavailable, "the router is shutting down")
		case <-r.Context().Done():
			return s.leaveQueue(q)
		}
	}
}

// beginWait puts the request into the table and returns how long it may wait.
func (s *Server) beginWait(q *request, announce bool) time.Duration {
	now := time.Now()
	s.note(q, audit.Queued, false, slog.Int("attempt", int(q.attempt)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[q.id] = q
	q.queuedAt = now
	if q.attempt == 1 {
		s.budget.CountRequest(now)
	}
	q.forgetOverfull()
	if !q.counted {
		s.count(q)
	}
	if announce {
		s.announce(q)
	}
	left := s.o.Limits.QueueTimeout - q.waited
	if !q.claimEnds.IsZero() {
		left = min(left, q.claimEnds.Sub(now))
	}
	return left
}

// forgetOverfull drops a refusal of an earlier attempt's ticket. The caller holds Server.mu.
func (q *request) forgetOverfull() {
	select {
	case <-q.overfull:
	default:
	}
}

// show announces a request whose delay is over.
func (s *Server) show(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announce(q)
}

// giveUp ends the wait, unless the request was dispatched meanwhile; then it
// returns the assignment.
func (s *Server) giveUp(w http.ResponseWriter, q *request, status int, reason string) *fleetpb.Assignment {
	if !s.endWait(q, lifecycle.GaveUp) {
		return <-q.dispatched
	}
	s.conclude(w, q, q.notSentAgain(status, reason))
	return nil
}

// notSentAgain is the outcome of a request that left the queue without a
// further send. Without an earlier send that may have run, it was not run.
func (q *request) notSentAgain(status int, reason string) outcome.Outcome {
	kind, _ := q.life.Outcome()
	if kind == outcome.NotRun {
		return outcome.New(kind, status, q.id, reason).WithRetryAfter(retryAfter)
	}
	return outcome.New(kind, http.StatusBadGateway, q.id, "an earlier attempt may have run; the next one did not start: "+reason)
}

// leaveQueue ends the wait of a caller that is gone.
func (s *Server) leaveQueue(q *request) *fleetpb.Assignment {
	if !s.endWait(q, lifecycle.CallerGone) {
		return <-q.dispatched
	}
	s.closeCancelled(q)
	return nil
}

// endWait takes the request out of the queue and reports false if it was dispatched.
func (s *Server) endWait(q *request, event lifecycle.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.life.State() != lifecycle.Queued {
		return false
	}
	q.step(event)
	s.retract(q, true)
	s.uncount(q)
	return true
}

// cancelled ends a request whose caller is gone before it was queued.
func (s *Server) cancelled(q *request) {
	s.mu.Lock()
	q.step(lifecycle.CallerGone)
	s.mu.Unlock()
	s.closeCancelled(q)
}

// closeCancelled records the end of a request whose caller is gone.
func (s *Server) closeCancelled(q *request) {
	s.m.outcomes[endCancelled].Inc(1)
	s.note(q, audit.Cancelled, true, slog.Bool("mayHaveRun", q.life.MayHaveRun()))
	s.releaseClaim(q)
}

// conclude ends a request with an outcome.
func (s *Server) conclude(w http.ResponseWriter, q *request, o outcome.Outcome) {
	s.record(q, o)
	s.write(w, o)
}

// record notes how a request ended that got an outcome.
func (s *Server) record(q *request, o outcome.Outcome) {
	events := map[outcome.Kind]audit.Event{
		outcome.NotRun:  audit.Refused,
		outcome.Unknown: audit.Unknown,
		outcome.Failed:  audit.Failed,
	}
	s.m.outcomes[o.Kind].Inc(1)
	s.note(q, events[o.Kind], true, slog.Int("status", o.Status), slog.String("reason", o.Reason))
	s.releaseClaim(q)
}
