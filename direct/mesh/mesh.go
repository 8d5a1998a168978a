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

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/loadreport"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/transport/netaddress"
)

const (
	// minReportInterval is the shortest interval between two reports. Endpoints
	// take some dozens of milliseconds to start a request.
	minReportInterval = 40 * time.Millisecond
	// reportIntervalPerPeer lengthens the interval with the number of peers, so
	// that a router sends at most 200 datagrams a second in a fleet of any size.
	reportIntervalPerPeer = 5 * time.Millisecond
	// idleReportInterval is the interval while there is no load to report.
	idleReportInterval = 400 * time.Millisecond
	// minNewsDelay is the shortest delay of a report that is sent because of news from the store, and
	// newsDelayPerPeer lengthens it, so that a router sends at most 1,000 of them a second.
	minNewsDelay     = 20 * time.Millisecond
	newsDelayPerPeer = time.Millisecond
	// teamsInterval is the shortest interval between two reports with the usage of
	// teams, which is counted over a window of 4 s.
	teamsInterval = 250 * time.Millisecond
	// membersEvery is the period, in reports, at which a report lists the members. The report after a
	// peer was added lists them, too.
	membersEvery = 16
	// maxMembers bounds the addresses in one report.
	maxMembers = 64
	// maxPeers bounds the table of peers.
	maxPeers = 2048
	// inactiveAfter is the time without a report after which a peer counts as
	// inactive and is sent only some of the reports.
	inactiveAfter = 3 * time.Second
	// inactivePeerEvery is the period, in reports, at which inactive peers are
	// sent one.
	inactivePeerEvery = 16
	// evictAfter is the time without a report after which a peer is evicted.
	evictAfter = 60 * time.Second
	// silentAfter is the time without a report after which a peer no longer counts as running. The window of
	// the retry budget, 10 s, has passed then.
	silentAfter = 12 * time.Second
	// emptySocketWait is the duration of a read from which on the socket counts as
	// having been empty.
	emptySocketWait = time.Millisecond
	// receiveBatches is the number of times per report interval at which collected
	// reports are read. Their age grows by at most the inverse of it.
	receiveBatches = 8
	// maxReportedStreams bounds the streams in one report; further ones follow in the next.
	maxReportedStreams = 1024
	// maxDatagram bounds the size of a report, in bytes.
	maxDatagram = 60000
	// maxRecordsReply and maxRecordsRequest bound the messages of a fetch of records, in
	// bytes.
	maxRecordsReply   = 32 << 20
	maxRecordsRequest = 4 << 10
	// fetchTimeout bounds a request for a peer's records.
	fetchTimeout = time.Second
)

// Mesh exchanges load reports and records with peers. It is safe for use by
// several goroutines. Its mutex is never held during I/O or while other mutexes
// are taken.
type Mesh struct {
	instance        string
	address         netip.AddrPort
	dispatcher      *dispatch.Dispatcher
	local           LocalState
	log             *slog.Logger
	conn            *net.UDPConn
	client          *http.Client
	reportsSent     metrics.Counter
	reportBytesSent metrics.Counter
	badReports      metrics.Counter
	limiter         observability.LogLimiter

	// news wakes Send because peers should have a report without delay.
	news chan struct{}

	// teamsSentAt is the time of the latest report with teams; only Send uses it.
	teamsSentAt time.Time

	mu      sync.Mutex
	peers   map[string]*peer
	leaving bool
	// hasNewMembers is set if a peer was added since the latest report with the members.
	hasNewMembers bool
}

// LocalState gives access to this router's state for its reports and peers.
type LocalState struct {
	// ConfigVersion returns the version of the configuration in force, or 0.
	ConfigVersion func() uint64
	// Mirror returns the mirror of a topic.
	Mirror func(follow.Topic) *mirror.Topic
	// ReadsStore reports whether this router currently reads the store itself.
	ReadsStore func() bool
	// OutOfRotation reports whether this router is out of the load balancer's
	// rotation and gets no new connections.
	OutOfRotation func() bool
	// Streams returns the builds that began streams.
	Streams func() Streams
}

// Streams exchanges the builds that began streams with peers.
type Streams interface {
	// TakeNews returns up to limit origins that peers haven't been told.
	TakeNews(limit int) []streamorigin.Origin
	// MergePeer adds the origins that a peer reports.
	MergePeer(now time.Time, origins []streamorigin.Origin)
	// Lease returns the implied builds that were read from the store.
	Lease() streamorigin.Lease
	// MergeLease adds the implied builds that a peer has read from the store.
	MergeLease(l streamorigin.Lease)
	// Acknowledged returns the position up to which this process acknowledges to have read the origins.
	Acknowledged() mirror.Position
	// MergeAcknowledged records the position that a peer's process has acknowledged.
	MergeAcknowledged(now time.Time, process string, position mirror.Position)
}

