package loadreport

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/transport/netaddress"
)

// formatVersion is the first byte of each datagram. Datagrams with another one are
// refused.
const formatVersion = 0xA9

// maxInstanceBytes bounds the length of an instance identifier.
const maxInstanceBytes = 64

// ID identifies an endpoint, a team, a route or a build by a hash of its name. If two names have the same
// hash, their loads are added up, which only makes routers more careful.
type ID = uint32

// Report is the load of one router. A later report of the same instance replaces it.
type Report struct {
	// Instance is the random identifier of the sending process.
	Instance string
	// Address is where peers reach the sender.
	Address netip.AddrPort
	// Sequence grows with each report of the instance.
	Sequence uint64
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion uint64
	// ConfigEnd and EndpointsEnd are the positions after the newest records that the
	// sender has of both topics of the store.
	ConfigEnd, EndpointsEnd Position
	// OriginsEnd is the position up to which the sender acknowledges to have read the origins of streams and
	// the implied builds.
	OriginsEnd Position
	// Leaving is set while the sender stops and accepts no more requests.
	Leaving bool
	// ReadsStore is set while the sender reads the store and the store responds.
	ReadsStore bool
	// OutOfRotation is set while the sender gets no new connections.
	OutOfRotation bool
	// HasTeams is set if Teams holds all teams in use. Otherwise the teams of the
	// previous report remain valid.
	HasTeams bool
	// Members lists routers that the sender has heard from. Most reports have none.
	Members   []netip.AddrPort
	Endpoints []EndpointLoad
	Teams     []TeamUsage
	Placed    []PlacedPart
	// Streams lists the streams that began at the sender since the previous report.
	Streams []StreamOrigin
	// Implied lists the builds of streams without a saved origin. Most reports have none.
	Implied []ImpliedBuild
	// ImpliedAgeMs is the time since the sender began to read Implied from the store, in milliseconds.
	ImpliedAgeMs uint64
}

// Position is the offset after the newest record of a topic, in an era of the store.
type Position struct{ Era, Next int64 }

// EndpointLoad is the sender's load on one endpoint.
type EndpointLoad struct {
	Endpoint ID
	// PendingTokens is the number of prompt tokens sent but not yet processed.
	PendingTokens uint32
	// Running is the number of requests in progress.
	Running uint32
	// Unreachable is set while the sender can't connect to the endpoint.
	Unreachable bool
}

// TeamUsage holds a team's tokens at the sender in the fairness window.
type TeamUsage struct {
	Team ID
	// RequestedTokens counts the tokens of all requests, StartedTokens those of the
	// requests that were assigned to an engine, BegunTokens those that an engine began.
	RequestedTokens, StartedTokens, BegunTokens uint32
}

// PlacedPart names a part of a prompt that was sent to an endpoint other than its home.
type PlacedPart struct {
	Endpoint ID
	Part     uint64
}

// StreamOrigin names the build of a service's software that began a stream.
type StreamOrigin struct {
	Stream uint64
	Build  ID
}

// ImpliedBuild names the build of a route's streams that have no saved origin.
type ImpliedBuild struct{ Route, Build ID }

// flags of a report.
const (
	flagLeaving = 1 << iota
	flagReadsStore
	flagOutOfRotation
	flagHasTeams
	knownFlags = flagLeaving | flagReadsStore | flagOutOfRotation | flagHasTeams
)

func (r *Report) flags() byte {
	var f byte
	for bit, set := range map[byte]bool{
		flagLeaving: r.Leaving, flagReadsStore: r.ReadsStore, flagOutOfRotation: r.OutOfRotation, flagHasTeams: r.HasTeams,
	} {
		if set {
			f |= bit
		}
	}
	return f
}

