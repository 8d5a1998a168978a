package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// stallTimeout is how long an endpoint must remain stalled before its repeatable
// streams are moved to another endpoint. It is in addition to the silence after
// which an endpoint counts as stalled and gets no new requests.
const stallTimeout = 400 * time.Millisecond

// connectTimeout bounds connecting to the endpoint to which a stream is to be moved.
const connectTimeout = time.Second

// sendWithStallDetection sends a streamed request. If the request may be retried at
// another endpoint, the attempt is cancelled once the endpoint has stopped sending
// data to this router and another one is ready to take the stream.
func (r *request) sendWithStallDetection(assignment *dispatch.Assignment, s *streamState) *attempt {
	extra := r.resumeHeader(s)
	if !r.route.Repeatable() || r.possibleExecutions+1 >= r.route.Attempts {
		ctx, cancel := context.WithCancel(r.ctx)
		return r.send(ctx, cancel, assignment, extra)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	next := *r.dispatchRequest(time.Now())
	next.Exclude = append(slices.Clone(r.exclude), assignment.Endpoint.ID)
	next.Repeated = true
	w := &stallWatch{r: r, assignment: assignment, handler: r.h, next: next, isEngine: r.service.Engine != nil}
	go w.run(ctx, cancel)
	r.stall = w
	a := r.send(ctx, func() { cancel(nil) }, assignment, extra)
	a.stall = w
	return a
}

// silenceCause returns unread if response bytes wait in the socket, so that this process was late
// and its endpoint not silent, and otherwise silent.
func (r *request) silenceCause(silent, unread error) error {
	if hasUnread := r.unread.Load(); hasUnread != nil && (*hasUnread)() {
		return unread
	}
	return silent
}

// stallWatch moves a stream whose endpoint remains stalled for stallTimeout: it cancels the
// attempt. It does so only once another endpoint has a place for the stream and a connection,
// and the retry budget allows a retry, which it takes: otherwise the stream would end, and a
// silent endpoint may still finish it.
type stallWatch struct {
	assignment *dispatch.Assignment
	handler    *Handler
	// next is the request to place at the other endpoint.
	next     dispatch.Request
	isEngine bool
	r        *request

	mu sync.Mutex
	// replacement is the place at the other endpoint, once the attempt was cancelled.
	replacement *dispatch.Assignment
	tookRetry   bool
	ended       bool
}

// hasTakenRetry reports whether the attempt was cancelled and its retry already counted.
func (w *stallWatch) hasTakenRetry() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tookRetry
}

// end ends the watch and returns the place at the other endpoint, if there is one.
func (w *stallWatch) end() *dispatch.Assignment {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	replacement := w.replacement
	w.replacement, w.ended = nil, true
	return replacement
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
			case now.Sub(since) >= stallTimeout && w.move(ctx, now, cancel):
				return
			}
		}
	}
}

// move cancels the attempt if another endpoint is ready to take the stream and the endpoint is
// still stalled then. It reports whether it did.
func (w *stallWatch) move(ctx context.Context, now time.Time, cancel context.CancelCauseFunc) bool {
	replacement := w.place(now)
	if replacement == nil {
		return false
	}
	result := endpointload.NotSent
	dialCtx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	target := endpointhttp.Target{Instance: replacement.Endpoint.ID, Address: replacement.Endpoint.Address}
	if err := w.handler.Pool.Connect(dialCtx, target); err != nil {
		if ctx.Err() == nil {
			result = endpointload.ConnectFailed
			w.handler.Log.Info("stream stays at a stalled endpoint: connecting to another one failed", "endpoint", w.assignment.Endpoint.ID,
				"other", replacement.Endpoint.ID, "error", err.Error())
		}
	} else if w.replace(replacement, cancel) {
		return true
	}
	replacement.End(time.Now(), result)
	return false
}

// place places the stream at another endpoint, or returns nil.
func (w *stallWatch) place(now time.Time) *dispatch.Assignment {
	next := w.next
	if w.assignment.Begun() {
		next.Build, next.Continued = dispatch.BuildOf(w.assignment.Endpoint), true
	}
	d := w.handler.Dispatcher
	// The check is cheaper than a placement that is refused.
	if !d.HasUsable(now, next.Service, next.Exclude, next.Build) || d.Quarantine(now, next.Cost, next.Fingerprint) != nil {
		return nil
	}
	if w.isEngine {
		a, _ := d.PlaceEngine(now, &next)
		return a
	}
	a, _ := d.PlacePlain(now, &next)
	return a
}

// replace cancels the attempt, whose stream goes on at replacement. It returns false, and does
// nothing, if the attempt has ended, its endpoint sends again, or the retry budget is used up.
func (w *stallWatch) replace(replacement *dispatch.Assignment, cancel context.CancelCauseFunc) bool {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || !w.assignment.Stalled(now) || !w.handler.Dispatcher.TakeRetry(now, w.next.Service) {
		return false
	}
	w.replacement, w.tookRetry = replacement, true
	cancel(w.r.silenceCause(errStalled, errStalledUnread))
	return true
}
