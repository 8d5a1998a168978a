package configfollow

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
)

// snapshotRetry is the time between two attempts after a failure. Encoding a
// snapshot of 18,000 teams takes about 100 ms of a core.
const snapshotRetry = 10 * time.Second

// followSnapshots appends snapshots. It doesn't share a loop with the reads,
// because an append may take long.
func (f *Follower) followSnapshots(ctx context.Context) error {
	for {
		if err := sleep(ctx, f.options.PollInterval); err != nil {
			return err
		}
		f.appendSnapshotIfDue(ctx)
	}
}

func (f *Follower) appendSnapshotIfDue(ctx context.Context) {
	now := time.Now()
	if !f.snapshotDue(now) || !f.options.SnapshotDuty() {
		return
	}
	record, err := f.encodeSnapshot(now)
	if err != nil {
		f.options.Logger.Error("snapshot can't be encoded", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err = f.options.Log.Append(ctx, publication.Topic, record)
	if err != nil {
		// A snapshot that was appended all the same does no harm, so another
		// attempt is safe.
		f.count("config.snapshot_errors")
		if f.limiter.Allow(now, "log", "snapshot") {
			f.options.Logger.Warn("snapshot not appended", "error", err.Error())
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.nextSnapshot = now.Add(snapshotRetry)
		return
	}
	f.count("config.snapshots_appended")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sinceSnapshot = 0
	f.lastSnapshot = now
}

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
