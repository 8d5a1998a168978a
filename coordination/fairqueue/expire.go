package fairqueue

import (
	"sort"
	"time"
)

// Expire drops routers and agents that have stopped sending messages, limits credit
// and ends the rebuild. It is called every 250 ms.
func (q *Queue) Expire(now time.Time) {
	q.endRebuild(now)
	q.expireRouters(now)
	q.expireInstances(now)
	q.limitCredit()
	q.refreshBases(now)
}

// endRebuild enables grants once all endpoints have reported in full or
// RebuildTimeout has passed. Until then the accounts may lack counters.
func (q *Queue) endRebuild(now time.Time) {
	if q.ready || (now.Sub(q.started) < RebuildTimeout && !q.allReportedFull()) {
		return
	}
	q.ready = true
	for _, tm := range q.teams {
		if tm.backlogged() {
			q.raiseBase(tm)
		}
	}
	q.limitCredit()
}

func (q *Queue) allReportedFull() bool {
	active := 0
	for name, e := range q.endpoints {
		if e.Draining {
			continue
		}
		in := q.current[name]
		if in == nil || !in.hasAllCounters {
			return false
		}
		active++
	}
	return active > 0
}

func (q *Queue) expireRouters(now time.Time) {
	for address, r := range q.routers {
		if now.Sub(r.lastReceived) > LivenessTimeout {
			q.dropTickets(now, r)
			delete(q.routers, address)
		}
	}
}

func (q *Queue) expireInstances(now time.Time) {
	for _, in := range q.instances {
		silence := now.Sub(in.lastReport)
		if in.live && silence > LivenessTimeout {
			q.release(in)
			// Another owner may have acknowledged counters in the meantime.
			in.hasAllCounters = false
		}
		if !in.allFolded && silence > FoldTimeout {
			q.fold(in)
		}
		if silence > FoldedRetention {
			q.deleteInstance(in)
		}
	}
}

// fold moves the counters of an instance into the bases; v stays the same.
func (q *Queue) fold(in *instance) {
	for name, c := range in.counters {
		tm := q.team(name)
		if tm == nil {
			continue
		}
		part := in.unfolded(c)
		in.folded[name] = c.Normalized
		tm.counters -= part
		if part > 0 {
			q.setBase(tm, tm.base+part)
		}
	}
	in.allFolded = true
	if q.current[in.endpoint] == in {
		delete(q.current, in.endpoint)
	}
}

func (q *Queue) deleteInstance(in *instance) {
	q.endGrants(in)
	delete(q.instances, in.id)
}

// limitCredit raises the backlogged teams whose distance below the largest v of a
// backlogged team exceeds the limit.
func (q *Queue) limitCredit() {
	limit := q.opts.CreditLimit
	if limit == 0 || limit > maxVirtualTime/millionths {
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

// refreshBases sends all bases again every BaseRefreshInterval and deletes idle
// teams whose next backlog would raise them to the virtual time anyway.
func (q *Queue) refreshBases(now time.Time) {
	if now.Sub(q.basesRefreshed) < BaseRefreshInterval {
		return
	}
	q.basesRefreshed = now
	names := make([]string, 0, len(q.teams))
	for name := range q.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		tm := q.teams[name]
		switch {
		case q.evictable(now, tm):
			delete(q.teams, name)
		case tm.base > 0:
			tm.provisional = 0
			q.queueBase(tm)
		}
	}
}

func (q *Queue) evictable(now time.Time, tm *team) bool {
	if tm.backlogged() || tm.requests > 0 || tm.basePending || tm.counters > 0 {
		return false
	}
	return tm.v() <= q.virtualTime && now.Sub(tm.idleSince) >= BaseRefreshInterval
}

// Teams returns the state of all teams, ordered by name.
func (q *Queue) Teams() []TeamState {
	out := make([]TeamState, 0, len(q.teams))
	for _, tm := range q.teams {
		out = append(out, TeamState{
			Team:        tm.name,
			Waiting:     len(tm.tickets),
			Running:     tm.requests,
			Cost:        tm.cost,
			VirtualTime: tm.v(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Team < out[j].Team })
	return out
}

// Endpoints returns the state of the endpoints that report, ordered by name.
func (q *Queue) Endpoints() []EndpointState {
	out := make([]EndpointState, 0, len(q.current))
	for name, in := range q.current {
		if !in.live {
			continue
		}
		out = append(out, EndpointState{
			Endpoint:      name,
			Address:       in.address,
			Instance:      in.id,
			Draining:      in.draining || q.endpoints[name].Draining,
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
