package entry

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/requestlimit"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// attemptOutcome classifies the result of one attempt.
type attemptOutcome int

const (
	// responded: the endpoint sent a usable response.
	responded attemptOutcome = iota
	// notSent: no byte of the request left this process.
	notSent
	// refused: the endpoint states that it did not execute the request.
	refused
	// indeterminate: the request may have been executed, and there is no
	// usable response.
	indeterminate
)

// relayResult says whether a request is finished after an endpoint's response.
type relayResult int

const (
	// done: the caller has the final response.
	done relayResult = iota
	// failed: the response can't be used, and its attempt was ended.
	failed
)

// delivery defines how the response to a request reaches its caller.
type delivery interface {
	// send sends the request to the assigned endpoint.
	send(assignment *dispatch.Assignment) *attempt
	// prefetch reads from the response of another attempt until a part of it can be forwarded.
	// It changes the attempt's outcome if nothing can. begun is set if the caller has a part of
	// the response. It must not use the state of the delivery.
	prefetch(a *attempt, begun bool)
	// relay forwards the endpoint's response and ends the attempt.
	relay(a *attempt) relayResult
	// lastEvent returns the identifier of the last event that the caller has, if it has any.
	lastEvent() (id int64, ok bool)
	// canContinue reports whether another attempt can complete the response.
	canContinue() bool
	// failWithoutResponse sends the final response if no endpoint gave a usable
	// one.
	failWithoutResponse(reason string)
	// rejectUnplaced sends the final response if no endpoint takes the request.
	rejectUnplaced(refusal *dispatch.Refusal)
}

// deliver sends the request to one endpoint after another until the caller has
// the final response.
func (r *request) deliver(d delivery) {
	defer r.endUnfinished()
	notSentCount, refusedCount := 0, 0
	for {
		assignment, refusal := r.place(time.Now())
		if refusal != nil && r.awaitPlace(refusal) {
			continue
		}
		if refusal != nil {
			d.rejectUnplaced(refusal)
			return
		}
		executions := r.possibleExecutions
		a, result := r.run(d, assignment)
		if result == done {
			return
		}
		switch {
		case r.possibleExecutions > executions:
			if !d.canContinue() || a.withheld && !r.canBeginElsewhere(a) || !r.takeRetry(a) {
				d.failWithoutResponse(a.failureReason())
				return
			}
		case a.outcome == notSent:
			notSentCount++
			if r.cancelled() || notSentCount >= maxNotSent || !time.Now().Before(r.deadline) {
				d.failWithoutResponse("no endpoint could be reached")
				return
			}
		default:
			refusedCount++
			if refusedCount >= maxRefused || !r.h.Dispatcher.TakeRetry(time.Now(), r.service.Name) {
				d.failWithoutResponse("the endpoints refused the request")
				return
			}
		}
	}
}

// run sends the request to the assigned endpoint and forwards the response. Another attempt
// that runs beside it goes on if the first one fails. If all fail, run returns the one that
// was used last.
func (r *request) run(d delivery, assignment *dispatch.Assignment) (*attempt, relayResult) {
	a := d.send(assignment)
	for {
		if a.outcome != responded {
			r.endAttempt(a, r.resultOf(a))
		} else if d.relay(a) == done {
			return a, done
		}
		other := r.hedge.await()
		if other == nil {
			return a, failed
		}
		a = other
	}
}

const (
	// placeInterval is the interval between tries to place a response that has begun, and
	// maxPlaceWait bounds the time for them.
	placeInterval = 100 * time.Millisecond
	maxPlaceWait  = 2 * time.Second
)

// awaitPlace waits before another try to place a response that has begun. It returns false if the
// response must be given up. Endpoints may be paused, at their limit or not confirmed only for a
// moment.
func (r *request) awaitPlace(refusal *dispatch.Refusal) bool {
	now := time.Now()
	if !r.responseBegun || refusal.Reason == dispatch.Quarantined {
		return false
	}
	if r.unplacedSince.IsZero() {
		r.unplacedSince = now
	}
	if now.Sub(r.unplacedSince) >= maxPlaceWait || !now.Before(r.deadline) {
		return false
	}
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(placeInterval):
		return true
	}
}

