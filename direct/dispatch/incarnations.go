package dispatch

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Accepting reports whether an endpoint still accepts requests. resumable is set for a request that
// begins or continues a stream which another endpoint of the same build may continue; such a request
// must run at the incarnation that was chosen.
func (d *Dispatcher) Accepting(chosen registry.Endpoint, resumable bool) bool {
	now := time.Now()
	e, ok := d.registry.Accepting(chosen.ID, now)
	if !ok || d.Evacuated(e) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if resumable && (!d.incarnations.Confirmed(e.ID) || !e.Started.Equal(chosen.Started) || e.Version != chosen.Version) {
		return false
	}
	return d.loads.PausedUntil(now, e.ID).IsZero()
}

// EntriesOutdated reports whether the known entries may be those of long ago.
func (d *Dispatcher) EntriesOutdated(now time.Time) bool { return d.registry.Outdated(now) }

// Restarted records the start time in the entry of an endpoint. A changed start time discards what
// is known of the previous incarnation.
func (d *Dispatcher) Restarted(id string, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A newer entry may have been read since the caller read this one.
	if e, ok := d.registry.Lookup(id); ok {
		started = e.Started
	}
	d.setIncarnation(id, d.incarnations.Register(id, started))
}

func (d *Dispatcher) setIncarnation(id string, started time.Time) {
	if d.loads.SetStartTime(id, started) {
		now := time.Now()
		d.recordEndpointDown(now, endpointload.Hash(id))
		d.requestLimits.Forget(now, endpointload.Hash(id))
	}
}

// DoubtIncarnation records that a connection to an endpoint broke or could not be opened. What is
// known of the endpoint may be that of an earlier incarnation. Until it is confirmed, the endpoint
// gets no streams that may be resumed.
func (d *Dispatcher) DoubtIncarnation(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations.Doubt(now, id)
	d.suspectRestart(now, id)
}

// confirmed returns the endpoints whose incarnation is not in doubt.
func (d *Dispatcher) confirmed(endpoints []registry.Endpoint) []registry.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.incarnations.Doubted() == 0 {
		return endpoints
	}
	kept := make([]registry.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if d.incarnations.Confirmed(e.ID) {
			kept = append(kept, e)
		} else {
			d.incarnations.Want(e.ID)
		}
	}
	return kept
}

// TakeQuestions returns the endpoints that should be asked now which incarnation they are. Those in
// evacuated zones are asked after their return. Reported, Reached or Unanswered must be called for each of them.
func (d *Dispatcher) TakeQuestions(now time.Time) []registry.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var endpoints []registry.Endpoint
	zones := d.evacuations.Zones()
	for _, id := range d.incarnations.TakeQuestions(now) {
		if e, ok := d.registry.Lookup(id); ok && zones.Has(e.Zone) {
			d.incarnations.Postpone(id)
		} else if ok {
			endpoints = append(endpoints, e)
		} else {
			d.incarnations.Asked(now, id)
		}
	}
	return endpoints
}

// Reported records the start time that an endpoint reported on a connection opened after askedAt.
// It reports whether the endpoint is another incarnation than the registered one.
func (d *Dispatcher) Reported(now, askedAt time.Time, id string, started time.Time) (restarted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations.Asked(now, id)
	if !d.incarnations.Reported(askedAt, id, started) {
		return false
	}
	d.setIncarnation(id, started)
	d.suspectRestart(now, id)
	return true
}

// Reached records that an endpoint accepted a connection opened after askedAt, but reported no
// start time.
func (d *Dispatcher) Reached(now, askedAt time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations.Asked(now, id)
	d.incarnations.Reached(now, askedAt, id)
}

// Unanswered records that an endpoint could not be asked.
func (d *Dispatcher) Unanswered(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations.Asked(now, id)
}

// SettleIncarnations ends the doubt about endpoints whose entries would show a restart, since the
// store is known to have answered from since to until.
func (d *Dispatcher) SettleIncarnations(since, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations.Settle(since, until)
}

// DoubtedEndpoints returns the number of endpoints whose incarnation is in doubt.
func (d *Dispatcher) DoubtedEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnations.Doubted()
}
