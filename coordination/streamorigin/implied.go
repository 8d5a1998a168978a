package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Implied is the build of the streams of a service that have no saved origin. As long as it is in
// force, the origin of a stream of any other build is saved before the caller gets its first
// event, so that a stream without a saved origin can only be of this build.
type Implied struct {
	Build Build
	// Era is the era of the store in which it was saved. After a restoration of the store, saved
	// origins may be lost, and a stream without one may be of any build.
	Era int64
}

// Service identifies a service by a hash of its name.
type Service uint32

// ServiceOf returns the service with a name.
func ServiceOf(name string) Service { return Service(xxhash.Sum64String(name)) }

// ServiceImplied is the implied build of a service, as a router tells it to its peers.
type ServiceImplied struct {
	Service Service
	Implied
}

// ImpliedPolicy decides when a router may save another implied build of a service. A change is
// safe only once no stream can be left that began under the earlier one without a saved origin:
// its endpoints must have been gone for as long as streams last, in a time in which this router
// saw the store and its endpoints without interruption. It is not safe for concurrent use.
type ImpliedPolicy struct {
	// FirstStart is set if the whole fleet starts for the first time: no stream began before.
	FirstStart bool

	// undisturbedSince is zero if the store isn't known to have been in order until now.
	undisturbedSince time.Time
	// unusedSince holds, by service, since when the implied build has had no endpoint.
	unusedSince map[string]time.Time
}

// Disturbed records that the store failed or was not followed by this router.
func (p *ImpliedPolicy) Disturbed() {
	p.undisturbedSince = time.Time{}
	clear(p.unusedSince)
}

// Restored records that the store was restored from an older copy. A missing implied build may
// have been lost by that.
func (p *ImpliedPolicy) Restored() {
	p.Disturbed()
	p.FirstStart = false
}

// Next returns the build that should be saved as the implied one of a service, or AnyBuild if
// there is nothing to save. endpoints counts the service's endpoints in any state by build, saved
// is what the store holds, era its present era, and retention the longest time that a stream
// lasts.
func (p *ImpliedPolicy) Next(now time.Time, service string, endpoints map[Build]int, saved *Implied, era int64, retention time.Duration) Build {
	if p.undisturbedSince.IsZero() {
		p.undisturbedSince = now
	}
	if p.unusedSince == nil {
		p.unusedSince = map[string]time.Time{}
	}
	undisturbed := now.Sub(p.undisturbedSince) >= retention
	best := mostEndpoints(endpoints)
	switch {
	case best == AnyBuild:
		return AnyBuild
	case saved == nil:
		if p.FirstStart || undisturbed {
			return best
		}
		return AnyBuild
	case saved.Era != era:
		if !undisturbed {
			return AnyBuild
		}
		if endpoints[saved.Build] > 0 {
			return saved.Build
		}
		return best
	case endpoints[saved.Build] > 0:
		delete(p.unusedSince, service)
		return AnyBuild
	}
	since, ok := p.unusedSince[service]
	if !ok {
		since = now
		p.unusedSince[service] = now
	}
	if !undisturbed || now.Sub(since) < retention {
		return AnyBuild
	}
	return best
}

// mostEndpoints returns the build with the most endpoints, or AnyBuild if there are none.
func mostEndpoints(endpoints map[Build]int) Build {
	best := AnyBuild
	for b, n := range endpoints {
		if n > endpoints[best] || n == endpoints[best] && b > best {
			best = b
		}
	}
	return best
}
