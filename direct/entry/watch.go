package entry

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/direct/dispatch"
)

// stalledLong is how long an endpoint must stay silent, beyond the silence
// that keeps new work away, before its resumable streams go on elsewhere.
const stalledLong = 400 * time.Millisecond

// sendWatched sends a streamed request. If the stream may go on elsewhere, its
// connection is closed once the endpoint is silent towards this router.
func (r *request) sendWatched(place *dispatch.Assignment, s *streamState) *attempt {
	extra := r.resumeHeader(s)
	if !r.route.Repeatable() || r.runs+1 >= r.route.Attempts {
		ctx, cancel := context.WithCancel(r.ctx)
		return r.send(ctx, cancel, place, extra)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	go watch(ctx, cancel, place)
	return r.send(ctx, func() { cancel(nil) }, place, extra)
}

// watch ends a send whose endpoint stays silent.
func watch(ctx context.Context, cancel context.CancelCauseFunc, place *dispatch.Assignment) {
	ticker := time.NewTicker(stallCheck)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			switch {
			case !place.Stalled(now):
				since = time.Time{}
			case since.IsZero():
				since = now
			case now.Sub(since) >= stalledLong:
				cancel(errStalled)
				return
			}
		}
	}
}
