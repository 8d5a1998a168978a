package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// CandidateState is why an endpoint may be chosen for a request or not.
type CandidateState string

const (
	// StateReady means that the endpoint may be chosen.
	StateReady CandidateState = "ready"
	// StateRoom means that the endpoint has no room for the request within its limits.
	StateRoom CandidateState = "room"
	// StateLeaving means that the endpoint accepts no new requests.
	StateLeaving CandidateState = "leaving"
	// StateBuild means that the endpoint can't run the stream, because it is of another build.
	StateBuild CandidateState = "build"
	// StateDoubted means that the endpoint may have restarted, and gets no streams that may be resumed.
	StateDoubted CandidateState = "doubted"
	// StatePaused means that the endpoint wants no requests for a time.
	StatePaused CandidateState = "paused"
	// StateStalled means that the endpoint sends nothing of the responses in progress.
	StateStalled CandidateState = "stalled"
	// StateUnreachable means that connections to the endpoint fail, from here or from peers.
	StateUnreachable CandidateState = "unreachable"
	// StateLimited means that the endpoint's limit on requests allows no further one yet.
	StateLimited CandidateState = "limited"
	// StateEvacuated means that the endpoint is in an evacuated zone.
	StateEvacuated CandidateState = "evacuated"
	// StateCold means that the endpoint is cold and it isn't this router's turn to use it.
	StateCold CandidateState = "cold"
	// StateExcluded means that the endpoint isn't a candidate for another reason.
	StateExcluded CandidateState = "excluded"
)

// stateCheck reports why placement leaves out an endpoint and until when, if that is known. The state is
// empty if the check finds no reason.
type stateCheck func(d *Dispatcher, now time.Time, request *Request, e registry.Endpoint) (state CandidateState, until time.Time)

// stateChecks are asked in this order about the endpoints that placement left out. Whatever makes
// placement leave out endpoints has its check here; an endpoint without a reason is shown as excluded.
var stateChecks = []stateCheck{checkLeaving, checkEvacuated, checkBuild, checkDoubted, checkLoad, checkLimited, checkCold}

func checkLeaving(_ *Dispatcher, _ time.Time, _ *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if e.State != registry.Ready {
		return StateLeaving, time.Time{}
	}
	return "", time.Time{}
}

func checkEvacuated(d *Dispatcher, _ time.Time, _ *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if d.Evacuated(e) {
		return StateEvacuated, time.Time{}
	}
	return "", time.Time{}
}

func checkBuild(_ *Dispatcher, _ time.Time, request *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if !runs(e, request.Build) {
		return StateBuild, time.Time{}
	}
	return "", time.Time{}
}

func checkDoubted(d *Dispatcher, _ time.Time, request *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if (request.Resumable || request.Build != streamorigin.AnyBuild) && !d.incarnations.Confirmed(e.ID) {
		return StateDoubted, time.Time{}
	}
	return "", time.Time{}
}

func checkLoad(d *Dispatcher, now time.Time, _ *Request, e registry.Endpoint) (CandidateState, time.Time) {
	v, pausedUntil := d.loads.View(now, e.ID, nil), d.loads.PausedUntil(now, e.ID)
	switch {
	case !pausedUntil.IsZero():
		return StatePaused, pausedUntil
	case v.Stalled:
		return StateStalled, time.Time{}
	case !v.Usable || v.UnreachableFromPeers:
		return StateUnreachable, time.Time{}
	}
	return "", time.Time{}
}

func checkLimited(d *Dispatcher, now time.Time, _ *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if !d.allowed(now, e.ID) {
		return StateLimited, time.Time{}
	}
	return "", time.Time{}
}

// checkCold returns the time of this router's next turn, if it has one.
func checkCold(d *Dispatcher, now time.Time, _ *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if allowed, cold := d.allowedCold(now, &e); allowed || !cold {
		return "", time.Time{}
	}
	until, _ := d.cold.table.NextTurn(now, endpointload.Hash(e.ID))
	return StateCold, until
}

// checkPlainRoom is the check of plain services alone: engines without room are compared.
func checkPlainRoom(d *Dispatcher, now time.Time, _ *Request, e registry.Endpoint) (CandidateState, time.Time) {
	if d.loads.View(now, e.ID, nil).Running >= plainQueueFactor*max(e.Slots, 1) {
		return StateRoom, time.Time{}
	}
	return "", time.Time{}
}

// Explanation is where a request would be sent, and why.
type Explanation struct {
	Team TeamExplanation
	// Candidates are the endpoints of the service: those that may be chosen by score, then the others by
	// ID.
	Candidates []CandidateExplanation
	// Chosen is the ID of the endpoint, or empty if Refusal is set.
	Chosen  string
	Refusal *Refusal
}

// TeamExplanation is the share of a team. Usage, Share and Limit are in tokens over the fairness window.
type TeamExplanation struct {
	Allowance float64
	Usage     fairshare.Usage
	// Share is a team's share of the configured rate, Limit the limit for teams that request more.
	Share, Limit int64
}

// CandidateExplanation is one endpoint of the service.
type CandidateExplanation struct {
	Endpoint registry.Endpoint
	State    CandidateState
	// For is how long the state may last; 0 if that is unknown.
	For     time.Duration
	Running int
	Pending int64
	// Compared is set if the endpoint was compared with others; the other fields are valid only then.
	Compared       bool
	Wait           time.Duration
	UncachedTokens int64
	Score          float64
}

