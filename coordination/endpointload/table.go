package endpointload

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

// Load is the work in progress at one endpoint.
type Load struct {
	Pending int64
	Running int
	// Unreachable is set while the endpoint can't be connected to.
	Unreachable bool
}

// total sums the loads of several routers.
type total struct {
	pending int64
	running int
	// unreachable is the number of routers that can't connect to the endpoint.
	unreachable int
}

// peerLifetime is the silence after which a peer's load is forgotten.
const peerLifetime = 1500 * time.Millisecond

// enoughClaims is the number of peers that must find an endpoint unreachable
// before a router believes them. A single one may itself be cut off.
const enoughClaims = 2

// forgetPeer is the silence after which a peer's sequence is forgotten.
const forgetPeer = 30 * time.Second

// Table is the state of all endpoints. It is not safe for concurrent use.
type Table struct {
	endpoints map[string]*endpoint
	peers     map[string]*peer
	// others sums the loads of all peers by endpoint, so that a view costs the
	// same in a large fleet.
	others map[uint64]total
	// defaultRate is used for an engine that was not yet observed.
	defaultRate float64
}

type peer struct {
	sequence uint64
	heard    time.Time
	loads    map[uint64]Load
}

// NewTable returns an empty table. defaultRate is in prompt tokens per ms.
func NewTable(defaultRate float64) *Table {
	return &Table{endpoints: map[string]*endpoint{}, peers: map[string]*peer{}, others: map[uint64]total{}, defaultRate: clampRate(defaultRate)}
}

// SetDefaultRate sets the rate of engines that were not yet observed.
func (t *Table) SetDefaultRate(rate float64) { t.defaultRate = clampRate(rate) }

func clampRate(rate float64) float64 { return min(max(rate, minRate), maxRate) }

// Hash returns the number that stands for an endpoint in reports.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

func (t *Table) endpoint(id string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = newEndpoint(Hash(id), time.Time{})
		t.endpoints[id] = e
	}
	return e
}

// Restarted notes an endpoint's start; after a new one nothing is cached there.
func (t *Table) Restarted(id string, started time.Time) {
	e := t.endpoint(id)
	if e.started.Equal(started) {
		return
	}
	e.started = started
	clear(e.parts)
	e.failures = 0
	e.downUntil = time.Time{}
}

// Forget drops the endpoints that keep doesn't want and that have no work.
func (t *Table) Forget(keep func(id string) bool) {
	for id, e := range t.endpoints {
		if e.running == 0 && !keep(id) {
			delete(t.endpoints, id)
		}
	}
}

// View is what the table knows of one endpoint.
type View struct {
	Pending int64
	Running int
	Missing int64
	Rate    float64
	Suspect float64
	// Usable is false while the endpoint is silent or can't be connected to.
	Usable bool
	// Doubted is set while several peers can't connect to the endpoint and it
	// didn't answer this router lately.
	Doubted bool
}

// View returns the state of an endpoint for a prompt with these shared parts.
func (t *Table) View(now time.Time, id string, shared []prompt.Part) View {
	e := t.endpoint(id)
	others := t.others[e.hash]
	v := View{
		Pending: e.pending + others.pending,
		Running: e.running + others.running,
		Missing: e.missing(now, shared),
		Rate:    e.rate,
		Suspect: e.suspicion(now),
		Usable:  e.usable(now),
		Doubted: others.unreachable >= enoughClaims && !e.answeredLately(now),
	}
	if v.Rate == 0 {
		v.Rate = t.defaultRate
	}
	return v
}

// Run is one request in progress at an endpoint.
type Run struct {
	table   *Table
	target  *endpoint
	tokens  int64
	ahead   int64
	sent    time.Time
	begun   bool
	ended   bool
	measure bool
}

// Send records a request that is about to be sent. ahead is the number of
// tokens that the endpoint reads first.
func (t *Table) Send(now time.Time, id string, cost prompt.Cost, ahead int64) *Run {
	e := t.endpoint(id)
	tokens := cost.Own + e.missing(now, cost.Shared)
	if e.running == 0 {
		e.heard = now
	}
	e.remember(now, cost.Shared)
	e.pending += tokens
	e.running++
	return &Run{table: t, target: e, tokens: tokens, ahead: ahead, sent: now, measure: true}
}

