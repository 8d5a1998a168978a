package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/audit"
)

// maxReasonBytes bounds how much of an agent's own answer is read.
const maxReasonBytes = 4 << 10

var (
	errAnswerTimeout = errors.New("the answer did not end in time")
	errIdleTimeout   = errors.New("the answer stopped for too long")
	errShutDown      = errors.New("the router is shutting down")
)

// delivery is one send of a request to an agent.
type delivery struct {
	s *Server
	w http.ResponseWriter
	q *request
	a *fleetpb.Assignment
	// caller is done when the caller is gone.
	caller context.Context
	// ctx is done when the send must end; its cause says why.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// left is set as soon as a byte may have left for the agent.
	left    atomic.Bool
	started time.Time
}

// send makes one attempt and reports whether the request has ended.
func (s *Server) send(w http.ResponseWriter, r *http.Request, q *request, a *fleetpb.Assignment) bool {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	total := time.AfterFunc(s.o.Limits.AnswerTimeout, func() { cancel(errAnswerTimeout) })
	defer total.Stop()
	defer context.AfterFunc(s.end, func() { cancel(errShutDown) })()
	defer s.endSend()
	d := &delivery{s: s, w: w, q: q, a: a, caller: r.Context(), ctx: ctx, cancel: cancel, started: time.Now()}
	if r.Context().Err() != nil {
		return d.callerGone()
	}
	resp, err := s.transport().RoundTrip(d.request())
	if err != nil {
		return d.noAnswer(err)
	}
	defer resp.Body.Close()
	return d.answer(resp)
}

func (s *Server) endSend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.updateGauges()
}

// transport is used without http.Client, which interprets redirects.
func (s *Server) transport() http.RoundTripper {
	if t := s.o.Caller.HTTP().Transport; t != nil {
		return t
	}
	return http.DefaultTransport
}

// request builds the request to the agent. Its body can't be rewound, so the
// transport can't send it twice.
func (d *delivery) request() *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { d.left.Store(true) },
		WroteHeaderField: func(string, []string) { d.left.Store(true) },
	}
	ctx := httptrace.WithClientTrace(d.ctx, trace)
	url := d.s.o.Caller.URL(d.a.AgentAddress) + work.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, newBodyReader(d.q.body))
	if err != nil {
		// The address was checked when the assignment came.
		panic(err)
	}
	req.GetBody = nil
	req.ContentLength = int64(len(d.q.body))
	header := work.Header{
		Fleet:         d.s.o.Caller.Identity().Fleet,
		Router:        d.s.o.Caller.Identity().Address,
		Request:       d.q.id,
		Attempt:       d.a.Attempt,
		Team:          d.q.team,
		Service:       d.q.service,
		Operation:     d.q.op.Name,
		Endpoint:      d.a.Endpoint,
		SlotToken:     d.a.SlotToken,
		Weight:        d.a.Weight,
		Hint:          d.q.hint,
		ConfigVersion: d.s.o.Store.Version(),
		Method:        d.q.method,
		URI:           d.q.uri,
		Forwarded:     d.q.headers,
	}
	header.Encode(req.Header)
	d.s.note(d.q, audit.Sent, false, slog.String("agent", d.a.AgentAddress))
	return req
}

// noAnswer handles a send that ended before the headers of an answer came.
func (d *delivery) noAnswer(err error) bool {
	switch {
	case d.caller.Err() != nil:
		return d.callerGone()
	case !d.left.Load():
		return d.refused("the agent can't be reached: " + err.Error())
	case unprocessed(err):
		return d.refused("the agent closed the connection before it took the request")
	}
	return d.lost(err)
}

// unprocessed reports whether the agent certainly did not process the request:
// it refused the stream, or its GOAWAY names an earlier stream as the last one
// that it takes (RFC 9113, section 8.7). An agent that shuts down does so.
// net/http gives these errors only as text; if the text changes, the outcome
// is unknown instead of not-run, and a test fails.
func unprocessed(err error) bool {
	cause, ok := strings.CutPrefix(err.Error(), "http2: Transport: cannot retry err [")
	if !ok {
		return false
	}
	return strings.HasPrefix(cause, "http2: Transport received Server's graceful shutdown GOAWAY]") ||
		strings.HasPrefix(cause, "stream error: ") && strings.Contains(cause, "; REFUSED_STREAM")
}

