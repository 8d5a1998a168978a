package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

const (
	// maxBufferedResponse bounds the part of a response that is buffered in memory,
	// in bytes. A longer response is forwarded while it arrives.
	maxBufferedResponse = 256 << 10
	// maxResponse bounds a response, in bytes. It ends one without end early.
	maxResponse = 16 << 20
	// minRetryTime is the minimum time until the deadline for a retry.
	minRetryTime = 20 * time.Millisecond
)

// plainDelivery buffers a response that is not streamed until it is complete.
type plainDelivery struct{ r *request }

func (d plainDelivery) send(assignment *dispatch.Assignment) *attempt {
	return d.r.sendHedged(d, assignment, nil)
}
func (d plainDelivery) relay(a *attempt) relayResult             { return d.r.relayBuffered(a) }
func (d plainDelivery) lastEvent() (int64, bool)                 { return 0, false }
func (d plainDelivery) canContinue() bool                        { return true }
func (d plainDelivery) failWithoutResponse(reason string)        { d.r.failWithoutResponse(reason) }
func (d plainDelivery) rejectUnplaced(refusal *dispatch.Refusal) { d.r.rejectUnplaced(refusal) }

// prefetch reads the response, or as much of it as is buffered.
func (d plainDelivery) prefetch(a *attempt, _ bool) { a.prefetchBuffered() }

// prefetchBuffered reads the response like relayBuffered. A server error that is too long to be
// buffered counts as lost.
func (a *attempt) prefetchBuffered() {
	body, err := a.readBuffered()
	if err != nil || a.failure == nil && a.response.Status >= http.StatusInternalServerError {
		a.outcome, a.err = indeterminate, err
		return
	}
	a.response.Body = io.MultiReader(bytes.NewReader(body), a.response.Body)
}

// readBuffered reads the response, or at most one byte more than maxBufferedResponse. It records a
// complete server error.
func (a *attempt) readBuffered() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBufferedResponse+1))
	a.hold(len(body))
	if err == nil && len(body) <= maxBufferedResponse && a.response.Status >= http.StatusInternalServerError {
		a.failure = &bufferedResponse{a.response.Status, a.response.Header, body}
	}
	return body, err
}

func (r *request) place(now time.Time) (*dispatch.Assignment, *dispatch.Refusal) {
	if r.sentAttempts.Load() > 0 {
		if refusal := r.h.Dispatcher.Quarantine(now, r.cost, r.fingerprint()); refusal != nil {
			return nil, refusal
		}
	}
	return r.placeAt(now, r.dispatchRequest(now))
}

// placeAt places the request at an endpoint of its service.
func (r *request) placeAt(now time.Time, next *dispatch.Request) (*dispatch.Assignment, *dispatch.Refusal) {
	if r.service.Engine != nil {
		return r.h.Dispatcher.PlaceEngine(now, next)
	}
	return r.h.Dispatcher.PlacePlain(now, next)
}

// rejectUnplaced sends the final response to a request that no endpoint takes.
func (r *request) rejectUnplaced(refusal *dispatch.Refusal) {
	if r.possibleExecutions > 0 {
		r.failWithoutResponse("no other endpoint takes the request")
		return
	}
	r.refuse(statusOf(refusal), string(refusal.Reason), refusal.RetryAfter, r.refusalAttrs(refusal)...)
}

