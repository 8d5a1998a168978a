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
)

// copyBuffer is the size of the buffer between an agent and a caller, in bytes.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBuffer)
	return &b
}}

// forward copies an endpoint's answer to the caller. The headers go out with
// the first byte, so that until then an idempotent request can be sent again
// and any other caller gets a whole outcome.
func (d *delivery) forward(resp *http.Response) bool {
	d.step(lifecycle.AnswerBegan)
	d.s.note(d.q, audit.Started, false, slog.Int("status", resp.StatusCode))
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 999 {
		return d.lost(errors.New("the agent sent an invalid status"))
	}
	idle := time.AfterFunc(d.s.o.Limits.IdleTimeout, func() { d.cancel(errIdleTimeout) })
	defer idle.Stop()
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		// The time that the caller takes for a write doesn't count as silence of the agent.
		idle.Reset(d.s.o.Limits.IdleTimeout)
		n, err := resp.Body.Read(*buffer)
		idle.Stop()
		if n > 0 && !d.pass(resp, (*buffer)[:n]) {
			return d.callerGone()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return d.ended(resp)
		default:
			return d.lost(err)
		}
	}
}

// pass sends a part of the answer to the caller and reports false if the
// caller doesn't take it.
func (d *delivery) pass(resp *http.Response, part []byte) bool {
	rc := http.NewResponseController(d.w)
	_ = rc.SetWriteDeadline(time.Now().Add(d.s.o.Limits.IdleTimeout))
	d.begin(resp)
	_, err := d.w.Write(part)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		// The answer to a HEAD request or a status such as 304 has no body for the caller.
		return true
	}
	if err != nil {
		return false
	}
	return rc.Flush() == nil
}

// endWrites takes the deadline of the last write off the connection, which
// the caller may use again.
func (d *delivery) endWrites() {
	_ = http.NewResponseController(d.w).SetWriteDeadline(time.Time{})
}

// begin sends the headers of the answer, once.
func (d *delivery) begin(resp *http.Response) {
	if d.q.life.Forwarded() {
		return
	}
	d.step(lifecycle.Forwarded)
	d.s.m.firstByte.UpdateSince(d.q.received)
	d.s.mu.Lock()
	d.s.freeBody(d.q)
	d.s.mu.Unlock()
	h := d.w.Header()
	for name, values := range work.EndToEnd(resp.Header) {
		h[name] = values
	}
	d.w.WriteHeader(resp.StatusCode)
}

// ended handles the end of an answer. An agent that had to cut an answer
// short says so in a trailer.
func (d *delivery) ended(resp *http.Response) bool {
	switch outcome.Kind(resp.Trailer.Get(outcome.Header)) {
	case "":
	case outcome.Failed:
		return d.failed("the endpoint ended its answer early")
	default:
		return d.lost(errors.New("the agent cut the answer short"))
	}
	d.begin(resp)
	d.step(lifecycle.AnswerEnded)
	d.s.m.outcomes[endFinished].Inc(1)
	d.s.note(d.q, audit.Finished, true,
		slog.String("team", d.q.team), slog.String("service", d.q.service), slog.String("endpoint", d.a.Endpoint),
		slog.Int("status", resp.StatusCode), slog.String("cost", resp.Trailer.Get(work.CostTrailer)),
		slog.Int64("tookMs", time.Since(d.started).Milliseconds()))
	d.endWrites()
	return true
}

// tell gives the caller an outcome: as a whole answer if none has begun, else
// in a way that shows that the answer is not complete.
func (d *delivery) tell(o outcome.Outcome) bool {
	if !d.q.life.Forwarded() {
		d.s.conclude(d.w, d.q, o)
		return true
	}
	d.s.record(d.q, o)
	if !d.endStream(o) {
		panic(http.ErrAbortHandler)
	}
	d.endWrites()
	return true
}

// endStream ends an event stream with the outcome as its last event. If the
// stream was cut within an event, the outcome's event name replaces that
// event's name, and its last data line is the outcome.
func (d *delivery) endStream(o outcome.Outcome) bool {
	h := d.w.Header()
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	if !strings.EqualFold(strings.TrimSpace(kind), "text/event-stream") {
		return false
	}
	if h.Get("Content-Length") != "" || h.Get("Content-Encoding") != "" {
		return false
	}
	event, err := o.Event()
	if err != nil {
		return false
	}
	rc := http.NewResponseController(d.w)
	_ = rc.SetWriteDeadline(time.Now().Add(d.s.o.Limits.IdleTimeout))
	if _, err := d.w.Write(append([]byte("\n"), event...)); err != nil {
		return false
	}
	return rc.Flush() == nil
}
