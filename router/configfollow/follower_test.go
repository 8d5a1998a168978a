package configfollow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
	"github.com/acaciaspar/acaciaspar/transport/logclient/logtest"
)

// waitTimeout bounds the wait for a condition. It is long because no test
// depends on timing.
const waitTimeout = 30 * time.Second

// faultyLog forwards requests to the log, fails them or doesn't reply to them.
type faultyLog struct {
	mu           sync.Mutex
	failing      bool
	unresponsive bool
	log          http.Handler
}

func (l *faultyLog) setFailing(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = failing
}

func (l *faultyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	failing, unresponsive := l.failing, l.unresponsive
	l.mu.Unlock()
	if unresponsive {
		<-r.Context().Done()
		return
	}
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	l.log.ServeHTTP(w, r)
}

type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buffer.String(), text)
}

// node is a router that only follows and serves the configuration.
type node struct {
	fleetpb.Control
	fleetpb.Owner
	clients   *fleetrpc.ClientPool
	follower  *Follower
	store     *configstore.Store
	address   string
	faultyLog *faultyLog
	logs      *logBuffer
}

func (n *node) FetchConfig(ctx context.Context, r *fleetpb.FetchConfigRequest) (*fleetpb.FetchConfigReply, error) {
	return n.follower.FetchConfig(ctx, r)
}

func (n *node) FindOwner(context.Context, *fleetpb.OwnerRequest) (*fleetpb.OwnerReply, error) {
	return &fleetpb.OwnerReply{Sender: n.clients.Sender()}, nil
}

type nodeOptions struct {
	failing         bool
	unresponsive    bool
	appendSnapshots bool
	snapshotEvery   int
	peers           []*node
	fleet           string
}

func startNode(t *testing.T, log *logtest.Log, o nodeOptions) *node {
	t.Helper()
	n := &node{store: configstore.New(), logs: &logBuffer{}, faultyLog: &faultyLog{log: log, failing: o.failing, unresponsive: o.unresponsive}}
	if o.snapshotEvery == 0 {
		o.snapshotEvery = 1 << 30
	}
	if o.fleet == "" {
		o.fleet = "test"
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	n.address = listener.Addr().String()
	logServer := httptest.NewServer(n.faultyLog)
	t.Cleanup(logServer.Close)
	client := fleethttp.NewClient(nil)
	clients := fleetrpc.NewClientPool(fleetrpc.Identity{Fleet: o.fleet, Address: n.address}, n.store, client, "http")
	n.clients = clients
	n.follower = New(Options{
		Store: n.store, Log: logclient.New(logServer.URL, logServer.Client()), Clients: clients,
		Peers: func() []string {
			var addresses []string
			for _, p := range o.peers {
				addresses = append(addresses, p.address)
			}
			return addresses
		},
		IsSnapshotWriter: func() bool { return o.appendSnapshots }, SnapshotEvery: o.snapshotEvery, SnapshotInterval: time.Hour,
		PollInterval: 5 * time.Millisecond,
		Logger:       slog.New(slog.NewJSONHandler(io.MultiWriter(n.logs, testWriter{t}), nil)),
		Metrics:      metrics.NewRegistry(),
	})
	mux := http.NewServeMux()
	mux.Handle(fleetpb.ControlPathPrefix, fleetpb.NewControlServer(n))
	mux.Handle(fleetpb.OwnerPathPrefix, fleetpb.NewOwnerServer(n))
	server := fleethttp.NewServer(mux, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = n.follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		group.Wait()
		client.CloseIdleConnections()
	})
	return n
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

func (n *node) waitForVersion(t *testing.T, version uint64) {
	t.Helper()
	eventually(t, func() bool { return n.store.Current() != nil && n.store.Version() >= version })
	must.Eq(t, version, n.store.Version())
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(waitTimeout), wait.Gap(2*time.Millisecond)))
}

// operator publishes configurations and derives the state as an operator's tool
// does.
type operator struct {
	state *publication.State
	counter
}

type counter struct{ n int }

