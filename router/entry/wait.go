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
	// firstRequeueDelay is the delay of the second requeue; the first has no
	// delay. Later delays double up to maxRequeueDelay. Eight requeues thus take
	// about 1.6 s, longer than the 1.5 s for which an owner continues to grant
	// the tokens of an agent that has failed.
	firstRequeueDelay = 25 * time.Millisecond
	maxRequeueDelay   = 400 * time.Millisecond
)

// process queues a request and makes attempts until the request has ended.
func (s *Server) process(w http.ResponseWriter, r *http.Request, q *request) {
	var delay time.Duration
	for {
		a := s.wait(w, r, q, delay)
		if a == nil {
			return
		}
		if s.runAttempt(w, r, q, a) {
			return
		}
		delay = nextDelay(q.attempt)
	}
}

// nextDelay returns the backoff before an attempt after the first. attempt counts
// from 1.
func nextDelay(attempt uint32) time.Duration {
	if attempt <= 2 {
		return 0
	}
	shift := min(attempt-3, 10)
	return min(firstRequeueDelay<<shift, maxRequeueDelay)
}

// wait queues the request after the backoff delay and waits for its assignment. It
// returns nil if the request has ended.
func (s *Server) wait(w http.ResponseWriter, r *http.Request, q *request, delay time.Duration) *fleetpb.Assignment {
	timeout := time.NewTimer(s.beginWait(q, delay == 0))
	defer timeout.Stop()
	delayTimer := time.NewTimer(delay)
	defer delayTimer.Stop()
	for {
		select {
		case a := <-q.dispatched:
			return a
		case <-delayTimer.C:
			if delay > 0 {
				s.addDelayedTicket(q)
			}
		case <-timeout.C:
			return s.giveUp(w, q, http.StatusServiceUnavailable, "no endpoint became free in time")
		case <-q.ticketRefused:
			return s.giveUp(w, q, http.StatusTooManyRequests, "the team's queue is full")
		case <-s.drainExpired.Done():
			return s.giveUp(w, q, http.StatusServiceUnavailable, "the router is shutting down")
		case <-r.Context().Done():
			return s.leaveQueue(q)
		}
	}
}

// beginWait adds the request to the table and, if immediate is set, sends its
// ticket. It returns the maximum time to wait.
func (s *Server) beginWait(q *request, immediate bool) time.Duration {
	now := time.Now()
	s.addToTrail(q, audit.Queued, false, slog.Int("attempt", int(q.attempt)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[q.id] = q
	q.queuedAt = now
	if q.attempt == 1 {
		s.budget.CountRequest(now)
	}
	q.clearTicketRefusal()
	if !q.inTeamQueue {
		s.addToTeamQueue(q)
	}
	if immediate {
		s.addTicket(q)
	}
	remaining := s.opts.Limits.QueueTimeout - q.waited
	if !q.claimDeadline.IsZero() {
		remaining = min(remaining, q.claimDeadline.Sub(now))
	}
	return remaining
}

// clearTicketRefusal discards a refusal of an earlier attempt's ticket. The caller
// holds Server.mu.
func (q *request) clearTicketRefusal() {
	select {
	case <-q.ticketRefused:
	default:
	}
}

// addDelayedTicket adds the ticket of a request whose backoff delay is over.
func (s *Server) addDelayedTicket(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addTicket(q)
}

// giveUp ends the wait, responds to the caller and returns nil. If the request
// has been dispatched meanwhile, giveUp returns the assignment instead.
func (s *Server) giveUp(w http.ResponseWriter, q *request, status int, reason string) *fleetpb.Assignment {
	if !s.endWait(q, lifecycle.GaveUp) {
		return <-q.dispatched
	}
	s.finish(w, q, q.queueOutcome(status, reason))
	return nil
}

// queueOutcome returns the outcome of a request that leaves the queue without a
// further attempt: not-run, unless an earlier attempt may have run.
func (q *request) queueOutcome(status int, reason string) outcome.Outcome {
	kind, _ := q.lifecycle.Outcome()
	if kind == outcome.NotRun {
		return outcome.New(kind, status, q.id, reason).WithRetryAfter(retryAfter)
	}
	return outcome.New(kind, http.StatusBadGateway, q.id, "an earlier attempt may have run; the next one did not start: "+reason)
}

// leaveQueue ends the wait of a request whose caller has disconnected, and returns
// nil. If the request has been dispatched meanwhile, it returns the assignment
// instead.
func (s *Server) leaveQueue(q *request) *fleetpb.Assignment {
	if !s.endWait(q, lifecycle.CallerGone) {
		return <-q.dispatched
	}
	s.recordCancelled(q)
	return nil
}

// endWait removes the request from the queue, or reports false if it has been
// dispatched.
func (s *Server) endWait(q *request, event lifecycle.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.lifecycle.State() != lifecycle.Queued {
		return false
	}
	q.apply(event)
	s.removeTicket(q, true)
	s.removeFromTeamQueue(q)
	return true
}

// cancelBeforeQueue ends a request whose caller disconnected before it was queued.
func (s *Server) cancelBeforeQueue(q *request) {
	s.mu.Lock()
	q.apply(lifecycle.CallerGone)
	s.mu.Unlock()
	s.recordCancelled(q)
}

// recordCancelled records the end of a request whose caller has disconnected, and
// releases its idempotency key if it did not run.
func (s *Server) recordCancelled(q *request) {
	s.metrics.outcomes[kindCancelled].Inc(1)
	s.addToTrail(q, audit.Cancelled, true, slog.Bool("mayHaveRun", q.lifecycle.MayHaveRun()))
	s.releaseClaim(q)
}

// finish records an outcome and sends it to the caller.
func (s *Server) finish(w http.ResponseWriter, q *request, o outcome.Outcome) {
	s.recordOutcome(q, o)
	s.writeOutcome(w, q.protoMajor, o)
}

// recordOutcome records the outcome of a request in the metrics and the audit
// trail, and releases its idempotency key if it did not run.
func (s *Server) recordOutcome(q *request, o outcome.Outcome) {
	events := map[outcome.Kind]audit.Event{
		outcome.NotRun:  audit.Refused,
		outcome.Unknown: audit.Unknown,
		outcome.Failed:  audit.Failed,
	}
	s.metrics.outcomes[o.Kind].Inc(1)
	s.addToTrail(q, events[o.Kind], true, slog.Int("status", o.Status), slog.String("reason", o.Reason))
	s.releaseClaim(q)
}
