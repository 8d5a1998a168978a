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
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

const (
	// shareRefresh is how long a computed level of the teams' shares is used.
	shareRefresh = 100 * time.Millisecond
	// teamLifetime is the idleness after which a team's counts are dropped.
	teamLifetime = 30 * time.Second
	// initialRate is the reading rate in prompt tokens per ms before the
	// operators' token rate is known.
	initialRate = 40.0
	// readingFactor relates an engine's reading rate to its part of the token
	// rate, which also pays for the generated tokens.
	readingFactor = 2.0
	// maxPlaced bounds the placements that are told to peers.
	maxPlaced = 32
)

// Dispatcher is safe for use by several goroutines.
type Dispatcher struct {
	policy   placement.Policy
	zone     string
	registry *registry.Table

	mu      sync.Mutex
	loads   *endpointload.Table
	teams   map[string]*team
	peers   map[string]peerUsage
	budgets map[string]*retry.Budget
	limits  retry.Limits
	// routers is the number of routers that share the retry budget.
	routers int
	// capacity is the token rate of all engines, in tokens per second.
	capacity float64
	// level is a team's max-min share of the operators' token rate, reached its
	// share of what the engines did; both over the fairness window.
	level     int64
	reached   int64
	levelTime time.Time
	placed    []Placed
	// candidateRoom and usableRoom are reused by each placement.
	candidateRoom []placement.Candidate
	usableRoom    []int
}

type team struct {
	window fairshare.Window
	seen   time.Time
}

type peerUsage struct {
	heard time.Time
	teams map[uint64]fairshare.Usage
}

// Placed is a prompt part that was placed away from its first choice.
type Placed struct {
	Endpoint uint64
	Part     uint64
}

// New returns a dispatcher for a router in zone.
func New(zone string, endpoints *registry.Table, policy placement.Policy, limits retry.Limits) *Dispatcher {
	return &Dispatcher{
		policy:   policy,
		zone:     zone,
		registry: endpoints,
		loads:    endpointload.NewTable(initialRate),
		teams:    map[string]*team{},
		peers:    map[string]peerUsage{},
		budgets:  map[string]*retry.Budget{},
		limits:   limits,
		routers:  1,
	}
}

// SetCapacity sets the token rate of all engines and their number.
func (d *Dispatcher) SetCapacity(tokensPerSecond float64, engines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = tokensPerSecond
	if tokensPerSecond > 0 && engines > 0 {
		d.loads.SetDefaultRate(readingFactor * tokensPerSecond / 1000 / float64(engines))
	}
}

// Job is a request that needs an endpoint.
type Job struct {
	Service string
	Team    string
	Cost    prompt.Cost
	// Target is the latency target.
	Target time.Duration
	// Exclude lists endpoints that were tried before.
	Exclude []string
}

// Refusal says why no endpoint gets a request.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller should return.
	RetryAfter time.Duration
	// Allowance, Waiting and Candidates are the inputs of the decision.
	Allowance  float64
	Waiting    time.Duration
	Candidates int
}

// Reason is the cause of a refusal.
type Reason string

const (
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint Reason = "no usable endpoint"
	// Saturated means that no endpoint can begin within the target.
	Saturated Reason = "all endpoints are saturated"
	// OverShare means that the team has more than its share and no endpoint is idle.
	OverShare Reason = "team is above its share"
)

// Assignment is a request's place at one endpoint.
type Assignment struct {
	Endpoint registry.Endpoint
	// Wait is the expected time until the endpoint begins.
	Wait time.Duration
	// Missing is the number of shared prompt tokens that are not cached there.
	Missing int64

	dispatcher *Dispatcher
	run        *endpointload.Run
	// charged is the charge to the team; nil without a team.
	charged *charge
}

// charge is what a team's request counts against its share.
type charge struct {
	team  *team
	at    time.Time
	units int64
}

// Ask counts a request of a team before its placement.
func (d *Dispatcher) Ask(now time.Time, service, name string, units int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).Request(now)
	if name != "" {
		d.team(now, name).window.Ask(now, units)
	}
}

