package fairqueue

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Queue orders the requests of one service. It is not safe for concurrent use; its
// user guards it with a mutex.
type Queue struct {
	opts    Options
	started time.Time
	// ready is set when the rebuild from full reports has ended.
	ready       bool
	virtualTime uint64

	teams   map[string]*team
	backlog teamHeap
	// dirty lists the teams whose position in the heap must be updated.
	dirty   []*team
	tickets map[string]*queuedTicket
	routers map[string]*router
	// lastRouter is the router that RouterFair served last.
	lastRouter string

	// endpoints holds the endpoints that may report, current the latest instance of
	// each reporting endpoint, and instances all known instances by ID.
	endpoints map[string]Endpoint
	current   map[string]*instance
	instances map[string]*instance
	// offering holds the instances with free tokens, by endpoint.
	offering map[string]*instance
	// eligible lists the endpoints that affinity keys are mapped to; nil if it must
	// be recomputed.
	eligible []string
	// homes caches the endpoints that affinity keys select from eligible.
	homes   map[string]string
	granted map[string]*grant
	serial  uint64

	// pendingBases lists the teams whose bases are sent with the next replies.
	pendingBases   []*team
	basesRefreshed time.Time
}

// router is the state of one entry router.
type router struct {
	instance string
	// previous is the instance before this one; its late messages are ignored.
	previous     string
	lastReceived time.Time
	sequence     uint64
	// lastFull is the sequence of the last full sync or matching digest.
	lastFull uint64
	tickets  map[string]*queuedTicket
	// digest is the digest of tickets.
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
		opts:           opts,
		started:        now,
		teams:          map[string]*team{},
		tickets:        map[string]*queuedTicket{},
		routers:        map[string]*router{},
		endpoints:      map[string]Endpoint{},
		current:        map[string]*instance{},
		instances:      map[string]*instance{},
		offering:       map[string]*instance{},
		granted:        map[string]*grant{},
		homes:          map[string]string{},
		basesRefreshed: now,
		virtualTime:    1,
	}
}

// Enqueue adds one ticket and reports whether it was accepted; a duplicate counts
// as accepted. Use Sync for messages that may be lost or reordered.
func (q *Queue) Enqueue(now time.Time, t Ticket) bool {
	r := q.router(now, t.Router, t.RouterInstance)
	if r == nil {
		return false
	}
	return q.add(now, r, t)
}

