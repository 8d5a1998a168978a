package endpointhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes; it holds
	// the headers of most responses.
	readBufferSize = 2048
	// maxHeadBytes bounds the headers of one response, and of all interim responses
	// before it, in bytes.
	maxHeadBytes = 64 << 10
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and
	// the interval between probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which a connection is closed.
	keepAliveCount = 3
	// userTimeoutMs is the time in milliseconds that sent data may stay
	// unacknowledged before the connection is closed (TCP_USER_TIMEOUT).
	userTimeoutMs = 2500
	// acknowledgeInterval is the interval at which a socket is checked for data that isn't
	// acknowledged; round trips take 0.1 to 10 ms.
	acknowledgeInterval = 2 * time.Millisecond
)

// errHeadTooLarge reports that an endpoint sent more than maxHeadBytes before the
// end of a response's headers.
var errHeadTooLarge = eris.New("response headers are too large")

// headReader reads from a connection and bounds the bytes that are read while
// limited is set. net/http does not bound the headers of a response that is read
// from a plain reader.
type headReader struct {
	net.Conn
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	head   *headReader
	reader *bufio.Reader
	// verified is set if the connection is known to reach the registered incarnation of the endpoint.
	verified bool
	// patient is set while TCP_USER_TIMEOUT is off.
	patient bool
	// requestsSent is the number of requests sent on the connection so far.
	requestsSent int
	// idleSince is the time at which the connection was put into the pool.
	idleSince time.Time
	// idleTimeout is the idle time after which the endpoint closes the
	// connection; 0 if the endpoint didn't announce one.
	idleTimeout time.Duration
}

// Dialer returns a dialer whose connections fail soon after the remote end
// becomes unreachable.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeoutMs) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 removes the limit.
func setUserTimeout(raw syscall.RawConn, ms int) error {
	return raw.Control(func(fd uintptr) {
		// The error is ignored: keep-alive probes work without this option.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
}

// setUserTimeout sets TCP_USER_TIMEOUT of the connection, if it has a socket.
func (c *conn) setUserTimeout(ms int) {
	if raw, ok := c.raw(); ok {
		// A closed connection needs no timeout.
		_ = setUserTimeout(raw, ms)
	}
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	c, err := Dialer(timeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	head := &headReader{Conn: c}
	return &conn{Conn: c, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}, nil
}

// reusable reports whether an idle connection is open and has no unread bytes.
func (c *conn) reusable() bool {
	return c.reader.Buffered() == 0 && sockpeek.Peek(c.Conn) == sockpeek.Idle
}

// hasUnread reports whether bytes that the endpoint sent wait in the socket. It may be called while the
// response is read: unlike a read or peek, it leaves a pending error of the socket to the reader.
func (c *conn) hasUnread() bool {
	unread := 0
	if raw, ok := c.raw(); ok {
		// The error is that the connection is closed already.
		_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	return unread > 0
}

// awaitAcknowledged waits until the endpoint has acknowledged all that was written, and returns io.EOF
// then. It returns an error if the connection breaks or ctx ends before. An endpoint that ends the
// connection after it has received the request has acknowledged it with that.
func (c *conn) awaitAcknowledged(ctx context.Context) error {
	for {
		received, err := sockpeek.Acknowledged(c.Conn)
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", errRequestCut, err)
		case received:
			return io.EOF
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(acknowledgeInterval):
		}
	}
}

// raw returns the socket of the connection, and false if it has none.
func (c *conn) raw() (syscall.RawConn, bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or 0 if it has none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
