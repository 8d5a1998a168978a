package dispatch

import (
	"maps"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
)

const (
	// peerUsageTTL is the age above which a peer's usage report is ignored.
	peerUsageTTL = 2 * time.Second
	// minAllowance is the allowance of a team far above its share. It is above 0
	// so that no engine is idle while requests of that team wait.
	minAllowance = 0.02
	// maxExcessAllowance is the largest allowance of a team that has used its
	// share of the configured rate and requests more. Capacity of the engines
	// beyond that rate is divided as well, without delaying teams below their
	// share.
	maxExcessAllowance = 0.3
	// maxServedRatio bounds the throughput of a team that requests more than its share,
	// relative to that of the least served of these teams. The callers of the latter may
	// all reach routers without CPU time; the fairness rule demands at least half of
	// the best served team's throughput.
	maxServedRatio = 1.8
	// minServedFraction is the fraction of its share that a team gets in any case, however
	// little another team gets.
	minServedFraction = 0.15
	// servedLimitRange is the fraction of that throughput over which the allowance
	// falls to 0.
	servedLimitRange = 0.1
)

// allowance returns the fraction of an engine's limits that a team's request
// may use: 1 up to the team's max-min share of the configured rate, above that
// the excessAllowance of its use relative to achievedLevel. It falls to 0 for a team that
// requests more than its share and has got so much more than another such team that it
// must wait, even for an idle engine.
func (d *Dispatcher) allowance(now time.Time, name string) float64 {
	if name == "" {
		return 1
	}
	d.refreshLevels(now)
	if d.configuredLevel <= 0 {
		return 1
	}
	hash := TeamHash(name)
	usage := d.teamUsage(now, name)
	used := usage.Started
	a := 1.0
	if used > d.configuredLevel {
		a = excessAllowance(float64(used) / float64(d.achievedLevel))
	}
	if d.servedLimit > 0 && hash != d.leastServed && usage.Requested > d.configuredLevel {
		// A gradual decrease avoids that the team alternates between no requests and
		// bursts whenever old requests leave the window.
		a *= min(max(float64(d.servedLimit-used)/(servedLimitRange*float64(d.servedLimit)), 0), 1)
	}
	return a
}

// teamUsage returns the usage of a team at all routers.
func (d *Dispatcher) teamUsage(now time.Time, name string) fairshare.Usage {
	usage := d.peerTeams[TeamHash(name)]
	if t := d.teams[name]; t != nil {
		usage = usage.Add(t.window.Sum(now))
	}
	return usage
}

// leastServed returns the team with the smallest number of begun tokens, and that
// number, among those that request more than level and get less than half of it. ok is
// false if there is no such team.
func leastServed(totals map[uint32]fairshare.Usage, level int64) (team uint32, least int64, ok bool) {
	for hash, u := range totals {
		if u.Requested > level && 2*u.Begun < u.Requested && (!ok || u.Begun < least) {
			team, least, ok = hash, u.Begun, true
		}
	}
	return team, least, ok
}

// AboveShare reports whether a team has used its share of the configured rate.
func (d *Dispatcher) AboveShare(now time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allowance(now, name) < 1
}

// excessAllowance returns the allowance of a team that has used its share of the
// configured rate. excess is the team's usage divided by its share of the tokens
// that the engines processed. The allowance falls with the third power of excess:
// a team's throughput is proportional to its requests times its allowance, so its
// excess grows only with the fourth root of its request rate, and four times as
// many requests get 1.4 times as much.
func excessAllowance(excess float64) float64 {
	return max(minAllowance, maxExcessAllowance/max(excess*excess*excess, 1))
}

