// Package registry holds the endpoints that registered themselves. Table holds
// their states and decides when an endpoint whose registration was removed from
// the store is removed from the table: immediately in normal operation, and
// after a grace period during an outage of the store and its recovery, because
// live endpoints then register again.
package registry

import (
	"sort"
	"sync"
	"time"
)

// State is the registered state of an endpoint.
type State int

const (
	// A Ready endpoint accepts requests.
	Ready State = iota
	// A Draining endpoint finishes the requests in progress and accepts no new ones.
	Draining
)

// Endpoint is one registered endpoint instance.
type Endpoint struct {
	// ID identifies the instance.
	ID      string
	Service string
	// Address is the endpoint's IP address and port.
	Address string
	Zone    string
	// Version is the version of the instance's software. What two versions write to a
	// stream doesn't fit together.
	Version string
	Slots   int
	State   State
	// Started is the time at which the instance started. A change means that it
	// restarted and lost its in-memory state.
	Started time.Time
	// ColdUntil is the time until which the instance sustains only the rate of a cold endpoint; zero if it
	// isn't cold.
	ColdUntil time.Time
}

const (
	// RecoveryTime is how long after an outage of the store the removal of an
	// entry may mean that the entry expired during the outage. Live endpoints
	// register again within about 2 s.
	RecoveryTime = 2500 * time.Millisecond
	// ExpiryGracePeriod is how long an entry that may have expired is kept after
	// its removal was read. It is shorter than 2 s, the shortest time within which
	// requests to a drained endpoint must stop, because the endpoint may also have
	// deregistered, and the outage may have affected only this router.
	ExpiryGracePeriod = 1700 * time.Millisecond
	// departureRetention is how long the departure of an endpoint is remembered. The
	// store is restored from copies that are some seconds old.
	departureRetention = time.Minute
	// maxLeaving bounds the instances that said that they leave and are remembered.
	maxLeaving = 4096
)

// Table holds the registered endpoints. It is safe for concurrent use. Its mutex
// is never held while another one is acquired.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*entry
	// recovered is the end of the latest outage of the store.
	recovered time.Time
	outage    bool
	// wasComplete is set if all live endpoints were known when the present outage began.
	wasComplete bool
	// reached is the first time at which the store responded.
	reached time.Time
	// ready caches the lists that Ready returns. It is cleared on each change.
	ready map[string][]Endpoint
	// departed holds the endpoints that were removed, by ID.
	departed map[string]departure
	// suspended holds ready entries of departed endpoints that a restored store
	// returned.
	suspended map[string]suspension
	// leaving holds the start times of the instances that said that they leave, by ID.
	leaving map[string]time.Time
	// maxAge is the age from which the table counts as outdated; 0 if it never does.
	maxAge time.Duration
	// checkedAt is the latest time at which the table held all that was known to have been written.
	checkedAt time.Time
}

type departure struct {
	// started is the start of the instance that departed.
	started, at time.Time
	// lapsed is set if the entry may have expired while the instance lives.
	lapsed bool
}

type suspension struct {
	endpoint Endpoint
	// until is when the entry counts unless it was removed before.
	until time.Time
}

type entry struct {
	endpoint Endpoint
	// removeAt is the end of the grace period of an entry that was removed from
	// the store; zero if the entry is present.
	removeAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		endpoints: map[string]*entry{}, departed: map[string]departure{}, suspended: map[string]suspension{},
		leaving: map[string]time.Time{},
	}
}

// Put adds or replaces an endpoint.
func (t *Table) Put(e Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(e)
}

func (t *Table) put(e Endpoint) {
	if started, ok := t.leaving[e.ID]; ok {
		if started.Equal(e.Started) {
			e.State = Draining
		} else {
			delete(t.leaving, e.ID)
		}
	}
	known := t.endpoints[e.ID]
	if known == nil || known.endpoint != e {
		t.ready = nil
	}
	t.endpoints[e.ID] = &entry{endpoint: e}
	delete(t.departed, e.ID)
	delete(t.suspended, e.ID)
}

// PutRestored handles an entry that a store returned, at now, when it came back from an
// older copy. An instance that was draining or had departed since the copy does not
// become ready by it. If its removal isn't written again within RecoveryTime, the entry
// of a departed instance counts.
func (t *Table) PutRestored(e Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.endpoints[e.ID]; known != nil && known.endpoint.State == Draining && known.endpoint.Started.Equal(e.Started) {
		return
	}
	if left, ok := t.departed[e.ID]; ok && left.started.Equal(e.Started) && e.State == Ready {
		t.suspended[e.ID] = suspension{endpoint: e, until: now.Add(RecoveryTime)}
		return
	}
	t.put(e)
}

// Remove handles the removal of an endpoint's entry from the store, read at now.
// It removes the endpoint, after ExpiryGracePeriod if the entry may have expired.
func (t *Table) Remove(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspended, id)
	e := t.endpoints[id]
	if e == nil {
		return
	}
	if t.recovering(now) && e.endpoint.State == Ready {
		if e.removeAt.IsZero() {
			e.removeAt = now.Add(ExpiryGracePeriod)
		}
		return
	}
	t.remove(id, now, false)
}

