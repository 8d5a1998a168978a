package streamorigin

import (
	"maps"
	"slices"
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

// Route identifies a route by a hash.
type Route uint32

// RouteOf returns the route of a host and a path prefix.
func RouteOf(host, pathPrefix string) Route {
	return Route(xxhash.Sum64String(host + "\x00" + pathPrefix))
}

// Implied is the build that is assumed for the streams of a route that have no saved origin.
type Implied struct {
	Build Build
	State State
	// Since is the offset of the record that introduced Build, or that removed the route.
	Since int64
}

// State says what follows from an implied build.
type State byte

const (
	// Unsettled builds may begin streams while origins can't be saved. A stream without a saved origin
	// may be of the build, or of the one that was implied earlier.
	Unsettled State = iota
	// Settled builds begin streams without a saved origin: every stream without one that can still be
	// taken up is of the build.
	Settled
	// Removed is the state of a route that isn't in the configuration. Its streams may go on at another one.
	Removed
	// Replacing builds are unsettled, and have replaced a settled one of the route in the same era. All processes
	// that may act on the settled one were registered in this era, see Processes.
	Replacing
)

// ImpliedBuilds is the content of the store's record of implied builds.
type ImpliedBuilds struct {
	// Era is the era of the store in which the record was written. After a restoration, saved origins
	// may be lost, so that nothing follows from a missing one.
	Era int64
	// Of is never modified.
	Of map[Route]Implied
}

// Conclude returns the build of a stream that has no saved origin, as far as it is known. The origins
// and the implied builds must have been read in this era after the stream was interrupted. routes are
// all routes that match the stream's path: it may have begun when another one of them was the longest.
func (b ImpliedBuilds) Conclude(routes []Route, era int64) (Build, bool) {
	build := b.common(routes)
	for _, r := range routes {
		if b.Of[r].State != Settled {
			return AnyBuild, false
		}
	}
	return build, build != AnyBuild && b.Era == era
}

// common returns the implied build of routes, or AnyBuild if they have different ones or none.
func (b ImpliedBuilds) common(routes []Route) Build {
	common := AnyBuild
	for _, r := range routes {
		i := b.Of[r]
		if i.Build == AnyBuild || i.State == Removed || common != AnyBuild && i.Build != common {
			return AnyBuild
		}
		common = i.Build
	}
	return common
}

// allSettledOn reports whether every stream of any route without a saved origin is of a build.
func (b ImpliedBuilds) allSettledOn(build Build) bool {
	for _, i := range b.Of {
		if i.State != Settled || i.Build != build {
			return false
		}
	}
	return true
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

// MayOmit reports whether a stream of this build, whose path these routes match, may begin without a
// saved origin: it would be concluded from the store that this build began it.
func (l Lease) MayOmit(now time.Time, routes []Route, b Build, era int64) bool {
	settled, ok := l.Conclude(routes, era)
	return ok && settled == b && l.IsValid(now)
}

// Fallback returns the only build whose streams may begin while origins can't be saved, or AnyBuild.
// If the build isn't settled, nothing will be concluded for them, until their origin is saved.
func (l Lease) Fallback(now time.Time, routes []Route) Build {
	if !l.IsValid(now) {
		return AnyBuild
	}
	return l.common(routes)
}

// Unsettled returns the builds that were settled in earlier and aren't in b. Streams of these
// builds that began without a saved origin need one now.
func (b ImpliedBuilds) Unsettled(earlier ImpliedBuilds) []Build {
	var list []Build
	for r, i := range earlier.Of {
		now := b.Of[r]
		if i.State == Settled && (now.Build != i.Build || now.State != Settled || b.Era != earlier.Era) && !slices.Contains(list, i.Build) {
			list = append(list, i.Build)
		}
	}
	return list
}

// ImpliedPolicy decides when a router may change the implied builds in the store. That a stream never
// goes on at another build depends only on the order of the changes: an unsettled build may replace
// any other at once, and is settled after no router can hold a lease of the earlier one and the
// streams that began under it have ended or have saved origins. It is not safe for concurrent use.
type ImpliedPolicy struct {
	// FirstStart is set if the whole fleet starts for the first time: no stream began before.
	FirstStart bool
	// Processes holds the processes of all routers, or is nil if they aren't known.
	Processes *Processes

	// unusedSince holds, by route, since when the implied build has had no endpoint.
	unusedSince map[Route]time.Time
	// unsettled holds when this router first saw what isn't settled.
	unsettled map[Route]sighting
}

// sighting is the first sight of an implied build.
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
// shares holds, for each route with resumable streams, the share of new streams that begin at each build
// with endpoints in any state. saved is what the store holds or nil, era its present era and end the
// offset at which the change will be written. longestStream is the longest time from the first event of
// a stream to the last attempt to take it up.
func (p *ImpliedPolicy) Next(now time.Time, shares map[Route]map[Build]float64, saved *ImpliedBuilds, era, end int64, longestStream time.Duration) (ImpliedBuilds, bool) {
	// Otherwise, streams may have begun without a saved origin under a record that is lost.
	isKnown := saved != nil || p.FirstStart
	if saved == nil {
		saved = &ImpliedBuilds{Era: era}
	}
	next := ImpliedBuilds{Era: era, Of: map[Route]Implied{}}
	isCurrent := saved.Era == era
	if isCurrent {
		maps.Copy(next.Of, saved.Of)
	}
	delay := LeaseDuration + longestStream
	changed := false
	for r, builds := range shares {
		best := largestShare(builds)
		if best == AnyBuild {
			continue
		}
		i, ok := next.Of[r]
		switch {
		case !ok && isCurrent:
			i = Implied{Build: best, Since: end}
			if isKnown && saved.allSettledOn(best) {
				i.State = Settled
			}
		case !ok:
			if builds[saved.Of[r].Build] > 0 {
				best = saved.Of[r].Build
			}
			i = Implied{Build: best, Since: end}
		case i.State == Removed:
			i = Implied{Build: best, Since: end}
		case p.isUnused(now, r, builds[i.Build]):
			if i.State == Settled {
				i.State = Replacing
			}
			i.Build, i.Since = best, end
		case i.State != Settled && now.Sub(p.firstSeen(now, r, i, era)) >= delay,
			i.State == Replacing && p.Processes != nil && p.Processes.AllAcknowledged(now, era, i.Since, longestStream):
			i.State = Settled
		default:
			continue
		}
		next.Of[r], changed = i, true
	}
	for r, i := range next.Of {
		if _, exists := shares[r]; exists {
			continue
		}
		switch {
		case i.State != Removed:
			next.Of[r], changed = Implied{Build: i.Build, State: Removed, Since: end}, true
		case now.Sub(p.firstSeen(now, r, i, era)) >= delay:
			delete(next.Of, r)
			delete(p.unsettled, r)
			delete(p.unusedSince, r)
			changed = true
		}
	}
	return next, changed
}

func (p *ImpliedPolicy) isUnused(now time.Time, r Route, share float64) bool {
	if share > 0 {
		delete(p.unusedSince, r)
		return false
	}
	if p.unusedSince == nil {
		p.unusedSince = map[Route]time.Time{}
	}
	if _, ok := p.unusedSince[r]; !ok {
		p.unusedSince[r] = now
	}
	return now.Sub(p.unusedSince[r]) >= unusedDelay
}

// firstSeen returns when this router first saw an implied build in its state, at or after the time at which
// that was written.
func (p *ImpliedPolicy) firstSeen(now time.Time, r Route, i Implied, era int64) time.Time {
	if p.unsettled == nil {
		p.unsettled = map[Route]sighting{}
	}
	if seen, ok := p.unsettled[r]; !ok || seen.Implied != i || seen.era != era {
		p.unsettled[r] = sighting{i, era, now}
	}
	return p.unsettled[r].at
}

// largestShare returns the build at which most streams begin, or AnyBuild if there are none.
func largestShare(shares map[Build]float64) Build {
	best := AnyBuild
	for b, share := range shares {
		if share > shares[best] || share == shares[best] && b > best {
			best = b
		}
	}
	return best
}
