package agent

import (
	"context"
	"errors"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// ErrDrainTimeout is returned by Run if requests in progress were cancelled at the
// end of the drain timeout.
var ErrDrainTimeout = errors.New("drain timed out; requests in progress were ended")

// drain waits until the requests in progress have ended and reports to the queue
// owner. The slot table refuses requests that wait for a slot. The listener stays
// open for at least one lease, unless the drain timeout is shorter, because the
// grants of all tokens known to the owner have expired by then. Requests that
// arrive meanwhile get the outcome not-run instead of a closed connection.
func (a *Agent) drain(ctx context.Context) error {
	start := time.Now()
	a.setStop(slots.StopShutdown, true, "shutdown")
	timeout := time.NewTimer(a.settings.DrainTimeout)
	defer timeout.Stop()
	for {
		inProgress, changed := a.slots.inProgress()
		if inProgress == 0 {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		case <-timeout.C:
			return a.cancelInProgress(ctx, inProgress)
		}
	}
	sleep(ctx, min(time.Until(start.Add(slots.Lease)), a.settings.DrainTimeout))
	a.reporter.flush(ctx)
	a.log.Info("drained")
	return nil
}

func (a *Agent) cancelInProgress(ctx context.Context, inProgress int) error {
	a.log.Error("drain timed out; requests in progress were ended", "requests", inProgress)
	a.cancelRequests()
	a.reporter.flush(ctx)
	return ErrDrainTimeout
}
