package conns

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/acaciaspar/acaciaspar/coordination/memorybudget"
	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/transport/callerconn"
)

// descriptorsPerRequest is the number of file descriptors a request needs: the
// caller's connection and one to an endpoint.
const descriptorsPerRequest = 2

// keepAliveDivisor sets the number of connections above which connections are
// closed after their response instead of being kept alive, as the connection
// limit divided by it. Each idle connection uses about 20 KB that the garbage
// collector scans.
const keepAliveDivisor = 12

const (
	// maxStarting is the number of connections whose goroutine hasn't run yet above which none is passed
	// to the server. All other work of the process waits behind them in the run queue.
	maxStarting = 16
	// maxSilence is how long a connection waits on which nothing arrives.
	maxSilence = time.Second
	// maxLingering is the number of connections that are kept open to refuse a request that is on its
	// way, or to read the rest of one that was refused.
	maxLingering = 256
	// acceptBatch is the number of connections that are accepted before other goroutines run.
	acceptBatch = 512
	// listenBacklog is the number of connections that wait in the kernel. Callers beyond that aren't
	// connected, and turn to another router.
	listenBacklog = 512
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
)

// Listener accepts connections and passes them to an HTTP server no faster than it begins to read them. The
// others wait in a short queue; the requests of those that have waited for too long are refused without
// being parsed, which costs a small part of the CPU time of a refusal by the handler. What isn't accepted
// waits in the kernel, and what doesn't fit there isn't connected.
//
// Its own goroutine accepts, the server's calls Accept. mu is locked before that of a Conn, and isn't held
// during I/O.
type Listener struct {
	net.Listener
	load Load
	log  *slog.Logger
	// accepted counts connections, refused those whose request was refused unread, ends those that ended
	// without a complete answer, by cause.
	accepted, refused metrics.Counter
	ends              [answered]metrics.Counter
	stopping          atomic.Bool
	maxOpen           int
	// maxWaiting is the number of connections that may wait for the server as far as memory goes.
	maxWaiting int
	// idleAllowed is set while connections are kept alive after their response.
	idleAllowed atomic.Bool
	refusals    *refuser
	lingering   atomic.Int64
	// lastAccepted counts the connections that waited in the kernel when the listener was closed, endedIdle
	// the idle ones that were ended at the stop.
	lastAccepted, endedIdle atomic.Int64

	mu sync.Mutex
	// changed is signaled when a connection may be passed to the server.
	changed sync.Cond
	open    map[*Conn]struct{}
	// waiting holds connections that the server hasn't got.
	waiting overload.WaitingQueue[*Conn]
	// expiry refuses connections that wait for too long while no others arrive. expiring is set while it
	// is scheduled.
	expiry   *time.Timer
	expiring bool
	// starting counts connections that the server has got and not begun to read.
	starting int
	// finished is set once no more connections are accepted, closed once those that wait are refused.
	finished, closed bool
}

// Load is what the Listener knows of the load of this process.
type Load struct {
	Monitor   *overload.Monitor
	Admission *overload.Admission
	Rotation  *overload.Rotation
}

// Limits bound the connections of a Listener.
type Limits struct {
	// Descriptors is the number of file descriptors for connections and those to endpoints.
	Descriptors int
	// SocketMemory is the memory, in bytes, for what the kernel has received on connections and wasn't
	// read; 0 if it isn't limited.
	SocketMemory int64
}

// unread returns how many connections may wait for the server, and how many in the kernel.
func (l Limits) unread() (waiting, backlog int) {
	if l.SocketMemory <= 0 {
		return math.MaxInt, listenBacklog
	}
	half := max(memorybudget.UnreadConnections(l.SocketMemory)/2, 1)
	return half, min(half, listenBacklog)
}

// New returns a Listener that accepts from l as many connections as the limits allow, and starts to
// accept. Close ends it.
func New(l net.Listener, limits Limits, load Load, log *slog.Logger, registry metrics.Registry) *Listener {
	waiting, backlog := limits.unread()
	listener := &Listener{
		Listener: l, maxOpen: max(limits.Descriptors/descriptorsPerRequest, 1), maxWaiting: waiting, load: load, log: log,
		accepted: metrics.GetOrRegisterCounter("direct.connections_accepted", registry),
		refused:  metrics.GetOrRegisterCounter("direct.refused_unread", registry),
		open:     map[*Conn]struct{}{}, refusals: newRefuser(),
	}
	listener.changed.L = &listener.mu
	listener.idleAllowed.Store(true)
	listener.expiry = time.AfterFunc(0, listener.refuseExpired)
	for cause := range listener.ends {
		listener.ends[cause] = metrics.GetOrRegisterCounter("direct.unanswered_"+Cause(cause).String(), registry)
	}
	if err := setBacklog(l, backlog); err != nil {
		log.Warn("limit the backlog of the listener failed", "error", err.Error())
	}
	if limits.SocketMemory > 0 {
		if err := setBuffers(l, memorybudget.SocketBuffer); err != nil {
			log.Warn("limit the buffers of connections failed", "error", err.Error())
		}
	}
	go listener.acceptAll()
	return listener
}

// setBacklog limits the number of connections that wait in the kernel.
func setBacklog(l net.Listener, backlog int) error {
	return eris.Wrap(controlSocket(l, func(fd int) error { return unix.Listen(fd, backlog) }), "listen")
}

// setBuffers sets the size of the buffers of the connections that will be accepted, which inherit it.
func setBuffers(l net.Listener, size int) error {
	err := controlSocket(l, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
	})
	return eris.Wrap(err, "set the size of buffers")
}

