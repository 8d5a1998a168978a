package fairqueue

import "time"

// instance is one run of an agent. Its counters outlive its tokens.
type instance struct {
	id            string
	endpoint      string
	address       string
	zone          string
	startedUnixMs int64
	sequence      uint64
	// heard is the time of the last report.
	heard time.Time
	// live is cleared after SilentAfter without a report.
	live bool
	// full is set once all counters are known.
	full     bool
	draining bool
	capacity uint32
	fencing  uint64
	config   uint64

	counters map[string]Counter
	// folded holds the normalized cost that has moved into the bases, and
	// resting is set while all of it has.
	folded  map[string]uint64
	resting bool
	// running holds what is outstanding by team, and requests is the number of
	// requests of all teams.
	running  map[string]runningCharge
	requests int
	// partial is set while running may lack teams.
	partial bool
	// listed holds the tokens that the last report listed as free.
	listed map[string]bool
	// free lists the tokens that may be granted.
	free   []string
	grants map[string]*grant
}

// runningCharge is the part of the hints of a team's running requests that
// isn't metered yet.
type runningCharge struct {
	team     *team
	amount   uint64
	requests int
}

// counted is the part of a counter that isn't in a base.
func (in *instance) counted(c Counter) uint64 {
	if folded := in.folded[c.Team]; folded < c.Normalized {
		return c.Normalized - folded
	}
	return 0
}

// SetEndpoints names the endpoints that may report. Tokens of others are dropped.
func (q *Queue) SetEndpoints(endpoints []Endpoint) {
	clear(q.known)
	for _, e := range endpoints {
		q.known[e.Name] = e
	}
	for name, in := range q.agents {
		e, ok := q.known[name]
		if !ok {
			q.release(in)
			delete(q.agents, name)
		}
		if e.Draining {
			q.withholdTokens(in)
		}
	}
	q.eligible = nil
}

