package mesh_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// Guards against an evacuation, or its end, that a router without the store doesn't hear of: neither
// changes the version of the configuration, only the end of the topic.
func TestEvacuationsAndTheirTombstonesAreFetched(t *testing.T) {
	const topic, key = follow.Configuration, "evacuated"
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	b.Add(a.address)
	for _, p := range []*testPeer{a, b} {
		_, err := p.topics[topic].Apply(configBatch(1, 5, 9))
		must.NoError(t, err)
	}
	for i, value := range [][]byte{[]byte("{}"), nil, []byte("{}")} {
		r := mirror.Record{Key: key, Value: value, Offset: int64(5 + i)}
		_, err := a.topics[topic].Apply(mirror.Batch{Records: []mirror.Record{r}, End: mirror.Position{Era: 1, Next: r.Offset + 1}})
		must.NoError(t, err)
		batch := fetch(t, b, topic)
		must.Len(t, 1, batch.Records)
		must.Eq(t, r.Key, batch.Records[0].Key)
		must.Eq(t, r.Offset, batch.Records[0].Offset)
		must.Eq(t, r.IsTombstone(), batch.Records[0].IsTombstone())
		change, err := b.topics[topic].Apply(batch)
		must.NoError(t, err)
		must.Len(t, 1, change.Applied)
	}

	// A router that starts later gets all records, among them the tombstones.
	_, err := a.topics[topic].Apply(mirror.Batch{Records: []mirror.Record{{Key: key, Offset: 8}}, End: mirror.Position{Era: 1, Next: 9}})
	must.NoError(t, err)
	c := newTestPeer(t, "c")
	c.Add(a.address)
	batch := fetch(t, c, topic)
	must.True(t, batch.Complete)
	must.Len(t, 2, batch.Records)
}
