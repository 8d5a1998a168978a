package origins

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

const (
	// upkeepInterval is the interval at which the store's era and the implied builds are checked.
	upkeepInterval = 500 * time.Millisecond
	// refreshInterval is the shortest interval at which the store is read because a lease of the implied
	// builds ages, or an implied build is unknown or without endpoints.
	refreshInterval = 2 * time.Second
	// staleInterval is the shortest interval at which the store is read because a peer has read other implied
	// builds.
	staleInterval = 500 * time.Millisecond
	// removalInterval is the interval at which expired records of other routers are removed.
	removalInterval = 5 * time.Second
	// impliedKey is the key of the record with the implied builds.
	impliedKey = "implied-builds"
	// minRetention is the shortest time for which origins are kept.
	minRetention = 30 * time.Second
	// loadWait bounds how long a caller waits for a reading of saved origins, which may go on.
	loadWait = 400 * time.Millisecond
	// minLoadTimeout bounds one reading of saved origins. Until all were read once, it is doubled
	// after each reading that took too long, up to maxLoadTimeout: a host without CPU time needs
	// longer to read many.
	minLoadTimeout = 400 * time.Millisecond
	maxLoadTimeout = 1600 * time.Millisecond
	// secondLookDelay is the delay before an unknown origin is looked for again: a
	// router that still runs reports it within this time.
	secondLookDelay = 250 * time.Millisecond
)

var (
	errUnknownKey  = errors.New("the key is of no saved origins and no implied builds")
	errEarlierRead = errors.New("the reply is of an earlier era of the store")
)

// Store is the part of the store that holds the saved origins.
type Store interface {
	// SaveStreams writes a record under a key and removes the records under others, all or none. An
	// empty value removes the record. If it fails, the store may still do it much later.
	SaveStreams(ctx context.Context, key string, value []byte, removals []string) error
	// SaveStreamsAt writes a record if the topic ends at a position, and otherwise returns an
	// error.
	SaveStreamsAt(ctx context.Context, key string, value []byte, end mirror.Position) error
	// LoadStreams returns all records after a position, or all for the zero Position.
	LoadStreams(ctx context.Context, after mirror.Position) (mirror.Batch, error)
	// Era returns the latest era of the store that is known here.
	Era() int64
}

// Options holds the dependencies of Origins.
type Options struct {
	// Name is the name of this router, under which it saves origins, and Process that of this process in its
	// reports to peers.
	Name, Process string
	Store         Store
	// Saves reports whether this router currently keeps the implied builds, and saves the origins
	// of other routers again after a restoration of the store.
	Saves func() bool
	// StoreIsRead reports whether this router or a peer currently reads the store.
	StoreIsRead func() bool
	// Shares returns, for each route with resumable streams, the share of new streams that begin at each
	// build with registered endpoints in any state, or nil if the routes aren't known.
	Shares func() Shares
	// KnowsAllEndpoints reports whether no endpoint is missing there that is in service.
	KnowsAllEndpoints func() bool
	// Routers returns the number of routers in the fleet.
	Routers func() int
	// LongestStream returns the longest time that a stream may last; origins are kept at
	// least that long.
	LongestStream func() time.Duration
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	Log        *slog.Logger
	Metrics    metrics.Registry
}

// Origins is safe for concurrent use. Its mutex is never held during I/O or while another
// one is acquired.
type Origins struct {
	options Options
	loads   singleflight.Group
	unknown metrics.Counter
	saver   *saver

	mu    sync.Mutex
	table *streamorigin.Table
	// hasLoaded is set once what the store holds was loaded, loaded is the position after it.
	hasLoaded bool
	loaded    mirror.Position
	// loadTimeout bounds the next reading.
	loadTimeout time.Duration
	// era is the latest era of the store that is known here; it begins with the first load.
	era int64
	// saved holds the implied builds in the store, or nil if it has none.
	saved *streamorigin.ImpliedBuilds
	// lease is the lease of the implied builds, from the latest read or, before the first one, from the
	// peer that has read them last.
	lease  streamorigin.Lease
	policy streamorigin.ImpliedPolicy
	// processes are those of all routers that may hold a lease. ownLease is set while lease is from a read that
	// this process made while it was registered.
	processes *streamorigin.Processes
	ownLease  bool
	// readBuilds are the implied builds of the latest read, whether or not this process was registered.
	readBuilds streamorigin.ImpliedBuilds
	// acknowledged is the position up to which this process tells its peers to have read.
	acknowledged mirror.Position
	// isStale is set if a peer has read other implied builds later.
	isStale bool
	// saving is the number of unsaved origins that are being saved.
	saving int
	// longestStream is the longest time that a stream could last since this process started.
	longestStream time.Duration
	startedAt     time.Time
	// refreshedAt is the time of the latest read for the implied builds, removedAt that of the latest
	// removal of expired records, and registeredAt that of the latest registration of this process, of which
	// registrations is the number; endedAt is when registrations of other processes were last ended. Only the
	// upkeep uses them.
	refreshedAt, removedAt, registeredAt, endedAt time.Time
	registrations                                 int
}

