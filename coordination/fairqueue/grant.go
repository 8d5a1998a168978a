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
	grantPending grantState = iota
	grantAccepted
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
		w := q.pick()
		if w == nil {
			return Grant{}, false
		}
		tm := q.teams[w.Team]
		teamWeight := weight(w.Team)
		if teamWeight == 0 {
			q.dropTeamTickets(now, tm)
			continue
		}
		in := q.place(now, w)
		if in == nil {
			return Grant{}, false
		}
		return q.grant(now, tm, w, in, teamWeight), true
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
	var after, first string
	for address, r := range q.routers {
		if len(r.tickets) == 0 {
			continue
		}
		if first == "" || address < first {
			first = address
		}
		if address > q.lastRouter && (after == "" || address < after) {
			after = address
		}
	}
	if after == "" {
		after = first
	}
	q.lastRouter = after
	var best *queuedTicket
	for _, w := range q.routers[after].tickets {
		if best == nil || q.precedes(w, best) {
			best = w
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
func (q *Queue) place(now time.Time, w *queuedTicket) *instance {
	for _, in := range q.offering {
		if now.Sub(in.lastReport) > OfferTTL {
			q.withholdTokens(in)
		}
	}
	if len(q.offering) == 0 {
		return nil
	}
	if q.opts.Placement == Random {
		return q.placeRandom()
	}
	key := w.Affinity
	if key == "" {
		key = w.Team
	}
	if in := q.offering[q.home(key)]; in != nil {
		return in
	}
	return q.placeNear(w.Zone)
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
	for _, in := range q.offering {
		if best == nil || nearer(in, best, zone) {
			best = in
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
	for name, in := range q.current {
		if in.live && !in.draining && !q.endpoints[name].Draining {
			q.eligible = append(q.eligible, name)
		}
	}
	slices.Sort(q.eligible)
	return q.eligible
}

func (q *Queue) grant(now time.Time, tm *team, w *queuedTicket, in *instance, weight uint64) Grant {
	q.virtualTime = min(max(q.virtualTime, tm.v()), maxVirtualTime)
	q.remove(now, w)
	token := q.takeToken(in)
	q.serial++
	g := &grant{
		Grant: Grant{
			Ticket:       w.Ticket,
			Endpoint:     in.endpoint,
			Instance:     in.id,
			AgentAddress: in.address,
			Token:        token,
			Weight:       weight,
			Waited:       now.Sub(w.QueuedAt),
			serial:       q.serial,
		},
		at:          now,
		team:        tm,
		instance:    in,
		amount:      normalize(w.Hint, weight),
		hintCharged: true,
	}
	tm.outstanding += g.amount
	tm.requests++
	q.markDirty(tm)
	in.grants[token] = g
	q.granted[w.Request] = g
	return g.Grant
}

func (q *Queue) takeToken(in *instance) string {
	last := len(in.free) - 1
	token := in.free[last]
	in.free = in.free[:last]
	if last == 0 {
		delete(q.offering, in.endpoint)
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
	in := q.instances[granted.Instance]
	if in == nil {
		return
	}
	g := in.grants[granted.Token]
	if g == nil || g.serial != granted.serial || g.state != grantPending {
		return
	}
	switch result {
	case Accepted:
		g.state = grantAccepted
	case Gone:
		q.endGrant(g)
		delete(in.grants, g.Token)
		q.reofferToken(in, g.Token)
	case Lost:
		g.state = grantLost
		q.deleteGranted(g)
	}
}

// reofferToken makes an unused token available again if the latest report lists it.
func (q *Queue) reofferToken(in *instance, token string) {
	if q.current[in.endpoint] != in || !in.live || !in.listed[token] {
		return
	}
	if in.draining || q.endpoints[in.endpoint].Draining {
		return
	}
	in.free = append(in.free, token)
	q.offering[in.endpoint] = in
}

// endGrant ends the charge of a grant. Its token is granted again only after a
// report that lists it as free.
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
