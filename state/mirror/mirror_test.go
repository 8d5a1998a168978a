package mirror

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against an older record that overwrites a newer one when records
// come from the store and from peers in any order and more than once.
func TestNewestRecordWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "records")
		var log []Record
		newest := map[string]Record{}
		for i := range n {
			r := Record{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Offset: int64(i)}
			if rapid.Bool().Draw(t, "value") {
				r.Value = []byte{byte(i), 1}
			}
			log = append(log, r)
			newest[r.Key] = r
		}
		topic := NewTopic()
		apply(t, topic, Batch{End: Position{Era: 1}, Complete: true})
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 60).Draw(t, "order") {
			apply(t, topic, Batch{Records: log[i : i+1], End: Position{Era: 1, Next: int64(i + 1)}})
		}
		apply(t, topic, Batch{Records: log, End: Position{Era: 1, Next: int64(n)}})
		got := topic.Since(Position{}).Records
		if len(got) != len(newest) {
			t.Fatalf("%d keys, want %d", len(got), len(newest))
		}
		for _, r := range got {
			if newest[r.Key].Offset != r.Offset {
				t.Fatalf("key %s at offset %d, want %d", r.Key, r.Offset, newest[r.Key].Offset)
			}
		}
		if want := (Position{Era: 1, Next: int64(n)}); topic.Position() != want {
			t.Fatalf("position %v, want %v", topic.Position(), want)
		}
	})
}

// Guards against keeping a key that was removed and whose tombstone the store no
// longer has, and against removing a key that was added after the listing.
func TestMissingTombstonesOfUnlistedKeys(t *testing.T) {
	topic := NewTopic()
	apply(t, topic, Batch{End: Position{Era: 1}, Complete: true})
	apply(t, topic, Batch{
		Records: []Record{{Key: "old", Value: []byte("x"), Offset: 3}, {Key: "new", Value: []byte("x"), Offset: 9}},
		End:     Position{Era: 1, Next: 10},
	})
	change := apply(t, topic, Batch{
		Records: []Record{{Key: "other", Value: []byte("x"), Offset: 5}}, End: Position{Era: 1, Next: 8}, Complete: true,
	})
	must.Len(t, 2, change.Applied)
	must.Eq(t, "old", change.Applied[1].Key)
	must.True(t, change.Applied[1].IsTombstone())
}

// Guards against records that are never read because a listing holds a later one: its pages are
// not a snapshot, so that a record written between two of them may be missing before one that
// is included.
func TestRecordsWrittenDuringAListingAreRead(t *testing.T) {
	for name, known := range map[string]Position{"first listing": {Era: noEra}, "same era": {Era: 1, Next: 4}, "restored store": {Era: 0, Next: 30}} {
		t.Run(name, func(t *testing.T) {
			topic := NewTopic()
			if known.Era != noEra {
				apply(t, topic, Batch{Records: []Record{{Key: "z", Value: []byte("x"), Offset: known.Next - 1}}, End: known, Complete: true})
			}
			// The first page ends with "a". "a" is written again at 10, and "z" at 11, before the
			// second page is read.
			apply(t, topic, Batch{
				Records: []Record{{Key: "a", Value: []byte("ready"), Offset: 8}, {Key: "z", Value: []byte("new"), Offset: 11}},
				End:     Position{Era: 1, Next: 10}, Complete: true,
			})
			must.Eq(t, Position{Era: 1, Next: 10}, topic.Position())
			change := apply(t, topic, Batch{
				Records: []Record{{Key: "a", Value: []byte("draining"), Offset: 10}, {Key: "z", Value: []byte("new"), Offset: 11}},
				End:     Position{Era: 1, Next: 12},
			})
			must.Eq(t, []Record{{Key: "a", Value: []byte("draining"), Offset: 10}}, change.Applied)
			must.Eq(t, Position{Era: 1, Next: 12}, topic.Position())
		})
	}
}

