package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/audit"
)

var errMalformed = errors.New("request, slot token, weight and agent address must be set")

// Dispatch implements fleetpb.Entry.
func (s *Server) Dispatch(_ context.Context, in *fleetpb.DispatchRequest) (*fleetpb.DispatchReply, error) {
	defer s.guard()
	if err := s.o.Caller.Check(in.Sender); err != nil {
		s.m.badCalls.Inc(1)
		s.warn(in.GetSender().GetAddress(), "dispatch refused", err)
		return nil, err
	}
	results := make([]fleetpb.DispatchResult, 0, len(in.Assignments))
	for _, a := range in.Assignments {
		results = append(results, s.assign(in.Sender.Address, in.Service, a))
	}
	return &fleetpb.DispatchReply{Sender: s.o.Caller.ReplySender(), Results: results}, nil
}

// assign hands an assignment to the waiting request. An assignment that was
// delivered twice is accepted twice, because its token is in use.
func (s *Server) assign(owner, service string, a *fleetpb.Assignment) fleetpb.DispatchResult {
	if !wellFormed(a) {
		s.m.badCalls.Inc(1)
		s.warn(owner, "malformed assignment refused", errMalformed)
		return fleetpb.DispatchResult_DISPATCH_RESULT_GONE
	}
	now := time.Now()
	s.mu.Lock()
	q := s.requests[a.Request]
	if q == nil || q.service != service || q.attempt != a.Attempt {
		s.mu.Unlock()
		return fleetpb.DispatchResult_DISPATCH_RESULT_GONE
	}
	if q.token == a.SlotToken {
		s.mu.Unlock()
		return fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED
	}
	if !s.mayLeave(q, now) {
		s.mu.Unlock()
		return fleetpb.DispatchResult_DISPATCH_RESULT_GONE
	}
	q.step(lifecycle.Dispatched)
	q.token = a.SlotToken
	wait := now.Sub(q.queuedAt)
	q.waited += wait
	s.retract(q, false)
	s.uncount(q)
	s.inProgress++
	s.updateGauges()
	s.mu.Unlock()

	s.m.waitTime.Update(wait)
	s.note(q, audit.Assigned, false,
		slog.String("endpoint", a.Endpoint), slog.Int("attempt", int(a.Attempt)), slog.String("owner", owner),
		slog.Int64("waitedMs", wait.Milliseconds()), slog.Uint64("waitedAtOwnerMs", a.WaitedMs))
	q.dispatched <- a
	return fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED
}

// mayLeave reports whether the request waits and its ticket is out. The caller holds s.mu.
func (s *Server) mayLeave(q *request, now time.Time) bool {
	if q.life.State() != lifecycle.Queued {
		return false
	}
	if _, shown := s.linkOf(q.service).waiting[q.id]; !shown {
		return false
	}
	return q.claimEnds.IsZero() || now.Before(q.claimEnds)
}

func wellFormed(a *fleetpb.Assignment) bool {
	if a == nil || a.Request == "" || a.SlotToken == "" || a.Weight == 0 {
		return false
	}
	_, _, err := net.SplitHostPort(a.AgentAddress)
	return err == nil
}
