package loadreport

import (
	"bytes"
	"math"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawAddress(t *rapid.T) netip.AddrPort {
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")
	// The first byte of the address of a single host.
	ip[0] = rapid.ByteRange(1, 223).Draw(t, "network")
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), rapid.Uint16Min(1).Draw(t, "port"))
}

func drawPosition(t *rapid.T) Position {
	return Position{Era: rapid.Int64Min(noEra).Draw(t, "era"), Next: rapid.Int64Range(0, MaxOffset).Draw(t, "next")}
}

func drawReport(t *rapid.T) *Report {
	count := rapid.Uint32Range(0, MaxCount)
	id := rapid.Uint32()
	r := &Report{
		Instance: rapid.StringMatching(`[a-z0-9]{1,64}`).Draw(t, "instance"), Address: drawAddress(t),
		Sequence: rapid.Uint64().Draw(t, "sequence"), ConfigVersion: rapid.Uint64().Draw(t, "version"),
		ConfigEnd: drawPosition(t), EndpointsEnd: drawPosition(t),
		Leaving: rapid.Bool().Draw(t, "leaving"), ReadsStore: rapid.Bool().Draw(t, "reads store"),
		OutOfRotation: rapid.Bool().Draw(t, "out"), HasTeams: rapid.Bool().Draw(t, "has teams"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "members") {
		r.Members = append(r.Members, drawAddress(t))
	}
	for range rapid.IntRange(0, 5).Draw(t, "endpoints") {
		r.Endpoints = append(r.Endpoints, EndpointLoad{id.Draw(t, "e"), count.Draw(t, "pending"), count.Draw(t, "running"), rapid.Bool().Draw(t, "unreachable")})
	}
	for range rapid.IntRange(0, 5).Draw(t, "teams") {
		r.Teams = append(r.Teams, TeamUsage{id.Draw(t, "t"), count.Draw(t, "requested"), count.Draw(t, "started"), count.Draw(t, "begun")})
	}
	for range rapid.IntRange(0, 5).Draw(t, "placed") {
		r.Placed = append(r.Placed, PlacedPart{id.Draw(t, "p"), rapid.Uint64().Draw(t, "part")})
	}
	for range rapid.IntRange(0, 5).Draw(t, "streams") {
		r.Streams = append(r.Streams, StreamOrigin{rapid.Uint64().Draw(t, "s"), rapid.Uint32Min(1).Draw(t, "build")})
		r.Implied = append(r.Implied, ImpliedBuild{id.Draw(t, "route"), id.Draw(t, "implied")})
	}
	r.ImpliedAgeMs = rapid.Uint64().Draw(t, "age")
	return r
}

// Guards against values that change between routers, and against truncated or extended
// datagrams that are accepted.
func TestReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawReport(t)
		data := want.Append(nil)
		got, err := Decode(data)
		must.NoError(t, err)
		must.Eq(t, want, got)
		_, err = Decode(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")])
		must.Error(t, err)
		_, err = Decode(append(data, 0))
		must.Error(t, err)
	})
}

// Guards against a report with a value out of range, such as one that lets a stream go on at any
// build, or that names a router to which nothing can be sent, and against an error that doesn't name
// the field.
func TestInvalidReportsAreRejected(t *testing.T) {
	for name, change := range map[string]func(r *Report){
		"instance":                  func(r *Report) { r.Instance = "" },
		"instance ":                 func(r *Report) { r.Instance = strings.Repeat("x", maxInstanceBytes+1) },
		"address":                   func(r *Report) { r.Address = netip.MustParseAddrPort("10.0.0.1:0") },
		"address ":                  func(r *Report) { r.Address = netip.MustParseAddrPort("0.0.0.0:1") },
		"address  ":                 func(r *Report) { r.Address = netip.MustParseAddrPort("224.0.0.1:1") },
		"members":                   func(r *Report) { r.Members = []netip.AddrPort{r.Address, netip.MustParseAddrPort("10.0.0.1:0")} },
		"members ":                  func(r *Report) { r.Members = []netip.AddrPort{netip.MustParseAddrPort("255.255.255.255:1")} },
		"end of the configuration":  func(r *Report) { r.ConfigEnd = Position{Era: -2} },
		"end of the configuration ": func(r *Report) { r.ConfigEnd = Position{Next: -1} },
		"end of the endpoints":      func(r *Report) { r.EndpointsEnd = Position{Next: math.MaxInt64} },
		"endpoints":                 func(r *Report) { r.Endpoints[0].PendingTokens = MaxCount + 1 },
		"endpoints ":                func(r *Report) { r.Endpoints[0].Running = MaxCount + 1 },
		"teams":                     func(r *Report) { r.Teams[0].StartedTokens = math.MaxUint32 },
		"streams":                   func(r *Report) { r.Streams = []StreamOrigin{{Stream: 1, Build: 2}, {Stream: 3}} },
	} {
		r := fleetReport()
		change(r)
		_, err := Decode(r.Append(nil))
		must.Error(t, err, must.Sprint(name))
		must.StrContains(t, err.Error(), strings.TrimSpace(name))
	}
	for name, data := range map[string][]byte{
		"format": {0}, "flags": {formatVersion, 0xff}, "end": append(fleetReport().Append(nil), 0), "format ": {}, "instance": {formatVersion, 0, 200, 'a'},
	} {
		_, err := Decode(data)
		must.Error(t, err, must.Sprint(name))
		must.StrContains(t, err.Error(), strings.TrimSpace(name))
	}
}

// fleetReport is a report of a fleet of hundreds of hosts: 40 endpoints in use of 120,
// and 60 teams.
func fleetReport() *Report {
	r := &Report{Instance: "0123456789abcdef", Address: netip.MustParseAddrPort("10.1.0.1:7400"), Sequence: 1000, HasTeams: true}
	for i := range 40 {
		r.Endpoints = append(r.Endpoints, EndpointLoad{Endpoint: ID(i * 7919), PendingTokens: 6000, Running: 2})
	}
	for i := range 60 {
		r.Teams = append(r.Teams, TeamUsage{Team: ID(i * 104729), RequestedTokens: 100_000, StartedTokens: 80_000, BegunTokens: 80_000})
	}
	return r
}

// Guards against reports that grow so much that a fleet of 68 routers, each of which
// gets 200 reports a second, needs more than 250 kB/s per router.
func TestReportOfLargeFleetIsSmall(t *testing.T) {
	must.LessEq(t, 1250, len(fleetReport().Append(nil)))
}

// Guards against datagrams that stop a router or make it allocate more memory than they
// are long, and against an accepted report that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(fleetReport().Append(nil))
	f.Add([]byte{formatVersion, 0, 1, 'a'})
	f.Add([]byte{formatVersion, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(r.Append(nil))
		if err != nil || !bytes.Equal(again.Append(nil), r.Append(nil)) {
			t.Fatalf("report changes when it is encoded again: %v, %v", r, err)
		}
	})
}

// BenchmarkDecode measures the decoding of one report of a large fleet.
func BenchmarkDecode(b *testing.B) {
	data := fleetReport().Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
