package entry

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// hedgeStallDelay is how long an endpoint must remain stalled before another attempt at a
	// stream begins. It is in addition to the silence after which an endpoint counts as
	// stalled and gets no new requests.
	hedgeStallDelay = 400 * time.Millisecond
	// hedgeInterval is the interval at which an attempt is checked for a silent endpoint.
	hedgeInterval = 250 * time.Millisecond
	// hedgeFraction is the fraction of the latency target after which another attempt at an
	// idempotent request begins.
	hedgeFraction = 0.6
	// maxCheckDelay is the delay of a check from which this process was itself late and can't
	// tell whether the endpoint is silent.
	maxCheckDelay = 250 * time.Millisecond
)

var (
	// errSuperseded ends an attempt because another one has something to forward.
	errSuperseded      = errors.New("another attempt at the request has an answer")
	errAttemptPanicked = errors.New("attempt ended by a panic")
)

// hedge runs further attempts beside a first one whose endpoint is silent or, for an idempotent
// request, late. The first of them that has something to forward to the caller goes on, and the
// others are cancelled then. A silent endpoint may still answer, and another attempt may fail, so
// none is ended earlier.
//
// The request's goroutine uses the first attempt. Each other one runs in a goroutine of its own
// until await takes it, or settle or stop end it. mu is locked before the locks of the dispatcher
// and of the origins. The methods of the request's goroutine may be called on nil, for an attempt
// beside which no other one may run.
type hedge struct {
	r        *request
	delivery delivery
	first    *attempt
	// build is the only build that can run the request, or streamorigin.AnyBuild, while the caller
	// has no part of the response. tried lists the endpoints of the attempts before the first one.
	build streamorigin.Build
	tried []string

	mu sync.Mutex
	// changed is signaled when another attempt has finished.
	changed sync.Cond
	timer   *time.Timer
	// scheduled is the time of the next check.
	scheduled time.Time
	// silentSince is the time of the first check in a row that found all endpoints stalled.
	silentSince time.Time
	// forwarding is set while the request's goroutine doesn't read from the endpoint, reserved
	// while it decides whether what it has read may be forwarded, firstEnded once the first
	// attempt has failed.
	forwarding, reserved, firstEnded bool
	// settled counts how often the first attempt had something to forward.
	settled int
	// lastID is the last event that the caller has, if hasID is set. begun is set if it has a
	// part of the response.
	lastID       int64
	hasID, begun bool
	// executions counts the attempts at the request that an endpoint may have executed,
	// notExecuted the other attempts that certainly weren't.
	executions, notExecuted int
	ended                   bool
	// usedByOthers lists the endpoints of the other attempts.
	usedByOthers []string
	// others holds the other attempts that run or have something to forward, winner the one that
	// had it first.
	others []*otherAttempt
	winner *otherAttempt
	// unsuccessful holds the other attempts that have failed and weren't accounted.
	unsuccessful []*attempt
}

// otherAttempt is an attempt that runs beside the first one.
type otherAttempt struct {
	*attempt
	// resume is the header with which the endpoint continues the response; begun is set if the
	// caller has a part of it.
	resume http.Header
	begun  bool
	// finished is closed once the attempt has failed or has something to forward.
	finished chan struct{}
}

func (o *otherAttempt) running() bool {
	select {
	case <-o.finished:
		return false
	default:
		return true
	}
}

// usable reports whether the attempt has finished and has something to forward that isn't a
// server error.
func (o *otherAttempt) usable() bool { return !o.running() && o.hasAnswer() }

// sendHedged sends the request to the assigned endpoint, with extra added to its headers. If
// the request may be repeated, the attempt is watched for a silent endpoint.
func (r *request) sendHedged(d delivery, assignment *dispatch.Assignment, extra http.Header) *attempt {
	a := r.newAttempt(assignment)
	r.unfinished.Store(a)
	if r.route.Semantics == routing.Stream {
		r.logResumption(assignment, extra)
	}
	r.hedge = r.newHedge(d, a, r.possibleExecutions+1)
	r.send(a, extra)
	r.account(a)
	return a
}

