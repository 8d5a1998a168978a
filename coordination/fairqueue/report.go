package fairqueue

import "time"

// instance is one process of an agent. Its counters outlive its tokens.
type instance struct {
	id            string
	endpoint      string
	address       string
	zone          string
	startedUnixMs int64
	sequence      uint64
	// lastReport is the time of the last report.
	lastReport time.Time
	// live is cleared after LivenessTimeout without a report.
	live bool
	// hasAllCounters is set once all counters are known.
	hasAllCounters bool
	draining       bool
	capacity       uint32
	fencing        uint64
	config         uint64

	counters map[string]Counter
	// folded holds the normalized cost that has been moved into the bases, and
	// allFolded is set once that is true of all counters.
	folded    map[string]uint64
	allFolded bool
	// running holds the outstanding charges by team, and requests is the number of
	// requests of all teams.
	running  map[string]runningCharge
	requests int
	// runningIncomplete is set while running may lack teams.
	runningIncomplete bool
	// listed holds the tokens that the last report listed as free.
	listed map[string]bool
	// free lists the tokens that may be granted.
	free   []string
	grants map[string]*grant
}

// runningCharge is the part of the hints of a team's requests in progress that has
// not been metered yet.
type runningCharge struct {
	team     *team
	amount   uint64
	requests int
}

// unfolded returns the part of a counter that is not included in a base.
func (inst *instance) unfolded(c Counter) uint64 {
	if folded := inst.folded[c.Team]; folded < c.Normalized {
		return c.Normalized - folded
	}
	return 0
}

// SetEndpoints sets the endpoints that may report. Tokens of others are dropped.
func (q *Queue) SetEndpoints(endpoints []Endpoint) {
	clear(q.endpoints)
	for _, e := range endpoints {
		q.endpoints[e.Name] = e
	}
	for name, inst := range q.current {
		e, ok := q.endpoints[name]
		if !ok {
			q.deactivate(inst)
			delete(q.current, name)
		}
		if e.Draining {
			q.withholdTokens(inst)
		}
	}
	q.eligible = nil
}

// Report applies the report of one agent. An invalid report changes nothing.
func (q *Queue) Report(now time.Time, r Report) ReportResult {
	inst := q.instances[r.Instance]
	if inst != nil && inst.endpoint == r.Endpoint && r.Sequence <= inst.sequence {
		return ReportResult{Stale: true, Superseded: q.current[r.Endpoint] != inst, VirtualTime: q.virtualTime}
	}
	if refusal := q.check(inst, &r); refusal != RefusedNone {
		return ReportResult{Refused: refusal, VirtualTime: q.virtualTime}
	}
	if inst == nil {
		q.evictOldestInstance()
		inst = newInstance(&r)
		q.instances[r.Instance] = inst
	}
	q.virtualTime = max(q.virtualTime, r.VirtualTime)
	current := q.makeCurrent(inst)
	q.mergeCounters(inst, &r)
	q.updateInstance(now, inst, &r)
	q.replaceRunning(inst, &r)
	q.replaceTokens(now, inst, &r, current)
	q.endRebuild(now)
	return ReportResult{
		WantFull:    !inst.hasAllCounters || inst.runningIncomplete,
		Superseded:  !current,
		Bases:       q.nextBases(),
		VirtualTime: q.virtualTime,
	}
}

func newInstance(r *Report) *instance {
	return &instance{
		id:            r.Instance,
		endpoint:      r.Endpoint,
		startedUnixMs: r.StartedUnixMs,
		counters:      map[string]Counter{},
		folded:        map[string]uint64{},
		running:       map[string]runningCharge{},
		listed:        map[string]bool{},
		grants:        map[string]*grant{},
	}
}

// evictOldestInstance deletes the instance whose last report is oldest if the table
// is full. The current instance of an endpoint is never deleted; there are at most
// MaxAgents of them, so another one always exists.
func (q *Queue) evictOldestInstance() {
	if len(q.instances) < MaxInstances {
		return
	}
	var oldest *instance
	for _, inst := range q.instances {
		if q.current[inst.endpoint] == inst {
			continue
		}
		if oldest == nil || inst.lastReport.Before(oldest.lastReport) {
			oldest = inst
		}
	}
	q.deactivate(oldest)
	q.fold(oldest)
	q.deleteInstance(oldest)
}

