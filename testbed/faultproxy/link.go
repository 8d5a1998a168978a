package faultproxy

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	chunkBytes = 32 << 10
	// queueChunks is the maximum number of chunks queued in one direction of a link.
	queueChunks = 64
)

// link forwards the bytes of one connection. The proxy's mutex guards stalled
// and discard.
type link struct {
	proxy *Proxy
	// source returns the name of the client's process. The lookup is slow on a busy
	// machine, so it is done only when a rule first needs the name.
	source    func() string
	conns     [numDirections]net.Conn
	done      chan struct{}
	closeOnce sync.Once

	stalled [numDirections]bool
	// discard is set once the replies on this link are to be dropped.
	discard bool
	// unmatchedTail holds the last bytes sent to the target, for a match that spans
	// chunks. It is used only by the goroutine that writes to the target.
	unmatchedTail string
}

type chunk struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client, target net.Conn) *link {
	l := &link{proxy: p, done: make(chan struct{})}
	l.source = sync.OnceValue(func() string { return p.identify(client) })
	l.conns[ToTarget] = target
	l.conns[ToClient] = client
	return l
}

// reset ends the link and resets both connections.
func (l *link) reset() {
	l.closeOnce.Do(func() {
		close(l.done)
		for _, conn := range l.conns {
			reset(conn)
		}
	})
}

// closeAfterReplyLoss ends the link after a lost reply. It resets the client's
// connection but closes the target's without a reset, which could discard request
// bytes that the target has not read yet.
func (l *link) closeAfterReplyLoss() {
	l.closeOnce.Do(func() {
		close(l.done)
		reset(l.conns[ToClient])
		_ = l.conns[ToTarget].Close()
	})
}

// forward copies both directions until they end.
func (l *link) forward() {
	var running sync.WaitGroup
	for _, d := range []Direction{ToTarget, ToClient} {
		queue := make(chan chunk, queueChunks)
		running.Go(func() { l.read(d, queue) })
		running.Go(func() { l.write(d, queue) })
	}
	running.Wait()
	l.reset()
}

// read fills the queue of direction d and closes it at the end of the stream.
func (l *link) read(d Direction, queue chan<- chunk) {
	defer close(queue)
	source := l.conns[numDirections-1-d]
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			select {
			case queue <- chunk{data: buffer[:n], due: time.Now().Add(l.delay(d))}:
			case <-l.done:
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			l.reset()
			return
		}
	}
}

func (l *link) delay(d Direction) time.Duration {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.proxy.delay[d]
}

// write sends the queued chunks of direction d, subject to the rules, and then
// forwards the end of the stream.
func (l *link) write(d Direction, queue <-chan chunk) {
	for c := range queue {
		if !l.wait(time.Until(c.due)) || !l.waitWhileStalled(d) {
			return
		}
		if d == ToClient && l.isDiscarding() {
			continue
		}
		var rule *replyLossRule
		if d == ToTarget {
			// Discarding starts before the last byte of the match is sent;
			// otherwise a fast reply of the target could still get through.
			rule = l.matchReplyLoss(c.data)
		}
		if _, err := l.conns[d].Write(c.data); err != nil {
			l.reset()
			return
		}
		if rule != nil {
			l.completeReplyLoss(rule)
		}
	}
	if !l.waitWhileStalled(d) {
		return
	}
	if tcp, ok := l.conns[d].(*net.TCPConn); ok {
		// CloseWrite fails only if the connection has already ended.
		_ = tcp.CloseWrite()
	}
}

// wait sleeps for d and reports false if the link ended meanwhile.
func (l *link) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-l.done:
		return false
	}
}

// waitWhileStalled blocks while direction d is stalled and reports false if the
// link ended meanwhile.
func (l *link) waitWhileStalled(d Direction) bool {
	for {
		l.proxy.mu.Lock()
		stalled := l.stalled[d]
		match := l.proxy.stallRule[d]
		changed := l.proxy.rulesChanged
		l.proxy.mu.Unlock()
		if !stalled && (match == nil || !match(l.source())) {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

func (l *link) isDiscarding() bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.discard
}

// matchReplyLoss checks data, which is about to be sent to the target, against the
// rule set by LoseReply. If the bytes sent on this link now contain the rule's
// match, it starts discarding replies and returns the rule; otherwise nil.
func (l *link) matchReplyLoss(data []byte) *replyLossRule {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	rule := l.proxy.replyLoss
	if rule == nil {
		l.unmatchedTail = ""
		return nil
	}
	text := l.unmatchedTail + string(data)
	if !strings.Contains(text, rule.match) {
		l.unmatchedTail = text[max(len(text)-len(rule.match)+1, 0):]
		return nil
	}
	l.discard = true
	return rule
}

// completeReplyLoss removes the applied rule and schedules the end of the link.
func (l *link) completeReplyLoss(rule *replyLossRule) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	if l.proxy.replyLoss == rule {
		l.proxy.replyLoss = nil
	}
	if rule.resetAfter > 0 {
		time.AfterFunc(rule.resetAfter, l.closeAfterReplyLoss)
	}
}