// controlSocket calls change with the file descriptor of the listener's socket and returns its error.
func controlSocket(l net.Listener, change func(fd int) error) error {
	raw, err := callerconn.RawConn(l)
	if err != nil {
		return err
	}
	var changeErr error
	if err := raw.Control(func(fd uintptr) { changeErr = change(int(fd)) }); err != nil {
		return eris.Wrap(err, "use the listener's socket")
	}
	return changeErr
}

// Counts describes the connections of a process.
type Counts struct {
	// Open is the number of connections, Waiting the number of those that the server hasn't got.
	Open, Waiting int
	// Accepted counts all connections so far, Refused those whose request was refused unread.
	Accepted, Refused int64
	// Unanswered counts the connections that ended without a complete answer, by cause.
	Unanswered map[string]int64
}

// Counts returns the present counts. Only causes that occurred are listed.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	counts := Counts{Open: len(l.open), Waiting: l.waiting.Len()}
	l.mu.Unlock()
	counts.Accepted, counts.Refused, counts.Unanswered = l.accepted.Count(), l.refused.Count(), map[string]int64{}
	for cause, counter := range l.ends {
		if n := counter.Count(); n > 0 {
			counts.Unanswered[Cause(cause).String()] = n
		}
	}
	return counts
}

// Intake returns what was taken in so far.
func (l *Listener) Intake() overload.IntakeReading {
	return overload.IntakeReading{Accepted: l.accepted.Count(), Refused: l.refused.Count(), At: time.Now()}
}

// Shed implements entry.Overload.
func (l *Listener) Shed() bool { return l.load.Monitor.Shed() }

// Refuse implements entry.Overload.
func (l *Listener) Refuse(aboveShare func() bool) bool { return l.load.Admission.Refuse(aboveShare) }

// PreferBatching implements entry.Overload.
func (l *Listener) PreferBatching() bool { return l.load.Monitor.PreferBatching() }

// CloseConnections implements entry.Overload.
func (l *Listener) CloseConnections() bool { return !l.idleAllowed.Load() || l.load.Rotation.Out() }

// Accept implements net.Listener. It returns the newest waiting connection first. Only one goroutine may
// call it.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if l.starting < maxStarting {
			if c, ok := l.waiting.Pop(time.Now()); ok {
				l.starting++
				c.starting.Store(true)
				return c, nil
			}
		}
		if l.finished && l.waiting.Len() == 0 {
			return nil, net.ErrClosed
		}
		l.changed.Wait()
	}
}

// begun is called once for each connection that the server got.
func (l *Listener) begun() {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Half of the connections begin together, so that other goroutines get their turn in between.
	if l.starting--; l.starting <= maxStarting/2 {
		l.changed.Signal()
	}
}

// acceptAll accepts connections until the listener is closed.
func (l *Listener) acceptAll() {
	for n := 1; ; n++ {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.add(c)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			l.finish()
			return
		default:
			l.log.Warn("accept failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
		}
		if n%acceptBatch == 0 {
			runtime.Gosched()
		}
	}
}

// add queues a connection and refuses those that wait for too long or are too many.
func (l *Listener) add(c net.Conn) {
	now := time.Now()
	l.accepted.Inc(1)
	conn := &Conn{Conn: callerconn.New(c, now, &l.endedIdle), listener: l, accepted: now}
	l.mu.Lock()
	l.open[conn] = struct{}{}
	l.idleAllowed.Store(len(l.open) <= l.maxOpen/keepAliveDivisor)
	l.waiting.Push(now, conn)
	excess := l.takeExcess(now)
	l.changed.Signal()
	l.mu.Unlock()
	l.refuseAll(excess)
}

// takeExcess removes the waiting connections that can't be served in time, and sees to it that those
// which are left will be. The caller holds mu.
func (l *Listener) takeExcess(now time.Time) []*Conn {
	surplus := max(len(l.open)-l.maxOpen, l.waiting.Len()-l.maxWaiting)
	if l.closed {
		surplus = l.waiting.Len()
	}
	excess := l.waiting.Excess(now, surplus)
	if !l.expiring && l.waiting.Len() > 0 {
		l.expiring = true
		l.expiry.Reset(overload.MaxWaitingTime)
	}
	return excess
}

// refuseExpired refuses the connections that have waited for too long.
func (l *Listener) refuseExpired() {
	l.mu.Lock()
	l.expiring = false
	excess := l.takeExcess(time.Now())
	l.mu.Unlock()
	l.refuseAll(excess)
}

func (l *Listener) refuseAll(waiting []*Conn) {
	for _, c := range waiting {
		l.refuseUnread(c)
	}
}

// refuseUnread refuses the request of a connection without parsing it.
func (l *Listener) refuseUnread(c *Conn) {
	result := l.refuse(c)
	if result != refusedEarly && result != nothingSent || !l.linger() {
		_ = c.Close()
		return
	}
	go func() {
		defer l.lingering.Add(-1)
		if result == nothingSent && c.awaitBytes(maxSilence) {
			result = l.refuse(c)
		}
		if result == refusedEarly {
			// A connection that is closed earlier is reset, and the caller may not see the refusal.
			c.discard()
		}
		_ = c.Close()
	}()
}

// linger reports whether one more connection may be kept open although it isn't served.
func (l *Listener) linger() bool {
	if l.lingering.Add(1) <= maxLingering {
		return true
	}
	l.lingering.Add(-1)
	return false
}

func (l *Listener) refuse(c *Conn) refusalResult {
	result := l.refusals.refuse(c.Conn)
	switch result {
	case refusedWhole, refusedEarly:
		l.refused.Inc(1)
		c.Answered()
	case callerEnded:
		c.Abandon(CallerLeft, "")
	}
	return result
}

// remove forgets a connection that was closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.idleAllowed.Store(len(l.open) <= l.maxOpen/keepAliveDivisor)
	if len(l.open) == 0 {
		l.changed.Broadcast()
	}
}
