package mesh_test

import (
	"errors"
	"log/slog"
	"net"
	"net/http/httptest"
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
	topics     map[follow.Topic]*mirror.Topic
	streams    streams
	reads      atomic.Bool
	version    atomic.Uint64
}

// listenBoth listens on a port that is free for UDP and for TCP. A port that the kernel
// chooses for one of them may be in use for the other.
func listenBoth(t *testing.T) (*net.UDPConn, net.Listener) {
	t.Helper()
	const maxAttempts = 50
	for range maxAttempts {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		must.NoError(t, err)
		listener, err := net.Listen("tcp4", conn.LocalAddr().String())
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn, listener
		}
		_ = conn.Close()
	}
	t.Fatal("no port is free for both UDP and TCP")
	return nil, nil
}

func newTestPeer(t *testing.T, instance string) *testPeer {
	t.Helper()
	conn, listener := listenBoth(t)
	p := &testPeer{
		address:    conn.LocalAddr().String(),
		dispatcher: dispatch.New("z", registry.NewTable(), placement.DefaultPolicy(), retry.DefaultLimits()),
	}
	p.topics = map[follow.Topic]*mirror.Topic{follow.Configuration: mirror.NewTopic(), follow.Endpoints: mirror.NewTopic()}
	p.version.Store(1)
	p.reads.Store(true)
	p.Mesh = mesh.New(instance, conn.LocalAddr().(*net.UDPAddr).AddrPort(), conn,
		p.dispatcher,
		mesh.LocalState{
			ConfigVersion: p.version.Load,
			Mirror:        func(topic follow.Topic) *mirror.Topic { return p.topics[topic] },
			ReadsStore:    p.reads.Load,
			OutOfRotation: p.out.Load,
			Streams:       func() mesh.Streams { return &p.streams },
		}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	go func() { _ = p.Send(t.Context()) }()
	go func() { _ = p.SendCrashes(t.Context()) }()
	go func() { _ = p.SendLimits(t.Context()) }()
	go func() { _ = p.Receive(t.Context()) }()
	fleet := httptest.NewUnstartedServer(p.Handler())
	must.NoError(t, fleet.Listener.Close())
	fleet.Listener = listener
	fleet.Start()
	t.Cleanup(fleet.Close)
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
		wait.BoolFunc(func() bool { return p.dispatcher.Quarantine(time.Now(), cost, 0) != nil }),
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
	must.Nil(t, b.dispatcher.Quarantine(time.Now(), prompt.Parse("5c:800,e4:250", "", ""), 0))

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
	must.NotNil(t, b.dispatcher.Quarantine(time.Now(), cost, 0))
	a.dispatcher.MergeCrashFacts(time.Now(), facts)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return b.dispatcher.Quarantine(time.Now(), cost, 0) == nil }),
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

// fetch waits until a peer of p has records of the topic beyond those of p and returns them.
func fetch(t *testing.T, p *testPeer, topic follow.Topic) mirror.Batch {
	t.Helper()
	var batch mirror.Batch
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		var found bool
		var err error
		if batch, found, err = p.Records(t.Context(), topic, p.topics[topic].Position()); err == nil && !found {
			return errors.New("no peer has newer records")
		}
		return err
	}), wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
	return batch
}

func configBatch(era, next int64, revision uint64) mirror.Batch {
	r := mirror.Record{Key: "config", Value: []byte{byte(revision)}, Offset: next - 1, Revision: revision}
	return mirror.Batch{Records: []mirror.Record{r}, End: mirror.Position{Era: era, Next: next}, Complete: true}
}

// Guards against a router that serves an older configuration, from a store that was
// restored from a copy, while its peers have the newer one: it would compare offsets only.
func TestNewerConfigurationIsFetchedAcrossRestoration(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	for _, batch := range []mirror.Batch{configBatch(1, 5, 9), configBatch(2, 2, 4)} {
		_, err := a.topics[follow.Configuration].Apply(batch)
		must.NoError(t, err)
	}
	a.version.Store(9)
	_, err := b.topics[follow.Configuration].Apply(configBatch(2, 2, 4))
	must.NoError(t, err)
	b.version.Store(4)
	b.Add(a.address)
	batch := fetch(t, b, follow.Configuration)
	must.Len(t, 1, batch.Records)
	must.Eq(t, []byte{9}, batch.Records[0].Value)

	// A peer that has not noticed the restoration has it, too.
	c := newTestPeer(t, "c")
	_, err = c.topics[follow.Configuration].Apply(configBatch(1, 5, 9))
	must.NoError(t, err)
	c.version.Store(9)
	d := newTestPeer(t, "d")
	_, err = d.topics[follow.Configuration].Apply(configBatch(2, 2, 4))
	must.NoError(t, err)
	d.version.Store(4)
	d.Add(c.address)
	must.Eq(t, []byte{9}, fetch(t, d, follow.Configuration).Records[0].Value)
}

// Guards against records of the era before the restoration being taken for those of the
// present one: a router that doesn't reach the store needs all of a peer's records.
func TestRecordsOfLaterEraAreFetchedCompletely(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	entry := func(key string, offset int64) mirror.Record {
		return mirror.Record{Key: key, Value: []byte("x"), Offset: offset}
	}
	_, err := a.topics[follow.Endpoints].Apply(mirror.Batch{
		Records: []mirror.Record{entry("kept", 1), entry("new", 3)}, End: mirror.Position{Era: 2, Next: 4}, Complete: true})
	must.NoError(t, err)
	_, err = b.topics[follow.Endpoints].Apply(mirror.Batch{
		Records: []mirror.Record{entry("kept", 1), entry("lost", 7)}, End: mirror.Position{Era: 1, Next: 8}, Complete: true})
	must.NoError(t, err)
	b.Add(a.address)
	batch := fetch(t, b, follow.Endpoints)
	must.True(t, batch.Complete)
	must.Len(t, 2, batch.Records)
	change, err := b.topics[follow.Endpoints].Apply(batch)
	must.NoError(t, err)
	must.True(t, change.Restored)
	must.Eq(t, mirror.Position{Era: 2, Next: 4}, b.topics[follow.Endpoints].Position())
}

// Guards against an endpoint to which routers go on sending after it has left, because a peer that has just
// listed the endpoints doesn't know of the removal; and against one that they remove because the listing of
// that peer holds a record of it after its end.
func TestPeerThatHasListedTheEndpointsIsAsked(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	entry := func(key string, offset int64) mirror.Record {
		return mirror.Record{Key: key, Value: []byte("x"), Offset: offset}
	}
	_, err := b.topics[follow.Endpoints].Apply(mirror.Batch{
		Records: []mirror.Record{entry("left", 1), entry("restarted", 2)}, End: mirror.Position{Era: 1, Next: 4}, Complete: true})
	must.NoError(t, err)
	_, err = a.topics[follow.Endpoints].Apply(mirror.Batch{
		Records: []mirror.Record{entry("restarted", 11)}, End: mirror.Position{Era: 1, Next: 9}, Complete: true})
	must.NoError(t, err)
	b.Add(a.address)
	change, err := b.topics[follow.Endpoints].Apply(fetch(t, b, follow.Endpoints))
	must.NoError(t, err)
	must.Len(t, 2, change.Applied)
	for key, removed := range map[string]bool{"left": true, "restarted": false} {
		r, ok := b.topics[follow.Endpoints].Lookup(key)
		must.True(t, ok)
		must.Eq(t, removed, r.IsTombstone(), must.Sprint(key))
	}
}