func (t *Table) remove(id string, now time.Time, lapsed bool) {
	t.departed[id] = departure{started: t.endpoints[id].endpoint.Started, at: now, lapsed: lapsed}
	t.ready = nil
	delete(t.endpoints, id)
}

// RecordLeaving records that an instance said, in a response, that it leaves. It accepts no
// more requests, whatever its entry in the store says, until another instance registers
// under its ID. It reports whether this is new.
func (t *Table) RecordLeaving(e Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if started, ok := t.leaving[e.ID]; ok && started.Equal(e.Started) {
		return false
	}
	if len(t.leaving) >= maxLeaving {
		t.evictLeaving()
	}
	t.leaving[e.ID] = e.Started
	if known := t.endpoints[e.ID]; known != nil && known.endpoint.Started.Equal(e.Started) {
		known.endpoint.State = Draining
		t.ready = nil
	}
	return true
}

// evictLeaving forgets the instances that aren't registered, or all if each of them is.
func (t *Table) evictLeaving() {
	for id := range t.leaving {
		if t.endpoints[id] == nil {
			delete(t.leaving, id)
		}
	}
	if len(t.leaving) >= maxLeaving {
		clear(t.leaving)
	}
}

// StoreUnavailable records that the store does not respond at now.
func (t *Table) StoreUnavailable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.outage {
		t.wasComplete = t.entriesDue(now) == 0
	}
	t.outage = true
}

// StoreRecovered records that the store responds again at now.
func (t *Table) StoreRecovered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outage {
		t.recovered = now
	}
	if t.reached.IsZero() {
		t.reached = now
	}
	t.outage = false
}

// EntriesDue returns how long, from now, entries of live endpoints may still be missing: after an
// outage of the store, or since this router first reached the store, which may have been away
// before. It returns RecoveryTime during an outage.
func (t *Table) EntriesDue(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entriesDue(now)
}

func (t *Table) entriesDue(now time.Time) time.Duration {
	if t.outage || t.reached.IsZero() {
		return RecoveryTime
	}
	latest := t.reached
	if t.recovered.After(latest) {
		latest = t.recovered
	}
	return max(latest.Add(RecoveryTime).Sub(now), 0)
}

// Complete reports whether all live endpoints are registered here, or were when the present outage
// of the store began. No entry was removed lately that may have expired.
func (t *Table) Complete(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.departed {
		if d.lapsed {
			return false
		}
	}
	if t.outage {
		return t.wasComplete
	}
	return t.entriesDue(now) == 0
}

func (t *Table) recovering(now time.Time) bool {
	return t.outage || (!t.recovered.IsZero() && now.Before(t.recovered.Add(RecoveryTime)))
}

// StoreRestored records that the store came back, at now, from an older copy. Entries of
// live endpoints that it lacks are written again within RecoveryTime.
func (t *Table) StoreRestored(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recovered = now
}

// Expire removes the endpoints whose grace period has ended at now, and adds those whose
// entries were suspended until now. It reports whether it changed the table.
func (t *Table) Expire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, e := range t.endpoints {
		if !e.removeAt.IsZero() && now.After(e.removeAt) {
			t.remove(id, now, true)
			changed = true
		}
	}
	for _, s := range t.suspended {
		if now.After(s.until) {
			t.put(s.endpoint)
			changed = true
		}
	}
	for id, d := range t.departed {
		if now.Sub(d.at) > departureRetention {
			delete(t.departed, id)
		}
	}
	return changed
}

// Ready returns the endpoints of a service that accept requests, ordered by ID.
// The list is shared and must not be modified.
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

// Remembers reports whether an endpoint is registered or departed within departureRetention. Its
// entry may have lapsed while it lives, and come back.
func (t *Table) Remembers(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, departed := t.departed[id]
	return departed || t.endpoints[id] != nil
}

// Remembered returns the IDs of the endpoints for which Remembers returns true.
func (t *Table) Remembered() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.endpoints)+len(t.departed))
	for id := range t.endpoints {
		ids = append(ids, id)
	}
	for id := range t.departed {
		ids = append(ids, id)
	}
	return ids
}

// SetMaxAge sets the time without a check after which the table counts as outdated.
func (t *Table) SetMaxAge(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxAge = d
}

// Checked records that the table held at a time all entries that this router knew to have been
// written.
func (t *Table) Checked(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.checkedAt) {
		t.checkedAt = at
	}
}

// Outdated reports whether entries that were written long ago may be missing, because this router is
// late to read them or to check whether there are any.
func (t *Table) Outdated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxAge > 0 && !t.checkedAt.IsZero() && now.Sub(t.checkedAt) > t.maxAge
}

// Accepting returns an endpoint by ID if it accepts requests at now. Unlike Ready, it regards the end
// of a grace period before Expire does.
func (t *Table) Accepting(id string, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || e.endpoint.State != Ready || !e.removeAt.IsZero() && now.After(e.removeAt) {
		return Endpoint{}, false
	}
	return e.endpoint, true
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
