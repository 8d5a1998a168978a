package endpointload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

var start = time.Unix(1_700_000_000, 0)

// doubt reports an endpoint as unreachable from a peer.
func doubt(t *Table, now time.Time, peer string, id string, unreachable bool) {
	t.PeerReport(now, peer, uint64(now.UnixNano()), map[uint64]Load{Hash(id): {Running: 1, Unreachable: unreachable}})
}

// Guards against each router of a fleet losing requests to find out by itself
// that an endpoint is down.
func TestEndpointThatPeersCannotReachIsDoubted(t *testing.T) {
	table := NewTable(50)
	doubt(table, start, "p1", "e", true)
	must.False(t, table.View(start, "e", nil).Doubted, must.Sprint("one peer may itself be cut off"))
	doubt(table, start, "p2", "e", true)
	must.True(t, table.View(start, "e", nil).Doubted)
	doubt(table, start.Add(time.Second), "p2", "e", false)
	must.False(t, table.View(start, "e", nil).Doubted)
}

// Guards against peers that are cut off from an endpoint and keep others from
// using it.
func TestOwnAnswerOutweighsPeers(t *testing.T) {
	table := NewTable(50)
	run := table.Send(start, "e", prompt.Cost{Own: 100}, 0)
	run.Begin(start)
	doubt(table, start, "p1", "e", true)
	doubt(table, start, "p2", "e", true)
	must.False(t, table.View(start.Add(trustOwn-1), "e", nil).Doubted)
	must.True(t, table.View(start.Add(trustOwn), "e", nil).Doubted)
}

// Guards against doubts that outlive the peers that had them.
func TestDoubtEndsWithItsPeers(t *testing.T) {
	table := NewTable(50)
	doubt(table, start, "p1", "e", true)
	doubt(table, start, "p2", "e", true)
	table.ExpirePeers(start.Add(peerLifetime + 1))
	must.False(t, table.View(start.Add(peerLifetime+1), "e", nil).Doubted)
}

// Guards against an endpoint without work whose failure isn't told to peers,
// and against a report of it after it was reached again.
func TestUnreachableEndpointIsReported(t *testing.T) {
	table := NewTable(50)
	table.Send(start, "e", prompt.Cost{Own: 100}, 0).End(start, Unreached)
	must.Eq(t, map[string]Load{"e": {Unreachable: true}}, table.Own(start))
	must.False(t, table.View(start, "e", nil).Usable)
	later := start.Add(firstBackoff)
	must.MapEmpty(t, table.Own(later))
	must.True(t, table.View(later, "e", nil).Usable)
}

// Guards against sums over peers that drift when reports replace one another.
func TestPeersLoadsAreReplaced(t *testing.T) {
	table := NewTable(50)
	for i := range 5 {
		load := map[uint64]Load{Hash("e"): {Pending: int64(100 * i), Running: i, Unreachable: i%2 == 1}}
		must.True(t, table.PeerReport(start, "p", uint64(i+1), load))
	}
	must.False(t, table.PeerReport(start, "p", 2, nil), must.Sprint("an overtaken report"))
	v := table.View(start, "e", nil)
	must.Eq(t, 400, v.Pending)
	must.Eq(t, 4, v.Running)
	must.True(t, table.PeerReport(start, "p", 6, nil))
	must.MapEmpty(t, table.others)
}

// Guards against a restarted engine that is believed to hold its cache.
func TestRestartForgetsTheCache(t *testing.T) {
	table := NewTable(50)
	shared := []prompt.Part{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 300}}
	table.Restarted("e", start)
	table.Send(start, "e", prompt.Cost{Shared: shared}, 0).End(start, Succeeded)
	must.Eq(t, 0, table.View(start, "e", shared).Missing)
	must.Eq(t, 40, table.View(start, "e", append(shared[:1:1], prompt.Part{Key: 9, Tokens: 40})).Missing)
	table.Restarted("e", start)
	must.Eq(t, 0, table.View(start, "e", shared).Missing)
	table.Restarted("e", start.Add(time.Second))
	must.Eq(t, 800, table.View(start, "e", shared).Missing)
}

// Guards against new work for an endpoint that is silent with work in progress.
func TestSilentEndpointGetsNoWork(t *testing.T) {
	table := NewTable(50)
	run := table.Send(start, "e", prompt.Cost{Own: 10}, 0)
	must.True(t, table.View(start.Add(stallAfter), "e", nil).Usable)
	late := start.Add(stallAfter + 1)
	must.False(t, table.View(late, "e", nil).Usable)
	run.Heard(late)
	must.True(t, table.View(late, "e", nil).Usable)
}
