package entry

import (
	"errors"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// stallTimeout is how long an endpoint must remain stalled before a second attempt at a
	// stream begins. It is in addition to the silence after which an endpoint counts as
	// stalled and gets no new requests.
	stallTimeout = 400 * time.Millisecond
	// hedgeInterval is the interval at which an attempt is checked for a silent endpoint.
	hedgeInterval = 250 * time.Millisecond
	// hedgeFraction is the fraction of the latency target after which a second attempt at an
	// idempotent request begins.
	hedgeFraction = 0.6
	// maxCheckDelay is the delay of a check from which this process was itself late and can't
	// tell whether the endpoint is silent.
	maxCheckDelay = 250 * time.Millisecond
)

var (
	// errSuperseded ends an attempt because the other one has something to forward.
	errSuperseded    = errors.New("another attempt at the request has an answer")
	errSecondAttempt = errors.New("second attempt ended by a panic")
)

// hedge runs a second attempt beside one whose endpoint is silent. The first of the two that has
// something to forward to the caller goes on, and the other one is cancelled then. A silent
// endpoint may still answer, and the second attempt may fail, so neither is ended earlier.
//
// The request's goroutine uses the first attempt; the second one runs in a goroutine of its own
// until await takes it, or claim or stop end it. mu is locked before the dispatcher's lock. The
// methods of the request's goroutine may be called on nil, for an attempt beside which no second
// one may run.
type hedge struct {
	r        *request
	delivery delivery
	first    *attempt
	// next is the request to place at the other endpoint.
	next dispatch.Request

	mu    sync.Mutex
	timer *time.Timer
	// scheduled is the time of the next check.
	scheduled time.Time
	// silentSince is the time of the first check in a row that found the endpoint stalled.
	silentSince time.Time
	// forwarding is set while the request's goroutine doesn't read from the endpoint.
	forwarding bool
	// claims counts how often the first attempt had something to forward.
	claims int
	// lastID is the last event that the caller has, if hasID is set. begun is set if it has a
	// part of the response.
	lastID       int64
	hasID, begun bool
	// executions counts the attempts at the request that an endpoint may have executed,
	// refusals the second attempts that failed otherwise.
	executions, refusals int
	ended                bool
	second               *secondAttempt
	// unsuccessful holds the second attempts that have failed and were not ended.
	unsuccessful []*attempt
}

// secondAttempt is an attempt that runs beside another one.
type secondAttempt struct {
	*attempt
	// resume is the header with which the endpoint continues the response; begun is set if the
	// caller has a part of it.
	resume http.Header
	begun  bool
	// finished is closed once the attempt has failed or has something to forward.
	finished chan struct{}
}

// usable reports whether the attempt has something to forward that isn't a server error.
func (s *secondAttempt) usable() bool {
	select {
	case <-s.finished:
		return s.outcome == responded && s.response.Status < http.StatusInternalServerError
	default:
		return false
	}
}

