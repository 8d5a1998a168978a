package direct

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/direct/overload"
)

// descriptorsPerRequest is the number of file descriptors a request needs: the
// caller's connection and one to an endpoint.
const descriptorsPerRequest = 2

// keepAliveDivisor sets the number of connections above which connections are
// closed after their response instead of being kept alive, as the connection
// limit divided by it. Each idle connection uses about 20 KB that the garbage
// collector scans.
const keepAliveDivisor = 12

// boundedListener closes connections above a limit immediately after accepting
// them, so that the process does not run out of file descriptors. A shortage of
// CPU time is handled differently, by refusing requests with a response, because
// callers whose connection is closed without one reconnect at once.
type boundedListener struct {
	net.Listener
	connections chan struct{}
	monitor     *overload.Monitor
	admission   *overload.Admission
	rotation    *overload.Rotation
	pacer       *overload.Pacer
	shed        metrics.Counter
}

func newBoundedListener(l net.Listener, descriptors int, monitor *overload.Monitor, admission *overload.Admission, rotation *overload.Rotation, pacer *overload.Pacer, registry metrics.Registry) *boundedListener {
	return &boundedListener{
		Listener: l, connections: make(chan struct{}, max(descriptors/descriptorsPerRequest, 1)), monitor: monitor, admission: admission, rotation: rotation, pacer: pacer,
		shed: metrics.GetOrRegisterCounter("direct.connections_shed", registry),
	}
}

// Shed implements entry.Overload.
func (l *boundedListener) Shed() bool { return l.monitor.Shed() }

// Refuse implements entry.Overload.
func (l *boundedListener) Refuse(aboveShare func() bool) bool { return l.admission.Refuse(aboveShare) }

// PreferBatching implements entry.Overload.
func (l *boundedListener) PreferBatching() bool { return l.monitor.PreferBatching() }

// CloseConnections implements entry.Overload.
func (l *boundedListener) CloseConnections() bool {
	return len(l.connections) > cap(l.connections)/keepAliveDivisor || l.rotation.Out()
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		if wait := l.pacer.Delay(time.Now()); wait > 0 {
			time.Sleep(wait)
		}
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.connections <- struct{}{}:
			return &boundedConn{Conn: c, release: sync.OnceFunc(func() { <-l.connections })}, nil
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

// SyscallConn implements syscall.Conn. It gives access to the state of the
// underlying socket.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
