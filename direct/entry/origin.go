package entry

import (
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// maxExemptTakeUps is how often a stream can be taken up at one router without regard to its
// team's share, which was checked when it began. Beyond that, a team could get any number of
// requests that way.
const maxExemptTakeUps = 3

const (
	// unknownOriginRetryAfter is the delay after which a caller should retry if the origin of its
	// stream is unknown or can't be saved: the store may be back, or a router that knows it.
	unknownOriginRetryAfter = time.Second
	// missingBuildRetryAfter is the delay if no endpoint of the build is registered although all
	// entries should be there: one may start.
	missingBuildRetryAfter = 300 * time.Millisecond
)

// resolveOrigin finds the build that began a stream that the caller takes up again, and the
// service that has it. If it returns false, it has refused the request: joined from two
// builds, the stream would be corrupt.
func (r *request) resolveOrigin() bool {
	if !r.takesUpStream() {
		return true
	}
	attempt := r.in.Header.Get(r.h.Dialect.Resumes)
	build, known := r.h.Origins.Find(r.ctx, attempt, r.resumableRoutes())
	if !known {
		r.refuse(http.StatusServiceUnavailable, "the origin of the stream is unknown", unknownOriginRetryAfter)
		return false
	}
	if r.useServiceWith(build) {
		r.build = build
		r.continues = attempt != "" && r.h.Origins.CountTakeUp(attempt) <= maxExemptTakeUps
		return true
	}
	delay := max(missingBuildRetryAfter, r.h.Dispatcher.EntriesDue(time.Now()))
	r.refuse(http.StatusServiceUnavailable, "no endpoint of the build that began the stream", delay)
	return false
}

// useServiceWith sends the request to the service of its route that has a build, if an endpoint of it is
// ready.
func (r *request) useServiceWith(build streamorigin.Build) bool {
	for _, destination := range r.route.Destinations {
		if destination.Weight > 0 && r.h.Dispatcher.HasReady(destination.Service, build) {
			r.service = r.table.Service(destination.Service)
			r.parseCost()
			return true
		}
	}
	return false
}

// takesUpStream reports whether the caller has the first events of the stream.
func (r *request) takesUpStream() bool {
	return r.isResumable() && r.in.Header.Get(r.h.Dialect.LastEventID) != ""
}

// isResumable reports whether the request is a stream that another endpoint may continue.
func (r *request) isResumable() bool { return r.route.Semantics == routing.Stream && r.route.Resumable }

// resumableRoutes returns all routes with resumable streams that match the request.
func (r *request) resumableRoutes() []*routing.Route { return r.table.Resumable()[r.route] }

// placedBuild returns the only build at which the request should be placed, or
// streamorigin.AnyBuild.
func (r *request) placedBuild() streamorigin.Build { return r.restrictedBuild(r.build) }

// restrictedBuild returns build or, for a stream that may begin at any build, the only one at which
// it should begin at present.
func (r *request) restrictedBuild(build streamorigin.Build) streamorigin.Build {
	if build != streamorigin.AnyBuild || !r.isResumable() {
		return build
	}
	b, _ := r.h.Origins.Restriction(r.resumableRoutes())
	if b != streamorigin.AnyBuild && r.h.Dispatcher.HasReady(r.service.Name, b) {
		return b
	}
	return streamorigin.AnyBuild
}

// refuseIfUnsavable sends a new stream, if its origin can't be saved at present, to the service that has the
// build that needs no saved origin, and refuses it if no endpoint of that is ready. Any other endpoint's
// events would be withheld.
func (r *request) refuseIfUnsavable() bool {
	if !r.isResumable() || r.build != streamorigin.AnyBuild {
		return false
	}
	b, canBegin := r.h.Origins.Restriction(r.resumableRoutes())
	if canBegin && (b == streamorigin.AnyBuild || r.useServiceWith(b)) {
		return false
	}
	r.refuse(http.StatusServiceUnavailable, "the origin of the stream can't be saved", unknownOriginRetryAfter)
	return true
}

// recordOrigin records the build of the first endpoint whose events are forwarded to the
// caller. It returns false if the origin isn't safe, and the caller must not get the events: after
// a restart of all routers, the stream could go on at another build.
func (r *request) recordOrigin(a *attempt) bool {
	if r.build != streamorigin.AnyBuild || !r.route.Resumable {
		return true
	}
	build := dispatch.BuildOf(a.assignment.Endpoint)
	if !r.h.Origins.Begin(r.ctx, r.id, r.resumableRoutes(), build) {
		return false
	}
	r.build = build
	return true
}

// canBeginElsewhere reports whether a stream whose first events were withheld because its origin
// isn't saved can begin again at the implied build.
func (r *request) canBeginElsewhere(a *attempt) bool {
	build := r.placedBuild()
	return build != streamorigin.AnyBuild && build != dispatch.BuildOf(a.assignment.Endpoint)
}