// account adds an attempt to the counts of the request.
func (r *request) account(a *attempt) {
	r.exclude = append(r.exclude, a.assignment.Endpoint.ID)
	if a.failure != nil {
		r.failure = a.failure
	}
	if a.outcome != notSent {
		r.sentAttempts.Add(1)
	}
	if a.mayHaveExecuted() {
		r.possibleExecutions++
	}
}

// endUnfinished ends the attempts that a panic left unfinished, so that their endpoints don't
// count as busy for as long as the process runs, and the attempts that aren't needed.
func (r *request) endUnfinished() {
	r.hedge.stop()
	if a := r.unfinished.Load(); a != nil {
		r.h.Log.Warn("attempt ended without a result", "request", r.id, "endpoint", a.assignment.Endpoint.ID)
		r.endAttempt(a, endpointload.Failed)
	}
}

// attempt is one attempt to run the request at an endpoint.
type attempt struct {
	assignment *dispatch.Assignment
	outcome    attemptOutcome
	response   *endpointhttp.Response
	err        error
	ctx        context.Context
	cancel     context.CancelCauseFunc
	startedAt  time.Time
	// duration is the time until the response headers were read or the attempt
	// failed. dialTimeout is the timeout of a connection to the endpoint.
	duration, dialTimeout time.Duration
	// withheld is set if the caller must not get the first events, since the origin of the stream
	// isn't saved.
	withheld bool
	// failure is the response if it is complete and a server error.
	failure *bufferedResponse
	// hold counts bytes of the response as held until the end of the request.
	hold func(n int)
	// unread reports whether bytes of the response wait in the socket; nil before there is a
	// connection.
	unread atomic.Pointer[func() bool]
}

// newAttempt returns an attempt that ends with the request.
func (r *request) newAttempt(assignment *dispatch.Assignment) *attempt {
	a := &attempt{assignment: assignment, outcome: notSent, startedAt: time.Now(), hold: r.holdResponse}
	a.ctx, a.cancel = context.WithCancelCause(r.ctx)
	return a
}

// mayHaveExecuted reports whether the endpoint may have executed the request.
func (a *attempt) mayHaveExecuted() bool { return a.outcome == responded || a.outcome == indeterminate }

// hasAnswer reports whether there is a response that may be forwarded and isn't a server error.
func (a *attempt) hasAnswer() bool { return a.outcome == responded && a.failure == nil && !a.withheld }

// hasUnread reports whether bytes of the response wait to be read: then this process is late,
// and the endpoint isn't silent.
func (a *attempt) hasUnread() bool {
	unread := a.unread.Load()
	return unread != nil && (*unread)()
}

// failureReason describes a failed attempt in the final response.
func (a *attempt) failureReason() string {
	switch {
	case a.withheld:
		return "the origin of the stream isn't saved"
	case a.outcome == responded:
		return "the answer was cut off"
	}
	return "the answer was lost"
}

const (
	// maxNotSent bounds the attempts per request that fail before the request
	// is sent.
	maxNotSent = 3
	// maxRefused bounds the attempts per request that endpoints refuse.
	maxRefused = 2
)

// send sends the request to the attempt's endpoint and classifies the response. It doesn't
// change the request, so that several attempts can run at the same time.
func (r *request) send(a *attempt, extra http.Header) {
	out := r.endpointRequest(a, a.startedAt)
	for name, values := range extra {
		out.Header[name] = values
	}
	a.assignment.CancelIfQuarantined(func() { a.cancel(nil) })
	target := endpointhttp.Target{Instance: a.assignment.Endpoint.ID, Address: a.assignment.Endpoint.Address}
	a.response, a.err = r.h.Pool.Do(a.ctx, target, out)
	a.duration, a.dialTimeout = time.Since(a.startedAt), r.h.Pool.DialTimeout
	switch {
	case endpointhttp.NotSent(a.err):
		a.outcome = notSent
	case a.err != nil:
		a.outcome = indeterminate
	default:
		r.recordLimit(a)
		r.recordLeaving(a)
		if a.outcome = r.classify(a.response); a.outcome == refused {
			r.recordPause(a)
		}
	}
}

