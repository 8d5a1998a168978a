// Package mirror keeps the newest record of each key of a log topic, so that
// a router which can't reach the store takes what it missed from a peer.
// Topic owns the records; offsets only grow.
package mirror

import "sync"

// Record is one keyed record. A record without a value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Removal reports whether the record removes its key.
func (r Record) Removal() bool { return len(r.Value) == 0 }

// maxRemovals bounds the removed keys that are remembered for peers.
const maxRemovals = 4096

// Topic mirrors one topic. It is safe for use by several goroutines. Its
// mutex is never held while others are taken.
type Topic struct {
	mu      sync.Mutex
	records map[string]Record
	next    int64
	removed int
}

// NewTopic returns an empty mirror.
func NewTopic() *Topic { return &Topic{records: map[string]Record{}} }

// Apply stores the records that are newer than what is known of their keys
// and returns them.
func (t *Topic) Apply(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Record
	for _, r := range records {
		known, ok := t.records[r.Key]
		if ok && known.Offset >= r.Offset {
			continue
		}
		if ok && known.Removal() {
			t.removed--
		}
		if r.Removal() {
			t.removed++
		}
		t.records[r.Key] = r
		fresh = append(fresh, r)
		if r.Offset >= t.next {
			t.next = r.Offset + 1
		}
	}
	if t.removed > maxRemovals {
		t.forgetRemovals()
	}
	return fresh
}

func (t *Topic) forgetRemovals() {
	for key, r := range t.records {
		if r.Removal() {
			delete(t.records, key)
		}
	}
	t.removed = 0
}

// Skip notes that all records below next are known.
func (t *Topic) Skip(next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
}

// Next returns the offset after the newest known record.
func (t *Topic) Next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Since returns the records at or after offset.
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

// Missing returns removals, at the offset before end, for the present keys
// that a complete listing up to end no longer holds. Keys that changed at or
// after end are left alone.
func (t *Topic) Missing(listed []Record, end int64) []Record {
	present := make(map[string]bool, len(listed))
	for _, r := range listed {
		present[r.Key] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var removals []Record
	for key, r := range t.records {
		if !present[key] && !r.Removal() && r.Offset < end {
			removals = append(removals, Record{Key: key, Offset: max(end-1, r.Offset+1)})
		}
	}
	return removals
}