func (d *Dispatcher) team(now time.Time, name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{}
		d.teams[name] = t
	}
	t.seen = now
	return t
}

// Engine places a request for a model engine.
func (d *Dispatcher) Engine(now time.Time, job *Job) (*Assignment, *Refusal) {
	endpoints := d.ready(job)
	d.mu.Lock()
	defer d.mu.Unlock()
	allowance := d.allowance(now, job.Team)
	home := homeOf(job.Cost.Affinity(), endpoints)
	candidates, usable := d.candidates(now, endpoints, job.Cost.Shared, home)
	if len(candidates) == 0 {
		return nil, &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointPause, Allowance: allowance}
	}
	demand := placement.Demand{Cost: job.Cost, Target: job.Target, Allowance: allowance}
	index, wait, ok := placement.Choose(d.policy, demand, candidates)
	if !ok {
		return nil, refuse(job, allowance, wait, len(candidates))
	}
	chosen := endpoints[usable[index]]
	if chosen.ID != home && job.Cost.Affinity() != 0 {
		d.notePlaced(chosen.ID, job.Cost)
	}
	c := &candidates[index]
	run := d.loads.Send(now, chosen.ID, job.Cost, c.Pending)
	return &Assignment{
		Endpoint: chosen, Wait: c.Wait(), Missing: c.Missing, dispatcher: d, run: run, charged: d.charge(now, job),
	}, nil
}

func (d *Dispatcher) charge(now time.Time, job *Job) *charge {
	if job.Team == "" {
		return nil
	}
	c := &charge{team: d.team(now, job.Team), at: now, units: job.Cost.Units()}
	c.team.window.Start(now, c.units)
	return c
}

// noEndpointPause is the pause before a caller returns when no endpoint is
// usable; crashed endpoints are replaced within seconds.
// candidates returns the usable engines and their indexes in endpoints. Engines
// that peers find unreachable are left out while there are others.
func (d *Dispatcher) candidates(now time.Time, endpoints []registry.Endpoint, shared []prompt.Part, home string) ([]placement.Candidate, []int) {
	candidates, usable := d.candidateRoom[:0], d.usableRoom[:0]
	for _, doubted := range []bool{false, true} {
		for i, e := range endpoints {
			v := d.loads.View(now, e.ID, shared)
			if !v.Usable || v.Doubted != doubted {
				continue
			}
			if e.ID == home {
				v.Missing = 0
			}
			usable = append(usable, i)
			candidates = append(candidates, placement.Candidate{
				ID: e.ID, Pending: v.Pending, Running: v.Running, Slots: e.Slots, Missing: v.Missing,
				Rate: v.Rate, SameZone: e.Zone == d.zone, Suspect: v.Suspect,
			})
		}
		if len(candidates) > 0 {
			break
		}
	}
	d.candidateRoom, d.usableRoom = candidates, usable
	return candidates, usable
}

const noEndpointPause = time.Second

func refuse(job *Job, allowance float64, wait time.Duration, candidates int) *Refusal {
	r := &Refusal{Reason: Saturated, Allowance: allowance, Waiting: wait, Candidates: candidates}
	if allowance < 1 {
		r.Reason = OverShare
	}
	r.RetryAfter = pauseOf(job.Target, rand.Float64())
	return r
}

