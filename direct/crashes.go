package direct

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/direct/mesh"
)

const (
	// saveInterval is the interval at which new observations of crashes are written to
	// the store, for routers that start when no other is running.
	saveInterval = 500 * time.Millisecond
	// saveRetryDelay is the mean delay before a failed write is repeated. It is random: routers that
	// observe the same crash write at the same time, and only one of them succeeds.
	saveRetryDelay = 2 * time.Second
	// minLoadBackoff and maxLoadAttempts bound the reading of these observations from a
	// store that does not respond. Peers send them, too.
	minLoadBackoff  = 500 * time.Millisecond
	maxLoadAttempts = 6
	// unsavedEra stands for a router that has saved no crashes.
	unsavedEra = -1
	// savedTimeBytes is the size of the time in front of the saved observations.
	savedTimeBytes = 8
)

// keepCrashes loads the observations of requests that crash engines from the store and
// saves this router's new ones until ctx is done.
func (p *process) keepCrashes(ctx context.Context) error {
	p.loadCrashes(ctx)
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	var retryAt time.Time
	// savedEra is the era of the latest record of this router.
	savedEra := int64(unsavedEra)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if savedEra != unsavedEra && p.follower.Era() > savedEra {
				p.log.Info("the saved crashes may be lost; saving them again", "era", p.follower.Era(), "saved_era", savedEra)
				p.dispatcher.KeepCrashesUnsaved()
				savedEra = unsavedEra
			}
			if now.Before(retryAt) || !p.follower.StoreAnswers() || !p.dispatcher.TakeUnsavedCrashes() {
				continue
			}
			era, err := p.saveCrashes(ctx)
			savedEra = era
			if err != nil {
				savedEra = unsavedEra
				p.log.Warn("save crashes failed; retrying", "error", err.Error())
				p.dispatcher.KeepCrashesUnsaved()
				retryAt = now.Add(saveRetryDelay/2 + rand.N(saveRetryDelay))
			}
		}
	}
}

// saveCrashes adds this router's observations to those in the store, and returns the era of the record. It
// is written only if nothing was written since the reading, so that neither another router's
// write nor one that the store executes late hides observations.
func (p *process) saveCrashes(ctx context.Context) (era int64, err error) {
	saved, end, err := p.follower.LoadCrashes(ctx)
	if err != nil {
		return unsavedEra, err
	}
	now := time.Now()
	if saved != nil {
		if facts, err := decodeSaved(now, saved); err != nil {
			p.log.Warn("saved crashes can't be read; replacing them", "error", err.Error())
		} else {
			p.dispatcher.MergeCrashFacts(now, facts)
		}
	}
	return end.Era, p.follower.SaveCrashes(ctx, encodeSaved(now, p.dispatcher.CrashFacts()), end)
}

func (p *process) loadCrashes(ctx context.Context) {
	backoff := minLoadBackoff
	for range maxLoadAttempts {
		saved, _, err := p.follower.LoadCrashes(ctx)
		now := time.Now()
		var facts quarantine.Facts
		if err == nil && saved != nil {
			facts, err = decodeSaved(now, saved)
		}
		if err == nil {
			p.dispatcher.MergeCrashFacts(now, facts)
			if n := p.dispatcher.QuarantinedSets(); n > 0 {
				p.log.Info("quarantined prompt parts loaded", "sets", n)
			}
			return
		}
		p.log.Warn("load crashes failed", "error", err.Error())
		p.follower.AwaitRetry(ctx, backoff)
		if ctx.Err() != nil {
			return
		}
		backoff *= 2
	}
}

// encodeSaved encodes facts with the time of day, from which their age follows later.
func encodeSaved(now time.Time, facts quarantine.Facts) []byte {
	saved := binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	return append(saved, mesh.EncodeCrashes(now, "saved", facts)...)
}

func decodeSaved(now time.Time, saved []byte) (quarantine.Facts, error) {
	if len(saved) < savedTimeBytes {
		return quarantine.Facts{}, eris.New("decode saved crashes: the time is missing")
	}
	savedAt := time.UnixMilli(int64(binary.BigEndian.Uint64(saved)))
	// The clock of the host that saved them may be ahead.
	age := max(now.Sub(savedAt), 0)
	_, facts, err := mesh.DecodeCrashes(now.Add(-age), saved[savedTimeBytes:])
	return facts, eris.Wrap(err, "decode saved crashes")
}