type peer struct {
	address *net.UDPAddr
	// addedAt is when the peer was added, lastReport when its latest report was
	// received.
	addedAt, lastReport time.Time
	// ends holds, by topic, the position after the peer's newest record.
	ends [2]mirror.Position
	// configVersion is the version of the configuration in force at the peer.
	configVersion uint64
	readsStore    bool
	outOfRotation bool
	leaving       bool
}

// New returns a mesh that sends and receives reports on conn. instance
// identifies this router; address is the one at which peers reach it.
func New(instance string, address netip.AddrPort, conn *net.UDPConn, d *dispatch.Dispatcher, local LocalState, log *slog.Logger, registry metrics.Registry) *Mesh {
	d.SetInstance(instance)
	return &Mesh{
		instance: instance, address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), conn: conn, dispatcher: d, local: local, log: log,
		client:          &http.Client{Timeout: fetchTimeout, Transport: limitedTransport{http.DefaultTransport}},
		reportsSent:     metrics.GetOrRegisterCounter("direct.reports_sent", registry),
		reportBytesSent: metrics.GetOrRegisterCounter("direct.report_bytes_sent", registry),
		badReports:      metrics.GetOrRegisterCounter("direct.bad_reports", registry),
		peers:           map[string]*peer{},
		news:            make(chan struct{}, 1),
	}
}

// SendSoon makes Send send a report without waiting for its interval.
func (m *Mesh) SendSoon() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// Add adds the routers at addresses as peers. Invalid addresses are counted and
// ignored.
func (m *Mesh) Add(addresses ...string) {
	now := time.Now()
	for _, a := range addresses {
		m.addPeer(now, a)
	}
}

func (m *Mesh) addPeer(now time.Time, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if parsed == m.address {
		return
	}
	if err != nil || !netaddress.IsHost(parsed) {
		m.badReports.Inc(1)
		if m.limiter.Allow(now, address, "address") {
			m.log.Warn("invalid address of a peer ignored", "address", address)
		}
		return
	}
	address = parsed.String()
	m.mu.Lock()
	_, known := m.peers[address]
	added := !known && len(m.peers) < maxPeers
	if added {
		m.peers[address] = &peer{address: net.UDPAddrFromAddrPort(parsed), addedAt: now}
		m.hasNewMembers = true
	}
	m.mu.Unlock()
	if !added {
		return
	}
	m.log.Info("peer added", "address", address)
}

// Leave makes later reports state that this router accepts no more requests.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Live returns the number of peers that are not inactive.
func (m *Mesh) Live() int { return m.Rotation().Live }

// Rotation counts the live peers and those of them that are out of rotation.
func (m *Mesh) Rotation() overload.PeerCounts {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var counts overload.PeerCounts
	for _, p := range m.peers {
		if now.Sub(p.lastReport) >= inactiveAfter {
			continue
		}
		counts.Live++
		if p.outOfRotation {
			counts.Out++
		}
	}
	return counts
}

// Send sends load reports to peers until ctx is done and returns its error.
func (m *Mesh) Send(ctx context.Context) error {
	timer := time.NewTimer(minReportInterval)
	defer timer.Stop()
	var sequence uint64
	var lastSent time.Time
	wasActive, hasNews := false, false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-m.news:
			// Bounds the rate, and collects what becomes known at about the same time.
			time.Sleep(m.newsDelay())
			hasNews = true
		}
		now := time.Now()
		report := m.dispatcher.Report(now)
		active := len(report.Loads) > 0
		if active || wasActive || hasNews || now.Sub(lastSent) >= idleReportInterval {
			sequence++
			m.broadcast(now, sequence, &report)
			lastSent, hasNews = now, false
		}
		wasActive = active
		timer.Reset(m.reportInterval())
	}
}

func (m *Mesh) reportInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minReportInterval, time.Duration(len(m.peers))*reportIntervalPerPeer)
}

func (m *Mesh) newsDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minNewsDelay, time.Duration(len(m.peers))*newsDelayPerPeer)
}

