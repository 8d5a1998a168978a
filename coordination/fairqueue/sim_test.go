package fairqueue

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// simStep is the duration of one step of the simulation.
	simStep = 50 * time.Millisecond
	// simPeriod is the number of steps between two syncs or reports: 500 ms.
	simPeriod = 10
	// simPause is the number of steps for which a pausing team sends no requests.
	simPause = 200
	// simMaxCost is C, the largest cost of a request.
	simMaxCost = 40
	// simMaxLostInRow is the maximum number of consecutive lost messages of one
	// sender.
	simMaxLostInRow = 2
)

// testingT is the part of rapid.T and testing.T that the simulation uses.
type testingT interface {
	Fatalf(format string, args ...any)
}

// simOptions describes one random schedule.
type simOptions struct {
	seed      uint64
	endpoints int
	slots     int
	routers   int
	weights   []uint64
	// lateStep is the step at which the last team starts.
	lateStep int
	// pauseStep is the step at which the last team stops for simPause steps, 0 for
	// none.
	pauseStep int
	// replaceOwnerStep is the step at which a new owner takes over, 0 for none.
	replaceOwnerStep int
	// restartAgentStep is the step at which an agent restarts, 0 for none.
	restartAgentStep int
	// lossPercent is the percentage of messages that are lost.
	lossPercent int
	steps       int
}

type simRequest struct {
	id       string
	team     string
	attempt  uint32
	hint     uint64
	cost     uint64
	queuedAt time.Time
}

type simRouter struct {
	address   string
	seq       uint64
	lostInRow int
	// owner is the owner that received the last full sync.
	owner   int
	waiting map[string]*simRequest
}

type simActiveRequest struct {
	*simRequest
	token  string
	weight uint64
	done   uint64
}

type simAgent struct {
	endpoint  string
	instance  string
	started   int64
	seq       uint64
	lostInRow int
	tokens    int
	owner     int
	// offeredTo is the owner that the free tokens were offered to.
	offeredTo     int
	free          []string
	running       []*simActiveRequest
	counters      map[string]Counter
	acked         map[string]Counter
	bases         map[string]uint64
	virtual       uint64
	fullRequested bool
}

// tokenState is the expected state of a granted token.
type tokenState struct {
	at     time.Time
	result Resolution
	ended  bool
	// listedSince is set once a report after the end of the dispatch listed the
	// token.
	listedSince bool
}

// sim simulates a queue with entry routers and agents, loses, duplicates and
// reorders their messages, and checks the invariants at every step.
type sim struct {
	t            testingT
	options      simOptions
	rand         *rand.Rand
	q            *Queue
	owner        int
	ownerStarted time.Time
	now          time.Time
	step         int
	events       map[int][]func()
	routers      []*simRouter
	agents       []*simAgent
	weights      map[string]uint64
	nextID       int
	// service is the charged cost of each team.
	service  map[string]uint64
	finished map[string]int
	granted  map[string]*tokenState
	// offered holds, by instance, the last accepted report and its arrival time.
	offered   map[string]*simOffer
	gapRanges map[[2]string]*gapRange
	// serviceSinceGrant is, by team, the service of all teams since the team's last
	// grant.
	serviceSinceGrant map[string]uint64
	// largestGap is the largest gap relative to the bound.
	largestGap float64
}

type simOffer struct {
	seq    uint64
	at     time.Time
	tokens map[string]bool
	usable bool
}

// gapRange holds the smallest and the largest service difference of two teams while
// both are backlogged.
type gapRange struct{ low, high float64 }

func newSim(t testingT, o simOptions) *sim {
	s := &sim{
		t:                 t,
		options:           o,
		rand:              rand.New(rand.NewPCG(o.seed, 1)),
		now:               start,
		events:            map[int][]func(){},
		weights:           map[string]uint64{},
		service:           map[string]uint64{},
		finished:          map[string]int{},
		granted:           map[string]*tokenState{},
		gapRanges:         map[[2]string]*gapRange{},
		serviceSinceGrant: map[string]uint64{},
	}
	for i, w := range o.weights {
		s.weights[fmt.Sprint("team", i)] = w
	}
	for i := range o.routers {
		s.routers = append(s.routers, &simRouter{address: fmt.Sprint("r", i), waiting: map[string]*simRequest{}})
	}
	for i := range o.endpoints {
		a := &simAgent{endpoint: fmt.Sprint("e", i)}
		s.agents = append(s.agents, a)
		s.startAgent(a)
	}
	s.newOwner()
	return s
}