// answer handles the headers of an answer.
func (d *delivery) answer(resp *http.Response) bool {
	switch kind := outcome.Kind(resp.Header.Get(outcome.Header)); kind {
	case "":
		return d.forward(resp)
	case outcome.NotRun:
		return d.refused(reasonOf(resp))
	case outcome.Failed:
		return d.failed(reasonOf(resp))
	default:
		return d.lost(errors.New(reasonOf(resp)))
	}
}

// reasonOf returns the reason in an agent's own answer.
func reasonOf(resp *http.Response) string {
	var o outcome.Outcome
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReasonBytes)).Decode(&o)
	if err != nil || o.Reason == "" {
		return "the agent gave no reason"
	}
	return o.Reason
}

// refused handles a send that certainly did not reach the endpoint.
func (d *delivery) refused(reason string) bool {
	s, q := d.s, d.q
	s.mu.Lock()
	q.step(lifecycle.AgentRefused)
	often := q.life.RequeuesExhausted()
	if often {
		q.step(lifecycle.GaveUp)
	} else {
		q.again()
	}
	s.mu.Unlock()
	if !often {
		s.m.requeues.Inc(1)
		s.note(q, audit.Requeued, false, slog.String("endpoint", d.a.Endpoint), slog.String("reason", reason))
		return false
	}
	s.conclude(d.w, q, q.notSentAgain(http.StatusServiceUnavailable, "refused by too many agents, last: "+reason))
	return true
}

// again prepares the next attempt. The caller holds Server.mu.
func (q *request) again() {
	q.attempt++
	q.token = ""
}

// failed handles an agent's report that the request ran and failed.
func (d *delivery) failed(reason string) bool {
	d.step(lifecycle.AgentFailed)
	return d.tell(outcome.New(outcome.Failed, http.StatusBadGateway, d.q.id, reason))
}

// lost handles a send of which nobody knows how far it got.
func (d *delivery) lost(err error) bool {
	cause := context.Cause(d.ctx)
	if d.caller.Err() != nil {
		return d.callerGone()
	}
	d.step(lifecycle.ContactLost)
	if cause == nil && d.retry(err) {
		return false
	}
	status := http.StatusBadGateway
	reason := "contact to the agent was lost"
	if cause != nil {
		reason = cause.Error()
	}
	if errors.Is(cause, errAnswerTimeout) || errors.Is(cause, errIdleTimeout) {
		status = http.StatusGatewayTimeout
	}
	d.s.o.Logger.Debug("answer lost", "request", d.q.id, "endpoint", d.a.Endpoint, "error", err.Error())
	return d.tell(outcome.New(outcome.Unknown, status, d.q.id, reason))
}

// retry puts the request back into the queue if its operation is idempotent,
// nothing went to the caller and the budget allows it.
func (d *delivery) retry(err error) bool {
	s, q := d.s, d.q
	s.mu.Lock()
	again := q.life.MayResend() && s.budget.Take(time.Now())
	if again {
		q.step(lifecycle.Retried)
		q.again()
	}
	s.mu.Unlock()
	if again {
		s.m.retries.Inc(1)
		s.note(q, audit.Unknown, false, slog.String("endpoint", d.a.Endpoint), slog.String("reason", err.Error()))
		s.note(q, audit.Requeued, false)
	}
	return again
}

// callerGone ends the request; the deferred cancel ends the work at the endpoint.
func (d *delivery) callerGone() bool {
	d.step(lifecycle.CallerGone)
	d.s.closeCancelled(d.q)
	if d.q.life.Forwarded() {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (d *delivery) step(event lifecycle.Event) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.q.step(event)
}
