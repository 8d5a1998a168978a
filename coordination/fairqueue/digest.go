package fairqueue

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCrossing bounds the grants of a router that a digest may or may not
// contain. The owner tries all 2^maxCrossing sets of them.
const maxCrossing = 8

// Digest stands for a set of tickets. It doesn't depend on their order. The
// zero Digest is that of no tickets.
type Digest struct {
	Count uint32
	// Hash is the sum of the hashes of the tickets, modulo 2^64.
	Hash uint64
}

// Add adds a ticket that the set doesn't contain.
func (d *Digest) Add(request string, attempt uint32) {
	d.Count++
	d.Hash += hashTicket(request, attempt)
}

// remove takes out a ticket that the set contains.
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

// Compare takes the digest of all tickets that wait at an entry router, from
// the message with this sequence, after Sync has taken the message's tickets.
// It returns true if a full sync is needed. A digest that agrees has the effect
// of a full sync. One that a later message overtook is ignored.
//
// A granted request waits at its router until the dispatch arrives, so a digest
// may contain the router's latest grants or not. A full sync wouldn't change
// them, so both count as agreement.
func (q *Queue) Compare(now time.Time, address, instance string, sequence uint64, d Digest) bool {
	r := q.router(now, address, instance)
	if r == nil || r.instance != instance || sequence != r.sequence || sequence == r.lastFull {
		return false
	}
	if d != r.digest && !reachable(r.digest, d, q.crossing(address, instance)) {
		return true
	}
	r.lastFull = sequence
	return false
}

// crossing returns the latest grants of a router that no report has settled.
func (q *Queue) crossing(address, instance string) []Digest {
	var grants []*grant
	for _, g := range q.granted {
		if g.Ticket.Router == address && g.Ticket.RouterInstance == instance {
			grants = append(grants, g)
		}
	}
	slices.SortFunc(grants, func(a, b *grant) int { return cmp.Compare(b.serial, a.serial) })
	var out []Digest
	for _, g := range grants[:min(len(grants), maxCrossing)] {
		var d Digest
		d.Add(g.Ticket.Request, g.Ticket.Attempt)
		out = append(out, d)
	}
	return out
}

// reachable reports whether some of the optional digests lead from held to d.
func reachable(held, d Digest, optional []Digest) bool {
	if held == d {
		return true
	}
	if len(optional) == 0 {
		return false
	}
	return reachable(held.plus(optional[0]), d, optional[1:]) || reachable(held, d, optional[1:])
}