func (s *sim) newOwner() {
	s.owner++
	s.ownerStarted = s.now
	s.q = New(s.now, Options{Rand: s.rand})
	s.offered = map[string]*simOffer{}
	var list []Endpoint
	for _, a := range s.agents {
		list = append(list, Endpoint{Name: a.endpoint})
	}
	s.q.SetEndpoints(list)
}

func (s *sim) startAgent(a *simAgent) {
	a.started++
	a.instance = fmt.Sprint(a.endpoint, "-", a.started)
	a.seq, a.owner, a.virtual = 0, 0, 0
	a.free, a.running = nil, nil
	a.counters, a.acked, a.bases = map[string]Counter{}, map[string]Counter{}, map[string]uint64{}
	for range s.options.slots {
		s.newToken(a)
	}
}

func (s *sim) newToken(a *simAgent) {
	a.tokens++
	a.free = append(a.free, fmt.Sprint("t", a.tokens))
}

func (s *sim) schedule(steps int, f func()) {
	s.events[s.step+steps] = append(s.events[s.step+steps], f)
}

func (s *sim) chance(percent int) bool { return s.rand.IntN(100) < percent }

// deliver sends a message that may be lost, delayed and duplicated.
func (s *sim) deliver(lostInRow *int, f func()) {
	if *lostInRow < simMaxLostInRow && s.chance(s.options.lossPercent) {
		*lostInRow++
		return
	}
	*lostInRow = 0
	s.schedule(s.rand.IntN(4), f)
	if s.chance(s.options.lossPercent) {
		s.schedule(s.rand.IntN(8), f)
	}
}

func (s *sim) run() {
	for s.step = 0; s.step < s.options.steps; s.step++ {
		s.now = start.Add(time.Duration(s.step) * simStep)
		if s.step > 0 && s.step == s.options.replaceOwnerStep {
			s.newOwner()
		}
		if s.step > 0 && s.step == s.options.restartAgentStep {
			s.startAgent(s.agents[0])
		}
		s.enqueueRequests()
		s.meterRequests()
		s.sendPeriodic()
		// An event may add others to the same step.
		for i := 0; i < len(s.events[s.step]); i++ {
			s.events[s.step][i]()
			s.grantTokens()
		}
		delete(s.events, s.step)
		if s.step%5 == 0 {
			s.q.Tick(s.now)
			s.grantTokens()
		}
		s.checkGaps()
	}
}

// enqueueRequests keeps every team backlogged at every router, except for the late
// start and the pause of the last team.
func (s *sim) enqueueRequests() {
	for i := range s.options.weights {
		pausing := s.options.pauseStep > 0 && s.step >= s.options.pauseStep && s.step < s.options.pauseStep+simPause
		if i == len(s.options.weights)-1 && (s.step < s.options.lateStep || pausing) {
			continue
		}
		for _, r := range s.routers {
			s.fillQueue(r, fmt.Sprint("team", i))
		}
	}
}

func (s *sim) fillQueue(r *simRouter, team string) {
	waiting := 0
	for _, req := range r.waiting {
		if req.team == team {
			waiting++
		}
	}
	var tickets []Ticket
	for ; waiting < 2*s.options.slots*s.options.endpoints; waiting++ {
		s.nextID++
		req := &simRequest{
			id:       fmt.Sprintf("q%05d", s.nextID),
			team:     team,
			attempt:  1,
			hint:     uint64(s.rand.IntN(simMaxCost + 1)),
			cost:     uint64(1 + s.rand.IntN(simMaxCost)),
			queuedAt: s.now,
		}
		r.waiting[req.id] = req
		tickets = append(tickets, ticketOf(req))
	}
	if len(tickets) > 0 {
		s.send(r, tickets, false)
	}
}

func ticketOf(r *simRequest) Ticket {
	return Ticket{Request: r.id, Attempt: r.attempt, Team: r.team, Hint: r.hint, QueuedAt: r.queuedAt}
}

func (s *sim) send(r *simRouter, tickets []Ticket, full bool) {
	r.seq++
	seq := r.seq
	s.deliver(&r.lostInRow, func() { s.q.Sync(s.now, r.address, "i", seq, tickets, full) })
}

