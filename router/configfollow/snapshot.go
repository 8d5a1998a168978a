package configfollow

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
)

// snapshotRetryDelay is the delay before the next attempt after a failure.
// Encoding a snapshot of 18,000 teams takes about 100 ms of CPU time.
const snapshotRetryDelay = 10 * time.Second

// runSnapshots appends snapshots when they are due until ctx ends. It runs
// separately from followLog because an append may take long.
func (f *Follower) runSnapshots(ctx context.Context) error {
	for {
		if err := sleep(ctx, f.options.PollInterval); err != nil {
			return err
		}
		f.appendSnapshotIfDue(ctx)
	}
}

func (f *Follower) appendSnapshotIfDue(ctx context.Context) {
	now := time.Now()
	if !f.snapshotDue(now) || !f.options.IsSnapshotWriter() {
		return
	}
	record, err := f.encodeSnapshot(now)
	if err != nil {
		f.options.Logger.Error("encode snapshot failed", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err = f.options.Log.Append(ctx, publication.Topic, record)
	if err != nil {
		// A retry is safe: it does no harm if the log has stored the snapshot
		// despite the error.
		f.count("config.snapshot_errors")
		if f.logLimiter.Allow(now, "log", "snapshot") {
			f.options.Logger.Warn("append snapshot failed", "error", err.Error())
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.nextSnapshot = now.Add(snapshotRetryDelay)
		return
	}
	f.count("config.snapshots_appended")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sinceSnapshot = 0
	f.lastSnapshot = now
}

// snapshotDue reports whether enough publications or time have passed since the
// last snapshot. Without a state that is up to date with the log it is false.
func (f *Follower) snapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil || f.state.NextOffset == 0 || !f.atEnd || now.Before(f.nextSnapshot) {
		return false
	}
	return f.sinceSnapshot >= f.options.SnapshotEvery || now.Sub(f.lastSnapshot) >= f.options.SnapshotInterval
}

func (f *Follower) encodeSnapshot(now time.Time) ([]byte, error) {
	f.mu.Lock()
	state := publication.Restore(f.state.Version, f.state.Set, f.state.NextOffset, f.state.Recent())
	f.mu.Unlock()
	snapshot, err := state.Snapshot(now)
	if err != nil {
		return nil, err
	}
	return snapshot.Encode()
}
