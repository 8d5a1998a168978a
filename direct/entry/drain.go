package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// drainEntry is how long after the start of a stop new requests are still
	// served; balancers take that long to send their connections elsewhere.
	drainEntry = 3 * time.Second
	// tokenTime is the typical time between two generated tokens of a stream
	// on a busy engine.
	tokenTime = 15 * time.Millisecond
	// elsewherePause is the pause before a caller of a stopping router returns;
	// it finds another router at once.
	elsewherePause = 50 * time.Millisecond
)

type drainState struct {
	since atomic.Pointer[time.Time]
	// end is the time at which the process must be gone.
	end atomic.Pointer[time.Time]
}

func (d *drainState) started() bool { return d.since.Load() != nil }

// Drain starts the stop of this router: answers close their connections, and
// requests that can't end before end are refused.
func (h *Handler) Drain(now, end time.Time) {
	h.drain.end.Store(&end)
	h.drain.since.Store(&now)
}

// refusedByDrain refuses work that the stopping router could not finish.
func (r *request) refusedByDrain() bool {
	since := r.h.drain.since.Load()
	if since == nil {
		return false
	}
	now := time.Now()
	left := r.h.drain.end.Load().Sub(now)
	if now.Sub(*since) < drainEntry && r.expectedTime() < left {
		return false
	}
	r.refuse(http.StatusServiceUnavailable, "the router is stopping", elsewherePause)
	return true
}

// expectedTime estimates how long the request takes.
func (r *request) expectedTime() time.Duration {
	if r.route.Semantics != routing.Stream {
		return r.route.LatencyTarget
	}
	return r.route.LatencyTarget + 2*time.Duration(r.cost.Generated)*tokenTime
}
