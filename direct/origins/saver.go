package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

const (
	// minSaveInterval is the shortest interval between two saves of a router. A caller waits for
	// its first event as long, and expects it within 120 ms.
	minSaveInterval = 40 * time.Millisecond
	// saveIntervalPerRouter lengthens the interval with the size of the fleet, so that all
	// routers together save at most 250 times a second. The store takes 400 writes.
	saveIntervalPerRouter = 4 * time.Millisecond
	// saveTimeout bounds one save.
	saveTimeout = 400 * time.Millisecond
	// saveMargin is how long a caller's first event waits for the save of its origin, in addition
	// to the interval between saves. It leaves time for a second attempt.
	saveMargin = 600 * time.Millisecond
	// slowSave is the duration of a save from which on saves count as failing.
	slowSave = 250 * time.Millisecond
	// lateSaveMemory is how long saves count as failing after a first event waited in vain.
	lateSaveMemory = time.Second
	// saveRetryDelay is the delay after a failed save while callers wait for it, probeInterval the
	// delay while none does.
	saveRetryDelay = 100 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	// maxSavedOrigins bounds the origins in one record of 52 KiB.
	maxSavedOrigins = 4096
)

// saver saves the origins of this router's streams, several at a time. Its mutex is never held
// during I/O or while another one is acquired.
type saver struct {
	origins *Origins
	wake    chan struct{}
	saves   metrics.Counter
	failed  metrics.Counter
	// waitedMs counts the time that first events waited, in milliseconds.
	waitedMs metrics.Counter

	mu      sync.Mutex
	pending []*pendingSave
	// failing is set after a failed save until one succeeds.
	failing bool
	// began is the beginning of the save in progress; zero if there is none.
	began time.Time
	// lateAt is when a first event last waited in vain.
	lateAt time.Time
	// records are those that the store holds.
	records records
}

type pendingSave struct {
	origin streamorigin.SavedOrigin
	done   chan struct{}
}

func newSaver(o *Origins) *saver {
	return &saver{
		origins: o, wake: make(chan struct{}, 1), records: newRecords(o.options.Name, o.options.Process),
		saves:    metrics.GetOrRegisterCounter("direct.origin_saves", o.options.Metrics),
		failed:   metrics.GetOrRegisterCounter("direct.origin_saves_failed", o.options.Metrics),
		waitedMs: metrics.GetOrRegisterCounter("direct.origin_wait_ms", o.options.Metrics),
	}
}

// working reports whether saves succeed at present.
func (s *saver) working(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failing && (s.began.IsZero() || now.Sub(s.began) < slowSave) && now.Sub(s.lateAt) >= lateSaveMemory
}

// save waits until an origin is saved, and returns false if it isn't in time.
func (s *saver) save(ctx context.Context, origin streamorigin.Origin) bool {
	began := time.Now()
	o := s.origins
	o.mu.Lock()
	p := &pendingSave{
		origin: streamorigin.SavedOrigin{Origin: origin, Revision: o.table.Revision(origin.Stream)},
		done:   make(chan struct{}),
	}
	o.mu.Unlock()
	s.mu.Lock()
	s.pending = append(s.pending, p)
	s.mu.Unlock()
	s.wakeUp()
	timer := time.NewTimer(s.interval() + saveMargin)
	defer timer.Stop()
	select {
	case <-p.done:
		s.waitedMs.Inc(time.Since(began).Milliseconds())
		return true
	case <-ctx.Done():
	case <-timer.C:
		s.mu.Lock()
		s.lateAt = time.Now()
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.pending = slices.DeleteFunc(s.pending, func(q *pendingSave) bool { return q == p })
	s.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.GiveUpSave(time.Now(), origin.Stream)
	return false
}

// wakeUp makes run save soon.
func (s *saver) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run saves origins until ctx is done and returns its error.
func (s *saver) run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		isProbe := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-ticker.C:
			isProbe = s.origins.options.StoreIsRead()
		}
		for s.saveOnce(ctx, isProbe) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(s.interval()):
			}
		}
	}
}

