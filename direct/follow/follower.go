package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// callMargin is added to the wait for the time limit of a call.
	callMargin = 1500 * time.Millisecond
	// listTimeout bounds one listing.
	listTimeout = 4 * time.Second
	// readInterval is the least time between two reads of a topic, so that
	// records that come together cost one call.
	readInterval = 50 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// peerInterval is the interval at which peers are asked for what they know
	// and this router doesn't.
	peerInterval = 200 * time.Millisecond
	// readerInterval is the interval at which a router that leaves the reading
	// to others looks whether it still may.
	readerInterval = 100 * time.Millisecond
	// announceInterval is the pause before a failed announcement is repeated.
	announceInterval = 2 * time.Second
)

// Follower is safe for use by several goroutines. Its mutex serializes the
// application of records and is taken before those of the tables.
type Follower struct {
	readWait  time.Duration
	store     Store
	decoder   Decoder
	peers     Peers
	routes    *routing.Store
	endpoints *registry.Table
	log       *slog.Logger
	calls     metrics.Counter
	bad       metrics.Counter
	// OnChange runs after records were applied.
	OnChange func()

	mu      sync.Mutex
	limiter observability.Limiter
	mirrors [2]*mirror.Topic
	// away counts the topics whose latest call to the store failed.
	away [2]atomic.Bool
	// listed is set while a topic can be read on from what the mirror knows.
	listed [2]atomic.Bool
	// known is set once a topic was taken as a whole, from the store or a peer.
	known [2]atomic.Bool
	// reading is set while the store answers this router's reads of a topic.
	reading [2]atomic.Bool
}

// Options are the collaborators of a Follower.
type Options struct {
	// ReadWait is how long the store holds a read without records. It also
	// bounds how late a record is read that the store failed to announce, so
	// it must be shorter than the bounds on configuration and draining.
	ReadWait  time.Duration
	Store     Store
	Decoder   Decoder
	Peers     Peers
	Routes    *routing.Store
	Endpoints *registry.Table
	Log       *slog.Logger
	Metrics   metrics.Registry
}

// New returns a follower; Run starts it.
func New(o Options) *Follower {
	return &Follower{
		readWait: o.ReadWait, store: o.Store, decoder: o.Decoder, peers: o.Peers, routes: o.Routes, endpoints: o.Endpoints, log: o.Log,
		calls:    metrics.GetOrRegisterCounter("direct.store_calls", o.Metrics),
		bad:      metrics.GetOrRegisterCounter("direct.bad_records", o.Metrics),
		OnChange: func() {},
		mirrors:  [2]*mirror.Topic{mirror.NewTopic(), mirror.NewTopic()},
	}
}

// Mirror returns the mirror of a topic.
func (f *Follower) Mirror(topic Topic) *mirror.Topic { return f.mirrors[topic] }

// Ready reports whether a configuration is in force and the endpoints are known.
func (f *Follower) Ready() bool { return f.routes.Current() != nil && f.known[Endpoints].Load() }

// ReadsStore reports whether this router itself follows the store now.
func (f *Follower) ReadsStore() bool {
	return f.reading[Configuration].Load() && f.reading[Endpoints].Load()
}

// Run follows the store and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followTopic(ctx, Configuration) })
	group.Go(func() error { return f.followTopic(ctx, Endpoints) })
	group.Go(func() error { return f.followPeers(ctx) })
	return group.Wait()
}

// followTopic lists a topic and then reads on from there, while this router
// is one that reads the store.
func (f *Follower) followTopic(ctx context.Context, topic Topic) error {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if f.listed[topic].Load() && !f.peers.ShouldReadStore() {
			f.reading[topic].Store(false)
			pause(ctx, readerInterval)
			continue
		}
		began := time.Now()
		var err error
		if f.listed[topic].Load() {
			err = f.read(ctx, topic)
		} else {
			err = f.list(ctx, topic)
		}
		switch {
		case err == nil:
			f.storeBack(topic)
			backoff = firstBackoff
			pause(ctx, readInterval-time.Since(began))
		case errors.Is(err, ErrForgotten):
			f.log.Info("the store dropped records; listing the topic again", "topic", topic.String())
			f.listed[topic].Store(false)
		default:
			f.storeLost(topic, err)
			pause(ctx, time.Duration((0.5+rand.Float64())*float64(backoff)))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) list(ctx context.Context, topic Topic) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.calls.Inc(1)
	records, next, err := f.store.List(call, topic)
	if err != nil {
		return err
	}
	removals := f.mirrors[topic].Missing(records, next)
	f.Apply(topic, append(records, removals...))
	f.mirrors[topic].Skip(next)
	f.listed[topic].Store(true)
	f.known[topic].Store(true)
	return nil
}

