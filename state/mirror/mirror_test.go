package mirror

import (
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
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 60).Draw(t, "order") {
			topic.Apply(log[i : i+1])
		}
		topic.Apply(log)
		got := topic.Since(0)
		if len(got) != len(newest) {
			t.Fatalf("%d keys, want %d", len(got), len(newest))
		}
		for _, r := range got {
			if newest[r.Key].Offset != r.Offset {
				t.Fatalf("key %s at offset %d, want %d", r.Key, r.Offset, newest[r.Key].Offset)
			}
		}
		if topic.NextOffset() != int64(n) {
			t.Fatalf("next %d, want %d", topic.NextOffset(), n)
		}
	})
}

// Guards against keeping a key that was removed and whose tombstone the store no
// longer has, and against removing a key that was added after the listing.
func TestMissingTombstonesOfUnlistedKeys(t *testing.T) {
	topic := NewTopic()
	topic.Apply([]Record{{Key: "old", Value: []byte("x"), Offset: 3}, {Key: "new", Value: []byte("x"), Offset: 9}})
	tombstones := topic.MissingTombstones([]Record{{Key: "other", Value: []byte("x"), Offset: 5}}, 8)
	must.Len(t, 1, tombstones)
	must.Eq(t, "old", tombstones[0].Key)
	must.True(t, tombstones[0].IsTombstone())
	must.Len(t, 1, topic.Apply(tombstones))
}
