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
	// streamBuffer is the size of the reads from an endpoint's stream.
	streamBuffer = 4096
	// gatherTime is how long a busy router lets the events of a stream gather
	// after the first one, so that several cost one read and one write. It is
	// below the 120 ms in which callers expect an event.
	gatherTime = 80 * time.Millisecond
	// stallCheck is the interval at which a silent stream's endpoint is looked at.
	stallCheck = 250 * time.Millisecond
)

var errStalled = errors.New("the endpoint is silent")

// streamState is the part of a streamed answer that the caller has.
type streamState struct {
	splitter eventstream.Splitter
	// begun is set once the headers were passed on.
	begun   bool
	flusher *http.ResponseController
	written int64
}

// streamDelivery passes events on as they arrive. Until the first one the
// request can still be answered otherwise; after it, only a resumable stream
// goes on elsewhere.
type streamDelivery struct {
	r *request
	s *streamState
}

func (d streamDelivery) send(place *dispatch.Assignment) *attempt { return d.r.sendWatched(place, d.s) }
func (d streamDelivery) relay(a *attempt) verdict                 { return d.r.relayStream(a, d.s) }
func (d streamDelivery) giveUp(reason string)                     { d.r.giveUpStream(d.s, reason) }

func (d streamDelivery) noPlace(refusal *dispatch.Refusal) {
	if d.s.begun {
		d.r.abort(d.s, "no endpoint resumes the stream")
	}
	d.r.noPlace(refusal)
}

// resumeHeader asks an endpoint to go on after the last passed event.
func (r *request) resumeHeader(s *streamState) http.Header {
	id, ok := s.splitter.LastID()
	if !s.begun || !ok {
		return nil
	}
	return http.Header{r.h.Dialect.LastEventID: {strconv.FormatInt(id, 10)}}
}

// relayStream passes the events of one endpoint on.
func (r *request) relayStream(a *attempt, s *streamState) verdict {
	if a.answer.Status >= 300 {
		return r.relayFailure(a, s)
	}
	events := isEventStream(a.answer.Header)
	buffer := streamBuffers.get(streamBuffer)
	defer streamBuffers.put(buffer)
	for {
		n, err := a.answer.Body.Read(buffer)
		now := time.Now()
		if n > 0 {
			a.place.Receive(now)
			if werr := r.pass(a, s, buffer[:n], events, now); werr != nil {
				r.end(a, endpointload.Abandoned)
				r.callerLeft(werr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return r.endStream(a, s, events)
		case err != nil:
			a.err = err
			return r.streamCut(a, s)
		}
		if s.begun && r.h.Overload.Busy() {
			time.Sleep(gatherTime)
		}
	}
}

func isEventStream(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// pass writes the whole events among the bytes read so far.
func (r *request) pass(a *attempt, s *streamState, data []byte, events bool, now time.Time) error {
	if events {
		data = s.splitter.Feed(data)
	}
	if len(data) == 0 {
		return nil
	}
	a.place.Begin(now)
	if !s.begun {
		s.begun = true
		r.h.Metrics.FirstEvent.Update(now.Sub(r.arrived))
		r.copyAnswerHeader(a.answer.Header)
		r.w.WriteHeader(a.answer.Status)
	}
	n, err := r.w.Write(data)
	s.written += int64(n)
	if err != nil {
		return err
	}
	return s.flusher.Flush()
}

// endStream ends a stream whose endpoint ended it properly.
func (r *request) endStream(a *attempt, s *streamState, events bool) verdict {
	if events && s.splitter.Partial() {
		a.err = eris.New("the stream ended inside an event")
		return r.streamCut(a, s)
	}
	if !s.begun {
		s.begun = true
		r.copyAnswerHeader(a.answer.Header)
		r.w.WriteHeader(a.answer.Status)
	}
	r.end(a, endpointload.Succeeded)
	r.h.Metrics.Answered.Inc(1)
	r.h.Metrics.Latency.Update(time.Since(r.arrived))
	r.logEnd(a.answer.Status, "answered")
	return done
}

// streamCut goes on elsewhere or ends a stream that broke off.
func (r *request) streamCut(a *attempt, s *streamState) verdict {
	r.end(a, r.resultOf(a))
	s.splitter.DropPartial()
	_, hasID := s.splitter.LastID()
	if (!s.begun || hasID) && r.mayRepeat() {
		r.h.Metrics.Resumed.Inc(1)
		return again
	}
	r.giveUpStream(s, "the stream was cut off")
	return done
}

// relayFailure passes a failure of the endpoint on, if the caller has nothing yet.
func (r *request) relayFailure(a *attempt, s *streamState) verdict {
	if !s.begun {
		return r.relayWhole(a)
	}
	r.end(a, endpointload.Failed)
	if r.mayRepeat() {
		return again
	}
	r.abort(s, "the resumed stream failed")
	return done
}

func (r *request) giveUpStream(s *streamState, reason string) {
	if s.begun {
		r.abort(s, reason)
	}
	r.giveUp(reason)
}

// abort ends an answer that has begun so that it doesn't look complete.
func (r *request) abort(s *streamState, reason string) {
	if r.callerGone() {
		r.callerLeft(r.in.Context().Err())
	}
	r.h.Metrics.Failed.Inc(1)
	r.logEnd(0, reason)
	r.h.Log.Info("stream ended early", "request", r.id, "outcome", string(outcome.Unknown), "reason", reason, "bytes", s.written)
	panic(http.ErrAbortHandler)
}

func (r *request) callerLeft(err error) {
	r.h.Metrics.CallerGone.Inc(1)
	r.logEnd(0, "caller left")
	r.h.Log.Debug("caller left", "request", r.id, "error", err.Error())
	panic(http.ErrAbortHandler)
}
