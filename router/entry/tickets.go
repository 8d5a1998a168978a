package entry

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// callTimeout limits one call to a queue owner.
const callTimeout = time.Second

// ticketSync sends the tickets of one service to its queue owner. Its goroutine
// runs while requests of the service are waiting, and until a sync without
// tickets has been sent. It has at most one message in flight; the tickets of
// requests that arrive meanwhile are batched in the next one.
type ticketSync struct {
	service string
	wake    chan struct{}

	// The fields below are guarded by Server.mu.

	running bool
	waiting map[string]*request
	// unsent lists the requests whose tickets have not been sent yet.
	unsent []*request
	// withdrawn lists requests that no longer wait and whose tickets the owner
	// may still hold.
	withdrawn []string
	sequence  uint64
	// synced is the number of tickets in the last sync.
	synced int

	// The fields below are used only by the goroutine.

	// owner is the current owner's address according to Options.Owner.
	owner string
	// redirect is the address of another owner that the last reply named, or "".
	redirect string
	// syncedAt is the time of the last sync.
	syncedAt time.Time
}

// getOrCreateSync returns the ticketSync of a service and creates it if there is
// none. The caller holds s.mu.
func (s *Server) getOrCreateSync(service string) *ticketSync {
	t := s.syncs[service]
	if t == nil {
		t = &ticketSync{service: service, wake: make(chan struct{}, 1), waiting: map[string]*request{}}
		s.syncs[service] = t
	}
	return t
}

// addTicket queues a request's ticket for sending and starts the goroutine of its
// ticketSync if it is not running. The caller holds s.mu.
func (s *Server) addTicket(q *request) {
	t := s.getOrCreateSync(q.service)
	t.waiting[q.id] = q
	t.unsent = append(t.unsent, q)
	s.waiting++
	s.updateGauges()
	if !t.running {
		t.running = true
		go s.runSync(t)
		return
	}
	t.signal()
}

// removeTicket removes a request's ticket. If withdraw is set, the owner is
// notified before the next sync. The caller holds s.mu.
func (s *Server) removeTicket(q *request, withdraw bool) {
	t := s.getOrCreateSync(q.service)
	if _, ok := t.waiting[q.id]; !ok {
		return
	}
	delete(t.waiting, q.id)
	s.waiting--
	s.updateGauges()
	if withdraw {
		t.withdrawn = append(t.withdrawn, q.id)
		t.signal()
	}
}

func (t *ticketSync) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// messageKind selects the tickets that a message to the queue owner contains.
type messageKind int

const (
	// unsentMessage contains the tickets that have not been sent yet.
	unsentMessage messageKind = iota
	// digestMessage contains the unsent tickets and a digest of all waiting tickets.
	digestMessage
	// fullSyncMessage contains all waiting tickets.
	fullSyncMessage
)

func (s *Server) runSync(t *ticketSync) {
	ticker := time.NewTicker(s.opts.Limits.SyncInterval)
	defer ticker.Stop()
	next := fullSyncMessage
	for {
		changed := s.opts.OwnerChanged()
		owner := s.opts.Owner(t.service)
		if owner != t.owner {
			next = fullSyncMessage
			t.owner = owner
			t.redirect = ""
		}
		s.sendMessage(t, next)
		if next != unsentMessage {
			t.syncedAt = time.Now()
			ticker.Reset(s.opts.Limits.SyncInterval)
		}
		if next != unsentMessage && s.stopSync(t) {
			return
		}
		next = s.nextMessageKind(t, ticker.C, changed)
	}
}

// nextMessageKind waits until a message is due and returns its kind. New tickets are
// sent with a digest if at least half of the sync interval has passed since the
// last sync, which saves a separate message for the digest.
func (s *Server) nextMessageKind(t *ticketSync, tick <-chan time.Time, changed <-chan struct{}) messageKind {
	for {
		select {
		case <-t.wake:
			if time.Since(t.syncedAt) >= s.opts.Limits.SyncInterval/2 {
				return digestMessage
			}
			return unsentMessage
		case <-tick:
			return digestMessage
		case <-changed:
			changed = s.opts.OwnerChanged()
			if s.opts.Owner(t.service) != t.owner {
				return fullSyncMessage
			}
		}
	}
}

// stopSync marks the goroutine as stopped and reports true if no request is
// waiting, no withdrawal is pending and the last sync had no tickets.
func (s *Server) stopSync(t *ticketSync) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.waiting) > 0 || len(t.withdrawn) > 0 || t.synced > 0 {
		return false
	}
	t.running = false
	return true
}

