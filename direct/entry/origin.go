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

// unknownOriginRetryAfter is the delay after which a caller should retry if its stream can't
// continue now: another router may know its origin, or an endpoint of its build return.
const unknownOriginRetryAfter = 300 * time.Millisecond

// resolveOrigin finds the build that began a stream that the caller takes up again, and the
// service that has it. If it returns false, it has refused the request: joined from two
// builds, the stream would be corrupt.
func (r *request) resolveOrigin() bool {
	if !r.takesUpStream() {
		return true
	}
	attempt := r.in.Header.Get(r.h.Dialect.Resumes)
	build, known := r.originBuild(attempt)
	if !known {
		r.refuse(http.StatusServiceUnavailable, "the origin of the stream is unknown", unknownOriginRetryAfter)
		return false
	}
	for _, destination := range r.route.Destinations {
		if destination.Weight > 0 && r.h.Dispatcher.HasReady(destination.Service, build) {
			r.build, r.service = build, r.table.Service(destination.Service)
			r.continues = attempt != "" && r.h.Origins.CountTakeUp(attempt) <= maxExemptTakeUps
			r.parseCost()
			return true
		}
	}
	r.refuse(http.StatusServiceUnavailable, "no endpoint of the build that began the stream", unknownOriginRetryAfter)
	return false
}

// takesUpStream reports whether the caller has the first events of the stream.
func (r *request) takesUpStream() bool {
	return r.route.Semantics == routing.Stream && r.route.Resumable && r.in.Header.Get(r.h.Dialect.LastEventID) != ""
}

// originBuild returns the build that began the stream whose first event an attempt brought.
func (r *request) originBuild(attempt string) (streamorigin.Build, bool) {
	var services []string
	for _, d := range r.route.Destinations {
		if d.Weight > 0 {
			services = append(services, d.Service)
		}
	}
	return r.h.Origins.Find(r.ctx, attempt, services)
}

// recordOrigin records the build of the first endpoint whose events are forwarded to the
// caller.
func (r *request) recordOrigin(a *attempt) {
	if r.build != streamorigin.AnyBuild || !r.route.Resumable {
		return
	}
	r.build = dispatch.BuildOf(a.assignment.Endpoint)
	r.h.Origins.Record(r.id, r.build)
}