// interval returns the delay before the next save.
func (s *saver) interval() time.Duration {
	interval := max(minSaveInterval, time.Duration(s.origins.options.Routers())*saveIntervalPerRouter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return max(interval, saveRetryDelay)
	}
	return interval
}

// saveOnce saves the pending origins and the unsaved ones. It reports whether it tried to save
// and callers may wait for another save. A probe also saves while nothing waits, to find out
// whether saves succeed again.
func (s *saver) saveOnce(ctx context.Context, isProbe bool) bool {
	o := s.origins
	s.mu.Lock()
	pending := slices.Clone(s.pending[:min(len(s.pending), maxSavedOrigins)])
	failing := s.failing
	s.mu.Unlock()
	o.mu.Lock()
	unsaved := o.table.TakeUnsaved(maxSavedOrigins - len(pending))
	o.saving = len(unsaved)
	o.mu.Unlock()
	if len(pending)+len(unsaved) == 0 && !(isProbe && failing) {
		return false
	}
	origins := make([]streamorigin.SavedOrigin, 0, len(pending)+len(unsaved))
	for _, p := range pending {
		origins = append(origins, p.origin)
	}
	err := s.write(ctx, append(origins, unsaved...))
	s.saves.Inc(1)
	o.mu.Lock()
	o.saving = 0
	if err != nil {
		for _, u := range unsaved {
			o.table.KeepUnsaved(u)
		}
	}
	o.acknowledge()
	o.mu.Unlock()
	if err != nil {
		s.failed.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Time{}
	if s.failing != (err != nil) {
		s.failing = err != nil
		if s.failing {
			o.options.Log.Warn("save origins of streams failed; retrying", "origins", len(origins)+len(unsaved), "error", err.Error())
		} else {
			o.options.Log.Info("origins of streams can be saved again")
		}
	}
	if err != nil {
		return len(s.pending) > 0
	}
	for _, p := range pending {
		close(p.done)
	}
	s.pending = slices.DeleteFunc(s.pending, func(p *pendingSave) bool { return slices.Contains(pending, p) })
	return true
}

// write saves origins as one record, and removes expired ones with the same call.
func (s *saver) write(ctx context.Context, origins []streamorigin.SavedOrigin) error {
	s.mu.Lock()
	s.began = time.Now()
	key := s.records.nextKey()
	s.mu.Unlock()
	return s.writeRecord(ctx, key, streamorigin.Encode(origins), s.takeExpired(false))
}

// removeExpired removes the expired records of this process and of others.
func (s *saver) removeExpired(ctx context.Context) {
	expired := s.takeExpired(true)
	if len(expired) == 0 {
		return
	}
	if err := s.writeRecord(ctx, expired[0].key, nil, expired); err != nil {
		s.origins.options.Log.Warn("remove saved origins of streams failed; retrying", "records", len(expired), "error", err.Error())
	}
}

func (s *saver) takeExpired(withOthers bool) []heldRecord {
	retention := s.origins.retention()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.takeExpired(time.Now(), retention, withOthers)
}

// writeRecord writes a record and removes expired ones with the same call. An empty value removes the record.
func (s *saver) writeRecord(ctx context.Context, key string, value []byte, expired []heldRecord) error {
	var removals []string
	for _, e := range expired {
		if e.key != key {
			removals = append(removals, e.key)
		}
	}
	call, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := s.origins.options.Store.SaveStreams(call, key, value, removals)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.records.putBack(expired)
		return err
	}
	if len(value) > 0 {
		s.records.add(time.Now(), key)
	}
	for _, e := range expired {
		s.records.remove(e.key)
	}
	return nil
}

// noteRecords records which records a read returned.
func (s *saver) noteRecords(now time.Time, batch mirror.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(batch.Records))
	for _, r := range batch.Records {
		listed[r.Key] = true
		if r.IsTombstone() {
			s.records.remove(r.Key)
		} else {
			s.records.add(now, r.Key)
		}
	}
	if batch.Complete {
		s.records.keepOnly(listed)
	}
}
