package conns

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/acaciaspar/acaciaspar/transport/callerconn"
	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

// Conn is the connection of a caller.
type Conn struct {
	*callerconn.Conn
	listener *Listener
	accepted time.Time
	closed   atomic.Bool
	// handled is set once the handler of a request has answered it, answering while bytes of an answer
	// were written. Both are cleared when the connection becomes idle.
	handled, answering atomic.Bool
	// remoteEnded is set once the caller has closed or reset the connection, late once a write to it
	// has exceeded its deadline.
	remoteEnded, late atomic.Bool
	cause             atomic.Int32
	request           atomic.Pointer[string]
	// starting is set from when the server gets the connection until it begins to read.
	starting atomic.Bool
	// queue holds what waits for the caller; nil until QueueWrites is called.
	queue atomic.Pointer[writeQueue]
	// hasDeadline is set while there is a write deadline, deadlineRemoved if that is to be removed once
	// nothing waits.
	hasDeadline, deadlineRemoved atomic.Bool
}

// ConnState records that connections become idle. It must be set as ConnState of the http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.handled.Store(false)
		c.answering.Store(false)
		if q := c.queue.Load(); q != nil {
			q.deactivate()
		}
	}
	c.SetState(state)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.begin()
	n, err := c.Conn.Read(p)
	if err != nil && !c.EndedIdle() && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.remoteEnded.Store(true)
	}
	return n, err
}

// begin records that the server begins to read the connection, or that the connection ends before that.
func (c *Conn) begin() {
	if c.starting.CompareAndSwap(true, false) {
		c.listener.begun()
	}
}

// awaitBytes waits for at most d until bytes have arrived, and reports whether any have.
func (c *Conn) awaitBytes(d time.Duration) bool {
	raw, err := c.SyscallConn()
	if err != nil || c.Conn.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	// The error is that the deadline has passed. Bytes may have arrived all the same.
	_ = raw.Read(func(uintptr) bool { return sockpeek.Peek(c.Conn) != sockpeek.Idle })
	return sockpeek.Peek(c.Conn) == sockpeek.Readable
}

// discardTime bounds the time for the rest of a request that was refused.
const discardTime = time.Second

// discard ends the side of the connection that is written to and reads the other one to its end.
func (c *Conn) discard() {
	if c.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(discardTime)) == nil {
		// The caller may end the connection in any way.
		_, _ = io.Copy(io.Discard, c.Conn.Conn)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.answering.Store(true)
	var n int
	var err error
	if q := c.queue.Load(); q != nil {
		n, err = q.write(p)
	} else {
		n, err = c.Conn.Write(p)
	}
	c.recordWriteError(err)
	return n, err
}

// recordWriteError records how a write failed, if it did.
func (c *Conn) recordWriteError(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.late.Store(true)
	case err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, ErrMemory):
		c.remoteEnded.Store(true)
	}
}

// Answered records that the request in progress has its complete answer, or will have it when the
// HTTP server has written what it has buffered.
func (c *Conn) Answered() { c.handled.Store(true) }

// Abandon records why the request in progress gets no complete answer, before the connection is
// closed.
func (c *Conn) Abandon(cause Cause, request string) {
	c.cause.CompareAndSwap(int32(unstated), int32(cause))
	c.request.Store(&request)
}

// Close implements net.Conn. A request that has arrived on an idle connection since the server looked is
// refused.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return c.Conn.Close()
	}
	c.begin()
	if q := c.queue.Load(); q != nil {
		abandoned := Cause(c.cause.Load()) != unstated || c.remoteEnded.Load()
		if !abandoned && !c.hasDeadline.Load() {
			// A connection that is closed already needs no deadline.
			_ = c.Conn.SetWriteDeadline(time.Now().Add(closeTime))
		}
		if q.finish(abandoned) {
			return nil
		}
	}
	if c.hasUnreadRequest() && c.listener.refuse(c) == refusedEarly && c.listener.linger() {
		go func() {
			defer c.listener.lingering.Add(-1)
			c.discard()
			_ = c.end()
		}()
		return nil
	}
	return c.end()
}

// hasUnreadRequest reports whether a request waits in the socket of a connection that was idle. If none
// does, it ends the connection at once, before one can arrive.
func (c *Conn) hasUnreadRequest() bool {
	if Cause(c.cause.Load()) != unstated || c.Received() || c.handled.Load() || c.remoteEnded.Load() {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	// A connection that is closed already has no request.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if waits = n > 0; err == unix.EAGAIN {
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
		}
	})
	return waits
}

// end closes the connection and records how it ended.
func (c *Conn) end() error {
	cause := c.endCause()
	err := c.Conn.Close()
	if cause != answered {
		c.listener.recordEnd(c, cause)
	}
	c.listener.remove(c)
	return err
}

// endCause returns why the connection ends without a complete answer, or answered.
func (c *Conn) endCause() Cause {
	stated := Cause(c.cause.Load())
	switch {
	case c.EndedForMemory():
		return MemoryExceeded
	case c.late.Load():
		return WriteTimedOut
	case stated == unstated && c.handled.Load():
		return answered
	case stated == unstated && !c.Received():
		return answered
	case c.remoteEnded.Load():
		return CallerLeft
	case stated != unstated:
		return stated
	case c.answering.Load():
		// The HTTP server itself has refused the request.
		return answered
	case c.listener.stopping.Load():
		return Stopped
	}
	return unstated
}

// Cause says why a connection ended without a complete answer.
type Cause int32

const (
	// unstated: no reason was given.
	unstated Cause = iota
	// Stopped: this process stopped.
	Stopped
	// Panicked: the handler panicked.
	Panicked
	// WriteTimedOut: the caller didn't read the answer in time, or this process was too late to write it.
	WriteTimedOut
	// CutInAnswer: the answer had begun and couldn't be completed.
	CutInAnswer
	// CallerLeft: the caller closed or reset the connection.
	CallerLeft
	// MemoryExceeded: too much was held for callers that read slowly.
	MemoryExceeded
	// answered: there is no unanswered request.
	answered
)

// String implements fmt.Stringer.
func (c Cause) String() string {
	return [...]string{"unstated", "stopped", "panicked", "write_timed_out", "cut_in_answer", "caller_left", "memory_exceeded"}[c]
}

// recordEnd counts and logs a connection that ends without a complete answer.
func (l *Listener) recordEnd(c *Conn, cause Cause) {
	l.ends[cause].Inc(1)
	level := slog.LevelWarn
	if cause == CallerLeft {
		level = slog.LevelDebug
	}
	request := ""
	if id := c.request.Load(); id != nil {
		request = *id
	}
	l.log.LogAttrs(context.Background(), level, "connection ended without a complete answer", slog.String("cause", cause.String()),
		slog.String("request", request), slog.String("caller", c.RemoteAddr().String()), slog.Bool("begun", c.answering.Load()),
		slog.Int64("age_ms", time.Since(c.accepted).Milliseconds()))
}
