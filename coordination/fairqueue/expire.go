package fairqueue

import (
	"sort"
	"time"
)

// Expire drops what is silent, limits credit and ends the rebuild. It runs
// every 250 ms.
func (q *Queue) Expire(now time.Time) {
	q.endRebuild(now)
	q.expireRouters(now)
	q.expireInstances(now)
	q.limitCredit()
	q.refreshBases(now)
}

// endRebuild starts the grants once all endpoints have reported in full or
// RebuildTime has passed. Until then sums may lack counters.
func (q *Queue) endRebuild(now time.Time) {
	if q.ready || (now.Sub(q.started) < RebuildTime && !q.complete()) {
		return
	}
	q.ready = true
	for _, tm := range q.teams {
		if tm.backlogged() {
			q.applyRaise(tm)
		}
	}
	q.limitCredit()
}

func (q *Queue) complete() bool {
	active := 0
	for name, e := range q.known {
		if e.Draining {
			continue
		}
		in := q.agents[name]
		if in == nil || !in.full {
			return false
		}
		active++
	}
	return active > 0
}

func (q *Queue) expireRouters(now time.Time) {
	for address, r := range q.routers {
		if now.Sub(r.heard) > SilentAfter {
			q.dropTickets(now, r)
			delete(q.routers, address)
		}
	}
}

func (q *Queue) expireInstances(now time.Time) {
	for _, in := range q.instances {
		silence := now.Sub(in.heard)
		if in.live && silence > SilentAfter {
			q.release(in)
			// Another owner may have acknowledged counters meanwhile.
			in.full = false
		}
		if !in.resting && silence > FoldAfter {
			q.fold(in)
		}
		if silence > ForgetFolded {
			q.forgetInstance(in)
		}
	}
}

// fold moves the counters of a silent instance into the bases; v stays the same.
func (q *Queue) fold(in *instance) {
	for name, c := range in.counters {
		tm := q.team(name)
		if tm == nil {
			continue
		}
		part := in.counted(c)
		in.folded[name] = c.Normalized
		tm.counters -= part
		if part > 0 {
			q.setBase(tm, tm.base+part)
		}
	}
	in.resting = true
	if q.agents[in.endpoint] == in {
		delete(q.agents, in.endpoint)
	}
}

func (q *Queue) forgetInstance(in *instance) {
	q.endGrants(in)
	delete(q.instances, in.id)
}

// limitCredit raises the backlogged teams that are further below the largest
// v of a backlogged team than the limit.
func (q *Queue) limitCredit() {
	limit := q.opts.CreditLimit
	if limit == 0 || limit > maxVirtual/millionths {
		return
	}
	var high uint64
	for _, tm := range q.backlogged() {
		high = max(high, tm.v())
	}
	if high <= limit*millionths {
		return
	}
	floor := high - limit*millionths
	var low []*team
	for _, tm := range q.backlogged() {
		if tm.v() < floor {
			low = append(low, tm)
		}
	}
	for _, tm := range low {
		q.setBase(tm, tm.base+floor-tm.v())
	}
}

// refreshBases sends all bases again from time to time and forgets teams
// whose return would raise them above their account anyway.
func (q *Queue) refreshBases(now time.Time) {
	if now.Sub(q.refreshed) < BaseRefresh {
		return
	}
	q.refreshed = now
	names := make([]string, 0, len(q.teams))
	for name := range q.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		tm := q.teams[name]
		switch {
		case q.forgettable(now, tm):
			delete(q.teams, name)
		case tm.base > 0:
			tm.unproven = 0
			q.announce(tm)
		}
	}
}

func (q *Queue) forgettable(now time.Time, tm *team) bool {
	if tm.backlogged() || tm.requests > 0 || tm.queued || tm.counters > 0 {
		return false
	}
	return tm.v() <= q.virtual && now.Sub(tm.idleSince) >= BaseRefresh
}

// Teams returns the teams in order of name.
func (q *Queue) Teams() []TeamState {
	out := make([]TeamState, 0, len(q.teams))
	for _, tm := range q.teams {
		out = append(out, TeamState{
			Team:    tm.name,
			Waiting: len(tm.tickets),
			Running: tm.requests,
			Cost:    tm.cost,
			Virtual: tm.v(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Team < out[j].Team })
	return out
}

// Endpoints returns the endpoints that report, in order of name.
func (q *Queue) Endpoints() []EndpointState {
	out := make([]EndpointState, 0, len(q.agents))
	for name, in := range q.agents {
		if !in.live {
			continue
		}
		out = append(out, EndpointState{
			Endpoint:      name,
			Address:       in.address,
			Instance:      in.id,
			Draining:      in.draining || q.known[name].Draining,
			Capacity:      in.capacity,
			Running:       in.requests,
			Free:          len(in.free),
			FencingNumber: in.fencing,
			ConfigVersion: in.config,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int { return len(q.tickets) }

// Free returns the number of tokens that may be granted.
func (q *Queue) Free() int {
	n := 0
	for _, in := range q.offering {
		n += len(in.free)
	}
	return n
}