// Begin records the first event of a run.
func (r *Run) Begin(now time.Time) {
	if r.begun {
		return
	}
	r.begun = true
	r.target.pending -= r.tokens
	r.target.reached(now)
	elapsed := now.Sub(r.sent) - startOverhead
	if total := r.ahead + r.tokens; total >= rateTokens && elapsed > 0 {
		r.table.observe(r.target, float64(total)/(float64(elapsed)/float64(time.Millisecond)))
	}
}

func (t *Table) observe(e *endpoint, rate float64) {
	if e.rate == 0 {
		e.rate = t.defaultRate
	}
	e.rate = clampRate(e.rate + rateDecay*(clampRate(rate)-e.rate))
}

// Begun reports whether the first event of the run was seen.
func (r *Run) Begun() bool { return r.begun }

// Heard records any byte of an answer.
func (r *Run) Heard(now time.Time) { r.target.reached(now) }

// Result says how a run ended for the endpoint's health.
type Result int

const (
	// Succeeded runs were answered as a whole.
	Succeeded Result = iota
	// Failed runs were answered with a failure, cut or lost.
	Failed
	// Refused runs were not executed.
	Refused
	// Unreached runs found no connection.
	Unreached
	// Abandoned runs were ended by this side.
	Abandoned
)

// End records the end of a run.
func (r *Run) End(now time.Time, result Result) {
	if r.ended {
		return
	}
	r.ended = true
	e := r.target
	if !r.begun {
		e.pending -= r.tokens
	}
	e.running--
	switch result {
	case Succeeded:
		e.result(now, false)
	case Failed, Refused:
		e.result(now, true)
	case Unreached:
		e.unreachable(now)
	case Abandoned:
	}
}

// Stalled reports whether the run's endpoint is silent.
func (r *Run) Stalled(now time.Time) bool { return r.target.stalled(now) }

// Own returns this router's loads by endpoint, without endpoints that are idle
// and can be reached.
func (t *Table) Own(now time.Time) map[string]Load {
	loads := map[string]Load{}
	for id, e := range t.endpoints {
		unreachable := now.Before(e.downUntil)
		if e.running > 0 || unreachable {
			loads[id] = Load{Pending: e.pending, Running: e.running, Unreachable: unreachable}
		}
	}
	return loads
}

// PeerReport replaces what is known of a peer's work. Reports that were
// overtaken are ignored; the result is false for those.
func (t *Table) PeerReport(now time.Time, instance string, sequence uint64, loads map[uint64]Load) bool {
	p := t.peers[instance]
	if p == nil {
		p = &peer{}
		t.peers[instance] = p
	}
	if sequence <= p.sequence {
		return false
	}
	t.addOthers(p.loads, -1)
	t.addOthers(loads, 1)
	p.sequence, p.heard, p.loads = sequence, now, loads
	return true
}

func (t *Table) addOthers(loads map[uint64]Load, sign int) {
	for hash, l := range loads {
		sum := t.others[hash]
		sum.pending += int64(sign) * l.Pending
		sum.running += sign * l.Running
		if l.Unreachable {
			sum.unreachable += sign
		}
		if sum == (total{}) {
			delete(t.others, hash)
		} else {
			t.others[hash] = sum
		}
	}
}

// PlacedAt notes that a peer placed a part at an endpoint.
func (t *Table) PlacedAt(now time.Time, hash, part uint64) {
	for _, e := range t.endpoints {
		if e.hash == hash {
			e.remember(now, []prompt.Part{{Key: part}})
			return
		}
	}
}

// ExpirePeers drops the loads of peers that are silent, and after a longer
// silence the peers themselves.
func (t *Table) ExpirePeers(now time.Time) {
	for instance, p := range t.peers {
		silence := now.Sub(p.heard)
		if silence > peerLifetime {
			t.addOthers(p.loads, -1)
			p.loads = nil
		}
		if silence > forgetPeer {
			delete(t.peers, instance)
		}
	}
}