// New returns Origins that know no stream. Run saves and loads them.
func New(o Options) *Origins {
	processes := streamorigin.NewProcesses()
	origins := &Origins{
		options: o, table: streamorigin.NewTable(), processes: processes, startedAt: time.Now(),
		loadTimeout: minLoadTimeout,
		policy:      streamorigin.ImpliedPolicy{FirstStart: o.FirstStart, Processes: processes},
		unknown:     metrics.GetOrRegisterCounter("direct.unknown_origins", o.Metrics),
	}
	origins.saver = newSaver(origins)
	return origins
}

// Begin records the build that began the stream whose first event this attempt of the caller brings.
// routes are all routes with resumable streams that match its path. It returns once the stream can't be
// taken for one of another build, whether or not this process goes on, or false if that could not be
// achieved in time; then nothing is recorded, and the caller must not get the event.
func (o *Origins) Begin(ctx context.Context, attempt string, routes []*routing.Route, build streamorigin.Build) bool {
	origin := streamorigin.Origin{Stream: streamorigin.StreamOf(attempt), Build: build}
	o.mu.Lock()
	// Otherwise, the store may hold another origin of the stream.
	isFirst := o.table.Revision(origin.Stream) == 0
	o.mu.Unlock()
	matching := routesOf(routes)
	if isFirst && (o.beginOmitted(origin, matching) || !o.canSave(time.Now()) && o.beginUnsaved(origin, matching)) {
		return true
	}
	if !o.saver.save(ctx, origin) {
		return isFirst && ctx.Err() == nil && o.beginUnsaved(origin, matching)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(time.Now(), origin)
	return true
}

// beginOmitted records an origin that needs not be saved.
func (o *Origins) beginOmitted(origin streamorigin.Origin, routes []streamorigin.Route) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.lease.MayOmit(now, routes, origin.Build, o.era) {
		return false
	}
	o.table.Record(now, origin)
	return true
}

// beginUnsaved records an origin that can't be saved at present, if nothing wrong will be concluded from
// that.
func (o *Origins) beginUnsaved(origin streamorigin.Origin, routes []streamorigin.Route) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.lease.Fallback(now, routes) != origin.Build {
		return false
	}
	o.recordUnsaved(now, origin)
	return true
}

// canSave reports whether origins can be saved at present.
func (o *Origins) canSave(now time.Time) bool {
	return o.saver.working(now) && o.options.StoreIsRead()
}

// recordUnsaved records an origin that isn't saved yet. It is saved as soon as possible.
func (o *Origins) recordUnsaved(now time.Time, origin streamorigin.Origin) {
	o.table.Record(now, origin)
	o.table.KeepUnsaved(streamorigin.SavedOrigin{Origin: origin, Revision: o.table.Revision(origin.Stream)})
}

