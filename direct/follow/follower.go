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
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// callMargin is added to the wait of a read to get the timeout of the call. It
	// is also the timeout of an announcement.
	callMargin = 1500 * time.Millisecond
	// listTimeout bounds one listing of a topic.
	listTimeout = 4 * time.Second
	// minReadInterval is the shortest interval between the starts of two reads of
	// a topic, so that records written close together cost one call.
	minReadInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call, before
	// jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// peerFetchInterval is the interval at which missing records are fetched from
	// peers and endpoints expire.
	peerFetchInterval = 200 * time.Millisecond
	// readerCheckInterval is the interval at which a router that does not read the
	// store, because its peers do, checks whether it must read it itself.
	readerCheckInterval = 100 * time.Millisecond
	// probeCheckInterval is the interval at which a router that got no answer checks whether to call
	// the store again.
	probeCheckInterval = 50 * time.Millisecond
	// minProbeInterval is the shortest interval between two probes of a router, also in a fleet so
	// small that its turns come more often.
	minProbeInterval = 700 * time.Millisecond
	// probeFollowUp is how long a router tries to read both topics after a probe for one was answered.
	probeFollowUp = time.Second
	// overdueDelay is the delay after which a call counts as overdue, in addition to the time that the
	// store may hold it. The store answers within some dozens of milliseconds.
	overdueDelay = 400 * time.Millisecond
	// awaitCheckInterval is the interval at which a router that waits for the end of an outage checks
	// for it, and maxAwaitJitter bounds the random delay that spreads the calls of a fleet after it.
	awaitCheckInterval = 100 * time.Millisecond
	maxAwaitJitter     = 300 * time.Millisecond
	// announceRetryDelay is the delay before a failed announcement is retried while the store answers.
	announceRetryDelay = 2 * time.Second
	// announceCheckInterval is the mean interval at which a router checks whether the
	// store was restored since it announced itself.
	announceCheckInterval = 5 * time.Second
)

// Follower applies records from the store and from peers to the routing,
// endpoint and evacuation tables. It is safe for use by several goroutines. Its mutex
// serializes the application of records and is taken before those of the tables.
type Follower struct {
	readWait   time.Duration
	store      Store
	decoder    Decoder
	peers      Peers
	routes     *routing.Store
	endpoints  *registry.Table
	log        *slog.Logger
	storeCalls metrics.Counter
	// timedOut counts the calls to the store that ended by their timeout, silentMs, by topic, the
	// milliseconds that the store didn't answer, up to the first answer after each outage.
	timedOut   metrics.Counter
	silentMs   [2]metrics.Counter
	badRecords metrics.Counter
	// OnChange is called after new records were applied.
	OnChange func()
	// OnStoreNews is called after records from the store were applied, and when this router begins or
	// stops reading it. Peers should learn both without delay.
	OnStoreNews func()
	// OnZoneReturned is called right before the evacuation of a zone ends. It must not call the
	// follower.
	OnZoneReturned func(zone string)

	mu      sync.Mutex
	limiter observability.LogLimiter
	mirrors [2]*mirror.Topic
	// evacuations changes only while mu is held.
	evacuations *evacuation.Table
	// unreachable is set, by topic, while the latest call to the store failed.
	unreachable [2]atomic.Bool
	// listed is set while a topic can be read from the mirror's next offset on,
	// without a new listing.
	listed [2]atomic.Bool
	// loaded is set once records of a topic were obtained from a listing or a peer.
	loaded [2]atomic.Bool
	// reading is set while the store responds to this router's reads of a topic.
	reading [2]atomic.Bool
	// answeredAt is, by topic, when the latest call to the store that succeeded began, in Unix
	// nanoseconds.
	answeredAt [2]atomic.Int64
	// probes are the calls of this router to a store that answers nobody.
	probes probes
	// announced is closed once the store has acknowledged the announcement.
	announced chan struct{}
}

