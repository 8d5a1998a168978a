package mesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/loadreport"
)

// BenchmarkHandleReport measures the handling of one report about 120 endpoints and 60
// teams, by a router with 68 peers.
func BenchmarkHandleReport(b *testing.B) {
	m := newMesh(b)
	const peers = 68
	reports := make([][]byte, b.N)
	for n := range reports {
		r := loadreport.Report{
			Instance: fmt.Sprint("peer", n%peers), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(1000+n%peers)),
			Sequence: uint64(n + 1), HasTeams: n/peers%2 == 0,
		}
		for i := range uint32(120) {
			r.Endpoints = append(r.Endpoints, loadreport.EndpointLoad{Endpoint: i * 7919, PendingTokens: 6000, Running: 2})
		}
		for i := range uint32(60) {
			r.Teams = append(r.Teams, loadreport.TeamUsage{Team: i * 104729, RequestedTokens: 100_000, StartedTokens: 80_000})
		}
		reports[n] = r.Append(nil)
	}
	now := time.Now()
	b.ReportAllocs()
	b.ResetTimer()
	for _, data := range reports {
		m.handleReport(now, now, data, nil)
	}
	b.ReportMetric(float64(len(reports[0])), "bytes/report")
}
