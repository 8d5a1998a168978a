package dispatch

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/incarnation"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/coordination/requestlimit"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/coordination/warmup"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

const (
	// levelRefreshInterval is how long the computed max-min levels are cached.
	levelRefreshInterval = 100 * time.Millisecond
	// usageIdleTimeout is the time without requests or reports after which the
	// usage counts of a team or peer are evicted.
	usageIdleTimeout = 30 * time.Second
	// initialPrefillRate is the assumed prefill rate of an engine, in prompt
	// tokens per ms, until the configured token rate is known.
	initialPrefillRate = 40.0
	// prefillRateFactor is the ratio of an engine's prefill rate to its part of
	// the configured token rate, which also covers generated tokens.
	prefillRateFactor = 2.0
	// maxPlacedParts is the number of placed parts from which no further
	// placement is added to a report to peers.
	maxPlacedParts = 32
)

// Dispatcher assigns requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	policy   placement.Policy
	zone     string
	registry *registry.Table
	// evacuations holds the zones whose endpoints get nothing new.
	evacuations *evacuation.Table

	mu    sync.Mutex
	loads *endpointload.Table
	teams map[string]*team
	peers map[string]*peerUsage
	// peerTeams sums the usage of all peers by team, so that the cost of a placement
	// doesn't grow with the size of the fleet.
	peerTeams map[uint32]fairshare.Usage
	budgets   map[string]*retry.Budget
	limits    retry.Limits
	// retryStart bounds the retries while it isn't known what was retried before this process began.
	retryStart retry.Start
	// routers is the number of routers that run, and budgetRouters that of those which may use the retry budget,
	// also while they aren't heard.
	routers, budgetRouters int
	// capacity is the configured token rate of all engines, in tokens per second.
	capacity float64
	// configuredLevel is a team's max-min share of the configured token rate.
	// achievedLevel is its share of the tokens that the engines processed.
	// Both are in tokens over the fairness window.
	configuredLevel int64
	achievedLevel   int64
	// servedLimit is the throughput above which a team that requests more than its share
	// waits until the least served of these teams has caught up, in tokens over the
	// fairness window; 0 if engines begin at least half of what each of them requests.
	// leastServed is the hash of the least served team, which the limit does not apply to.
	servedLimit     int64
	leastServed     uint32
	levelsUpdatedAt time.Time
	placed          []PlacedPart
	// crashingParts is signaled through crashNews when peers should be told about it.
	crashingParts *quarantine.Table
	crashNews     chan struct{}
	// unsavedCrashes is set while this router's observations aren't in the store.
	unsavedCrashes bool
	// waiting holds the attempts with shared parts that have no response yet.
	waiting map[*Assignment]struct{}
	// responding holds the attempts whose first event was received.
	responding map[*Assignment]struct{}
	// survivorsAt is when it was last recorded how long they have lasted.
	survivorsAt time.Time
	// requestLimits is signaled through limitNews when peers should be told about it.
	requestLimits *requestlimit.Table
	limitNews     chan struct{}
	// incarnations holds the endpoints that may have restarted since their entries were read.
	incarnations *incarnation.Table
	cold         coldState
	// candidateBuffer, usableBuffer and choiceBuffer are reused across placements.
	candidateBuffer []placement.Candidate
	usableBuffer    []int
	choiceBuffer    engineChoice
}

type team struct {
	window      fairshare.Window
	lastRequest time.Time
}

type peerUsage struct {
	// receivedAt is the time of the latest report, teamsReceivedAt that of the latest
	// report with teams.
	receivedAt, teamsReceivedAt time.Time
	teams                       []TeamUsage
}

// PlacedPart records that a prompt part was sent to an endpoint other than its
// home.
type PlacedPart struct {
	Endpoint uint32
	Part     uint64
}

// New returns a Dispatcher for a router in zone.
func New(zone string, endpoints *registry.Table, policy placement.Policy, limits retry.Limits) *Dispatcher {
	return &Dispatcher{
		policy:    policy,
		zone:      zone,
		registry:  endpoints,
		loads:     endpointload.NewTable(initialPrefillRate),
		teams:     map[string]*team{},
		peers:     map[string]*peerUsage{},
		peerTeams: map[uint32]fairshare.Usage{},
		budgets:   map[string]*retry.Budget{},
		limits:    limits,
		routers:   1, budgetRouters: 1,

		crashingParts: quarantine.NewTable(),
		crashNews:     make(chan struct{}, 1),
		waiting:       map[*Assignment]struct{}{},
		responding:    map[*Assignment]struct{}{},
		requestLimits: requestlimit.NewTable(),
		limitNews:     make(chan struct{}, 1),
		incarnations:  incarnation.NewTable(),
		evacuations:   evacuation.NewTable(),
		cold:          newColdState(),
	}
}