// newHedge returns a hedge for an attempt, or nil if the request must not be sent again after
// this number of executions.
func (r *request) newHedge(d delivery, a *attempt, executions int) *hedge {
	idempotent := r.route.Semantics == routing.Idempotent
	if !r.route.Repeatable() || executions >= r.route.Attempts || idempotent && r.route.LatencyTarget <= 0 {
		return nil
	}
	h := &hedge{r: r, delivery: d, first: a, build: r.build, tried: slices.Clip(r.exclude), begun: r.responseBegun, executions: executions}
	h.lastID, h.hasID = d.lastEvent()
	h.changed.L = &h.mu
	delay := hedgeInterval
	if idempotent {
		delay = r.hedgeDelay()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduled = time.Now().Add(delay)
	h.timer = time.AfterFunc(delay, h.check)
	return h
}

// hedgeDelay returns the time after which another attempt at an idempotent request begins.
func (r *request) hedgeDelay() time.Duration {
	return time.Duration(float64(r.route.LatencyTarget) * hedgeFraction)
}

// reading records that the request's goroutine waits for the endpoint again.
func (h *hedge) reading() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.forwarding {
		h.forwarding, h.silentSince = false, time.Time{}
	}
}

// reserve reports whether the first attempt may forward what it has received. It returns false if
// another one had something to forward before. settle or release must follow.
func (h *hedge) reserve() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return false
	}
	h.reserved, h.forwarding = true, true
	return true
}

// release lets the other attempts go on, because the first one may not forward what it has.
func (h *hedge) release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved = false
	if i := slices.IndexFunc(h.others, (*otherAttempt).usable); i >= 0 {
		h.winner = h.others[i]
	}
}

// claim reserves and settles at once.
func (h *hedge) claim(lastID int64, hasID bool) bool {
	if !h.reserve() {
		return false
	}
	h.settle(lastID, hasID)
	return true
}

// settle ends the other attempts, because the first one forwards what it has received, with the
// event lastID at its end.
func (h *hedge) settle(lastID int64, hasID bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	others := h.others
	h.others, h.reserved, h.begun = nil, false, true
	h.lastID, h.hasID = lastID, hasID
	h.settled++
	h.mu.Unlock()
	if len(others) > 0 {
		h.endOthers(others)
		h.rearm()
	}
}

// await waits, after the first attempt has failed, until another one has something to forward or
// all have failed. It returns the one with which the request goes on, or nil.
func (h *hedge) await() *attempt {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	h.firstEnded, h.silentSince = true, time.Time{}
	for !h.ended && h.winner == nil && slices.ContainsFunc(h.others, (*otherAttempt).running) {
		h.changed.Wait()
	}
	chosen := h.winner
	others := slices.DeleteFunc(h.stopWatch(), func(o *otherAttempt) bool { return o == chosen })
	h.mu.Unlock()
	h.endOthers(others)
	if chosen == nil {
		return nil
	}
	r := h.r
	r.unfinished.Store(chosen.attempt)
	r.account(chosen.attempt)
	r.h.Log.Info("request goes on with another attempt", "request", r.id, "endpoint", chosen.assignment.Endpoint.ID,
		"after_ms", time.Since(chosen.startedAt).Milliseconds())
	r.h.Metrics.HedgesWon.Inc(1)
	if chosen.begun {
		r.h.Metrics.Resumed.Inc(1)
	}
	r.hedge = r.newHedge(h.delivery, chosen.attempt, r.possibleExecutions)
	return chosen.attempt
}

// stop ends the watch and the other attempts when the request ends.
func (h *hedge) stop() {
	if h == nil {
		return
	}
	h.mu.Lock()
	others := h.stopWatch()
	h.mu.Unlock()
	h.endOthers(others)
}

// stopWatch ends the checks and returns the other attempts. The caller holds mu.
func (h *hedge) stopWatch() []*otherAttempt {
	h.ended = true
	h.timer.Stop()
	others := h.others
	h.others = nil
	return others
}

