package entry

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
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
	// synced is the number of tickets in the last sync.
	synced int

	// The fields below belong to the goroutine.

	// owner is the address that the last message went to.
	owner string
	// named is another owner that the last reply named, or "".
	named string
	// syncedAt is the time of the last sync.
	syncedAt time.Time
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

// extent tells how much of the waiting tickets a message covers.
type extent int

const (
	// freshOnly lists the tickets that no message has carried yet.
	freshOnly extent = iota
	// digested lists them and carries the digest of all waiting tickets.
	digested
	// whole lists all waiting tickets.
	whole
)

func (s *Server) runLink(l *link) {
	ticker := time.NewTicker(s.o.Limits.SyncInterval)
	defer ticker.Stop()
	next := whole
	for {
		changed := s.o.OwnerChanged()
		owner := s.o.Owner(l.service)
		if owner != l.owner {
			next = whole
			l.owner = owner
			l.named = ""
		}
		s.exchange(l, next)
		if next != freshOnly {
			l.syncedAt = time.Now()
			ticker.Reset(s.o.Limits.SyncInterval)
		}
		if next != freshOnly && s.stopLink(l) {
			return
		}
		next = s.nextExchange(l, ticker.C, changed)
	}
}

// nextExchange waits until there is something to tell and returns its extent. A
// message with new tickets carries the digest as well if a sync is due soon,
// which saves a message.
func (s *Server) nextExchange(l *link, tick <-chan time.Time, changed <-chan struct{}) extent {
	for {
		select {
		case <-l.wake:
			if time.Since(l.syncedAt) >= s.o.Limits.SyncInterval/2 {
				return digested
			}
			return freshOnly
		case <-tick:
			return digested
		case <-changed:
			changed = s.o.OwnerChanged()
			if s.o.Owner(l.service) != l.owner {
				return whole
			}
		}
	}
}

// stopLink ends the link after a sync if nothing has come up since.
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
func (s *Server) exchange(l *link, size extent) {
	in, withdrawn := s.collect(l, size)
	if l.owner == "" {
		return
	}
	if size != whole && len(withdrawn) > 0 {
		s.withdraw(l, l.owner, withdrawn)
		s.withdraw(l, l.named, withdrawn)
	}
	if size == freshOnly && len(in.Tickets) == 0 {
		return
	}
	named, in := s.enqueue(l, l.owner, in)
	if named == "" || named == l.owner {
		l.named = ""
		return
	}
	if named != l.named {
		l.named = named
		in, _ = s.collect(l, whole)
	} else {
		in.Sequence = s.nextSequence(l)
	}
	s.enqueue(l, named, in)
}

// collect takes the message of the next exchange out of the table.
func (s *Server) collect(l *link, size extent) (*fleetpb.EnqueueRequest, []string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.sequence++
	in := &fleetpb.EnqueueRequest{
		Service:  l.service,
		FullSync: size == whole,
		Sequence: l.sequence,
	}
	if size == whole {
		for _, q := range l.waiting {
			in.Tickets = append(in.Tickets, q.ticket(now))
		}
	} else {
		for _, q := range l.fresh {
			if l.waiting[q.id] == q {
				in.Tickets = append(in.Tickets, q.ticket(now))
			}
		}
	}
	if size == digested {
		in.Digest = l.digest()
	}
	if size != freshOnly {
		l.synced = len(l.waiting)
	}
	withdrawn := l.withdrawn
	l.fresh = nil
	l.withdrawn = nil
	return in, withdrawn
}

// digest stands for the waiting tickets. The caller holds Server.mu.
func (l *link) digest() *fleetpb.TicketDigest {
	var d fairqueue.Digest
	for _, q := range l.waiting {
		d.Add(q.id, q.attempt)
	}
	return &fleetpb.TicketDigest{Count: d.Count, Hash: d.Hash}
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
		Operation: q.op.Name,
		Hint:      q.hint,
		Affinity:  q.affinity,
		AgeMs:     uint64(now.Sub(q.received).Milliseconds()),
	}
}

// enqueue sends tickets to an owner, and all of them if it asks for that. It
// returns the owner that the last reply names, if any, and the last message.
func (s *Server) enqueue(l *link, owner string, in *fleetpb.EnqueueRequest) (string, *fleetpb.EnqueueRequest) {
	reply := s.callEnqueue(l, owner, in)
	if reply.GetWantFull() {
		s.m.fullSyncs.Inc(1)
		in, _ = s.collect(l, whole)
		reply = s.callEnqueue(l, owner, in)
	}
	return reply.GetOwnerAddress(), in
}

// callEnqueue returns the reply of an owner, or nil if there is none.
func (s *Server) callEnqueue(l *link, owner string, in *fleetpb.EnqueueRequest) *fleetpb.EnqueueReply {
	ctx, cancel := s.callContext(l)
	defer cancel()
	in.Sender = s.o.Caller.Sender()
	reply, err := s.o.Caller.Owner(owner).Enqueue(ctx, in)
	if err == nil {
		err = s.o.Caller.Check(reply.Sender)
	}
	if err != nil {
		s.warn(owner, "tickets not delivered", err)
		return nil
	}
	for _, id := range reply.Refused {
		s.overfull(l, id)
	}
	return reply
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
