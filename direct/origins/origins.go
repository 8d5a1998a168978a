package origins

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

const (
	// saveInterval is the interval at which new origins are saved. The origins of the
	// streams that began in the last interval are lost if all routers are killed.
	saveInterval = 60 * time.Millisecond
	// onlyBuildSaveInterval is the interval while services have a single build. Origins are
	// needed then only if a release begins just when all routers are killed.
	onlyBuildSaveInterval = 500 * time.Millisecond
	// onlyBuildInterval is the interval at which the builds of services are checked.
	onlyBuildInterval = 500 * time.Millisecond
	// saveRetryDelay is the delay after a failed save.
	saveRetryDelay = 500 * time.Millisecond
	// slots is the number of records that one router keeps in the store. Together they
	// hold the origins of the last 30 s.
	slots = 512
	// buildKeyPrefix begins the key of the record with the only build of a service, and
	// originsKeyPrefix those of the records with origins.
	buildKeyPrefix   = "build/"
	originsKeyPrefix = "origins/"
	// maxSavedOrigins bounds the origins in one record of 48 KiB.
	maxSavedOrigins = 4096
	// minRetention is the shortest time for which origins are kept in memory.
	minRetention = 30 * time.Second
	// loadTimeout bounds the reading of saved origins while a caller waits.
	loadTimeout = 400 * time.Millisecond
	// secondLookDelay is the delay before an unknown origin is looked for again: a
	// router that still runs reports and saves it within this time.
	secondLookDelay = 250 * time.Millisecond
)

// Store is the part of the store that holds the saved origins.
type Store interface {
	// SaveStreams writes a record under a key and returns the era that it belongs to.
	SaveStreams(ctx context.Context, key string, value []byte) (era int64, err error)
	// LoadStreams returns the records after a position, or all for the zero Position.
	LoadStreams(ctx context.Context, after mirror.Position) (mirror.Batch, error)
	// Era returns the latest era of the store that is known here.
	Era() int64
}

// Options holds the dependencies of Origins.
type Options struct {
	// Name is the name of this router, under which it saves origins.
	Name  string
	Store Store
	// Saves reports whether this router currently saves origins for the fleet.
	Saves func() bool
	// OnlyBuilds returns the build of each service whose registered endpoints are of a single
	// one.
	OnlyBuilds func() map[string]streamorigin.Build
	// LongestStream returns the longest time that a stream may last; origins are kept at
	// least that long.
	LongestStream func() time.Duration
	Log           *slog.Logger
	Metrics       metrics.Registry
}

// Origins is safe for concurrent use. Its mutex is never held during I/O or while another
// one is acquired.
type Origins struct {
	options Options
	loads   singleflight.Group
	unknown metrics.Counter

	mu    sync.Mutex
	table *streamorigin.Table
	// hasLoaded is set once what the store holds was loaded, loaded is the position after it.
	hasLoaded bool
	loaded    mirror.Position
	// savedBuilds holds the builds of services in the store.
	savedBuilds map[string]streamorigin.Build
	// confirmed holds the builds whose service has no other one, in the store and among its
	// endpoints.
	confirmed map[streamorigin.Build]bool
	// onlySince holds the services whose endpoints are of a single build, and since when. Only
	// Run's goroutine uses it.
	onlySince map[string]onlyBuild
}

type onlyBuild struct {
	build streamorigin.Build
	since time.Time
}

// New returns Origins that know no stream. Run saves and loads them.
func New(o Options) *Origins {
	return &Origins{
		options: o, table: streamorigin.NewTable(), savedBuilds: map[string]streamorigin.Build{}, onlySince: map[string]onlyBuild{},
		unknown: metrics.GetOrRegisterCounter("direct.unknown_origins", o.Metrics),
	}
}

// Record records the build that began the stream whose first event this attempt brings.
func (o *Origins) Record(attempt string, build streamorigin.Build) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(time.Now(), streamorigin.Origin{Stream: streamorigin.StreamOf(attempt), Build: build})
}

