package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
)

// stallTimeout is how long an endpoint must remain stalled before its repeatable
// streams are moved to another endpoint. It is in addition to the silence after
// which an endpoint counts as stalled and gets no new requests.
const stallTimeout = 400 * time.Millisecond

// sendWithStallDetection sends a streamed request. If the request may be retried at
// another endpoint, the attempt is cancelled once the endpoint has stopped sending
// data to this router.
func (r *request) sendWithStallDetection(assignment *dispatch.Assignment, s *streamState) *attempt {
	extra := r.resumeHeader(s)
	if !r.route.Repeatable() || r.possibleExecutions+1 >= r.route.Attempts {
		ctx, cancel := context.WithCancel(r.ctx)
		return r.send(ctx, cancel, assignment, extra)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	w := &stallWatch{
		assignment: assignment, dispatcher: r.h.Dispatcher, service: r.service.Name, resumedBuild: r.build,
		exclude: append(slices.Clone(r.exclude), assignment.Endpoint.ID),
	}
	go w.run(ctx, cancel)
	a := r.send(ctx, func() { cancel(nil) }, assignment, extra)
	a.stall = w
	return a
}

// stallWatch cancels an attempt whose endpoint remains stalled for stallTimeout. It
// does so only if another endpoint is usable and the retry budget allows a retry, which
// it takes: without them, the stream would end, and a slow endpoint may still finish it.
type stallWatch struct {
	assignment *dispatch.Assignment
	dispatcher *dispatch.Dispatcher
	service    string
	exclude    []string
	// resumedBuild is the build that began the stream before this attempt, or
	// streamorigin.AnyBuild.
	resumedBuild streamorigin.Build
	retryTaken   atomic.Bool
}

// tookRetry reports whether the attempt was cancelled and its retry already counted.
func (w *stallWatch) tookRetry() bool { return w != nil && w.retryTaken.Load() }

// build returns the build that another endpoint must have to continue the stream.
func (w *stallWatch) build() streamorigin.Build {
	if w.assignment.Begun() {
		return dispatch.BuildOf(w.assignment.Endpoint)
	}
	return w.resumedBuild
}

// run checks the endpoint until ctx ends. A check that itself comes late starts the wait
// again, because a process without CPU time also reads late.
func (w *stallWatch) run(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	var since time.Time
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			late := now.Sub(last) > 2*stallCheckInterval
			last = now
			switch {
			case late || !w.assignment.Stalled(now):
				since = time.Time{}
			case since.IsZero():
				since = now
			case now.Sub(since) >= stallTimeout && w.dispatcher.HasUsable(now, w.service, w.exclude, w.build()) && w.dispatcher.TakeRetry(now, w.service):
				w.retryTaken.Store(true)
				cancel(errStalled)
				return
			}
		}
	}
}
