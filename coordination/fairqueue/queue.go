package fairqueue

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Queue orders the requests of one service. It isn't safe for use by several
// goroutines; its user guards it with one mutex.
type Queue struct {
	opts    Options
	started time.Time
	// ready is set when the rebuild from full reports has ended.
	ready   bool
	virtual uint64

	teams   map[string]*team
	backlog teamHeap
	// dirty lists the teams whose place in the heap must be checked.
	dirty   []*team
	tickets map[string]*waiting
	routers map[string]*router
	// lastRouter is the router that RouterFair served last.
	lastRouter string

	known     map[string]Endpoint
	agents    map[string]*instance
	instances map[string]*instance
	// offering holds the instances with free tokens, by endpoint.
	offering map[string]*instance
	// eligible lists the endpoints that affinity selects from; nil if it must be made again.
	eligible []string
	// homes holds the selections of affinity keys from eligible.
	homes   map[string]string
	granted map[string]*grant
	serial  uint64

	// bases lists the teams whose bases go out with the next replies.
	bases     []*team
	refreshed time.Time
}

// router is what the queue knows of one entry router.
type router struct {
	instance string
	// retired is the instance before; its late messages are ignored.
	retired  string
	heard    time.Time
	sequence uint64
	// lastFull is the sequence of the last full sync or agreeing digest.
	lastFull uint64
	tickets  map[string]*waiting
	// digest is that of tickets.
	digest Digest
}

