package entry

import (
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// retryAfter is the time after which a refused caller may find room again.
const retryAfter = time.Second

// requestOverhead is the memory that a request takes beside its body, in
// bytes: two goroutines' stacks, buffers and headers. It counts as held memory,
// so that requests without a body are bounded as well.
const requestOverhead = 16 << 10

// enter counts a handler and reports false while the server drains.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.active++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.closeIfEmpty()
}

// closeIfEmpty tells Drain that all handlers have ended. The caller holds s.mu.
func (s *Server) closeIfEmpty() {
	if s.draining && s.active == 0 {
		close(s.empty)
	}
}

// admit counts a request in its team's queue, if there is room. The length of
// its body is -1 if it is not known.
func (s *Server) admit(q *request, length int64) *outcome.Outcome {
	if length > s.o.Limits.MaxBody {
		return tooLarge(q.id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.teams[q.team]
	if use != nil && use.count >= s.o.Limits.TeamQueueCount {
		return teamFull(q.id)
	}
	s.count(q)
	return s.take(q, requestOverhead)
}

// reserve takes memory for n more bytes of the request's body, if there is room.
func (s *Server) reserve(q *request, n int64) *outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(q, n)
}

// take does the work of reserve. The caller holds s.mu.
func (s *Server) take(q *request, n int64) *outcome.Outcome {
	if s.teams[q.team].bytes+n > s.o.Limits.TeamQueueBytes {
		return teamFull(q.id)
	}
	if s.held+n > s.o.Limits.MaxHeldBody {
		o := outcome.New(outcome.NotRun, http.StatusServiceUnavailable, q.id, "the router holds too many bodies").WithRetryAfter(retryAfter)
		return &o
	}
	q.reserved += n
	s.held += n
	s.teams[q.team].bytes += n
	s.updateGauges()
	return nil
}

func teamFull(id string) *outcome.Outcome {
	o := outcome.New(outcome.NotRun, http.StatusTooManyRequests, id, "the team's queue is full").WithRetryAfter(retryAfter)
	return &o
}

// count adds the request to its team's queue. The caller holds s.mu.
func (s *Server) count(q *request) {
	use := s.teams[q.team]
	if use == nil {
		use = &teamUse{}
		s.teams[q.team] = use
	}
	use.count++
	use.bytes += q.reserved
	q.counted = true
}

// uncount removes the request from its team's queue. The caller holds s.mu.
func (s *Server) uncount(q *request) {
	if !q.counted {
		return
	}
	q.counted = false
	use := s.teams[q.team]
	use.count--
	use.bytes -= q.reserved
	if use.count == 0 {
		delete(s.teams, q.team)
	}
}

// freeBody gives the memory of the body back. The caller holds s.mu.
func (s *Server) freeBody(q *request) {
	q.body = nil
	s.giveBack(q, max(q.reserved-requestOverhead, 0))
}

// giveBack gives n bytes back. The caller holds s.mu.
func (s *Server) giveBack(q *request, n int64) {
	if q.counted {
		s.teams[q.team].bytes -= n
	}
	q.reserved -= n
	s.held -= n
	s.updateGauges()
}

// forget removes everything that the request still takes up.
func (s *Server) forget(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBack(q, q.reserved)
	s.uncount(q)
	delete(s.requests, q.id)
}
