package dispatch

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/warmup"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// repeatedReportTime is the time for which further reports of the same peer that it can't reach an
// endpoint are no sign of a crash. A peer that is cut off from an endpoint reports it after each try.
const repeatedReportTime = 30 * time.Second

// ColdService describes the cold endpoints of a service.
type ColdService struct {
	// Start is how long an endpoint is cold after its start.
	Start time.Duration
	// Rate is the number of requests per second that a cold endpoint sustains.
	Rate float64
}

// coldState is the state of a Dispatcher that concerns cold endpoints.
type coldState struct {
	table *warmup.Table
	// services holds the services that have cold endpoints, endpoints their endpoints by hash.
	services  map[string]ColdService
	endpoints map[uint32]registry.Endpoint
	// unreachable holds when a peer last reported that it can't reach an endpoint.
	unreachable map[unreachableReport]time.Time
	// changes holds the endpoints that have become cold or warm and weren't logged.
	changes []ColdChange
	// readOnly is set while a placement is explained. Then nothing is counted and no endpoint is asked.
	readOnly bool
	// leftOut counts the candidates that were left out of placements because they are cold.
	leftOut int64
}

type unreachableReport struct {
	instance string
	endpoint uint32
}

func newColdState() coldState {
	return coldState{table: warmup.NewTable(warmup.Bounds{}), unreachable: map[unreachableReport]time.Time{}}
}

// SetColdBounds sets the limits on the requests to cold endpoints. It is called before the first placement.
func (d *Dispatcher) SetColdBounds(b warmup.Bounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.table.SetBounds(b)
}

// SetFleet records the present view of the fleet. The first call is at the start of the router.
func (d *Dispatcher) SetFleet(now time.Time, f warmup.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.table.SetFleet(now, f)
}

// UpdateCold records the services with cold endpoints, by name, and what the entries of their endpoints
// say. Services that are missing have none.
func (d *Dispatcher) UpdateCold(now time.Time, services map[string]ColdService) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.services = services
	previous := d.cold.endpoints
	for hash, e := range previous {
		if _, ok := services[e.Service]; !ok {
			d.cold.table.Remove(hash)
		}
	}
	d.collectColdChanges()
	d.cold.endpoints = nil
	if len(services) > 0 {
		d.cold.endpoints = map[uint32]registry.Endpoint{}
		for _, e := range d.registry.All() {
			if _, ok := services[e.Service]; ok {
				d.addCold(now, &e)
			}
		}
	}
	for hash, e := range previous {
		_, hasCold := services[e.Service]
		_, registered := d.cold.endpoints[hash]
		if hasCold && !registered && (d.registry.Remembers(e.ID) || d.cold.table.IsCold(now, hash)) {
			// Its entry may come back.
			d.cold.endpoints[hash] = e
		}
	}
}

// addCold records what the entry of an endpoint says.
func (d *Dispatcher) addCold(now time.Time, e *registry.Endpoint) {
	hash := endpointload.Hash(e.ID)
	d.cold.endpoints[hash] = *e
	d.cold.table.Set(now, hash, d.cold.services[e.Service].Rate, warmup.Entry, e.ColdUntil)
	d.confirmCold(now, hash, e.ID)
}

// confirmCold ends a suspicion about an endpoint once its incarnation is not in doubt any more.
func (d *Dispatcher) confirmCold(now time.Time, hash uint32, id string) {
	if d.cold.table.Suspected(now, hash) && d.incarnations.Confirmed(id) {
		d.cold.table.Confirm(hash)
	}
}

// refresh returns the hash of an endpoint that may be cold, or false if it isn't. The entry may be newer
// than that of the latest UpdateCold.
func (d *Dispatcher) refresh(now time.Time, e *registry.Endpoint) (hash uint32, mayBeCold bool) {
	entryCold := now.Before(e.ColdUntil)
	if !entryCold && d.cold.table.Len() == 0 {
		return 0, false
	}
	if _, ok := d.cold.services[e.Service]; !ok {
		return 0, false
	}
	hash = endpointload.Hash(e.ID)
	if entryCold && !d.cold.endpoints[hash].ColdUntil.Equal(e.ColdUntil) {
		latest, ok := d.registry.Lookup(e.ID)
		if !ok {
			latest = *e
		}
		d.addCold(now, &latest)
	}
	d.confirmCold(now, hash, e.ID)
	return hash, d.cold.table.IsCold(now, hash)
}

// allowedCold reports whether a request may be placed at an endpoint although it is cold, and whether it
// is. One that is left out because it may have restarted is asked for its start.
func (d *Dispatcher) allowedCold(now time.Time, e *registry.Endpoint) (allowed, cold bool) {
	hash, cold := d.refresh(now, e)
	if !cold {
		return true, false
	}
	if d.cold.table.Suspected(now, hash) && !d.cold.readOnly {
		d.incarnations.Want(e.ID)
	}
	if d.cold.table.Allow(now, hash) {
		return true, true
	}
	if !d.cold.readOnly {
		d.cold.leftOut++
	}
	return false, true
}

// takeTurn takes the turn for a request that is placed at an endpoint.
func (d *Dispatcher) takeTurn(now time.Time, e *registry.Endpoint) warmup.Turn {
	if d.cold.table.Len() == 0 {
		return warmup.Turn{}
	}
	return d.cold.table.Take(now, endpointload.Hash(e.ID))
}

