package entry

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/eventstream"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

const (
	// streamBuffer is the size of reads from an endpoint's stream, in bytes.
	streamBuffer = 4096
	// coalesceDelay is how long a busy router waits between reads of a stream
	// after the first event, so that several events need only one read and one
	// write. It is below the 120 ms within which callers expect an event.
	coalesceDelay = 80 * time.Millisecond
)

var (
	errUnsavedOrigin = errors.New("the origin of the stream can't be saved")
	errEventTooLong  = errors.New("event in the endpoint's stream is too long")
)

// streamState is the state of a streamed response across attempts.
type streamState struct {
	// splitter holds the incomplete event of the attempt in progress.
	splitter eventstream.Splitter
	// lastID is the identifier of the last forwarded event, if hasID is set.
	lastID  int64
	hasID   bool
	flusher *http.ResponseController
	written int64
}

// streamDelivery forwards events as they arrive. Before the first event, the
// request can still be retried or refused; after it, only a resumable stream can
// continue at another endpoint.
type streamDelivery struct {
	r *request
	s *streamState
}

func (d streamDelivery) send(assignment *dispatch.Assignment) *attempt {
	extra := d.r.resumeHeader(d.s.lastID, d.s.hasID)
	if d.r.responseBegun {
		d.r.h.Metrics.Resumed.Inc(1)
	}
	return d.r.sendHedged(d, assignment, extra)
}
func (d streamDelivery) relay(a *attempt) relayResult      { return d.r.relayStream(a, d.s) }
func (d streamDelivery) lastEvent() (int64, bool)          { return d.s.lastID, d.s.hasID }
func (d streamDelivery) canContinue() bool                 { return !d.r.responseBegun || d.s.hasID }
func (d streamDelivery) failWithoutResponse(reason string) { d.r.failStream(d.s, reason) }

func (d streamDelivery) rejectUnplaced(refusal *dispatch.Refusal) {
	if d.r.responseBegun {
		d.r.abortStream(d.s, "no endpoint resumes the stream")
	}
	d.r.rejectUnplaced(refusal)
}

// prefetch reads until the first complete event or the end of the response.
func (d streamDelivery) prefetch(a *attempt, begun bool) {
	eventStream := isEventStream(a.response.Header)
	switch {
	case begun && (a.response.Status >= 300 || !eventStream):
		a.outcome = indeterminate
		return
	case !eventStream || a.response.Status >= 300:
		a.prefetchBuffered()
		return
	}
	var read []byte
	var splitter eventstream.Splitter
	buffer := streamBuffers.get(streamBuffer)
	defer streamBuffers.put(buffer)
	for {
		n, err := a.response.Body.Read(buffer)
		read = append(read, buffer[:n]...)
		complete := len(splitter.Feed(buffer[:n])) > 0
		switch {
		case complete:
			a.response.Body = io.MultiReader(bytes.NewReader(read), a.response.Body)
			return
		case errors.Is(err, io.EOF):
			if a.err = endError(a, &splitter); a.err != nil {
				a.outcome = indeterminate
			}
			a.response.Body = bytes.NewReader(read)
			return
		case splitter.Overflowed():
			a.outcome, a.err = indeterminate, errEventTooLong
			return
		case err != nil:
			a.outcome, a.err = indeterminate, err
			return
		}
	}
}

// resumeHeader returns the header with which an endpoint resumes after the event with this
// identifier, or nil if there is none.
func (r *request) resumeHeader(lastID int64, hasID bool) http.Header {
	if !hasID {
		return nil
	}
	return http.Header{r.h.Dialect.LastEventID: {strconv.FormatInt(lastID, 10)}}
}

// relayStream forwards the events of one endpoint.
func (r *request) relayStream(a *attempt, s *streamState) relayResult {
	eventStream := isEventStream(a.response.Header)
	if a.response.Status >= 300 || r.responseBegun && !eventStream {
		return r.relayErrorResponse(a)
	}
	s.splitter = eventstream.Splitter{}
	buffer := streamBuffers.get(streamBuffer)
	defer streamBuffers.put(buffer)
	for {
		r.hedge.reading()
		n, err := a.response.Body.Read(buffer)
		now := time.Now()
		if n > 0 {
			writeErr := r.forwardEvents(a, s, buffer[:n], eventStream, now)
			switch {
			case errors.Is(writeErr, errSuperseded):
				return r.endSuperseded(a)
			case errors.Is(writeErr, errUnsavedOrigin):
				r.endAttempt(a, endpointload.Abandoned)
				a.withheld = true
				return failed
			case writeErr != nil:
				r.endAttempt(a, endpointload.Abandoned)
				r.abortDisconnected(writeErr)
			}
		}
		switch {
		case s.splitter.Overflowed():
			return r.endBroken(a, errEventTooLong)
		case errors.Is(err, io.EOF):
			return r.finishStream(a, s, eventStream)
		case err != nil:
			return r.endBroken(a, err)
		}
		if r.responseBegun && r.h.Overload.PreferBatching() {
			time.Sleep(coalesceDelay)
		}
	}
}

