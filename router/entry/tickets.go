package entry

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// callTimeout bounds one call to a queue owner.
const callTimeout = time.Second

// link exchanges the tickets of one service with its queue owner. Its goroutine
// runs while requests of the service wait, and until the owner was told that
// none waits any more. At most one message per service is in flight; requests
// that arrive meanwhile share the next one.
type link struct {
	service string
	wake    chan struct{}

	// The fields below are guarded by Server.mu.

	running bool
	waiting map[string]*request
	// fresh lists the waiting requests that no message has carried yet.
	fresh []*request
	// withdrawn lists requests whose tickets the owner may still hold.
	withdrawn []string
	sequence  uint64
	// synced is the number of tickets in the last full sync.
	synced int

	// The fields below belong to the goroutine.

	// owner is the address that the last message went to.
	owner string
	// named is another owner that the last reply named, or "".
	named string
}

// linkOf returns the link of a service. The caller holds s.mu.
func (s *Server) linkOf(service string) *link {
	l := s.links[service]
	if l == nil {
		l = &link{service: service, wake: make(chan struct{}, 1), waiting: map[string]*request{}}
		s.links[service] = l
	}
	return l
}

// announce makes a request's ticket visible to the queue owner. The caller holds s.mu.
func (s *Server) announce(q *request) {
	l := s.linkOf(q.service)
	l.waiting[q.id] = q
	l.fresh = append(l.fresh, q)
	s.waiting++
	s.updateGauges()
	if !l.running {
		l.running = true
		go s.runLink(l)
		return
	}
	l.signal()
}

// retract takes a request's ticket back. If withdraw is set, the owner is told
// before the next sync. The caller holds s.mu.
func (s *Server) retract(q *request, withdraw bool) {
	l := s.linkOf(q.service)
	if _, ok := l.waiting[q.id]; !ok {
		return
	}
	delete(l.waiting, q.id)
	s.waiting--
	s.updateGauges()
	if withdraw {
		l.withdrawn = append(l.withdrawn, q.id)
		l.signal()
	}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (s *Server) runLink(l *link) {
	ticker := time.NewTicker(s.o.Limits.SyncInterval)
	defer ticker.Stop()
	full := true
	for {
		changed := s.o.OwnerChanged()
		owner := s.o.Owner(l.service)
		if owner != l.owner {
			full = true
			l.owner = owner
			l.named = ""
		}
		s.exchange(l, full)
		if full && s.stopLink(l) {
			return
		}
		full = s.nextExchange(l, ticker.C, changed)
	}
}

// nextExchange waits until there is something to tell and reports whether it
// should be a full sync.
func (s *Server) nextExchange(l *link, tick <-chan time.Time, changed <-chan struct{}) bool {
	for {
		select {
		case <-l.wake:
			return false
		case <-tick:
			return true
		case <-changed:
			changed = s.o.OwnerChanged()
			if s.o.Owner(l.service) != l.owner {
				return true
			}
		}
	}
}

// stopLink ends the link after a full sync if nothing has come up since.
func (s *Server) stopLink(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(l.waiting) > 0 || len(l.withdrawn) > 0 || l.synced > 0 {
		return false
	}
	l.running = false
	return true
}

// exchange sends what the owner has to know. A full sync makes withdrawals
// superfluous, because the owner drops the tickets that it doesn't list.
func (s *Server) exchange(l *link, full bool) {
	in, withdrawn := s.collect(l, full)
	if l.owner == "" {
		return
	}
	if !full && len(withdrawn) > 0 {
		s.withdraw(l, l.owner, withdrawn)
		s.withdraw(l, l.named, withdrawn)
	}
	if !full && len(in.Tickets) == 0 {
		return
	}
	named := s.enqueue(l, l.owner, in)
	if named == "" || named == l.owner {
		l.named = ""
		return
	}
	if named != l.named {
		l.named = named
		in, _ = s.collect(l, true)
	} else {
		in.Sequence = s.nextSequence(l)
	}
	s.enqueue(l, named, in)
}

// collect takes the message of the next exchange out of the table.
func (s *Server) collect(l *link, full bool) (*fleetpb.EnqueueRequest, []string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.sequence++
	in := &fleetpb.EnqueueRequest{
		Service:  l.service,
		FullSync: full,
		Sequence: l.sequence,
	}
	if full {
		for _, q := range l.waiting {
			in.Tickets = append(in.Tickets, q.ticket(now))
		}
		l.synced = len(in.Tickets)
	} else {
		for _, q := range l.fresh {
			if l.waiting[q.id] == q {
				in.Tickets = append(in.Tickets, q.ticket(now))
			}
		}
	}
	withdrawn := l.withdrawn
	l.fresh = nil
	l.withdrawn = nil
	return in, withdrawn
}

func (s *Server) nextSequence(l *link) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.sequence++
	return l.sequence
}

// ticket describes the request. The caller holds Server.mu.
func (q *request) ticket(now time.Time) *fleetpb.Ticket {
	return &fleetpb.Ticket{
		Request:   q.id,
		Attempt:   q.attempt,
		Team:      q.team,
		Service:   q.service,
		Operation: q.op.Name,
		Hint:      q.hint,
		Affinity:  q.affinity,
		AgeMs:     uint64(now.Sub(q.received).Milliseconds()),
	}
}

// enqueue sends tickets to an owner and returns the owner that the reply names, if any.
func (s *Server) enqueue(l *link, owner string, in *fleetpb.EnqueueRequest) string {
	ctx, cancel := s.callContext(l)
	defer cancel()
	in.Sender = s.o.Caller.Sender()
	reply, err := s.o.Caller.Owner(owner).Enqueue(ctx, in)
	if err == nil {
		err = s.o.Caller.Check(reply.Sender)
	}
	if err != nil {
		s.warn(owner, "tickets not delivered", err)
		return ""
	}
	for _, id := range reply.Refused {
		s.overfull(l, id)
	}
	return reply.OwnerAddress
}

// overfull ends the wait of a request that the owner refused.
func (s *Server) overfull(l *link, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := l.waiting[id]
	if q == nil || q.life.State() != lifecycle.Queued {
		return
	}
	select {
	case q.overfull <- struct{}{}:
	default:
	}
}

func (s *Server) withdraw(l *link, owner string, ids []string) {
	if owner == "" {
		return
	}
	ctx, cancel := s.callContext(l)
	defer cancel()
	_, err := s.o.Caller.Owner(owner).Withdraw(ctx, &fleetpb.WithdrawRequest{
		Sender:   s.o.Caller.Sender(),
		Service:  l.service,
		Requests: ids,
	})
	if err != nil {
		// The next full sync repairs it.
		s.warn(owner, "withdrawal not delivered", err)
	}
}

// callContext bounds a call and ends it early when the owner changes, so that
// a dead owner doesn't delay the sync to the next one.
func (s *Server) callContext(l *link) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	owner := l.owner
	go func() {
		for {
			changed := s.o.OwnerChanged()
			if s.o.Owner(l.service) != owner {
				cancel()
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}