func (m *Mesh) broadcast(now time.Time, sequence uint64, report *dispatch.Report) {
	message := m.encodeReport(now, sequence, report)
	targets, routers, budgetRouters := m.targets(now, sequence)
	m.dispatcher.SetRouters(routers, budgetRouters)
	m.dispatcher.SetFleet(now, m.fleetView(now))
	if hasNew := m.takeNewMembers(); hasNew || sequence%membersEvery == 1 {
		message.Members = m.members(now)
	}
	m.sendToPeers(message.Append(nil), targets)
}

func (m *Mesh) sendToPeers(data []byte, targets []*net.UDPAddr) {
	if len(data) > maxDatagram {
		m.badReports.Inc(1)
		m.log.Error("report not sent: too large", "bytes", len(data))
		return
	}
	for _, address := range targets {
		// A failed send is treated like a lost datagram; the next report replaces it.
		if _, err := m.conn.WriteToUDP(data, address); err != nil {
			continue
		}
		m.reportsSent.Inc(1)
		m.reportBytesSent.Inc(int64(len(data)))
	}
}

// targets returns the addresses to send a report to, the number of routers that run, including this one, and
// of those which may use the retry budget: a peer that is silent may run, cut off from this router, unless it
// said that it stops. It evicts peers that have sent no report for evictAfter.
func (m *Mesh) targets(now time.Time, sequence uint64) (targets []*net.UDPAddr, routers, budgetRouters int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	routers, budgetRouters = 1, 1
	for address, p := range m.peers {
		sinceContact := now.Sub(later(p.lastReport, p.addedAt))
		if sinceContact > evictAfter {
			delete(m.peers, address)
			continue
		}
		isHeard := now.Sub(p.lastReport) < silentAfter
		if isHeard {
			routers++
		}
		if isHeard || !p.leaving {
			budgetRouters++
		}
		if sinceContact < inactiveAfter || sequence%inactivePeerEvery == 1 {
			targets = append(targets, p.address)
		}
	}
	return targets, routers, budgetRouters
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeNewMembers reports whether a peer was added since its latest call.
func (m *Mesh) takeNewMembers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	hasNew := m.hasNewMembers
	m.hasNewMembers = false
	return hasNew
}

func (m *Mesh) members(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []netip.AddrPort
	for _, p := range m.peers {
		if now.Sub(p.lastReport) < inactiveAfter && len(list) < maxMembers {
			list = append(list, p.address.AddrPort())
		}
	}
	return list
}

func (m *Mesh) encodeReport(now time.Time, sequence uint64, report *dispatch.Report) *loadreport.Report {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	message := &loadreport.Report{
		Instance: m.instance, Address: m.address, Sequence: sequence, Leaving: leaving,
		ConfigVersion: m.local.ConfigVersion(), ReadsStore: m.local.ReadsStore(), OutOfRotation: m.local.OutOfRotation(),
		ConfigEnd:    loadreport.Position(m.local.Mirror(follow.Configuration).Position()),
		EndpointsEnd: loadreport.Position(m.local.Mirror(follow.Endpoints).Position()),
		OriginsEnd:   loadreport.Position(m.local.Streams().Acknowledged()),
		HasTeams:     now.Sub(m.teamsSentAt) >= teamsInterval,
	}
	for id, load := range report.Loads {
		message.Endpoints = append(message.Endpoints, loadreport.EndpointLoad{
			Endpoint: endpointload.Hash(id), PendingTokens: wireCount(load.Pending), Running: wireCount(int64(load.Running)),
			Unreachable: load.Unreachable,
		})
	}
	if message.HasTeams {
		m.teamsSentAt = now
		for name, usage := range report.Teams {
			message.Teams = append(message.Teams, loadreport.TeamUsage{
				Team: dispatch.TeamHash(name), RequestedTokens: wireCount(usage.Requested), StartedTokens: wireCount(usage.Started),
				BegunTokens: wireCount(usage.Begun),
			})
		}
		addLease(message, m.local.Streams().Lease())
	}
	for _, p := range report.Placed {
		message.Placed = append(message.Placed, loadreport.PlacedPart{Endpoint: p.Endpoint, Part: p.Part})
	}
	for _, o := range m.local.Streams().TakeNews(maxReportedStreams) {
		message.Streams = append(message.Streams, loadreport.StreamOrigin{Stream: uint64(o.Stream), Build: uint32(o.Build)})
	}
	return message
}

