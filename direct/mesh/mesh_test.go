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

// member is one router's part of a mesh.
type member struct {
	*mesh.Mesh
	address string
	out     atomic.Bool
}

func newMember(t *testing.T, instance string) *member {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	m := &member{address: conn.LocalAddr().String()}
	topics := map[follow.Topic]*mirror.Topic{follow.Configuration: mirror.NewTopic(), follow.Endpoints: mirror.NewTopic()}
	m.Mesh = mesh.New(instance, m.address, conn,
		dispatch.New("z", registry.NewTable(), placement.DefaultPolicy(), retry.DefaultLimits()),
		mesh.Versions{
			ConfigVersion: func() uint64 { return 1 },
			Mirror:        func(topic follow.Topic) *mirror.Topic { return topics[topic] },
			ReadsStore:    func() bool { return true },
			OutOfRotation: m.out.Load,
		}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	go func() { _ = m.Send(t.Context()) }()
	go func() { _ = m.Receive(t.Context()) }()
	return m
}

func eventually(t *testing.T, m *member, want overload.Fleet) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return m.Rotation() == want }),
		wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against routers that leave the rotation without the others knowing,
// so that more and more of them would leave.
func TestRotationOfPeersIsKnown(t *testing.T) {
	a, b, c := newMember(t, "a"), newMember(t, "b"), newMember(t, "c")
	a.Add(b.address, c.address)
	c.Add(b.address)
	eventually(t, a, overload.Fleet{Live: 2})
	eventually(t, c, overload.Fleet{Live: 2})
	b.out.Store(true)
	eventually(t, a, overload.Fleet{Live: 2, Out: 1})
	eventually(t, c, overload.Fleet{Live: 2, Out: 1})
	b.out.Store(false)
	eventually(t, a, overload.Fleet{Live: 2})
	c.Leave()
	eventually(t, a, overload.Fleet{Live: 2, Out: 1})
}
