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
func (in *instance) unfolded(c Counter) uint64 {
	if folded := in.folded[c.Team]; folded < c.Normalized {
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
	for name, in := range q.current {
		e, ok := q.endpoints[name]
		if !ok {
			q.release(in)
			delete(q.current, name)
		}
		if e.Draining {
			q.withholdTokens(in)
		}
	}
	q.eligible = nil
}

// Report applies the report of one agent. A faulty report changes nothing.
func (q *Queue) Report(now time.Time, r Report) ReportResult {
	in := q.instances[r.Instance]
	if in != nil && in.endpoint == r.Endpoint && r.Sequence <= in.sequence {
		return ReportResult{Stale: true, Superseded: q.current[r.Endpoint] != in, VirtualTime: q.virtualTime}
	}
	if refusal := q.check(in, &r); refusal != RefusedNone {
		return ReportResult{Refused: refusal, VirtualTime: q.virtualTime}
	}
	if in == nil {
		q.evictOldestInstance()
		in = newInstance(&r)
		q.instances[r.Instance] = in
	}
	q.virtualTime = max(q.virtualTime, r.VirtualTime)
	current := q.makeCurrent(in)
	q.mergeCounters(in, &r)
	q.updateInstance(now, in, &r)
	q.replaceRunning(in, &r)
	q.replaceTokens(now, in, &r, current)
	q.endRebuild(now)
	return ReportResult{
		WantFull:    !in.hasAllCounters || in.runningIncomplete,
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
	for _, in := range q.instances {
		if q.current[in.endpoint] == in {
			continue
		}
		if oldest == nil || in.lastReport.Before(oldest.lastReport) {
			oldest = in
		}
	}
	q.release(oldest)
	q.fold(oldest)
	q.deleteInstance(oldest)
}

// check returns the reason for which a report must be refused, or RefusedNone.
func (q *Queue) check(in *instance, r *Report) Refusal {
	if _, ok := q.endpoints[r.Endpoint]; !ok || (in != nil && in.endpoint != r.Endpoint) {
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
	return q.checkCounters(in, r)
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

func (q *Queue) checkCounters(in *instance, r *Report) Refusal {
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
		if refusal := q.checkCounter(in, c); refusal != RefusedNone {
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

func (q *Queue) checkCounter(in *instance, c Counter) Refusal {
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
	if in == nil {
		return RefusedNone
	}
	old := in.counters[c.Team]
	if c.Cost < old.Cost || c.Normalized < old.Normalized || c.Finished < old.Finished || c.Failed < old.Failed {
		return RefusedCounterDecreased
	}
	return RefusedNone
}

// makeCurrent makes in the current instance of its endpoint unless a later one is
// known, and reports whether it is the current one.
func (q *Queue) makeCurrent(in *instance) bool {
	old := q.current[in.endpoint]
	if old == in {
		return true
	}
	if old != nil && startedBefore(in, old) {
		return false
	}
	if old != nil {
		q.release(old)
		q.endGrants(old)
	}
	q.current[in.endpoint] = in
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
func (q *Queue) mergeCounters(in *instance, r *Report) {
	first := !in.hasAllCounters
	for _, c := range r.Counters {
		tm := q.team(c.Team)
		old := in.counters[c.Team]
		in.counters[c.Team] = c
		added := in.unfolded(c) - in.unfolded(old)
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

func (q *Queue) updateInstance(now time.Time, in *instance, r *Report) {
	if !in.live || in.draining != r.Draining {
		q.eligible = nil
	}
	in.live = true
	in.allFolded = false
	in.lastReport = now
	in.sequence = r.Sequence
	in.hasAllCounters = in.hasAllCounters || r.Full
	in.address = r.Address
	in.zone = r.Zone
	in.draining = r.Draining
	in.capacity = r.Capacity
	in.fencing = r.FencingNumber
	in.config = r.ConfigVersion
}

// replaceRunning replaces the outstanding charges of the listed teams. If the total
// over all teams differs from the report's total, teams are missing, and the agent
// is asked for a full report.
func (q *Queue) replaceRunning(in *instance, r *Report) {
	if r.Full {
		q.dropRunning(in)
	}
	for _, c := range r.Counters {
		q.dropCharge(in, c.Team)
		if c.Running == 0 {
			continue
		}
		charge := runningCharge{team: q.team(c.Team), amount: c.Outstanding, requests: int(c.Running)}
		charge.team.outstanding += charge.amount
		charge.team.requests += charge.requests
		in.running[c.Team] = charge
		in.requests += charge.requests
		q.markDirty(charge.team)
	}
	if in.requests > MaxTokens {
		// Keeps the sum of all hints within its bound.
		q.dropRunning(in)
	}
	in.runningIncomplete = in.requests != int(r.Running)
}

func (q *Queue) dropRunning(in *instance) {
	for name := range in.running {
		q.dropCharge(in, name)
	}
}

func (q *Queue) dropCharge(in *instance, name string) {
	charge, ok := in.running[name]
	if !ok {
		return
	}
	charge.team.outstanding -= charge.amount
	charge.team.requests -= charge.requests
	in.requests -= charge.requests
	delete(in.running, name)
	q.markDirty(charge.team)
}

// replaceTokens settles the grants that the report resolves and replaces the tokens
// that may be granted.
func (q *Queue) replaceTokens(now time.Time, in *instance, r *Report, current bool) {
	clear(in.listed)
	for _, token := range r.FreeTokens {
		in.listed[token] = true
	}
	for token, g := range in.grants {
		if q.settled(now, in, token, g) {
			q.endGrant(g)
			delete(in.grants, token)
		}
	}
	q.withholdTokens(in)
	if !current || !in.hasAllCounters || in.draining || q.endpoints[in.endpoint].Draining {
		return
	}
	for _, token := range r.FreeTokens {
		if in.grants[token] == nil {
			in.free = append(in.free, token)
		}
	}
	if len(in.free) > 0 {
		q.offering[in.endpoint] = in
	}
}

// settled reports whether the latest report shows the outcome of a grant: the
// request is in progress or has ended, or the token was not used.
func (q *Queue) settled(now time.Time, in *instance, token string, g *grant) bool {
	if !in.listed[token] {
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
func (q *Queue) withholdTokens(in *instance) {
	in.free = in.free[:0]
	if q.offering[in.endpoint] == in {
		delete(q.offering, in.endpoint)
	}
}

// endGrants drops the grants of an instance whose tokens can no longer be used.
func (q *Queue) endGrants(in *instance) {
	for _, g := range in.grants {
		q.endGrant(g)
	}
	clear(in.grants)
}

// release drops the tokens and the outstanding hints of an instance. Its grants
// stay, without their hints, until a report settles them, so that a token that is
// still leased is not granted again.
func (q *Queue) release(in *instance) {
	in.live = false
	q.eligible = nil
	q.withholdTokens(in)
	q.dropRunning(in)
	for _, g := range in.grants {
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
