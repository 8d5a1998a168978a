package fairqueue

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOptionalGrants bounds the grants of a router that a digest may or may not
// contain. The owner tries all 2^maxOptionalGrants subsets of them.
const maxOptionalGrants = 8

// Digest identifies a set of tickets regardless of their order. The zero Digest is
// that of the empty set.
type Digest struct {
	Count uint32
	// Hash is the sum of the hashes of the tickets, modulo 2^64.
	Hash uint64
}

// Add adds a ticket, which must not be in the set.
func (d *Digest) Add(request string, attempt uint32) {
	d.Count++
	d.Hash += hashTicket(request, attempt)
}

// remove removes a ticket, which must be in the set.
func (d *Digest) remove(request string, attempt uint32) {
	d.Count--
	d.Hash -= hashTicket(request, attempt)
}

func (d Digest) plus(o Digest) Digest {
	return Digest{Count: d.Count + o.Count, Hash: d.Hash + o.Hash}
}

func hashTicket(request string, attempt uint32) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(request)
	_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, attempt))
	return h.Sum64()
}

// CompareDigest reports whether a full sync of an entry router is needed. d is the
// digest of all tickets that wait at the router, from the message with this
// sequence; Sync must have applied the message's tickets before. A digest that matches has the
// effect of a full sync. One that arrives after a later message is ignored.
//
// A granted request waits at its router until the dispatch arrives, so a digest may
// or may not contain the router's latest grants. A full sync would not change them,
// so both cases count as a match.
func (q *Queue) CompareDigest(now time.Time, address, instance string, sequence uint64, d Digest) bool {
	r := q.router(now, address, instance)
	if r == nil || r.instance != instance || sequence != r.sequence || sequence == r.lastFull {
		return false
	}
	if d != r.digest && !matchesWithOptional(r.digest, d, q.unsettledGrants(address, instance)) {
		return true
	}
	r.lastFull = sequence
	return false
}

// unsettledGrants returns the digests of the latest grants of a router that no
// report has settled, at most maxOptionalGrants.
func (q *Queue) unsettledGrants(address, instance string) []Digest {
	var grants []*grant
	for _, g := range q.granted {
		if g.Ticket.Router == address && g.Ticket.RouterInstance == instance {
			grants = append(grants, g)
		}
	}
	slices.SortFunc(grants, func(a, b *grant) int { return cmp.Compare(b.serial, a.serial) })
	var out []Digest
	for _, g := range grants[:min(len(grants), maxOptionalGrants)] {
		var d Digest
		d.Add(g.Ticket.Request, g.Ticket.Attempt)
		out = append(out, d)
	}
	return out
}

// matchesWithOptional reports whether adding some subset of the optional digests to
// ticketSet gives d.
func matchesWithOptional(ticketSet, d Digest, optional []Digest) bool {
	if ticketSet == d {
		return true
	}
	if len(optional) == 0 {
		return false
	}
	return matchesWithOptional(ticketSet.plus(optional[0]), d, optional[1:]) || matchesWithOptional(ticketSet, d, optional[1:])
}