// Guards against a removed key whose tombstone, derived from a listing, moves the position over
// the record that follows.
func TestDerivedTombstonesLeaveThePosition(t *testing.T) {
	topic := NewTopic()
	apply(t, topic, Batch{Records: []Record{{Key: "removed", Value: []byte("x"), Offset: 9}}, End: Position{Era: 1, Next: 10}, Complete: true})
	change := apply(t, topic, Batch{Records: []Record{{Key: "kept", Value: []byte("x"), Offset: 5}}, End: Position{Era: 1, Next: 10}, Complete: true})
	must.Eq(t, "removed", change.Applied[1].Key)
	must.Eq(t, Position{Era: 1, Next: 10}, topic.Position())
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// apply applies a batch that must be accepted.
func apply(t testingT, topic *Topic, b Batch) Change {
	t.Helper()
	change, err := topic.Apply(b)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return change
}

// Guards against records of a log that ended with the restoration of an older copy: they
// would hide or outlive those that the store gives the same offsets afterwards.
func TestRestorationReplacesRecords(t *testing.T) {
	topic := NewTopic()
	apply(t, topic, Batch{
		Records: []Record{{Key: "a", Value: []byte("a9"), Offset: 9}, {Key: "lost", Value: []byte("x"), Offset: 8}},
		End:     Position{Era: 1, Next: 10}, Complete: true,
	})
	_, err := topic.Apply(Batch{Records: []Record{{Key: "a", Value: []byte("a5"), Offset: 5}}, End: Position{Era: 2, Next: 6}})
	must.ErrorIs(t, err, ErrLaterEra)
	change := apply(t, topic, Batch{
		Records: []Record{{Key: "a", Value: []byte("a4"), Offset: 4}}, End: Position{Era: 2, Next: 5}, Complete: true,
	})
	must.True(t, change.Restored)
	must.Eq(t, Position{Era: 2, Next: 5}, topic.Position())
	must.Eq(t, []Record{{Key: "a", Value: []byte("a4"), Offset: 4}, {Key: "lost", Offset: 4}}, change.Applied)
	_, err = topic.Apply(Batch{Records: []Record{{Key: "a", Value: []byte("a9"), Offset: 9}}, End: Position{Era: 1, Next: 10}})
	must.ErrorIs(t, err, ErrEarlierEra)
	apply(t, topic, Batch{Records: []Record{{Key: "a", Value: []byte("a5"), Offset: 5}}, End: Position{Era: 2, Next: 6}})
	batch := topic.Since(Position{Era: 2, Next: 5})
	must.False(t, batch.Complete)
	must.Eq(t, []Record{{Key: "a", Value: []byte("a5"), Offset: 5}}, batch.Records)
	must.True(t, topic.Since(Position{Era: 1, Next: 10}).Complete)
}

// Guards against an older revision that replaces a newer one because the store was
// restored, whatever the order of listings, records and eras of peers.
func TestHighestRevisionOutlivesRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topic := NewTopic()
		var highest uint64
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			r := Record{Key: "config", Value: []byte("x"), Offset: rapid.Int64Range(0, 5).Draw(t, "offset"),
				Revision: rapid.Uint64Range(1, 1000).Draw(t, "revision")}
			era := rapid.Int64Range(0, 6).Draw(t, "era")
			b := Batch{Records: []Record{r}, End: Position{Era: era, Next: r.Offset + 1}, Complete: rapid.Bool().Draw(t, "complete")}
			if rapid.IntRange(0, 4).Draw(t, "empty") == 0 {
				b.Records = nil
			}
			before := topic.Position()
			_, err := topic.Apply(b)
			if topic.Position().Before(before) {
				t.Fatalf("position went back from %v to %v", before, topic.Position())
			}
			if err != ErrLaterEra && len(b.Records) > 0 {
				highest = max(highest, r.Revision)
			}
			records := topic.Since(Position{}).Records
			if highest > 0 && (len(records) != 1 || records[0].Revision != highest) {
				t.Fatalf("records %v, want revision %d", records, highest)
			}
		}
	})
}

// Guards against a record that is never applied because the store was restored to an empty topic: the
// key that was lost there would keep a tombstone with the offset of the next record.
func TestFirstRecordAfterARestorationToAnEmptyTopicIsApplied(t *testing.T) {
	topic := NewTopic()
	record := Record{Key: "a", Value: []byte("x"), Offset: 4}
	apply(t, topic, Batch{Records: []Record{record}, End: Position{Era: 1, Next: 5}, Complete: true})
	change := apply(t, topic, Batch{End: Position{Era: 2}, Complete: true})
	must.Eq(t, []Record{{Key: "a"}}, change.Applied)
	record.Offset = 0
	change = apply(t, topic, Batch{Records: []Record{record}, End: Position{Era: 2, Next: 1}})
	must.Eq(t, []Record{record}, change.Applied)
	known, ok := topic.Lookup("a")
	must.True(t, ok && !known.IsTombstone())
}

// Guards against a removal that a peer never learns: the topic that it asks has listed the store, has
// listed it again, or has been given all records by another one, and holds no tombstone of it.
func TestRemovalBeforeAListingReachesPeers(t *testing.T) {
	record := Record{Key: "left", Value: []byte("x"), Offset: 3}
	listing := Batch{Records: []Record{{Key: "stays", Value: []byte("x"), Offset: 1}}, End: Position{Era: 1, Next: 9}, Complete: true}
	for name, prepare := range map[string]func(topic *Topic){
		"listed": func(topic *Topic) { apply(t, topic, listing) },
		"listed again": func(topic *Topic) {
			apply(t, topic, Batch{End: Position{Era: 1, Next: 2}, Complete: true})
			apply(t, topic, listing)
		},
		"from a peer": func(topic *Topic) {
			peer := NewTopic()
			apply(t, peer, listing)
			apply(t, topic, peer.Since(topic.Position()))
		},
		"restored": func(topic *Topic) {
			apply(t, topic, Batch{Records: []Record{record}, End: Position{Era: 0, Next: 4}, Complete: true})
			apply(t, topic, listing)
		},
	} {
		t.Run(name, func(t *testing.T) {
			asked := NewTopic()
			prepare(asked)
			behind := NewTopic()
			apply(t, behind, Batch{Records: []Record{record}, End: Position{Era: 1, Next: 4}, Complete: true})
			apply(t, behind, asked.Since(behind.Position()))
			got, ok := behind.Lookup("left")
			must.True(t, !ok || got.IsTombstone())
			must.Eq(t, Position{Era: 1, Next: 9}, behind.Position())
			must.False(t, asked.Since(behind.Position()).Complete, must.Sprint("it has all now"))
			must.False(t, behind.Since(asked.Position()).Complete)
		})
	}
}

