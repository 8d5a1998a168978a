package agent

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

// writeCheckInterval is the interval at which the last write and the acknowledgement of a request are
// checked; both take less than a round trip to the endpoint on the same host.
const writeCheckInterval = time.Millisecond

var errRequestCut = errors.New("the connection ended before the endpoint had the whole request")

// endpointConn is the connection of one request to the endpoint. Its end is the end of a response without
// a length, and so counts as one only if the endpoint has received the whole request: a socket returns
// its error only once. If the connection is reset while the request is still being written, the writer
// gets the error and the reader a normal end.
type endpointConn struct {
	net.Conn
	// written is closed once the request was passed to Write, but for what the transport buffers, or
	// that failed with requestErr.
	written    chan struct{}
	requestErr error
	onWritten  sync.Once
	closed     chan struct{}
	onClose    sync.Once
	// started and ended count calls of Write, failed holds the first error of one.
	started, ended atomic.Int64
	failed         atomic.Pointer[error]
}

func newEndpointConn(c net.Conn) *endpointConn {
	return &endpointConn{Conn: c, written: make(chan struct{}), closed: make(chan struct{})}
}

// endpointConnOf returns the endpointConn of a connection that the transport uses.
func endpointConnOf(c net.Conn) *endpointConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	conn, _ := c.(*endpointConn)
	return conn
}

// wroteRequest records that the transport has written the request, or why it hasn't.
func (c *endpointConn) wroteRequest(err error) {
	if c == nil {
		return
	}
	c.onWritten.Do(func() {
		c.requestErr = err
		close(c.written)
	})
}

// Write implements net.Conn.
func (c *endpointConn) Write(p []byte) (int, error) {
	c.started.Add(1)
	defer c.ended.Add(1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read implements net.Conn.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.confirmEnd()
	}
	return n, err
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.onClose.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// confirmEnd waits until the endpoint has received the whole request. It returns io.EOF then, and
// another error if the request can't be completed.
func (c *endpointConn) confirmEnd() error {
	select {
	case <-c.written:
	case <-c.closed:
		return net.ErrClosed
	}
	if c.requestErr != nil {
		return fmt.Errorf("%w: %w", errRequestCut, c.requestErr)
	}
	for {
		writing := c.started.Load() > c.ended.Load()
		if err := c.failed.Load(); err != nil {
			return fmt.Errorf("%w: %w", errRequestCut, *err)
		}
		if !writing {
			received, err := sockpeek.Acknowledged(c.Conn)
			if err != nil {
				return fmt.Errorf("%w: %w", errRequestCut, err)
			}
			if received {
				return io.EOF
			}
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(writeCheckInterval):
		}
	}
}
