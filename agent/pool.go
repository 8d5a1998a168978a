package agent

import (
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// pool guards the table of slots and wakes those who wait for a change of it.
type pool struct {
	mu      sync.Mutex
	params  slots.Params
	table   *slots.Table
	changed chan struct{}
	// service is the one that table belongs to; earlier holds the tables of
	// services that the endpoint has left, whose counters must not restart.
	service string
	earlier map[string]*slots.Table
}

func newPool(params slots.Params) *pool {
	return &pool{
		params:  params,
		table:   slots.New(params),
		changed: make(chan struct{}),
		earlier: map[string]*slots.Table{},
	}
}

// moveTo makes the table belong to service and reports whether it does. An
// endpoint that moves from another service first ends its work there.
func (p *pool) moveTo(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.service == service && p.table.Stopped()&slots.StopMoving == 0 {
		return true
	}
	defer p.wake()
	if p.service == "" || p.service == service {
		p.service = service
		p.table.Resume(slots.StopMoving)
		return true
	}
	p.table.Drain(slots.StopMoving)
	if p.table.InProgress() > 0 {
		return false
	}
	p.switchTable(service)
	return true
}

func (p *pool) switchTable(service string) {
	old := p.table
	p.earlier[p.service] = old
	next := p.earlier[service]
	if next == nil {
		next = slots.New(p.params)
	}
	// Tokens of different tables must have different names.
	next.ContinueTokenNumbers(old)
	delete(p.earlier, service)
	p.service, p.table = service, next
	next.Resume(^slots.StopReasons(0))
	next.Drain(old.Stopped() &^ slots.StopMoving)
	next.Resize(old.Size())
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
	return p.table.InProgress(), p.changed
}
