package endpointhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/transport/httpstatus"
)

// Target identifies an endpoint instance and its address.
type Target struct {
	Instance string
	Address  string
}

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request identifier that the endpoint returns in the header IDHeader.
	ID       string
	IDHeader string
	// Recheck is called immediately before the request is written. If it returns an
	// error, the request is not sent. nil skips this check. unread reports whether bytes that
	// the endpoint sent wait in the socket; it may be called until the response is closed.
	Recheck func(unread func() bool) error
	// MaxIdleTime is the maximum idle time of a pooled connection used for the request.
	MaxIdleTime time.Duration
	// Verify, if not nil, verifies a connection that was opened while the pool was uncertain, before the
	// request is sent on it. If it fails, the request is not sent.
	Verify *Verification
}

// NotSentError reports that no byte of the request was sent.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap implements the interface used by errors.Is and errors.As.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent reports whether err is or wraps a NotSentError.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// maxStaleResponses is the maximum number of responses read for one request;
// those that belong to earlier requests are skipped.
const maxStaleResponses = 4

// maxStaleBytes limits the body of a skipped response.
const maxStaleBytes = 1 << 20

var (
	errMismatchedID  = eris.New("response identifier does not match the request")
	errInvalidStatus = eris.New("response has a status that HTTP doesn't define")
	errOtherProtocol = eris.New("response is not in HTTP/1")
	errTooManyStale  = eris.New("too many responses to other requests on the connection")
	// errRequestCut is the end of a response that may have been cut off together with its request.
	errRequestCut = eris.New("the connection ended before the endpoint had the whole request")
)

// Response is the response to one request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body is the response body. It returns io.EOF only at the end of a
	// complete body.
	Body io.Reader
	// Reused reports whether the connection carried earlier requests.
	Reused bool

	raw      *http.Response
	conn     *conn
	pool     *Pool
	instance string
	// ctx is the context of Do.
	ctx context.Context
	// stop ends the watch on the context of Do. It returns false if the context
	// has ended and the connection is being closed.
	stop     func() bool
	complete bool
	// failed is set once the body could not be read.
	failed bool
	// early is set if the response arrived before the whole request was written.
	early bool
	// written delivers the result of writing the request; nil once it is known.
	written <-chan error
	// writeErr is that result; it is valid while written is nil.
	writeErr error
}

// Do sends a request and returns once the response headers have been read.
// When ctx is done the connection is closed, also while the body is being read.
// If no byte of the request was sent, the error is a *NotSentError.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Err: err}
	}
	c, err := p.get(ctx, t, r.MaxIdleTime)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	return p.doOn(ctx, c, t, r)
}

// DoNew sends a request like Do, on a new connection.
func (p *Pool) DoNew(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := p.dial(ctx, t)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	return p.doOn(ctx, c, t, r)
}

