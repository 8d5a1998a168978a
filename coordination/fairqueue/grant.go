package fairqueue

import (
	"slices"
	"sort"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
)

// grantState is the state of a grant's dispatch.
type grantState int

const (
	// grantPending means that the dispatch has not ended.
	grantPending grantState = iota
	// grantAccepted means that the entry router sends the request to the agent.
	grantAccepted
	// grantLost means that the dispatch failed or the charge has ended. The token is
	// granted again once a report lists it as free.
	grantLost
)

// grant is a token that was assigned to a request and has not been settled by a
// report.
type grant struct {
	Grant
	at       time.Time
	state    grantState
	team     *team
	instance *instance
	// amount is the outstanding hint, divided by the weight, in millionths.
	amount uint64
	// hintCharged is set while the hint is part of the team's outstanding hints.
	hintCharged bool
}

// Next grants a token to the ticket that the ordering selects. It returns false if
// no ticket waits or no token may be granted. The tickets of a team with weight 0
// are dropped.
func (q *Queue) Next(now time.Time, weight func(team string) uint64) (Grant, bool) {
	q.endRebuild(now)
	for q.ready && len(q.offering) > 0 {
		qt := q.pick()
		if qt == nil {
			return Grant{}, false
		}
		tm := q.teams[qt.Team]
		teamWeight := weight(qt.Team)
		if teamWeight == 0 {
			q.dropTeamTickets(now, tm)
			continue
		}
		inst := q.place(now, qt)
		if inst == nil {
			return Grant{}, false
		}
		return q.grant(now, tm, qt, inst, teamWeight), true
	}
	return Grant{}, false
}

func (q *Queue) dropTeamTickets(now time.Time, tm *team) {
	for tm.backlogged() {
		q.remove(now, tm.tickets[0])
	}
}

// pick returns the ticket to serve next, or nil if none waits.
func (q *Queue) pick() *queuedTicket {
	backlog := q.backlogged()
	if len(backlog) == 0 {
		return nil
	}
	if q.opts.Ordering == RouterFair {
		return q.pickByRouter()
	}
	return backlog[0].tickets[0]
}

// pickByRouter selects the next router with tickets, its team with the smallest v
// and that team's oldest ticket. This ordering is a baseline for benchmarks, and
// scans all routers and tickets.
func (q *Queue) pickByRouter() *queuedTicket {
	var next, first string
	for address, r := range q.routers {
		if len(r.tickets) == 0 {
			continue
		}
		if first == "" || address < first {
			first = address
		}
		if address > q.lastRouter && (next == "" || address < next) {
			next = address
		}
	}
	if next == "" {
		next = first
	}
	q.lastRouter = next
	var best *queuedTicket
	for _, qt := range q.routers[next].tickets {
		if best == nil || q.precedes(qt, best) {
			best = qt
		}
	}
	return best
}

func (q *Queue) precedes(a, b *queuedTicket) bool {
	if a.Team != b.Team {
		return servedBefore(q.teams[a.Team], q.teams[b.Team])
	}
	return queuedBefore(a, b)
}

// place selects the endpoint for a ticket, or returns nil if no token may be
// granted.
func (q *Queue) place(now time.Time, qt *queuedTicket) *instance {
	for _, inst := range q.offering {
		if now.Sub(inst.lastReport) > OfferTTL {
			q.withholdTokens(inst)
		}
	}
	if len(q.offering) == 0 {
		return nil
	}
	if q.opts.Placement == Random {
		return q.placeRandom()
	}
	key := qt.Affinity
	if key == "" {
		key = qt.Team
	}
	if inst := q.offering[q.home(key)]; inst != nil {
		return inst
	}
	return q.placeNear(qt.Zone)
}

// home returns the endpoint that an affinity key selects.
func (q *Queue) home(key string) string {
	names := q.eligibleNames()
	if name, ok := q.homes[key]; ok {
		return name
	}
	if len(q.homes) >= maxCachedHomes {
		clear(q.homes)
	}
	name := rendezvous.Choose(key, names)
	q.homes[key] = name
	return name
}

func (q *Queue) placeRandom() *instance {
	names := make([]string, 0, len(q.offering))
	for name := range q.offering {
		names = append(names, name)
	}
	sort.Strings(names)
	return q.offering[names[q.opts.Rand.IntN(len(names))]]
}

