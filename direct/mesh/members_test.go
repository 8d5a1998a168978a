package mesh_test

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/loadreport"
)

// rawPeer is a peer of which the test writes the reports.
type rawPeer struct {
	conn    *net.UDPConn
	address netip.AddrPort
}

func newRawPeer(t *testing.T) *rawPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &rawPeer{conn: conn, address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
}

func (p *rawPeer) report(t *testing.T, to string) {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp4", to)
	must.NoError(t, err)
	r := loadreport.Report{Instance: p.address.String(), Address: p.address, Sequence: 1}
	_, err = p.conn.WriteToUDP(r.Append(nil), address)
	must.NoError(t, err)
}

// receive returns the next load report with a sequence.
func (p *rawPeer) receive(t *testing.T) *loadreport.Report {
	t.Helper()
	buffer := make([]byte, 1<<16)
	must.NoError(t, p.conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	n, err := p.conn.Read(buffer)
	must.NoError(t, err)
	r, err := loadreport.Decode(buffer[:n])
	must.NoError(t, err)
	return r
}

// Guards against routers that know different parts of the fleet for seconds after they started, as they
// learn of each other with every sixteenth report only: several then probe the store in the same turn,
// and none in others.
func TestNewMembersAreToldWithTheNextReports(t *testing.T) {
	seed := newTestPeer(t, "seed")
	first, second := newRawPeer(t), newRawPeer(t)
	first.report(t, seed.address)
	// The first report has the members in any case.
	for range 3 {
		first.receive(t)
	}
	second.report(t, seed.address)
	const maxReports = 4
	told := false
	for range maxReports {
		told = told || slices.Contains(first.receive(t).Members, second.address)
	}
	must.True(t, told)
}
