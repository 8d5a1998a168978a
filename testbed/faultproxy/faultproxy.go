// Package faultproxy is a TCP proxy that a test puts in front of a process to
// cause network faults: connections that are cut or go silent, delays, lost
// replies, refused new connections and partitions.
//
// A Proxy owns its listener and its links; a link is one accepted connection
// and the connection to the target that belongs to it.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is a direction of traffic through the proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToClient
	directions
)

// Proxy is safe for use by several goroutines. Its mutex guards all fields
// below it and the state of the links, and is not held during I/O.
type Proxy struct {
	listener net.Listener
	identify func(accepted net.Conn) string
	closing  chan struct{}
	running  sync.WaitGroup

	mu       sync.Mutex
	changed  chan struct{}
	target   string
	links    map[*link]struct{}
	blockNew bool
	delay    [directions]time.Duration
	hold     [directions]func(source string) bool
	lose     *loss
}

// loss asks for one lost reply.
type loss struct {
	match  string
	linger time.Duration
}

// New returns a proxy that listens on a loopback port. Until SetTarget,
// connections are closed at once. If identify isn't nil, it names the source
// of an accepted connection for Hold, when a rule first asks for it.
func New(identify func(accepted net.Conn) string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if identify == nil {
		identify = func(net.Conn) string { return "" }
	}
	p := &Proxy{
		listener: listener,
		identify: identify,
		closing:  make(chan struct{}),
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections go.
func (p *Proxy) SetTarget(address string) {
	p.change(func() { p.target = address })
}

// Cut resets all open connections. New ones work.
func (p *Proxy) Cut() {
	for _, l := range p.open() {
		l.reset()
	}
}

// HoldExisting silences the open connections for good, in the given
// directions or in both if none is given. They stay open. New ones work.
func (p *Proxy) HoldExisting(in ...Direction) {
	if len(in) == 0 {
		in = []Direction{ToTarget, ToClient}
	}
	p.change(func() {
		for l := range p.links {
			for _, d := range in {
				l.held[d] = true
			}
		}
	})
}

// Hold silences open and new connections whose source matches, in one
// direction. Held bytes go on when the rule changes. A nil match ends the rule.
func (p *Proxy) Hold(d Direction, match func(source string) bool) {
	p.change(func() { p.hold[d] = match })
}

// SetDelay delays the bytes that are read from now on in one direction.
func (p *Proxy) SetDelay(d Direction, delay time.Duration) {
	p.change(func() { p.delay[d] = delay })
}

// BlockNew resets new connections while on is set. Open ones work.
func (p *Proxy) BlockNew(on bool) {
	p.change(func() { p.blockNew = on })
}

// LoseReply discards what the target sends on the first connection that
// carries match to the target, from that moment on. The connection is reset
// after linger, or stays silent if linger is 0.
func (p *Proxy) LoseReply(match string, linger time.Duration) {
	p.change(func() { p.lose = &loss{match: match, linger: linger} })
}

// ReplyLost reports whether the rule of LoseReply has found its match.
func (p *Proxy) ReplyLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lose == nil
}

// Heal ends all rules. Connections silenced by HoldExisting and LoseReply stay silent.
func (p *Proxy) Heal() {
	p.change(func() {
		p.blockNew = false
		p.delay = [directions]time.Duration{}
		p.hold = [directions]func(string) bool{}
		p.lose = nil
	})
}

// Close resets all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	close(p.closing)
	// The listener's only error is that it is closed already.
	_ = p.listener.Close()
	p.Cut()
	p.running.Wait()
}

// change applies f and wakes the goroutines that wait on a rule.
func (p *Proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) open() []*link {
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
		p.running.Go(func() { p.serve(client) })
	}
}

// serve connects to the target and carries bytes until both directions end.
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
		// Close may have listed the links before this one.
		l.reset()
	default:
	}
	l.carry()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// reset closes a connection so that the other end sees a reset instead of an end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Fails only for a closed connection.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