// sendDigest sends the digest of the waiting tickets. If the owner asks for a full
// sync and its reply arrives, the tickets are sent.
func (s *sim) sendDigest(r *simRouter) {
	r.seq++
	seq := r.seq
	var d Digest
	for _, req := range r.waiting {
		d.Add(req.id, req.attempt)
	}
	s.deliver(&r.lostInRow, func() {
		s.q.Sync(s.now, r.address, "i", seq, nil, false)
		if s.q.CompareDigest(s.now, r.address, "i", seq, d) && !s.chance(s.options.lossPercent) {
			s.send(r, r.tickets(), true)
		}
	})
}

// tickets returns the waiting tickets ordered by request.
func (r *simRouter) tickets() []Ticket {
	var tickets []Ticket
	for _, id := range slices.Sorted(maps.Keys(r.waiting)) {
		tickets = append(tickets, ticketOf(r.waiting[id]))
	}
	return tickets
}

// meterRequests advances and meters the requests in progress and ends those that
// are complete.
func (s *sim) meterRequests() {
	for _, a := range s.agents {
		freed := false
		a.running = slices.DeleteFunc(a.running, func(active *simActiveRequest) bool {
			s.meter(a, active, min(uint64(1+s.rand.IntN(8)), active.cost-active.done))
			if active.done < active.cost {
				return false
			}
			c := a.counters[active.team]
			c.Finished++
			a.counters[active.team] = c
			s.finished[active.team]++
			s.newToken(a)
			freed = true
			return true
		})
		if freed {
			s.report(a, true)
		}
	}
}

func (s *sim) meter(a *simAgent, active *simActiveRequest, units uint64) {
	active.done += units
	c := a.counters[active.team]
	c.Team = active.team
	c.Cost += units
	c.Normalized += units * millionths / active.weight
	a.counters[active.team] = c
	s.service[active.team] += units
	for team := range s.weights {
		s.serviceSinceGrant[team] += units
	}
}

func (s *sim) sendPeriodic() {
	for i, r := range s.routers {
		switch {
		case (s.step+3*i)%simPeriod != 0:
		case r.owner != s.owner:
			r.owner = s.owner
			s.send(r, r.tickets(), true)
		default:
			s.sendDigest(r)
		}
	}
	for i, a := range s.agents {
		if (s.step+3*i)%simPeriod == 5 {
			s.report(a, false)
		}
	}
}

// report sends a report. A brief one lists only the teams whose requests were
// accepted or ended.
func (s *sim) report(a *simAgent, brief bool) {
	a.seq++
	if a.offeredTo != s.owner {
		// Tokens are bound to the owner to which they were offered.
		a.offeredTo = s.owner
		n := len(a.free)
		a.free = nil
		for range n {
			s.newToken(a)
		}
	}
	full := a.fullRequested || a.owner != s.owner
	owner := s.owner
	r := Report{
		Endpoint:      a.endpoint,
		Instance:      a.instance,
		Address:       a.endpoint,
		StartedUnixMs: a.started,
		Sequence:      a.seq,
		FreeTokens:    slices.Clone(a.free),
		Full:          full,
		VirtualTime:   a.virtual,
	}
	running := a.outstanding()
	for team := range s.weights {
		c := a.counters[team]
		c.Team, c.Base = team, a.bases[team]
		c.Running, c.Outstanding = running[team].Running, running[team].Outstanding
		r.Running += c.Running
		acked := a.acked[team]
		requestsChanged := acked.Running != c.Running || acked.Finished != c.Finished
		if full || requestsChanged || (!brief && acked != c) {
			r.Counters = append(r.Counters, c)
		}
	}
	s.deliver(&a.lostInRow, func() { s.receive(a, owner, r, running) })
}

// outstanding returns the requests in progress and their outstanding hints by team.
func (a *simAgent) outstanding() map[string]Counter {
	out := map[string]Counter{}
	for _, active := range a.running {
		c := out[active.team]
		c.Running++
		if active.hint > active.done {
			c.Outstanding += (active.hint - active.done) * millionths / active.weight
		}
		out[active.team] = c
	}
	return out
}

// checkRunning checks that the queue's requests in progress match a report.
func (s *sim) checkRunning(r Report, running map[string]Counter) {
	inst := s.q.instances[r.Instance]
	for team := range s.weights {
		if got, want := inst.running[team].requests, int(running[team].Running); got != want {
			s.t.Fatalf("step %d: %s has %d requests of %s in progress, the queue has %d", s.step, r.Instance, want, team, got)
		}
	}
	for _, c := range r.Counters {
		if got, want := inst.running[c.Team].amount, running[c.Team].Outstanding; got != want {
			s.t.Fatalf("step %d: %s has outstanding hints of %d of %s, the queue has %d", s.step, r.Instance, want, c.Team, got)
		}
	}
}