// SetCapacity sets the total token rate of all engines and their number.
func (d *Dispatcher) SetCapacity(tokensPerSecond float64, engines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = tokensPerSecond
	if tokensPerSecond > 0 && engines > 0 {
		d.loads.SetDefaultRate(prefillRateFactor * tokensPerSecond / 1000 / float64(engines))
	}
}

// HasUsable reports whether a service has a usable endpoint of a build that is not in
// exclude.
func (d *Dispatcher) HasUsable(now time.Time, service string, exclude []string, build streamorigin.Build) bool {
	endpoints := d.readyEndpoints(&Request{Service: service, Exclude: exclude, Build: build})
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(endpoints, func(e registry.Endpoint) bool {
		if !d.loads.View(now, e.ID, nil).Usable || !d.allowed(now, e.ID) {
			return false
		}
		allowed, _ := d.allowedCold(now, &e)
		return allowed
	})
}

// Request describes a request to place.
type Request struct {
	Service string
	Team    string
	Cost    prompt.Cost
	// Fingerprint identifies repetitions of the request; 0 if it is unknown.
	Fingerprint uint64
	// Target is the latency target.
	Target time.Duration
	// Exclude lists the IDs of endpoints that were tried before.
	Exclude []string
	// Build is the only build that can run the request, or streamorigin.AnyBuild.
	Build streamorigin.Build
	// Resumable is set if the request begins or continues a stream that another endpoint of the
	// same build may continue.
	Resumable bool
	// Continued is set if the caller has the first events of the stream.
	Continued bool
	// Repeated is set if an endpoint may already have run the request, or the beginning of
	// the stream that it continues. Its team's share was checked and charged before the first
	// attempt and does not limit it again: the interrupted response would be lost.
	Repeated bool
	// Begun is set if the caller has the first events of the present response, which is cut
	// off if no endpoint continues it. Limits on new requests don't apply.
	Begun bool
}

// Refusal explains why a request was not placed.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Allowance, CapacityWait and Candidates are the inputs of the decision:
	// the team's allowance, the shortest expected time until an engine has
	// capacity, and the number of usable endpoints.
	Allowance    float64
	CapacityWait time.Duration
	Candidates   int
}

// Reason is the cause of a refusal.
type Reason string

const (
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint Reason = "no usable endpoint"
	// Evacuated means that all endpoints of the service that could run the request are in evacuated
	// zones.
	Evacuated Reason = "all endpoints are in evacuated zones"
	// Paused means that all endpoints of the service have asked for a pause.
	Paused Reason = "all endpoints want no requests"
	// Saturated means that no endpoint can start the request within the
	// latency target.
	Saturated Reason = "all endpoints are saturated"
	// OverShare means that the team exceeds its fair share and no endpoint has
	// capacity left for its reduced allowance.
	OverShare Reason = "team is above its share"
	// Quarantined means that the request, or requests with some of the prompt's parts,
	// crash endpoints.
	Quarantined Reason = "the request crashes endpoints"
)

// Assignment is one attempt to run a request at an endpoint.
type Assignment struct {
	Endpoint registry.Endpoint
	// ExpectedWait is the expected time until the endpoint starts the request.
	ExpectedWait time.Duration
	// UncachedTokens is the number of shared prompt tokens that the endpoint
	// has not cached.
	UncachedTokens int64

	dispatcher *Dispatcher
	attempt    *endpointload.Attempt
	// sharedParts holds the IDs of the prompt's shared parts. served is set once the
	// endpoint has served a request with them.
	sharedParts []uint64
	served      bool
	fingerprint uint64
	// firstEventAt is when the first event was received; zero before.
	firstEventAt time.Time
	// turn is the turn that was taken for the request at a cold endpoint, until it is sent.
	turn warmup.Turn
	// cancel ends the attempt if the request is quarantined; quarantined is set if it did.
	cancel      func()
	quarantined bool
	// charge is the charge to the team; nil without a team or after a refund.
	charge *charge
}

// charge records the units that a request counts against its team's share.
type charge struct {
	team  *team
	at    time.Time
	units int64
	// target is the latency target of the request.
	target time.Duration
}

