package dispatch

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/requestlimit"
)

// RecordLimit records the limit on requests per second in the endpoint's response, or
// requestlimit.NoLimit, and reports whether it is new. sentAt is when the request was
// sent.
func (a *Assignment) RecordLimit(now time.Time, rate float64, sentAt time.Time) (changed bool) {
	a.withLock(func() {
		if !a.attempt.IsCurrent() {
			return
		}
		d := a.dispatcher
		changed = d.requestLimits.Observe(now, endpointload.Hash(a.Endpoint.ID), rate, sentAt)
		if !d.requestLimits.TakeNews() {
			return
		}
		select {
		case d.limitNews <- struct{}{}:
		default:
		}
	})
	return changed
}

// LimitNews delivers a value when peers should be told the limits.
func (d *Dispatcher) LimitNews() <-chan struct{} { return d.limitNews }

// Limits returns the limits that endpoints have named and the number of requests that
// this router got lately, for a report to peers.
func (d *Dispatcher) Limits(now time.Time) (limits []requestlimit.Limit, requests int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestLimits.Report(now)
}

// MergeLimits applies the limits that a peer reports, and the number of its requests.
func (d *Dispatcher) MergeLimits(now time.Time, instance string, requests int64, limits []requestlimit.Limit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requestLimits.SetPeerRequests(now, instance, requests)
	d.requestLimits.Merge(now, limits)
}

// SetInstance sets the instance of this router in reports to peers.
func (d *Dispatcher) SetInstance(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requestLimits.SetInstance(instance)
}

// allowed reports whether the limit of an endpoint, if any, allows another request.
func (d *Dispatcher) allowed(now time.Time, id string) bool {
	return d.requestLimits.Limited() == 0 || d.requestLimits.Allow(now, endpointload.Hash(id))
}

// expireLimits drops the limits of endpoints that departed long ago.
func (d *Dispatcher) expireLimits(now time.Time) {
	remembered := map[uint32]bool{}
	for _, id := range d.registry.Remembered() {
		remembered[endpointload.Hash(id)] = true
	}
	d.requestLimits.Expire(now, func(endpoint uint32) bool { return remembered[endpoint] })
}

// LimitedEndpoints returns the number of endpoints that have named a limit.
func (d *Dispatcher) LimitedEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestLimits.Limited()
}
