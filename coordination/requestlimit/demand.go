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
	// reportDelay is the time after which peers are taken to have a report.
	reportDelay = 100 * time.Millisecond
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
	// reported holds what this router has told its peers: the reports of the last reportDelay
	// and the one before them.
	reported []peerDemand
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

// Report returns the limits and the number of this router's requests in demandWindow, for a report
// to peers that is sent now, if there are limits.
func (t *Table) Report(now time.Time) ([]Limit, int64) {
	limits, requests := t.Limits(), t.Requests(now)
	if len(limits) > 0 {
		t.demand.addReported(now, requests)
	}
	return limits, requests
}

func (d *demand) addReported(now time.Time, requests int64) {
	d.reported = append(d.reported, peerDemand{requests: requests, at: now})
	for len(d.reported) > 1 && now.Sub(d.reported[1].at) >= reportDelay {
		d.reported = slices.Delete(d.reported, 0, 1)
	}
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

// share returns this router's part of a limit of rate requests per second, 0 to 1.
func (d *demand) share(now time.Time, endpoint uint32, rate float64) float64 {
	var members []member
	least := d.own(now) + 1
	for instance, p := range d.peers {
		if now.Sub(p.at) <= peerTimeout {
			members = append(members, member{instance: instance, weight: p.requests + 1})
			least = min(least, p.requests+1)
		}
	}
	n := maxMembers(rate)
	latest, own, told := d.told(now)
	switch {
	case told:
		least = min(least, own)
	case len(members) >= n:
		// The peers don't count this router yet.
		return 0
	default:
		latest, own = least, least
	}
	members = append(members, member{instance: d.self, weight: latest})
	// Routers that may not have told their peers yet are taken to have as few requests as any.
	unknown := max(d.routers-len(members), 0)
	if told && len(members) >= n {
		unknown = 0
		members = busiest(members, endpoint, n)
	}
	total := int64(unknown) * least
	used := false
	for _, m := range members {
		if m.instance == d.self {
			m.weight = own
			used = true
		}
		total += m.weight
	}
	if !used {
		return 0
	}
	return float64(own) / float64(total)
}

// told returns the weight of this router in its latest report and the smallest one that peers may
// still use, or false while they may have no report. If each router compared its present requests
// with the older ones of its peers, the parts of all would add up to more than 1 while requests
// increase.
func (d *demand) told(now time.Time) (latest, smallest int64, ok bool) {
	for _, r := range d.reported {
		age := now.Sub(r.at)
		if age > peerTimeout {
			continue
		}
		latest = r.requests + 1
		if age >= reportDelay {
			smallest, ok = latest, true
		}
		smallest = min(smallest, latest)
	}
	return latest, smallest, ok
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
