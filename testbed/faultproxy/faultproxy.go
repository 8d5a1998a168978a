// Package faultproxy provides a TCP proxy that a test places in front of a
// process to inject network faults: reset or stalled connections, delays, lost
// replies, refused new connections and partitions.
//
// A Proxy owns its listener and its links; a link is an accepted connection
// together with its connection to the target.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is the direction of traffic through the proxy.
type Direction int

// Directions of traffic.
const (
	ToTarget Direction = iota
	ToClient
	numDirections
)

// Proxy is safe for use by several goroutines. Its mutex guards all fields
// below it and the state of the links, and is not held during I/O.
type Proxy struct {
	listener   net.Listener
	identify   func(accepted net.Conn) string
	closing    chan struct{}
	goroutines sync.WaitGroup

	mu           sync.Mutex
	rulesChanged chan struct{}
	target       string
	links        map[*link]struct{}
	blockNew     bool
	delay        [numDirections]time.Duration
	stallRule    [numDirections]func(source string) bool
	replyLoss    *replyLossRule
}

// replyLossRule makes the proxy lose one reply; see LoseReply.
type replyLossRule struct {
	match      string
	resetAfter time.Duration
}

// New returns a proxy that listens on a loopback port. Connections are reset
// until SetTarget is called. If identify isn't nil, it returns the source of an
// accepted connection; it is called when a rule first needs the source.
func New(identify func(accepted net.Conn) string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if identify == nil {
		identify = func(net.Conn) string { return "" }
	}
	p := &Proxy{
		listener:     listener,
		identify:     identify,
		closing:      make(chan struct{}),
		rulesChanged: make(chan struct{}),
		links:        map[*link]struct{}{},
	}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(address string) {
	p.update(func() { p.target = address })
}

// ResetAll resets all open connections. New connections are not affected.
func (p *Proxy) ResetAll() {
	for _, l := range p.openLinks() {
		l.reset()
	}
}

// StallExisting permanently stops forwarding on the open connections, in the
// given directions or in both if none is given. The connections stay open. New
// connections are not affected.
func (p *Proxy) StallExisting(affected ...Direction) {
	if len(affected) == 0 {
		affected = []Direction{ToTarget, ToClient}
	}
	p.update(func() {
		for l := range p.links {
			for _, d := range affected {
				l.stalled[d] = true
			}
		}
	})
}

// Stall stops forwarding in one direction on all open and new connections for
// whose source match returns true. Pending bytes are forwarded once the rule no
// longer matches. A nil match removes the rule.
func (p *Proxy) Stall(d Direction, match func(source string) bool) {
	p.update(func() { p.stallRule[d] = match })
}

// SetDelay sets the delay of bytes that are read from now on in one direction.
func (p *Proxy) SetDelay(d Direction, delay time.Duration) {
	p.update(func() { p.delay[d] = delay })
}

// BlockNew resets new connections while on is true. Open connections are not
// affected.
func (p *Proxy) BlockNew(on bool) {
	p.update(func() { p.blockNew = on })
}

// LoseReply makes the proxy discard everything that the target sends on the first
// connection on which the client sends match, from then on. The connection is
// reset after resetAfter, or stays open without replies if resetAfter is 0.
func (p *Proxy) LoseReply(match string, resetAfter time.Duration) {
	p.update(func() { p.replyLoss = &replyLossRule{match: match, resetAfter: resetAfter} })
}

// ReplyLost reports whether the rule set by LoseReply has matched. It is also true
// if there is no such rule.
func (p *Proxy) ReplyLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replyLoss == nil
}

// ClearRules removes all rules. Connections stalled by StallExisting stay stalled,
// and connections matched by LoseReply still lose their replies.
func (p *Proxy) ClearRules() {
	p.update(func() {
		p.blockNew = false
		p.delay = [numDirections]time.Duration{}
		p.stallRule = [numDirections]func(string) bool{}
		p.replyLoss = nil
	})
}

// Close closes the listener, resets all connections and waits for the proxy's
// goroutines.
func (p *Proxy) Close() {
	close(p.closing)
	// Close fails only if the listener is already closed.
	_ = p.listener.Close()
	p.ResetAll()
	p.goroutines.Wait()
}

// update calls f with the mutex held and wakes the goroutines that wait for a
// change of the rules.
func (p *Proxy) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.rulesChanged)
	p.rulesChanged = make(chan struct{})
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(client) })
	}
}

// serve connects to the target and forwards bytes until both directions end.
func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	address, blocked := p.target, p.blockNew
	p.mu.Unlock()
	if blocked || address == "" {
		reset(client)
		return
	}
	target, err := net.Dial("tcp", address)
	if err != nil {
		reset(client)
		return
	}
	l := newLink(p, client, target)
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	select {
	case <-p.closing:
		// Close may have listed the links before this one was added.
		l.reset()
	default:
	}
	l.forward()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// reset closes a connection so that the peer receives a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// SetLinger fails only for a closed connection.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