// sendHedged sends the request to the assigned endpoint, with extra added to its headers. If
// the request may be repeated, the attempt is watched for a silent endpoint.
func (r *request) sendHedged(d delivery, assignment *dispatch.Assignment, extra http.Header) *attempt {
	a := r.newAttempt(assignment)
	r.unfinished = a
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
	h := &hedge{r: r, delivery: d, first: a, next: *r.dispatchRequest(a.startedAt), begun: r.responseBegun, executions: executions}
	h.next.Exclude = append(slices.Clone(r.exclude), a.assignment.Endpoint.ID)
	h.next.Repeated, h.next.Begun = true, false
	delay := hedgeInterval
	if idempotent {
		delay = time.Duration(float64(r.route.LatencyTarget) * hedgeFraction)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduled = time.Now().Add(delay)
	h.timer = time.AfterFunc(delay, h.check)
	return h
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

// claim reports whether the first attempt may forward what it has received, with the event
// lastID at its end. If so, the second attempt is ended. Otherwise that one had something to
// forward before.
func (h *hedge) claim(lastID int64, hasID bool) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	second := h.second
	if second != nil && second.usable() {
		h.mu.Unlock()
		return false
	}
	h.second, h.forwarding, h.begun = nil, true, true
	h.lastID, h.hasID = lastID, hasID
	h.claims++
	h.mu.Unlock()
	if second != nil {
		h.end(second)
		h.rearm()
	}
	return true
}

// await ends the watch after the first attempt has failed. It returns the second attempt, if
// there is one, once that has something to forward or has failed, too.
func (h *hedge) await() *attempt {
	if h == nil {
		return nil
	}
	second := h.stopWatch()
	h.endUnsuccessful()
	if second == nil {
		return nil
	}
	<-second.finished
	r := h.r
	r.unfinished = second.attempt
	r.account(second.attempt)
	usable := second.usable()
	r.h.Log.Info("second attempt replaces the first", "request", r.id, "endpoint", second.assignment.Endpoint.ID, "usable", usable,
		"after_ms", time.Since(second.startedAt).Milliseconds())
	if usable {
		r.h.Metrics.HedgesWon.Inc(1)
	}
	r.hedge = r.newHedge(h.delivery, second.attempt, r.possibleExecutions)
	return second.attempt
}

// stop ends the watch and the second attempt when the request ends.
func (h *hedge) stop() {
	if h == nil {
		return
	}
	if second := h.stopWatch(); second != nil {
		h.end(second)
	}
	h.endUnsuccessful()
}

// stopWatch ends the checks and returns the second attempt, or nil.
func (h *hedge) stopWatch() *secondAttempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.timer.Stop()
	second := h.second
	h.second = nil
	return second
}

// end cancels a second attempt that isn't needed and waits for its end, since it uses the
// request's body.
func (h *hedge) end(second *secondAttempt) {
	second.cancel(errSuperseded)
	<-second.finished
	result := h.r.resultOf(second.attempt)
	if second.mayHaveExecuted() && (second.usable() || second.err != nil) {
		result = endpointload.Abandoned
	}
	h.endSecond(second.attempt, result)
	h.endUnsuccessful()
}

// endUnsuccessful ends the second attempts that have failed.
func (h *hedge) endUnsuccessful() {
	h.mu.Lock()
	unsuccessful := h.unsuccessful
	h.unsuccessful = nil
	h.mu.Unlock()
	for _, a := range unsuccessful {
		h.endSecond(a, h.r.resultOf(a))
	}
}

func (h *hedge) endSecond(a *attempt, result endpointload.Result) {
	h.r.account(a)
	h.r.endAttempt(a, result)
}

// rearm schedules the next check.
func (h *hedge) rearm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.schedule()
}

// schedule schedules the next check if another second attempt may follow.
func (h *hedge) schedule() {
	if h.ended || h.executions >= h.r.route.Attempts || h.refusals >= maxRefused {
		return
	}
	h.scheduled = time.Now().Add(hedgeInterval)
	h.timer.Reset(hedgeInterval)
}

// check starts a second attempt if the endpoint of the first one is silent. It runs in the
// timer's goroutine, and so does that attempt.
func (h *hedge) check() {
	now := time.Now()
	h.mu.Lock()
	if h.ended || h.second != nil {
		h.mu.Unlock()
		return
	}
	if !h.due(now) {
		h.schedule()
		h.mu.Unlock()
		return
	}
	next, begun, claims := h.next, h.begun, h.claims
	resume := h.r.resumeHeader(h.lastID, h.hasID)
	h.mu.Unlock()
	if begun {
		next.Build, next.Continued = dispatch.BuildOf(h.first.assignment.Endpoint), true
	}
	second := h.start(now, &next, claims)
	if second == nil {
		h.rearm()
		return
	}
	second.resume, second.begun = resume, begun
	h.r.h.Log.Info("second attempt started", "request", h.r.id, "silent_endpoint", h.first.assignment.Endpoint.ID,
		"endpoint", second.assignment.Endpoint.ID, "begun", begun, "after_ms", now.Sub(h.first.startedAt).Milliseconds())
	h.run(second)
}

