package endpointload

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

// Load is the load of one router on one endpoint.
type Load struct {
	// Pending is the number of prompt tokens sent but not yet processed.
	Pending int64
	// Running is the number of requests in progress.
	Running int
	// Unreachable is set while connections to the endpoint fail.
	Unreachable bool
}

// PeerLoad is the load of a peer on the endpoint with this hash.
type PeerLoad struct {
	Endpoint uint32
	Load
}

// loadSum sums the loads of several routers.
type loadSum struct {
	pending int64
	running int
	// unreachable is the number of routers that report the endpoint as unreachable.
	unreachable int
}

// peerLoadTimeout is the time without a report after which a peer's loads are
// deleted.
const peerLoadTimeout = 1500 * time.Millisecond

// minUnreachableReports is the number of peers that must report an endpoint as
// unreachable before a router avoids it. A single peer may itself be partitioned
// from the endpoint.
const minUnreachableReports = 2

// peerTimeout is the time without a report after which a peer is deleted,
// including its sequence.
const peerTimeout = 30 * time.Second

// Table holds the state of all endpoints. It is not safe for concurrent use.
type Table struct {
	endpoints map[string]*endpoint
	peers     map[string]*peer
	// peerLoads sums the loads of all peers by endpoint, so that the cost of a
	// view doesn't grow with the size of the fleet.
	peerLoads map[uint32]loadSum
	// defaultRate is the prefill rate assumed for an engine without observations,
	// in prompt tokens per millisecond.
	defaultRate float64
}

type peer struct {
	sequence   uint64
	lastReport time.Time
	loads      []PeerLoad
}

// NewTable returns an empty table. defaultRate is the prefill rate of engines
// without observations, in prompt tokens per millisecond.
func NewTable(defaultRate float64) *Table {
	return &Table{endpoints: map[string]*endpoint{}, peers: map[string]*peer{}, peerLoads: map[uint32]loadSum{}, defaultRate: clampRate(defaultRate)}
}

// SetDefaultRate sets the prefill rate of engines without observations, in
// prompt tokens per millisecond.
func (t *Table) SetDefaultRate(rate float64) { t.defaultRate = clampRate(rate) }

func clampRate(rate float64) float64 { return min(max(rate, minRate), maxRate) }

// Hash returns the number that identifies an endpoint in load reports.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func (t *Table) endpoint(id string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = newEndpoint(Hash(id), time.Time{})
		t.endpoints[id] = e
	}
	return e
}

// SetStartTime records the start time of an endpoint. If it differs from the
// previous one, the endpoint has restarted, and its cached parts, failures, backoff and
// pause are cleared. It reports whether a known endpoint has restarted.
func (t *Table) SetStartTime(id string, started time.Time) bool {
	e := t.endpoint(id)
	if e.started.Equal(started) {
		return false
	}
	restarted := !e.started.IsZero()
	if restarted {
		e.restarts++
	}
	e.started = started
	clear(e.parts)
	e.failures = 0
	e.unreachableUntil, e.pausedUntil = time.Time{}, time.Time{}
	return restarted
}

// RecordConnectFailure records a connection to an endpoint that failed outside an attempt.
func (t *Table) RecordConnectFailure(now time.Time, id string) { t.endpoint(id).markUnreachable(now) }

// Down reports whether connections to an endpoint fail, here or at a peer.
func (t *Table) Down(now time.Time, id string) bool {
	e := t.endpoint(id)
	return now.Before(e.unreachableUntil) || t.peerLoads[e.hash].unreachable > 0
}

// PausedUntil returns the time until which an endpoint wants no requests from this router,
// or the zero time.
func (t *Table) PausedUntil(now time.Time, id string) time.Time {
	if until := t.endpoint(id).pausedUntil; now.Before(until) {
		return until
	}
	return time.Time{}
}

// EvictIdle deletes the endpoints without requests in progress and whose pause, if any, is over,
// for which keep returns false. An endpoint whose entry was away for long still wants its pause.
func (t *Table) EvictIdle(now time.Time, keep func(id string) bool) {
	for id, e := range t.endpoints {
		if e.running == 0 && !now.Before(e.pausedUntil) && !keep(id) {
			delete(t.endpoints, id)
		}
	}
}