// Find returns the build that began the stream whose first event this attempt, of one of these
// services, brought. If this router doesn't know it, it looks in the store, twice within about
// 0.3 s. An empty attempt is known only if the services have a single build.
func (o *Origins) Find(ctx context.Context, attempt string, services []string) (streamorigin.Build, bool) {
	if b, ok := o.lookup(attempt, services); ok {
		return b, true
	}
	o.load(ctx)
	if b, ok := o.lookup(attempt, services); ok {
		return b, true
	}
	if attempt != "" {
		select {
		case <-ctx.Done():
		case <-time.After(secondLookDelay):
			o.load(ctx)
		}
	}
	b, ok := o.lookup(attempt, services)
	if !ok {
		o.unknown.Inc(1)
	}
	return b, ok
}

func (o *Origins) lookup(attempt string, services []string) (streamorigin.Build, bool) {
	o.mu.Lock()
	b, ok := o.table.Lookup(streamorigin.StreamOf(attempt))
	o.mu.Unlock()
	if ok && attempt != "" {
		return b, true
	}
	if len(services) != 1 {
		return streamorigin.AnyBuild, false
	}
	b, ok = o.options.OnlyBuilds()[services[0]]
	o.mu.Lock()
	defer o.mu.Unlock()
	return b, ok && b == o.savedBuilds[services[0]]
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

// Run saves and expires origins until ctx is done and returns its error.
func (o *Origins) Run(ctx context.Context) error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	var retryAt, checkedAt, savedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			o.forgetIfRestored(now)
			o.expire(now)
			checkBuilds := now.Sub(checkedAt) >= onlyBuildInterval
			if checkBuilds {
				checkedAt = now
				o.loadFirst(ctx)
				o.checkOnlyBuilds(now)
			}
			if now.Before(retryAt) || !o.options.Saves() {
				continue
			}
			var err error
			if o.isSaveDue(now.Sub(savedAt)) {
				savedAt = now
				err = o.save(ctx, now)
			}
			if err == nil && checkBuilds {
				err = o.saveOnlyBuilds(ctx, now)
			}
			if err != nil {
				o.options.Log.Warn("save origins of streams failed; retrying", "error", err.Error())
				retryAt = time.Now().Add(saveRetryDelay)
			}
		}
	}
}

// forgetIfRestored assumes, in a later era of the store, that it lost what was saved.
func (o *Origins) forgetIfRestored(now time.Time) {
	era := o.options.Store.Era()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.hasLoaded || era <= o.loaded.Era {
		return
	}
	o.options.Log.Info("the saved origins of streams may be lost; saving them again", "era", era, "saved_era", o.loaded.Era)
	clear(o.savedBuilds)
	o.loaded, o.hasLoaded = mirror.Position{}, false
	o.table.KeepAllUnsaved(now)
}

// loadFirst loads what the store holds if that has not succeeded yet.
func (o *Origins) loadFirst(ctx context.Context) {
	o.mu.Lock()
	hasLoaded := o.hasLoaded
	o.mu.Unlock()
	if !hasLoaded {
		o.load(ctx)
	}
}

// isBuildOutdated reports whether the only build of a service should be saved, as far as this
// router knows the store.
func (o *Origins) isBuildOutdated(service string, only onlyBuild, now time.Time) bool {
	retention := o.retention()
	o.mu.Lock()
	defer o.mu.Unlock()
	saved, ok := o.savedBuilds[service]
	return o.hasLoaded && saved != only.build && (!ok || now.Sub(only.since) >= retention)
}

func (o *Origins) retention() time.Duration { return max(minRetention, o.options.LongestStream()) }

func (o *Origins) expire(now time.Time) {
	retention := o.retention()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(now, retention)
}

