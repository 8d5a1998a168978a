package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// drainAcceptTime is how long after the start of a drain new requests are
	// still served; load balancers take that long to stop sending connections.
	drainAcceptTime = 3 * time.Second
	// tokenInterval is the typical time between two generated tokens of a
	// stream on a busy engine.
	tokenInterval = 15 * time.Millisecond
	// drainRetryAfter is the delay after which a caller of a draining router
	// should retry. It is short because other routers can serve the request.
	drainRetryAfter = 50 * time.Millisecond
)

// ErrStopping is the cause with which the context of a request ends that the stopping router can't finish.
// It still answers the request.
var ErrStopping = errors.New("the router is stopping")

// stopped reports whether the request was ended because the router is stopping.
func (r *request) stopped() bool { return errors.Is(context.Cause(r.in.Context()), ErrStopping) }

type drainState struct {
	since atomic.Pointer[time.Time]
	// end is the time by which the process must have exited.
	end atomic.Pointer[time.Time]
}

func (d *drainState) started() bool { return d.since.Load() != nil }

// Drain starts the shutdown of this router: responses close their connections,
// and requests that are not expected to finish before end are refused.
func (h *Handler) Drain(now, end time.Time) {
	h.drain.end.Store(&end)
	h.drain.since.Store(&now)
}

// refuseIfDraining refuses a request that the draining router may not be able to
// finish, and reports whether it did.
func (r *request) refuseIfDraining() bool {
	since := r.h.drain.since.Load()
	if since == nil {
		return false
	}
	now := time.Now()
	remaining := r.h.drain.end.Load().Sub(now)
	if now.Sub(*since) < drainAcceptTime && r.expectedDuration() < remaining {
		return false
	}
	r.refuse(http.StatusServiceUnavailable, ErrStopping.Error(), drainRetryAfter)
	return true
}

// expectedDuration estimates how long the request takes to execute.
func (r *request) expectedDuration() time.Duration {
	if r.route.Semantics != routing.Stream {
		return r.route.LatencyTarget
	}
	return r.route.LatencyTarget + 2*time.Duration(r.cost.GeneratedTokens)*tokenInterval
}