// refreshLevels computes the max-min levels from the tokens that all teams
// requested and the configured token rate or, without one, the tokens that were
// started within the window. The engines may have more capacity than that rate;
// the remainder goes to requests above their team's share, within the limits
// that allowance sets.
func (d *Dispatcher) refreshLevels(now time.Time) {
	if now.Sub(d.levelsUpdatedAt) < levelRefreshInterval {
		return
	}
	d.levelsUpdatedAt = now
	d.expirePeerUsage(now)
	totals := d.teamTotals(now)
	demands := make([]int64, 0, len(totals))
	var started int64
	for _, u := range totals {
		demands = append(demands, u.Requested)
		started += u.Started
	}
	capacity := int64(d.capacity * fairshare.WindowLength.Seconds())
	if capacity == 0 {
		capacity = started
	}
	d.configuredLevel = fairshare.MaxMinLevel(demands, capacity)
	d.achievedLevel = fairshare.MaxMinLevel(demands, max(capacity, started))
	d.servedLimit = 0
	if team, least, ok := leastServed(totals, d.configuredLevel); ok {
		d.leastServed = team
		d.servedLimit = int64(max(maxServedRatio*float64(least), minServedFraction*float64(d.configuredLevel)))
	}
}

// teamTotals returns the usage at all routers by the hash of the team.
func (d *Dispatcher) teamTotals(now time.Time) map[uint32]fairshare.Usage {
	totals := maps.Clone(d.peerTeams)
	for name, t := range d.teams {
		hash := TeamHash(name)
		totals[hash] = totals[hash].Add(t.window.Sum(now))
	}
	return totals
}

// addPeerTeams adds a peer's usage to the sums over all peers, or subtracts it if sign is
// -1.
func (d *Dispatcher) addPeerTeams(teams []TeamUsage, sign int64) {
	for _, t := range teams {
		sum := d.peerTeams[t.Team].Add(fairshare.Usage{Requested: sign * t.Requested, Started: sign * t.Started, Begun: sign * t.Begun})
		if sum == (fairshare.Usage{}) {
			delete(d.peerTeams, t.Team)
		} else {
			d.peerTeams[t.Team] = sum
		}
	}
}

// expirePeerUsage removes the usage of peers that have sent none within peerUsageTTL.
func (d *Dispatcher) expirePeerUsage(now time.Time) {
	for _, p := range d.peers {
		if len(p.teams) > 0 && now.Sub(p.teamsReceivedAt) > peerUsageTTL {
			d.addPeerTeams(p.teams, -1)
			p.teams = nil
		}
	}
}

// Report is this router's load per endpoint ID and usage per team name, for its
// peers.
type Report struct {
	Loads  map[string]endpointload.Load
	Teams  map[string]fairshare.Usage
	Placed []PlacedPart
}

// Report returns the current report and clears the recorded placements, so that
// each is reported once.
func (d *Dispatcher) Report(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Loads: d.loads.OwnLoads(now), Teams: map[string]fairshare.Usage{}, Placed: d.placed}
	d.placed = nil
	for name, t := range d.teams {
		if u := t.window.Sum(now); u != (fairshare.Usage{}) {
			r.Teams[name] = u
		}
	}
	return r
}

// PeerReport is a report received from a peer. Endpoints and teams are identified by
// the hashes of their IDs and names.
type PeerReport struct {
	Instance string
	Sequence uint64
	Loads    []endpointload.PeerLoad
	// HasTeams is set if Teams replaces the teams of the peer's previous report.
	HasTeams bool
	Teams    []TeamUsage
	Placed   []PlacedPart
}

// TeamUsage is a peer's usage by the team with this hash.
type TeamUsage struct {
	Team uint32
	fairshare.Usage
}

// ApplyPeerReport applies a peer's report. It ignores a report whose sequence
// number is not newer than that of the last one from the same peer.
func (d *Dispatcher) ApplyPeerReport(now time.Time, r PeerReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loads.ApplyPeerReport(now, r.Instance, r.Sequence, r.Loads) {
		return
	}
	p := d.peers[r.Instance]
	if p == nil {
		p = &peerUsage{}
		d.peers[r.Instance] = p
	}
	p.receivedAt = now
	if r.HasTeams {
		d.addPeerTeams(p.teams, -1)
		d.addPeerTeams(r.Teams, 1)
		p.teams, p.teamsReceivedAt = r.Teams, now
	}
	for _, p := range r.Placed {
		d.loads.RecordPeerPlacement(now, p.Endpoint, p.Part)
	}
	for _, l := range r.Loads {
		if l.Unreachable {
			d.recordEndpointDown(now, l.Endpoint)
			d.suspectUnreachable(now, r.Instance, l.Endpoint)
		}
	}
}
