package mesh

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

const (
	// minInterval is the shortest interval between two reports: endpoints
	// begin a request in some dozens of milliseconds.
	minInterval = 40 * time.Millisecond
	// intervalPerPeer stretches the interval, so that a router's cost for
	// reports doesn't grow with the fleet: at most 200 sent a second.
	intervalPerPeer = 5 * time.Millisecond
	// quietInterval is the interval while nothing changes.
	quietInterval = 400 * time.Millisecond
	// membersEvery is the number of reports of which one lists the members.
	membersEvery = 16
	// maxMembers bounds the addresses in one report.
	maxMembers = 64
	// maxPeers bounds the table of peers.
	maxPeers = 2048
	// silentAfter is the silence after which a peer gets reports rarely.
	silentAfter = 3 * time.Second
	// silentEvery is the number of reports of which one goes to silent peers.
	silentEvery = 16
	// forgetAfter is the silence after which a peer is dropped.
	forgetAfter = 60 * time.Second
	// countedFor is how long a silent peer still counts as sharing the retry
	// budget, whose window is 10 s.
	countedFor = 12 * time.Second
	// maxDatagram is the largest report, in bytes.
	maxDatagram = 60000
	// fetchTimeout bounds a call to a peer.
	fetchTimeout = time.Second
)

// Mesh is safe for use by several goroutines. Its mutex is never held during
// I/O or while others are taken.
type Mesh struct {
	instance   string
	address    string
	dispatcher *dispatch.Dispatcher
	versions   Versions
	log        *slog.Logger
	conn       *net.UDPConn
	client     *http.Client
	sent       metrics.Counter
	sentBytes  metrics.Counter
	bad        metrics.Counter

	mu      sync.Mutex
	peers   map[string]*peer
	leaving bool
}

// Versions tells what this router knows.
type Versions struct {
	ConfigVersion func() uint64
	Mirror        func(follow.Topic) *mirror.Topic
	// ReadsStore reports whether this router reads the store itself now.
	ReadsStore func() bool
	// OutOfRotation reports whether this router takes no new connections.
	OutOfRotation func() bool
}

type peer struct {
	address *net.UDPAddr
	// learned is when the address became known, heard the latest report.
	learned, heard time.Time
	next           [2]int64
	readsStore     bool
	outOfRotation  bool
}

// New returns a mesh that sends and receives on conn. address is where other
// routers reach it.
func New(instance, address string, conn *net.UDPConn, d *dispatch.Dispatcher, v Versions, log *slog.Logger, registry metrics.Registry) *Mesh {
	return &Mesh{
		instance: instance, address: address, conn: conn, dispatcher: d, versions: v, log: log,
		client:    &http.Client{Timeout: fetchTimeout},
		sent:      metrics.GetOrRegisterCounter("direct.reports_sent", registry),
		sentBytes: metrics.GetOrRegisterCounter("direct.report_bytes_sent", registry),
		bad:       metrics.GetOrRegisterCounter("direct.bad_reports", registry),
		peers:     map[string]*peer{},
	}
}

// Add makes addresses known.
func (m *Mesh) Add(addresses ...string) {
	now := time.Now()
	for _, a := range addresses {
		m.learn(now, a)
	}
}

func (m *Mesh) learn(now time.Time, address string) {
	if address == "" || address == m.address {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		m.bad.Inc(1)
		return
	}
	m.mu.Lock()
	_, known := m.peers[address]
	added := !known && len(m.peers) < maxPeers
	if added {
		m.peers[address] = &peer{address: net.UDPAddrFromAddrPort(parsed), learned: now}
	}
	m.mu.Unlock()
	if !added {
		return
	}
	m.log.Info("router learned", "address", address)
}

// Leave tells peers that this router takes no more work.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Live returns the number of peers heard lately.
func (m *Mesh) Live() int { return m.Rotation().Live }

// Rotation counts the peers heard lately and those of them that take no new
// connections.
func (m *Mesh) Rotation() overload.Fleet {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var fleet overload.Fleet
	for _, p := range m.peers {
		if now.Sub(p.heard) >= silentAfter {
			continue
		}
		fleet.Live++
		if p.outOfRotation {
			fleet.Out++
		}
	}
	return fleet
}