// addLease adds a lease of the implied builds to a report.
func addLease(message *loadreport.Report, l streamorigin.Lease) {
	now := time.Now()
	if !l.IsValid(now) {
		return
	}
	message.ImpliedAgeMs = uint64(now.Sub(l.ReadAt).Milliseconds()) + 1
	for route, i := range l.Of {
		message.Implied = append(message.Implied, loadreport.ImpliedBuild{Route: uint32(route), Build: uint32(i.Build)})
	}
}

// decodeLease returns the lease in a report that was sent after a time. Its builds don't count as
// settled, which only the store tells.
func decodeLease(report *loadreport.Report, sentAfter time.Time) streamorigin.Lease {
	if report.ImpliedAgeMs > uint64(streamorigin.LeaseDuration.Milliseconds()) {
		return streamorigin.Lease{}
	}
	l := streamorigin.Lease{
		ImpliedBuilds: streamorigin.ImpliedBuilds{Of: map[streamorigin.Route]streamorigin.Implied{}},
		ReadAt:        sentAfter.Add(-time.Duration(report.ImpliedAgeMs) * time.Millisecond),
	}
	for _, b := range report.Implied {
		l.Of[streamorigin.Route(b.Route)] = streamorigin.Implied{Build: streamorigin.Build(b.Build)}
	}
	return l
}

func wireCount(n int64) uint32 { return uint32(min(max(n, 0), loadreport.MaxCount)) }

// Receive handles peers' load reports until ctx is done. It returns an error if
// the socket is closed before. After it had to wait for a report, it lets further ones
// collect in the socket, so that they need one wake-up of the process.
func (m *Mesh) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.SetReadDeadline(time.Now()) })
	defer stop()
	buffer := make([]byte, maxDatagram)
	socketEmptyAt := time.Now()
	for {
		began := time.Now()
		n, sender, err := m.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "receive load reports")
		}
		if err != nil {
			// The error may stem from an earlier datagram that was refused (ICMP);
			// the socket stays usable.
			m.badReports.Inc(1)
			continue
		}
		now := time.Now()
		hadToWait := now.Sub(began) >= emptySocketWait
		if hadToWait {
			socketEmptyAt = began
		}
		m.handleReport(now, socketEmptyAt, buffer[:n], sender)
		if hadToWait {
			time.Sleep(m.reportInterval() / receiveBatches)
		}
	}
}

// handleReport handles a datagram that was received after socketEmptyAt.
func (m *Mesh) handleReport(now, socketEmptyAt time.Time, data []byte, sender *net.UDPAddr) {
	switch {
	case loadreport.IsCrashReport(data):
		m.handleCrashReport(now, data, sender)
		return
	case loadreport.IsLimitReport(data):
		m.handleLimitReport(now, data, sender)
		return
	}
	report, err := loadreport.Decode(data)
	if err != nil {
		m.ignoreReport(now, sender, err)
		return
	}
	if report.Instance == m.instance {
		return
	}
	address := report.Address.String()
	m.addPeer(now, address)
	for _, member := range report.Members {
		m.addPeer(now, member.String())
	}
	m.mu.Lock()
	if p := m.peers[address]; p != nil {
		p.lastReport = now
		p.ends = [2]mirror.Position{mirror.Position(report.ConfigEnd), mirror.Position(report.EndpointsEnd)}
		p.configVersion = report.ConfigVersion
		p.readsStore = report.ReadsStore && !report.Leaving
		p.outOfRotation = report.OutOfRotation || report.Leaving
		p.leaving = report.Leaving
	}
	m.mu.Unlock()
	m.dispatcher.ApplyPeerReport(now, decodeReport(report))
	m.local.Streams().MergeAcknowledged(now, report.Instance, mirror.Position(report.OriginsEnd))
	if len(report.Streams) > 0 {
		m.local.Streams().MergePeer(now, decodeStreams(report.Streams))
	}
	if len(report.Implied) > 0 {
		m.local.Streams().MergeLease(decodeLease(report, socketEmptyAt))
	}
}

func (m *Mesh) ignoreReport(now time.Time, sender *net.UDPAddr, err error) {
	m.badReports.Inc(1)
	if m.limiter.Allow(now, sender.String(), "report") {
		m.log.Warn("invalid report ignored", "sender", sender.String(), "error", err.Error())
	}
}

func decodeStreams(streams []loadreport.StreamOrigin) []streamorigin.Origin {
	origins := make([]streamorigin.Origin, len(streams))
	for i, s := range streams {
		origins[i] = streamorigin.Origin{Stream: streamorigin.Stream(s.Stream), Build: streamorigin.Build(s.Build)}
	}
	return origins
}

