package agent

import (
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// pool guards the table of slots and wakes those who wait for a change of it.
type pool struct {
	mu      sync.Mutex
	table   *slots.Table
	changed chan struct{}
}

func newPool(table *slots.Table) *pool {
	return &pool{table: table, changed: make(chan struct{})}
}

// read runs f with the table. f must not do anything that lets a waiting request start.
func (p *pool) read(f func(*slots.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table)
}

// update runs f with the table and wakes all waiters.
func (p *pool) update(f func(*slots.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table)
	p.wake()
}

func (p *pool) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// mayStart asks the table whether a request may start now. If it must wait,
// the channel is closed at the next change.
func (p *pool) mayStart(now time.Time, id string) (bool, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok, err := p.table.MayStart(now, id)
	if ok || err != nil {
		p.wake()
	}
	return ok, p.changed, err
}

// held returns the number of requests that have not ended, and a channel that
// is closed at the next change.
func (p *pool) held() (int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Held(), p.changed
}
