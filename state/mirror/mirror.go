// Package mirror keeps the newest record of each key of a log topic, so that a
// router that can't reach the store can get the records it missed from a peer.
// Topic holds the records. Within an era of the store, offsets never decrease.
package mirror

import (
	"errors"
	"slices"
	"sync"
)

// Record is one keyed record. A record without a value is a tombstone: it
// removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Revision orders the records of a key that carry one, across eras: a record never
	// replaces one with a higher revision. Zero if the offset alone orders the records.
	Revision uint64
}

// IsTombstone reports whether the record is a tombstone.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// replaces reports whether r replaces the stored record of its key in the same era.
func (r Record) replaces(stored Record) bool {
	if r.Revision != stored.Revision {
		return r.Revision > stored.Revision
	}
	return r.Offset > stored.Offset
}

// Position is a place in a topic: the offset of the next record, in an era. The era
// rises each time the store is restored from an older copy of its content, whereby
// offsets are given out again.
type Position struct{ Era, Next int64 }

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || (p.Era == q.Era && p.Next < q.Next)
}

// noEra is the era of a topic of which nothing is known. It is below all eras.
const noEra = -1

// Batch holds records of one era.
type Batch struct {
	Records []Record
	// End is the position after the records.
	End Position
	// Complete is set if the newest record of each key below End is included. Records at or
	// after End may be, too.
	Complete bool
}

// Change is the effect of a batch.
type Change struct {
	// Applied holds the records that were stored, and tombstones for the keys that
	// a complete batch lacks.
	Applied []Record
	// Restored is set if the batch replaced records of an earlier era.
	Restored bool
}

var (
	// ErrEarlierEra is returned for records of an era that has ended.
	ErrEarlierEra = errors.New("the records are of an earlier era of the store")
	// ErrLaterEra is returned for records of a later era that are not complete.
	ErrLaterEra = errors.New("the store was restored from an older copy")
)

// maxTombstones is the maximum number of tombstones that are kept for peers.
// When it is exceeded, the older half is deleted.
const maxTombstones = 4096

// Topic mirrors one topic. It is safe for concurrent use. Its mutex is never
// held while another one is acquired.
type Topic struct {
	mu         sync.Mutex
	records    map[string]Record
	position   Position
	tombstones int
	// removalsFrom is the offset from which on the tombstones of all removed keys are held. A listing
	// has no trace of the keys that were removed before its end.
	removalsFrom int64
}

// NewTopic returns an empty mirror.
func NewTopic() *Topic { return &Topic{records: map[string]Record{}, position: Position{Era: noEra}} }

// Apply stores the records that replace the stored ones of their keys. A complete
// batch of a later era replaces all records except those with a higher revision. It
// returns ErrLaterEra if a batch of a later era is not complete, and ErrEarlierEra
// for one of an earlier era, of which only higher revisions are stored.
func (t *Topic) Apply(b Batch) (Change, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case b.End.Era < t.position.Era:
		return Change{Applied: t.storeHigherRevisions(b.Records)}, ErrEarlierEra
	case b.End.Era == t.position.Era:
	case !b.Complete:
		return Change{}, ErrLaterEra
	case t.position.Era != noEra:
		return Change{Applied: t.restore(b), Restored: true}, nil
	}
	if b.Complete && t.position.Before(b.End) {
		t.removalsFrom = b.End.Next
	}
	applied := t.store(b.Records)
	if b.Complete {
		applied = append(applied, t.store(t.missingTombstones(b))...)
	}
	t.position = Position{Era: b.End.Era, Next: max(t.position.Next, b.End.Next)}
	return Change{Applied: applied}, nil
}

// store stores the records that replace the stored ones and returns them. It leaves the
// position: a complete batch may hold records after its end, and lack others there.
func (t *Topic) store(records []Record) []Record {
	var stored []Record
	for _, r := range records {
		if known, ok := t.records[r.Key]; ok && !r.replaces(known) {
			continue
		}
		t.set(r)
		stored = append(stored, r)
	}
	if t.tombstones > maxTombstones {
		t.deleteOldTombstones()
	}
	return stored
}

func (t *Topic) set(r Record) {
	if known, ok := t.records[r.Key]; ok && known.IsTombstone() {
		t.tombstones--
	}
	if r.IsTombstone() {
		t.tombstones++
	}
	t.records[r.Key] = r
}

// storeHigherRevisions stores the records of an earlier era whose revision is higher
// than that of the stored record, under the offset of the stored record.
func (t *Topic) storeHigherRevisions(records []Record) []Record {
	var stored []Record
	for _, r := range records {
		known := t.records[r.Key]
		if r.Revision <= known.Revision {
			continue
		}
		r.Offset = known.Offset
		t.set(r)
		stored = append(stored, r)
	}
	return stored
}

// restore replaces the records by those of a later era. What was written since the
// copy was made is lost there, so higher revisions are kept.
func (t *Topic) restore(b Batch) []Record {
	earlier := t.records
	t.records, t.tombstones = make(map[string]Record, len(b.Records)), 0
	var kept []Record
	for _, r := range earlier {
		if r.Revision > 0 {
			kept = append(kept, r)
		}
	}
	t.position, t.removalsFrom = b.End, b.End.Next
	applied := t.store(b.Records)
	t.storeHigherRevisions(kept)
	for key, r := range earlier {
		if _, ok := t.records[key]; !ok && !r.IsTombstone() {
			tombstone := Record{Key: key, Offset: max(b.End.Next-1, 0)}
			if b.End.Next > 0 {
				// In an empty topic, the next record gets the offset 0 itself.
				t.set(tombstone)
			}
			applied = append(applied, tombstone)
		}
	}
	return applied
}

func (t *Topic) deleteOldTombstones() {
	offsets := make([]int64, 0, t.tombstones)
	for _, r := range t.records {
		if r.IsTombstone() {
			offsets = append(offsets, r.Offset)
		}
	}
	slices.Sort(offsets)
	last := offsets[len(offsets)/2]
	for key, r := range t.records {
		if r.IsTombstone() && r.Offset <= last {
			delete(t.records, key)
			t.tombstones--
		}
	}
	t.removalsFrom = max(t.removalsFrom, last+1)
}

// Lookup returns the stored record of a key, which may be a tombstone.
func (t *Topic) Lookup(key string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	return r, ok
}

// Position returns the position after the newest known record.
func (t *Topic) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Since returns the records at or after a position, in no particular order. It returns all of them if the
// position is of another era, or if keys may have been removed since then of which no tombstone is held.
func (t *Topic) Since(from Position) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Batch{End: t.position, Complete: from.Era != t.position.Era || from.Next == 0 || from.Next < t.removalsFrom}
	for _, r := range t.records {
		if b.Complete || r.Offset >= from.Next {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

// missingTombstones returns tombstones for the stored keys that a complete
// batch no longer contains. A tombstone has the offset before the end of the batch, or
// the one after the stored record if that is higher. Keys whose stored record is at or
// after the end are not included.
func (t *Topic) missingTombstones(b Batch) []Record {
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		// The offset of a tombstone may be derived, and not above that of the record that it removes.
		present[r.Key] = !r.IsTombstone()
	}
	var tombstones []Record
	for key, r := range t.records {
		if !present[key] && !r.IsTombstone() && r.Offset < b.End.Next {
			tombstones = append(tombstones, Record{Key: key, Offset: max(b.End.Next-1, r.Offset+1)})
		}
	}
	return tombstones
}
