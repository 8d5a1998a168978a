package entry

import (
	"net/http"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// claim claims the idempotency key of a non-idempotent request, if it has one. It
// returns nil if the request may proceed, otherwise the outcome for the caller.
func (s *Server) claim(r *http.Request, q *request) *outcome.Outcome {
	key := r.Header.Get(keyHeader)
	if key == "" || q.op.Idempotent {
		return nil
	}
	if s.opts.Keys == nil {
		return keysUnavailable(q.id)
	}
	result, err := s.opts.Keys.Claim(r.Context(), q.team, q.service, q.op.Name, key, q.id)
	if err != nil {
		s.warnLimited("keys", "claim idempotency key failed", err)
		return keysUnavailable(q.id)
	}
	if result.Verdict == idemkey.Duplicate {
		o := outcome.New(outcome.Unknown, http.StatusConflict, q.id, "another request with this idempotency key came first")
		return &o
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.claimed = true
	q.claimDeadline = result.DispatchBefore
	return nil
}

func keysUnavailable(id string) *outcome.Outcome {
	o := outcome.New(outcome.NotRun, http.StatusServiceUnavailable, id, "idempotency keys can't be checked now").WithRetryAfter(retryAfter)
	return &o
}

// releaseClaim releases the idempotency key of a request that definitely did not run.
func (s *Server) releaseClaim(q *request) {
	s.mu.Lock()
	release := q.claimed && !q.lifecycle.MayHaveRun()
	q.claimed = false
	s.mu.Unlock()
	if release {
		s.opts.Keys.Release(q.id)
	}
}
