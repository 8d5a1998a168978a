// Package evacuation holds the availability zones that operators have evacuated. Nothing new is sent
// to the endpoints of such a zone. Table holds the zones and decides when an evacuation ends whose
// record a restored store lacks: only after the operators have had time to write it again.
//
// Table reads no clock and does no I/O.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/state/registry"
)

// HoldTime is how long an evacuation outlasts the restoration of a store that lacks its record.
// Operators write their records again within about 2 s, like endpoints their entries.
const HoldTime = registry.RecoveryTime

// Zones is an immutable set of evacuated zones. It is nil if there is none.
type Zones map[string]struct{}

// Has reports whether a zone is evacuated.
func (z Zones) Has(zone string) bool {
	_, ok := z[zone]
	return ok
}

// Table holds the evacuated zones. It is safe for concurrent use. Its mutex is never held while
// another one is acquired.
type Table struct {
	mu sync.Mutex
	// zones is replaced on each change, so that Zones returns it without a copy.
	zones Zones
	// held holds, by zone, when an evacuation ends whose record a restored store lacks.
	held map[string]time.Time
	// heldUntil is the end of the time in which a missing record is no proof of a removal.
	heldUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{held: map[string]time.Time{}} }

// Zones returns the evacuated zones.
func (t *Table) Zones() Zones {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones
}

// Begin evacuates a zone. It reports whether that is new.
func (t *Table) Begin(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, zone)
	if t.zones.Has(zone) {
		return false
	}
	zones := maps.Clone(t.zones)
	if zones == nil {
		zones = Zones{}
	}
	zones[zone] = struct{}{}
	t.zones = zones
	return true
}

// End ends the evacuation of a zone. It reports whether there was one.
func (t *Table) End(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, zone)
	if !t.zones.Has(zone) {
		return false
	}
	zones := maps.Clone(t.zones)
	delete(zones, zone)
	if len(zones) == 0 {
		zones = nil
	}
	t.zones = zones
	return true
}

// StoreRestored records that the store came back, at now, from an older copy.
func (t *Table) StoreRestored(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heldUntil = now.Add(HoldTime)
}

// Hold handles, at now, a record of a zone that is missing but may not have been removed. After a
// restoration of the store it keeps the evacuation until the end of HoldTime and returns true. It
// returns false if the evacuation should end now.
func (t *Table) Hold(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.zones.Has(zone) || !now.Before(t.heldUntil) {
		return false
	}
	t.held[zone] = t.heldUntil
	return true
}

// Due returns the zones whose evacuation was kept until now, in order. End must be called for them.
func (t *Table) Due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for zone, until := range t.held {
		if !now.Before(until) {
			due = append(due, zone)
		}
	}
	slices.Sort(due)
	return due
}
