package direct

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/direct/overload"
)

// callerShare is the part of the descriptors that callers' connections may
// use; a request needs one more towards an endpoint.
const callerShare = 2

// crowdedShare is the part of the room for callers beyond which connections
// end with their answers. Each idle one costs about 20 KB that the garbage
// collector visits.
const crowdedShare = 12

// boundedListener closes connections beyond a limit at once, so that the
// process never runs out of descriptors. A router that lacks processor time
// refuses requests with an answer instead: callers whose connection is closed
// unread come back at once.
type boundedListener struct {
	net.Listener
	room     chan struct{}
	monitor  *overload.Monitor
	rotation *overload.Rotation
	shed     metrics.Counter
}

func limitListener(l net.Listener, descriptors int, monitor *overload.Monitor, rotation *overload.Rotation, registry metrics.Registry) *boundedListener {
	return &boundedListener{
		Listener: l, room: make(chan struct{}, max(descriptors/callerShare, 1)), monitor: monitor, rotation: rotation,
		shed: metrics.GetOrRegisterCounter("direct.connections_shed", registry),
	}
}

// Shed implements entry.Overload.
func (l *boundedListener) Shed() bool { return l.monitor.Shed() }

// Busy implements entry.Overload.
func (l *boundedListener) Busy() bool { return l.monitor.Busy() }

// Crowded implements entry.Overload.
func (l *boundedListener) Crowded() bool {
	return len(l.room) > cap(l.room)/crowdedShare || l.rotation.Out()
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
			l.shed.Inc(1)
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

// SyscallConn implements syscall.Conn, for looks at the socket.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
