package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// survivorsInterval is the shortest interval between two checks how long the responses in progress have lasted.
const survivorsInterval = 250 * time.Millisecond

// Quarantine returns a refusal if the request with this fingerprint crashes endpoints, or if
// requests with some of the prompt's parts crash engines, and otherwise nil. The fingerprint
// is 0 while it is unknown.
func (d *Dispatcher) Quarantine(now time.Time, cost prompt.Cost, fingerprint uint64) *Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashingParts.Quarantined() == 0 {
		return nil
	}
	until, refuse := d.crashingParts.Refuse(now, cost.SharedIDs(), fingerprint)
	if !refuse {
		return nil
	}
	return &Refusal{Reason: Quarantined, RetryAfter: until.Sub(now), Allowance: 1}
}

// Interrupted records that the connection of the attempt broke, also after its first event. responding reports
// whether the response had begun. It must be called before End. It returns true if the
// caller should check whether the endpoint is down.
func (a *Assignment) Interrupted(now time.Time, responding bool) (check bool) {
	a.withLock(func() {
		d := a.dispatcher
		begun := a.attempt.FirstEventReceived()
		check = d.crashingParts.AddInterrupted(quarantine.Interrupted{
			Crash: incarnationHash(a.Endpoint), At: now, Responding: responding, Begun: begun, Lasted: a.lasted(now),
			Parts: a.sharedParts, Request: a.fingerprint,
		}, endpointload.Hash(a.Endpoint.ID), d.loads.Down(now, a.Endpoint.ID))
		d.handleCrashes(now)
	})
	return check
}

// RecordConnectFailure records that a connection to an endpoint failed outside an
// attempt.
func (d *Dispatcher) RecordConnectFailure(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads.RecordConnectFailure(now, id)
	d.recordEndpointDown(now, endpointload.Hash(id))
}

// incarnationHash returns a hash of an endpoint's identifier and start time.
func incarnationHash(e registry.Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.ID + "@" + strconv.FormatInt(e.Started.UnixMilli(), 10)))
}

// Served records that the endpoint responded with an event, or with a complete response.
// Only the first call has an effect.
func (a *Assignment) Served(now time.Time) {
	if a.served {
		return
	}
	a.served = true
	a.withLock(func() {
		delete(a.dispatcher.waiting, a)
		if len(a.sharedParts) == 0 {
			return
		}
		a.dispatcher.crashingParts.Served(now, a.sharedParts)
		a.dispatcher.announceCrashes()
	})
}

// Answered records that the endpoint responded completely, with any status.
func (a *Assignment) Answered(now time.Time) {
	if a.fingerprint == 0 && len(a.sharedParts) == 0 {
		return
	}
	a.withLock(func() {
		if a.served {
			a.dispatcher.crashingParts.Ran(now, a.sharedParts, quarantine.Completed)
		}
		if a.fingerprint != 0 {
			a.dispatcher.crashingParts.Answered(now, a.fingerprint)
		}
		a.dispatcher.announceCrashes()
	})
}

// lasted returns the time since the first event, or 0 if there was none.
func (a *Assignment) lasted(now time.Time) time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstEventAt)
}

// recordSurvivors records how long the responses in progress have lasted whose parts or requests are suspected.
func (d *Dispatcher) recordSurvivors(now time.Time) {
	if !d.crashingParts.RunSuspects() || now.Sub(d.survivorsAt) < survivorsInterval {
		return
	}
	d.survivorsAt = now
	for a := range d.responding {
		for _, items := range [][]uint64{a.sharedParts, {a.fingerprint}} {
			if d.crashingParts.IsRunSuspect(items) {
				d.crashingParts.Ran(now, items, a.lasted(now))
			}
		}
	}
}

// CancelIfQuarantined makes the dispatcher call cancel if the request or parts of its prompt
// are quarantined before the endpoint has responded.
func (a *Assignment) CancelIfQuarantined(cancel func()) {
	if len(a.sharedParts) == 0 && a.fingerprint == 0 {
		return
	}
	a.withLock(func() {
		a.cancel = cancel
		a.dispatcher.waiting[a] = struct{}{}
	})
}

// Quarantined reports whether the attempt was cancelled because of the quarantine.
func (a *Assignment) Quarantined() bool {
	quarantined := false
	a.withLock(func() { quarantined = a.quarantined })
	return quarantined
}

// cancelQuarantined cancels the attempts that would crash their engines.
func (d *Dispatcher) cancelQuarantined(now time.Time) {
	if d.crashingParts.Quarantined() == 0 {
		return
	}
	for a := range d.waiting {
		if d.crashingParts.Contains(now, a.sharedParts, a.fingerprint) {
			a.quarantined = true
			delete(d.waiting, a)
			a.cancel()
		}
	}
}

func (d *Dispatcher) recordEndpointDown(now time.Time, endpoint uint32) {
	d.crashingParts.EndpointDown(now, endpoint)
	d.handleCrashes(now)
}

// handleCrashes acts on interrupted attempts that were added.
func (d *Dispatcher) handleCrashes(now time.Time) {
	d.recordSurvivors(now)
	if d.announceCrashes() {
		d.cancelQuarantined(now)
	}
}

// announceCrashes signals CrashNews if there is something to tell to peers, and reports
// whether there is.
func (d *Dispatcher) announceCrashes() bool {
	if !d.crashingParts.HasNews() {
		return false
	}
	d.unsavedCrashes = true
	select {
	case d.crashNews <- struct{}{}:
	default:
	}
	return true
}

// TakeUnsavedCrashes reports whether there is a quarantine and this router has observed
// something since the last call.
func (d *Dispatcher) TakeUnsavedCrashes() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.unsavedCrashes || d.crashingParts.Quarantined() == 0 {
		return false
	}
	d.unsavedCrashes = false
	return true
}

// KeepCrashesUnsaved makes the next call to TakeUnsavedCrashes return true.
func (d *Dispatcher) KeepCrashesUnsaved() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsavedCrashes = true
}

// CrashNews delivers a value when peers should be sent the crash facts.
func (d *Dispatcher) CrashNews() <-chan struct{} { return d.crashNews }

// TakeCrashNews returns what peers haven't been told yet.
func (d *Dispatcher) TakeCrashNews() quarantine.Facts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashingParts.TakeNews()
}

// CrashFacts returns what is known about requests that crash engines.
func (d *Dispatcher) CrashFacts() quarantine.Facts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashingParts.Facts()
}

// MergeCrashFacts adds a peer's facts. It reports whether this router knows that parts
// are sound which the peer suspects.
func (d *Dispatcher) MergeCrashFacts(now time.Time, f quarantine.Facts) (clears bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clears = d.crashingParts.Merge(f)
	d.recordSurvivors(now)
	d.announceCrashes()
	d.cancelQuarantined(now)
	return clears
}

// QuarantinedSets returns the number of sets of parts in quarantine.
func (d *Dispatcher) QuarantinedSets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashingParts.Quarantined()
}