func (f *Follower) read(ctx context.Context, topic Topic) error {
	call, cancel := context.WithTimeout(ctx, f.readWait+callMargin)
	defer cancel()
	f.calls.Inc(1)
	wait := f.readWait
	if f.away[topic].Load() {
		// The end of an outage must be noticed at once, not with the next record.
		wait = 0
	}
	records, next, err := f.store.Read(call, topic, f.mirrors[topic].Next(), wait)
	if err != nil {
		return err
	}
	f.Apply(topic, records)
	f.mirrors[topic].Skip(next)
	return nil
}

// Apply takes records from the store or from a peer.
func (f *Follower) Apply(topic Topic, records []mirror.Record) {
	f.mu.Lock()
	fresh := f.mirrors[topic].Apply(records)
	for _, r := range fresh {
		if topic == Configuration {
			f.applyConfig(r)
		} else {
			f.applyEndpoint(r)
		}
	}
	f.mu.Unlock()
	if len(fresh) > 0 {
		f.OnChange()
	}
}

func (f *Follower) applyConfig(r mirror.Record) {
	if r.Removal() {
		return
	}
	config, err := f.decoder.Config(r)
	if err != nil {
		f.badRecord(r, err)
		return
	}
	if config == nil {
		return
	}
	table, err := routing.Compile(config)
	if err != nil {
		f.badRecord(r, err)
		return
	}
	if f.routes.Advance(table) {
		f.log.Info("configuration in force", "version", table.Version, "offset", r.Offset, "routes", len(config.Routes))
	}
}

func (f *Follower) applyEndpoint(r mirror.Record) {
	now := time.Now()
	if r.Removal() {
		f.endpoints.Remove(r.Key, now)
		f.log.Info("endpoint entry removed", "endpoint", r.Key, "offset", r.Offset)
		return
	}
	endpoint, err := f.decoder.Endpoint(r)
	if err != nil {
		f.badRecord(r, err)
		f.endpoints.Remove(r.Key, now)
		return
	}
	known, ok := f.endpoints.Lookup(endpoint.ID)
	if !ok || known.State != endpoint.State || !known.Started.Equal(endpoint.Started) {
		f.log.Info("endpoint entry changed", "endpoint", endpoint.ID, "service", endpoint.Service,
			"draining", endpoint.State == registry.Draining, "address", endpoint.Address, "offset", r.Offset)
	}
	f.endpoints.Put(endpoint)
}

func (f *Follower) badRecord(r mirror.Record, err error) {
	f.bad.Inc(1)
	if f.limiter.Allow(time.Now(), r.Key, "bad record") {
		f.log.Warn("record ignored", "key", r.Key, "offset", r.Offset, "error", err.Error())
	}
}

func (f *Follower) storeLost(topic Topic, err error) {
	if topic == Endpoints {
		f.endpoints.StoreLost()
	}
	f.reading[topic].Store(false)
	if !f.away[topic].Swap(true) {
		f.log.Warn("the store does not answer", "topic", topic.String(), "error", err.Error())
	}
}

func (f *Follower) storeBack(topic Topic) {
	if topic == Endpoints {
		f.endpoints.StoreBack(time.Now())
	}
	f.reading[topic].Store(true)
	if f.away[topic].Swap(false) {
		f.log.Info("the store answers again", "topic", topic.String())
	}
}

// followPeers takes from peers what they know and this router doesn't.
func (f *Follower) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		f.endpoints.Expire(time.Now())
		for _, topic := range []Topic{Configuration, Endpoints} {
			f.askPeers(ctx, topic)
		}
	}
}

// askPeers takes records that a peer has and that the store should have sent
// this router by now.
func (f *Follower) askPeers(ctx context.Context, topic Topic) {
	records, next, err := f.peers.Records(ctx, topic, f.mirrors[topic].Next())
	if err != nil {
		if f.limiter.Allow(time.Now(), topic.String(), "peer") {
			f.log.Warn("a peer did not send its records", "topic", topic.String(), "error", err.Error())
		}
		return
	}
	if len(records) > 0 {
		f.log.Info("records taken from a peer", "topic", topic.String(), "records", len(records))
		f.Apply(topic, records)
		f.known[topic].Store(true)
	}
	f.mirrors[topic].Skip(next)
}

// Announce writes this router's address to the store, until it is acknowledged.
func (f *Follower) Announce(ctx context.Context, name, address string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callMargin)
		f.calls.Inc(1)
		err := f.store.Announce(call, name, address)
		cancel()
		if err == nil {
			return
		}
		if f.limiter.Allow(time.Now(), "announce", "store") {
			f.log.Warn("this router is not announced yet", "error", err.Error())
		}
		pause(ctx, announceInterval)
	}
}

// ListMembers returns the announced addresses of all routers.
func (f *Follower) ListMembers(ctx context.Context) ([]string, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.calls.Inc(1)
	records, _, err := f.store.List(call, Members)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(records))
	for _, r := range records {
		if !r.Removal() {
			addresses = append(addresses, string(r.Value))
		}
	}
	return addresses, nil
}