// placeNear prefers endpoints in the zone, then the most free tokens; ties are
// broken by name.
func (q *Queue) placeNear(zone string) *instance {
	var best *instance
	for _, inst := range q.offering {
		if best == nil || nearer(inst, best, zone) {
			best = inst
		}
	}
	return best
}

func nearer(a, b *instance, zone string) bool {
	if inA, inB := a.zone == zone, b.zone == zone; inA != inB {
		return inA
	}
	if len(a.free) != len(b.free) {
		return len(a.free) > len(b.free)
	}
	return a.endpoint < b.endpoint
}

// eligibleNames lists the endpoints that accept requests, whether or not they have
// a free token, so that a key keeps its endpoint.
func (q *Queue) eligibleNames() []string {
	if q.eligible != nil {
		return q.eligible
	}
	clear(q.homes)
	q.eligible = make([]string, 0, len(q.current))
	for name, inst := range q.current {
		if inst.live && !inst.draining && !q.endpoints[name].Draining {
			q.eligible = append(q.eligible, name)
		}
	}
	slices.Sort(q.eligible)
	return q.eligible
}

func (q *Queue) grant(now time.Time, tm *team, qt *queuedTicket, inst *instance, weight uint64) Grant {
	q.virtualTime = min(max(q.virtualTime, tm.v()), maxVirtualTime)
	q.remove(now, qt)
	token := q.takeToken(inst)
	q.serial++
	g := &grant{
		Grant: Grant{
			Ticket:       qt.Ticket,
			Endpoint:     inst.endpoint,
			Instance:     inst.id,
			AgentAddress: inst.address,
			Token:        token,
			Weight:       weight,
			Waited:       now.Sub(qt.QueuedAt),
			serial:       q.serial,
		},
		at:          now,
		team:        tm,
		instance:    inst,
		amount:      normalize(qt.Hint, weight),
		hintCharged: true,
	}
	tm.outstanding += g.amount
	tm.requests++
	q.markDirty(tm)
	inst.grants[token] = g
	q.granted[qt.Request] = g
	return g.Grant
}

func (q *Queue) takeToken(inst *instance) string {
	last := len(inst.free) - 1
	token := inst.free[last]
	inst.free = inst.free[:last]
	if last == 0 {
		delete(q.offering, inst.endpoint)
	}
	return token
}

// Resolve applies the result of a grant's dispatch. A grant that a report has
// settled in the meantime stays settled. After a lost dispatch the other tickets of
// the entry router are dropped as well until its next sync, so that an unreachable
// router does not take all tokens.
func (q *Queue) Resolve(now time.Time, granted Grant, result Resolution) {
	if r := q.routers[granted.Ticket.Router]; result == Lost && r != nil && r.instance == granted.Ticket.RouterInstance {
		q.dropTickets(now, r)
	}
	inst := q.instances[granted.Instance]
	if inst == nil {
		return
	}
	g := inst.grants[granted.Token]
	if g == nil || g.serial != granted.serial || g.state != grantPending {
		return
	}
	switch result {
	case Accepted:
		g.state = grantAccepted
	case Gone:
		q.endGrant(g)
		delete(inst.grants, g.Token)
		q.reofferToken(inst, g.Token)
	case Lost:
		g.state = grantLost
		q.deleteGranted(g)
	}
}

// reofferToken makes an unused token available again if the latest report lists it.
func (q *Queue) reofferToken(inst *instance, token string) {
	if q.current[inst.endpoint] != inst || !inst.live || !inst.listed[token] {
		return
	}
	if inst.draining || q.endpoints[inst.endpoint].Draining {
		return
	}
	inst.free = append(inst.free, token)
	q.offering[inst.endpoint] = inst
}

// endGrant removes a grant's hint from the account of its team. The token is
// granted again only after a report that lists it as free.
func (q *Queue) endGrant(g *grant) {
	q.endHint(g)
	q.deleteGranted(g)
	g.state = grantLost
}

func (q *Queue) endHint(g *grant) {
	if !g.hintCharged {
		return
	}
	g.hintCharged = false
	g.team.outstanding -= g.amount
	g.team.requests--
	q.markDirty(g.team)
}

func (q *Queue) deleteGranted(g *grant) {
	if q.granted[g.Ticket.Request] == g {
		delete(q.granted, g.Ticket.Request)
	}
}