// Explain returns where PlaceEngine or, unless isEngine is set, PlacePlain would send a new request. It
// counts and charges nothing, takes no turn of a limit, begins no trial of a quarantine and asks no endpoint
// for its incarnation. Reports of peers that have expired are deleted, as by any placement.
func (d *Dispatcher) Explain(now time.Time, request Request, isEngine bool) Explanation {
	registered := slices.DeleteFunc(d.registry.All(), func(e registry.Endpoint) bool { return e.Service != request.Service })
	ready := d.registry.Ready(request.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.keepCaches()()
	x := Explanation{Team: d.explainTeam(now, request.Team)}
	endpoints := d.placeable(now, &request, ready)
	var compared map[string]CandidateExplanation
	checks := stateChecks
	if isEngine {
		compared = d.explainEngines(now, &request, endpoints, &x)
	} else {
		compared = d.explainPlain(now, &request, endpoints, &x)
		checks = append(slices.Clone(stateChecks), checkPlainRoom)
	}
	for _, e := range registered {
		c, ok := compared[e.ID]
		if !ok {
			c.State, c.For = d.explainState(now, &request, e, checks)
		}
		v := d.loads.View(now, e.ID, nil)
		c.Endpoint, c.Compared, c.Running, c.Pending = e, ok, v.Running, v.Pending
		x.Candidates = append(x.Candidates, c)
	}
	slices.SortStableFunc(x.Candidates, compareCandidates)
	if until, refuse := d.crashingParts.Peek(now, request.Cost.SharedIDs(), request.Fingerprint); refuse {
		x.Chosen, x.Refusal = "", &Refusal{Reason: Quarantined, RetryAfter: until.Sub(now), Allowance: 1}
	}
	return x
}

// keepCaches returns a function that restores the cached levels and the turns of limits, which are otherwise
// brought up to date at another time than without the question.
func (d *Dispatcher) keepCaches() (restore func()) {
	configured, achieved, served := d.configuredLevel, d.achievedLevel, d.servedLimit
	least, updatedAt, limits := d.leastServed, d.levelsUpdatedAt, d.requestLimits
	d.requestLimits = limits.Clone()
	d.cold.readOnly = true
	return func() {
		d.cold.readOnly = false
		d.configuredLevel, d.achievedLevel, d.servedLimit = configured, achieved, served
		d.leastServed, d.levelsUpdatedAt, d.requestLimits = least, updatedAt, limits
	}
}

func compareCandidates(a, b CandidateExplanation) int {
	rank := func(c CandidateExplanation) int {
		switch {
		case c.State == StateReady:
			return 0
		case c.Compared:
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Score, b.Score))
}

func (d *Dispatcher) explainTeam(now time.Time, name string) TeamExplanation {
	t := TeamExplanation{Allowance: d.allowance(now, name)}
	if name != "" {
		t.Usage, t.Share, t.Limit = d.teamUsage(now, name), d.configuredLevel, d.servedLimit
	}
	return t
}

// placeable returns the endpoints that readyEndpoints would for a new request, without asking those in
// doubt for their incarnation. Like the handler of requests, it ignores a build that no endpoint runs.
func (d *Dispatcher) placeable(now time.Time, request *Request, ready []registry.Endpoint) []registry.Endpoint {
	filter := func(checks ...stateCheck) []registry.Endpoint {
		var kept []registry.Endpoint
		for _, e := range ready {
			if state, _ := d.explainState(now, request, e, checks); state == StateExcluded {
				kept = append(kept, e)
			}
		}
		return kept
	}
	endpoints := filter(checkEvacuated, checkBuild, checkDoubted)
	if len(endpoints) == 0 && request.Build != streamorigin.AnyBuild {
		request.Build = streamorigin.AnyBuild
		endpoints = filter(checkEvacuated, checkBuild, checkDoubted)
	}
	return endpoints
}

// explainState returns the state that the first check with a reason finds.
func (d *Dispatcher) explainState(now time.Time, request *Request, e registry.Endpoint, checks []stateCheck) (CandidateState, time.Duration) {
	for _, check := range checks {
		state, until := check(d, now, request, e)
		if state == "" {
			continue
		}
		if until.IsZero() {
			return state, 0
		}
		return state, until.Sub(now)
	}
	return StateExcluded, 0
}

// explainEngines chooses as PlaceEngine does and returns the compared engines by ID.
func (d *Dispatcher) explainEngines(now time.Time, request *Request, endpoints []registry.Endpoint, x *Explanation) map[string]CandidateExplanation {
	asked := placement.Request{Cost: request.Cost, Target: request.Target, Allowance: x.Team.Allowance}
	choice, refusal := d.chooseEngine(now, request, endpoints, x.Team.Allowance, &asked)
	if x.Refusal = refusal; refusal == nil {
		x.Chosen = choice.endpoint.ID
	}
	compared := map[string]CandidateExplanation{}
	for _, c := range d.candidateBuffer {
		rating := placement.Evaluate(d.policy, asked, c)
		e := CandidateExplanation{State: StateReady, Wait: c.Wait(), UncachedTokens: c.UncachedTokens, Score: rating.Score}
		if !rating.Fits {
			e.State, e.For = StateRoom, rating.Shortage
		}
		compared[c.ID] = e
	}
	return compared
}

// explainPlain chooses as PlacePlain does and returns the compared endpoints by ID.
func (d *Dispatcher) explainPlain(now time.Time, request *Request, endpoints []registry.Endpoint, x *Explanation) map[string]CandidateExplanation {
	scores := map[string]float64{}
	best, refusal := d.choosePlain(now, request, endpoints, scores)
	if x.Refusal = refusal; refusal == nil {
		x.Chosen = endpoints[best].ID
	}
	compared := map[string]CandidateExplanation{}
	for id, score := range scores {
		compared[id] = CandidateExplanation{State: StateReady, Score: score}
	}
	return compared
}
