package requestlimit

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/coordination/timebucket"
)

const (
	// demandWindow is the time over which requests are counted, in buckets.
	demandWindow  = 4 * time.Second
	demandBuckets = 8
	bucketWidth   = demandWindow / demandBuckets
	// peerTimeout is the time without a report after which a peer's requests no longer
	// count.
	peerTimeout = 5 * time.Second
	// membersPerRate and minMembers define how many routers use an endpoint, by its
	// limit in requests per second. Each may hold one unused request in reserve, and
	// the fleet as many as half of their number besides: so many may be sent at once in
	// addition to the limit.
	membersPerRate = 1.25
	minMembers     = 3
)

// demand counts the requests that the routers of a fleet have to send.
type demand struct {
	// self is the instance of this router.
	self    string
	origin  timebucket.Origin
	buckets [demandBuckets]struct{ index, requests int64 }
	peers   map[string]peerDemand
	// routers is the number of routers in the fleet.
	routers int
}

type peerDemand struct {
	requests int64
	at       time.Time
}

func newDemand() demand { return demand{peers: map[string]peerDemand{}, routers: 1} }

// SetInstance sets the instance of this router.
func (t *Table) SetInstance(instance string) { t.demand.self = instance }

// SetRouters sets the number of routers in the fleet, including those that have reported
// no requests yet.
func (t *Table) SetRouters(n int) { t.demand.routers = n }

// CountRequest counts a request that this router has to send.
func (t *Table) CountRequest(now time.Time) {
	index := t.demand.origin.Index(now, bucketWidth)
	b := &t.demand.buckets[index%demandBuckets]
	if b.index != index {
		b.index, b.requests = index, 0
	}
	b.requests++
}

// Requests returns the number of requests in demandWindow.
func (t *Table) Requests(now time.Time) int64 { return t.demand.own(now) }

func (d *demand) own(now time.Time) int64 {
	index := d.origin.Index(now, bucketWidth)
	var sum int64
	for _, b := range d.buckets {
		if age := index - b.index; age >= 0 && age < demandBuckets {
			sum += b.requests
		}
	}
	return sum
}

// SetPeerRequests records the number of requests that a peer reports.
func (t *Table) SetPeerRequests(now time.Time, instance string, requests int64) {
	for peer, d := range t.demand.peers {
		if now.Sub(d.at) > peerTimeout {
			delete(t.demand.peers, peer)
		}
	}
	t.demand.peers[instance] = peerDemand{requests: requests, at: now}
}

// member is a router that may use an endpoint.
type member struct {
	instance string
	weight   int64
	rank     uint64
}

// share returns this router's part of a limit of rate requests per second, 0 to 1. Routers whose
// requests aren't known yet are taken to have as many as this one.
func (d *demand) share(now time.Time, endpoint uint32, rate float64) float64 {
	own := d.own(now) + 1
	members := []member{{instance: d.self, weight: own}}
	for instance, p := range d.peers {
		if now.Sub(p.at) <= peerTimeout {
			members = append(members, member{instance: instance, weight: p.requests + 1})
		}
	}
	unknown := max(d.routers-len(members), 0)
	if n := maxMembers(rate); len(members) > n {
		members = busiest(members, endpoint, n)
	}
	var total int64
	used := false
	for _, m := range members {
		total += m.weight
		used = used || m.instance == d.self
	}
	if !used {
		return 0
	}
	total += int64(unknown) * own
	return float64(own) / float64(total)
}

// maxMembers returns the largest number of routers that use an endpoint with a limit of
// rate requests per second.
func maxMembers(rate float64) int { return int(membersPerRate*rate) + minMembers }

// burst returns the number of unused requests that a fleet keeps in reserve.
func burst(rate float64) float64 { return float64(maxMembers(rate)) / 2 }

// busiest returns the n members with the most requests. Numbers of the same power of two
// count as equal, so that routers with slightly different reports choose the same ones;
// among equals a hash decides, which differs by endpoint.
func busiest(members []member, endpoint uint32, n int) []member {
	key := string(binary.LittleEndian.AppendUint32(nil, endpoint))
	for i := range members {
		members[i].rank = rendezvous.Weight(key, members[i].instance)
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(bits.Len64(uint64(b.weight)), bits.Len64(uint64(a.weight))), cmp.Compare(b.rank, a.rank))
	})
	return members[:n]
}