func decodeReport(report *loadreport.Report) dispatch.PeerReport {
	r := dispatch.PeerReport{
		Instance: report.Instance, Sequence: report.Sequence, HasTeams: report.HasTeams,
		Loads: make([]endpointload.PeerLoad, len(report.Endpoints)),
		Teams: make([]dispatch.TeamUsage, len(report.Teams)),
	}
	for i, e := range report.Endpoints {
		load := endpointload.Load{Pending: int64(e.PendingTokens), Running: int(e.Running), Unreachable: e.Unreachable}
		r.Loads[i] = endpointload.PeerLoad{Endpoint: e.Endpoint, Load: load}
	}
	for i, t := range report.Teams {
		usage := fairshare.Usage{Requested: int64(t.RequestedTokens), Started: int64(t.StartedTokens), Begun: int64(t.BegunTokens)}
		r.Teams[i] = dispatch.TeamUsage{Team: t.Team, Usage: usage}
	}
	for _, p := range report.Placed {
		r.Placed = append(r.Placed, dispatch.PlacedPart{Endpoint: p.Endpoint, Part: p.Part})
	}
	return r
}

// limitedTransport bounds the bodies of responses. A server that took over the address of
// a peer could send one without end.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxRecordsReply)
	return response, nil
}

// Records implements follow.Peers. It fetches the records from a random live peer
// that has any.
func (m *Mesh) Records(ctx context.Context, topic follow.Topic, known mirror.Position) (mirror.Batch, bool, error) {
	address, from := m.peerWithRecords(topic, known)
	if address == "" {
		return mirror.Batch{}, false, nil
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := fleetpb.NewMirrorProtobufClient("http://"+address, m.client)
	reply, err := client.FetchRecords(call, &fleetpb.RecordsRequest{Topic: wireTopic(topic), Era: from.Era, From: from.Next})
	if err != nil {
		return mirror.Batch{}, false, eris.Wrapf(err, "fetch records from %s", address)
	}
	batch, err := m.decodeRecords(reply)
	if err != nil {
		return mirror.Batch{}, false, eris.Wrapf(err, "records from %s", address)
	}
	if !batch.Complete && batch.End.Era != known.Era {
		return mirror.Batch{}, false, eris.Errorf("incomplete records of era %d from %s, era %d is known", reply.Era, address, known.Era)
	}
	return batch, true, nil
}

// decodeRecords returns the records of a peer's reply. It ignores records that can't be before its
// end.
func (m *Mesh) decodeRecords(reply *fleetpb.RecordsReply) (mirror.Batch, error) {
	if reply.Era < 0 || reply.Next < 0 || reply.Next > loadreport.MaxOffset {
		return mirror.Batch{}, eris.Errorf("the end is out of range: era %d, offset %d", reply.Era, reply.Next)
	}
	batch := mirror.Batch{
		Records: make([]mirror.Record, 0, len(reply.Records)), Complete: reply.Complete,
		End: mirror.Position{Era: reply.Era, Next: reply.Next},
	}
	for _, r := range reply.Records {
		// What is kept across a restoration of the store, and what replaces a lost record, may have the
		// offset of the end.
		if r.Offset < 0 || r.Offset > reply.Next {
			if m.limiter.Allow(time.Now(), r.Key, "offset") {
				m.log.Warn("invalid record of a peer ignored", "key", r.Key, "offset", r.Offset, "end", reply.Next)
			}
			continue
		}
		batch.Records = append(batch.Records, mirror.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return batch, nil
}

const (
	// storeReaders is the number of routers that read the store for a large fleet.
	// With three, two may fail at the same time.
	storeReaders = 3
	// minActiveReaders is the number of peers that must be reading the store
	// before a router stops reading it itself.
	minActiveReaders = 2
	// smallFleet is the largest fleet in which every router reads the store.
	smallFleet = 8
	// minReaderTimeout is the shortest time without a report after which a peer no longer
	// counts as reading the store; small fleets send reports at least every 400 ms.
	minReaderTimeout = time.Second
	// readerTimeoutReports is the number of report intervals after which it no longer counts in a
	// large fleet.
	readerTimeoutReports = 2.5
)

// ShouldReadStore implements follow.Peers. In a large fleet a few routers read
// the store for all others, because calls to the store are billed. Rendezvous
// hashing makes all routers select the same readers. A router that has begun to read in place of
// a reader goes on until enough peers do.
func (m *Mesh) ShouldReadStore() bool {
	readsStore := m.local.ReadsStore()
	fleet, reading := m.fleet(time.Now())
	return len(fleet) <= smallFleet || m.rank(fleet) < storeReaders || readsStore && reading < minActiveReaders
}

// ShouldProbeStore implements follow.Peers. While too few routers can read the store, all try
// in turn: the store may be down for all routers or refuse only some of them.
func (m *Mesh) ShouldProbeStore() bool {
	now := time.Now()
	fleet, reading := m.fleet(now)
	needed := 1
	if len(fleet) > smallFleet {
		needed = minActiveReaders
	}
	return reading < needed && isProbeTurn(now, m.rank(fleet), len(fleet))
}

// fleet returns the addresses of this router and its live peers, and how many of these peers read the
// store.
func (m *Mesh) fleet(now time.Time) (addresses []string, reading int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := m.readerTimeout()
	addresses = []string{m.address.String()}
	for address, p := range m.peers {
		if now.Sub(p.lastReport) > timeout {
			continue
		}
		addresses = append(addresses, address)
		if p.readsStore {
			reading++
		}
	}
	return addresses, reading
}

func (m *Mesh) rank(fleet []string) int {
	return slices.Index(rendezvous.Rank(readersKey, fleet), m.address.String())
}

// ReaderTimeout returns the time without a report after which a peer no longer counts as reading the
// store.
func (m *Mesh) ReaderTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readerTimeout()
}

func (m *Mesh) readerTimeout() time.Duration {
	return max(minReaderTimeout, time.Duration(readerTimeoutReports*float64(len(m.peers))*float64(reportIntervalPerPeer)))
}

// HasStoreReader reports whether a peer currently reads the store.
func (m *Mesh) HasStoreReader() bool { return len(m.readingPeers()) > 0 }

// streamSavers is the number of routers that save the origins of streams for the fleet. With
// two, one may fail.
const streamSavers = 2

// SavesStreams reports whether this router saves the origins of streams in the store: all
// routers know them by the reports, and rendezvous hashing selects the same savers among the
// routers that read the store.
func (m *Mesh) SavesStreams() bool {
	if !m.local.ReadsStore() {
		return false
	}
	self := m.address.String()
	return slices.Index(rendezvous.Rank(readersKey, append(m.readingPeers(), self)), self) < streamSavers
}

// StoreIsRead reports whether this router or a peer currently reads the store. In an outage, that
// ends at a router that doesn't call the store itself, too.
func (m *Mesh) StoreIsRead() bool { return m.local.ReadsStore() || m.HasStoreReader() }

// readingPeers returns the addresses of the peers that currently read the store.
func (m *Mesh) readingPeers() []string {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := m.readerTimeout()
	var readers []string
	for address, p := range m.peers {
		if p.readsStore && now.Sub(p.lastReport) <= timeout {
			readers = append(readers, address)
		}
	}
	return readers
}

// probeInterval is the interval between the turns of two routers that try to read the
// store.
const probeInterval = 400 * time.Millisecond

// isProbeTurn reports whether it is the turn of the router with this rank to try to read
// the store. The number of calls to a store that is down then doesn't grow with the
// size of the fleet.
func isProbeTurn(now time.Time, rank, routers int) bool {
	return now.UnixNano()/int64(probeInterval)%int64(routers) == int64(rank)
}

// readersKey is the rendezvous key that selects the store's readers.
const readersKey = "store-readers"

// peerWithRecords returns the address of a random live peer that has records of
// the topic after the known position, or "" if there is none, and the position from
// which to fetch. A newer configuration is looked for by its version and fetched with all
// records: after a restoration of the store, a peer may have kept it from an earlier era,
// without a position of its own.
func (m *Mesh) peerWithRecords(topic follow.Topic, known mirror.Position) (address string, from mirror.Position) {
	now := time.Now()
	version := m.local.ConfigVersion()
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []string
	for address, p := range m.peers {
		newerConfig := topic == follow.Configuration && p.configVersion > version
		if (newerConfig || known.Before(p.ends[topic])) && now.Sub(p.lastReport) < inactiveAfter {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return "", known
	}
	address = candidates[rand.IntN(len(candidates))]
	if !known.Before(m.peers[address].ends[topic]) {
		return address, mirror.Position{Era: known.Era}
	}
	return address, known
}

func wireTopic(topic follow.Topic) fleetpb.Topic {
	if topic == follow.Configuration {
		return fleetpb.Topic_TOPIC_CONFIGURATION
	}
	return fleetpb.Topic_TOPIC_ENDPOINTS
}