// Append appends the encoded report to b. Addresses must be IPv4.
func (r *Report) Append(b []byte) []byte {
	b = append(b, formatVersion, r.flags())
	b = binary.AppendUvarint(b, uint64(len(r.Instance)))
	b = append(b, r.Instance...)
	b = appendAddress(b, r.Address)
	b = binary.AppendUvarint(b, r.Sequence)
	b = binary.AppendUvarint(b, r.ConfigVersion)
	for _, p := range []Position{r.ConfigEnd, r.EndpointsEnd, r.OriginsEnd} {
		b = binary.AppendVarint(b, p.Era)
		b = binary.AppendVarint(b, p.Next)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Members)))
	for _, m := range r.Members {
		b = appendAddress(b, m)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Endpoints)))
	for _, e := range r.Endpoints {
		b = binary.LittleEndian.AppendUint32(b, e.Endpoint)
		b = binary.AppendUvarint(b, uint64(e.PendingTokens))
		running := uint64(e.Running) << 1
		if e.Unreachable {
			running |= 1
		}
		b = binary.AppendUvarint(b, running)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Teams)))
	for _, t := range r.Teams {
		b = binary.LittleEndian.AppendUint32(b, t.Team)
		b = binary.AppendUvarint(b, uint64(t.RequestedTokens))
		b = binary.AppendUvarint(b, uint64(t.StartedTokens))
		b = binary.AppendUvarint(b, uint64(t.BegunTokens))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Placed)))
	for _, p := range r.Placed {
		b = binary.LittleEndian.AppendUint32(b, p.Endpoint)
		b = binary.LittleEndian.AppendUint64(b, p.Part)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Streams)))
	for _, s := range r.Streams {
		b = binary.LittleEndian.AppendUint64(b, s.Stream)
		b = binary.LittleEndian.AppendUint32(b, s.Build)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Implied)))
	for _, i := range r.Implied {
		b = binary.LittleEndian.AppendUint32(b, i.Route)
		b = binary.LittleEndian.AppendUint32(b, i.Build)
	}
	return binary.AppendUvarint(b, r.ImpliedAgeMs)
}

const addressBytes = 6

