package entry

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/transport/httpstatus"
)

// copyBufferSize is the size in bytes of the buffer for copying a response to the caller.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// forward copies an endpoint's response to the caller and reports whether the
// request has ended. The headers are sent with the first byte of the body: until
// then, an idempotent request can be retried and any other request can still be
// responded to with an outcome.
func (a *attempt) forward(resp *http.Response) bool {
	a.apply(lifecycle.ResponseBegan)
	a.s.addToTrail(a.q, audit.Started, false, slog.Int("status", resp.StatusCode))
	if !httpstatus.IsFinal(resp.StatusCode) {
		return a.handleUnknown(errors.New("the agent sent an invalid status"))
	}
	idle := time.AfterFunc(a.s.opts.Limits.IdleTimeout, func() { a.cancel(errIdleTimeout) })
	defer idle.Stop()
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		// The timer runs only during reads, so that a slow caller does not count as an idle agent.
		idle.Reset(a.s.opts.Limits.IdleTimeout)
		n, err := resp.Body.Read(*buffer)
		idle.Stop()
		if n > 0 && !a.writeToCaller(resp, (*buffer)[:n]) {
			return a.handleCallerGone()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return a.handleResponseEnd(resp)
		default:
			return a.handleUnknown(err)
		}
	}
}

// writeToCaller sends a part of the response to the caller. It reports false if
// the write fails or times out.
func (a *attempt) writeToCaller(resp *http.Response, part []byte) bool {
	rc := http.NewResponseController(a.w)
	_ = rc.SetWriteDeadline(time.Now().Add(a.s.opts.Limits.IdleTimeout))
	a.sendHeaders(resp)
	_, err := a.w.Write(part)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		// The response to a HEAD request or a status such as 304 has no body for the caller.
		return true
	}
	if err != nil {
		return false
	}
	return rc.Flush() == nil
}

// clearWriteDeadline removes the deadline of the last write, because the caller
// may reuse the connection.
func (a *attempt) clearWriteDeadline() {
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Time{})
}

// sendHeaders sends the headers of the response if they have not been sent yet.
func (a *attempt) sendHeaders(resp *http.Response) {
	if a.q.lifecycle.Forwarded() {
		return
	}
	a.apply(lifecycle.Forwarded)
	a.s.metrics.firstByte.UpdateSince(a.q.received)
	a.s.mu.Lock()
	a.s.freeBody(a.q)
	a.s.mu.Unlock()
	h := a.w.Header()
	for name, values := range work.EndToEnd(resp.Header) {
		h[name] = values
	}
	a.s.announceClose(a.w, a.q.protoMajor)
	a.w.WriteHeader(resp.StatusCode)
}

// handleResponseEnd handles the end of a response and reports whether the request has
// ended. An agent that could not complete the response sets an outcome trailer.
func (a *attempt) handleResponseEnd(resp *http.Response) bool {
	switch outcome.Kind(resp.Trailer.Get(outcome.Header)) {
	case "":
	case outcome.Failed:
		return a.handleFailed("the endpoint ended its answer early")
	default:
		return a.handleUnknown(errors.New("the agent cut the answer short"))
	}
	a.sendHeaders(resp)
	a.apply(lifecycle.ResponseEnded)
	a.s.metrics.outcomes[kindFinished].Inc(1)
	a.s.addToTrail(a.q, audit.Finished, true,
		slog.String("team", a.q.team), slog.String("service", a.q.service), slog.String("endpoint", a.assignment.Endpoint),
		slog.Int("status", resp.StatusCode), slog.String("cost", resp.Trailer.Get(work.CostTrailer)),
		slog.Int64("tookMs", time.Since(a.started).Milliseconds()))
	a.clearWriteDeadline()
	return true
}

// sendOutcome reports an outcome to the caller: as the response if none has begun,
// otherwise as the last event of an event stream or by aborting the connection,
// so that the caller detects that the response is incomplete.
func (a *attempt) sendOutcome(o outcome.Outcome) bool {
	if !a.q.lifecycle.Forwarded() {
		a.s.finish(a.w, a.q, o)
		return true
	}
	a.s.recordOutcome(a.q, o)
	if !a.endEventStream(o) {
		panic(http.ErrAbortHandler)
	}
	a.clearWriteDeadline()
	return true
}

// endEventStream appends the outcome to an event stream as its last event, and
// reports false if the response is not an event stream or the write fails. If the
// stream was interrupted within an event, the outcome's event name replaces that
// event's name, and its last data line is the outcome.
func (a *attempt) endEventStream(o outcome.Outcome) bool {
	h := a.w.Header()
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	if !strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") {
		return false
	}
	if h.Get("Content-Length") != "" || h.Get("Content-Encoding") != "" {
		return false
	}
	event, err := o.Event()
	if err != nil {
		return false
	}
	rc := http.NewResponseController(a.w)
	_ = rc.SetWriteDeadline(time.Now().Add(a.s.opts.Limits.IdleTimeout))
	if _, err := a.w.Write(append([]byte("\n"), event...)); err != nil {
		return false
	}
	return rc.Flush() == nil
}
