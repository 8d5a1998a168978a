package entry

import (
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// retryAfter is the delay after which refused callers may retry;
// capacity may be available again by then.
const retryAfter = time.Second

// requestOverhead is the memory in bytes that a request uses in addition to its
// body: the stacks of two goroutines, buffers and headers. It counts towards the
// memory limits, so that they also limit requests without a body.
const requestOverhead = 16 << 10

// beginHandler counts an active handler. It reports false if the server is draining.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.activeHandlers++
	return true
}

func (s *Server) endHandler() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeHandlers--
	s.closeIfDrained()
}

// closeIfDrained closes drained if the server is draining and no handler is
// active. The caller holds s.mu.
func (s *Server) closeIfDrained() {
	if s.draining && s.activeHandlers == 0 {
		close(s.drained)
	}
}

// admit adds a request to its team's queue and reserves requestOverhead. It
// returns nil, or the outcome for the caller if a limit would be exceeded. length
// is the length of the body in bytes, or -1 if unknown.
func (s *Server) admit(q *request, length int64) *outcome.Outcome {
	if length > s.opts.Limits.MaxBody {
		return bodyTooLarge(q.id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.teams[q.team]
	if usage != nil && usage.count >= s.opts.Limits.TeamQueueCount {
		return teamQueueFull(q.id)
	}
	s.addToTeamQueue(q)
	return s.reserveLocked(q, requestOverhead)
}

// reserve reserves n more bytes of memory for the request. It returns nil, or the
// outcome for the caller if a limit would be exceeded.
func (s *Server) reserve(q *request, n int64) *outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserveLocked(q, n)
}

// reserveLocked is reserve for a caller that holds s.mu.
func (s *Server) reserveLocked(q *request, n int64) *outcome.Outcome {
	if s.teams[q.team].bytes+n > s.opts.Limits.TeamQueueBytes {
		return teamQueueFull(q.id)
	}
	if s.heldBytes+n > s.opts.Limits.MaxHeldBody {
		o := outcome.New(outcome.NotRun, http.StatusServiceUnavailable, q.id, "the router holds too many bodies").WithRetryAfter(retryAfter)
		return &o
	}
	q.reserved += n
	s.heldBytes += n
	s.teams[q.team].bytes += n
	s.updateGauges()
	return nil
}

func teamQueueFull(id string) *outcome.Outcome {
	o := outcome.New(outcome.NotRun, http.StatusTooManyRequests, id, "the team's queue is full").WithRetryAfter(retryAfter)
	return &o
}

// addToTeamQueue adds the request to the usage of its team. The caller holds s.mu.
func (s *Server) addToTeamQueue(q *request) {
	usage := s.teams[q.team]
	if usage == nil {
		usage = &teamUsage{}
		s.teams[q.team] = usage
	}
	usage.count++
	usage.bytes += q.reserved
	q.inTeamQueue = true
}

// removeFromTeamQueue removes the request from the usage of its team, if it is
// included. The caller holds s.mu.
func (s *Server) removeFromTeamQueue(q *request) {
	if !q.inTeamQueue {
		return
	}
	q.inTeamQueue = false
	usage := s.teams[q.team]
	usage.count--
	usage.bytes -= q.reserved
	if usage.count == 0 {
		delete(s.teams, q.team)
	}
}

// freeBody releases the memory of the body. The caller holds s.mu.
func (s *Server) freeBody(q *request) {
	q.body = nil
	s.release(q, max(q.reserved-requestOverhead, 0))
}

// release releases n reserved bytes of the request. The caller holds s.mu.
func (s *Server) release(q *request, n int64) {
	if q.inTeamQueue {
		s.teams[q.team].bytes -= n
	}
	q.reserved -= n
	s.heldBytes -= n
	s.updateGauges()
}

// removeRequest deletes the request from the table and releases its memory and
// its place in the team's queue.
func (s *Server) removeRequest(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(q, q.reserved)
	s.removeFromTeamQueue(q)
	delete(s.requests, q.id)
}