// check returns the reason for which a report must be refused, or RefusedNone.
func (q *Queue) check(inst *instance, r *Report) Refusal {
	if _, ok := q.endpoints[r.Endpoint]; !ok || (inst != nil && inst.endpoint != r.Endpoint) {
		return RefusedUnknownEndpoint
	}
	if uint64(len(r.FreeTokens))+uint64(r.Running) > MaxTokens {
		return RefusedTooManyTokens
	}
	if q.current[r.Endpoint] == nil && len(q.current) >= MaxAgents {
		return RefusedTableFull
	}
	if refusal := checkTokens(r); refusal != RefusedNone {
		return refusal
	}
	return q.checkCounters(inst, r)
}

func checkTokens(r *Report) Refusal {
	seen := make(map[string]bool, len(r.FreeTokens))
	for _, token := range r.FreeTokens {
		if seen[token] {
			return RefusedDuplicate
		}
		seen[token] = true
	}
	return RefusedNone
}

func (q *Queue) checkCounters(inst *instance, r *Report) Refusal {
	if r.VirtualTime > maxVirtualTime {
		return RefusedImpossibleCost
	}
	var running uint64
	teams := make(map[string]bool, len(r.Counters))
	for _, c := range r.Counters {
		if teams[c.Team] {
			return RefusedDuplicate
		}
		teams[c.Team] = true
		if refusal := q.checkCounter(inst, c); refusal != RefusedNone {
			return refusal
		}
		running += uint64(c.Running)
	}
	if running > uint64(r.Running) {
		return RefusedTooManyTokens
	}
	return q.checkNewTeams(r)
}

func (q *Queue) checkNewTeams(r *Report) Refusal {
	created := map[string]bool{}
	for _, c := range r.Counters {
		if q.teams[c.Team] == nil {
			created[c.Team] = true
		}
	}
	if len(q.teams)+len(created) > MaxTeams {
		return RefusedTableFull
	}
	return RefusedNone
}

func (q *Queue) checkCounter(inst *instance, c Counter) Refusal {
	if c.Cost > MaxCost || c.Normalized > c.Cost*millionths || c.Base > maxVirtualTime {
		return RefusedImpossibleCost
	}
	if c.Running > MaxTokens || c.Outstanding > uint64(c.Running)*MaxCountedHint*millionths {
		return RefusedImpossibleCost
	}
	var sum uint64
	if tm := q.teams[c.Team]; tm != nil {
		sum = tm.counters
	}
	if sum+c.Normalized > maxVirtualTime {
		return RefusedImpossibleCost
	}
	if inst == nil {
		return RefusedNone
	}
	old := inst.counters[c.Team]
	if c.Cost < old.Cost || c.Normalized < old.Normalized || c.Finished < old.Finished || c.Failed < old.Failed {
		return RefusedCounterDecreased
	}
	return RefusedNone
}

// makeCurrent makes inst the current instance of its endpoint unless a later one is
// known, and reports whether it is the current one.
func (q *Queue) makeCurrent(inst *instance) bool {
	old := q.current[inst.endpoint]
	if old == inst {
		return true
	}
	if old != nil && startedBefore(inst, old) {
		return false
	}
	if old != nil {
		q.deactivate(old)
		q.endGrants(old)
	}
	q.current[inst.endpoint] = inst
	q.eligible = nil
	return true
}

func startedBefore(a, b *instance) bool {
	if a.startedUnixMs != b.startedUnixMs {
		return a.startedUnixMs < b.startedUnixMs
	}
	return a.id < b.id
}

// mergeCounters adds the increase of the counters and takes the larger bases.
func (q *Queue) mergeCounters(inst *instance, r *Report) {
	first := !inst.hasAllCounters
	for _, c := range r.Counters {
		tm := q.team(c.Team)
		old := inst.counters[c.Team]
		inst.counters[c.Team] = c
		added := inst.unfolded(c) - inst.unfolded(old)
		tm.counters += added
		tm.cost += c.Cost - old.Cost
		if first {
			tm.replaceProvisional(added)
		}
		tm.base = max(tm.base, c.Base)
		q.markDirty(tm)
	}
}

// replaceProvisional reduces the provisional part of the base by a counter that has
// arrived, so that past charges are counted only once.
func (t *team) replaceProvisional(added uint64) {
	part := min(added, t.provisional)
	t.provisional -= part
	t.base -= part
}

func (q *Queue) updateInstance(now time.Time, inst *instance, r *Report) {
	if !inst.live || inst.draining != r.Draining {
		q.eligible = nil
	}
	inst.live = true
	inst.allFolded = false
	inst.lastReport = now
	inst.sequence = r.Sequence
	inst.hasAllCounters = inst.hasAllCounters || r.Full
	inst.address = r.Address
	inst.zone = r.Zone
	inst.draining = r.Draining
	inst.capacity = r.Capacity
	inst.fencing = r.FencingNumber
	inst.config = r.ConfigVersion
}