// Restriction returns the only build at which new streams whose path these routes match should begin,
// because the origins of other builds can't be saved at present, or streamorigin.AnyBuild. It returns
// false if none can begin at present.
func (o *Origins) Restriction(routes []*routing.Route) (streamorigin.Build, bool) {
	now := time.Now()
	if o.canSave(now) {
		return streamorigin.AnyBuild, true
	}
	matching := routesOf(routes)
	// The store may be read here soon, as after a start, unless saves have failed.
	mayRecover := o.saver.working(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	build := o.lease.Fallback(now, matching)
	return build, build != streamorigin.AnyBuild || mayRecover
}

// Find returns the build that began the stream whose first event this attempt brought. routes are all
// routes with resumable streams that match its path. If this router doesn't know it, it reads the store,
// at most twice within about a second. An empty attempt is known only if all recent streams are of the
// implied build.
func (o *Origins) Find(ctx context.Context, attempt string, routes []*routing.Route) (streamorigin.Build, bool) {
	began := time.Now()
	stream, matching := streamorigin.StreamOf(attempt), routesOf(routes)
	if attempt != "" {
		o.mu.Lock()
		b, ok := o.table.LookupRecorded(stream)
		o.mu.Unlock()
		if ok {
			o.logFound(attempt, b, sourceRouter)
			return b, true
		}
	}
	for look := range 2 {
		if look > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(secondLookDelay):
			}
		}
		wait, cancel := context.WithTimeout(ctx, loadWait)
		fresh := o.loadSince(wait, began)
		cancel()
		if b, from, ok := o.lookup(stream, attempt != "", fresh, matching); ok {
			o.logFound(attempt, b, from)
			return b, true
		}
	}
	o.unknown.Inc(1)
	o.options.Log.Info("origin of a stream is unknown", "attempt", attempt)
	return streamorigin.AnyBuild, false
}

// source says how the origin of a stream is known.
type source string

const (
	sourceRouter  source = "a router"
	sourceStore   source = "the store"
	sourceImplied source = "the implied build"
)

func (o *Origins) logFound(attempt string, build streamorigin.Build, from source) {
	o.options.Log.Info("origin of a stream found", "attempt", attempt, "build", build, "source", string(from))
}

// lookup returns the build of a stream as far as it follows from what is known. fresh is set if
// all origins that were saved before the caller came back have been read.
func (o *Origins) lookup(stream streamorigin.Stream, named, fresh bool, routes []streamorigin.Route) (streamorigin.Build, source, bool) {
	retention := o.retention()
	o.mu.Lock()
	defer o.mu.Unlock()
	if named {
		if b, ok := o.table.Lookup(stream); ok {
			return b, sourceStore, true
		}
	}
	if !fresh || o.saved == nil {
		return streamorigin.AnyBuild, "", false
	}
	b, ok := o.saved.Conclude(routes, o.era)
	if !ok || !named && !o.table.OnlyOf(time.Now(), retention, b) {
		return streamorigin.AnyBuild, "", false
	}
	return b, sourceImplied, true
}

// CountTakeUp counts that a caller takes up the stream whose first event this attempt brought,
// and returns how often callers have at this router lately.
func (o *Origins) CountTakeUp(attempt string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.CountTakeUp(time.Now(), streamorigin.StreamOf(attempt))
}

// Len returns the number of known origins.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len()
}

// TakeNews returns up to limit origins that peers haven't been told.
func (o *Origins) TakeNews(limit int) []streamorigin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.TakeNews(limit)
}

// MergePeer adds the origins that a peer reports.
func (o *Origins) MergePeer(now time.Time, origins []streamorigin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.MergePeer(now, origins)
}

// Lease returns the lease of the implied builds that was read from the store. It isn't valid if there
// is none.
func (o *Origins) Lease() streamorigin.Lease {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ownLease {
		return streamorigin.Lease{}
	}
	return o.lease
}

// Acknowledged returns the position up to which this process has read: it acts on no earlier record of the
// implied builds, and all origins are saved that an earlier one allowed to omit.
func (o *Origins) Acknowledged() mirror.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledged
}

// MergeAcknowledged records the position that a process has acknowledged.
func (o *Origins) MergeAcknowledged(now time.Time, process string, position mirror.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.processes.Acknowledge(now, process, position.Era, position.Next)
}

// MergeLease adds the lease of a peer that has read the store. A router that starts while the store is away
// could begin no streams without it. A router that has a lease of its own learns from it that the implied
// builds have changed.
func (o *Origins) MergeLease(l streamorigin.Lease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !l.ReadAt.After(o.lease.ReadAt) {
		return
	}
	if !o.ownLease {
		o.lease = l
		return
	}
	for route, i := range l.Of {
		if o.lease.Of[route].Build != i.Build {
			o.isStale = true
		}
	}
}

// Run saves and expires origins until ctx is done and returns its error.
func (o *Origins) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.saver.run(ctx) })
	group.Go(func() error { return o.runUpkeep(ctx) })
	return group.Wait()
}

