package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

// KeyClaimer ensures that at most one request with an idempotency key is
// dispatched in the fleet.
type KeyClaimer interface {
	// Claim blocks until the claim is decided. An error means that the request
	// does not hold the claim and will not obtain it later.
	Claim(ctx context.Context, team, service, operation, key, request string) (idemkey.Result, error)
	// Release releases the key of a request that definitely did not run. It does not block.
	Release(request string)
}

// Limits are the resource and time limits of one router.
type Limits struct {
	// MaxBody is the maximum size of a body in bytes. Default: 16 MiB.
	MaxBody int64
	// MaxHeldBody limits the total size of all bodies in memory, in bytes. Each
	// request adds 16 KiB to the size of its body. Default: 512 MiB.
	MaxHeldBody int64
	// TeamQueueCount limits the number of waiting requests of a team. Default: 256.
	TeamQueueCount int
	// TeamQueueBytes limits the total size of the bodies of a team's waiting
	// requests, in bytes; it includes the same 16 KiB per request. Default: 64 MiB.
	TeamQueueBytes int64
	// QueueTimeout limits the total time that a request waits in the queue, over
	// all its attempts. Default: 60 s.
	QueueTimeout time.Duration
	// ResponseTimeout limits one attempt, from its start to the end of the response. Default: 10 min.
	ResponseTimeout time.Duration
	// IdleTimeout limits the duration of each read of a response from the agent
	// and of each write of it to the caller. Default: 60 s.
	IdleTimeout time.Duration
	// BodyTimeout limits the time for receiving a body from a caller. Default: 30 s.
	BodyTimeout time.Duration
	// SyncInterval is the maximum time between syncs of waiting tickets with a
	// queue owner. Default: 500 ms.
	SyncInterval time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:         16 << 20,
		MaxHeldBody:     512 << 20,
		TeamQueueCount:  256,
		TeamQueueBytes:  64 << 20,
		QueueTimeout:    time.Minute,
		ResponseTimeout: 10 * time.Minute,
		IdleTimeout:     time.Minute,
		BodyTimeout:     30 * time.Second,
		SyncInterval:    500 * time.Millisecond,
	}
}

// Options are the dependencies and limits of a Server.
type Options struct {
	Clients *fleetrpc.ClientPool
	Store   *configstore.Store
	// Owner returns the fleet address of the queue owner of a service, or "" if none is known.
	Owner func(service string) string
	// OwnerChanged returns a channel that is closed when owners may have changed.
	OwnerChanged func() <-chan struct{}
	// Keys may be nil; non-idempotent requests with an idempotency key are then refused.
	Keys    KeyClaimer
	Audit   *audit.Trails
	Logger  *slog.Logger
	Metrics metrics.Registry
	Limits  Limits
	// Fatal is called with the value of an unexpected panic in a handler.
	// Default: crash the process.
	Fatal func(value any)
}
