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

// network connects routers in memory. Messages across a cut stay without an
// answer until their time limit.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// side numbers the parts of a partition, by address.
	side map[string]int
}

type link struct {
	net  *network
	from string
}

func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.net.mu.Lock()
	h := l.net.handlers[r.URL.Host]
	cut := l.net.side[l.from] != l.net.side[r.URL.Host]
	l.net.mu.Unlock()
	if h == nil || cut {
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

func (n *network) start(address, instance string, change func(o *Options)) *node {
	hc := &http.Client{Transport: link{n, address}}
	id := fleetrpc.Identity{Fleet: "f", Address: address, Instance: instance, Zone: "z"}
	opts := Options{
		Caller: fleetrpc.NewCaller(id, configstore.New(), hc, "http"),
		Seeds:  []string{"127.0.0.1:1", "127.0.0.1:2"},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if change != nil {
		change(&opts)
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
	return &network{handlers: map[string]http.Handler{}, side: map[string]int{}}
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", i) }

func startAll(n *network, count int) []*node {
	var nodes []*node
	for i := 1; i <= count; i++ {
		nodes = append(nodes, n.start(address(i), fmt.Sprint("instance", i), nil))
	}
	return nodes
}

func stopAll(nodes []*node) {
	for _, nd := range nodes {
		nd.stop()
	}
}

func sameOwner(t *testing.T, nodes []*node) string {
	t.Helper()
	owner := nodes[0].Owner("svc")
	for _, nd := range nodes {
		must.Eq(t, owner, nd.Owner("svc"))
	}
	return owner
}

// Guards against routers that don't find each other through seeds, don't
// notice a failure or don't take a restarted router back.
func TestJoinFailureAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := startAll(n, 6)
		defer func() { stopAll(nodes) }()
		must.Eq(t, address(1), nodes[0].Owner("svc"))
		time.Sleep(10 * time.Second)
		for _, nd := range nodes {
			must.Len(t, 5, nd.Live())
		}
		sameOwner(t, nodes)

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
		sameOwner(t, nodes)
	})
}

// Guards against a partition that doesn't heal, and against a side that has no owner.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := startAll(n, 6)
		defer func() { stopAll(nodes) }()
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		for i := 4; i <= 6; i++ {
			n.side[address(i)] = 1
		}
		n.mu.Unlock()
		time.Sleep(time.Hour)
		sameOwner(t, nodes[:3])
		sameOwner(t, nodes[3:])
		must.Len(t, 2, nodes[0].Live())
		must.Len(t, 2, nodes[5].Live())
		n.mu.Lock()
		clear(n.side)
		n.mu.Unlock()
		time.Sleep(time.Minute)
		for _, nd := range nodes {
			must.Len(t, 5, nd.Live())
		}
		sameOwner(t, nodes)
	})
}

// Guards against a leaving router that stays the owner until gossip has spread,
// whether it is told by a signal or by the host list.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := startAll(n, 5)
		defer func() { stopAll(nodes) }()
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
		owner := sameOwner(t, nodes)
		for _, nd := range nodes {
			if nd.self == owner {
				leaving = nd
			}
		}
		leaving.Leave()
		// Less than a period: the messages leave at once.
		time.Sleep(membership.PingInterval / 2)
		must.NotEq(t, owner, sameOwner(t, nodes))
	})
}

// Guards against messages of another fleet that change the table.
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