func (o *Origins) runUpkeep(ctx context.Context) error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			o.expire(now)
			if o.options.StoreIsRead() {
				since := time.Time{}
				if o.register(ctx, now) {
					since = now
				}
				o.loadFirst(ctx, since)
				o.endRegistrations(ctx, now)
			}
			o.noteEra(o.options.Store.Era())
			o.refreshImplied(ctx, now)
			o.saveImplied(ctx, now)
			o.removeExpired(ctx, now)
		}
	}
}

// noteEra assumes, in a later era of the store, that it lost what was saved.
func (o *Origins) noteEra(era int64) {
	saves := o.options.Saves()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.hasLoaded || era <= o.era {
		return
	}
	o.options.Log.Info("the saved origins of streams may be lost; saving them again", "era", era, "saved_era", o.era)
	o.era = era
	o.policy.Restored()
	o.table.KeepAllUnsaved(saves)
}

// loadFirst loads what the store holds if that has not succeeded yet, or not since a time.
func (o *Origins) loadFirst(ctx context.Context, since time.Time) {
	o.mu.Lock()
	hasLoaded := o.hasLoaded
	o.mu.Unlock()
	if !hasLoaded || !since.IsZero() {
		o.loadSince(ctx, since)
	}
}

func (o *Origins) retention() time.Duration { return max(minRetention, o.options.LongestStream()) }

func (o *Origins) expire(now time.Time) {
	retention := o.retention()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(now, retention)
	o.processes.Expire(now, retention)
}

// refreshImplied reads the store if the lease of the implied builds ages, or if another router may have
// saved an implied build that is needed here.
func (o *Origins) refreshImplied(ctx context.Context, now time.Time) {
	interval := refreshInterval
	o.mu.Lock()
	if o.isStale {
		interval = staleInterval
	}
	o.mu.Unlock()
	if now.Sub(o.refreshedAt) >= interval && o.needsRefresh(now) {
		o.refreshedAt = now
		o.loadSince(ctx, now)
	}
}

func (o *Origins) needsRefresh(now time.Time) bool {
	shares := o.options.Shares()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isStale || len(shares) > 0 && now.Sub(o.lease.ReadAt) >= streamorigin.LeaseRenewal {
		return true
	}
	for route, builds := range shares {
		if len(builds) > 0 && (o.saved == nil || o.saved.Era != o.era || builds[o.saved.Of[route].Build] == 0) {
			return true
		}
	}
	return false
}

// saveImplied saves the implied builds where the policy changes them.
func (o *Origins) saveImplied(ctx context.Context, now time.Time) {
	saves := o.options.Saves() && o.saver.working(now)
	if !saves || !o.options.KnowsAllEndpoints() {
		o.mu.Lock()
		o.policy.Disturbed()
		o.mu.Unlock()
	}
	if !saves {
		return
	}
	if _, _, changed := o.nextImplied(); !changed {
		return
	}
	// Another router may have saved them meanwhile.
	if !o.loadSince(ctx, time.Now()) {
		return
	}
	next, end, changed := o.nextImplied()
	if !changed {
		return
	}
	if err := o.options.Store.SaveStreamsAt(ctx, impliedKey, streamorigin.EncodeImplied(next), end); err != nil {
		o.options.Log.Warn("save implied builds failed; retrying", "error", err.Error())
		return
	}
	o.options.Log.Info("implied builds saved", "builds", next)
	o.loadSince(ctx, time.Now())
}

// removeExpired removes the expired records of routers that are gone.
func (o *Origins) removeExpired(ctx context.Context, now time.Time) {
	if now.Sub(o.removedAt) >= removalInterval && o.options.Saves() && o.canSave(now) {
		o.removedAt = now
		o.saver.removeExpired(ctx)
	}
}

// nextImplied returns the implied builds that should be saved, the position up to which the store was
// read, and whether they differ from the saved ones.
func (o *Origins) nextImplied() (streamorigin.ImpliedBuilds, mirror.Position, bool) {
	shares, longest := o.options.Shares(), o.options.LongestStream()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.hasLoaded || shares == nil {
		return streamorigin.ImpliedBuilds{}, mirror.Position{}, false
	}
	o.longestStream = max(o.longestStream, longest)
	o.processes.Acknowledge(time.Now(), o.options.Process, o.acknowledged.Era, o.acknowledged.Next)
	// The time is taken after the state: an unsettled build was written before it.
	next, changed := o.policy.Next(time.Now(), shares, o.saved, o.era, o.loaded.Next, o.longestStream)
	return next, o.loaded, changed
}