// Options holds the settings and dependencies of a Follower.
type Options struct {
	// ReadWait is how long the store holds a read while there are no new records.
	// It also bounds the delay of a record for which the store fails to end
	// waiting reads, so it must be shorter than the bounds on applying a
	// configuration and on draining.
	ReadWait  time.Duration
	Store     Store
	Decoder   Decoder
	Peers     Peers
	Routes    *routing.Store
	Endpoints *registry.Table
	// Evacuations gets the evacuated zones. A nil table is replaced by a new one.
	Evacuations *evacuation.Table
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// New returns a follower, which Run starts.
func New(o Options) *Follower {
	if o.Evacuations == nil {
		o.Evacuations = evacuation.NewTable()
	}
	return &Follower{
		evacuations: o.Evacuations, OnZoneReturned: func(string) {},
		readWait: o.ReadWait, store: o.Store, decoder: o.Decoder, peers: o.Peers, routes: o.Routes, endpoints: o.Endpoints, log: o.Log,
		storeCalls: metrics.GetOrRegisterCounter("direct.store_calls", o.Metrics),
		timedOut:   metrics.GetOrRegisterCounter("direct.store_calls_timed_out", o.Metrics),
		silentMs: [2]metrics.Counter{
			Configuration: metrics.GetOrRegisterCounter("direct.store_silent_ms.configuration", o.Metrics),
			Endpoints:     metrics.GetOrRegisterCounter("direct.store_silent_ms.endpoints", o.Metrics),
		},
		badRecords: metrics.GetOrRegisterCounter("direct.bad_records", o.Metrics),
		OnChange:   func() {}, OnStoreNews: func() {},
		announced: make(chan struct{}),
		mirrors:   [2]*mirror.Topic{mirror.NewTopic(), mirror.NewTopic()},
	}
}

// Mirror returns the mirror of a topic.
func (f *Follower) Mirror(topic Topic) *mirror.Topic { return f.mirrors[topic] }

// Ready reports whether a configuration is in force and the endpoints are known.
func (f *Follower) Ready() bool { return f.routes.Current() != nil && f.loaded[Endpoints].Load() }

// ReadsStore reports whether this router currently reads both topics from the
// store itself.
func (f *Follower) ReadsStore() bool {
	return f.reading[Configuration].Load() && f.reading[Endpoints].Load()
}

// AnsweredAt returns when the latest read of the endpoints that succeeded began. The entries written
// before are known here.
func (f *Follower) AnsweredAt() time.Time { return time.Unix(0, f.answeredAt[Endpoints].Load()) }

// ReadTimeout returns the time after which a read of the store fails.
func (f *Follower) ReadTimeout() time.Duration { return f.readWait + callMargin }

// Run follows the store and the peers until ctx is done and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followTopic(ctx, Configuration) })
	group.Go(func() error { return f.followTopic(ctx, Endpoints) })
	group.Go(func() error { return f.followPeers(ctx, Configuration) })
	group.Go(func() error { return f.followPeers(ctx, Endpoints) })
	group.Go(func() error { return f.expireEndpoints(ctx) })
	return group.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
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

// call makes one call to the store that fails after timeout.
func (f *Follower) call(ctx context.Context, topic Topic, timeout time.Duration, call func(context.Context) error) error {
	f.storeCalls.Inc(1)
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := call(limited)
	if err != nil && errors.Is(limited.Err(), context.DeadlineExceeded) {
		f.timedOut.Inc(1)
		f.log.Warn("a call to the store ended by its timeout", "topic", topic.String(), "began", began,
			"after_ms", time.Since(began).Milliseconds(), "error", err.Error())
	}
	return err
}

func (f *Follower) read(ctx context.Context, topic Topic, known mirror.Position, wait time.Duration) (batch mirror.Batch, err error) {
	err = f.call(ctx, topic, f.ReadTimeout(), func(ctx context.Context) (err error) {
		batch, err = f.store.Read(ctx, topic, known.Next, wait)
		return err
	})
	return batch, err
}

// applyFromStore applies the batch that a call to the store returned.
func (f *Follower) applyFromStore(topic Topic, r callResult) error {
	if r.isRead && r.batch.End.Era > r.known.Era {
		// The offset from which was read is of another era, so records may be missing,
		// even if a peer's records have moved the mirror to this era meanwhile.
		return mirror.ErrLaterEra
	}
	if !r.isRead {
		known := f.mirrors[topic].Position()
		f.log.Info("topic listed", "topic", topic.String(), "era", r.batch.End.Era, "end", r.batch.End.Next, "records", len(r.batch.Records),
			"known_era", known.Era, "known_end", known.Next)
	}
	if err := f.Apply(topic, r.batch); err != nil {
		return err
	}
	if !r.isRead {
		f.listed[topic].Store(true)
		f.loaded[topic].Store(true)
	}
	if len(r.batch.Records) > 0 {
		f.OnStoreNews()
	}
	return nil
}

// Apply applies a batch from the store. Records older than those in the mirror are ignored. It returns the error of mirror.Topic.Apply.
func (f *Follower) Apply(topic Topic, batch mirror.Batch) error { return f.apply(topic, batch, false) }

// apply implements Apply. fromPeer is set if a peer sent the batch.
func (f *Follower) apply(topic Topic, batch mirror.Batch, fromPeer bool) error {
	f.mu.Lock()
	var tables map[uint64]*routing.Table
	if topic == Configuration {
		batch.Records, tables = f.compileConfigs(batch.Records)
		f.keepValidEvacuations(batch.Records)
	}
	known := f.mirrors[topic].Position()
	change, err := f.mirrors[topic].Apply(batch)
	if change.Restored {
		f.log.Warn("the store was restored from an older copy", "topic", topic.String(), "era", batch.End.Era, "end", batch.End.Next,
			"known_era", known.Era, "known_end", known.Next)
		if topic == Endpoints {
			f.endpoints.StoreRestored(time.Now())
		}
	}
	if topic == Configuration {
		// The router is ready once a configuration is in force, so the evacuations come first.
		f.applyEvacuations(batch, change, fromPeer)
	}
	for _, r := range change.Applied {
		switch {
		case topic == Endpoints:
			f.applyEndpoint(r, change.Restored)
		case tables[r.Revision] != nil:
			f.applyConfig(r, tables[r.Revision])
		}
	}
	f.mu.Unlock()
	if ignored := len(batch.Records) - len(change.Applied); ignored > 0 && f.limiter.Allow(time.Now(), topic.String(), "older records") {
		f.log.Info("records not newer than the known ones ignored", "topic", topic.String(), "records", ignored,
			"era", batch.End.Era, "known_era", known.Era, "known_end", known.Next)
	}
	if len(change.Applied) > 0 {
		f.OnChange()
	}
	return err
}

// compileConfigs compiles the configurations among records. It returns the records with
// the versions as their revisions, so that an older configuration that a restored store
// returns doesn't replace a newer one, and the tables by version.
func (f *Follower) compileConfigs(records []mirror.Record) ([]mirror.Record, map[uint64]*routing.Table) {
	revised := make([]mirror.Record, len(records))
	tables := map[uint64]*routing.Table{}
	for i, r := range records {
		if table := f.compileConfig(r); table != nil {
			r.Revision = table.Version
			tables[table.Version] = table
		}
		revised[i] = r
	}
	return revised, tables
}

// compileConfig returns nil for a record that holds no valid configuration.
func (f *Follower) compileConfig(r mirror.Record) *routing.Table {
	if r.IsTombstone() {
		return nil
	}
	config, err := f.decoder.Config(r)
	if err != nil {
		f.ignoreRecord(r, err)
		return nil
	}
	if config == nil {
		return nil
	}
	table, err := routing.Compile(config)
	if err != nil {
		f.ignoreRecord(r, err)
		return nil
	}
	return table
}

func (f *Follower) applyConfig(r mirror.Record, table *routing.Table) {
	if f.routes.Advance(table) {
		f.log.Info("configuration in force", "version", table.Version, "offset", r.Offset, "routes", table.Routes())
	} else {
		f.log.Info("configuration not newer than the one in force", "version", table.Version, "offset", r.Offset)
	}
}

// applyEndpoint applies the entry of an endpoint. restored is set if the record is from an
// older copy of the store.
func (f *Follower) applyEndpoint(r mirror.Record, restored bool) {
	now := time.Now()
	if r.IsTombstone() {
		f.endpoints.Remove(r.Key, now)
		f.log.Info("endpoint entry removed", "endpoint", r.Key, "offset", r.Offset)
		return
	}
	endpoint, err := f.decoder.Endpoint(r)
	if err != nil {
		f.ignoreRecord(r, err)
		return
	}
	previous, ok := f.endpoints.Lookup(endpoint.ID)
	if !ok || previous.State != endpoint.State || !previous.Started.Equal(endpoint.Started) {
		f.log.Info("endpoint entry changed", "endpoint", endpoint.ID, "service", endpoint.Service,
			"version", endpoint.Version, "draining", endpoint.State == registry.Draining, "address", endpoint.Address, "offset", r.Offset)
	}
	if restored {
		f.endpoints.PutRestored(endpoint, now)
	} else {
		f.endpoints.Put(endpoint)
	}
}

func (f *Follower) ignoreRecord(r mirror.Record, err error) {
	f.badRecords.Inc(1)
	if f.limiter.Allow(time.Now(), r.Key, "bad record") {
		f.log.Warn("invalid record ignored", "key", r.Key, "offset", r.Offset, "error", err.Error())
	}
}

func (f *Follower) markStoreUnreachable(topic Topic, err error) {
	if topic == Endpoints {
		f.endpoints.StoreUnavailable(time.Now())
	}
	f.setReading(topic, false)
	if !f.unreachable[topic].Swap(true) {
		f.log.Warn("the store does not answer", "topic", topic.String(), "error", err.Error())
	}
}

// markStoreReachable records that a call which began at a time succeeded. A listing doesn't show that reads
// are answered: while no peer reads the store, the first read does, without a wait. Otherwise a lost read of
// the router that listed the topic would keep the fleet from calling for as long as the store may hold it.
func (f *Follower) markStoreReachable(topic Topic, began time.Time, wasRead bool) {
	if previous := f.answeredAt[topic].Swap(began.UnixNano()); previous > 0 && f.unreachable[topic].Load() {
		silent := time.Since(time.Unix(0, previous))
		f.silentMs[topic].Inc(silent.Milliseconds())
		f.log.Info("first answer of the store after an outage", "topic", topic.String(), "since_last_call_answered_ms", silent.Milliseconds(),
			"after_ms", time.Since(began).Milliseconds())
	}
	if wasRead || f.peers.HasStoreReader() {
		f.setReading(topic, true)
	}
	f.markOutageEnded(topic)
}

// setReading records whether this router reads a topic from the store.
func (f *Follower) setReading(topic Topic, reading bool) {
	if f.reading[topic].Swap(reading) != reading {
		f.log.Info("reading from the store changed", "topic", topic.String(), "reading", reading)
		f.OnStoreNews()
	}
}

// markOutageEnded records that the store answers this router or a peer that reads it.
func (f *Follower) markOutageEnded(topic Topic) {
	if topic == Endpoints {
		f.endpoints.StoreRecovered(time.Now())
	}
	if f.unreachable[topic].Swap(false) {
		f.log.Info("the store answers again", "topic", topic.String())
	}
}

// followPeers periodically fetches missing records of a topic from peers. A peer that doesn't respond
// delays only that topic.
func (f *Follower) followPeers(ctx context.Context, topic Topic) error {
	return everyInterval(ctx, func() { f.fetchFromPeers(ctx, topic) })
}

// expireEndpoints periodically removes the endpoints whose grace period has ended, and ends the
// evacuations that were kept for a time.
func (f *Follower) expireEndpoints(ctx context.Context) error {
	return everyInterval(ctx, func() {
		now := time.Now()
		f.endHeldEvacuations(now)
		if f.endpoints.Expire(now) {
			f.OnChange()
		}
	})
}

// everyInterval calls f at each peerFetchInterval until ctx is done, and returns its error.
func everyInterval(ctx context.Context, f func()) error {
	ticker := time.NewTicker(peerFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f()
		}
	}
}

