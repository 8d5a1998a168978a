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
	address string
	out     atomic.Bool
}

func newTestPeer(t *testing.T, instance string) *testPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p := &testPeer{address: conn.LocalAddr().String()}
	topics := map[follow.Topic]*mirror.Topic{follow.Configuration: mirror.NewTopic(), follow.Endpoints: mirror.NewTopic()}
	p.Mesh = mesh.New(instance, conn.LocalAddr().(*net.UDPAddr).AddrPort(), conn,
		dispatch.New("z", registry.NewTable(), placement.DefaultPolicy(), retry.DefaultLimits()),
		mesh.LocalState{
			ConfigVersion: func() uint64 { return 1 },
			Mirror:        func(topic follow.Topic) *mirror.Topic { return topics[topic] },
			ReadsStore:    func() bool { return true },
			OutOfRotation: p.out.Load,
		}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	go func() { _ = p.Send(t.Context()) }()
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