// sendMessage sends the pending tickets and withdrawals to the owner, and to the
// owner that its reply names, if that is another one. A full sync replaces
// withdrawals, because the owner deletes the tickets that are not listed in it.
func (s *Server) sendMessage(t *ticketSync, kind messageKind) {
	msg, withdrawn := s.buildMessage(t, kind)
	if t.owner == "" {
		return
	}
	if kind != fullSyncMessage && len(withdrawn) > 0 {
		s.withdraw(t, t.owner, withdrawn)
		s.withdraw(t, t.redirect, withdrawn)
	}
	if kind == unsentMessage && len(msg.Tickets) == 0 {
		return
	}
	redirect, msg := s.enqueue(t, t.owner, msg)
	if redirect == "" || redirect == t.owner {
		t.redirect = ""
		return
	}
	if redirect != t.redirect {
		t.redirect = redirect
		msg, _ = s.buildMessage(t, fullSyncMessage)
	} else {
		msg.Sequence = s.nextSequence(t)
	}
	s.enqueue(t, redirect, msg)
}

// buildMessage builds the next message to the owner. It returns the message and
// the requests to withdraw, and clears unsent and withdrawn.
func (s *Server) buildMessage(t *ticketSync, kind messageKind) (*fleetpb.EnqueueRequest, []string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.sequence++
	msg := &fleetpb.EnqueueRequest{
		Service:  t.service,
		FullSync: kind == fullSyncMessage,
		Sequence: t.sequence,
	}
	if kind == fullSyncMessage {
		for _, q := range t.waiting {
			msg.Tickets = append(msg.Tickets, q.ticket(now))
		}
	} else {
		for _, q := range t.unsent {
			if t.waiting[q.id] == q {
				msg.Tickets = append(msg.Tickets, q.ticket(now))
			}
		}
	}
	if kind == digestMessage {
		msg.Digest = t.digest()
	}
	if kind != unsentMessage {
		t.synced = len(t.waiting)
	}
	withdrawn := t.withdrawn
	t.unsent = nil
	t.withdrawn = nil
	return msg, withdrawn
}

// digest returns the digest of the waiting tickets. The caller holds Server.mu.
func (t *ticketSync) digest() *fleetpb.TicketDigest {
	var d fairqueue.Digest
	for _, q := range t.waiting {
		d.Add(q.id, q.attempt)
	}
	return &fleetpb.TicketDigest{Count: d.Count, Hash: d.Hash}
}

func (s *Server) nextSequence(t *ticketSync) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.sequence++
	return t.sequence
}

// ticket returns the ticket of the request's current attempt. The caller holds Server.mu.
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

// enqueue sends a message to an owner, followed by a full sync if the owner
// requests one. It returns the owner that the last reply names, or "", and the
// last message.
func (s *Server) enqueue(t *ticketSync, owner string, msg *fleetpb.EnqueueRequest) (string, *fleetpb.EnqueueRequest) {
	reply := s.callEnqueue(t, owner, msg)
	if reply.GetWantFull() {
		s.metrics.fullSyncs.Inc(1)
		msg, _ = s.buildMessage(t, fullSyncMessage)
		reply = s.callEnqueue(t, owner, msg)
	}
	return reply.GetOwnerAddress(), msg
}

// callEnqueue calls Enqueue at an owner and returns the reply, or nil if the call
// failed.
func (s *Server) callEnqueue(t *ticketSync, owner string, msg *fleetpb.EnqueueRequest) *fleetpb.EnqueueReply {
	ctx, cancel := s.callContext(t)
	defer cancel()
	msg.Sender = s.opts.Clients.Sender()
	reply, err := s.opts.Clients.Owner(owner).Enqueue(ctx, msg)
	if err == nil {
		err = s.opts.Clients.Check(reply.Sender)
	}
	if err != nil {
		s.warnLimited(owner, "send tickets failed", err)
		return nil
	}
	for _, id := range reply.Refused {
		s.refuseTicket(t, id)
	}
	return reply
}

// refuseTicket ends the wait of a request whose ticket the owner refused.
func (s *Server) refuseTicket(t *ticketSync, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := t.waiting[id]
	if q == nil || q.lifecycle.State() != lifecycle.Queued {
		return
	}
	select {
	case q.ticketRefused <- struct{}{}:
	default:
	}
}

func (s *Server) withdraw(t *ticketSync, owner string, ids []string) {
	if owner == "" {
		return
	}
	ctx, cancel := s.callContext(t)
	defer cancel()
	_, err := s.opts.Clients.Owner(owner).Withdraw(ctx, &fleetpb.WithdrawRequest{
		Sender:   s.opts.Clients.Sender(),
		Service:  t.service,
		Requests: ids,
	})
	if err != nil {
		// A later full sync removes the tickets at the owner.
		s.warnLimited(owner, "withdraw tickets failed", err)
	}
}

// callContext returns a context that ends after callTimeout, or when the owner
// changes, so that an unreachable owner doesn't delay the sync with its
// successor.
func (s *Server) callContext(t *ticketSync) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	owner := t.owner
	go func() {
		for {
			changed := s.opts.OwnerChanged()
			if s.opts.Owner(t.service) != owner {
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