// fetchFromPeers fetches and applies the records of a topic that a peer has and
// that this router has not received from the store yet.
func (f *Follower) fetchFromPeers(ctx context.Context, topic Topic) {
	began := time.Now()
	batch, found, err := f.peers.Records(ctx, topic, f.mirrors[topic].Position())
	if err != nil {
		if f.limiter.Allow(time.Now(), topic.String(), "peer") {
			f.log.Warn("fetch records from peer failed", "topic", topic.String(), "error", err.Error())
		}
		return
	}
	if !found {
		f.markChecked(topic, began)
		return
	}
	if len(batch.Records) > 0 {
		f.log.Info("records taken from a peer", "topic", topic.String(), "records", len(batch.Records), "era", batch.End.Era)
	}
	err = f.apply(topic, batch, true)
	if err != nil && !errors.Is(err, mirror.ErrEarlierEra) {
		f.log.Warn("apply records from peer failed", "topic", topic.String(), "error", err.Error())
		return
	}
	f.markChecked(topic, began)
	if len(batch.Records) > 0 {
		f.loaded[topic].Store(true)
	}
	if err == nil && batch.Complete {
		f.listed[topic].Store(true)
	}
}

// markChecked records that this router had the records of a topic, at a time, that its peers had.
func (f *Follower) markChecked(topic Topic, at time.Time) {
	if topic == Endpoints {
		f.endpoints.Checked(at)
	}
}

