package conns

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/acaciaspar/acaciaspar/transport/callerconn"
)

const (
	// finishInterval is the interval at which idle connections are ended at a stop.
	finishInterval = 20 * time.Millisecond
	// refusalTime is the time before the end of a stop at which waiting requests are refused unread.
	refusalTime = 100 * time.Millisecond
)

// Stop tells that the process stops: connections that end from now on without an answer do so because of
// that.
func (l *Listener) Stop() { l.stopping.Store(true) }

// Close implements net.Listener. It refuses the requests on connections that the server hasn't got.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.refuseWaiting()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// refuseWaiting refuses the requests on connections that the server hasn't got, now and later.
func (l *Listener) refuseWaiting() {
	l.mu.Lock()
	l.closed = true
	excess := l.takeExcess(time.Now())
	l.mu.Unlock()
	l.refuseAll(excess)
}

// Finish accepts the connections that wait in the kernel, closes the listener and waits until all
// connections have ended or ctx ends. It ends those on which nothing has arrived, and refuses the requests
// that the server hasn't got by refusalTime before the deadline of ctx. It returns the number of
// connections that are left.
//
// A request that a caller sends while its idle connection is ended, or on a connection whose handshake ends
// after the last accept, gets no answer. It isn't read.
func (l *Listener) Finish(ctx context.Context) int {
	defer func() {
		l.log.Info("connections finished", "last_accepted", l.lastAccepted.Load(), "ended_idle", l.endedIdle.Load())
	}()
	l.Stop()
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); !ok || d.SetDeadline(time.Unix(0, 0)) != nil {
		_ = l.Listener.Close()
	}
	if deadline, ok := ctx.Deadline(); ok {
		late := time.AfterFunc(time.Until(deadline)-refusalTime, l.refuseWaiting)
		defer late.Stop()
	}
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for {
		left := l.endIdle(time.Now())
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}

// endIdle ends idle connections and returns the number of connections, or 1 if none is open and connections
// may still be accepted.
func (l *Listener) endIdle(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.EndIfIdle(now)
	}
	if !l.finished {
		return max(len(l.open), 1)
	}
	return len(l.open)
}

// finish accepts the connections that wait in the kernel and closes the listener at once after that, so that
// none is reset.
func (l *Listener) finish() {
	last, err := callerconn.AcceptLast(l.Listener)
	l.lastAccepted.Store(int64(len(last)))
	for _, c := range last {
		l.add(c)
	}
	if err != nil {
		l.log.Warn("accept the last connections failed", "error", err.Error())
	}
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("close the listener failed", "error", err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
	l.changed.Broadcast()
}
