package dispatch

import (
	"math/rand/v2"
	"time"
)

// RecordLeaving records that the endpoint said, in its response, that it is leaving. It gets
// no more requests from this router. It reports whether this is new.
func (a *Assignment) RecordLeaving() bool { return a.dispatcher.registry.RecordLeaving(a.Endpoint) }

// Pause records that the endpoint refused the attempt and wants no requests from this router
// for a time.
func (a *Assignment) Pause(now time.Time, d time.Duration) {
	a.withLock(func() { a.attempt.Pause(now, d) })
}

// pauseSpread is the fraction by which the delay of callers is lengthened at most, so that
// they don't all return when a pause ends.
const pauseSpread = 0.25

// refuseUnusable refuses a request for which no endpoint is usable. If all of the service have
// asked for a pause, the caller should retry when the first pause ends. Endpoints in evacuated zones
// don't count.
func (d *Dispatcher) refuseUnusable(now time.Time, request *Request, allowance float64) *Refusal {
	refusal := &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter, Allowance: allowance}
	ready := d.registry.Ready(request.Service)
	open := d.notEvacuated(ready)
	if len(open) < len(ready) && !hasBuild(open, request.Build) && hasBuild(ready, request.Build) {
		refusal.Reason = Evacuated
		return refusal
	}
	var first time.Time
	for _, e := range open {
		until := d.loads.PausedUntil(now, e.ID)
		if until.IsZero() {
			return refusal
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if !first.IsZero() {
		refusal.Reason = Paused
		refusal.RetryAfter = time.Duration(float64(first.Sub(now)) * (1 + pauseSpread*rand.Float64()))
	}
	return refusal
}