// endBroken ends an attempt whose response broke off.
func (r *request) endBroken(a *attempt, err error) relayResult {
	a.err = err
	r.endAttempt(a, r.resultOf(a))
	return failed
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// forwardEvents writes the events that are complete with data, or data itself if
// the response is not an event stream. Only complete events count as received: an
// endpoint that sends single bytes and no events is stalled. It returns errUnsavedOrigin if the
// caller must not get the first events, and errSuperseded if another attempt goes on with the
// stream.
func (r *request) forwardEvents(a *attempt, s *streamState, data []byte, eventStream bool, now time.Time) error {
	if eventStream {
		data = s.splitter.Feed(data)
	}
	if len(data) == 0 {
		return nil
	}
	a.assignment.Receive(now)
	lastID, hasID := s.splitter.LastID()
	if !hasID {
		lastID, hasID = s.lastID, s.hasID
	}
	if !r.hedge.reserve() {
		return errSuperseded
	}
	a.assignment.Begin(now)
	if eventStream {
		a.assignment.Served(now)
	}
	if !r.responseBegun && eventStream && !r.recordOrigin(a) {
		r.hedge.release()
		return errUnsavedOrigin
	}
	r.hedge.settle(lastID, hasID)
	if !r.responseBegun {
		r.responseBegun = true
		r.queueWrites()
		r.h.Metrics.FirstEvent.Update(now.Sub(r.receivedAt))
		r.copyResponseHeader(a.response.Header)
		r.w.WriteHeader(a.response.Status)
	}
	s.lastID, s.hasID = lastID, hasID
	r.renewWriteDeadline(time.Now())
	n, err := r.w.Write(data)
	s.written += int64(n)
	if err != nil {
		return err
	}
	return s.flusher.Flush()
}

// finishStream handles the normal end of an endpoint's response. A stream that
// ends inside an event is handled as an error, and so is one without events that only
// ended with its connection.
func (r *request) finishStream(a *attempt, s *streamState, eventStream bool) relayResult {
	if eventStream {
		if err := endError(a, &s.splitter); err != nil {
			return r.endBroken(a, err)
		}
	}
	if !r.hedge.claim(s.lastID, s.hasID) {
		return r.endSuperseded(a)
	}
	now := time.Now()
	a.assignment.Served(now)
	r.renewWriteDeadline(now)
	if !r.responseBegun {
		r.copyResponseHeader(a.response.Header)
		r.w.WriteHeader(a.response.Status)
	}
	r.endAttempt(a, endpointload.Succeeded)
	r.h.Metrics.Answered.Inc(1)
	r.h.Metrics.Latency.Update(time.Since(r.receivedAt))
	r.logRequestEnd(a.response.Status, "answered")
	return done
}

// relayErrorResponse forwards a response with a status of 300 or above if nothing
// was sent to the caller yet. Otherwise the response, whatever its status, does not continue
// the stream.
func (r *request) relayErrorResponse(a *attempt) relayResult {
	if !r.responseBegun {
		return r.relayBuffered(a)
	}
	r.endAttempt(a, endpointload.Failed)
	return failed
}

// endError returns why the end of a stream isn't that of a complete one, or nil.
func endError(a *attempt, splitter *eventstream.Splitter) error {
	switch {
	case splitter.HasPartial():
		return eris.New("stream ended inside an event")
	case !a.response.Framed() && !a.assignment.Begun():
		return eris.New("stream ended before its first event")
	}
	return nil
}

func (r *request) failStream(s *streamState, reason string) {
	if r.responseBegun {
		r.abortStream(s, reason)
	}
	r.failWithoutResponse(reason)
}

func (r *request) abortStream(s *streamState, reason string) { r.abortResponse(reason, s.written) }

// abortResponse closes the connection of a response whose headers and first bytes were
// sent, so that the response doesn't look complete.
func (r *request) abortResponse(reason string, written int64) {
	if r.callerDisconnected() {
		r.abortDisconnected(errConnectionClosed)
	}
	r.h.Metrics.Failed.Inc(1)
	r.logRequestEnd(0, reason)
	cause := conns.CutInAnswer
	if r.stopped() {
		cause = conns.Stopped
	}
	r.abandon(cause)
	r.h.Log.Info("response ended early", "request", r.id, "outcome", string(outcome.Unknown), "reason", reason, "bytes", written)
	panic(http.ErrAbortHandler)
}

// abortDisconnected ends a request whose caller has disconnected, or whose connection was ended for
// memory.
func (r *request) abortDisconnected(err error) {
	if r.endedForMemory() {
		r.h.Metrics.Failed.Inc(1)
		r.logRequestEnd(0, conns.ErrMemory.Error())
		panic(http.ErrAbortHandler)
	}
	r.h.Metrics.CallerDisconnected.Inc(1)
	r.logRequestEnd(0, "caller left")
	r.abandon(conns.CallerLeft)
	r.h.Log.Debug("caller disconnected", "request", r.id, "error", err.Error())
	panic(http.ErrAbortHandler)
}