// readsOther reports whether this router reads the other topic from the store.
func (f *Follower) readsOther(topic Topic) bool { return f.reading[1-topic].Load() }

// StoreAnswers reports whether the store currently answers this router or a peer.
func (f *Follower) StoreAnswers() bool {
	return f.reading[Configuration].Load() || f.reading[Endpoints].Load() || f.peers.HasStoreReader()
}

// AwaitRetry waits until a call to the store that failed should be repeated: for delay while the
// store answers anybody, and otherwise until it does. Then a fleet makes no more calls to a store that is
// down than its probes, and repeats the others soon after the end of the outage. It returns early if ctx
// is done.
func (f *Follower) AwaitRetry(ctx context.Context, delay time.Duration) {
	if f.StoreAnswers() {
		sleep(ctx, delay)
		return
	}
	for ctx.Err() == nil && !f.StoreAnswers() {
		sleep(ctx, awaitCheckInterval)
	}
	sleep(ctx, rand.N(maxAwaitJitter))
}

// Era returns the latest era of the store that is known here. Records written in an
// earlier one may be lost.
func (f *Follower) Era() int64 {
	return max(f.mirrors[Configuration].Position().Era, f.mirrors[Endpoints].Position().Era)
}

// Announce writes this router's address to the store, again in each era of the store,
// until ctx is done and returns its error. It retries until the store acknowledges it.
// It must be called once.
func (f *Follower) Announce(ctx context.Context, name, address string) error {
	announced := f.announceOnce(ctx, name, address)
	close(f.announced)
	for ctx.Err() == nil {
		// All routers start at the same time. The random interval spreads their calls.
		sleep(ctx, announceCheckInterval/2+rand.N(announceCheckInterval))
		if era := f.Era(); era > announced && ctx.Err() == nil {
			f.log.Info("the announcement of this router may be lost; announcing it again", "era", era, "announced_era", announced)
			announced = f.announceOnce(ctx, name, address)
		}
	}
	return ctx.Err()
}

