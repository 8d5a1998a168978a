package agent

import (
	"context"
	"errors"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// ErrDrainTimeout says that work in progress was cancelled at the end of the
// drain timeout.
var ErrDrainTimeout = errors.New("work in progress was cancelled at the end of the drain timeout")

// drain finishes the accepted work and tells the queue owner. Requests that
// wait for a slot are refused by the table. The listener stays open for at
// least one lease, until every grant of a token that the owner had listed has
// lapsed, so that late requests get a certain refusal and not a cut connection.
func (a *Agent) drain(ctx context.Context) error {
	began := time.Now()
	a.setStop(slots.StopShutdown, true, "shutdown")
	limit := time.NewTimer(a.settings.DrainTimeout)
	defer limit.Stop()
	for {
		held, changed := a.pool.held()
		if held == 0 {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		case <-limit.C:
			return a.cancelRest(ctx, held)
		}
	}
	sleep(ctx, min(time.Until(began.Add(slots.Lease)), a.settings.DrainTimeout))
	a.reporter.flush(ctx)
	a.log.Info("drained")
	return nil
}

func (a *Agent) cancelRest(ctx context.Context, held int) error {
	a.log.Error("drain timeout; work in progress is cancelled", "requests", held)
	a.cancelWork()
	a.reporter.flush(ctx)
	return ErrDrainTimeout
}
