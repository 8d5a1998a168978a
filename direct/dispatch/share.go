package dispatch

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
)

const (
	// usageLifetime is the age at which a peer's counts no longer hold.
	usageLifetime = 2 * time.Second
	// minAllowance is what a team far above its share still gets of an engine's
	// room, so that no engine is idle while its requests wait.
	minAllowance = 0.02
	// beyondShare is the part of an engine's room for teams that have their share
	// of the operators' rate and ask for more: what the engines do beyond that
	// rate is divided as well, but doesn't delay teams below their share.
	beyondShare = 0.3
)

// allowance scales the room that a team's request may use: 1 up to the team's
// max-min share, falling to minAllowance at fullExcess times the share.
func (d *Dispatcher) allowance(now time.Time, name string) float64 {
	if name == "" {
		return 1
	}
	d.refreshLevel(now)
	if d.level <= 0 {
		return 1
	}
	hash := TeamHash(name)
	used := d.team(now, name).window.Sum(now).Started
	for _, p := range d.peers {
		if now.Sub(p.heard) <= usageLifetime {
			used += p.teams[hash].Started
		}
	}
	if used <= d.level {
		return 1
	}
	return allowanceOf(float64(used) / float64(d.reached))
}

// allowanceOf returns the part of an engine's room for a team that has its share
// of the operators' rate. excess is what it got, divided by its share of what the
// engines did. The allowance falls with the third power: what a team gets grows
// with its requests times its allowance, so that its excess grows only with the
// fourth root of its requests, and four times the flood gets 1.4 times as much.
func allowanceOf(excess float64) float64 {
	return max(minAllowance, beyondShare/max(excess*excess*excess, 1))
}

// refreshLevel derives the max-min level from what all teams asked for and
// the operators' token rate; without one, from what was started lately. The
// engines can do more than that rate: what is left goes to requests above
// their team's share, in the room that allowance leaves them.
func (d *Dispatcher) refreshLevel(now time.Time) {
	if now.Sub(d.levelTime) < shareRefresh {
		return
	}
	d.levelTime = now
	totals := map[uint64]fairshare.Usage{}
	for name, t := range d.teams {
		totals[TeamHash(name)] = t.window.Sum(now)
	}
	for _, p := range d.peers {
		if now.Sub(p.heard) > usageLifetime {
			continue
		}
		for hash, u := range p.teams {
			totals[hash] = totals[hash].Add(u)
		}
	}
	demands := make([]int64, 0, len(totals))
	var started int64
	for _, u := range totals {
		demands = append(demands, u.Asked)
		started += u.Started
	}
	capacity := int64(d.capacity * fairshare.Span.Seconds())
	if capacity == 0 {
		capacity = started
	}
	d.level = fairshare.Level(demands, capacity)
	d.reached = fairshare.Level(demands, max(capacity, started))
}

// Report is this router's work and the teams' counts, for its peers.
type Report struct {
	Loads  map[string]endpointload.Load
	Teams  map[string]fairshare.Usage
	Placed []Placed
}

// Report returns the current report and forgets the placements in it.
func (d *Dispatcher) Report(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Loads: d.loads.Own(now), Teams: map[string]fairshare.Usage{}, Placed: d.placed}
	d.placed = nil
	for name, t := range d.teams {
		if u := t.window.Sum(now); u != (fairshare.Usage{}) {
			r.Teams[name] = u
		}
	}
	return r
}

// PeerReport is a report as received from a peer.
type PeerReport struct {
	Instance string
	Sequence uint64
	Loads    map[uint64]endpointload.Load
	Teams    map[uint64]fairshare.Usage
	Placed   []Placed
}

// Learn takes a peer's report. It ignores one that was overtaken.
func (d *Dispatcher) Learn(now time.Time, r PeerReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loads.PeerReport(now, r.Instance, r.Sequence, r.Loads) {
		return
	}
	d.peers[r.Instance] = peerUsage{heard: now, teams: r.Teams}
	for _, p := range r.Placed {
		d.loads.PlacedAt(now, p.Endpoint, p.Part)
	}
}
