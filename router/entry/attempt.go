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

// maxReasonBytes limits how much is read of a response that contains an outcome of
// the agent.
const maxReasonBytes = 4 << 10

var (
	errResponseTimeout = errors.New("the answer did not end in time")
	errIdleTimeout     = errors.New("the answer stopped for too long")
	errShutDown        = errors.New("the router is shutting down")
)

// attempt holds the state of one attempt to run a request at an endpoint.
type attempt struct {
	s          *Server
	w          http.ResponseWriter
	q          *request
	assignment *fleetpb.Assignment
	// callerCtx is done when the caller has disconnected.
	callerCtx context.Context
	// ctx is done when the attempt must end. Its cause is the error to report.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// mayHaveSent is set as soon as the agent may have received a byte.
	mayHaveSent atomic.Bool
	started     time.Time
}

// runAttempt makes one attempt and reports whether the request has ended.
func (s *Server) runAttempt(w http.ResponseWriter, r *http.Request, q *request, assignment *fleetpb.Assignment) bool {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timeout := time.AfterFunc(s.opts.Limits.ResponseTimeout, func() { cancel(errResponseTimeout) })
	defer timeout.Stop()
	defer context.AfterFunc(s.drainExpired, func() { cancel(errShutDown) })()
	defer s.endAttempt()
	a := &attempt{s: s, w: w, q: q, assignment: assignment, callerCtx: r.Context(), ctx: ctx, cancel: cancel, started: time.Now()}
	if r.Context().Err() != nil {
		return a.handleCallerGone()
	}
	resp, err := s.transport().RoundTrip(a.request())
	if err != nil {
		return a.handleTransportError(err)
	}
	defer resp.Body.Close()
	return a.handleResponse(resp)
}

func (s *Server) endAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.updateGauges()
}

// transport returns the transport for requests to agents. http.Client is not
// used, because it follows redirects.
func (s *Server) transport() http.RoundTripper {
	if t := s.opts.Clients.HTTP().Transport; t != nil {
		return t
	}
	return http.DefaultTransport
}

// request builds the HTTP request to the agent. Its body can't be rewound, so
// that the transport can't send it twice.
func (a *attempt) request() *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { a.mayHaveSent.Store(true) },
		WroteHeaderField: func(string, []string) { a.mayHaveSent.Store(true) },
	}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	url := a.s.opts.Clients.URL(a.assignment.AgentAddress) + work.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, newBodyReader(a.q.body))
	if err != nil {
		// Dispatch has validated the address.
		panic(err)
	}
	req.GetBody = nil
	req.ContentLength = int64(len(a.q.body))
	header := work.Header{
		Fleet:         a.s.opts.Clients.Identity().Fleet,
		Router:        a.s.opts.Clients.Identity().Address,
		Request:       a.q.id,
		Attempt:       a.assignment.Attempt,
		Team:          a.q.team,
		Service:       a.q.service,
		Operation:     a.q.op.Name,
		Endpoint:      a.assignment.Endpoint,
		SlotToken:     a.assignment.SlotToken,
		Weight:        a.assignment.Weight,
		Hint:          a.q.hint,
		ConfigVersion: a.s.opts.Store.Version(),
		Method:        a.q.method,
		URI:           a.q.uri,
		Forwarded:     a.q.headers,
	}
	header.Encode(req.Header)
	a.s.addToTrail(a.q, audit.Sent, false, slog.String("agent", a.assignment.AgentAddress))
	return req
}

// handleTransportError handles an attempt that ended before the headers of a response
// were received.
func (a *attempt) handleTransportError(err error) bool {
	switch {
	case a.callerCtx.Err() != nil:
		return a.handleCallerGone()
	case !a.mayHaveSent.Load():
		return a.handleNotRun("the agent can't be reached: " + err.Error())
	case isUnprocessed(err):
		return a.handleNotRun("the agent closed the connection before it took the request")
	}
	return a.handleUnknown(err)
}

// isUnprocessed reports whether the agent definitely did not process the request:
// it refused the stream, or its GOAWAY frame names an earlier stream as the last
// one that it processes (RFC 9113, section 8.7), as an agent that shuts down does.
// net/http exposes these errors only as text. If the text changes, the outcome is
// unknown instead of not-run, and TestUnprocessedStreamIsNotRun fails.
func isUnprocessed(err error) bool {
	cause, ok := strings.CutPrefix(err.Error(), "http2: Transport: cannot retry err [")
	if !ok {
		return false
	}
	return strings.HasPrefix(cause, "http2: Transport received Server's graceful shutdown GOAWAY]") ||
		strings.HasPrefix(cause, "stream error: ") && strings.Contains(cause, "; REFUSED_STREAM")
}

