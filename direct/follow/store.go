package follow

import (
	"context"
	"errors"
	"time"

	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Topic names what the store holds for routers.
type Topic int

const (
	// Configuration holds the operators' newest configuration.
	Configuration Topic = iota
	// Endpoints holds one record per registered endpoint.
	Endpoints
	// Members holds the address of each router that started.
	Members
)

// String returns the topic's name for logs.
func (t Topic) String() string { return [...]string{"configuration", "endpoints", "members"}[t] }

// ErrForgotten means that the store no longer holds the records at an offset.
var ErrForgotten = errors.New("the store no longer holds these records")

// Store is the store as the router sees it: per topic a log of keyed records,
// of which the newest of each key is kept.
type Store interface {
	// List returns the newest record of each key, and an offset from which
	// Read misses nothing that the list may lack.
	List(ctx context.Context, topic Topic) (records []mirror.Record, next int64, err error)
	// Read returns the records at and after from, as soon as there is one or
	// wait is over.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (records []mirror.Record, next int64, err error)
	// Announce writes this router's address to Members.
	Announce(ctx context.Context, name, address string) error
}

// Decoder reads the records' values.
type Decoder interface {
	// Config returns nil without an error for a record that is no configuration.
	Config(r mirror.Record) (*routing.Config, error)
	Endpoint(r mirror.Record) (registry.Endpoint, error)
}

// Peers gives access to other routers' mirrors.
type Peers interface {
	// Records returns what a peer that knows more than next has from next on,
	// and the offset after it. Without such a peer it returns nothing and next.
	Records(ctx context.Context, topic Topic, next int64) ([]mirror.Record, int64, error)
	// Reader reports whether this router should read the store itself.
	ShouldReadStore() bool
}