// View is the state of one endpoint.
type View struct {
	// Pending is the number of prompt tokens sent by all routers but not yet
	// processed.
	Pending int64
	// Running is the number of requests of all routers in progress.
	Running int
	// UncachedTokens is the number of shared prompt tokens not assumed to be cached.
	UncachedTokens int64
	// Rate is the prefill rate in prompt tokens per millisecond.
	Rate float64
	// FailureRate is the recent failure rate, between 0 and 1.
	FailureRate float64
	// Usable is false while the endpoint is stalled, in backoff after a failed
	// connection from this router, or wants no requests.
	Usable bool
	// Stalled is set if the endpoint isn't usable only because it is stalled.
	Stalled bool
	// UnreachableFromPeers is set while several peers report the endpoint as unreachable and
	// this router has received nothing recently from it.
	UnreachableFromPeers bool
}

// View returns the state of an endpoint for a prompt with these shared parts.
func (t *Table) View(now time.Time, id string, shared []prompt.Part) View {
	e := t.endpoint(id)
	peerLoad := t.peerLoads[e.hash]
	takesRequests, stalled := e.takesRequests(now), e.stalled(now)
	v := View{
		Pending:              e.pending + peerLoad.pending,
		Running:              e.running + peerLoad.running,
		UncachedTokens:       e.uncachedTokens(now, shared),
		Rate:                 e.rate,
		FailureRate:          e.failureRate(now),
		Usable:               takesRequests && !stalled,
		Stalled:              takesRequests && stalled,
		UnreachableFromPeers: peerLoad.unreachable >= minUnreachableReports && !e.respondedRecently(now),
	}
	if v.Rate == 0 {
		v.Rate = t.defaultRate
	}
	return v
}

// Attempt is an attempt in progress at an endpoint.
type Attempt struct {
	table        *Table
	endpoint     *endpoint
	tokens       int64
	queuedTokens int64
	sent         time.Time
	// written is the time at which the request was written to the endpoint.
	written time.Time
	started bool
	ended   bool
	measure bool
	// restarts is the endpoint's number of restarts when the attempt began.
	restarts int
}

// StartAttempt records an attempt that is about to be sent. queuedTokens is the number
// of prompt tokens that the endpoint processes before those of this attempt.
func (t *Table) StartAttempt(now time.Time, id string, cost prompt.Cost, queuedTokens int64) *Attempt {
	e := t.endpoint(id)
	tokens := cost.UnsharedTokens + e.uncachedTokens(now, cost.SharedParts)
	if e.running == 0 {
		e.lastActivity = now
	}
	e.recordCached(now, cost.SharedParts)
	e.pending += tokens
	e.running++
	return &Attempt{table: t, endpoint: e, tokens: tokens, queuedTokens: queuedTokens, sent: now, measure: true, restarts: e.restarts}
}

// RecordSent records that the request is written to the endpoint. Placing it and connecting may
// have taken long.
func (a *Attempt) RecordSent(now time.Time) {
	a.written = now
	if a.endpoint.running == 1 {
		a.endpoint.lastActivity = now
	}
}

// RecordFirstEvent records the first event of the response and, if the endpoint
// had at least minRateTokens prompt tokens to process until then, an observation of
// the prefill rate. Only the first call has an effect.
func (a *Attempt) RecordFirstEvent(now time.Time) {
	if a.started {
		return
	}
	a.started = true
	a.endpoint.pending -= a.tokens
	a.endpoint.recordReceived(now)
	elapsed := now.Sub(a.sent) - firstEventOverhead
	if total := a.queuedTokens + a.tokens; total >= minRateTokens && elapsed > 0 {
		a.table.observeRate(a.endpoint, float64(total)/(float64(elapsed)/float64(time.Millisecond)))
	}
}

func (t *Table) observeRate(e *endpoint, rate float64) {
	if e.rate == 0 {
		e.rate = t.defaultRate
	}
	e.rate = clampRate(e.rate + rateSmoothing*(clampRate(rate)-e.rate))
}

// FirstEventReceived reports whether the first event of the response was received.
func (a *Attempt) FirstEventReceived() bool { return a.started }

// RecordReceived records that part of the response was received.
func (a *Attempt) RecordReceived(now time.Time) { a.endpoint.recordReceived(now) }