// AwaitAnnounced waits until the store has acknowledged the announcement of this router.
func (f *Follower) AwaitAnnounced(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.announced:
		return nil
	}
}

// announceOnce returns the era to which the acknowledged record belongs.
func (f *Follower) announceOnce(ctx context.Context, name, address string) (era int64) {
	for ctx.Err() == nil {
		era, err := f.write(ctx, Members, name, []byte(address))
		if err == nil {
			return era
		}
		if f.limiter.Allow(time.Now(), "announce", "store") {
			f.log.Warn("announce router failed; retrying", "error", err.Error())
		}
		f.AwaitRetry(ctx, announceRetryDelay)
	}
	return 0
}

// crashesKey is the key of the only record of Crashes.
const crashesKey = "crashes"

// SaveCrashes writes what is known about requests that crash engines to the store, in place of what
// LoadCrashes returned with a position. It fails if another router has written since.
func (f *Follower) SaveCrashes(ctx context.Context, value []byte, end mirror.Position) error {
	return f.writeAt(ctx, Crashes, crashesKey, value, end)
}

// write appends a record and removals to a topic and returns the era to which they belong.
func (f *Follower) write(ctx context.Context, topic Topic, key string, value []byte, removals ...string) (era int64, err error) {
	err = f.call(ctx, topic, callMargin, func(ctx context.Context) (err error) {
		era, err = f.store.Write(ctx, topic, key, value, removals...)
		return err
	})
	return era, err
}