// recordLeaving records that the endpoint says in its response that it is leaving.
func (r *request) recordLeaving(a *attempt) {
	if a.response.Header.Get(r.h.Dialect.Leaving) == "" || !a.assignment.RecordLeaving() {
		return
	}
	e := a.assignment.Endpoint
	r.h.Log.Info("endpoint says that it is leaving", "endpoint", e.ID, "service", e.Service, "request", r.id)
}

// recordPause records for how long the endpoint that refused the request wants no further
// ones.
func (r *request) recordPause(a *attempt) {
	value := a.response.Header.Get("Retry-After")
	if a.response.Status != http.StatusServiceUnavailable || value == "" {
		return
	}
	now := time.Now()
	pause, ok := parseRetryAfter(value, now)
	if !ok || pause <= 0 {
		return
	}
	a.assignment.Pause(now, pause)
	r.h.Log.Info("endpoint wants no requests", "endpoint", a.assignment.Endpoint.ID, "request", r.id, "retry_after", value)
}

// maxRetryAfterSeconds is the longest delay that parseRetryAfter returns.
const maxRetryAfterSeconds = 3600

// parseRetryAfter parses a delay in seconds, which may have a fraction, or a date.
func parseRetryAfter(value string, now time.Time) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds >= 0) {
			return 0, false
		}
		return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second)), true
	}
	date, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return min(max(date.Sub(now), 0), maxRetryAfterSeconds*time.Second), true
}

// recordLimit records the limit on requests that the endpoint names in its response.
// Only a success without one shows that there is none.
func (r *request) recordLimit(a *attempt) {
	rate := float64(requestlimit.NoLimit)
	switch value := a.response.Header.Get(r.h.Dialect.RequestLimit); {
	case value != "":
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || !(parsed >= 0) || math.IsInf(parsed, 1) {
			return
		}
		rate = parsed
	case a.response.Status >= 300:
		return
	}
	if a.assignment.RecordLimit(time.Now(), rate, a.startedAt) {
		r.h.Log.Info("endpoint's request limit changed", "endpoint", a.assignment.Endpoint.ID, "requests_per_second", rate)
	}
}

// classify derives the outcome of an attempt from the status and headers of the
// response.
func (r *request) classify(response *endpointhttp.Response) attemptOutcome {
	d := &r.h.Dialect
	refusal := response.Header.Get(d.NotExecuted) != "" || response.Status == http.StatusMisdirectedRequest
	switch {
	case refusal && response.Header.Get(d.RequestID) == r.id:
		return refused
	case refusal:
		// Only a refusal that names the request is a promise that it was not executed.
		return indeterminate
	case response.Header.Get("Content-Encoding") != "":
		return indeterminate
	case response.Status >= 200 && response.Status < 300 && response.Header.Get(d.Signature) == "":
		return indeterminate
	case impliesNotExecuted(response.Status):
		// The status suggests that the request was not executed, but without the
		// endpoint's NotExecuted header that isn't certain.
		return indeterminate
	}
	return responded
}

func impliesNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// endAttempt releases the attempt's connection and records its result.
func (r *request) endAttempt(a *attempt, result endpointload.Result) {
	r.unfinished.CompareAndSwap(a, nil)
	if a.response != nil {
		a.response.Close()
	}
	cause := context.Cause(a.ctx)
	a.cancel(nil)
	now := time.Now()
	if result == endpointload.Failed && a.err != nil && !errors.Is(cause, errSuperseded) && a.assignment.Interrupted(now, a.response != nil) {
		go r.h.checkEndpoint(r.id, a.assignment.Endpoint)
	}
	if a.outcome == responded && a.err == nil && result != endpointload.Abandoned {
		a.assignment.Answered(now)
	}
	a.assignment.End(now, result)
	r.h.Metrics.countAttempt(result)
	if result != endpointload.Succeeded {
		r.logFailedAttempt(a, result, cause)
	}
}