// Pause records that the endpoint refused the attempt and wants no requests from this router
// for a time.
func (a *Attempt) Pause(now time.Time, d time.Duration) {
	if a.IsCurrent() {
		a.endpoint.pause(now, d)
	}
}

// IsCurrent reports whether no restart of the endpoint has become known since the attempt began.
// Otherwise, its outcome may be that of an earlier incarnation.
func (a *Attempt) IsCurrent() bool { return a.restarts == a.endpoint.restarts }

// Result is the way an attempt ended, as it counts for the endpoint's health.
type Result int

const (
	// Succeeded means that the response was complete.
	Succeeded Result = iota
	// Failed means that the response was a failure, was truncated or was lost.
	Failed
	// Refused means that the endpoint did not run the attempt.
	Refused
	// ConnectFailed means that the connection to the endpoint failed.
	ConnectFailed
	// Abandoned means that this router or the caller ended the attempt. It doesn't
	// count for the endpoint's health.
	Abandoned
	// NotSent means that nothing was sent, for a reason that is no evidence against the
	// endpoint.
	NotSent
)

// End records the end of the attempt. Only the first call has an effect.
func (a *Attempt) End(now time.Time, result Result) {
	if a.ended {
		return
	}
	a.ended = true
	e := a.endpoint
	if !a.started {
		e.pending -= a.tokens
	}
	e.running--
	switch result {
	case Succeeded:
		e.recordResult(now, false)
	case Failed, Refused:
		if a.IsCurrent() {
			e.recordResult(now, true)
		}
	case ConnectFailed:
		e.markUnreachable(now)
	case Abandoned, NotSent:
	}
}

// Stalled reports whether the attempt's endpoint has sent no byte within the
// stall timeout, in which it had this request.
func (a *Attempt) Stalled(now time.Time) bool {
	return !a.written.IsZero() && now.Sub(a.written) > stallTimeout && a.endpoint.stalled(now)
}

// OwnLoads returns this router's loads by endpoint, without endpoints that are idle
// and reachable.
func (t *Table) OwnLoads(now time.Time) map[string]Load {
	loads := map[string]Load{}
	for id, e := range t.endpoints {
		unreachable := now.Before(e.unreachableUntil)
		if e.running > 0 || unreachable {
			loads[id] = Load{Pending: e.pending, Running: e.running, Unreachable: unreachable}
		}
	}
	return loads
}

// ApplyPeerReport replaces the loads of a peer and returns true. It returns false for
// a report that is not newer than the latest one, which is ignored.
func (t *Table) ApplyPeerReport(now time.Time, instance string, sequence uint64, loads []PeerLoad) bool {
	p := t.peers[instance]
	if p == nil {
		p = &peer{}
		t.peers[instance] = p
	}
	if sequence <= p.sequence {
		return false
	}
	t.addPeerLoads(p.loads, -1)
	t.addPeerLoads(loads, 1)
	p.sequence, p.lastReport, p.loads = sequence, now, loads
	return true
}

// addPeerLoads adds loads to the sums over all peers, or subtracts them if sign
// is -1.
func (t *Table) addPeerLoads(loads []PeerLoad, sign int) {
	for _, l := range loads {
		sum := t.peerLoads[l.Endpoint]
		sum.pending += int64(sign) * l.Pending
		sum.running += sign * l.Running
		if l.Unreachable {
			sum.unreachable += sign
		}
		if sum == (loadSum{}) {
			delete(t.peerLoads, l.Endpoint)
		} else {
			t.peerLoads[l.Endpoint] = sum
		}
	}
}

// RecordPeerPlacement records that a peer sent a request with a part to an
// endpoint, which is then assumed to have the part cached.
func (t *Table) RecordPeerPlacement(now time.Time, hash uint32, part uint64) {
	for _, e := range t.endpoints {
		if e.hash == hash {
			e.recordCached(now, []prompt.Part{{Key: part}})
			return
		}
	}
}

// ExpirePeers deletes the loads of peers that have sent no report within
// peerLoadTimeout, and after peerTimeout the peers themselves.
func (t *Table) ExpirePeers(now time.Time) {
	for instance, p := range t.peers {
		sinceReport := now.Sub(p.lastReport)
		if sinceReport > peerLoadTimeout {
			t.addPeerLoads(p.loads, -1)
			p.loads = nil
		}
		if sinceReport > peerTimeout {
			delete(t.peers, instance)
		}
	}
}
