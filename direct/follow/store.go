package follow

import (
	"context"
	"errors"
	"time"

	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Topic is one of the store's topics for routers.
type Topic int

const (
	// Configuration holds the operators' latest configuration.
	Configuration Topic = iota
	// Endpoints holds one record per registered endpoint.
	Endpoints
	// Members holds the address of each router that announced itself.
	Members
	// Crashes holds what routers know about requests that crash engines.
	Crashes
)

// String returns the topic's name for logs.
func (t Topic) String() string {
	return [...]string{"configuration", "endpoints", "members", "crashes"}[t]
}

// ErrCompacted is returned by Store.Read if the store no longer holds the
// records at the offset.
var ErrCompacted = errors.New("the store no longer holds the records at this offset")

// Batch is a response of the store to a call that returns records.
type Batch struct {
	Records []mirror.Record
	// Next is the offset after the records.
	Next int64
	// Era counts how often the store was restored from an older copy. Offsets of
	// different eras can't be compared.
	Era int64
}

// Store gives access to the store, which holds a log of keyed records for each
// topic. The newest record of each key is retained.
type Store interface {
	// List returns the newest record of each key. Reading from the batch's next offset
	// returns all records that the list may lack.
	List(ctx context.Context, topic Topic) (Batch, error)
	// Read returns the records at and after from. It returns as soon as there is a
	// record, or none after wait. It returns ErrCompacted if the store doesn't hold
	// the records at from.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Write appends a record to Members or Crashes.
	Write(ctx context.Context, topic Topic, key string, value []byte) error
}

// Decoder decodes the values of records.
type Decoder interface {
	// Config decodes a configuration. It returns nil and no error for a record
	// that is not a configuration.
	Config(r mirror.Record) (*routing.Config, error)
	// Endpoint decodes the entry of an endpoint.
	Endpoint(r mirror.Record) (registry.Endpoint, error)
}

// Peers gives access to other routers' mirrors.
type Peers interface {
	// Records returns the records at and after next of a peer that has any, and
	// the offset after them. If no peer has any, it returns no records and next.
	Records(ctx context.Context, topic Topic, next int64) ([]mirror.Record, int64, error)
	// ShouldReadStore reports whether this router should read the store itself.
	ShouldReadStore() bool
}
