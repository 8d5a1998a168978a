package dispatch

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
)

// RecordLimit records the limit on requests per second in the endpoint's response, or
// requestlimit.NoLimit, and reports whether it is new. sentAt is when the request was
// sent.
func (a *Assignment) RecordLimit(now time.Time, rate float64, sentAt time.Time) (changed bool) {
	a.withLock(func() {
		changed = a.dispatcher.requestLimits.Observe(now, endpointload.Hash(a.Endpoint.ID), rate, sentAt)
	})
	return changed
}

// LimitedEndpoints returns the number of endpoints that have named a limit.
func (d *Dispatcher) LimitedEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestLimits.Limited()
}