// endOthers cancels other attempts that aren't needed and waits for their end, since they use the
// request's body. It also accounts those that have failed.
func (h *hedge) endOthers(others []*otherAttempt) {
	for _, o := range others {
		o.cancel(errSuperseded)
	}
	for _, o := range others {
		<-o.finished
		result := h.r.resultOf(o.attempt)
		if o.mayHaveExecuted() && (o.usable() || o.err != nil) {
			result = endpointload.Abandoned
		}
		h.r.account(o.attempt)
		h.r.endAttempt(o.attempt, result)
	}
	h.mu.Lock()
	unsuccessful := h.unsuccessful
	h.unsuccessful = nil
	h.mu.Unlock()
	for _, a := range unsuccessful {
		h.r.account(a)
	}
}

// rearm schedules the next check.
func (h *hedge) rearm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.schedule(hedgeInterval)
}

// schedule schedules the next check if another attempt may follow. The caller holds mu.
func (h *hedge) schedule(delay time.Duration) {
	if h.ended || h.winner != nil || h.executions >= h.r.route.Attempts || h.notExecuted >= maxRefused {
		return
	}
	h.scheduled = time.Now().Add(delay)
	h.timer.Reset(delay)
}

// check starts another attempt if the endpoints of those in progress are silent. It runs in the
// timer's goroutine, and so does that attempt.
func (h *hedge) check() {
	defer h.r.h.recoverPanic(h.r.id)
	now := time.Now()
	p, due := h.plan(now)
	if !due {
		return
	}
	other := h.start(now, &p)
	if other == nil {
		h.rearm()
		return
	}
	h.run(other, now)
}

// plan is another attempt that is due.
type plan struct {
	request *dispatch.Request
	resume  http.Header
	begun   bool
	// settled is the count of hedge.settled for which the plan holds.
	settled int
}

// plan returns another attempt if one is due, and otherwise schedules the next check.
func (h *hedge) plan(now time.Time) (p plan, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.winner != nil {
		return p, false
	}
	if !h.due(now) {
		h.schedule(hedgeInterval)
		return p, false
	}
	build := dispatch.BuildOf(h.first.assignment.Endpoint)
	if !h.begun {
		build = h.r.restrictedBuild(h.build)
	}
	exclude := slices.Concat(h.tried, []string{h.first.assignment.Endpoint.ID}, h.usedByOthers)
	p = plan{request: h.r.dispatchRequestAt(h.first.startedAt, exclude, build), resume: h.r.resumeHeader(h.lastID, h.hasID), begun: h.begun, settled: h.settled}
	p.request.Repeated, p.request.Continued = true, h.begun || h.build != streamorigin.AnyBuild
	return p, true
}

// due reports whether another attempt should begin: the endpoints of those in progress have been
// silent for long enough, and this process wasn't late to read what they sent. The caller holds mu.
func (h *hedge) due(now time.Time) bool {
	inProgress := h.inProgress()
	hasUnread := slices.ContainsFunc(inProgress, (*attempt).hasUnread)
	stalled := func(a *attempt) bool { return a.assignment.Stalled(now) }
	switch {
	case now.Sub(h.scheduled) > maxCheckDelay, h.forwarding && !h.firstEnded, hasUnread, len(inProgress) == 0:
		// This process was late, or the request's goroutine doesn't read.
	case h.r.route.Semantics == routing.Idempotent:
		return !h.begun && now.Sub(inProgress[len(inProgress)-1].startedAt) >= h.r.hedgeDelay()
	case h.begun && !h.hasID, slices.ContainsFunc(inProgress, func(a *attempt) bool { return !stalled(a) }):
		// No attempt could continue the stream, or an endpoint sends.
	default:
		if h.silentSince.IsZero() {
			h.silentSince = now
		}
		return now.Sub(h.silentSince) >= hedgeStallDelay
	}
	h.silentSince = time.Time{}
	return false
}