// Sync applies one message of an entry router and returns the requests that were
// refused because a queue is full. If full is set, the router's other tickets are
// dropped. A message that arrives after a later one is ignored, except that the
// tickets of partial messages are all added.
func (q *Queue) Sync(now time.Time, address, instance string, sequence uint64, tickets []Ticket, full bool) []string {
	r := q.router(now, address, instance)
	if r == nil {
		return requestIDs(tickets)
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

// Withdraw removes tickets of an entry router.
func (q *Queue) Withdraw(now time.Time, address, instance string, requests []string) {
	r := q.routers[address]
	if r == nil || r.instance != instance {
		return
	}
	r.lastReceived = now
	for _, id := range requests {
		if qt := r.tickets[id]; qt != nil {
			q.remove(now, qt)
		}
	}
}

func requestIDs(tickets []Ticket) []string {
	ids := make([]string, 0, len(tickets))
	for _, t := range tickets {
		ids = append(ids, t.Request)
	}
	return ids
}

// router returns the state of an entry router and creates it if needed, or returns
// nil if the table is full. A new instance at an address replaces the previous one
// and its tickets.
func (q *Queue) router(now time.Time, address, instance string) *router {
	r := q.routers[address]
	switch {
	case r == nil && len(q.routers) >= MaxRouters:
		return nil
	case r == nil:
		r = &router{instance: instance, tickets: map[string]*queuedTicket{}}
		q.routers[address] = r
	case r.instance == instance:
	case r.previous == instance:
		return r
	default:
		q.dropTickets(now, r)
		*r = router{instance: instance, previous: r.instance, tickets: r.tickets, digest: r.digest}
	}
	r.lastReceived = now
	return r
}

func (q *Queue) dropUnlisted(now time.Time, r *router, tickets []Ticket) {
	listed := make(map[string]bool, len(tickets))
	for _, t := range tickets {
		listed[t.Request] = true
	}
	for id, qt := range r.tickets {
		if !listed[id] {
			q.remove(now, qt)
		}
	}
}

func (q *Queue) dropTickets(now time.Time, r *router) {
	for _, qt := range r.tickets {
		q.remove(now, qt)
	}
}

// add queues a ticket unless it is a duplicate or is being dispatched. It returns
// false if a queue or the table of teams is full.
func (q *Queue) add(now time.Time, r *router, t Ticket) bool {
	if r.instance != t.RouterInstance {
		return true
	}
	if g := q.granted[t.Request]; g != nil {
		if t.Attempt <= g.Ticket.Attempt {
			return true
		}
		// A later attempt shows that the agent refused the earlier one. The token
		// stays assigned to the grant until its dispatch and lease have ended.
		q.endHint(g)
		q.deleteGranted(g)
	}
	if qt := q.tickets[t.Request]; qt != nil {
		if t.Attempt <= qt.Attempt || qt.Router != t.Router {
			return true
		}
		q.remove(now, qt)
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
		q.startBacklog(tm, t.QueuedAt)
	}
	qt := &queuedTicket{Ticket: t}
	heap.Push(&tm.tickets, qt)
	q.tickets[t.Request] = qt
	r.tickets[t.Request] = qt
	r.digest.Add(t.Request, t.Attempt)
	q.markDirty(tm)
}

// startBacklog starts a backlogged period of a team. If the ticket was queued
// before the team's previous ticket left the queue, the team was waiting throughout
// and its base is not raised.
func (q *Queue) startBacklog(tm *team, queuedAt time.Time) {
	idleSince := tm.idleSince
	if idleSince.IsZero() {
		idleSince = q.started
	}
	if queuedAt.After(idleSince) {
		tm.raisePending = true
	}
	if q.ready {
		q.raiseBase(tm)
	}
}

// raiseBase raises v to the virtual time after an idle period, and for a team whose
// base is not known.
func (q *Queue) raiseBase(tm *team) {
	unknown := !tm.hasBase()
	if !tm.raisePending && !unknown {
		return
	}
	tm.raisePending = false
	v := tm.v()
	if v >= q.virtualTime {
		return
	}
	if unknown && !q.allReportedFull() {
		tm.provisional = q.virtualTime - v
	}
	q.setBase(tm, tm.base+q.virtualTime-v)
}

// setBase sets a base and sends it with the next replies. A base with a provisional
// part is not sent: it may still decrease, but agents keep the largest base they
// received.
func (q *Queue) setBase(tm *team, base uint64) {
	tm.base = min(base, maxVirtualTime)
	if tm.provisional == 0 {
		q.queueBase(tm)
	}
	q.markDirty(tm)
}

func (q *Queue) queueBase(tm *team) {
	tm.copiesLeft = baseCopies
	if !tm.basePending {
		tm.basePending = true
		q.pendingBases = append(q.pendingBases, tm)
	}
}

// remove removes a ticket from the queue.
func (q *Queue) remove(now time.Time, qt *queuedTicket) {
	tm := q.teams[qt.Team]
	heap.Remove(&tm.tickets, qt.index)
	delete(q.tickets, qt.Request)
	if r := q.routers[qt.Router]; r != nil && r.tickets[qt.Request] == qt {
		delete(r.tickets, qt.Request)
		r.digest.remove(qt.Request, qt.Attempt)
	}
	if !tm.backlogged() {
		tm.idleSince = now
		tm.raisePending = false
	}
	q.markDirty(tm)
}

// team returns the account of a team and creates it if needed, or returns nil if
// the table is full.
func (q *Queue) team(name string) *team {
	tm := q.teams[name]
	if tm == nil && len(q.teams) < MaxTeams {
		tm = &team{name: name, index: -1}
		q.teams[name] = tm
	}
	return tm
}
