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
	m := &testPeer{address: conn.LocalAddr().String()}
	topics := map[follow.Topic]*mirror.Topic{follow.Configuration: mirror.NewTopic(), follow.Endpoints: mirror.NewTopic()}
	m.Mesh = mesh.New(instance, m.address, conn,
		dispatch.New("z", registry.NewTable(), placement.DefaultPolicy(), retry.DefaultLimits()),
		mesh.LocalState{
			ConfigVersion: func() uint64 { return 1 },
			Mirror:        func(topic follow.Topic) *mirror.Topic { return topics[topic] },
			ReadsStore:    func() bool { return true },
			OutOfRotation: m.out.Load,
		}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	go func() { _ = m.Send(t.Context()) }()
	go func() { _ = m.Receive(t.Context()) }()
	return m
}

func waitForRotation(t *testing.T, m *testPeer, want overload.PeerCounts) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return m.Rotation() == want }),
		wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against a rotation state that does not reach the peers. The fraction of
// a fleet that may be out of rotation is limited; without their peers' state,
// more routers would leave than that.
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