// Guards against a removal that a peer never learns because there were more than a topic keeps, and against
// peers that get all records for that although they miss none.
func TestRemovalAmongManyReachesPeers(t *testing.T) {
	topic := NewTopic()
	apply(t, topic, Batch{End: Position{Era: 1}, Complete: true})
	write := func(offset int64, key, value string) {
		apply(t, topic, Batch{Records: []Record{{Key: key, Value: []byte(value), Offset: offset}}, End: Position{Era: 1, Next: offset + 1}})
	}
	write(0, "left", "x")
	behind := NewTopic()
	apply(t, behind, topic.Since(Position{Era: noEra}))
	write(1, "left", "")
	const removals = maxTombstones + 1
	for i := range int64(removals) {
		write(2*i+2, fmt.Sprint("key-", i), "x")
		write(2*i+3, fmt.Sprint("key-", i), "")
	}
	must.LessEq(t, maxTombstones, topic.tombstones)
	must.False(t, topic.Since(Position{Era: 1, Next: topic.Position().Next - 100}).Complete)
	apply(t, behind, topic.Since(behind.Position()))
	got, ok := behind.Lookup("left")
	must.True(t, !ok || got.IsTombstone())
}

// Guards against topics that differ from the store after they have read it, listed it, or asked each other,
// in any order, while keys are written and removed and listings are no snapshots.
func TestTopicsAgreeWithTheStore(t *testing.T) {
	keys := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var log []Record
		write := func() {
			r := Record{Key: rapid.SampledFrom(keys).Draw(t, "key"), Offset: int64(len(log))}
			if rapid.Bool().Draw(t, "value") {
				r.Value = []byte{byte(len(log)), 1}
			}
			log = append(log, r)
		}
		newest := func(key string) (r Record) {
			for _, other := range log {
				if other.Key == key {
					r = other
				}
			}
			return r
		}
		list := func() Batch {
			b := Batch{End: Position{Era: 1, Next: int64(len(log))}, Complete: true}
			for _, key := range keys {
				if rapid.IntRange(0, 3).Draw(t, "writes between pages") == 0 {
					write()
				}
				if r := newest(key); !r.IsTombstone() {
					b.Records = append(b.Records, r)
				}
			}
			return b
		}
		read := func(from Position) Batch {
			return Batch{Records: log[from.Next:], End: Position{Era: 1, Next: int64(len(log))}}
		}
		topics := []*Topic{NewTopic(), NewTopic(), NewTopic()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(topics)-1).Draw(t, "topic")
			topic, other := topics[i], topics[rapid.IntRange(0, len(topics)-1).Draw(t, "other")]
			known := topic.Position()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				write()
			case 2:
				apply(t, topic, list())
			case 3:
				if known.Era != noEra {
					apply(t, topic, read(known))
				}
			case 4:
				if known.Before(other.Position()) {
					apply(t, topic, other.Since(known))
				}
			case 5:
				topics[i] = NewTopic()
			}
		}
		for i, topic := range topics {
			if topic.Position().Era == noEra {
				continue
			}
			apply(t, topic, read(topic.Position()))
			for _, key := range keys {
				got, _ := topic.Lookup(key)
				if want := newest(key); string(got.Value) != string(want.Value) {
					t.Fatalf("topic %d holds %q for key %s, want %q", i, got.Value, key, want.Value)
				}
			}
		}
	})
}

// Guards against a removal that is missed because the tombstone that stands for it was derived from a
// listing, and has the offset of an earlier record of the key that the asking topic holds.
func TestDerivedTombstoneWithTheOffsetOfARecord(t *testing.T) {
	asked, behind := NewTopic(), NewTopic()
	apply(t, asked, Batch{Records: []Record{{Key: "a", Value: []byte("old"), Offset: 3}}, End: Position{Era: 1, Next: 4}, Complete: true})
	apply(t, behind, Batch{Records: []Record{{Key: "a", Value: []byte("new"), Offset: 7}}, End: Position{Era: 1, Next: 8}, Complete: true})
	// The key is removed at 8, while the listing is read.
	apply(t, asked, Batch{End: Position{Era: 1, Next: 8}, Complete: true})
	apply(t, asked, Batch{End: Position{Era: 1, Next: 9}, Complete: true})
	apply(t, behind, asked.Since(behind.Position()))
	got, ok := behind.Lookup("a")
	must.True(t, ok && got.IsTombstone())
}
