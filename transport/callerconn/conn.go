// Package callerconn lets a process that stops end the HTTP/1.1 connections of its callers without losing a
// request that was sent whole: it takes what waits in the kernel before it closes the listener, and closes a
// connection only if nothing of a request has arrived on it. http.Server.Shutdown does neither. The package
// owns the connections of a Listener until their end.
package callerconn

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

const (
	// minIdleTime is how long a connection may stay without a request at a stop.
	minIdleTime = 250 * time.Millisecond
	// handshakeTime is how long one with TLS may stay without its first request.
	handshakeTime = time.Second
)

// prefaceStart is how a connection with HTTP/2 and without TLS begins, and no other does.
var prefaceStart = []byte("PRI * ")

// ErrNoSocket means that a connection or listener gives no access to its socket.
var ErrNoSocket = errors.New("no access to the socket")

// Conn is the connection of a caller. It records whether the connection is idle. Its reads and changes of its
// state must be made by an http.Server.
type Conn struct {
	net.Conn
	accepted time.Time
	// secure is set if the bytes that are read are those of TLS.
	secure bool
	ended  *atomic.Int64
	// remove, if set, is called by the first Close.
	remove func()
	closed atomic.Bool
	// served is set once the server reads.
	served atomic.Bool
	// requested is set once a request has begun, received while one was begun and not answered.
	requested, received atomic.Bool
	// http2 is set once the connection is known to use HTTP/2.
	http2 atomic.Bool
	// endedIdle is set once the connection is ended as idle.
	endedIdle atomic.Bool
	// start holds the first bytes. Only Read uses it.
	start []byte

	// mu guards the fields below and the order in which read deadlines are set.
	mu           sync.Mutex
	readDeadline time.Time
	// interrupted is set while a read is to end if nothing has arrived.
	interrupted bool
	// idleSince is the time at which the connection became idle after an answer.
	idleSince time.Time
}

// New returns the connection that was accepted at this time and isn't encrypted. It counts in ended if it is
// ended as idle.
func New(c net.Conn, accepted time.Time, ended *atomic.Int64) *Conn {
	return &Conn{Conn: c, accepted: accepted, ended: ended}
}

// ConnState records the state of connections of a Listener. It must be set as ConnState of the http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	secure, ok := conn.(*tls.Conn)
	if ok {
		conn = secure.NetConn()
	}
	c, isConn := conn.(*Conn)
	if !isConn {
		return
	}
	if ok && state != http.StateNew && secure.ConnectionState().NegotiatedProtocol == "h2" {
		c.http2.Store(true)
	}
	c.SetState(state)
}

// SetState records a new state of the connection.
func (c *Conn) SetState(state http.ConnState) {
	switch state {
	case http.StateActive:
		// With TLS, the whole request may have been read together with the end of the one before.
		c.requested.Store(true)
		c.received.Store(true)
	case http.StateIdle:
		c.received.Store(false)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idleSince = time.Now()
	}
}

// Received reports whether bytes of a request were read that isn't answered.
func (c *Conn) Received() bool { return c.received.Load() }

// EndedIdle reports whether the connection is ended as idle.
func (c *Conn) EndedIdle() bool { return c.endedIdle.Load() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.served.Store(true)
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.record(p[:n])
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
			if c.received.Load() || c.http2.Load() || sockpeek.Peek(c.Conn) == sockpeek.Readable {
				continue
			}
			c.endedIdle.Store(true)
			c.ended.Add(1)
			return 0, io.EOF
		}
		return n, err
	}
}

// record records that bytes were read.
func (c *Conn) record(data []byte) {
	if c.secure {
		// The first bytes are those of the handshake.
		c.received.Store(c.requested.Load())
		return
	}
	c.received.Store(true)
	if missing := len(prefaceStart) - len(c.start); missing > 0 {
		c.start = append(c.start, data[:min(missing, len(data))]...)
		c.http2.Store(bytes.Equal(c.start, prefaceStart))
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// EndIfIdle lets the server close the connection if it has been idle for a while and nothing of a request
// has arrived. It leaves alone one with HTTP/2, and one that the server doesn't read yet.
func (c *Conn) EndIfIdle(now time.Time) {
	if !c.served.Load() || c.received.Load() || c.http2.Load() {
		return
	}
	minAge := minIdleTime
	if c.secure && !c.requested.Load() {
		minAge = handshakeTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.accepted) < minAge || now.Sub(c.idleSince) < minIdleTime {
		return
	}
	c.interrupted = true
	// A connection that is closed already needs no deadline.
	_ = c.Conn.SetReadDeadline(time.Unix(0, 0))
}

// resume restores the read deadline after EndIfIdle, and reports whether that had changed it.
func (c *Conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// CloseWrite ends the side of the connection that is written to. The HTTP server uses it to let the caller
// of a long body see an early answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return ErrNoSocket
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) && c.remove != nil {
		c.remove()
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn. It gives access to the state of the underlying socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return RawConn(c.Conn) }

// RawConn returns the socket of a connection or listener.
func RawConn(c any) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, ErrNoSocket
	}
	return sc.SyscallConn()
}
