package mesh

import (
	"bytes"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/loadreport"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/transport/netaddress"
)

// noStreams ignores the origins of peers' streams and fails on one without a build.
type noStreams struct{ t testing.TB }

func (noStreams) TakeNews(int) []streamorigin.Origin { return nil }

func (noStreams) Lease() streamorigin.Lease { return streamorigin.Lease{} }

func (noStreams) MergeLease(streamorigin.Lease) {}

func (noStreams) Acknowledged() mirror.Position { return mirror.Position{} }

func (noStreams) MergeAcknowledged(time.Time, string, mirror.Position) {}

func (s noStreams) MergePeer(_ time.Time, origins []streamorigin.Origin) {
	for _, o := range origins {
		must.NotEq(s.t, streamorigin.AnyBuild, o.Build)
	}
}

var sender = &net.UDPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 7400}

func testReport() *loadreport.Report {
	return &loadreport.Report{Instance: "peer", Address: netip.MustParseAddrPort("127.0.0.2:7400"), Sequence: 1}
}

// Guards against a report with an invalid field that changes what is known, or that is ignored
// without a log line that names the field.
func TestInvalidReportIsLoggedAndIgnored(t *testing.T) {
	streams, noPort := testReport(), testReport()
	streams.Streams = []loadreport.StreamOrigin{{Stream: 1}}
	noPort.Address = netip.MustParseAddrPort("127.0.0.2:0")
	crashes := &loadreport.CrashReport{Instance: "peer", Interrupted: []loadreport.InterruptedRequest{{Parts: make([]uint64, 1000)}}}
	limits := &loadreport.LimitReport{Instance: "peer", Limits: []loadreport.RequestLimit{{AgeMs: math.MaxUint32}}}
	for field, data := range map[string][]byte{
		"streams": streams.Append(nil), "address": noPort.Append(nil), "interrupted requests": crashes.Append(nil), "limits": limits.Append(nil),
		"format": {0},
	} {
		m := newMesh(t)
		m.local.Streams = func() Streams { return noStreams{t} }
		var log bytes.Buffer
		m.log = slog.New(slog.NewTextHandler(&log, nil))
		for range 3 {
			m.handleReport(time.Now(), time.Now(), data, sender)
		}
		must.MapEmpty(t, m.peers)
		must.Eq(t, 3, m.badReports.Count())
		must.StrContains(t, log.String(), field)
		must.Eq(t, 1, bytes.Count(log.Bytes(), []byte("invalid report ignored")))
	}
}

// Guards against routers that send their reports to addresses that are no single host's.
func TestInvalidAddressesOfPeersAreIgnored(t *testing.T) {
	m := newMesh(t)
	for _, address := range []string{"", "x", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "0.0.0.0:1", "224.0.0.1:1", "255.255.255.255:1", "[::1]:1"} {
		m.Add(address)
	}
	must.MapEmpty(t, m.peers)
	m.Add("10.0.0.1:1", "10.0.0.1:01")
	must.MapLen(t, 1, m.peers)
}

// Guards against a reply of a peer whose offsets keep later records from being applied.
func TestRecordsOfAPeerBeyondItsEndAreIgnored(t *testing.T) {
	m := newMesh(t)
	for _, reply := range []*fleetpb.RecordsReply{{Next: -1}, {Next: math.MaxInt64}, {Era: -1}} {
		_, err := m.decodeRecords(reply)
		must.Error(t, err)
	}
	batch, err := m.decodeRecords(&fleetpb.RecordsReply{Next: 5, Records: []*fleetpb.KeyedRecord{
		{Key: "a", Offset: 4}, {Key: "b", Offset: math.MaxInt64}, {Key: "c", Offset: -1}, {Key: "d", Offset: 6}, {Key: "e", Offset: 5},
	}})
	must.NoError(t, err)
	must.Eq(t, []mirror.Record{{Key: "a", Offset: 4}, {Key: "e", Offset: 5}}, batch.Records)
}

// FuzzHandleReport guards against a datagram that ends the process or leaves an origin without a
// build.
func FuzzHandleReport(f *testing.F) {
	report := testReport()
	report.Members = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.3:7400")}
	report.Endpoints = []loadreport.EndpointLoad{{Endpoint: 1, PendingTokens: 2, Running: 3, Unreachable: true}}
	report.Teams = []loadreport.TeamUsage{{Team: 1, RequestedTokens: 2}}
	report.Streams = []loadreport.StreamOrigin{{Stream: 1, Build: 2}}
	f.Add(report.Append(nil))
	f.Add((&loadreport.CrashReport{Instance: "peer", Interrupted: []loadreport.InterruptedRequest{{Crash: 1, Parts: []uint64{2}}}}).Append(nil))
	f.Add((&loadreport.LimitReport{Instance: "peer", Limits: []loadreport.RequestLimit{{Endpoint: 1, Limited: true}}}).Append(nil))
	m := newMesh(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		m.local.Streams = func() Streams { return noStreams{t} }
		m.handleReport(time.Now(), time.Now(), data, sender)
		for address := range m.peers {
			parsed, err := netip.ParseAddrPort(address)
			must.NoError(t, err)
			must.True(t, netaddress.IsHost(parsed))
		}
	})
}

// FuzzRecordsReply guards against a reply of a peer that ends the process, or that moves the mirror
// beyond the end that the reply names.
func FuzzRecordsReply(f *testing.F) {
	f.Add([]byte{}, int64(0), int64(0), int64(0))
	f.Add([]byte("\x08\x01"), int64(1), int64(9), int64(8))
	m := newMesh(f)
	f.Fuzz(func(t *testing.T, raw []byte, era, next, offset int64) {
		reply := &fleetpb.RecordsReply{Era: era, Next: next, Complete: true, Records: []*fleetpb.KeyedRecord{{Key: string(raw), Value: raw, Offset: offset}}}
		batch, err := m.decodeRecords(reply)
		if err != nil {
			return
		}
		topic := mirror.NewTopic()
		_, err = topic.Apply(batch)
		must.NoError(t, err)
		must.LessEq(t, next+1, topic.Position().Next)
	})
}