// RecordRequest counts a request towards the service's retry budget and, if
// name is not empty, towards the demand of that team. It is called once per
// request, before the first placement.
func (d *Dispatcher) RecordRequest(now time.Time, service, name string, units int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).CountRequest(now)
	if name != "" {
		d.team(now, name).window.AddRequested(now, units)
	}
}

func (d *Dispatcher) team(now time.Time, name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{}
		d.teams[name] = t
	}
	t.lastRequest = now
	return t
}

// PlaceEngine chooses a model engine for a request. Exactly one of the results
// is nil.
func (d *Dispatcher) PlaceEngine(now time.Time, request *Request) (*Assignment, *Refusal) {
	endpoints := d.readyEndpoints(request)
	d.mu.Lock()
	defer d.mu.Unlock()
	allowance := 1.0
	if !request.Repeated {
		allowance = d.allowance(now, request.Team)
	}
	d.countRequest(now, request)
	choice, refusal := d.chooseEngine(now, request, endpoints, allowance, nil)
	if refusal != nil {
		return nil, refusal
	}
	return d.startEngine(now, request, choice), nil
}

// engineChoice is the engine that chooseEngine chose for a request.
type engineChoice struct {
	endpoint  registry.Endpoint
	candidate placement.Candidate
	// home is the ID of the endpoint that prompts with these shared parts are preferably sent to.
	home string
}

// chooseEngine chooses an engine and records nothing. It leaves the candidates and the choice in the buffers, and
// what the candidates were asked for in asked, if that isn't nil and there is any.
func (d *Dispatcher) chooseEngine(now time.Time, request *Request, endpoints []registry.Endpoint, allowance float64, asked *placement.Request) (*engineChoice, *Refusal) {
	home := homeEndpoint(request.Cost.Affinity(), endpoints)
	candidates, usable, limited := d.candidates(now, endpoints, request.Cost.SharedParts, home, false)
	if len(candidates) == 0 && request.Begun {
		candidates, usable, limited = d.candidates(now, endpoints, request.Cost.SharedParts, home, true)
	}
	switch {
	case len(candidates) == 0 && limited > 0:
		return nil, d.refuseLimited(now, request, endpoints, limited)
	case len(candidates) == 0:
		return nil, d.refuseUnusable(now, request, allowance)
	}
	if allowance == 0 {
		return nil, refuse(request, allowance, 0, len(candidates))
	}
	demand := placement.Request{Cost: request.Cost, Target: request.Target, Allowance: allowance, Unlimited: request.Begun}
	if request.Continued {
		demand.Allowance *= continuedStreamFactor
	}
	if asked != nil {
		*asked = demand
	}
	index, wait, ok := placement.Choose(d.policy, demand, candidates)
	if !ok {
		return nil, refuse(request, allowance, wait, len(candidates))
	}
	d.choiceBuffer = engineChoice{endpoint: endpoints[usable[index]], candidate: candidates[index], home: home}
	return &d.choiceBuffer, nil
}

// startEngine records that a request is about to be sent to the engine that was chosen.
func (d *Dispatcher) startEngine(now time.Time, request *Request, choice *engineChoice) *Assignment {
	chosen, c := choice.endpoint, &choice.candidate
	if chosen.ID != choice.home && request.Cost.Affinity() != 0 {
		d.recordPlaced(chosen.ID, request.Cost)
	}
	d.requestLimits.Take(now, endpointload.Hash(chosen.ID))
	attempt := d.loads.StartAttempt(now, chosen.ID, request.Cost, c.Pending)
	return &Assignment{
		Endpoint: chosen, ExpectedWait: c.Wait(), UncachedTokens: c.UncachedTokens, dispatcher: d, attempt: attempt,
		sharedParts: request.Cost.SharedIDs(), fingerprint: request.Fingerprint, charge: d.charge(now, request),
		turn: d.takeTurn(now, &chosen),
	}
}

// continuedStreamFactor scales the limits of placement for a stream whose first events its
// caller has. Only the engines of one build can continue it, and they are as busy as the others,
// among which a new stream finds the least busy one.
const continuedStreamFactor = 2.0

func (d *Dispatcher) charge(now time.Time, request *Request) *charge {
	if request.Team == "" {
		return nil
	}
	c := &charge{team: d.team(now, request.Team), at: now, units: request.Cost.Units(), target: request.Target}
	c.team.window.AddStarted(now, c.units)
	return c
}

