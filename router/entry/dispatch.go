package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/transport/netaddress"
)

var errMalformed = errors.New("request, slot token, weight and agent address must be set")

// Dispatch implements fleetpb.Entry.
func (s *Server) Dispatch(_ context.Context, in *fleetpb.DispatchRequest) (*fleetpb.DispatchReply, error) {
	defer s.crashOnPanic()
	if err := s.opts.Clients.Check(in.Sender); err != nil {
		s.metrics.refusedMessages.Inc(1)
		s.warnLimited(in.GetSender().GetAddress(), "dispatch refused", err)
		return nil, err
	}
	results := make([]fleetpb.DispatchResult, 0, len(in.Assignments))
	for _, a := range in.Assignments {
		results = append(results, s.assign(in.Sender.Address, in.Service, a))
	}
	return &fleetpb.DispatchReply{Sender: s.opts.Clients.ReplySender(), Results: results}, nil
}

// assign passes an assignment to the waiting request. A duplicate of an accepted
// assignment is accepted again, because its token is in use.
func (s *Server) assign(owner, service string, a *fleetpb.Assignment) fleetpb.DispatchResult {
	if !validAssignment(a) {
		s.metrics.refusedMessages.Inc(1)
		s.warnLimited(owner, "malformed assignment refused", errMalformed)
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
	if !s.mayDispatch(q, now) {
		s.mu.Unlock()
		return fleetpb.DispatchResult_DISPATCH_RESULT_GONE
	}
	q.apply(lifecycle.Dispatched)
	q.token = a.SlotToken
	wait := now.Sub(q.queuedAt)
	q.waited += wait
	s.removeTicket(q, false)
	s.removeFromTeamQueue(q)
	s.inProgress++
	s.updateGauges()
	s.mu.Unlock()

	s.metrics.waitTime.Update(wait)
	s.addToTrail(q, audit.Assigned, false,
		slog.String("endpoint", a.Endpoint), slog.Int("attempt", int(a.Attempt)), slog.String("owner", owner),
		slog.Int64("waitedMs", wait.Milliseconds()), slog.Uint64("waitedAtOwnerMs", a.WaitedMs))
	q.dispatched <- a
	return fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED
}

// mayDispatch reports whether the request is queued, has a ticket, and has not
// reached its claim deadline, if it has one. The caller holds s.mu.
func (s *Server) mayDispatch(q *request, now time.Time) bool {
	if q.lifecycle.State() != lifecycle.Queued {
		return false
	}
	if _, hasTicket := s.getOrCreateSync(q.service).waiting[q.id]; !hasTicket {
		return false
	}
	return q.claimDeadline.IsZero() || now.Before(q.claimDeadline)
}

func validAssignment(a *fleetpb.Assignment) bool {
	if a == nil || a.Request == "" || a.SlotToken == "" || a.Weight == 0 {
		return false
	}
	return isAgentAddress(a.AgentAddress)
}

// isAgentAddress reports whether text is a host and a port, which can be put into a URL.
func isAgentAddress(text string) bool {
	target, err := url.Parse("http://" + text)
	return err == nil && target.Host == text && netaddress.IsHostPort(text)
}