// due reports whether a second attempt should begin: the endpoint of the first one has been
// silent for long enough, and this process wasn't late to read what it sent.
func (h *hedge) due(now time.Time) bool {
	idempotent := h.r.route.Semantics == routing.Idempotent
	switch {
	case now.Sub(h.scheduled) > maxCheckDelay, h.forwarding, h.first.hasUnread():
	case idempotent:
		return !h.begun
	case h.begun && !h.hasID, !h.first.assignment.Stalled(now):
	default:
		if h.silentSince.IsZero() {
			h.silentSince = now
		}
		return now.Sub(h.silentSince) >= stallTimeout
	}
	h.silentSince = time.Time{}
	return false
}

// start places a second attempt. It returns nil if no endpoint takes the request, the retry
// budget is used up, or the first attempt has ended or had something to forward meanwhile.
func (h *hedge) start(now time.Time, next *dispatch.Request, claims int) *secondAttempt {
	d := h.r.h.Dispatcher
	// The check is cheaper than a placement that is refused.
	if !d.HasUsable(now, next.Service, next.Exclude, next.Build) || d.Quarantine(now, next.Cost, next.Fingerprint) != nil {
		return nil
	}
	assignment, _ := h.r.placeAt(now, next)
	if assignment == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.claims != claims || !d.TakeRetry(now, next.Service) {
		assignment.End(now, endpointload.NotSent)
		return nil
	}
	h.r.h.Metrics.Hedges.Inc(1)
	h.next.Exclude = append(slices.Clone(h.next.Exclude), assignment.Endpoint.ID)
	h.second = &secondAttempt{attempt: h.r.newAttempt(assignment), finished: make(chan struct{})}
	return h.second
}

// run runs a second attempt until it has failed or has something to forward.
func (h *hedge) run(second *secondAttempt) {
	defer h.finish(second)
	defer func() {
		if cause := recover(); cause != nil {
			second.outcome, second.err = indeterminate, errSecondAttempt
			h.r.h.Log.Error("panic in a second attempt", "request", h.r.id, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	h.r.logResumption(second.assignment, second.resume)
	h.r.send(second.attempt, second.resume)
	if second.outcome == responded {
		h.delivery.prefetch(second.attempt, second.begun)
	}
}

// finish records the end of run. If the attempt has something to forward, it ends the first one.
func (h *hedge) finish(second *secondAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(second.finished)
	if second.mayHaveExecuted() {
		h.executions++
	} else {
		h.refusals++
	}
	switch {
	case h.second != second:
	case second.usable():
		h.first.cancel(errSuperseded)
	case second.outcome != responded:
		h.second = nil
		h.unsuccessful = append(h.unsuccessful, second.attempt)
		h.schedule()
	}
}

// beginAt runs a second attempt at the beginning of the response, at an endpoint of a build, and
// reports whether it has something to forward within timeout. The first attempt goes on if not.
func (h *hedge) beginAt(build streamorigin.Build, timeout time.Duration) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	next, claims, allowed := h.next, h.claims, h.executions < h.r.route.Attempts
	h.mu.Unlock()
	if !allowed {
		return false
	}
	next.Build = build
	second := h.start(time.Now(), &next, claims)
	if second == nil {
		return false
	}
	limit := time.AfterFunc(timeout, func() { second.cancel(errSuperseded) })
	defer limit.Stop()
	h.run(second)
	return second.usable()
}

// endSuperseded ends an attempt that the second one replaces.
func (r *request) endSuperseded(a *attempt) {
	a.err = errSuperseded
	r.endAttempt(a, endpointload.Failed)
}
