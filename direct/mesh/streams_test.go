package mesh_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// streams implements mesh.Streams in memory.
type streams struct {
	mu           sync.Mutex
	news, merged []streamorigin.Origin
	// lease is what this router has read, merged what peers report.
	lease        streamorigin.Lease
	mergedLeases []streamorigin.Lease
	// acknowledged is what this router has acknowledged, peers what its peers have, by process.
	acknowledged mirror.Position
	peers        map[string]mirror.Position
}

func (s *streams) Acknowledged() mirror.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acknowledged
}

func (s *streams) MergeAcknowledged(_ time.Time, process string, position mirror.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]mirror.Position{}
	}
	s.peers[process] = position
}

func (s *streams) Lease() streamorigin.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

func (s *streams) MergeLease(l streamorigin.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergedLeases = append(s.mergedLeases, l)
}

func (s *streams) TakeNews(limit int) []streamorigin.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(limit, len(s.news))
	taken := s.news[:n]
	s.news = s.news[n:]
	return taken
}

func (s *streams) MergePeer(_ time.Time, origins []streamorigin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merged = append(s.merged, origins...)
}

func (s *streams) has(o streamorigin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.merged, o)
}

// Guards against a stream whose origin only its own router knows: if that router is killed, no
// other can continue the stream.
func TestOriginsOfStreamsReachPeers(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Add(b.address)
	waitForRotation(t, a, overload.PeerCounts{Live: 1})
	origin := streamorigin.Origin{Stream: streamorigin.StreamOf("id-1"), Build: streamorigin.BuildOf("engines", "v1")}
	a.streams.mu.Lock()
	a.streams.news = append(a.streams.news, origin)
	a.streams.mu.Unlock()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return b.streams.has(origin) }), wait.Timeout(20*time.Second)))
}

// Guards against a router that starts while the store is away and can begin no stream, because only
// the store could tell it the builds that need no saved origin, and against a peer's knowledge that
// counts as more recent than it is.
func TestImpliedBuildsReachPeers(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	route, build := streamorigin.RouteOf("shop.example", "/"), streamorigin.BuildOf("engines", "v1")
	readAt := time.Now()
	a.streams.mu.Lock()
	a.streams.lease = streamorigin.Lease{ReadAt: readAt, ImpliedBuilds: streamorigin.ImpliedBuilds{
		Era: 3, Of: map[streamorigin.Route]streamorigin.Implied{route: {Build: build, State: streamorigin.Settled, Since: 4}},
	}}
	a.streams.mu.Unlock()
	a.Add(b.address)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		b.streams.mu.Lock()
		defer b.streams.mu.Unlock()
		return slices.ContainsFunc(b.streams.mergedLeases, func(l streamorigin.Lease) bool {
			return l.Of[route] == streamorigin.Implied{Build: build}
		})
	}), wait.Timeout(20*time.Second)))
	b.streams.mu.Lock()
	defer b.streams.mu.Unlock()
	for _, l := range b.streams.mergedLeases {
		must.False(t, l.ReadAt.After(readAt))
	}
}

// Guards against an implied build that stays unsettled because what a router has read of the origins doesn't reach
// its peers.
func TestAcknowledgedPositionReachesPeers(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.streams.mu.Lock()
	a.streams.acknowledged = mirror.Position{Era: 3, Next: 17}
	a.streams.mu.Unlock()
	a.Add(b.address)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		b.streams.mu.Lock()
		defer b.streams.mu.Unlock()
		return b.streams.peers["a"] == mirror.Position{Era: 3, Next: 17}
	}), wait.Timeout(20*time.Second)))
}

// Guards against origins that nobody saves, or that all routers of a fleet save: two of those
// that read the store do, and another one takes over.
func TestTwoRoutersSaveOriginsOfStreams(t *testing.T) {
	peers := []*testPeer{newTestPeer(t, "a"), newTestPeer(t, "b"), newTestPeer(t, "c"), newTestPeer(t, "d")}
	savers := func() (list []*testPeer) {
		for _, p := range peers {
			if p.SavesStreams() {
				list = append(list, p)
			}
		}
		return list
	}
	for _, p := range peers {
		must.True(t, p.SavesStreams(), must.Sprint("a router that knows no other saves them"))
		for _, other := range peers {
			p.Add(other.address)
		}
	}
	saversAre := func(n int) {
		t.Helper()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(savers()) == n }), wait.Timeout(20*time.Second)))
	}
	saversAre(2)
	first := savers()[0]
	first.reads.Store(false)
	must.False(t, first.SavesStreams())
	saversAre(2)
	must.True(t, first.StoreIsRead(), must.Sprint("by peers"))
	for _, p := range peers {
		p.reads.Store(false)
	}
	saversAre(0)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return !slices.ContainsFunc(peers, func(p *testPeer) bool { return p.StoreIsRead() })
	}), wait.Timeout(20*time.Second)))
}