// listRecords lists a topic.
func (f *Follower) listRecords(ctx context.Context, topic Topic) (batch mirror.Batch, err error) {
	err = f.call(ctx, topic, listTimeout, func(ctx context.Context) (err error) {
		batch, err = f.store.List(ctx, topic)
		return err
	})
	return batch, err
}

// LoadCrashes returns what SaveCrashes wrote last, or nil, and the position up to which it read.
func (f *Follower) LoadCrashes(ctx context.Context) ([]byte, mirror.Position, error) {
	batch, err := f.listRecords(ctx, Crashes)
	if err != nil {
		return nil, mirror.Position{}, err
	}
	for _, r := range batch.Records {
		if r.Key == crashesKey && !r.IsTombstone() {
			return r.Value, batch.End, nil
		}
	}
	return nil, batch.End, nil
}

// SaveStreams implements origins.Store.
func (f *Follower) SaveStreams(ctx context.Context, key string, value []byte, removals []string) error {
	_, err := f.write(ctx, Streams, key, value, removals...)
	return err
}

// SaveStreamsAt implements origins.Store.
func (f *Follower) SaveStreamsAt(ctx context.Context, key string, value []byte, end mirror.Position) error {
	return f.writeAt(ctx, Streams, key, value, end)
}

// writeAt appends a record to a topic if that ends at a position.
func (f *Follower) writeAt(ctx context.Context, topic Topic, key string, value []byte, end mirror.Position) error {
	var era int64
	err := f.call(ctx, topic, callMargin, func(ctx context.Context) (err error) {
		era, err = f.store.WriteAt(ctx, topic, key, value, end.Next)
		return err
	})
	if err == nil && era != end.Era {
		return eris.Errorf("the store was restored: era %d after %d", era, end.Era)
	}
	return err
}

// LoadStreams implements origins.Store. It lists the topic if the store doesn't hold the
// records after the position any more.
func (f *Follower) LoadStreams(ctx context.Context, after mirror.Position) (mirror.Batch, error) {
	if after != (mirror.Position{}) {
		f.storeCalls.Inc(1)
		batch, err := f.store.Read(ctx, Streams, after.Next, 0)
		if err == nil && batch.End.Era == after.Era || err != nil && !errors.Is(err, ErrCompacted) {
			return batch, err
		}
	}
	f.storeCalls.Inc(1)
	return f.store.List(ctx, Streams)
}

// ListMembers returns the addresses that routers announced in the store.
func (f *Follower) ListMembers(ctx context.Context) ([]string, error) {
	batch, err := f.listRecords(ctx, Members)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(batch.Records))
	for _, r := range batch.Records {
		if !r.IsTombstone() {
			addresses = append(addresses, string(r.Value))
		}
	}
	return addresses, nil
}