func appendAddress(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

// Smallest sizes of list entries, in bytes. They bound the length of a list by the size
// of the datagram before memory is allocated for it.
const (
	minEndpointBytes = 6
	minTeamBytes     = 7
	placedBytes      = 12
	streamBytes      = 12
	impliedBytes     = 8
)

// Decode parses a datagram. The error names the field that is invalid.
func Decode(data []byte) (*Report, error) {
	d := decoder{rest: data}
	d.format(formatVersion)
	flags := d.at("flags").uint8()
	d.check(flags&^knownFlags == 0)
	r := &Report{
		Leaving: flags&flagLeaving != 0, ReadsStore: flags&flagReadsStore != 0,
		OutOfRotation: flags&flagOutOfRotation != 0, HasTeams: flags&flagHasTeams != 0,
	}
	r.Instance = d.instance()
	r.Address = d.at("address").address()
	r.Sequence = d.at("sequence").uvarint()
	r.ConfigVersion = d.at("configuration version").uvarint()
	r.ConfigEnd = d.at("end of the configuration").position()
	r.EndpointsEnd = d.at("end of the endpoints").position()
	r.OriginsEnd = d.at("end of the origins").position()
	r.Members = decodeList(d.at("members"), addressBytes, d.address)
	r.Endpoints = decodeList(d.at("endpoints"), minEndpointBytes, func() EndpointLoad {
		e := EndpointLoad{Endpoint: d.uint32(), PendingTokens: d.count()}
		e.Running, e.Unreachable = d.countAndFlag()
		return e
	})
	r.Teams = decodeList(d.at("teams"), minTeamBytes, func() TeamUsage {
		return TeamUsage{Team: d.uint32(), RequestedTokens: d.count(), StartedTokens: d.count(), BegunTokens: d.count()}
	})
	r.Placed = decodeList(d.at("placed parts"), placedBytes, func() PlacedPart { return PlacedPart{Endpoint: d.uint32(), Part: d.uint64()} })
	r.Streams = decodeList(d.at("streams"), streamBytes, func() StreamOrigin {
		s := StreamOrigin{Stream: d.uint64(), Build: d.uint32()}
		// An origin without a build would allow every build.
		d.check(s.Build != 0)
		return s
	})
	r.Implied = decodeList(d.at("implied builds"), impliedBytes, func() ImpliedBuild { return ImpliedBuild{Route: d.uint32(), Build: d.uint32()} })
	r.ImpliedAgeMs = d.at("age of the implied builds").uvarint()
	if err := d.end(); err != nil {
		return nil, eris.Wrap(err, "invalid load report")
	}
	return r, nil
}

// MaxCount bounds counts, so that sums over a fleet don't overflow. MaxOffset bounds the offsets of
// the store's records.
const (
	MaxCount  = 1 << 30
	MaxOffset = 1 << 53
)

// noEra is the era of a sender that knows nothing of a topic yet.
const noEra = -1

// decoder reads values from the front of rest. After a failure, it returns zero values.
type decoder struct {
	rest []byte
	// field is the field that is read at present, and invalid the first one that is invalid.
	field, invalid string
	failed         bool
}

// at names the field that is read next.
func (d *decoder) at(field string) *decoder {
	d.field = field
	return d
}

// check fails unless a value is valid.
func (d *decoder) check(valid bool) {
	if !valid {
		d.fail()
	}
}

func (d *decoder) fail() {
	if !d.failed {
		d.failed, d.invalid = true, d.field
	}
	d.rest = nil
}

// end returns an error that names the invalid field, if there is one or the datagram goes on.
func (d *decoder) end() error {
	d.at("end").check(len(d.rest) == 0)
	if d.failed {
		return eris.Errorf("the field %s is missing or out of range", d.invalid)
	}
	return nil
}

func (d *decoder) format(version byte) { d.check(d.at("format").uint8() == version) }

func (d *decoder) instance() string {
	instance := string(d.bytes(d.at("instance").length(1)))
	d.check(instance != "" && len(instance) <= maxInstanceBytes)
	return instance
}

// zeros is what a failed decoder returns; no value is longer.
var zeros [8]byte

func (d *decoder) bytes(n int) []byte {
	if n > len(d.rest) {
		d.fail()
		return zeros[:min(n, len(zeros))]
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) uint8() byte    { return d.bytes(1)[0] }
func (d *decoder) uint32() uint32 { return binary.LittleEndian.Uint32(d.bytes(4)) }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.bytes(8)) }

func (d *decoder) count() uint32 {
	n := d.uvarint()
	d.check(n <= MaxCount)
	return uint32(min(n, MaxCount))
}

// countAndFlag reads a count whose lowest bit is a flag.
func (d *decoder) countAndFlag() (n uint32, flag bool) {
	v := d.uvarint()
	d.check(v>>1 <= MaxCount)
	return uint32(min(v>>1, MaxCount)), v&1 != 0
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	d.skip(n)
	return v
}

func (d *decoder) position() Position {
	p := Position{Era: d.varint(), Next: d.varint()}
	d.check(p.Era >= noEra && p.Next >= 0 && p.Next <= MaxOffset)
	return p
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	d.skip(n)
	return v
}

// skip removes n bytes; n is not positive if the varint was invalid.
func (d *decoder) skip(n int) {
	if n <= 0 {
		d.fail()
		return
	}
	d.rest = d.rest[n:]
}

// length reads the length of a list whose entries have at least entryBytes.
func (d *decoder) length(entryBytes int) int {
	n := d.uvarint()
	if n > uint64(len(d.rest)/entryBytes) {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *decoder) address() netip.AddrPort {
	b := d.bytes(addressBytes)
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
	d.check(netaddress.IsHost(a))
	return a
}

// decodeList reads a list. It returns nil for an empty one.
func decodeList[T any](d *decoder, entryBytes int, entry func() T) []T {
	n := d.length(entryBytes)
	if n == 0 {
		return nil
	}
	list := make([]T, n)
	for i := range list {
		list[i] = entry()
	}
	return list
}
