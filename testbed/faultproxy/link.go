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
	// queueChunks bounds the bytes that wait in one direction of a link.
	queueChunks = 64
)

// link carries the bytes of one connection. The proxy's mutex guards held and
// discard.
type link struct {
	proxy *Proxy
	// source names the client's process; it is looked up for the first rule
	// that asks for it, because the lookup is slow on a busy machine.
	source func() string
	ends   [directions]net.Conn
	done   chan struct{}
	once   sync.Once

	held [directions]bool
	// discard is set once the replies on this link are lost.
	discard bool
	// tail holds the last bytes sent to the target, for a match that spans
	// chunks. Only the writer to the target uses it.
	tail string
}

type chunk struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client, target net.Conn) *link {
	l := &link{proxy: p, done: make(chan struct{})}
	l.source = sync.OnceValue(func() string { return p.identify(client) })
	l.ends[ToTarget] = target
	l.ends[ToClient] = client
	return l
}

// reset ends the link and both connections.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		for _, end := range l.ends {
			reset(end)
		}
	})
}

// endAfterLoss resets the client and ends the target's stream, since a reset
// could discard request bytes that the target has not read yet.
func (l *link) endAfterLoss() {
	l.once.Do(func() {
		close(l.done)
		reset(l.ends[ToClient])
		_ = l.ends[ToTarget].Close()
	})
}

func (l *link) carry() {
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
	from := l.ends[directions-1-d]
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
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

// write empties the queue of direction d and passes on the end of the stream.
func (l *link) write(d Direction, queue <-chan chunk) {
	for c := range queue {
		if !l.wait(time.Until(c.due)) || !l.untilReleased(d) {
			return
		}
		if d == ToClient && l.discards() {
			continue
		}
		var rule *loss
		if d == ToTarget {
			// Replies are discarded before the last byte of the match leaves,
			// or a fast target's reply would still get through.
			rule = l.matchLoss(c.data)
		}
		if _, err := l.ends[d].Write(c.data); err != nil {
			l.reset()
			return
		}
		if rule != nil {
			l.loseReplies(rule)
		}
	}
	if !l.untilReleased(d) {
		return
	}
	if tcp, ok := l.ends[d].(*net.TCPConn); ok {
		// Fails only if the connection ended meanwhile.
		_ = tcp.CloseWrite()
	}
}

// wait sleeps and reports false if the link ended.
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

// untilReleased waits while direction d is held and reports false if the link ended.
func (l *link) untilReleased(d Direction) bool {
	for {
		l.proxy.mu.Lock()
		held := l.held[d]
		match := l.proxy.hold[d]
		changed := l.proxy.changed
		l.proxy.mu.Unlock()
		if !held && (match == nil || !match(l.source())) {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

func (l *link) discards() bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.discard
}

// matchLoss starts to discard replies if data, which is about to be passed to
// the target, completes the match of LoseReply's rule. It returns that rule.
func (l *link) matchLoss(data []byte) *loss {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	rule := l.proxy.lose
	if rule == nil {
		l.tail = ""
		return nil
	}
	text := l.tail + string(data)
	if !strings.Contains(text, rule.match) {
		l.tail = text[max(len(text)-len(rule.match)+1, 0):]
		return nil
	}
	l.discard = true
	return rule
}

// loseReplies notes that the rule was applied and ends the link after its time.
func (l *link) loseReplies(rule *loss) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	if l.proxy.lose == rule {
		l.proxy.lose = nil
	}
	if rule.linger > 0 {
		time.AfterFunc(rule.linger, l.endAfterLoss)
	}
}