// replaceRunning replaces the outstanding charges of the listed teams. If the total
// over all teams differs from the report's total, teams are missing, and the agent
// is asked for a full report.
func (q *Queue) replaceRunning(inst *instance, r *Report) {
	if r.Full {
		q.dropRunning(inst)
	}
	for _, c := range r.Counters {
		q.dropCharge(inst, c.Team)
		if c.Running == 0 {
			continue
		}
		charge := runningCharge{team: q.team(c.Team), amount: c.Outstanding, requests: int(c.Running)}
		charge.team.outstanding += charge.amount
		charge.team.requests += charge.requests
		inst.running[c.Team] = charge
		inst.requests += charge.requests
		q.markDirty(charge.team)
	}
	if inst.requests > MaxTokens {
		// Keeps the sum of all hints within its bound.
		q.dropRunning(inst)
	}
	inst.runningIncomplete = inst.requests != int(r.Running)
}

func (q *Queue) dropRunning(inst *instance) {
	for name := range inst.running {
		q.dropCharge(inst, name)
	}
}

func (q *Queue) dropCharge(inst *instance, name string) {
	charge, ok := inst.running[name]
	if !ok {
		return
	}
	charge.team.outstanding -= charge.amount
	charge.team.requests -= charge.requests
	inst.requests -= charge.requests
	delete(inst.running, name)
	q.markDirty(charge.team)
}

// replaceTokens settles the grants that the report resolves and replaces the tokens
// that may be granted.
func (q *Queue) replaceTokens(now time.Time, inst *instance, r *Report, current bool) {
	clear(inst.listed)
	for _, token := range r.FreeTokens {
		inst.listed[token] = true
	}
	for token, g := range inst.grants {
		if q.settled(now, inst, token, g) {
			q.endGrant(g)
			delete(inst.grants, token)
		}
	}
	q.withholdTokens(inst)
	if !current || !inst.hasAllCounters || inst.draining || q.endpoints[inst.endpoint].Draining {
		return
	}
	for _, token := range r.FreeTokens {
		if inst.grants[token] == nil {
			inst.free = append(inst.free, token)
		}
	}
	if len(inst.free) > 0 {
		q.offering[inst.endpoint] = inst
	}
}

// settled reports whether the latest report shows the outcome of a grant: the
// request is in progress or has ended, or the token was not used.
func (q *Queue) settled(now time.Time, inst *instance, token string, g *grant) bool {
	if !inst.listed[token] {
		return true
	}
	switch g.state {
	case grantLost:
		return true
	case grantAccepted:
		return now.Sub(g.at) >= TokenLease
	default:
		return false
	}
}

// withholdTokens stops offering an instance's tokens.
func (q *Queue) withholdTokens(inst *instance) {
	inst.free = inst.free[:0]
	if q.offering[inst.endpoint] == inst {
		delete(q.offering, inst.endpoint)
	}
}

// endGrants drops the grants of an instance whose tokens can no longer be used.
func (q *Queue) endGrants(inst *instance) {
	for _, g := range inst.grants {
		q.endGrant(g)
	}
	clear(inst.grants)
}

// deactivate marks an instance as not live and drops its tokens and outstanding
// hints. Its grants stay, without their hints, until a report settles them, so that
// a token that is still leased is not granted again.
func (q *Queue) deactivate(inst *instance) {
	inst.live = false
	q.eligible = nil
	q.withholdTokens(inst)
	q.dropRunning(inst)
	for _, g := range inst.grants {
		q.endHint(g)
		q.deleteGranted(g)
	}
}

// nextBases returns the bases for the next reply and decrements their remaining
// copies.
func (q *Queue) nextBases() []TeamBase {
	n := min(len(q.pendingBases), MaxBasesPerReply)
	if n == 0 {
		return nil
	}
	taken := q.pendingBases[:n:n]
	rest := q.pendingBases[n:]
	out := make([]TeamBase, 0, n)
	for _, tm := range taken {
		out = append(out, TeamBase{Team: tm.name, Base: tm.base})
		tm.copiesLeft--
		if tm.copiesLeft > 0 {
			rest = append(rest, tm)
		} else {
			tm.basePending = false
		}
	}
	q.pendingBases = rest
	return out
}