// isSaveDue reports whether unsaved origins should be saved. sinceSave is the time since the last
// save.
func (o *Origins) isSaveDue(sinceSave time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return sinceSave >= onlyBuildSaveInterval || o.table.HasUnsaved(func(b streamorigin.Build) bool { return !o.confirmed[b] })
}

// checkOnlyBuilds updates the builds that are confirmed.
func (o *Origins) checkOnlyBuilds(now time.Time) {
	only := o.options.OnlyBuilds()
	for service := range o.onlySince {
		if o.onlySince[service].build != only[service] {
			delete(o.onlySince, service)
		}
	}
	confirmed := map[streamorigin.Build]bool{}
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, build := range only {
		if o.onlySince[service].build != build {
			o.onlySince[service] = onlyBuild{build, now}
		}
		if o.savedBuilds[service] == build {
			confirmed[build] = true
		}
	}
	o.confirmed = confirmed
}

// saveOnlyBuilds saves the builds of services that have had no other one for longer than any
// stream lasts, or for which none was saved yet.
func (o *Origins) saveOnlyBuilds(ctx context.Context, now time.Time) error {
	for service, only := range o.onlySince {
		if !o.isBuildOutdated(service, only, now) {
			continue
		}
		// Another router may have saved it meanwhile.
		o.load(ctx)
		if !o.isBuildOutdated(service, only, now) {
			continue
		}
		if _, err := o.options.Store.SaveStreams(ctx, buildKeyPrefix+service, streamorigin.EncodeBuild(only.build)); err != nil {
			return err
		}
		o.options.Log.Info("only build of a service saved", "service", service)
		o.mu.Lock()
		o.savedBuilds[service] = only.build
		o.mu.Unlock()
	}
	return nil
}

// save writes the unsaved origins, if any, as one record.
func (o *Origins) save(ctx context.Context, now time.Time) error {
	o.mu.Lock()
	origins := o.table.TakeUnsaved(maxSavedOrigins)
	o.mu.Unlock()
	if len(origins) == 0 {
		return nil
	}
	// The slot follows from the time of day, so that a restarted router doesn't overwrite
	// its latest records.
	slot := now.UnixMilli() / saveInterval.Milliseconds() % slots
	_, err := o.options.Store.SaveStreams(ctx, fmt.Sprintf("%s%s/%d", originsKeyPrefix, o.options.Name, slot), streamorigin.Encode(origins))
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.table.KeepUnsaved(now, origins)
	}
	return err
}

// load reads the origins that were saved since the last call. Concurrent calls share one
// read.
func (o *Origins) load(ctx context.Context) {
	done := o.loads.DoChan("load", func() (any, error) {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
		defer cancel()
		return nil, o.loadOnce(call)
	})
	select {
	case <-ctx.Done():
	case result := <-done:
		if result.Err != nil {
			o.options.Log.Warn("load origins of streams failed", "error", result.Err.Error())
		}
	}
}

func (o *Origins) loadOnce(ctx context.Context) error {
	o.mu.Lock()
	after := o.loaded
	o.mu.Unlock()
	batch, err := o.options.Store.LoadStreams(ctx, after)
	if err != nil {
		return err
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loaded, o.hasLoaded = batch.End, true
	for _, r := range batch.Records {
		if r.IsTombstone() {
			continue
		}
		if err := o.mergeRecord(now, r); err != nil {
			o.options.Log.Warn("invalid saved origins ignored", "key", r.Key, "error", err.Error())
		}
	}
	return nil
}

func (o *Origins) mergeRecord(now time.Time, r mirror.Record) error {
	if service, ok := strings.CutPrefix(r.Key, buildKeyPrefix); ok {
		build, err := streamorigin.DecodeBuild(r.Value)
		if err == nil {
			o.savedBuilds[service] = build
		}
		return err
	}
	origins, err := streamorigin.Decode(r.Value)
	if err == nil {
		o.table.MergeSaved(now, origins)
	}
	return err
}