func (p *Pool) doOn(ctx context.Context, c *conn, t Target, r *Request) (*Response, error) {
	if r.Verify != nil && !c.verified {
		var err error
		if c, err = p.verified(ctx, c, t, r.Verify); err != nil {
			return nil, &NotSentError{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := c.exchange(ctx, r)
	if NotSent(err) && stop() {
		p.putUnused(t.Instance, c)
		return nil, err
	}
	if err != nil {
		p.noteBroken(ctx, t.Instance, err)
		stop()
		_ = c.Close()
		return nil, err
	}
	response.pool, response.instance, response.ctx, response.stop = p, t.Instance, ctx, stop
	return response, nil
}

// noteBroken calls OnBroken for an error of an exchange, unless this process closed the connection.
func (p *Pool) noteBroken(ctx context.Context, instance string, err error) {
	if ctx.Err() == nil && !NotSent(err) && !errors.Is(err, net.ErrClosed) {
		p.broken(instance, false)
	}
}

// checkBeforeSend returns an error if ctx is done or the request must not be sent any
// more.
func (r *Request) checkBeforeSend(ctx context.Context, c *conn) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.Recheck != nil {
		return r.Recheck(c.hasUnread)
	}
	return nil
}

// exchange writes the request and reads the response headers. It returns a *NotSentError if the check
// before the write failed. The beginning of the request is written right after the check, by the same
// goroutine; the rest of a long body is written concurrently with the reading, since an endpoint may
// respond before it has read the whole request.
func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	head := head(r)
	first, rest := r.Body, []byte(nil)
	if len(r.Body) > MaxSyncBodySize {
		first, rest = r.Body[:MaxSyncBodySize], r.Body[MaxSyncBodySize:]
	}
	if err := r.checkBeforeSend(ctx, c); err != nil {
		return nil, &NotSentError{Err: err}
	}
	if len(rest) > 0 {
		// TCP_USER_TIMEOUT also ends a connection whose receiver reads nothing for so long, as an
		// endpoint that pauses may do.
		// It may also answer first and read the rest of the body later.
		c.setUserTimeout(0)
		c.patient = true
	}
	reused := c.requestsSent > 0
	c.requestsSent++
	written := make(chan error, 1)
	if err := c.write(head, first); err != nil || len(rest) == 0 {
		written <- err
	} else {
		go func() {
			_, err := c.Conn.Write(rest)
			written <- err
		}()
	}
	response, err := c.readResponse(r, reused)
	early, pending := false, (<-chan error)(nil)
	var writeErr error
	select {
	case writeErr = <-written:
		if err != nil && writeErr != nil {
			return nil, eris.Wrap(writeErr, "send request")
		}
		early = writeErr != nil
	default:
		early, pending = true, written
	}
	if err != nil {
		return nil, err
	}
	resp := &Response{Status: response.StatusCode, Header: response.Header, raw: response, conn: c, Reused: reused, early: early,
		written: pending, writeErr: writeErr, ctx: ctx}
	resp.Body = &body{response: resp}
	return resp, nil
}

// MaxSyncBodySize is the maximum size in bytes of the part of a body that fits into the
// socket's send buffer and is therefore written synchronously. The rest of a longer body is
// written by a separate goroutine and may still be in use after Do has returned.
const MaxSyncBodySize = 96 << 10

func (c *conn) write(head, rest []byte) error {
	buffers := net.Buffers{head}
	if len(rest) > 0 {
		buffers = append(buffers, rest)
	}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// head returns the request line and the headers.
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
	// Header.Write fails only if its writer does, and a bytes.Buffer does not.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads responses until one matches the request's identifier. On a
// new connection a response without an identifier is accepted as well.
func (c *conn) readResponse(r *Request, reused bool) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	c.head.remaining = maxHeadBytes
	for range maxStaleResponses {
		c.head.limited = true
		response, err := http.ReadResponse(c.reader, request)
		c.head.limited = false
		if err != nil {
			return nil, eris.Wrap(err, "read response")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, eris.New("endpoint switched protocols")
			}
			continue
		}
		if !httpstatus.IsFinal(response.StatusCode) {
			return nil, errInvalidStatus
		}
		if response.ProtoMajor != 1 {
			return nil, errOtherProtocol
		}
		id := response.Header.Get(r.IDHeader)
		if id == r.ID || (id == "" && !reused) {
			return response, nil
		}
		if !reused {
			return nil, errMismatchedID
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil || n == maxStaleBytes {
			return nil, errMismatchedID
		}
	}
	return nil, errTooManyStale
}

// body marks its response as complete when the underlying body returns io.EOF.
type body struct{ response *Response }

func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.raw.Body.Read(p)
	if errors.Is(err, io.EOF) && !b.response.complete && b.response.endsWithConnection() {
		err = b.response.confirmEnd()
	}
	switch {
	case errors.Is(err, io.EOF):
		b.response.complete = true
	case err != nil && !b.response.failed:
		b.response.failed = true
		b.response.pool.noteBroken(b.response.ctx, b.response.instance, err)
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection gives the end of the body.
func (r *Response) endsWithConnection() bool { return !r.Framed() && r.raw.Body != http.NoBody }

// confirmEnd returns io.EOF if the end of the connection is that of a complete body, and otherwise an
// error. A socket returns its error only once: if the connection is reset while the request is still
// being written, the writer gets the error and the reader a normal end. So the body is complete only if
// the endpoint has received the whole request, without an error.
func (r *Response) confirmEnd() error {
	if r.written != nil {
		select {
		case r.writeErr = <-r.written:
			r.written = nil
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
	if r.writeErr != nil {
		return fmt.Errorf("%w: %w", errRequestCut, r.writeErr)
	}
	return r.conn.awaitAcknowledged(r.ctx)
}

// Complete reports whether the whole body was read.
func (r *Response) Complete() bool { return r.complete }

// Framed reports whether the end of the body is given by a Content-Length or
// a transfer encoding, and not only by the end of the connection.
func (r *Response) Framed() bool {
	return r.raw.ContentLength >= 0 || len(r.raw.TransferEncoding) > 0
}

// keepsConnection reports whether the connection may carry another request.
func (r *Response) keepsConnection() bool {
	return r.complete && !r.early && !r.raw.Close && r.Framed() && r.conn.reader.Buffered() == 0
}

// Close returns the connection to the pool if the request and the response were
// transferred completely and no unread bytes remain; otherwise it closes the
// connection.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c, keeps := r.conn, r.keepsConnection()
	r.conn = nil
	if notCanceled := r.stop(); !notCanceled || !keeps {
		_ = c.Close()
		return
	}
	if c.patient {
		c.setUserTimeout(userTimeoutMs)
		c.patient = false
	}
	c.idleTimeout = keepAliveTimeout(r.Header)
	r.pool.put(r.instance, c)
}