// handleResponse handles a response whose headers have been received. An outcome
// header marks a response of the agent itself.
func (a *attempt) handleResponse(resp *http.Response) bool {
	switch kind := outcome.Kind(resp.Header.Get(outcome.Header)); kind {
	case "":
		return a.forward(resp)
	case outcome.NotRun:
		return a.handleNotRun(reasonOf(resp))
	case outcome.Failed:
		return a.handleFailed(reasonOf(resp))
	default:
		return a.handleUnknown(errors.New(reasonOf(resp)))
	}
}

// reasonOf returns the reason in an outcome of the agent.
func reasonOf(resp *http.Response) string {
	var o outcome.Outcome
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReasonBytes)).Decode(&o)
	if err != nil || o.Reason == "" {
		return "the agent gave no reason"
	}
	return o.Reason
}

// handleNotRun handles an attempt that definitely did not reach the endpoint: it
// requeues the request, or ends it if its requeues are exhausted.
func (a *attempt) handleNotRun(reason string) bool {
	s, q := a.s, a.q
	s.mu.Lock()
	q.apply(lifecycle.AgentRefused)
	exhausted := q.lifecycle.RequeuesExhausted()
	if exhausted {
		q.apply(lifecycle.GaveUp)
	} else {
		q.beginNextAttempt()
	}
	s.mu.Unlock()
	if !exhausted {
		s.metrics.requeues.Inc(1)
		s.addToTrail(q, audit.Requeued, false, slog.String("endpoint", a.assignment.Endpoint), slog.String("reason", reason))
		return false
	}
	s.finish(a.w, q, q.queueOutcome(http.StatusServiceUnavailable, "refused by too many agents, last: "+reason))
	return true
}

// beginNextAttempt prepares the request for its next attempt. The caller holds Server.mu.
func (q *request) beginNextAttempt() {
	q.attempt++
	q.token = ""
}

// handleFailed handles an agent's report that the request ran and failed.
func (a *attempt) handleFailed(reason string) bool {
	a.apply(lifecycle.AgentFailed)
	return a.sendOutcome(outcome.New(outcome.Failed, http.StatusBadGateway, a.q.id, reason))
}

// handleUnknown handles an attempt that ended without it being known whether the
// request ran: it retries the request if that is allowed, otherwise ends it with
// the outcome unknown. err is the reason for the log and the audit trail.
func (a *attempt) handleUnknown(err error) bool {
	cause := context.Cause(a.ctx)
	if a.callerCtx.Err() != nil {
		return a.handleCallerGone()
	}
	a.apply(lifecycle.ContactLost)
	if cause == nil && a.retry(err) {
		return false
	}
	status := http.StatusBadGateway
	reason := "contact to the agent was lost"
	if cause != nil {
		reason = cause.Error()
	}
	if errors.Is(cause, errResponseTimeout) || errors.Is(cause, errIdleTimeout) {
		status = http.StatusGatewayTimeout
	}
	a.s.opts.Logger.Debug("receive response failed", "request", a.q.id, "endpoint", a.assignment.Endpoint, "error", err.Error())
	return a.sendOutcome(outcome.New(outcome.Unknown, status, a.q.id, reason))
}

// retry requeues the request and reports true if its operation is idempotent,
// no part of a response was sent to the caller, and the request's limit and the
// router's retry budget allow it.
func (a *attempt) retry(err error) bool {
	s, q := a.s, a.q
	s.mu.Lock()
	retrying := q.lifecycle.MayResend() && s.budget.Take(time.Now())
	if retrying {
		q.apply(lifecycle.Retried)
		q.beginNextAttempt()
	}
	s.mu.Unlock()
	if retrying {
		s.metrics.retries.Inc(1)
		s.addToTrail(q, audit.Unknown, false, slog.String("endpoint", a.assignment.Endpoint), slog.String("reason", err.Error()))
		s.addToTrail(q, audit.Requeued, false)
	}
	return retrying
}

// handleCallerGone ends a request whose caller has disconnected. The deferred cancel in
// runAttempt cancels the request at the endpoint.
func (a *attempt) handleCallerGone() bool {
	a.apply(lifecycle.CallerGone)
	a.s.recordCancelled(a.q)
	if a.q.lifecycle.Forwarded() {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (a *attempt) apply(event lifecycle.Event) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.q.apply(event)
}
