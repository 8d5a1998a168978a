// Package registry holds the endpoints that registered themselves. Table owns
// their states and decides when an endpoint whose entry vanished counts as
// gone: at once in steady state, and after a grace during an outage of the
// store and its recovery, because live endpoints then register again.
package registry

import (
	"sort"
	"sync"
	"time"
)

// State is the registered state of an endpoint.
type State int

const (
	// Ready endpoints take work.
	Ready State = iota
	// Draining endpoints finish what they have.
	Draining
)

// Endpoint is one registered endpoint instance.
type Endpoint struct {
	// ID identifies the instance.
	ID      string
	Service string
	// Address is IP and port.
	Address string
	Zone    string
	Slots   int
	State   State
	// Started is the instance's start; a change means that it lost its memory.
	Started time.Time
}

const (
	// RecoveryTime is how long after an outage of the store a vanished entry
	// may have lapsed in it: live endpoints register again within about 2 s.
	RecoveryTime = 2500 * time.Millisecond
	// LapseGrace is how long an entry that may have lapsed counts as present
	// after its removal was read. It is shorter than the shortest drain bound,
	// 2 s, because the endpoint may as well have left on purpose, and the
	// outage may have been one of this router only.
	LapseGrace = 1700 * time.Millisecond
)

// Table is safe for use by several goroutines. Its mutex is never held while
// others are taken.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*entry
	// recovered is the end of the latest outage of the store.
	recovered time.Time
	outage    bool
	// ready caches the lists that Ready returns; a change empties it.
	ready map[string][]Endpoint
}

type entry struct {
	endpoint Endpoint
	// removeAt is set while a vanished entry waits for the end of the grace.
	removeAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{endpoints: map[string]*entry{}} }

// Put adds or replaces an endpoint.
func (t *Table) Put(e Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[e.ID]
	if known == nil || known.endpoint != e {
		t.ready = nil
	}
	t.endpoints[e.ID] = &entry{endpoint: e}
}

// Remove drops an endpoint whose entry vanished.
func (t *Table) Remove(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return
	}
	if t.recovering(now) && e.endpoint.State == Ready {
		if e.removeAt.IsZero() {
			e.removeAt = now.Add(LapseGrace)
		}
		return
	}
	t.ready = nil
	delete(t.endpoints, id)
}

// StoreLost notes that the store does not answer.
func (t *Table) StoreLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = true
}

// StoreBack notes the return of the store after an outage.
func (t *Table) StoreBack(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		t.recovered = now
	}
	t.outage = false
}

func (t *Table) recovering(now time.Time) bool {
	return t.outage || (!t.recovered.IsZero() && now.Before(t.recovered.Add(RecoveryTime)))
}

// Expire removes the endpoints whose grace has passed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.endpoints {
		if !e.removeAt.IsZero() && now.After(e.removeAt) {
			t.ready = nil
			delete(t.endpoints, id)
		}
	}
}

// Ready returns the endpoints of a service that take work, ordered by ID. The
// list is shared and must not be changed.
func (t *Table) Ready(service string) []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list, ok := t.ready[service]; ok {
		return list
	}
	if t.ready == nil {
		t.ready = map[string][]Endpoint{}
	}
	list := []Endpoint{}
	for _, e := range t.endpoints {
		if e.endpoint.Service == service && e.endpoint.State == Ready {
			list = append(list, e.endpoint)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	t.ready[service] = list
	return list
}

// Lookup returns an endpoint by ID.
func (t *Table) Lookup(id string) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.endpoint, true
}

// All returns every endpoint, ordered by ID.
func (t *Table) All() []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		list = append(list, e.endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