// Report takes the state of one agent. A faulty report changes nothing.
func (q *Queue) Report(now time.Time, r Report) ReportResult {
	in := q.instances[r.Instance]
	if in != nil && in.endpoint == r.Endpoint && r.Sequence <= in.sequence {
		return ReportResult{Stale: true, Superseded: q.agents[r.Endpoint] != in, VirtualTime: q.virtual}
	}
	if refusal := q.check(in, &r); refusal != RefusedNone {
		return ReportResult{Refused: refusal, VirtualTime: q.virtual}
	}
	if in == nil {
		q.makeRoom()
		in = newInstance(&r)
		q.instances[r.Instance] = in
	}
	q.virtual = max(q.virtual, r.VirtualTime)
	current := q.takeOver(in)
	q.mergeCounters(in, &r)
	q.describe(now, in, &r)
	q.replaceRunning(in, &r)
	q.replaceTokens(now, in, &r, current)
	q.endRebuild(now)
	return ReportResult{
		WantFull:    !in.full || in.partial,
		Superseded:  !current,
		Bases:       q.takeBases(),
		VirtualTime: q.virtual,
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

// makeRoom forgets the instance that is silent for longest if the table is
// full. There is always one, because only MaxAgents are current.
func (q *Queue) makeRoom() {
	if len(q.instances) < MaxInstances {
		return
	}
	var oldest *instance
	for _, in := range q.instances {
		if q.agents[in.endpoint] == in {
			continue
		}
		if oldest == nil || in.heard.Before(oldest.heard) {
			oldest = in
		}
	}
	q.release(oldest)
	q.fold(oldest)
	q.forgetInstance(oldest)
}

// check returns the reason for which a report must be refused whole.
func (q *Queue) check(in *instance, r *Report) Refusal {
	if _, ok := q.known[r.Endpoint]; !ok || (in != nil && in.endpoint != r.Endpoint) {
		return RefusedUnknownEndpoint
	}
	if uint64(len(r.FreeTokens))+uint64(r.Running) > MaxTokens {
		return RefusedTooManyTokens
	}
	if q.agents[r.Endpoint] == nil && len(q.agents) >= MaxAgents {
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
	if r.VirtualTime > maxVirtual {
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
	if c.Cost > MaxCost || c.Normalized > c.Cost*millionths || c.Base > maxVirtual {
		return RefusedImpossibleCost
	}
	if c.Running > MaxTokens || c.Outstanding > uint64(c.Running)*MaxCountedHint*millionths {
		return RefusedImpossibleCost
	}
	var sum uint64
	if tm := q.teams[c.Team]; tm != nil {
		sum = tm.counters
	}
	if sum+c.Normalized > maxVirtual {
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

// takeOver makes in the current instance of its endpoint unless a later one
// is known, and reports whether it is the current one.
func (q *Queue) takeOver(in *instance) bool {
	old := q.agents[in.endpoint]
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
	q.agents[in.endpoint] = in
	q.eligible = nil
	return true
}

func startedBefore(a, b *instance) bool {
	if a.startedUnixMs != b.startedUnixMs {
		return a.startedUnixMs < b.startedUnixMs
	}
	return a.id < b.id
}

// mergeCounters adds what is new in the counters and takes the larger bases.
func (q *Queue) mergeCounters(in *instance, r *Report) {
	first := !in.full
	for _, c := range r.Counters {
		tm := q.team(c.Team)
		old := in.counters[c.Team]
		in.counters[c.Team] = c
		added := in.counted(c) - in.counted(old)
		tm.counters += added
		tm.cost += c.Cost - old.Cost
		if first {
			tm.prove(added)
		}
		tm.base = max(tm.base, c.Base)
		q.touch(tm)
	}
}

// prove replaces a part of the base that stood for unseen counters by a
// counter that arrived, so that past charges count once.
func (t *team) prove(added uint64) {
	part := min(added, t.unproven)
	t.unproven -= part
	t.base -= part
}

func (q *Queue) describe(now time.Time, in *instance, r *Report) {
	if !in.live || in.draining != r.Draining {
		q.eligible = nil
	}
	in.live = true
	in.resting = false
	in.heard = now
	in.sequence = r.Sequence
	in.full = in.full || r.Full
	in.address = r.Address
	in.zone = r.Zone
	in.draining = r.Draining
	in.capacity = r.Capacity
	in.fencing = r.FencingNumber
	in.config = r.ConfigVersion
}

// replaceRunning takes what is outstanding for the listed teams. If the sum
// over all teams isn't what the report says, some are missing, and the agent is
// asked for a full report.
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
		q.touch(charge.team)
	}
	if in.requests > MaxTokens {
		// Keeps the sum of all hints within its bound.
		q.dropRunning(in)
	}
	in.partial = in.requests != int(r.Running)
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
	q.touch(charge.team)
}

// replaceTokens settles the grants that the report tells about and takes the
// tokens that may be granted.
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
	if !current || !in.full || in.draining || q.known[in.endpoint].Draining {
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

// settled reports whether the latest report shows what became of a grant: the
// request runs or ended, or the token wasn't used.
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

// withholdTokens takes an instance's tokens out of the offers.
func (q *Queue) withholdTokens(in *instance) {
	in.free = in.free[:0]
	if q.offering[in.endpoint] == in {
		delete(q.offering, in.endpoint)
	}
}

// endGrants drops the grants of an instance whose tokens can't be used any more.
func (q *Queue) endGrants(in *instance) {
	for _, g := range in.grants {
		q.endGrant(g)
	}
	clear(in.grants)
}

// release drops the tokens and the outstanding hints of an instance. Its
// grants stay, without their hints, until a report settles them, so that a
// token that is still leased isn't granted again.
func (q *Queue) release(in *instance) {
	in.live = false
	q.eligible = nil
	q.withholdTokens(in)
	q.dropRunning(in)
	for _, g := range in.grants {
		q.endHint(g)
		q.forgetRequest(g)
	}
}

// takeBases returns the next bases to send and counts their copies.
func (q *Queue) takeBases() []TeamBase {
	n := min(len(q.bases), MaxBasesPerReply)
	if n == 0 {
		return nil
	}
	taken := q.bases[:n:n]
	rest := q.bases[n:]
	out := make([]TeamBase, 0, n)
	for _, tm := range taken {
		out = append(out, TeamBase{Team: tm.name, Base: tm.base})
		tm.copies--
		if tm.copies > 0 {
			rest = append(rest, tm)
		} else {
			tm.queued = false
		}
	}
	q.bases = rest
	return out
}
