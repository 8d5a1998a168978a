package direct

import (
	"net"
	"sync"
)

// callerShare is the part of the descriptors that callers' connections may
// use; a request needs one more towards an endpoint.
const callerShare = 2

// boundedListener closes connections beyond a limit at once, so that the
// process never runs out of descriptors.
type boundedListener struct {
	net.Listener
	room chan struct{}
}

func limitListener(l net.Listener, descriptors int) net.Listener {
	return &boundedListener{Listener: l, room: make(chan struct{}, max(descriptors/callerShare, 1))}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.room <- struct{}{}:
			return &boundedConn{Conn: c, release: sync.OnceFunc(func() { <-l.room })}, nil
		default:
			_ = c.Close()
		}
	}
}

type boundedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