// loadSince reads the origins that were saved since the last read. It reports whether a read that
// began at or after a time succeeded. Concurrent calls share one read.
func (o *Origins) loadSince(ctx context.Context, since time.Time) bool {
	for {
		done := o.loads.DoChan("load", func() (any, error) {
			began := time.Now()
			return began, o.loadInTime(context.WithoutCancel(ctx))
		})
		select {
		case <-ctx.Done():
			return false
		case result := <-done:
			if result.Err != nil {
				o.options.Log.Warn("load origins of streams failed", "error", result.Err.Error())
				return false
			}
			if began, ok := result.Val.(time.Time); ok && !began.Before(since) {
				return true
			}
		}
	}
}

// loadInTime reads the origins that were saved since the last read, within the present timeout.
func (o *Origins) loadInTime(ctx context.Context) error {
	o.mu.Lock()
	timeout := o.loadTimeout
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := o.loadOnce(call)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.loadTimeout = minLoadTimeout
	case call.Err() != nil && !o.hasLoaded:
		o.loadTimeout = min(2*timeout, maxLoadTimeout)
	}
	return err
}

func (o *Origins) loadOnce(ctx context.Context) error {
	o.mu.Lock()
	after := o.loaded
	o.mu.Unlock()
	began := time.Now()
	batch, err := o.options.Store.LoadStreams(ctx, after)
	if err != nil {
		return err
	}
	o.noteEra(batch.End.Era)
	if batch.End.Era < o.options.Store.Era() {
		return errEarlierRead
	}
	now := time.Now()
	o.saver.noteRecords(now, batch)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.hasLoaded {
		o.era = batch.End.Era
	}
	if batch.Complete {
		o.saved = nil
	}
	o.loaded, o.hasLoaded = batch.End, true
	for _, r := range batch.Records {
		if r.IsTombstone() || strings.HasPrefix(r.Key, registrationKeyPrefix) {
			continue
		}
		if err := o.mergeRecord(now, r); err != nil {
			o.options.Log.Warn("invalid saved origins ignored", "key", r.Key, "error", err.Error())
		}
	}
	o.noteProcesses(now, batch)
	o.renewLease(began)
	o.acknowledge()
	return nil
}

// acknowledge tells the peers what this process has read, unless origins are still to be saved. The caller
// holds mu.
func (o *Origins) acknowledge() {
	if o.ownLease && o.saving == 0 && !o.table.HasUnsaved() {
		o.acknowledged = o.loaded
	}
}

// renewLease renews the lease after a read, if this process was registered then. Streams that began without a
// saved origin, of a build that isn't settled any more, need one now.
func (o *Origins) renewLease(began time.Time) {
	var builds streamorigin.ImpliedBuilds
	if o.saved != nil {
		builds = *o.saved
	}
	for _, b := range builds.Unsettled(o.readBuilds) {
		o.table.KeepOmitted(b)
	}
	o.readBuilds = builds
	wasOwn := o.ownLease
	o.ownLease = o.processes.IsRegistered(o.options.Process)
	switch {
	case o.ownLease:
		o.lease, o.isStale = streamorigin.Lease{ImpliedBuilds: builds, ReadAt: began}, false
	case wasOwn:
		o.lease = streamorigin.Lease{}
	}
	if o.table.HasUnsaved() {
		o.saver.wakeUp()
	}
}

func (o *Origins) mergeRecord(now time.Time, r mirror.Record) error {
	if r.Key == impliedKey {
		implied, err := streamorigin.DecodeImplied(r.Value)
		// What was implied before an invalid record isn't known to hold any more.
		o.saved, o.policy.FirstStart = nil, o.policy.FirstStart && err == nil
		if err == nil {
			o.saved = &implied
		}
		return err
	}
	if !strings.HasPrefix(r.Key, originsKeyPrefix) {
		return errUnknownKey
	}
	origins, err := streamorigin.Decode(r.Value)
	if err == nil {
		o.table.MergeSaved(now, origins)
	}
	return err
}
