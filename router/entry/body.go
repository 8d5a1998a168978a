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

// firstBuffer is the size of a body's first buffer, in bytes. Memory is taken
// as bytes arrive, so that a caller that announces a large body and sends
// nothing takes none of the room of others.
const firstBuffer = 4 << 10

const (
	// lingerBytes and lingerTime bound what is read of a refused body after the
	// answer. A connection that is closed while body bytes arrive is reset, and
	// the caller then often loses the answer.
	lingerBytes = 1 << 20
	lingerTime  = time.Second
)

func tooLarge(id string) *outcome.Outcome {
	o := outcome.New(outcome.NotRun, http.StatusRequestEntityTooLarge, id, "the body is too large")
	return &o
}

// readBody reads the whole body into memory, within the limits.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request) *outcome.Outcome {
	// One byte more than allowed shows that a body is too large.
	most := s.o.Limits.MaxBody + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := min(max(2*int64(cap(body)), firstBuffer), most)
			if refusal := s.reserve(q, grown-int64(cap(body))); refusal != nil {
				return refusal
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > s.o.Limits.MaxBody {
			return tooLarge(q.id)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return bodyFault(w, q.id, err)
		}
	}
	q.body = body
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

func bodyFault(w http.ResponseWriter, id string, err error) *outcome.Outcome {
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		o := outcome.New(outcome.NotRun, http.StatusRequestTimeout, id, "the body did not arrive in time")
		return &o
	}
	o := outcome.New(outcome.NotRun, http.StatusBadRequest, id, "the body could not be read")
	return &o
}

// writeEarly sends an outcome before the body has been read to its end, and
// discards a bounded rest of the body so that the answer reaches the caller.
// HTTP/2 ends the stream without a loss, and a caller that waits for 100
// Continue sends no body.
func (s *Server) writeEarly(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	if r.ProtoMajor != 1 || r.Header.Get("Expect") != "" {
		s.write(w, o)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > lingerBytes {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	// Lets the body be read after the answer has been written.
	_ = control.EnableFullDuplex()
	s.write(w, o)
	if control.Flush() != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	// Beyond its limit, MaxBytesReader has the server close the connection in
	// two steps, which gives the caller time to read the answer.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, lingerBytes))
}

// bodyReader reads a body from memory. It has no other methods of
// bytes.Reader, so that the transport has no way to rewind it.
type bodyReader struct{ reader *bytes.Reader }

func newBodyReader(body []byte) *bodyReader {
	return &bodyReader{reader: bytes.NewReader(body)}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *bodyReader) Close() error { return nil }
