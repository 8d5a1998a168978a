package fairqueue

import (
	"sort"
	"time"
)

// Tick does the periodic work of the queue: it drops routers and agents that have
// stopped sending messages, ends the rebuild, limits credit and sends bases again.
// It is called every 250 ms.
func (q *Queue) Tick(now time.Time) {
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
		inst := q.current[name]
		if inst == nil || !inst.hasAllCounters {
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
	for _, inst := range q.instances {
		sinceReport := now.Sub(inst.lastReport)
		if inst.live && sinceReport > LivenessTimeout {
			q.deactivate(inst)
			// Another owner may have acknowledged counters in the meantime.
			inst.hasAllCounters = false
		}
		if !inst.allFolded && sinceReport > FoldTimeout {
			q.fold(inst)
		}
		if sinceReport > FoldedRetention {
			q.deleteInstance(inst)
		}
	}
}

// fold moves the counters of an instance into the bases; v stays the same.
func (q *Queue) fold(inst *instance) {
	for name, c := range inst.counters {
		tm := q.team(name)
		if tm == nil {
			continue
		}
		part := inst.unfolded(c)
		inst.folded[name] = c.Normalized
		tm.counters -= part
		if part > 0 {
			q.setBase(tm, tm.base+part)
		}
	}
	inst.allFolded = true
	if q.current[inst.endpoint] == inst {
		delete(q.current, inst.endpoint)
	}
}

func (q *Queue) deleteInstance(inst *instance) {
	q.endGrants(inst)
	delete(q.instances, inst.id)
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
	for name, inst := range q.current {
		if !inst.live {
			continue
		}
		out = append(out, EndpointState{
			Endpoint:      name,
			Address:       inst.address,
			Instance:      inst.id,
			Draining:      inst.draining || q.endpoints[name].Draining,
			Capacity:      inst.capacity,
			Running:       inst.requests,
			Free:          len(inst.free),
			FencingNumber: inst.fencing,
			ConfigVersion: inst.config,
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
	for _, inst := range q.offering {
		n += len(inst.free)
	}
	return n
}