// countRequest counts a request, but not its further attempts.
func (d *Dispatcher) countRequest(now time.Time, request *Request) {
	if len(request.Exclude) == 0 {
		d.requestLimits.CountRequest(now)
	}
}

// candidates returns the usable engines and their indexes in endpoints. Engines
// that peers report as unreachable are omitted while there are others. limited is the
// number of engines that would be usable without their request limit or if they weren't cold. With stalled, stalled
// engines count as usable.
func (d *Dispatcher) candidates(now time.Time, endpoints []registry.Endpoint, shared []prompt.Part, home string, stalled bool) (_ []placement.Candidate, _ []int, limited int) {
	candidates, usable := d.candidateBuffer[:0], d.usableBuffer[:0]
	for _, unreachable := range []bool{false, true} {
		for i, e := range endpoints {
			v := d.loads.View(now, e.ID, shared)
			if !v.Usable && !(stalled && v.Stalled) || v.UnreachableFromPeers != unreachable {
				continue
			}
			if !d.allowed(now, e.ID) {
				limited++
				continue
			}
			allowed, cold := d.allowedCold(now, &endpoints[i])
			if !allowed {
				limited++
				continue
			}
			// A cold engine has just started, and has no parts of its previous incarnation.
			if e.ID == home && !cold {
				v.UncachedTokens = 0
			}
			usable = append(usable, i)
			candidates = append(candidates, placement.Candidate{
				ID: e.ID, Pending: v.Pending, Running: v.Running, Slots: e.Slots, UncachedTokens: v.UncachedTokens,
				Rate: v.Rate, SameZone: e.Zone == d.zone, FailureRate: v.FailureRate,
			})
		}
		if len(candidates) > 0 {
			break
		}
	}
	d.candidateBuffer, d.usableBuffer = candidates, usable
	return candidates, usable, limited
}

// noEndpointRetryAfter is the delay after which a caller should retry when no
// endpoint is usable; crashed endpoints are replaced within seconds.
const noEndpointRetryAfter = time.Second

func refuse(request *Request, allowance float64, wait time.Duration, candidates int) *Refusal {
	r := &Refusal{Reason: Saturated, Allowance: allowance, CapacityWait: wait, Candidates: candidates}
	if allowance < 1 {
		r.Reason = OverShare
	}
	r.RetryAfter = retryAfter(request.Target, rand.Float64())
	return r
}

// homeEndpoint returns the ID of the endpoint with the highest rendezvous weight
// for a prompt's shared parts, or "" if there are none.
func homeEndpoint(affinity uint64, endpoints []registry.Endpoint) string {
	if affinity == 0 {
		return ""
	}
	key := string(binary.LittleEndian.AppendUint64(nil, affinity))
	best, bestWeight := "", uint64(0)
	for _, e := range endpoints {
		if w := rendezvous.Weight(key, e.ID); best == "" || w > bestWeight {
			best, bestWeight = e.ID, w
		}
	}
	return best
}

func (d *Dispatcher) recordPlaced(id string, cost prompt.Cost) {
	if len(d.placed) >= maxPlacedParts {
		return
	}
	hash := endpointload.Hash(id)
	for _, p := range cost.SharedParts {
		d.placed = append(d.placed, PlacedPart{Endpoint: hash, Part: p.Key})
	}
}

func (d *Dispatcher) readyEndpoints(request *Request) []registry.Endpoint {
	ready := d.notEvacuated(d.registry.Ready(request.Service))
	if request.Resumable || request.Build != streamorigin.AnyBuild {
		ready = d.confirmed(ready)
	}
	if len(request.Exclude) == 0 && request.Build == streamorigin.AnyBuild {
		return ready
	}
	remaining := make([]registry.Endpoint, 0, len(ready))
	for _, e := range ready {
		if !slices.Contains(request.Exclude, e.ID) && runs(e, request.Build) {
			remaining = append(remaining, e)
		}
	}
	return remaining
}

// runs reports whether an endpoint is of a build.
func runs(e registry.Endpoint, build streamorigin.Build) bool {
	return build == streamorigin.AnyBuild || BuildOf(e) == build
}

// BuildOf returns the build of an endpoint's software.
func BuildOf(e registry.Endpoint) streamorigin.Build {
	return streamorigin.BuildOf(e.Service, e.Version)
}

// HasReady reports whether a service has an endpoint that accepts requests and is certainly of a
// build, or one in an evacuated zone that is registered with it: it is not gone, so what only its
// build may do can't be done elsewhere.
func (d *Dispatcher) HasReady(service string, build streamorigin.Build) bool {
	ready := d.registry.Ready(service)
	if d.hasEvacuated(ready, build) {
		return true
	}
	return hasBuild(d.confirmed(ready), build)
}

