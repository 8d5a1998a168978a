package entry

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
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
	// stallCheckInterval is the interval at which the endpoint of a stream is
	// checked for a stall.
	stallCheckInterval = 250 * time.Millisecond
)

var (
	errStalled       = errors.New("endpoint stalled")
	errUnsavedOrigin = errors.New("the origin of the stream can't be saved")
	errEventTooLong  = errors.New("event in the endpoint's stream is too long")
)

// streamState is the state of a streamed response across attempts.
type streamState struct {
	splitter eventstream.Splitter
	// headersSent is set once the response headers were sent to the caller.
	headersSent bool
	flusher     *http.ResponseController
	written     int64
}

// streamDelivery forwards events as they arrive. Before the first event, the
// request can still be retried or refused; after it, only a resumable stream can
// continue at another endpoint.
type streamDelivery struct {
	r *request
	s *streamState
}

func (d streamDelivery) send(assignment *dispatch.Assignment) *attempt {
	d.r.logResumption(assignment, d.s)
	return d.r.sendWithStallDetection(assignment, d.s)
}
func (d streamDelivery) relay(a *attempt) relayResult      { return d.r.relayStream(a, d.s) }
func (d streamDelivery) failWithoutResponse(reason string) { d.r.failStream(d.s, reason) }

func (d streamDelivery) rejectUnplaced(refusal *dispatch.Refusal) {
	if d.s.headersSent {
		d.r.abortStream(d.s, "no endpoint resumes the stream")
	}
	d.r.rejectUnplaced(refusal)
}

// resumeHeader returns the header with which an endpoint resumes after the last
// forwarded event, or nil if nothing was forwarded or the events have no IDs.
func (r *request) resumeHeader(s *streamState) http.Header {
	id, ok := s.splitter.LastID()
	if !s.headersSent || !ok {
		return nil
	}
	return http.Header{r.h.Dialect.LastEventID: {strconv.FormatInt(id, 10)}}
}

// relayStream forwards the events of one endpoint.
func (r *request) relayStream(a *attempt, s *streamState) relayResult {
	eventStream := isEventStream(a.response.Header)
	if a.response.Status >= 300 || s.headersSent && !eventStream {
		return r.relayErrorResponse(a, s)
	}
	buffer := streamBuffers.get(streamBuffer)
	defer streamBuffers.put(buffer)
	for {
		n, err := a.response.Body.Read(buffer)
		now := time.Now()
		if n > 0 {
			writeErr := r.forwardEvents(a, s, buffer[:n], eventStream, now)
			if errors.Is(writeErr, errUnsavedOrigin) {
				r.endAttempt(a, endpointload.Abandoned)
				s.splitter = eventstream.Splitter{}
				return r.beginAgain(a)
			}
			if writeErr != nil {
				r.endAttempt(a, endpointload.Abandoned)
				r.abortDisconnected(writeErr)
			}
		}
		switch {
		case s.splitter.Overflowed():
			a.err = errEventTooLong
			return r.handleStreamError(a, s)
		case errors.Is(err, io.EOF):
			return r.finishStream(a, s, eventStream)
		case err != nil:
			a.err = err
			return r.handleStreamError(a, s)
		}
		if s.headersSent && r.h.Overload.PreferBatching() {
			time.Sleep(coalesceDelay)
		}
	}
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// forwardEvents writes the events that are complete with data, or data itself if
// the response is not an event stream. Only complete events count as received: an
// endpoint that sends single bytes and no events is stalled. It returns errUnsavedOrigin if the
// caller must not get the first events.
func (r *request) forwardEvents(a *attempt, s *streamState, data []byte, eventStream bool, now time.Time) error {
	if eventStream {
		data = s.splitter.Feed(data)
	}
	if len(data) == 0 {
		return nil
	}
	a.assignment.Receive(now)
	a.assignment.Begin(now)
	if eventStream {
		a.assignment.Served(now)
	}
	if !s.headersSent {
		if eventStream && !r.recordOrigin(a) {
			return errUnsavedOrigin
		}
		s.headersSent = true
		r.h.Metrics.FirstEvent.Update(now.Sub(r.receivedAt))
		r.copyResponseHeader(a.response.Header)
		r.w.WriteHeader(a.response.Status)
	}
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
	switch {
	case eventStream && s.splitter.HasPartial():
		a.err = eris.New("stream ended inside an event")
		return r.handleStreamError(a, s)
	case eventStream && !a.response.Framed() && !a.assignment.Begun():
		a.err = eris.New("stream ended before its first event")
		return r.handleStreamError(a, s)
	}
	a.assignment.Served(time.Now())
	if !s.headersSent {
		s.headersSent = true
		r.copyResponseHeader(a.response.Header)
		r.w.WriteHeader(a.response.Status)
	}
	r.endAttempt(a, endpointload.Succeeded)
	r.h.Metrics.Answered.Inc(1)
	r.h.Metrics.Latency.Update(time.Since(r.receivedAt))
	r.logRequestEnd(a.response.Status, "answered")
	return done
}

// handleStreamError retries or resumes an interrupted stream at another endpoint
// if possible, and otherwise fails it.
func (r *request) handleStreamError(a *attempt, s *streamState) relayResult {
	r.endAttempt(a, r.resultOf(a))
	s.splitter.DropPartial()
	_, hasID := s.splitter.LastID()
	if (!s.headersSent || hasID) && r.takeRetry(a) {
		r.h.Metrics.Resumed.Inc(1)
		return retryRequest
	}
	r.failStream(s, "the stream was cut off")
	return done
}

// relayErrorResponse forwards a response with a status of 300 or above if nothing
// was sent to the caller yet. Otherwise the response, whatever its status, does not continue
// the stream, which is retried or aborted.
func (r *request) relayErrorResponse(a *attempt, s *streamState) relayResult {
	if !s.headersSent {
		return r.relayBuffered(a)
	}
	r.endAttempt(a, endpointload.Failed)
	if r.takeRetry(a) {
		return retryRequest
	}
	r.abortStream(s, "the resumed stream failed")
	return done
}

func (r *request) failStream(s *streamState, reason string) {
	if s.headersSent {
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
	r.h.Log.Info("response ended early", "request", r.id, "outcome", string(outcome.Unknown), "reason", reason, "bytes", written)
	panic(http.ErrAbortHandler)
}

// abortDisconnected ends a request whose caller has disconnected.
func (r *request) abortDisconnected(err error) {
	r.h.Metrics.CallerDisconnected.Inc(1)
	r.logRequestEnd(0, "caller left")
	r.h.Log.Debug("caller disconnected", "request", r.id, "error", err.Error())
	panic(http.ErrAbortHandler)
}
