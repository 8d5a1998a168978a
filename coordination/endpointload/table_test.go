package endpointload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

var start = time.Unix(1_700_000_000, 0)

// reportFromPeer applies a peer's report that the endpoint is reachable or not.
func reportFromPeer(t *Table, now time.Time, peer string, id string, unreachable bool) {
	t.ApplyPeerReport(now, peer, uint64(now.UnixNano()), []PeerLoad{{Hash(id), Load{Running: 1, Unreachable: unreachable}}})
}

// Guards against every router of a fleet losing requests before it detects that
// an endpoint is down.
func TestEndpointUnreachableFromTwoPeersIsAvoided(t *testing.T) {
	table := NewTable(50)
	reportFromPeer(table, start, "p1", "e", true)
	must.False(t, table.View(start, "e", nil).UnreachableFromPeers, must.Sprint("a single peer may itself be partitioned"))
	reportFromPeer(table, start, "p2", "e", true)
	must.True(t, table.View(start, "e", nil).UnreachableFromPeers)
	reportFromPeer(table, start.Add(time.Second), "p2", "e", false)
	must.False(t, table.View(start, "e", nil).UnreachableFromPeers)
}

// Guards against peers that are partitioned from an endpoint and stop other
// routers from using it.
func TestRecentResponseOverridesPeerReports(t *testing.T) {
	table := NewTable(50)
	attempt := table.StartAttempt(start, "e", prompt.Cost{UnsharedTokens: 100}, 0)
	attempt.RecordFirstEvent(start)
	reportFromPeer(table, start, "p1", "e", true)
	reportFromPeer(table, start, "p2", "e", true)
	must.False(t, table.View(start.Add(ownResponsePrecedence-1), "e", nil).UnreachableFromPeers)
	must.True(t, table.View(start.Add(ownResponsePrecedence), "e", nil).UnreachableFromPeers)
}

// Guards against unreachable reports that outlast the peers that sent them.
func TestUnreachableReportExpiresWithPeer(t *testing.T) {
	table := NewTable(50)
	reportFromPeer(table, start, "p1", "e", true)
	reportFromPeer(table, start, "p2", "e", true)
	table.ExpirePeers(start.Add(peerLoadTimeout + 1))
	must.False(t, table.View(start.Add(peerLoadTimeout+1), "e", nil).UnreachableFromPeers)
}

// Guards against an idle endpoint whose connection failure isn't reported to
// peers, and against reporting it after the backoff has ended.
func TestUnreachableEndpointIsReported(t *testing.T) {
	table := NewTable(50)
	table.StartAttempt(start, "e", prompt.Cost{UnsharedTokens: 100}, 0).End(start, ConnectFailed)
	must.Eq(t, map[string]Load{"e": {Unreachable: true}}, table.OwnLoads(start))
	must.False(t, table.View(start, "e", nil).Usable)
	later := start.Add(initialBackoff)
	must.MapEmpty(t, table.OwnLoads(later))
	must.True(t, table.View(later, "e", nil).Usable)
}

// Guards against sums over peers that become wrong when a report replaces another.
func TestPeerReportReplacesPreviousLoads(t *testing.T) {
	table := NewTable(50)
	for i := range 5 {
		load := []PeerLoad{{Hash("e"), Load{Pending: int64(100 * i), Running: i, Unreachable: i%2 == 1}}}
		must.True(t, table.ApplyPeerReport(start, "p", uint64(i+1), load))
	}
	must.False(t, table.ApplyPeerReport(start, "p", 2, nil), must.Sprint("an outdated report"))
	v := table.View(start, "e", nil)
	must.Eq(t, 400, v.Pending)
	must.Eq(t, 4, v.Running)
	must.True(t, table.ApplyPeerReport(start, "p", 6, nil))
	must.MapEmpty(t, table.peerLoads)
}

// Guards against assuming that a restarted engine still has parts cached.
func TestRestartClearsCachedParts(t *testing.T) {
	table := NewTable(50)
	shared := []prompt.Part{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 300}}
	table.SetStartTime("e", start)
	table.StartAttempt(start, "e", prompt.Cost{SharedParts: shared}, 0).End(start, Succeeded)
	must.Eq(t, 0, table.View(start, "e", shared).UncachedTokens)
	must.Eq(t, 40, table.View(start, "e", append(shared[:1:1], prompt.Part{Key: 9, Tokens: 40})).UncachedTokens)
	table.SetStartTime("e", start)
	must.Eq(t, 0, table.View(start, "e", shared).UncachedTokens)
	table.SetStartTime("e", start.Add(time.Second))
	must.Eq(t, 800, table.View(start, "e", shared).UncachedTokens)
}

// Guards against new requests to an endpoint that has stopped sending bytes while
// requests are in progress.
func TestStalledEndpointIsUnusable(t *testing.T) {
	table := NewTable(50)
	attempt := table.StartAttempt(start, "e", prompt.Cost{UnsharedTokens: 10}, 0)
	must.True(t, table.View(start.Add(stallTimeout), "e", nil).Usable)
	late := start.Add(stallTimeout + 1)
	must.False(t, table.View(late, "e", nil).Usable)
	attempt.RecordReceived(late)
	must.True(t, table.View(late, "e", nil).Usable)
}

// Guards against the time that this router needs to connect, which counts as silence of the
// endpoint.
func TestAttemptIsNotStalledBeforeItWasSent(t *testing.T) {
	table := NewTable(40)
	a := table.StartAttempt(start, "e", prompt.Cost{}, 0)
	must.False(t, a.Stalled(start.Add(time.Minute)))
	sent := start.Add(2 * time.Second)
	a.RecordSent(sent)
	must.False(t, a.Stalled(sent.Add(stallTimeout)))
	must.True(t, table.View(sent.Add(stallTimeout), "e", nil).Usable)
	must.True(t, a.Stalled(sent.Add(stallTimeout+time.Millisecond)))
	other := table.StartAttempt(sent.Add(stallTimeout), "e", prompt.Cost{}, 0)
	other.RecordSent(sent.Add(stallTimeout))
	must.False(t, other.Stalled(sent.Add(2*stallTimeout)), must.Sprint("it has had this request for a shorter time"))
}
