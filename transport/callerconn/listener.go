package callerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// finishInterval is the interval at which idle connections are ended at a stop.
const finishInterval = 20 * time.Millisecond

// Listener accepts the connections of callers for an http.Server, whose ConnState must be set to ConnState.
// mu is locked before that of a Conn, and isn't held during I/O.
type Listener struct {
	net.Listener
	secure bool
	// ended counts the connections that were ended as idle.
	ended atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
	// changed is signaled when accepting is cleared and when finished is set.
	changed sync.Cond
	// accepting is set while the server waits for a connection, finishing from the begin of Finish on, and
	// finished once the listener is closed.
	accepting, finishing, finished bool
	// last holds the connections that waited in the kernel then and that the server hasn't got.
	last []*Conn
}

// Finished describes the end of the connections of a Listener.
type Finished struct {
	// LastAccepted is the number of connections that waited in the kernel when the listener was closed,
	// EndedIdle that of those on which no request waited.
	LastAccepted, EndedIdle int
	// Left is the number of connections with HTTP/1.1 that are still open.
	Left int
}

// NewListener returns a Listener that accepts from l. secure says that the server adds TLS to the connections.
func NewListener(l net.Listener, secure bool) *Listener {
	listener := &Listener{Listener: l, secure: secure, open: map[*Conn]struct{}{}}
	listener.changed.L = &listener.mu
	return listener
}

// Accept implements net.Listener. It returns net.ErrClosed after the last connection. Only one goroutine may
// call it.
func (l *Listener) Accept() (net.Conn, error) {
	if l.beginAccept() {
		c, err := l.Listener.Accept()
		conn := l.endAccept(c)
		switch {
		case err == nil:
			return conn, nil
		case !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed):
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.finishing && !l.finished {
		l.changed.Wait()
	}
	if len(l.last) == 0 {
		return nil, net.ErrClosed
	}
	next := l.last[0]
	l.last = l.last[1:]
	return next, nil
}

// beginAccept reports whether connections are accepted, and records that one is.
func (l *Listener) beginAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = !l.finishing
	return l.accepting
}

// endAccept adds the connection that was accepted, if any.
func (l *Listener) endAccept(c net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = false
	l.changed.Broadcast()
	if c == nil {
		return nil
	}
	return l.add(c)
}

// add adds a connection. The caller holds mu.
func (l *Listener) add(c net.Conn) *Conn {
	conn := New(c, time.Now(), &l.ended)
	conn.secure = l.secure
	conn.remove = func() { l.remove(conn) }
	l.open[conn] = struct{}{}
	return conn
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Finish accepts the connections that wait in the kernel, closes the listener and waits until all connections
// with HTTP/1.1 have ended or ctx ends. It ends those on which nothing has arrived. The server must still
// answer requests, and say then that it closes the connection; http.Server.Shutdown must follow for the
// connections with HTTP/2. Finish must be called at most once. Its error is that some of those that wait in
// the kernel may have been lost.
//
// A request that a caller sends while its idle connection is ended, or before the end of its connection's
// handshake is known here, gets no answer. It isn't read.
func (l *Listener) Finish(ctx context.Context) (Finished, error) {
	l.mu.Lock()
	l.finishing = true
	l.mu.Unlock()
	numLast, err := l.closeAfterLast()
	result := Finished{LastAccepted: numLast}
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for {
		result.Left = l.endIdle(time.Now())
		result.EndedIdle = int(l.ended.Load())
		if result.Left == 0 {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-ticker.C:
		}
	}
}

// closeAfterLast accepts the connections that wait in the kernel, closes the listener at once after that and
// returns their number.
func (l *Listener) closeAfterLast() (int, error) {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); !ok || d.SetDeadline(time.Unix(0, 0)) != nil {
		_ = l.Close()
	}
	l.mu.Lock()
	for l.accepting {
		l.changed.Wait()
	}
	l.mu.Unlock()
	last, err := AcceptLast(l.Listener)
	err = errors.Join(err, l.Close())
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range last {
		l.last = append(l.last, l.add(c))
	}
	l.finished = true
	l.changed.Broadcast()
	return len(last), err
}

// endIdle ends idle connections and returns the number of connections with HTTP/1.1 that are open.
func (l *Listener) endIdle(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := 0
	for c := range l.open {
		c.EndIfIdle(now)
		if !c.http2.Load() {
			left++
		}
	}
	return left
}

// AcceptLast returns the connections that wait in the kernel and lets it refuse further ones. The listener
// must be closed at once after that, so that none is reset.
func AcceptLast(l net.Listener) ([]net.Conn, error) {
	raw, err := RawConn(l)
	if err != nil {
		return nil, err
	}
	var sockets []int
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		for acceptErr == nil {
			socket, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch err {
			case nil:
				sockets = append(sockets, socket)
			case unix.EINTR, unix.ECONNABORTED:
			case unix.EAGAIN:
				acceptErr = unix.Shutdown(int(fd), unix.SHUT_RD)
				return
			default:
				acceptErr = err
			}
		}
	})
	if errors.Is(err, net.ErrClosed) {
		return nil, nil
	}
	var conns []net.Conn
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "")
		c, fileErr := net.FileConn(file)
		_ = file.Close()
		if fileErr != nil {
			acceptErr = errors.Join(acceptErr, fileErr)
			continue
		}
		conns = append(conns, c)
	}
	return conns, eris.Wrap(errors.Join(err, acceptErr), "accept")
}
