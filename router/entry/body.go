package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// initialBufferSize is the size in bytes of a body's initial buffer. Memory is
// reserved as bytes arrive, so that a caller that announces a large body and
// sends nothing does not use up the capacity of others.
const initialBufferSize = 4 << 10

const (
	// lingerBytes and lingerTime limit how much of a refused request's body is
	// read after the response, and for how long. Closing a connection while body
	// bytes arrive resets it, and the caller then often loses the response.
	lingerBytes = 1 << 20
	lingerTime  = time.Second
)

func bodyTooLarge(id string) *outcome.Outcome {
	o := outcome.New(outcome.NotRun, http.StatusRequestEntityTooLarge, id, "the body is too large")
	return &o
}

// readBody reads the whole body into memory within the limits. It returns nil on
// success, otherwise the outcome for the caller.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request) *outcome.Outcome {
	// One byte more than the limit is read to detect a body that is too large.
	limit := s.opts.Limits.MaxBody + 1
	if r.ContentLength >= 0 {
		limit = r.ContentLength + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			newCap := min(max(2*int64(cap(body)), initialBufferSize), limit)
			if refusal := s.reserve(q, newCap-int64(cap(body))); refusal != nil {
				return refusal
			}
			body = append(make([]byte, 0, newCap), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > s.opts.Limits.MaxBody {
			return bodyTooLarge(q.id)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return bodyError(w, q.id, err)
		}
	}
	q.body = body
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

func bodyError(w http.ResponseWriter, id string, err error) *outcome.Outcome {
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		o := outcome.New(outcome.NotRun, http.StatusRequestTimeout, id, "the body did not arrive in time")
		return &o
	}
	o := outcome.New(outcome.NotRun, http.StatusBadRequest, id, "the body could not be read")
	return &o
}

// writeOutcomeEarly sends an outcome before the body has been read completely, and then
// discards a limited amount of the body so that the response reaches the caller.
// This is not needed for HTTP/2, which can end the stream without losing the
// response, and for a caller that waits for 100 Continue, which sends no body.
func (s *Server) writeOutcomeEarly(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	if r.ProtoMajor != 1 || r.Header.Get("Expect") != "" {
		s.writeOutcome(w, r.ProtoMajor, o)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > lingerBytes {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	// Allows reading the body after the response has been written.
	_ = control.EnableFullDuplex()
	s.writeOutcome(w, r.ProtoMajor, o)
	if control.Flush() != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	// When its limit is exceeded, MaxBytesReader makes the server close the write
	// side of the connection first, which gives the caller time to read the response.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, lingerBytes))
}

// bodyReader reads a body from memory. It hides the other methods of
// bytes.Reader, so that the transport can't rewind the body.
type bodyReader struct{ reader *bytes.Reader }

func newBodyReader(body []byte) *bodyReader {
	return &bodyReader{reader: bytes.NewReader(body)}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *bodyReader) Close() error { return nil }
