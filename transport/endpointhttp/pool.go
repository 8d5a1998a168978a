package endpointhttp

import (
	"context"
	"sync"
	"time"
)

const (
	// MaxIdleTime is the maximum time that an idle connection stays in the pool.
	MaxIdleTime = 8 * time.Second
	// idleTimeoutDivisor divides the idle timeout that an endpoint announces; the
	// result is the maximum idle time of a reused connection. The rest is a margin,
	// because the endpoint may close the connection while a request is on its way.
	idleTimeoutDivisor = 2
	// maxIdleConnsPerInstance is the maximum number of idle connections per
	// endpoint instance.
	maxIdleConnsPerInstance = 32
)

// Pool is a pool of idle connections, keyed by endpoint instance. It is safe
// for concurrent use. Its mutex isn't held during I/O.
type Pool struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// OnBroken, if not nil, is called when a connection to an instance could not be opened, or broke
	// and this process didn't close it. idle is set if no exchange was in progress on it. It is set
	// before the pool is used.
	OnBroken func(instance string, idle bool)
	// Uncertain, if not nil, reports whether a connection that is opened now may reach another
	// incarnation of an endpoint than the registered one. It is set before the pool is used.
	Uncertain func() bool

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, idle: map[string][]*conn{}}
}

// get returns a pooled connection that has been idle for at most maxIdle, or
// opens a new one.
func (p *Pool) get(ctx context.Context, t Target, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(t.Instance, maxIdle)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.broken(t.Instance, true)
		_ = c.Close()
	}
	return p.dial(ctx, t)
}

func (p *Pool) broken(instance string, idle bool) {
	if p.OnBroken != nil {
		p.OnBroken(instance, idle)
	}
}

func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	uncertain := p.Uncertain != nil && p.Uncertain()
	c, err := dial(ctx, t.Address, p.DialTimeout)
	if err != nil {
		if ctx.Err() == nil {
			p.broken(t.Instance, false)
		}
		return nil, err
	}
	c.verified = !uncertain
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return c, nil
}

// Connect opens a connection to an endpoint and adds it to the pool.
func (p *Pool) Connect(ctx context.Context, t Target) error {
	c, err := p.dial(ctx, t)
	if err != nil {
		return err
	}
	p.put(t.Instance, c)
	return nil
}

// take removes and returns the most recently used idle connection. It returns
// nil if there is none or if it has been idle for too long.
func (p *Pool) take(instance string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[instance]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if time.Since(c.idleSince) > maxUsableIdle(c, maxIdle) {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[instance] = list[:len(list)-1]
	return c
}

// maxUsableIdle returns the idle time after which c must not be reused.
func maxUsableIdle(c *conn, maxIdle time.Duration) time.Duration {
	limit := min(maxIdle, MaxIdleTime)
	if c.idleTimeout > 0 {
		limit = min(limit, c.idleTimeout/idleTimeoutDivisor)
	}
	return limit
}

// put adds c to the pool, or closes it if the pool of the instance is full.
func (p *Pool) put(instance string, c *conn) {
	c.idleSince = time.Now()
	p.add(instance, c)
}

// putUnused returns c to the pool, or adds it, after nothing was sent on it. The endpoint counts it as
// idle since its latest response.
func (p *Pool) putUnused(instance string, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.add(instance, c)
}

func (p *Pool) add(instance string, c *conn) {
	p.mu.Lock()
	list := p.idle[instance]
	if len(list) < maxIdleConnsPerInstance {
		p.idle[instance] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Sweep closes connections that have been idle for too long and all
// connections to instances for which keep returns false.
func (p *Pool) Sweep(keep func(instance string) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*conn
	for instance, list := range p.idle {
		kept := list[:0]
		known := keep(instance)
		for _, c := range list {
			if known && now.Sub(c.idleSince) <= maxUsableIdle(c, MaxIdleTime) {
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

// Stats returns the number of idle connections and the number of connections opened so far.
func (p *Pool) Stats() (idle int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return idle, p.dialed
}
