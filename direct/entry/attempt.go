package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// effect says what one send did.
type effect int

const (
	// answered: the endpoint's answer is at hand.
	answered effect = iota
	// unreached: no byte left this process.
	unreached
	// refused: the endpoint states that it did not run the request.
	refused
	// lost: the request may have run; there is no usable answer.
	lost
)

// verdict says how a request goes on after an answer.
type verdict int

const (
	done verdict = iota
	again
)

// delivery is how a request's answer reaches its caller.
type delivery interface {
	send(place *dispatch.Assignment) *attempt
	// relay passes an answer on, or decides that the request is sent again.
	relay(a *attempt) verdict
	// giveUp gives the final answer of a request without an endpoint's answer.
	giveUp(reason string)
	// noPlace gives the final answer of a request that no endpoint takes.
	noPlace(refusal *dispatch.Refusal)
}

// deliver sends the request to one endpoint after the other until it has its
// final answer.
func (r *request) deliver(d delivery) {
	unreachedCount, refusedCount := 0, 0
	for {
		place, refusal := r.place(time.Now())
		if refusal != nil {
			d.noPlace(refusal)
			return
		}
		a := d.send(place)
		if a.effect != answered {
			r.end(a, r.resultOf(a))
		}
		switch a.effect {
		case answered:
			if d.relay(a) == done {
				return
			}
		case unreached:
			unreachedCount++
			if r.callerGone() || unreachedCount >= maxUnreached {
				d.giveUp("no endpoint could be reached")
				return
			}
		case refused:
			refusedCount++
			if refusedCount >= maxRefused || !r.h.Dispatcher.TakeRetry(time.Now(), r.service.Name) {
				d.giveUp("the endpoints refused the request")
				return
			}
		case lost:
			if !r.mayRepeat() {
				d.giveUp("the answer was lost")
				return
			}
		}
		r.exclude = append(r.exclude, place.Endpoint.ID)
	}
}

// attempt is one send to one endpoint.
type attempt struct {
	place  *dispatch.Assignment
	effect effect
	answer *endpointhttp.Answer
	err    error
	cancel context.CancelFunc
	sent   time.Time
}

const (
	// maxUnreached bounds the endpoints that are tried without a connection.
	maxUnreached = 3
	// maxRefused bounds the endpoints that may refuse one request.
	maxRefused = 2
)

// send sends the request to one endpoint and classifies what came back. The
// attempt owns cancel, which ends ctx.
func (r *request) send(ctx context.Context, cancel context.CancelFunc, place *dispatch.Assignment, extra http.Header) *attempt {
	now := time.Now()
	a := &attempt{place: place, cancel: cancel, sent: now}
	out := r.endpointRequest(place.Endpoint.ID, now)
	for name, values := range extra {
		out.Header[name] = values
	}
	target := endpointhttp.Target{Instance: place.Endpoint.ID, Address: place.Endpoint.Address}
	a.answer, a.err = r.h.Pool.Do(ctx, target, out)
	switch {
	case endpointhttp.NotSent(a.err):
		a.effect = unreached
	case a.err != nil:
		r.sends++
		r.runs++
		a.effect = lost
	default:
		r.sends++
		a.effect = r.classify(a.answer)
		if a.effect != refused {
			r.runs++
		}
	}
	return a
}

// classify reads the headers of an answer.
func (r *request) classify(answer *endpointhttp.Answer) effect {
	d := &r.h.Dialect
	switch {
	case answer.Header.Get(d.NotExecuted) != "" || answer.Status == http.StatusMisdirectedRequest:
		return refused
	case answer.Header.Get("Content-Encoding") != "":
		return lost
	case answer.Status >= 200 && answer.Status < 300 && answer.Header.Get(d.Signature) == "":
		return lost
	case promisesNotRun(answer.Status):
		// Without the statement of the endpoint the promise may be untrue.
		return lost
	}
	return answered
}

func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// end releases the attempt's connection and records its result.
func (r *request) end(a *attempt, result endpointload.Result) {
	if a.answer != nil {
		a.answer.Close()
	}
	a.cancel()
	a.place.End(time.Now(), result)
	r.h.Metrics.note(result)
	if result != endpointload.Succeeded {
		r.logSend(a, result)
	}
}

// resultOf returns the result of an attempt without a usable answer.
func (r *request) resultOf(a *attempt) endpointload.Result {
	if r.callerGone() {
		return endpointload.Abandoned
	}
	switch a.effect {
	case unreached:
		return endpointload.Unreached
	case refused:
		return endpointload.Refused
	}
	return endpointload.Failed
}

func (r *request) logSend(a *attempt, result endpointload.Result) {
	attrs := []slog.Attr{
		slog.String("request", r.id), slog.String("route", r.route.Name),
		slog.String("endpoint", a.place.Endpoint.ID), slog.String("result", resultName(result)),
		slog.Int64("after_ms", time.Since(a.sent).Milliseconds()), slog.Int("sends", r.sends),
	}
	if a.err != nil {
		attrs = append(attrs, slog.String("error", a.err.Error()))
	}
	if a.answer != nil {
		attrs = append(attrs, slog.Int("status", a.answer.Status), slog.Bool("reused", a.answer.Reused))
	}
	r.h.Log.LogAttrs(context.Background(), slog.LevelInfo, "send did not succeed", attrs...)
}

func resultName(result endpointload.Result) string {
	return [...]string{"succeeded", "failed", "refused", "unreached", "abandoned"}[result]
}
