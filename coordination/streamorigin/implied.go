package streamorigin

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeaseDuration is how long a router relies on a read of the implied builds. It is longer than the
	// store's outages, in which streams begin only under a lease.
	LeaseDuration = 20 * time.Second
	// LeaseRenewal is the age of a read from which on it is repeated.
	LeaseRenewal = 5 * time.Second
	// unusedDelay is how long an implied build must have had no endpoint before it is replaced. It
	// covers the crash of an endpoint: its entry lapses after some seconds and then returns.
	unusedDelay = 6 * time.Second
)

// Service identifies a service by a hash of its name.
type Service uint32

// ServiceOf returns the service with a name.
func ServiceOf(name string) Service { return Service(xxhash.Sum64String(name)) }

// Implied is the build that is assumed for the streams of a service that have no saved origin.
type Implied struct {
	Build Build
	// Settled is set once every stream without a saved origin that can still be taken up is of Build.
	// Before that, such a stream may be of the build that was implied earlier.
	Settled bool
	// Since is the offset of the record that introduced Build.
	Since int64
}

// ImpliedBuilds is the content of the store's record of implied builds.
type ImpliedBuilds struct {
	// Era is the era of the store in which the record was written. After a restoration, saved origins
	// may be lost, so that nothing follows from a missing one.
	Era int64
	// Of is never modified.
	Of map[Service]Implied
}

// Conclude returns the build of a stream that has no saved origin, as far as it is known. The origins
// and the implied builds must have been read in this era after the stream was interrupted.
func (b ImpliedBuilds) Conclude(s Service, era int64) (Build, bool) {
	i := b.Of[s]
	if !i.Settled || b.Era != era {
		return AnyBuild, false
	}
	return i.Build, true
}

// IsSettled reports whether a build is settled for some service.
func (b ImpliedBuilds) IsSettled(build Build) bool {
	for _, i := range b.Of {
		if i.Settled && i.Build == build {
			return true
		}
	}
	return false
}

// Lease is what a router knows of the implied builds. A router acts on it only for LeaseDuration. The
// one that settles a new build waits as long, so that by then no router acts on the earlier one, not
// even one that was suspended or cut off.
type Lease struct {
	ImpliedBuilds
	// ReadAt is when the read began; zero if there was none.
	ReadAt time.Time
}

// IsValid reports whether the router may act on the lease.
func (l Lease) IsValid(now time.Time) bool {
	return !l.ReadAt.IsZero() && now.Sub(l.ReadAt) < LeaseDuration
}

// MayOmit reports whether a stream of this build may begin without a saved origin: it would be
// concluded from the store that this build began it.
func (l Lease) MayOmit(now time.Time, s Service, b Build, era int64) bool {
	settled, ok := l.Conclude(s, era)
	return ok && settled == b && l.IsValid(now)
}

// Fallback returns the only build whose streams may begin while origins can't be saved, or AnyBuild.
// If the build isn't settled, nothing will be concluded for them, until their origin is saved.
func (l Lease) Fallback(now time.Time, s Service) Build {
	if !l.IsValid(now) {
		return AnyBuild
	}
	return l.Of[s].Build
}

// Unsettled returns the builds that were settled in earlier and aren't in b. Streams of these
// builds that began without a saved origin need one now.
func (b ImpliedBuilds) Unsettled(earlier ImpliedBuilds) []Build {
	var list []Build
	for s, i := range earlier.Of {
		if i.Settled && (b.Of[s].Build != i.Build || !b.Of[s].Settled || b.Era != earlier.Era) {
			list = append(list, i.Build)
		}
	}
	return list
}

// ImpliedPolicy decides when a router may change the implied builds in the store. That a stream never
// goes on at another build depends only on the order of the changes: an unsettled build may replace
// any other at once, and is settled after no router can hold a lease of the earlier one and the
// streams that began under it have ended. It is not safe for concurrent use.
type ImpliedPolicy struct {
	// FirstStart is set if the whole fleet starts for the first time: no stream began before.
	FirstStart bool

	// unusedSince holds, by service, since when the implied build has had no endpoint.
	unusedSince map[Service]time.Time
	// settling holds when this router first saw the unsettled builds.
	settling map[Service]sighting
}

// sighting is the first sight of an unsettled build.
type sighting struct {
	Implied
	era int64
	at  time.Time
}

// Disturbed records that the store failed or was not followed by this router, so that endpoints may be
// missing that are in service.
func (p *ImpliedPolicy) Disturbed() { clear(p.unusedSince) }

// Restored records that the store was restored from an older copy, which may lack the implied builds.
func (p *ImpliedPolicy) Restored() {
	p.Disturbed()
	p.FirstStart = false
}

// Next returns the implied builds that should be saved, and whether they differ from the saved ones.
// endpoints counts the endpoints in any state by build, saved is what the store holds or nil, era its
// present era and end the offset at which the change will be written. longestStream is the longest time
// from the first event of a stream to the last attempt to take it up.
func (p *ImpliedPolicy) Next(now time.Time, endpoints map[Service]map[Build]int, saved *ImpliedBuilds, era, end int64, longestStream time.Duration) (ImpliedBuilds, bool) {
	next := ImpliedBuilds{Era: era, Of: map[Service]Implied{}}
	if saved != nil && saved.Era == era {
		maps.Copy(next.Of, saved.Of)
	}
	changed := false
	for s, builds := range endpoints {
		best := mostEndpoints(builds)
		if best == AnyBuild {
			continue
		}
		i, ok := next.Of[s]
		switch {
		case !ok:
			if saved != nil && builds[saved.Of[s].Build] > 0 {
				best = saved.Of[s].Build
			}
			i = Implied{Build: best, Settled: p.FirstStart, Since: end}
		case p.isUnused(now, s, builds[i.Build]):
			i = Implied{Build: best, Since: end}
		case !i.Settled && now.Sub(p.firstSeen(now, s, i, era)) >= LeaseDuration+longestStream:
			i.Settled = true
		default:
			continue
		}
		next.Of[s], changed = i, true
	}
	return next, changed
}

func (p *ImpliedPolicy) isUnused(now time.Time, s Service, endpoints int) bool {
	if endpoints > 0 {
		delete(p.unusedSince, s)
		return false
	}
	if p.unusedSince == nil {
		p.unusedSince = map[Service]time.Time{}
	}
	if _, ok := p.unusedSince[s]; !ok {
		p.unusedSince[s] = now
	}
	return now.Sub(p.unusedSince[s]) >= unusedDelay
}

// firstSeen returns when this router first saw an unsettled build, at or after the time at which it was
// written.
func (p *ImpliedPolicy) firstSeen(now time.Time, s Service, i Implied, era int64) time.Time {
	if p.settling == nil {
		p.settling = map[Service]sighting{}
	}
	if seen, ok := p.settling[s]; !ok || seen.Implied != i || seen.era != era {
		p.settling[s] = sighting{i, era, now}
	}
	return p.settling[s].at
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