// untilTurn returns the time until this router may next send a request to one of the cold endpoints, or
// false if it doesn't use any.
func (d *Dispatcher) untilTurn(now time.Time, endpoints []registry.Endpoint) (wait time.Duration, ok bool) {
	if d.cold.table.Len() == 0 {
		return 0, false
	}
	for _, e := range endpoints {
		next, used := d.cold.table.NextTurn(now, endpointload.Hash(e.ID))
		if used && (!ok || next.Sub(now) < wait) {
			wait, ok = max(next.Sub(now), 0), true
		}
	}
	return wait, ok
}

// refuseLimited refuses a request for which all usable endpoints are at a limit. If this router has a turn
// for a cold one, the caller should retry when it is due.
func (d *Dispatcher) refuseLimited(now time.Time, request *Request, endpoints []registry.Endpoint, limited int) *Refusal {
	refusal := refuse(request, 1, 0, limited)
	if wait, ok := d.untilTurn(now, endpoints); ok {
		refusal.RetryAfter = max(wait, minTurnRetryAfter)
	}
	return refusal
}

// minTurnRetryAfter is the shortest delay after which a caller should retry for a turn. One that is due
// belongs to a router that couldn't place the request for another reason.
const minTurnRetryAfter = 50 * time.Millisecond

// MaySend reports whether the request may still be sent to its endpoint, as far as that is cold, and
// counts it if so. It is called immediately before the request is sent.
func (a *Assignment) MaySend(now time.Time) bool {
	d := a.dispatcher
	e, ok := d.registry.Lookup(a.Endpoint.ID)
	if !ok {
		e = a.Endpoint
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	hash, cold := d.refresh(now, &e)
	if !cold {
		return true
	}
	if !d.cold.table.Send(now, hash, a.turn) {
		return false
	}
	a.turn = warmup.Turn{}
	return true
}

// returnTurn gives back the turn of a request that was not sent.
func (a *Assignment) returnTurn() {
	if a.turn != (warmup.Turn{}) {
		a.dispatcher.cold.table.Return(endpointload.Hash(a.Endpoint.ID), a.turn)
		a.turn = warmup.Turn{}
	}
}

// suspectRestart records that an endpoint may have restarted: a connection of this router to it broke or
// could not be opened, or it reported another start than its entry.
func (d *Dispatcher) suspectRestart(now time.Time, id string) {
	hash := endpointload.Hash(id)
	if e, ok := d.cold.endpoints[hash]; ok {
		s := d.cold.services[e.Service]
		d.cold.table.Set(now, hash, s.Rate, warmup.Connection, now.Add(s.Start))
	}
}

// suspectUnreachable records that a peer could not reach an endpoint. It may restart at any time after that,
// and this router may have no connection to it that breaks, so that it must be asked before it is used.
func (d *Dispatcher) suspectUnreachable(now time.Time, instance string, hash uint32) {
	e, ok := d.cold.endpoints[hash]
	if !ok {
		return
	}
	report := unreachableReport{instance, hash}
	latest, repeated := d.cold.unreachable[report]
	d.cold.unreachable[report] = now
	if repeated && now.Sub(latest) < repeatedReportTime {
		return
	}
	s := d.cold.services[e.Service]
	d.incarnations.Doubt(now, e.ID)
	d.cold.table.Set(now, hash, s.Rate, warmup.Peer, now.Add(s.Start))
}

// ZoneReturned records that the evacuation of a zone has ended. Its endpoints have had no requests, and
// count as cold if their service has cold endpoints.
func (d *Dispatcher) ZoneReturned(now time.Time, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for hash, e := range d.cold.endpoints {
		if e.Zone == zone {
			s := d.cold.services[e.Service]
			d.cold.table.Set(now, hash, s.Rate, warmup.Evacuation, now.Add(s.Start))
		}
	}
}

// expireCold drops what is no longer needed about cold endpoints.
func (d *Dispatcher) expireCold(now time.Time) {
	if len(d.cold.services) == 0 {
		return
	}
	for hash, e := range d.cold.endpoints {
		d.confirmCold(now, hash, e.ID)
	}
	d.cold.table.Expire(now)
	for report, at := range d.cold.unreachable {
		if now.Sub(at) >= repeatedReportTime {
			delete(d.cold.unreachable, report)
		}
	}
}

// ColdChange says that an endpoint has become cold, or warm again.
type ColdChange struct {
	warmup.Change
	ID string
}

// TakeColdChanges returns the endpoints that have become cold or warm since its latest call.
func (d *Dispatcher) TakeColdChanges() []ColdChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collectColdChanges()
	changes := d.cold.changes
	d.cold.changes = nil
	return changes
}

func (d *Dispatcher) collectColdChanges() {
	for _, c := range d.cold.table.TakeChanges() {
		d.cold.changes = append(d.cold.changes, ColdChange{Change: c, ID: d.cold.endpoints[c.Endpoint].ID})
	}
}

// ColdEndpoints returns the number of endpoints that are cold now, and how many candidates placements
// have left out because of it.
func (d *Dispatcher) ColdEndpoints(now time.Time) (cold int, leftOut int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cold.table.Cold(now), d.cold.leftOut
}