// dialTolerance is the delay of a dial's timeout above which this process, and not
// the endpoint, was late: a process that waits for CPU time sees both the completed
// connection and the timeout too late.
const dialTolerance = 50 * time.Millisecond

// provesUnreachable reports whether an attempt that was not sent is evidence against
// the endpoint. Requests that this router withdrew and timeouts of a process that was itself late
// are none.
func (a *attempt) provesUnreachable() bool {
	var withdrawn withdrawnError
	return !errors.As(a.err, &withdrawn) && !dialedLate(a.err, a.duration, a.dialTimeout)
}

// dialedLate reports whether err is a timeout that this process noticed late.
func dialedLate(err error, duration, timeout time.Duration) bool {
	var dial net.Error
	timedOut := errors.As(err, &dial) && dial.Timeout()
	return timedOut && duration >= timeout+dialTolerance
}

// endpointCheckDelay gives an endpoint that crashes time to close its listener.
const endpointCheckDelay = 50 * time.Millisecond

// checkEndpoint connects to an endpoint to find out whether it has crashed or only a
// connection broke.
func (h *Handler) checkEndpoint(request string, e registry.Endpoint) {
	defer h.recoverPanic(request)
	time.Sleep(endpointCheckDelay)
	began := time.Now()
	err := h.Pool.Connect(context.Background(), endpointhttp.Target{Instance: e.ID, Address: e.Address})
	if err == nil || dialedLate(err, time.Since(began), h.Pool.DialTimeout) {
		return
	}
	h.Dispatcher.RecordConnectFailure(time.Now(), e.ID)
	h.Log.Info("endpoint is down after an interrupted response", "endpoint", e.ID, "error", err.Error())
}

// resultOf returns the result of an attempt without a usable response.
func (r *request) resultOf(a *attempt) endpointload.Result {
	interrupted := r.cancelled() || a.assignment.Quarantined()
	superseded := errors.Is(context.Cause(a.ctx), errSuperseded)
	switch {
	case a.outcome == notSent && !interrupted && !superseded && a.provesUnreachable():
		return endpointload.ConnectFailed
	case a.outcome == notSent:
		return endpointload.NotSent
	case interrupted:
		return endpointload.Abandoned
	case a.outcome == refused:
		return endpointload.Refused
	}
	return endpointload.Failed
}

// logFailedAttempt logs an attempt. cause is why this router ended it, or nil.
func (r *request) logFailedAttempt(a *attempt, result endpointload.Result, cause error) {
	attrs := []slog.Attr{
		slog.String("request", r.id), slog.String("route", r.route.Name),
		slog.String("endpoint", a.assignment.Endpoint.ID), slog.String("result", resultName(result)),
		slog.Int64("after_ms", time.Since(a.startedAt).Milliseconds()), slog.Int64("sends", r.sentAttempts.Load()),
		slog.String("fingerprint", formatFingerprint(r.fingerprint())),
	}
	if a.err != nil {
		attrs = append(attrs, slog.String("error", a.err.Error()))
	}
	if cause != nil {
		attrs = append(attrs, slog.String("cause", cause.Error()))
	}
	if a.response != nil {
		attrs = append(attrs, slog.Int("status", a.response.Status), slog.Bool("reused", a.response.Reused))
	}
	if len(r.cost.SharedParts) > 0 {
		attrs = append(attrs, slog.Bool("begun", a.assignment.Begun()), slog.String("prompt_parts", r.promptPartsForLog()))
	}
	r.h.Log.LogAttrs(context.Background(), slog.LevelInfo, "send did not succeed", attrs...)
}

func resultName(result endpointload.Result) string {
	return [...]string{"succeeded", "failed", "refused", "unreached", "abandoned", "unsent"}[result]
}
