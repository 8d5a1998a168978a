package entry

import (
	"context"
	"time"

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
	go cancelOnStall(ctx, cancel, assignment)
	return r.send(ctx, func() { cancel(nil) }, assignment, extra)
}

// cancelOnStall cancels an attempt whose endpoint remains stalled for stallTimeout.
func cancelOnStall(ctx context.Context, cancel context.CancelCauseFunc, assignment *dispatch.Assignment) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			switch {
			case !assignment.Stalled(now):
				since = time.Time{}
			case since.IsZero():
				since = now
			case now.Sub(since) >= stallTimeout:
				cancel(errStalled)
				return
			}
		}
	}
}