// EntriesDue returns how long entries of live endpoints may still be missing.
func (d *Dispatcher) EntriesDue(now time.Time) time.Duration { return d.registry.EntriesDue(now) }

// KnowsAllEndpoints reports whether all live endpoints are registered, or were when the present
// outage of the store began.
func (d *Dispatcher) KnowsAllEndpoints(now time.Time) bool { return d.registry.Complete(now) }

// Builds returns, by service, the number of registered endpoints of each build, in any state.
func (d *Dispatcher) Builds() map[string]map[streamorigin.Build]int {
	builds := map[string]map[streamorigin.Build]int{}
	for _, e := range d.registry.All() {
		if builds[e.Service] == nil {
			builds[e.Service] = map[streamorigin.Build]int{}
		}
		builds[e.Service][BuildOf(e)]++
	}
	return builds
}

// PlacePlain chooses an endpoint of a plain service: the one with the fewest
// requests in progress, with penalties for failures, for reports of peers that
// it is unreachable, and for another availability zone. Exactly one of the
// results is nil.
func (d *Dispatcher) PlacePlain(now time.Time, request *Request) (*Assignment, *Refusal) {
	endpoints := d.readyEndpoints(request)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countRequest(now, request)
	best, refusal := d.choosePlain(now, request, endpoints, nil)
	if refusal != nil {
		return nil, refusal
	}
	return d.startPlain(now, request, endpoints, best), nil
}

