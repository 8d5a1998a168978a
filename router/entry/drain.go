package entry

import (
	"context"
	"time"
)

// endGrace is the time that handlers get to tell their callers the outcome
// after the drain timeout.
const endGrace = 2 * time.Second

// Drain refuses new requests and waits until all others have ended. When ctx
// ends, waiting requests are told not-run and those in progress unknown, and
// the error of ctx is returned. It may be called once.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.closeIfEmpty()
	s.mu.Unlock()
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
	}
	s.endNow()
	select {
	case <-s.empty:
	case <-time.After(endGrace):
	}
	return ctx.Err()
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