// statusOf returns the status of a request that was not placed.
func statusOf(refusal *dispatch.Refusal) int {
	if refusal.Reason == dispatch.OverShare {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered reads the whole response and forwards it, unless it is incomplete
// or a server error.
func (r *request) relayBuffered(a *attempt) relayResult {
	body, err := a.readBuffered()
	if err != nil {
		return r.endBroken(a, err)
	}
	if a.failure != nil {
		r.failure = a.failure
		r.endAttempt(a, endpointload.Failed)
		return failed
	}
	if !r.hedge.claim(0, false) {
		return r.endSuperseded(a)
	}
	if len(body) > maxBufferedResponse {
		return r.relayLarge(a, body)
	}
	now := time.Now()
	a.assignment.Begin(now)
	if a.response.Status < 300 {
		a.assignment.Served(now)
	}
	r.endAttempt(a, endpointload.Succeeded)
	r.sendBuffered(&bufferedResponse{a.response.Status, a.response.Header, body})
	return done
}

// sendBuffered sends an endpoint's response to the caller.
func (r *request) sendBuffered(b *bufferedResponse) {
	r.h.Metrics.Answered.Inc(1)
	r.h.Metrics.Latency.Update(time.Since(r.receivedAt))
	r.logRequestEnd(b.status, "answered")
	r.renewWriteDeadline(time.Now())
	r.queueWrites()
	r.copyResponseHeader(b.header)
	if r.in.Method == http.MethodHead {
		r.w.Header()["Content-Length"] = b.header["Content-Length"]
	} else {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	r.w.WriteHeader(b.status)
	if _, err := r.w.Write(b.body); err != nil {
		r.h.Log.Debug("caller disconnected before the end of the response", "request", r.id, "error", err.Error())
	}
}

// relayLarge forwards a response of which start was read and that is too large to be
// buffered. If it breaks off or is longer than maxResponse, the caller's connection
// is closed, so that the response does not look complete.
func (r *request) relayLarge(a *attempt, start []byte) relayResult {
	r.copyResponseHeader(a.response.Header)
	if length, ok := a.response.Header["Content-Length"]; ok {
		r.w.Header()["Content-Length"] = length
	}
	result := endpointload.Failed
	if a.response.Status < 500 {
		result = endpointload.Succeeded
		a.assignment.Begin(time.Now())
	}
	r.renewWriteDeadline(time.Now())
	r.queueWrites()
	r.w.WriteHeader(a.response.Status)
	caller := &callerWriter{w: &r.w}
	rest := io.LimitReader(a.response.Body, maxResponse-int64(len(start))+1)
	n, err := io.Copy(caller, io.MultiReader(bytes.NewReader(start), rest))
	switch {
	case caller.err != nil:
		r.endAttempt(a, endpointload.Abandoned)
		r.abortDisconnected(caller.err)
	case err != nil || n > maxResponse:
		a.err = err
		r.endAttempt(a, r.resultOf(a))
		r.abortResponse("the answer was cut off", n)
	}
	if a.response.Status < 300 {
		a.assignment.Served(time.Now())
	}
	r.endAttempt(a, result)
	r.h.Metrics.Answered.Inc(1)
	r.h.Metrics.Latency.Update(time.Since(r.receivedAt))
	r.logRequestEnd(a.response.Status, "answered")
	return done
}

// callerWriter records errors of writes to the caller, to distinguish them from errors
// of reads from the endpoint.
type callerWriter struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	if err != nil {
		c.err = err
	}
	return n, err
}

// takeRetry reports whether the request may be sent again after attempt a although it
// may have been executed, and if so consumes one retry of the service's retry budget.
func (r *request) takeRetry(a *attempt) bool {
	return r.route.Repeatable() && r.possibleExecutions < r.route.Attempts && !r.cancelled() && !a.assignment.Quarantined() &&
		time.Until(r.deadline) > minRetryTime && r.h.Dispatcher.TakeRetry(time.Now(), r.service.Name)
}

func (r *request) callerDisconnected() bool {
	return r.disconnected.Load() || r.in.Context().Err() != nil && !r.stopped()
}

// cancelled reports whether the request was ended because its caller has disconnected or the router is
// stopping.
func (r *request) cancelled() bool { return r.disconnected.Load() || r.in.Context().Err() != nil }

// failWithoutResponse sends the final response to a request for which no endpoint
// gave a usable one: the server error of one, if there is any. If the caller has disconnected, it panics with
// http.ErrAbortHandler.
func (r *request) failWithoutResponse(reason string) {
	switch {
	case r.callerDisconnected():
		r.h.Metrics.CallerDisconnected.Inc(1)
		r.logRequestEnd(0, "caller left")
		r.abandon(conns.CallerLeft)
		panic(http.ErrAbortHandler)
	case r.failure != nil:
		r.sendBuffered(r.failure)
	case r.stopped() && r.possibleExecutions == 0:
		r.refuse(http.StatusServiceUnavailable, ErrStopping.Error(), drainRetryAfter)
	case r.stopped():
		r.fail(http.StatusGatewayTimeout, outcome.Unknown, "the router stopped before the answer")
	case r.possibleExecutions == 0:
		r.refuse(http.StatusServiceUnavailable, reason, noResponseRetryAfter)
	case r.ctx.Err() != nil:
		r.fail(http.StatusGatewayTimeout, outcome.Unknown, "no answer in time")
	default:
		r.fail(http.StatusBadGateway, outcome.Unknown, reason)
	}
}

// noResponseRetryAfter is the delay after which a caller should retry if endpoints
// refused the request or were unreachable.
const noResponseRetryAfter = 300 * time.Millisecond