// choosePlain returns the index of the chosen endpoint and records nothing. If scores isn't nil, it gets
// the score of each endpoint that could be chosen, by ID.
func (d *Dispatcher) choosePlain(now time.Time, request *Request, endpoints []registry.Endpoint, scores map[string]float64) (int, *Refusal) {
	best, bestScore, usable := -1, 0.0, 0
	for i, e := range endpoints {
		v := d.loads.View(now, e.ID, nil)
		if !v.Usable && !(request.Begun && v.Stalled) {
			continue
		}
		usable++
		full := v.Running >= plainQueueFactor*max(e.Slots, 1)
		if full && !request.Begun || !d.allowed(now, e.ID) {
			continue
		}
		if allowed, _ := d.allowedCold(now, &endpoints[i]); !allowed {
			continue
		}
		score := float64(v.Running) + v.FailureRate*failurePenalty
		if v.UnreachableFromPeers || v.Stalled {
			score += failurePenalty
		}
		if e.Zone != d.zone {
			score += zonePenalty
		}
		if scores != nil {
			scores[e.ID] = score
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if usable == 0 {
		return -1, d.refuseUnusable(now, request, 1)
	}
	if best < 0 {
		return -1, d.refuseLimited(now, request, endpoints, usable)
	}
	return best, nil
}

// startPlain records that a request is about to be sent to the endpoint that was chosen.
func (d *Dispatcher) startPlain(now time.Time, request *Request, endpoints []registry.Endpoint, best int) *Assignment {
	d.requestLimits.Take(now, endpointload.Hash(endpoints[best].ID))
	attempt := d.loads.StartAttempt(now, endpoints[best].ID, prompt.Cost{}, 0)
	return &Assignment{
		Endpoint: endpoints[best], dispatcher: d, attempt: attempt,
		sharedParts: request.Cost.SharedIDs(), fingerprint: request.Fingerprint, turn: d.takeTurn(now, &endpoints[best]),
	}
}

const (
	// plainQueueFactor bounds the requests in progress at a plain endpoint to
	// this many times its slots; further requests would wait longer than they
	// take to execute.
	plainQueueFactor = 2
	// failurePenalty is the penalty, in requests in progress, of an endpoint
	// that fails every request, is stalled, or that peers report as unreachable.
	failurePenalty = 20.0
	// zonePenalty is the penalty, in requests in progress, of an endpoint in
	// another availability zone.
	zonePenalty = 1.0
)

// Begin records the first byte of the response body.
func (a *Assignment) Begin(now time.Time) {
	a.withLock(func() {
		if c := a.charge; c != nil && !a.attempt.FirstEventReceived() {
			c.team.window.AddBegun(now, c.units)
		}
		a.attempt.RecordFirstEvent(now)
		if a.firstEventAt.IsZero() && (len(a.sharedParts) > 0 || a.fingerprint != 0) {
			a.firstEventAt = now
			a.dispatcher.responding[a] = struct{}{}
		}
	})
}

// Begun reports whether Begin was called.
func (a *Assignment) Begun() bool {
	begun := false
	a.withLock(func() { begun = a.attempt.FirstEventReceived() })
	return begun
}

// Sent records that the request is written to the endpoint. Until then, its silence doesn't count.
func (a *Assignment) Sent(now time.Time) { a.withLock(func() { a.attempt.RecordSent(now) }) }

// Receive records that any bytes of the response arrived.
func (a *Assignment) Receive(now time.Time) { a.withLock(func() { a.attempt.RecordReceived(now) }) }

// End records the result of the attempt. The team's charge is refunded if the request was
// not sent or failed before an engine started it. A request that the caller abandons after it
// was sent stays charged, since the engine may have processed its prompt.
func (a *Assignment) End(now time.Time, r endpointload.Result) {
	a.withLock(func() {
		if c := a.charge; c != nil && !a.attempt.FirstEventReceived() {
			a.charge = nil
			c.end(now, r)
		}
		a.attempt.End(now, r)
		delete(a.dispatcher.waiting, a)
		delete(a.dispatcher.responding, a)
		a.returnTurn()
		if r == endpointload.ConnectFailed {
			a.dispatcher.recordEndpointDown(now, endpointload.Hash(a.Endpoint.ID))
		}
	})
}

// end ends the charge of a request that no engine has begun.
func (c *charge) end(now time.Time, r endpointload.Result) {
	switch {
	case r != endpointload.Succeeded && r != endpointload.Abandoned:
		c.team.window.Refund(c.at, c.units)
	case r == endpointload.Succeeded || now.Sub(c.at) < c.target:
		// A caller that leaves before the latency target is no sign that its team gets too
		// little.
		c.team.window.AddBegun(now, c.units)
	}
}

// Stalled reports whether the endpoint has stopped sending data to this router.
func (a *Assignment) Stalled(now time.Time) bool {
	stalled := false
	a.withLock(func() { stalled = a.attempt.Stalled(now) })
	return stalled
}

func (a *Assignment) withLock(f func()) {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	f()
}

// TakeRetry reports whether the service's retry budget allows another attempt,
// and consumes it if so.
func (d *Dispatcher) TakeRetry(now time.Time, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Take(now)
}

// RetryAllowed reports whether TakeRetry would allow another attempt.
func (d *Dispatcher) RetryAllowed(now time.Time, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Allows(now)
}

func (d *Dispatcher) budget(service string) *retry.Budget {
	b := d.budgets[service]
	if b == nil {
		b = retry.NewBudget(d.limits.Divide(d.budgetRouters), d.retryStart)
		d.budgets[service] = b
	}
	return b
}

// Routers returns the number of routers that run.
func (d *Dispatcher) Routers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers
}

// SetRouters sets the number of routers that run, and that of those which may use the retry budget.
func (d *Dispatcher) SetRouters(n, budgetRouters int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n = max(n, 1); n != d.routers {
		d.routers = n
		d.requestLimits.SetRouters(n)
	}
	if budgetRouters = max(budgetRouters, 1); budgetRouters == d.budgetRouters {
		return
	}
	d.budgetRouters = budgetRouters
	for _, b := range d.budgets {
		b.SetLimits(d.limits.Divide(budgetRouters))
	}
}

// LimitRetriesAtStart bounds the retries of a process that doesn't know what was retried before it began. It is
// called before the first request.
func (d *Dispatcher) LimitRetriesAtStart(start retry.Start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryStart = start
}

// EvictExpired evicts the loads of endpoints that departed long ago, expired
// reports of peers, and the usage of idle teams and inactive peers.
func (d *Dispatcher) EvictExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads.EvictIdle(now, d.registry.Remembers)
	d.loads.ExpirePeers(now)
	d.crashingParts.Expire(now)
	d.recordSurvivors(now)
	d.announceCrashes()
	d.expireLimits(now)
	d.expireCold(now)
	d.incarnations.Evict(d.registry.Remembers)
	for name, t := range d.teams {
		if now.Sub(t.lastRequest) > usageIdleTimeout {
			delete(d.teams, name)
		}
	}
	for instance, p := range d.peers {
		if now.Sub(p.receivedAt) > usageIdleTimeout {
			d.addPeerTeams(p.teams, -1)
			delete(d.peers, instance)
		}
	}
}

// TeamHash returns the hash that identifies a team in reports to peers.
func TeamHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