// inProgress returns the attempts that run, in the order of their start. The caller holds mu.
func (h *hedge) inProgress() []*attempt {
	var list []*attempt
	if !h.firstEnded {
		list = append(list, h.first)
	}
	for _, o := range h.others {
		if o.running() {
			list = append(list, o.attempt)
		}
	}
	return list
}

// start places another attempt. It returns nil if no endpoint takes the request, the retry
// budget is used up, or the first attempt has ended or had something to forward meanwhile.
func (h *hedge) start(now time.Time, p *plan) *otherAttempt {
	d, next := h.r.h.Dispatcher, p.request
	// A placement counts against the endpoint's request limit, and costs more than these checks.
	if !d.RetryAllowed(now, next.Service) || !d.HasUsable(now, next.Service, next.Exclude, next.Build) || d.Quarantine(now, next.Cost, next.Fingerprint) != nil {
		return nil
	}
	assignment, _ := h.r.placeAt(now, next)
	if assignment == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.winner != nil || h.settled != p.settled || !d.TakeRetry(now, next.Service) {
		assignment.End(now, endpointload.NotSent)
		return nil
	}
	h.r.h.Metrics.Hedges.Inc(1)
	h.usedByOthers = append(h.usedByOthers, assignment.Endpoint.ID)
	h.executions++
	other := &otherAttempt{attempt: h.r.newAttempt(assignment), resume: p.resume, begun: p.begun, finished: make(chan struct{})}
	h.others = append(h.others, other)
	h.schedule(hedgeInterval)
	return other
}

// run runs another attempt until it has failed or has something to forward.
func (h *hedge) run(other *otherAttempt, now time.Time) {
	defer h.finish(other)
	panicked := true
	defer func() {
		if panicked {
			other.outcome, other.err = indeterminate, errAttemptPanicked
		}
	}()
	h.r.h.Log.Info("another attempt started", "request", h.r.id, "first_endpoint", h.first.assignment.Endpoint.ID,
		"endpoint", other.assignment.Endpoint.ID, "begun", other.begun, "after_ms", now.Sub(h.first.startedAt).Milliseconds())
	h.r.logResumption(other.assignment, other.resume)
	h.r.send(other.attempt, other.resume)
	if other.outcome == responded {
		h.delivery.prefetch(other.attempt, other.begun)
	}
	if other.outcome == responded && !other.begun && h.r.isResumable() && h.build == streamorigin.AnyBuild {
		// The caller would not get its first event.
		build := h.r.restrictedBuild(h.build)
		other.withheld = build != streamorigin.AnyBuild && build != dispatch.BuildOf(other.assignment.Endpoint)
	}
	panicked = false
}

// finish records the end of run. If the attempt has something to forward before the others, it
// ends the first one.
func (h *hedge) finish(other *otherAttempt) {
	if h.recordFinished(other) {
		// Its endpoint must not count as busy until the request ends.
		h.r.endAttempt(other.attempt, h.r.resultOf(other.attempt))
	}
}

// recordFinished reports whether the attempt has failed and must be ended by the caller.
func (h *hedge) recordFinished(other *otherAttempt) (failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(other.finished)
	h.changed.Broadcast()
	if !other.mayHaveExecuted() {
		h.executions--
		h.notExecuted++
	}
	switch {
	case !slices.Contains(h.others, other):
		// settle, await or stop have cancelled it, and end it.
		return false
	case other.usable():
		if h.winner == nil && !h.reserved {
			h.winner = other
			h.first.cancel(errSuperseded)
		}
		return false
	}
	h.others = slices.DeleteFunc(h.others, func(o *otherAttempt) bool { return o == other })
	h.unsuccessful = append(h.unsuccessful, other.attempt)
	h.schedule(0)
	return true
}

// endSuperseded ends an attempt that another one replaces.
func (r *request) endSuperseded(a *attempt) relayResult {
	a.err = errSuperseded
	r.endAttempt(a, endpointload.Failed)
	return failed
}
