package endpointhttp

import (
	"context"
	"sync"
	"time"
)

const (
	// MaxIdle is the longest time that a connection stays in the pool.
	MaxIdle = 8 * time.Second
	// idleMargin is the part of an endpoint's stated idle timeout after which
	// a connection isn't used again, because the endpoint may be closing it.
	idleMargin = 2
	// maxIdlePerEndpoint bounds the idle connections of one endpoint.
	maxIdlePerEndpoint = 32
)

// Pool keeps idle connections by endpoint instance. It is safe for use by
// several goroutines. Its mutex isn't held during I/O.
type Pool struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, idle: map[string][]*conn{}}
}

// get returns a connection to an endpoint instance. A pooled one is used only
// if it was idle for at most maxIdle.
func (p *Pool) get(ctx context.Context, t Target, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(t.Instance, maxIdle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := dial(ctx, t.Address, p.DialTimeout)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return c, nil
}

// take removes the connection that was used last, if it is fresh enough.
func (p *Pool) take(instance string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[instance]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if time.Since(c.idleSince) > usableIdle(c, maxIdle) {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[instance] = list[:len(list)-1]
	return c
}

func usableIdle(c *conn, maxIdle time.Duration) time.Duration {
	limit := min(maxIdle, MaxIdle)
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit/idleMargin)
	}
	return limit
}

func (p *Pool) put(instance string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[instance]
	if len(list) < maxIdlePerEndpoint {
		p.idle[instance] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Sweep closes connections that were idle for too long or that the endpoint
// closed. keep tells which instances are still in use.
func (p *Pool) Sweep(keep func(instance string) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*conn
	for instance, list := range p.idle {
		kept := list[:0]
		known := keep(instance)
		for _, c := range list {
			if known && now.Sub(c.idleSince) <= usableIdle(c, MaxIdle) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, instance)
		} else {
			p.idle[instance] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// Stats returns the number of idle connections and of connections opened so far.
func (p *Pool) Stats() (idle int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return idle, p.dialed
}