func (o *operator) publish(t *testing.T, log *logtest.Log, teams int) {
	t.Helper()
	var all []objects.Object
	for i := range teams {
		all = append(all, &objects.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	all = append(all, &objects.Service{Name: "desk", Type: objects.PlainService, DefaultCost: 1, MaxCost: 1},
		&objects.Endpoint{Name: "desk-1", Service: "desk", Zone: "patan", Slots: 1, Fencing: objects.FencingIgnored})
	o.n++
	p := o.state.Propose(fmt.Sprintf("%032x", o.n), "mira", time.Now(), objects.NewSet(all...))
	raw, err := p.Encode()
	must.NoError(t, err)
	// The offset may follow records that the operator hasn't applied.
	offset := log.Append(raw)
	must.Eq(t, publication.Accepted, o.state.Apply(offset, raw).Outcome)
}

func newOperator() *operator { return &operator{state: publication.NewState()} }

// Guards against routers with different configurations, and against missing
// lines in the audit trail.
func TestFollowsLog(t *testing.T) {
	log := &logtest.Log{}
	a := startNode(t, log, nodeOptions{})
	a.waitForVersion(t, 0)
	op := newOperator()
	op.publish(t, log, 1)
	log.Append([]byte("junk"))
	stale, err := publication.NewState().Propose(fmt.Sprintf("%032x", 77), "tess", time.Now(), objects.NewSet(&objects.Team{Name: "z"})).Encode()
	must.NoError(t, err)
	log.Append(stale)
	op.publish(t, log, 2)
	b := startNode(t, log, nodeOptions{})
	for _, n := range []*node{a, b} {
		n.waitForVersion(t, 2)
		must.Eq(t, op.state.Hash, n.store.Current().Hash)
		eventually(t, func() bool { return n.logs.count(`"verdict":"accepted"`) == 2 })
		must.Eq(t, 1, n.logs.count(`"verdict":"refused"`))
	}
}

// Guards against a router that can't start or advance without the log, and
// against applying a record twice after the configuration was fetched from a peer.
func TestFetchesConfigurationFromPeers(t *testing.T) {
	log := &logtest.Log{}
	op := newOperator()
	op.publish(t, log, 1)
	a := startNode(t, log, nodeOptions{})
	a.waitForVersion(t, 1)
	b := startNode(t, log, nodeOptions{failing: true, peers: []*node{a}})
	b.waitForVersion(t, 1)
	op.publish(t, log, 3)
	op.publish(t, log, 2)
	a.waitForVersion(t, 3)
	b.store.Observe(3)
	b.waitForVersion(t, 3)
	must.Eq(t, op.state.Hash, b.store.Current().Hash)
	b.faultyLog.setFailing(false)
	op.publish(t, log, 5)
	b.waitForVersion(t, 4)
	must.Eq(t, op.state.Hash, b.store.Current().Hash)
	must.Eq(t, 0, b.logs.count(`"verdict":"refused"`))
}

// Guards against a restarted router that adopts the configuration of the first
// peer that replies although another peer uses a higher version.
func TestRestartAdoptsHighestPeerVersion(t *testing.T) {
	log := &logtest.Log{}
	op := newOperator()
	op.publish(t, log, 1)
	var peers []*node
	for range 8 {
		behind := startNode(t, log, nodeOptions{})
		behind.waitForVersion(t, 1)
		behind.faultyLog.setFailing(true)
		peers = append(peers, behind)
	}
	op.publish(t, log, 2)
	op.publish(t, log, 3)
	ahead := startNode(t, log, nodeOptions{})
	ahead.waitForVersion(t, 3)
	for range 5 {
		restarted := startNode(t, log, nodeOptions{failing: true, peers: append(peers, ahead)})
		eventually(t, func() bool { return restarted.store.Current() != nil })
		must.Eq(t, 3, restarted.store.Version())
	}
}

// Guards against a router that waits for an unresponsive log although a peer has
// the configuration.
func TestFetchesFromPeerWhileLogIsUnresponsive(t *testing.T) {
	log := &logtest.Log{}
	op := newOperator()
	op.publish(t, log, 1)
	a := startNode(t, log, nodeOptions{})
	b := startNode(t, log, nodeOptions{unresponsive: true, peers: []*node{a}})
	b.waitForVersion(t, 1)
	op.publish(t, log, 2)
	a.waitForVersion(t, 2)
	b.store.Observe(2)
	b.waitForVersion(t, 2)
	must.Eq(t, op.state.Hash, b.store.Current().Hash)
}

// Guards against a snapshot that isn't appended, and against readers that can't
// start or continue after the records before the snapshot have expired.
func TestSnapshotsReplaceExpiredRecords(t *testing.T) {
	log := &logtest.Log{}
	op := newOperator()
	disconnected := startNode(t, log, nodeOptions{})
	disconnected.waitForVersion(t, 0)
	disconnected.faultyLog.setFailing(true)
	snapshotWriter := startNode(t, log, nodeOptions{appendSnapshots: true, snapshotEvery: 3})
	for i := range 3 {
		op.publish(t, log, i+1)
	}
	snapshotWriter.waitForVersion(t, 3)
	eventually(t, func() bool { return log.End() == 4 })
	log.Expire(3)
	fresh := startNode(t, log, nodeOptions{})
	fresh.waitForVersion(t, 3)
	must.Eq(t, op.state.Hash, fresh.store.Current().Hash)
	disconnected.faultyLog.setFailing(false)
	disconnected.waitForVersion(t, 3)
	op.publish(t, log, 7)
	for _, n := range []*node{disconnected, snapshotWriter, fresh} {
		n.waitForVersion(t, 4)
		must.Eq(t, op.state.Hash, n.store.Current().Hash)
	}
}

// Guards against a router that returns to an older version, or stays behind
// although a peer has a newer one, after the records that it needs have expired
// without a snapshot.
func TestRecoversFromPeerWithoutSnapshot(t *testing.T) {
	log := &logtest.Log{}
	op := newOperator()
	op.publish(t, log, 1)
	ahead := startNode(t, log, nodeOptions{})
	disconnected := startNode(t, log, nodeOptions{peers: []*node{ahead}})
	disconnected.waitForVersion(t, 1)
	disconnected.faultyLog.setFailing(true)
	op.publish(t, log, 2)
	ahead.waitForVersion(t, 2)
	log.Expire(2)
	disconnected.faultyLog.setFailing(false)
	disconnected.waitForVersion(t, 2)
	op.publish(t, log, 3)
	disconnected.waitForVersion(t, 3)

	// The log loses its content.
	log.Reset(500)
	eventually(t, func() bool { return disconnected.logs.count("read configuration topic failed") > 0 })
	must.Eq(t, 3, disconnected.store.Version())
}

// Guards against a state that regresses to an older version, to an earlier
// offset of the log, or to different content of the same version.
func TestAdoptNeverRegresses(t *testing.T) {
	one := objects.NewSet(&objects.Team{Name: "one"})
	two := objects.NewSet(&objects.Team{Name: "two"})
	state := func(version uint64, set *objects.Set, next int64) *publication.State {
		return publication.Restore(version, set, next, nil)
	}
	for _, c := range []struct {
		have, offered *publication.State
		want          bool
	}{
		{nil, state(0, one, 0), true},
		{state(5, one, 9), state(6, two, 10), true},
		{state(5, one, 9), state(6, two, 8), false},
		{state(5, one, 9), state(4, two, 10), false},
		{state(5, one, 9), state(5, two, 10), false},
		{state(5, one, 9), state(5, one, 10), true},
		{state(5, one, 9), state(5, one, 9), false},
	} {
		f := New(Options{State: c.have})
		must.Eq(t, c.want, f.adopt(c.offered, nil))
		g := New(Options{State: c.have})
		must.Eq(t, c.want, g.adoptFromPeer(g.base(), c.offered, nil))
	}
}

// Guards against snapshots that are not appended before the retention ends, and
// against snapshots that are appended too often or from an old state.
func TestSnapshotDue(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		after   time.Duration
		prepare func(*Follower)
		want    bool
	}{
		"recent":          {after: time.Minute},
		"interval passed": {after: time.Hour, want: true},
		"many changes":    {after: time.Minute, prepare: func(f *Follower) { f.sinceSnapshot = 3 }, want: true},
		"not at the end":  {after: time.Hour, prepare: func(f *Follower) { f.atEnd = false }},
		"after a failure": {after: time.Hour, prepare: func(f *Follower) { f.nextSnapshot = start.Add(2 * time.Hour) }},
		"empty log":       {after: time.Hour, prepare: func(f *Follower) { f.state = publication.NewState() }},
		"no state":        {after: time.Hour, prepare: func(f *Follower) { f.state = nil }},
	} {
		state := publication.Restore(1, objects.NewSet(), 1, nil)
		f := New(Options{State: state, SnapshotEvery: 3, SnapshotInterval: time.Hour})
		f.atEnd, f.lastSnapshot = true, start
		if c.prepare != nil {
			c.prepare(f)
		}
		must.Eq(t, c.want, f.snapshotDue(start.Add(c.after)), must.Sprint(name))
	}
}

// Guards against adopting a configuration from a peer whose content doesn't match
// its hash or is invalid, and against serving another fleet.
func TestRepliesAreVerified(t *testing.T) {
	log := &logtest.Log{}
	op := newOperator()
	op.publish(t, log, 1)
	a := startNode(t, log, nodeOptions{})
	a.waitForVersion(t, 1)
	base := publication.NewState()
	fetch := func(version uint64, endpoint, fleet string) (*fleetpb.FetchConfigReply, error) {
		sender := a.follower.options.Clients.Sender()
		sender.Fleet = fleet
		return a.FetchConfig(context.Background(), &fleetpb.FetchConfigRequest{Sender: sender, FromVersion: version, Endpoint: endpoint})
	}
	_, err := fetch(0, "", "other")
	must.Error(t, err)
	reply, err := fetch(0, "", "test")
	must.NoError(t, err)
	state, changes, err := stateFromReply(base, reply)
	must.NoError(t, err)
	must.Eq(t, op.state.Hash, state.Hash)
	must.Len(t, 3, changes)
	reply.SetHash = base.Hash[:]
	_, _, err = stateFromReply(base, reply)
	must.ErrorContains(t, err, "stated hash")
	reply.Changes = nil
	reply.Objects = []byte(`[{"kind":"Share","name":"x","team":"t","service":"s","weight":1}]`)
	_, _, err = stateFromReply(base, reply)
	must.ErrorContains(t, err, "faults")

	reply, err = fetch(0, "desk-1", "test")
	must.NoError(t, err)
	endpointSet, err := objects.Decode(reply.Objects)
	must.NoError(t, err)
	must.Eq(t, 2, endpointSet.Size())
	reply, err = fetch(1, "", "test")
	must.NoError(t, err)
	must.Eq(t, 0, len(reply.Objects)+len(reply.Changes))
	must.Eq(t, 1, reply.NextOffset)
}

// Guards against changes that skip a version, and against unbounded memory.
func TestHistoryIsContiguousAndBounded(t *testing.T) {
	var h history
	deletion := []objects.Change{{Op: objects.OpDelete, Kind: objects.KindTeam, Name: "a"}}
	for v := range uint64(maxLists + 10) {
		h.add(v, v+1, deletion)
	}
	must.Len(t, maxLists, h.lists)
	_, ok := h.since(9)
	must.False(t, ok)
	changes, ok := h.since(10)
	must.True(t, ok)
	must.Len(t, maxLists, changes)
	h.add(5000, 5001, deletion)
	_, ok = h.since(10)
	must.False(t, ok)
	h.add(5001, 5002, []objects.Change{{Op: objects.OpPut, Object: make([]byte, maxHistoryBytes)}})
	must.Len(t, 0, h.lists)
	must.Eq(t, 0, h.bytes)
}

// Guards against crashes on a peer's reply, and against accepting a set that
// doesn't have the stated hash.
func FuzzReply(f *testing.F) {
	team := objects.NewSet(&objects.Team{Name: "a"})
	hash := team.Hash()
	changes, err := json.Marshal(objects.Diff(objects.NewSet(), team))
	must.NoError(f, err)
	f.Add(changes, []byte{}, hash[:])
	f.Add([]byte{}, team.Encode(), hash[:])
	f.Fuzz(func(t *testing.T, changes, fullSet, hash []byte) {
		reply := &fleetpb.FetchConfigReply{Version: 7, Changes: changes, Objects: fullSet, SetHash: hash, NextOffset: 9}
		state, _, err := stateFromReply(publication.NewState(), reply)
		if err == nil {
			rebuilt, err := objects.Decode(state.Set.Encode())
			must.NoError(t, err)
			must.Eq(t, state.Hash, rebuilt.Hash())
			must.Eq(t, string(hash), string(state.Hash[:]))
		}
	})
}
