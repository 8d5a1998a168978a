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

// KeyClaimer makes sure that at most one request with an idempotency key is
// dispatched in the whole fleet.
type KeyClaimer interface {
	// Claim returns when the claim is decided. An error means that this
	// request holds no claim and never will.
	Claim(ctx context.Context, team, service, operation, key, request string) (idemkey.Result, error)
	// Release frees the key of a request that certainly did not run. It does not block.
	Release(request string)
}

// Limits bounds what one router takes on.
type Limits struct {
	// MaxBody is the largest body in bytes. Default: 16 MiB.
	MaxBody int64
	// MaxHeldBody bounds all bodies in memory, in bytes. Every request counts
	// for 16 KiB beside its body. Default: 512 MiB.
	MaxHeldBody int64
	// TeamQueueCount bounds the waiting requests of a team. Default: 256.
	TeamQueueCount int
	// TeamQueueBytes bounds the bodies of a team's waiting requests, in bytes. Default: 64 MiB.
	TeamQueueBytes int64
	// QueueTimeout bounds the time that a request waits in all. Default: 60 s.
	QueueTimeout time.Duration
	// AnswerTimeout bounds one send, from its start to the end of the answer. Default: 10 min.
	AnswerTimeout time.Duration
	// IdleTimeout bounds the time between two reads of an answer that has
	// begun, and the time that a caller takes to accept a write. Default: 60 s.
	IdleTimeout time.Duration
	// BodyTimeout bounds the time that a caller takes to send its body. Default: 30 s.
	BodyTimeout time.Duration
	// SyncInterval is the longest time between syncs of waiting tickets. Default: 500 ms.
	SyncInterval time.Duration
}

// DefaultLimits returns the defaults.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:        16 << 20,
		MaxHeldBody:    512 << 20,
		TeamQueueCount: 256,
		TeamQueueBytes: 64 << 20,
		QueueTimeout:   time.Minute,
		AnswerTimeout:  10 * time.Minute,
		IdleTimeout:    time.Minute,
		BodyTimeout:    30 * time.Second,
		SyncInterval:   500 * time.Millisecond,
	}
}

// Options are the parts that a Server works with.
type Options struct {
	Caller *fleetrpc.Caller
	Store  *configstore.Store
	// Owner returns the fleet address of the queue owner of a service, or "" if none is known.
	Owner func(service string) string
	// OwnerChanged returns a channel that is closed when owners may have changed.
	OwnerChanged func() <-chan struct{}
	// Keys may be nil; then requests with an idempotency key are refused.
	Keys    KeyClaimer
	Audit   *audit.Trails
	Logger  *slog.Logger
	Metrics metrics.Registry
	Limits  Limits
	// Fatal is called with the value of a panic that is a broken invariant.
	// Default: stop the process.
	Fatal func(value any)
}