func (s *sim) receive(a *simAgent, owner int, r Report, running map[string]Counter) {
	if owner != s.owner {
		return
	}
	result := s.q.Report(s.now, r)
	if result.Refused != RefusedNone {
		s.t.Fatalf("step %d: report refused: %s", s.step, result.Refused)
	}
	if !result.Stale {
		s.recordOffer(r, result)
		if !result.WantFull {
			s.checkRunning(r, running)
		}
	}
	if r.Instance != a.instance || s.chance(s.options.lossPercent) {
		return
	}
	a.owner, a.fullRequested = s.owner, result.WantFull
	a.virtual = max(a.virtual, result.VirtualTime)
	for _, c := range r.Counters {
		a.acked[c.Team] = c
	}
	for _, b := range result.Bases {
		a.bases[b.Team] = max(a.bases[b.Team], b.Base)
	}
}

func (s *sim) recordOffer(r Report, result ReportResult) {
	offer := &simOffer{seq: r.Sequence, at: s.now, tokens: map[string]bool{}, usable: !result.WantFull && !result.Superseded}
	for _, token := range r.FreeTokens {
		g := s.granted[r.Instance+token]
		if g != nil && g.ended {
			g.listedSince = true
		}
		offer.tokens[token] = g == nil || (g.ended && (g.result != Accepted || s.now.Sub(g.at) >= TokenLease))
	}
	if !result.Superseded {
		// An earlier instance of the endpoint is superseded now.
		for _, a := range s.agents {
			for n := int64(1); a.endpoint == r.Endpoint && n < r.StartedUnixMs; n++ {
				delete(s.offered, fmt.Sprint(a.endpoint, "-", n))
			}
		}
	}
	s.offered[r.Instance] = offer
}

// grantTokens takes all grants and checks that no usable token stays free.
func (s *sim) grantTokens() {
	for {
		g, ok := s.q.Next(s.now, func(team string) uint64 { return s.weights[team] })
		if !ok {
			break
		}
		s.recordGrant(g)
	}
	if s.q.Waiting() == 0 || !s.q.ready {
		if s.now.Sub(s.ownerStarted) > RebuildTimeout+5*simStep && !s.q.ready {
			s.t.Fatalf("step %d: the rebuild has not ended", s.step)
		}
		return
	}
	for instance, offer := range s.offered {
		for token, free := range offer.tokens {
			if free && offer.usable && s.now.Sub(offer.at) <= OfferTTL {
				s.t.Fatalf("step %d: token %s of %s is free while %d tickets wait", s.step, token, instance, s.q.Waiting())
			}
		}
	}
}

func (s *sim) recordGrant(g Grant) {
	key := g.Instance + g.Token
	if old := s.granted[key]; old != nil {
		again := old.ended && (old.result == Gone || old.listedSince)
		if old.result == Accepted && s.now.Sub(old.at) < TokenLease {
			again = false
		}
		if !again {
			s.t.Fatalf("step %d: token %s granted twice", s.step, key)
		}
	}
	state := &tokenState{at: s.now}
	s.granted[key] = state
	offer := s.offered[g.Instance]
	if offer == nil {
		s.t.Fatalf("step %d: token of superseded instance %s granted", s.step, g.Instance)
	}
	offer.tokens[g.Token] = false
	s.serviceSinceGrant[g.Ticket.Team] = 0
	s.dispatch(g, state)
}

// dispatch simulates the dispatch of a grant to the entry router.
func (s *sim) dispatch(g Grant, state *tokenState) {
	q, owner := s.q, s.owner
	end := func(steps int, result Resolution) {
		s.schedule(steps, func() {
			state.ended, state.result = true, result
			if owner == s.owner {
				q.Resolve(s.now, g, result)
				if offer := s.offered[g.Instance]; result == Gone && offer != nil {
					if _, listed := offer.tokens[g.Token]; listed {
						offer.tokens[g.Token] = true
					}
				}
			}
		})
	}
	lost := s.chance(s.options.lossPercent)
	if lost && s.chance(50) {
		end(20, Lost)
		return
	}
	s.schedule(s.rand.IntN(3), func() {
		accepted := s.accept(g)
		switch {
		case lost:
			end(18, Lost)
		case accepted:
			end(s.rand.IntN(3), Accepted)
		default:
			end(s.rand.IntN(3), Gone)
		}
	})
}

