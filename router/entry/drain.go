package entry

import (
	"context"
	"net/http"
	"time"
)

// outcomeGracePeriod is the time that handlers have to send outcomes to their
// callers after the drain timeout.
const outcomeGracePeriod = 2 * time.Second

// Drain refuses new requests and waits until all others have ended. When ctx
// ends first, waiting requests end with the outcome not-run and requests in
// progress with unknown, and Drain returns the error of ctx. It must be called at most once.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.closeIfDrained()
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
	}
	s.expireDrain()
	select {
	case <-s.drained:
	case <-time.After(outcomeGracePeriod):
	}
	return ctx.Err()
}

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// announceClose tells a caller over HTTP/1.1 that its connection is closed after the response that is about
// to be written, if this router drains. The request may have begun before.
func (s *Server) announceClose(w http.ResponseWriter, protoMajor int) {
	// With HTTP/2, it would end the whole connection.
	if protoMajor == 1 && s.Draining() {
		w.Header().Set("Connection", "close")
	}
}
