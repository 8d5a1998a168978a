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
	// Configuration holds the operators' latest configuration and the evacuations of zones.
	Configuration Topic = iota
	// Endpoints holds one record per registered endpoint.
	Endpoints
	// Members holds the address of each router that announced itself.
	Members
	// Crashes holds what routers know about requests that crash engines.
	Crashes
	// Streams holds the builds that began recent streams.
	Streams
)

// String returns the topic's name for logs.
func (t Topic) String() string {
	return [...]string{"configuration", "endpoints", "members", "crashes", "streams"}[t]
}

// ErrCompacted is returned by Store.Read if the store doesn't hold the records at the
// offset.
var ErrCompacted = errors.New("the store doesn't hold the records at this offset")

// Store gives access to the store, which holds a log of keyed records for each
// topic. The newest record of each key is retained.
type Store interface {
	// List returns the newest record of each key, as a complete batch. Reading from its
	// end returns all records that the list may lack.
	List(ctx context.Context, topic Topic) (mirror.Batch, error)
	// Read returns the records at and after from in the store's present era. It returns
	// as soon as there is a record, or none after wait. Without a wait, it returns all records up
	// to the end. It returns ErrCompacted if the
	// store doesn't hold the records at from: they were compacted, or the store was
	// restored from a copy that ends before.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (mirror.Batch, error)
	// Write appends a record to Members, Crashes or Streams, and tombstones of the keys in removals, all
	// or none, and returns the era that they belong to. If the store is restored from a copy later, they may
	// be lost. If the call fails, the store may still execute it much later, after other writes to the key.
	Write(ctx context.Context, topic Topic, key string, value []byte, removals ...string) (era int64, err error)
	// WriteAt appends a record if the topic ends at the offset at, and otherwise returns an error.
	WriteAt(ctx context.Context, topic Topic, key string, value []byte, at int64) (era int64, err error)
}

// Decoder decodes the values of records.
type Decoder interface {
	// Config decodes a configuration. It returns nil and no error for a record
	// that is not a configuration.
	Config(r mirror.Record) (*routing.Config, error)
	// Endpoint decodes the entry of an endpoint.
	Endpoint(r mirror.Record) (registry.Endpoint, error)
	// Evacuation decodes a record of Configuration that evacuates an availability zone or, as a
	// tombstone, ends its evacuation. isEvacuation is false, without an error, for other records.
	Evacuation(r mirror.Record) (zone string, isEvacuation bool, err error)
}

// Peers gives access to other routers' mirrors.
type Peers interface {
	// Records returns the records that a peer has beyond the known position, or a newer
	// configuration than the one in force here. It reports whether any peer has.
	Records(ctx context.Context, topic Topic, known mirror.Position) (batch mirror.Batch, found bool, err error)
	// ShouldReadStore reports whether this router should read the store itself.
	ShouldReadStore() bool
	// ShouldProbeStore reports whether too few peers read the store and it is this router's turn to
	// try.
	ShouldProbeStore() bool
	// HasStoreReader reports whether a peer currently reads the store.
	HasStoreReader() bool
}
