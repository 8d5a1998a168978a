package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// maxPlainAnswer bounds an answer that is held in memory, in bytes.
	maxPlainAnswer = 16 << 20
	// patienceFraction is the part of the latency target after which an
	// idempotent request is sent to another endpoint.
	patienceFraction = 0.6
	// minRetryTime is the least time left in which a retry is worthwhile.
	minRetryTime = 20 * time.Millisecond
)

var errImpatient = errors.New("the endpoint did not answer in a part of the latency target")

// plainDelivery holds the whole answer until it is complete.
type plainDelivery struct{ r *request }

func (d plainDelivery) send(place *dispatch.Assignment) *attempt { return d.r.sendPatiently(place) }
func (d plainDelivery) relay(a *attempt) verdict                 { return d.r.relayWhole(a) }
func (d plainDelivery) giveUp(reason string)                     { d.r.giveUp(reason) }
func (d plainDelivery) noPlace(refusal *dispatch.Refusal)        { d.r.noPlace(refusal) }

func (r *request) place(now time.Time) (*dispatch.Assignment, *dispatch.Refusal) {
	if r.service.Engine != nil {
		return r.h.Dispatcher.PlaceEngine(now, r.job(now))
	}
	return r.h.Dispatcher.PlacePlain(now, r.job(now))
}

// noPlace answers a request that no endpoint takes.
func (r *request) noPlace(refusal *dispatch.Refusal) {
	if r.runs > 0 {
		r.giveUp("no other endpoint takes the request")
		return
	}
	status := http.StatusServiceUnavailable
	if refusal.Reason == dispatch.OverShare {
		status = http.StatusTooManyRequests
	}
	r.refuse(status, string(refusal.Reason), refusal.RetryAfter, r.refusalInputs(refusal)...)
}

// sendPatiently cuts the wait of a request that another endpoint may run as
// well, so that one slow endpoint costs only a part of the latency target.
func (r *request) sendPatiently(place *dispatch.Assignment) *attempt {
	if r.route.Semantics != routing.Idempotent || r.runs+1 >= r.route.Attempts || r.route.LatencyTarget <= 0 {
		ctx, cancel := context.WithCancel(r.ctx)
		return r.send(ctx, cancel, place, nil)
	}
	patience := time.Duration(float64(r.route.LatencyTarget) * patienceFraction)
	ctx, cancel := context.WithTimeoutCause(r.ctx, patience, errImpatient)
	return r.send(ctx, cancel, place, nil)
}

// relayWhole reads the whole answer and passes it on, unless a repeat may
// bring a better one.
func (r *request) relayWhole(a *attempt) verdict {
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, maxPlainAnswer+1))
	if err != nil || len(body) > maxPlainAnswer {
		a.err = err
		r.end(a, r.resultOf(a))
		if r.mayRepeat() {
			return again
		}
		r.giveUp("the answer was cut off")
		return done
	}
	now := time.Now()
	if a.answer.Status >= 500 {
		r.end(a, endpointload.Failed)
		if r.mayRepeat() {
			return again
		}
	} else {
		a.place.Begin(now)
		r.end(a, endpointload.Succeeded)
	}
	r.h.Metrics.Answered.Inc(1)
	r.h.Metrics.Latency.Update(now.Sub(r.arrived))
	r.logEnd(a.answer.Status, "answered")
	r.copyAnswerHeader(a.answer.Header)
	if r.in.Method == http.MethodHead {
		r.w.Header()["Content-Length"] = a.answer.Header["Content-Length"]
	} else {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.w.WriteHeader(a.answer.Status)
	if _, err := r.w.Write(body); err != nil {
		r.h.Log.Debug("caller left before the end of its answer", "request", r.id, "error", err.Error())
	}
	return done
}

// mayRepeat reports whether the request may be sent again after it may have run.
func (r *request) mayRepeat() bool {
	return r.route.Repeatable() && r.runs < r.route.Attempts && !r.callerGone() &&
		time.Until(r.deadline) > minRetryTime && r.h.Dispatcher.TakeRetry(time.Now(), r.service.Name)
}

func (r *request) callerGone() bool { return r.left || r.in.Context().Err() != nil }

// giveUp gives the final answer of a request without an endpoint's answer.
func (r *request) giveUp(reason string) {
	switch {
	case r.callerGone():
		r.h.Metrics.CallerGone.Inc(1)
		r.logEnd(0, "caller left")
		panic(http.ErrAbortHandler)
	case r.runs == 0:
		r.refuse(http.StatusServiceUnavailable, reason, noAnswerPause)
	case r.ctx.Err() != nil:
		r.fail(http.StatusGatewayTimeout, outcome.Unknown, "no answer in time")
	default:
		r.fail(http.StatusBadGateway, outcome.Unknown, reason)
	}
}

// noAnswerPause is the pause before a caller returns after endpoints refused
// or could not be reached.
const noAnswerPause = 300 * time.Millisecond
