package follow

import (
	"time"

	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// keepValidEvacuations replaces, in place, the value of each record that should evacuate a zone but
// can't be decoded by the value of the latest valid one, if that evacuates the zone. So the mirror
// and the peers that fetch from it keep the last valid state. Without one, the record stays, since
// a missing key would read as a removal; it has no effect. The caller holds f.mu.
func (f *Follower) keepValidEvacuations(records []mirror.Record) {
	valid := map[string]mirror.Record{}
	for i, r := range records {
		_, isEvacuation, err := f.decoder.Evacuation(r)
		if !isEvacuation {
			continue
		}
		if err == nil {
			valid[r.Key] = r
			continue
		}
		f.ignoreRecord(r, err)
		last, ok := valid[r.Key]
		if !ok {
			last, ok = f.mirrors[Configuration].Lookup(r.Key)
		}
		if _, _, err := f.decoder.Evacuation(last); ok && err == nil && !last.IsTombstone() {
			records[i].Value = last.Value
		}
	}
}

// applyEvacuations applies the records of Configuration, among those that a batch changed, that
// begin or end an evacuation. fromPeer is set if a peer sent the batch. After a restoration of the
// store, only a tombstone that was read from it is the removal of a record: others, also those of a
// peer, may stand for a record that the restored store lacks. The caller holds f.mu.
func (f *Follower) applyEvacuations(batch mirror.Batch, change mirror.Change, fromPeer bool) {
	now := time.Now()
	if change.Restored {
		f.evacuations.StoreRestored(now)
	}
	wasRead := !fromPeer && !batch.Complete
	for _, r := range change.Applied {
		zone, isEvacuation, err := f.decoder.Evacuation(r)
		switch {
		case !isEvacuation || err != nil:
		case !r.IsTombstone():
			f.beginEvacuation(zone, r.Offset)
		case !wasRead && f.evacuations.Hold(zone, now):
			f.log.Info("evacuation of a zone kept for now, since its record is missing after a restoration of the store",
				"evacuated_zone", zone, "offset", r.Offset)
		default:
			f.endEvacuation(zone, r.Offset)
		}
	}
}

func (f *Follower) beginEvacuation(zone string, offset int64) {
	if !f.evacuations.Begin(zone) {
		return
	}
	endpoints := 0
	for _, e := range f.endpoints.All() {
		if e.Zone == zone {
			endpoints++
		}
	}
	f.log.Warn("zone evacuated", "evacuated_zone", zone, "offset", offset, "endpoints", endpoints)
}

// endEvacuation calls OnZoneReturned before endpoints of the zone can be chosen again.
func (f *Follower) endEvacuation(zone string, offset int64) {
	if !f.evacuations.Zones().Has(zone) {
		return
	}
	f.OnZoneReturned(zone)
	f.evacuations.End(zone)
	f.log.Warn("evacuation of a zone ended", "evacuated_zone", zone, "offset", offset)
}

// endHeldEvacuations ends the evacuations whose records a restored store lacks and nobody has
// written again.
func (f *Follower) endHeldEvacuations(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, zone := range f.evacuations.Due(now) {
		f.log.Info("the record of an evacuation was not written again after a restoration of the store", "evacuated_zone", zone)
		f.endEvacuation(zone, f.mirrors[Configuration].Position().Next)
	}
}