// accept sends the request to the agent if it is still waiting.
func (s *sim) accept(g Grant) bool {
	var r *simRouter
	for _, candidate := range s.routers {
		if candidate.address == g.Ticket.Router {
			r = candidate
		}
	}
	req := r.waiting[g.Ticket.Request]
	if req == nil || req.attempt != g.Ticket.Attempt {
		return false
	}
	delete(r.waiting, req.id)
	s.schedule(s.rand.IntN(3), func() { s.startRequest(r, req, g) })
	return true
}

// startRequest starts the request at the agent, or queues it again as a new
// attempt.
func (s *sim) startRequest(r *simRouter, req *simRequest, g Grant) {
	for _, a := range s.agents {
		i := slices.Index(a.free, g.Token)
		if a.instance != g.Instance || i < 0 {
			continue
		}
		a.free = slices.Delete(a.free, i, i+1)
		a.running = append(a.running, &simActiveRequest{simRequest: req, token: g.Token, weight: g.Weight})
		return
	}
	retried := *req
	retried.attempt++
	r.waiting[retried.id] = &retried
}

// backlogged reports whether the owner knows of waiting tickets. A new owner counts
// as knowing them from its start.
func (s *sim) backlogged(team string) bool {
	if tm := s.q.teams[team]; tm != nil && tm.backlogged() {
		return true
	}
	if s.now.Sub(s.ownerStarted) > LivenessTimeout || s.owner == 1 {
		return false
	}
	for _, r := range s.routers {
		for _, req := range r.waiting {
			if req.team == team {
				return true
			}
		}
	}
	return false
}

// bound returns the fairness bound for two weights. A new owner may lack the
// counters of agents whose reports were lost, which adds what all slots charge
// until the third report, and one request each. A restart loses what was not
// reported, at most one request per slot.
func (s *sim) bound(a, b uint64) float64 {
	tokens := float64(s.options.slots * s.options.endpoints)
	sum := 2 * tokens * simMaxCost
	if s.options.replaceOwnerStep > 0 {
		sum += tokens * (8*simPeriod*(simMaxLostInRow+1) + simMaxCost)
	}
	if s.options.restartAgentStep > 0 {
		sum += tokens * simMaxCost
	}
	return sum / float64(min(a, b))
}

func (s *sim) checkGaps() {
	for i := range s.options.weights {
		a := fmt.Sprint("team", i)
		if !s.backlogged(a) {
			s.serviceSinceGrant[a] = 0
		}
		s.checkStarvation(a)
		for j := range i {
			s.checkGap(a, fmt.Sprint("team", j))
		}
	}
}

func (s *sim) checkGap(a, b string) {
	key := [2]string{a, b}
	if !s.backlogged(a) || !s.backlogged(b) {
		delete(s.gapRanges, key)
		return
	}
	difference := float64(s.service[a])/float64(s.weights[a]) - float64(s.service[b])/float64(s.weights[b])
	gaps := s.gapRanges[key]
	if gaps == nil {
		gaps = &gapRange{difference, difference}
		s.gapRanges[key] = gaps
	}
	gaps.low, gaps.high = min(gaps.low, difference), max(gaps.high, difference)
	bound := s.bound(s.weights[a], s.weights[b])
	s.largestGap = max(s.largestGap, (gaps.high-gaps.low)/bound)
	if gaps.high-gaps.low > bound {
		s.t.Fatalf("step %d: gap %.0f between %s and %s is above %.0f", s.step, gaps.high-gaps.low, a, b, bound)
	}
}

// checkStarvation bounds the service of all teams between two grants to a
// backlogged team: the service of each of them exceeds that team's by at most the
// bound, per weight.
func (s *sim) checkStarvation(team string) {
	var limit float64
	for _, w := range s.weights {
		limit += float64(w) * (s.bound(s.weights[team], w) + float64(s.options.slots*s.options.endpoints*simMaxCost)/float64(s.weights[team]))
	}
	if float64(s.serviceSinceGrant[team]) > limit {
		s.t.Fatalf("step %d: %s starves: service of all teams since its last grant is %d", s.step, team, s.serviceSinceGrant[team])
	}
}