// Send sends reports until ctx ends.
func (m *Mesh) Send(ctx context.Context) error {
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	var sequence uint64
	var last time.Time
	busy := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		now := time.Now()
		report := m.dispatcher.Report(now)
		active := len(report.Loads) > 0
		if active || busy || now.Sub(last) >= quietInterval {
			sequence++
			m.broadcast(now, sequence, &report)
			last = now
		}
		busy = active
		timer.Reset(m.interval())
	}
}

func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minInterval, time.Duration(len(m.peers))*intervalPerPeer)
}

func (m *Mesh) broadcast(now time.Time, sequence uint64, report *dispatch.Report) {
	message := m.encode(sequence, report)
	targets, routers := m.targets(now, sequence)
	m.dispatcher.SetRouters(routers)
	if sequence%membersEvery == 1 {
		message.Members = m.members(now)
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagram {
		m.bad.Inc(1)
		m.log.Error("load report not sent", "bytes", len(data), "error", errText(err))
		return
	}
	for _, address := range targets {
		// A datagram that isn't sent is one that is lost; the next one replaces it.
		if _, err := m.conn.WriteToUDP(data, address); err != nil {
			continue
		}
		m.sent.Inc(1)
		m.sentBytes.Inc(int64(len(data)))
	}
}

func errText(err error) string {
	if err == nil {
		return "too large"
	}
	return err.Error()
}

// targets returns the addresses to send to and the number of routers that
// share budgets with this one. It drops peers that were silent for long.
func (m *Mesh) targets(now time.Time, sequence uint64) (targets []*net.UDPAddr, routers int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	routers = 1
	for address, p := range m.peers {
		silence := now.Sub(later(p.heard, p.learned))
		if silence > forgetAfter {
			delete(m.peers, address)
			continue
		}
		if now.Sub(p.heard) < countedFor {
			routers++
		}
		if silence < silentAfter || sequence%silentEvery == 1 {
			targets = append(targets, p.address)
		}
	}
	return targets, routers
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Mesh) members(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for address, p := range m.peers {
		if now.Sub(p.heard) < silentAfter && len(list) < maxMembers {
			list = append(list, address)
		}
	}
	return list
}

func (m *Mesh) encode(sequence uint64, report *dispatch.Report) *fleetpb.LoadReport {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	message := &fleetpb.LoadReport{
		Instance: m.instance, Address: m.address, Sequence: sequence, Leaving: leaving,
		ConfigVersion: m.versions.ConfigVersion(), ReadsStore: m.versions.ReadsStore(), OutOfRotation: m.versions.OutOfRotation(),
		ConfigNext:    m.versions.Mirror(follow.Configuration).Next(),
		EndpointsNext: m.versions.Mirror(follow.Endpoints).Next(),
	}
	for id, load := range report.Loads {
		message.Endpoints = append(message.Endpoints, &fleetpb.EndpointLoad{
			Endpoint: endpointload.Hash(id), PendingTokens: uint32(load.Pending), Running: uint32(load.Running),
			Unreachable: load.Unreachable,
		})
	}
	for name, usage := range report.Teams {
		message.Teams = append(message.Teams, &fleetpb.TeamUsage{
			Team: dispatch.TeamHash(name), AskedTokens: uint32(usage.Asked), StartedTokens: uint32(usage.Started),
		})
	}
	for _, p := range report.Placed {
		message.Placed = append(message.Placed, &fleetpb.PlacedPart{Endpoint: p.Endpoint, Part: p.Part})
	}
	return message
}

// Receive takes peers' reports until the socket is closed.
func (m *Mesh) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.SetReadDeadline(time.Now()) })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := m.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "receive load reports")
		}
		if err != nil {
			// For example a refusal of an earlier datagram; the socket still works.
			m.bad.Inc(1)
			continue
		}
		m.take(time.Now(), buffer[:n])
	}
}