// New returns an empty queue whose rebuild begins at now.
func New(now time.Time, opts Options) *Queue {
	if opts.MaxQueuedPerTeam <= 0 {
		opts.MaxQueuedPerTeam = MaxTickets
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Queue{
		opts:      opts,
		started:   now,
		teams:     map[string]*team{},
		tickets:   map[string]*waiting{},
		routers:   map[string]*router{},
		known:     map[string]Endpoint{},
		agents:    map[string]*instance{},
		instances: map[string]*instance{},
		offering:  map[string]*instance{},
		granted:   map[string]*grant{},
		homes:     map[string]string{},
		refreshed: now,
		virtual:   1,
	}
}

// Enqueue adds one ticket and reports whether it was taken; a duplicate is
// taken. Sync is the form for messages that may be lost or reordered.
func (q *Queue) Enqueue(now time.Time, t Ticket) bool {
	r := q.router(now, t.Router, t.RouterInstance)
	if r == nil {
		return false
	}
	return q.add(now, r, t)
}

// Sync takes one message of an entry router and returns the requests that
// were refused because a queue is full. If full is set, the router's other
// tickets are dropped. Messages that a later one overtook are ignored, except
// that tickets added by several partial messages are all taken.
func (q *Queue) Sync(now time.Time, address, instance string, sequence uint64, tickets []Ticket, full bool) []string {
	r := q.router(now, address, instance)
	if r == nil {
		return requestsOf(tickets)
	}
	if r.instance != instance || sequence <= r.lastFull || (full && sequence <= r.sequence) {
		return nil
	}
	r.sequence = max(r.sequence, sequence)
	if full {
		r.lastFull = sequence
		q.dropUnlisted(now, r, tickets)
	}
	var refused []string
	for _, t := range tickets {
		t.Router, t.RouterInstance = address, instance
		if !q.add(now, r, t) {
			refused = append(refused, t.Request)
		}
	}
	return refused
}

// Withdraw drops tickets of an entry router.
func (q *Queue) Withdraw(now time.Time, address, instance string, requests []string) {
	r := q.routers[address]
	if r == nil || r.instance != instance {
		return
	}
	r.heard = now
	for _, id := range requests {
		if w := r.tickets[id]; w != nil {
			q.remove(now, w)
		}
	}
}

func requestsOf(tickets []Ticket) []string {
	ids := make([]string, 0, len(tickets))
	for _, t := range tickets {
		ids = append(ids, t.Request)
	}
	return ids
}

// router returns the record of an entry router, or nil if the table is full.
// A new instance at an address replaces the one before.
func (q *Queue) router(now time.Time, address, instance string) *router {
	r := q.routers[address]
	switch {
	case r == nil && len(q.routers) >= MaxRouters:
		return nil
	case r == nil:
		r = &router{instance: instance, tickets: map[string]*waiting{}}
		q.routers[address] = r
	case r.instance == instance:
	case r.retired == instance:
		return r
	default:
		q.dropTickets(now, r)
		*r = router{instance: instance, retired: r.instance, tickets: r.tickets, digest: r.digest}
	}
	r.heard = now
	return r
}

func (q *Queue) dropUnlisted(now time.Time, r *router, tickets []Ticket) {
	listed := make(map[string]bool, len(tickets))
	for _, t := range tickets {
		listed[t.Request] = true
	}
	for id, w := range r.tickets {
		if !listed[id] {
			q.remove(now, w)
		}
	}
}

func (q *Queue) dropTickets(now time.Time, r *router) {
	for _, w := range r.tickets {
		q.remove(now, w)
	}
}

// add queues a ticket unless it is a duplicate or is being dispatched.
func (q *Queue) add(now time.Time, r *router, t Ticket) bool {
	if r.instance != t.RouterInstance {
		return true
	}
	if g := q.granted[t.Request]; g != nil {
		if t.Attempt <= g.Ticket.Attempt {
			return true
		}
		// A later attempt shows that the agent refused the earlier one. The
		// token stays with the grant until its dispatch and lease have ended.
		q.endHint(g)
		q.forgetRequest(g)
	}
	if w := q.tickets[t.Request]; w != nil {
		if t.Attempt <= w.Attempt || w.Router != t.Router {
			return true
		}
		q.remove(now, w)
	}
	tm := q.team(t.Team)
	if tm == nil || len(q.tickets) >= MaxTickets || len(tm.tickets) >= q.opts.MaxQueuedPerTeam {
		return false
	}
	q.push(now, r, tm, t)
	return true
}

func (q *Queue) push(now time.Time, r *router, tm *team, t Ticket) {
	if t.QueuedAt.After(now) {
		t.QueuedAt = now
	}
	if !tm.backlogged() {
		q.begin(tm, t.QueuedAt)
	}
	w := &waiting{Ticket: t}
	heap.Push(&tm.tickets, w)
	q.tickets[t.Request] = w
	r.tickets[t.Request] = w
	r.digest.Add(t.Request, t.Attempt)
	q.touch(tm)
}

// begin starts a backlogged period of a team. If the ticket was queued before
// the team's last one left the queue, the team waited all along and isn't raised.
func (q *Queue) begin(tm *team, queuedAt time.Time) {
	idleSince := tm.idleSince
	if idleSince.IsZero() {
		idleSince = q.started
	}
	if queuedAt.After(idleSince) {
		tm.raise = true
	}
	if q.ready {
		q.applyRaise(tm)
	}
}

// applyRaise brings v to the virtual time after an idle period, and for a team
// whose base isn't known.
func (q *Queue) applyRaise(tm *team) {
	unknown := !tm.known()
	if !tm.raise && !unknown {
		return
	}
	tm.raise = false
	v := tm.v()
	if v >= q.virtual {
		return
	}
	if unknown && !q.complete() {
		tm.unproven = q.virtual - v
	}
	q.setBase(tm, tm.base+q.virtual-v)
}

// setBase raises a base and sends it out with the next replies. A base that
// may still go down stays here, since agents keep the largest one.
func (q *Queue) setBase(tm *team, base uint64) {
	tm.base = min(base, maxVirtual)
	if tm.unproven == 0 {
		q.announce(tm)
	}
	q.touch(tm)
}

func (q *Queue) announce(tm *team) {
	tm.copies = baseCopies
	if !tm.queued {
		tm.queued = true
		q.bases = append(q.bases, tm)
	}
}

// remove takes a ticket out of the queue.
func (q *Queue) remove(now time.Time, w *waiting) {
	tm := q.teams[w.Team]
	heap.Remove(&tm.tickets, w.index)
	delete(q.tickets, w.Request)
	if r := q.routers[w.Router]; r != nil && r.tickets[w.Request] == w {
		delete(r.tickets, w.Request)
		r.digest.remove(w.Request, w.Attempt)
	}
	if !tm.backlogged() {
		tm.idleSince = now
		tm.raise = false
	}
	q.touch(tm)
}

// team returns the account of a team, or nil if the table is full.
func (q *Queue) team(name string) *team {
	tm := q.teams[name]
	if tm == nil && len(q.teams) < MaxTeams {
		tm = &team{name: name, index: -1}
		q.teams[name] = tm
	}
	return tm
}
