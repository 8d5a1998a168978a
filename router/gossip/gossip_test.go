package gossip

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/membership"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/hostlist"
)

// network connects routers in memory. Messages between partitions get no reply
// until they time out.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// partition holds the number of each router's partition, by address.
	partition map[string]int
}

type memoryTransport struct {
	net  *network
	from string
}

func (t memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.net.mu.Lock()
	h := t.net.handlers[r.URL.Host]
	partitioned := t.net.partition[t.from] != t.net.partition[r.URL.Host]
	t.net.mu.Unlock()
	if h == nil || partitioned {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

type node struct {
	*Gossip
	stop func()
}

func (n *network) start(address, instance string, configure func(o *Options)) *node {
	hc := &http.Client{Transport: memoryTransport{n, address}}
	id := fleetrpc.Identity{Fleet: "f", Address: address, Instance: instance, Zone: "z"}
	opts := Options{
		Clients: fleetrpc.NewClientPool(id, configstore.New(), hc, "http"),
		Seeds:   []string{"127.0.0.1:1", "127.0.0.1:2"},
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if configure != nil {
		configure(&opts)
	}
	g := New(opts)
	n.mu.Lock()
	n.handlers[address] = fleetpb.NewMembersServer(g)
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	return &node{g, func() {
		n.mu.Lock()
		delete(n.handlers, address)
		n.mu.Unlock()
		cancel()
		<-done
	}}
}

func newNetwork() *network {
	return &network{handlers: map[string]http.Handler{}, partition: map[string]int{}}
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", i) }

func startNodes(n *network, count int) []*node {
	var nodes []*node
	for i := 1; i <= count; i++ {
		nodes = append(nodes, n.start(address(i), fmt.Sprint("instance", i), nil))
	}
	return nodes
}

func stopNodes(nodes []*node) {
	for _, nd := range nodes {
		nd.stop()
	}
}

func mustAgreeOnOwner(t *testing.T, nodes []*node) string {
	t.Helper()
	owner := nodes[0].Owner("svc")
	for _, nd := range nodes {
		must.Eq(t, owner, nd.Owner("svc"))
	}
	return owner
}

// Guards against routers that don't discover each other through seeds, don't
// detect a failure or don't accept a restarted router as a member.
func TestJoinFailureAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := startNodes(n, 1)
		defer func() { stopNodes(nodes) }()
		synctest.Wait()
		must.Eq(t, address(1), nodes[0].Owner("svc"), must.Sprint("the only router owns every service"))
		must.Len(t, 0, nodes[0].Live())
		for i := 2; i <= 6; i++ {
			nodes = append(nodes, n.start(address(i), fmt.Sprint("instance", i), nil))
		}
		time.Sleep(10 * time.Second)
		for _, nd := range nodes {
			must.Len(t, 5, nd.Live())
		}
		mustAgreeOnOwner(t, nodes)

		changed := nodes[0].Changed()
		nodes[5].stop()
		time.Sleep(15 * time.Second)
		<-changed
		for _, nd := range nodes[:5] {
			must.Len(t, 4, nd.Live())
		}
		nodes[5] = n.start(address(6), "second", nil)
		time.Sleep(15 * time.Second)
		for _, nd := range nodes[:5] {
			must.SliceContains(t, nd.Live(), address(6))
		}
		for _, m := range nodes[0].Members() {
			must.Eq(t, membership.Alive, m.State)
			must.True(t, m.Address != address(6) || m.Instance == "second")
		}
		mustAgreeOnOwner(t, nodes)
	})
}

// Guards against routers that don't merge after a network partition, and against
// a partition without an owner.
func TestMembersMergeAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := startNodes(n, 6)
		defer func() { stopNodes(nodes) }()
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		for i := 4; i <= 6; i++ {
			n.partition[address(i)] = 1
		}
		n.mu.Unlock()
		time.Sleep(time.Hour)
		mustAgreeOnOwner(t, nodes[:3])
		mustAgreeOnOwner(t, nodes[3:])
		must.Len(t, 2, nodes[0].Live())
		must.Len(t, 2, nodes[5].Live())
		n.mu.Lock()
		clear(n.partition)
		n.mu.Unlock()
		time.Sleep(time.Minute)
		for _, nd := range nodes {
			must.Len(t, 5, nd.Live())
		}
		mustAgreeOnOwner(t, nodes)
	})
}

// Guards against a leaving router that stays the owner until its state has
// spread by regular gossip. A router leaves after a call of Leave or when the
// host list marks it as leaving.
func TestLeaveChangesOwnerImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := startNodes(n, 5)
		defer func() { stopNodes(nodes) }()
		list := func(context.Context) ([]hostlist.Host, error) {
			return []hostlist.Host{
				{Address: address(1), Role: "router"},
				{Address: address(9), Role: "router", Leaving: true},
			}, nil
		}
		listed := n.start(address(9), "instance9", func(o *Options) { o.HostList, o.Seeds = list, nil })
		nodes = append(nodes, listed)
		time.Sleep(10 * time.Second)
		must.True(t, listed.Leaving())
		must.SliceNotContains(t, nodes[0].Live(), address(9))
		var leaving *node
		owner := mustAgreeOnOwner(t, nodes)
		for _, nd := range nodes {
			if nd.self == owner {
				leaving = nd
			}
		}
		leaving.Leave()
		// Shorter than a ping interval: Leave notifies all members at once.
		time.Sleep(membership.PingInterval / 2)
		must.NotEq(t, owner, mustAgreeOnOwner(t, nodes))
	})
}

// Guards against messages of another fleet that change the membership table.
func TestOtherFleetIsRefused(t *testing.T) {
	n := newNetwork()
	g := n.start(address(1), "i", nil)
	defer g.stop()
	_, err := g.Ping(t.Context(), &fleetpb.PingRequest{
		Sender: &fleetpb.Sender{Fleet: "other", Address: address(2), Protocol: fleetrpc.ProtocolVersion},
		Updates: []*fleetpb.MemberUpdate{
			{Address: address(2), Instance: "x", Incarnation: 1, State: fleetpb.MemberState_MEMBER_STATE_ALIVE},
		},
	})
	must.ErrorContains(t, err, "fleet")
	must.SliceEmpty(t, g.Live())
}