func (m *Mesh) take(now time.Time, data []byte) {
	var report fleetpb.LoadReport
	if err := proto.Unmarshal(data, &report); err != nil || report.Instance == "" {
		m.bad.Inc(1)
		return
	}
	if report.Instance == m.instance {
		return
	}
	m.learn(now, report.Address)
	for _, address := range report.Members {
		m.learn(now, address)
	}
	m.mu.Lock()
	if p := m.peers[report.Address]; p != nil {
		p.heard = now
		p.next = [2]int64{report.ConfigNext, report.EndpointsNext}
		p.readsStore = report.ReadsStore && !report.Leaving
		p.outOfRotation = report.OutOfRotation || report.Leaving
	}
	m.mu.Unlock()
	m.dispatcher.Learn(now, decode(&report))
}

func decode(report *fleetpb.LoadReport) dispatch.PeerReport {
	r := dispatch.PeerReport{
		Instance: report.Instance, Sequence: report.Sequence,
		Loads: make(map[uint64]endpointload.Load, len(report.Endpoints)),
		Teams: make(map[uint64]fairshare.Usage, len(report.Teams)),
	}
	for _, e := range report.Endpoints {
		r.Loads[e.Endpoint] = endpointload.Load{Pending: int64(e.PendingTokens), Running: int(e.Running), Unreachable: e.Unreachable}
	}
	for _, t := range report.Teams {
		r.Teams[t.Team] = fairshare.Usage{Asked: int64(t.AskedTokens), Started: int64(t.StartedTokens)}
	}
	for _, p := range report.Placed {
		r.Placed = append(r.Placed, dispatch.Placed{Endpoint: p.Endpoint, Part: p.Part})
	}
	return r
}

// Records implements follow.Peers.
func (m *Mesh) Records(ctx context.Context, topic follow.Topic, next int64) ([]mirror.Record, int64, error) {
	address := m.ahead(topic, next)
	if address == "" {
		return nil, next, nil
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := fleetpb.NewMirrorProtobufClient("http://"+address, m.client)
	reply, err := client.FetchRecords(call, &fleetpb.RecordsRequest{Topic: wireTopic(topic), From: next})
	if err != nil {
		return nil, next, eris.Wrapf(err, "fetch records from %s", address)
	}
	records := make([]mirror.Record, 0, len(reply.Records))
	for _, r := range reply.Records {
		records = append(records, mirror.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return records, max(reply.Next, next), nil
}

const (
	// readers is the number of routers of a large fleet that read the store
	// for all. Two may fail at once.
	readers = 3
	// enoughReaders is the number of heard readers on which a router relies.
	enoughReaders = 2
	// smallFleet is the number of routers up to which all read the store.
	smallFleet = 8
	// readerSilence is the silence after which a router no longer relies on a
	// reader; reports come at least every 400 ms.
	readerSilence = time.Second
)

// Reader implements follow.Peers: whether this router should read the store
// itself. In a large fleet a few routers, the same ones in every router's view,
// read for all, since calls to the store are paid for.
func (m *Mesh) Reader() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := []string{m.address}
	reading := 0
	for address, p := range m.peers {
		if now.Sub(p.heard) > readerSilence {
			continue
		}
		fleet = append(fleet, address)
		if p.readsStore {
			reading++
		}
	}
	if len(fleet) <= smallFleet || reading < enoughReaders {
		return true
	}
	ranked := rendezvous.Rank(readersKey, fleet)
	return slices.Contains(ranked[:readers], m.address)
}

// readersKey is the rendezvous key of the readers of the store.
const readersKey = "store-readers"

// ahead returns one of the peers that know more than next, at random.
func (m *Mesh) ahead(topic follow.Topic, next int64) string {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []string
	for address, p := range m.peers {
		if p.next[topic] > next && now.Sub(p.heard) < silentAfter {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func wireTopic(topic follow.Topic) fleetpb.Topic {
	if topic == follow.Configuration {
		return fleetpb.Topic_TOPIC_CONFIGURATION
	}
	return fleetpb.Topic_TOPIC_ENDPOINTS
}