// homeOf returns the first choice for a prompt's shared parts, or "".
func homeOf(affinity uint64, endpoints []registry.Endpoint) string {
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

func (d *Dispatcher) notePlaced(id string, cost prompt.Cost) {
	if len(d.placed) >= maxPlaced {
		return
	}
	hash := endpointload.Hash(id)
	for _, p := range cost.Shared {
		d.placed = append(d.placed, Placed{Endpoint: hash, Part: p.Key})
	}
}

func (d *Dispatcher) ready(job *Job) []registry.Endpoint {
	ready := d.registry.Ready(job.Service)
	if len(job.Exclude) == 0 {
		return ready
	}
	kept := make([]registry.Endpoint, 0, len(ready))
	for _, e := range ready {
		if !slices.Contains(job.Exclude, e.ID) {
			kept = append(kept, e)
		}
	}
	return kept
}

// Plain places a request for a plain service: the endpoint with the least
// work in progress, with a price for failures and for another zone.
func (d *Dispatcher) Plain(now time.Time, job *Job) (*Assignment, *Refusal) {
	endpoints := d.ready(job)
	d.mu.Lock()
	defer d.mu.Unlock()
	best, bestScore, usable := -1, 0.0, 0
	for i, e := range endpoints {
		v := d.loads.View(now, e.ID, nil)
		if !v.Usable {
			continue
		}
		usable++
		if v.Running >= plainQueueFactor*max(e.Slots, 1) {
			continue
		}
		score := float64(v.Running) + v.Suspect*suspectRequests
		if v.Doubted {
			score += suspectRequests
		}
		if e.Zone != d.zone {
			score += zoneRequests
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if usable == 0 {
		return nil, &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointPause, Allowance: 1}
	}
	if best < 0 {
		return nil, refuse(job, 1, 0, usable)
	}
	run := d.loads.Send(now, endpoints[best].ID, prompt.Cost{}, 0)
	return &Assignment{Endpoint: endpoints[best], dispatcher: d, run: run}, nil
}

const (
	// plainQueueFactor bounds the requests at a plain endpoint to this many
	// times its slots; more would wait longer than they run.
	plainQueueFactor = 2
	// suspectRequests is the price, in requests in progress, of an endpoint
	// that fails every request.
	suspectRequests = 20.0
	// zoneRequests is the price of another availability zone.
	zoneRequests = 1.0
)

// Begin records the first byte of the answer's body.
func (a *Assignment) Begin(now time.Time) { a.locked(func() { a.run.Begin(now) }) }

// Heard records a later byte.
func (a *Assignment) Heard(now time.Time) { a.locked(func() { a.run.Heard(now) }) }

// End records the end of the run. A team doesn't pay for a run that no engine
// began.
func (a *Assignment) End(now time.Time, r endpointload.Result) {
	a.locked(func() {
		if c := a.charged; c != nil && !a.run.Begun() && r != endpointload.Succeeded && r != endpointload.Abandoned {
			c.team.window.Refund(c.at, c.units)
			a.charged = nil
		}
		a.run.End(now, r)
	})
}

// Stalled reports whether the endpoint is silent.
func (a *Assignment) Stalled(now time.Time) bool {
	stalled := false
	a.locked(func() { stalled = a.run.Stalled(now) })
	return stalled
}

func (a *Assignment) locked(f func()) {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	f()
}

// TakeRetry reports whether the budget allows another send for a service.
func (d *Dispatcher) TakeRetry(now time.Time, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Take(now)
}

func (d *Dispatcher) budget(service string) *retry.Budget {
	b := d.budgets[service]
	if b == nil {
		b = retry.NewBudget(d.limits.Divide(d.routers))
		d.budgets[service] = b
	}
	return b
}

// SetRouters sets the number of routers that share the retry budget.
func (d *Dispatcher) SetRouters(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n = max(n, 1); n == d.routers {
		return
	}
	d.routers = n
	for _, b := range d.budgets {
		b.SetLimits(d.limits.Divide(n))
	}
}

// Restarted notes the start of an endpoint instance.
func (d *Dispatcher) Restarted(id string, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads.Restarted(id, started)
}

// Tidy drops what is no longer needed.
func (d *Dispatcher) Tidy(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads.Forget(func(id string) bool {
		_, ok := d.registry.Lookup(id)
		return ok
	})
	d.loads.ExpirePeers(now)
	for name, t := range d.teams {
		if now.Sub(t.seen) > teamLifetime {
			delete(d.teams, name)
		}
	}
	for instance, p := range d.peers {
		if now.Sub(p.heard) > teamLifetime {
			delete(d.peers, instance)
		}
	}
}

// TeamHash returns the number that stands for a team in reports.
func TeamHash(name string) uint64 { return xxhash.Sum64String(name) }
