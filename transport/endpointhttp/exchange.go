package endpointhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Target is one endpoint instance.
type Target struct {
	Instance string
	Address  string
}

// Request is one request with its whole body.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the endpoint echoes in IDHeader.
	ID       string
	IDHeader string
	// Abandoned reports, right before the request is written, whether nobody
	// waits for its answer any longer; nil if that isn't known.
	Abandoned func() bool
	// MaxIdle is the longest idle time of a connection that may carry the request.
	MaxIdle time.Duration
}

// NotSentError means that no byte of the request left the process.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent reports whether err says that no byte was sent.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// maxStaleAnswers bounds the answers to earlier requests that are skipped on
// one connection.
const maxStaleAnswers = 4

// maxStaleBytes bounds the body of a skipped answer.
const maxStaleBytes = 1 << 20

var (
	errWrongAnswer = eris.New("the answer belongs to another request")
	errStale       = eris.New("too many answers to other requests on the connection")
)

// Answer is the answer to one request. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body yields the answer's bytes; it returns io.EOF only at the end of a
	// complete body.
	Body io.Reader
	// Reused tells that the connection had carried other requests.
	Reused bool

	response *http.Response
	conn     *conn
	pool     *Pool
	instance string
	stop     func() bool
	complete bool
	// early is set if the answer came before the whole request was written.
	early bool
}

// Do sends a request and returns the answer after its headers. The end of ctx
// closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Err: err}
	}
	c, err := p.get(ctx, t, r.MaxIdle)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.pointless(ctx); err != nil {
		stop()
		_ = c.Close()
		return nil, &NotSentError{Err: err}
	}
	answer, err := c.exchange(r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	answer.pool, answer.instance, answer.stop = p, t.Instance, stop
	return answer, nil
}

var errAbandoned = eris.New("the caller left before the request was sent")

// pointless returns why the request must not be sent any longer, or nil.
func (r *Request) pointless(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.Abandoned != nil && r.Abandoned() {
		return errAbandoned
	}
	return nil
}

// exchange writes the request and reads the headers of its answer. The body is
// written beside the reading, since an endpoint may answer before it has read
// the whole request.
func (c *conn) exchange(r *Request) (*Answer, error) {
	reused := c.served > 0
	c.served++
	written := make(chan error, 1)
	head := head(r)
	if len(r.Body) <= SmallBody {
		written <- c.write(head, r.Body)
	} else {
		go func() { written <- c.write(head, r.Body) }()
	}
	response, err := c.readAnswer(r, reused)
	early := false
	select {
	case werr := <-written:
		if err != nil && werr != nil {
			return nil, eris.Wrap(werr, "send request")
		}
		early = werr != nil
	default:
		early = true
	}
	if err != nil {
		return nil, err
	}
	a := &Answer{Status: response.StatusCode, Header: response.Header, response: response, conn: c, Reused: reused, early: early}
	a.Body = &body{answer: a}
	return a, nil
}

// SmallBody is the size in bytes up to which a body fits the socket's send
// buffer, so that it is written without a goroutine of its own. A longer body
// may still be in use after Do has returned.
const SmallBody = 96 << 10

func (c *conn) write(head, rest []byte) error {
	buffers := net.Buffers{head}
	if len(rest) > 0 {
		buffers = append(buffers, rest)
	}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

func head(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	// Header.Write fails only with its writer.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readAnswer reads answers until one belongs to the request. On a fresh
// connection the first answer needs no identifier.
func (c *conn) readAnswer(r *Request, reused bool) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxStaleAnswers {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, eris.New("the endpoint switched protocols")
			}
			continue
		}
		id := response.Header.Get(r.IDHeader)
		if id == r.ID || (id == "" && !reused) {
			return response, nil
		}
		if !reused {
			return nil, errWrongAnswer
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil || n == maxStaleBytes {
			return nil, errWrongAnswer
		}
	}
	return nil, errStale
}

// body counts a body as complete only at a clean end.
type body struct{ answer *Answer }

func (b *body) Read(p []byte) (int, error) {
	n, err := b.answer.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.complete = true
	}
	return n, err
}

// Complete reports whether the whole body was read.
func (a *Answer) Complete() bool { return a.complete }

// Framed reports whether the end of the body is marked by the protocol and not
// only by the end of the connection.
func (a *Answer) Framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Close returns the connection to the pool if nothing can remain on it, and
// closes it otherwise.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	alive := a.stop()
	if !alive || !a.complete || a.early || a.response.Close || !a.Framed() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleLimit = idleLimit(a.Header)
	a.pool.put(a.instance, c)
}
