// Package mirror keeps the newest record of each key of a log topic, so that a
// router that can't reach the store can get the records it missed from a peer.
// Topic holds the records; offsets never decrease.
package mirror

import "sync"

// Record is one keyed record. A record without a value is a tombstone: it
// removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// IsTombstone reports whether the record is a tombstone.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// maxTombstones is the maximum number of tombstones that are kept for peers.
// When it is exceeded, all tombstones are deleted.
const maxTombstones = 4096

// Topic mirrors one topic. It is safe for concurrent use. Its mutex is never
// held while another one is acquired.
type Topic struct {
	mu         sync.Mutex
	records    map[string]Record
	next       int64
	tombstones int
}

// NewTopic returns an empty mirror.
func NewTopic() *Topic { return &Topic{records: map[string]Record{}} }

// Apply stores the records that are newer than the stored records of their keys
// and returns them.
func (t *Topic) Apply(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newer []Record
	for _, r := range records {
		stored, ok := t.records[r.Key]
		if ok && stored.Offset >= r.Offset {
			continue
		}
		if ok && stored.IsTombstone() {
			t.tombstones--
		}
		if r.IsTombstone() {
			t.tombstones++
		}
		t.records[r.Key] = r
		newer = append(newer, r)
		if r.Offset >= t.next {
			t.next = r.Offset + 1
		}
	}
	if t.tombstones > maxTombstones {
		t.deleteTombstones()
	}
	return newer
}

func (t *Topic) deleteTombstones() {
	for key, r := range t.records {
		if r.IsTombstone() {
			delete(t.records, key)
		}
	}
	t.tombstones = 0
}

// AdvanceTo raises the next offset to next unless it is higher already. It must
// be called after the records below next have been applied.
func (t *Topic) AdvanceTo(next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
}

// NextOffset returns the offset after the newest known record.
func (t *Topic) NextOffset() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Since returns the records at or after offset, in no particular order.
func (t *Topic) Since(offset int64) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, r := range t.records {
		if r.Offset >= offset {
			records = append(records, r)
		}
	}
	return records
}

// MissingTombstones returns tombstones for the stored keys that a complete
// listing of the records below end no longer contains. A tombstone has the
// offset end-1, or the one after the stored record if that is higher. Keys whose
// stored record is at or after end are not included.
func (t *Topic) MissingTombstones(listed []Record, end int64) []Record {
	present := make(map[string]bool, len(listed))
	for _, r := range listed {
		present[r.Key] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var tombstones []Record
	for key, r := range t.records {
		if !present[key] && !r.IsTombstone() && r.Offset < end {
			tombstones = append(tombstones, Record{Key: key, Offset: max(end-1, r.Offset+1)})
		}
	}
	return tombstones
}
