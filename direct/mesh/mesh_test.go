package mesh_test

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/coordination/requestlimit"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/mesh"
	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// testPeer is the mesh of one router, with its address and rotation state.
type testPeer struct {
	*mesh.Mesh
	dispatcher *dispatch.Dispatcher
	address    string
	out        atomic.Bool
}

func newTestPeer(t *testing.T, instance string) *testPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p := &testPeer{
		address:    conn.LocalAddr().String(),
		dispatcher: dispatch.New("z", registry.NewTable(), placement.DefaultPolicy(), retry.DefaultLimits()),
	}
	topics := map[follow.Topic]*mirror.Topic{follow.Configuration: mirror.NewTopic(), follow.Endpoints: mirror.NewTopic()}
	p.Mesh = mesh.New(instance, conn.LocalAddr().(*net.UDPAddr).AddrPort(), conn,
		p.dispatcher,
		mesh.LocalState{
			ConfigVersion: func() uint64 { return 1 },
			Mirror:        func(topic follow.Topic) *mirror.Topic { return topics[topic] },
			ReadsStore:    func() bool { return true },
			OutOfRotation: p.out.Load,
		}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	go func() { _ = p.Send(t.Context()) }()
	go func() { _ = p.SendCrashes(t.Context()) }()
	go func() { _ = p.SendLimits(t.Context()) }()
	go func() { _ = p.Receive(t.Context()) }()
	return p
}

func waitForRotation(t *testing.T, p *testPeer, want overload.PeerCounts) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return p.Rotation() == want }),
		wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against a rotation state that does not reach the peers. Without their
// peers' state, more routers would leave the rotation at the same time than the
// limited fraction of the fleet.
func TestRotationStateReachesPeers(t *testing.T) {
	a, b, c := newTestPeer(t, "a"), newTestPeer(t, "b"), newTestPeer(t, "c")
	a.Add(b.address, c.address)
	c.Add(b.address)
	waitForRotation(t, a, overload.PeerCounts{Live: 2})
	waitForRotation(t, c, overload.PeerCounts{Live: 2})
	b.out.Store(true)
	waitForRotation(t, a, overload.PeerCounts{Live: 2, Out: 1})
	waitForRotation(t, c, overload.PeerCounts{Live: 2, Out: 1})
	b.out.Store(false)
	waitForRotation(t, a, overload.PeerCounts{Live: 2})
	c.Leave()
	waitForRotation(t, a, overload.PeerCounts{Live: 2, Out: 1})
}

func waitForQuarantine(t *testing.T, p *testPeer, cost prompt.Cost) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return p.dispatcher.Quarantine(time.Now(), cost) != nil }),
		wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against a part that crashes engines being known only to the routers that saw the
// crashes: the others, and routers that start later, would let it crash more of them.
func TestCrashingPartsReachPeers(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Add(b.address)
	waitForRotation(t, a, overload.PeerCounts{Live: 1})
	cost := prompt.Parse("5c:800,dead:10,e4:250", "", "")
	facts := quarantine.Facts{}
	for i := range uint32(2) {
		at := time.Now().Add(time.Duration(i) * time.Second)
		facts.Interrupted = append(facts.Interrupted, quarantine.Interrupted{Crash: i, At: at, Responding: true, Parts: cost.SharedIDs()})
	}
	a.dispatcher.MergeCrashFacts(time.Now(), facts)
	waitForQuarantine(t, b, cost)
	must.Nil(t, b.dispatcher.Quarantine(time.Now(), prompt.Parse("5c:800,e4:250", "", "")))

	c := newTestPeer(t, "c")
	c.Add(b.address)
	waitForQuarantine(t, c, cost)
}

// Guards against routers that refuse a sound part because they haven't served it
// themselves, although a peer has.
func TestServedPartsReachPeers(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Add(b.address)
	waitForRotation(t, a, overload.PeerCounts{Live: 1})
	cost := prompt.Parse("5c:800,dead:10,e4:250", "", "")
	facts := quarantine.Facts{Served: []quarantine.ServedPart{{Part: cost.SharedIDs()[0], At: time.Now()}}}
	for i := range uint32(2) {
		at := time.Now().Add(time.Duration(i) * time.Second)
		facts.Interrupted = append(facts.Interrupted, quarantine.Interrupted{Crash: i, At: at, Responding: true, Parts: cost.SharedIDs()[:1]})
	}
	unaware := facts
	unaware.Served = nil
	b.dispatcher.MergeCrashFacts(time.Now(), unaware)
	must.NotNil(t, b.dispatcher.Quarantine(time.Now(), cost))
	a.dispatcher.MergeCrashFacts(time.Now(), facts)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return b.dispatcher.Quarantine(time.Now(), cost) == nil }),
		wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against routers that send as before to an endpoint whose limit only a peer
// knows, and against a limit that they keep after it has ended.
func TestLimitsReachPeers(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Add(b.address)
	waitForRotation(t, a, overload.PeerCounts{Live: 1})
	waitForLimits := func(p *testPeer, n int) {
		must.Wait(t, wait.InitialSuccess(
			wait.BoolFunc(func() bool { return p.dispatcher.LimitedEndpoints() == n }),
			wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
	}
	limit := requestlimit.Limit{Endpoint: 7, Rate: 4.25, At: time.Now()}
	a.dispatcher.MergeLimits(time.Now(), "other", 1, []requestlimit.Limit{limit})
	waitForLimits(b, 1)
	limits, _ := b.dispatcher.Limits(time.Now())
	must.Eq(t, 4.25, limits[0].Rate)
	c := newTestPeer(t, "c")
	c.Add(b.address)
	waitForLimits(c, 1)
	ended := requestlimit.Limit{Endpoint: 7, Rate: requestlimit.NoLimit, At: time.Now().Add(time.Second)}
	a.dispatcher.MergeLimits(time.Now(), "other", 1, []requestlimit.Limit{ended})
	waitForLimits(b, 0)
	waitForLimits(c, 0)
}
