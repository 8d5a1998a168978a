package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against an allowance that grows with the excess, that starves a team,
// or that limits a team below its share.
func TestAllowanceDecreasesWithExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0, 100).Draw(t, "a")
		b := rapid.Float64Range(0, 100).Draw(t, "b")
		low, high := excessAllowance(min(a, b)), excessAllowance(max(a, b))
		if high > low || high < minAllowance || low > 1 {
			t.Fatalf("allowances %v and %v of excesses %v and %v", low, high, min(a, b), max(a, b))
		}
		if max(a, b) <= 1 && high != maxExcessAllowance {
			t.Fatalf("allowance of a team within its share of the achieved rate is %v", high)
		}
	})
}

// newEngines returns a Dispatcher with n registered engines and a token rate.
func newEngines(n int, tokensPerSecond float64) *Dispatcher {
	table := registry.NewTable()
	for i := range n {
		table.Put(registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: 64})
	}
	d := New("", table, placement.DefaultPolicy(), retry.DefaultLimits())
	d.SetCapacity(tokensPerSecond, n)
	return d
}

// floodLoad is a load pattern in which two teams request far more than the
// capacity, one of them several times as much as the other, next to teams with
// few requests.
type floodLoad struct {
	// refused is the fraction of a team's requests that its routers refuse for lack of
	// CPU time, before they are placed.
	refused map[string]float64
	// abandoned is the fraction of a team's placed requests whose callers leave, after the
	// latency target, before the engine has begun.
	abandoned map[string]float64
	// perStep is the number of requests per step by team.
	perStep map[string]int
	tokens  int64
}

const (
	floodStep   = 5 * time.Millisecond
	floodTarget = time.Second
)

// simulate sends the load through placement to engines that process rate tokens
// per ms, and returns the tokens started by team in the second half of the steps.
func (f floodLoad) simulate(d *Dispatcher, engines int, rate float64, steps int) map[string]int64 {
	now := time.Unix(1_700_000_000, 0)
	type placedRequest struct {
		a      *Assignment
		team   string
		tokens int64
	}
	type leavingRequest struct {
		a  *Assignment
		at time.Time
	}
	var leaving []leavingRequest
	queues := map[string][]placedRequest{}
	credit := map[string]float64{}
	started := map[string]int64{}
	id := uint64(0)
	for step := range steps {
		now = now.Add(floodStep)
		for _, team := range slices.Sorted(maps.Keys(f.perStep)) {
			for range f.perStep[team] {
				id++
				cost := prompt.Cost{SharedParts: []prompt.Part{{Key: id, Tokens: 1}}, UnsharedTokens: f.tokens}
				d.RecordRequest(now, "s", team, cost.Units())
				if credit["refused "+team] += f.refused[team]; credit["refused "+team] >= 1 {
					credit["refused "+team]--
					continue
				}
				a, _ := d.PlaceEngine(now, &Request{Service: "s", Team: team, Cost: cost, Target: floodTarget})
				if a == nil {
					continue
				}
				if credit["abandoned "+team] += f.abandoned[team]; credit["abandoned "+team] >= 1 {
					credit["abandoned "+team]--
					leaving = append(leaving, leavingRequest{a, now.Add(floodTarget)})
				} else {
					queues[a.Endpoint.ID] = append(queues[a.Endpoint.ID], placedRequest{a, team, f.tokens})
				}
			}
		}
		for len(leaving) > 0 && !now.Before(leaving[0].at) {
			leaving[0].a.End(now, endpointload.Abandoned)
			leaving = leaving[1:]
		}
		for i := range engines {
			engine := fmt.Sprintf("e%d", i)
			credit[engine] += rate * float64(floodStep/time.Millisecond)
			for len(queues[engine]) > 0 && credit[engine] >= float64(queues[engine][0].tokens) {
				s := queues[engine][0]
				queues[engine] = queues[engine][1:]
				credit[engine] -= float64(s.tokens)
				s.a.Begin(now)
				s.a.End(now, endpointload.Succeeded)
				if step > steps/2 {
					started[s.team] += s.tokens
				}
			}
			if len(queues[engine]) == 0 {
				credit[engine] = 0
			}
		}
	}
	return started
}

// Guards against the flooding team with the most requests getting more than
// twice the throughput of another flooding team, the bound of the fairness rule.
// The configured rate is close to the actual capacity of the engines (400,000
// tokens per second) or far below it.
func TestFloodingTeamsGetSimilarThroughput(t *testing.T) {
	for _, rate := range []float64{300_000, 130_000, 50_000} {
		f := floodLoad{perStep: map[string]int{"a-flood": 40, "b-flood": 10}, tokens: 1000}
		started := f.simulate(newEngines(8, rate), 8, 50, 2000)
		must.Less(t, 2*started["b-flood"], started["a-flood"], must.Sprint(rate))
		must.Less(t, 2*started["a-flood"], started["b-flood"], must.Sprint(rate))
		// The engines are never idle for long: 8 x 50 tokens/ms over half of 10 s.
		must.Greater(t, int64(0.9*8*50*5_000), started["a-flood"]+started["b-flood"], must.Sprint(rate))
	}
}

// Guards against a flooding team that gets more than twice the throughput of another
// one whose callers reach routers without CPU time. The other team's routers let through
// 80,000 tokens per second, more than its share of the lower rate (65,000) and about half
// of its share of the higher one.
func TestFloodOnStarvedRoutersGetsHalfOfTheBest(t *testing.T) {
	for _, rate := range []float64{130_000, 300_000} {
		f := floodLoad{
			perStep: map[string]int{"a-flood": 10, "b-starved": 10}, tokens: 1000,
			// 10 requests per 5 ms are 2 million tokens per second.
			refused: map[string]float64{"b-starved": 0.96},
		}
		started := f.simulate(newEngines(8, rate), 8, 50, 2000)
		must.Positive(t, started["b-starved"])
		must.LessEq(t, 2*started["b-starved"], started["a-flood"], must.Sprint(rate))
	}
}

// Guards against a flooding team that gets more than twice the throughput of another
// one because requests of the other team count that no engine began. Its routers are so
// late that half of its callers leave after their request was sent.
func TestFloodWhoseCallersLeaveGetsHalfOfTheBest(t *testing.T) {
	for _, rate := range []float64{130_000, 300_000} {
		f := floodLoad{
			perStep: map[string]int{"a-flood": 10, "b-late": 10}, tokens: 1000,
			refused: map[string]float64{"b-late": 0.92}, abandoned: map[string]float64{"b-late": 0.5},
		}
		started := f.simulate(newEngines(8, rate), 8, 50, 2000)
		must.Positive(t, started["b-late"])
		must.LessEq(t, 2*started["b-late"], started["a-flood"], must.Sprint(rate))
	}
}

// Guards against refusals of a team below its share while other teams flood the
// engines.
func TestTeamBelowShareIsNotDelayedByFloods(t *testing.T) {
	d := newEngines(8, 300_000)
	f := floodLoad{perStep: map[string]int{"a-flood": 40, "b-flood": 10, "c-low": 1}, tokens: 100}
	started := f.simulate(d, 8, 50, 2000)
	// One request of 100 tokens every 5 ms over half of 10 s, all started except
	// the last ones, which still wait.
	must.Greater(t, int64(0.98*100*1000), started["c-low"])
}

// Guards against charging a team for requests whose engines were unreachable,
// which would give it less throughput than other teams.
func TestUnreachableEndpointRefundsCharge(t *testing.T) {
	d := newEngines(2, 1000)
	now := time.Unix(1_700_000_000, 0)
	request := &Request{Service: "s", Team: "t", Cost: prompt.Cost{UnsharedTokens: 1000}, Target: time.Second}
	a, refusal := d.PlaceEngine(now, request)
	must.Nil(t, refusal)
	must.Eq(t, 1000, d.team(now, "t").window.Sum(now).Started)
	a.End(now, endpointload.ConnectFailed)
	must.Eq(t, 0, d.team(now, "t").window.Sum(now).Started)

	a, refusal = d.PlaceEngine(now, request)
	must.Nil(t, refusal)
	a.Begin(now)
	a.End(now, endpointload.Failed)
	must.Eq(t, 1000, d.team(now, "t").window.Sum(now).Started)
}

// Guards against requests to engines that peers report as unreachable while other
// engines are usable, and against a refusal if peers report all of them as
// unreachable.
func TestUnreachableEnginesAreLastChoice(t *testing.T) {
	d := newEngines(2, 1000)
	now := time.Unix(1_700_000_000, 0)
	reportUnreachable := func(sequence uint64, engines ...string) {
		var loads []endpointload.PeerLoad
		for _, id := range engines {
			loads = append(loads, endpointload.PeerLoad{Endpoint: endpointload.Hash(id), Load: endpointload.Load{Unreachable: true}})
		}
		for _, peer := range []string{"p1", "p2"} {
			d.ApplyPeerReport(now, PeerReport{Instance: peer, Sequence: sequence, Loads: loads})
		}
	}
	reportUnreachable(1, "e0")
	for range 20 {
		a, refusal := d.PlaceEngine(now, &Request{Service: "s", Cost: prompt.Cost{UnsharedTokens: 10}, Target: time.Second})
		must.Nil(t, refusal)
		must.Eq(t, "e1", a.Endpoint.ID)
	}
	reportUnreachable(2, "e0", "e1")
	_, refusal := d.PlaceEngine(now, &Request{Service: "s", Cost: prompt.Cost{UnsharedTokens: 10}, Target: time.Second})
	must.Nil(t, refusal)
}

// Guards against an interrupted stream that can't continue at another engine because its
// team is above its share.
func TestShareDoesNotLimitRepeatedRequests(t *testing.T) {
	d := newEngines(2, 100_000)
	now := time.Unix(1_700_000_000, 0)
	d.RecordRequest(now, "s", "t", 1_000_000)
	// The other team gets more than half of what it requests, so that only the share
	// limits this one.
	d.ApplyPeerReport(now, PeerReport{Instance: "peer", Sequence: 1, HasTeams: true, Teams: []TeamUsage{
		{TeamHash("other"), fairshare.Usage{Requested: 1_000_000, Started: 600_000, Begun: 600_000}},
	}})
	request := &Request{Service: "s", Team: "t", Cost: prompt.Cost{UnsharedTokens: 2000}, Target: time.Second}
	// The engines finish the requests of the team's share, and then fall behind.
	share := 100_000 * 4 / 2
	for used := 0; ; used += 2000 {
		now = now.Add(10 * time.Millisecond)
		a, refusal := d.PlaceEngine(now, request)
		if refusal != nil {
			must.Greater(t, share, used)
			must.Eq(t, OverShare, refusal.Reason)
			break
		}
		if used < share {
			a.Begin(now)
			a.End(now, endpointload.Succeeded)
		}
	}
	request.Repeated = true
	_, refusal := d.PlaceEngine(now, request)
	must.Nil(t, refusal)
}

// Guards against sums over peers that drift from the peers' latest reports: a report
// without teams keeps the previous ones, and silent peers don't count.
func TestPeerTeamSumsMatchLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newEngines(1, 1000)
		now := time.Unix(1_700_000_000, 0)
		type latest struct {
			at    time.Time
			teams []TeamUsage
		}
		want := map[string]latest{}
		for sequence := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			r := PeerReport{
				Instance: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer"), Sequence: uint64(sequence + 1),
				HasTeams: rapid.Bool().Draw(t, "has teams"),
			}
			if r.HasTeams {
				for range rapid.IntRange(0, 3).Draw(t, "teams") {
					r.Teams = append(r.Teams, TeamUsage{Team: rapid.Uint32Range(1, 3).Draw(t, "team"), Usage: fairshare.Usage{
						Requested: rapid.Int64Range(0, 9).Draw(t, "requested"), Started: rapid.Int64Range(0, 9).Draw(t, "started"), Begun: rapid.Int64Range(0, 9).Draw(t, "begun"),
					}})
				}
				want[r.Instance] = latest{now, r.Teams}
			}
			d.ApplyPeerReport(now, r)
			if rapid.Bool().Draw(t, "evict") {
				d.EvictExpired(now)
			}
			d.expirePeerUsage(now)
			sums := map[uint32]fairshare.Usage{}
			for _, l := range want {
				if now.Sub(l.at) > peerUsageTTL {
					continue
				}
				for _, u := range l.teams {
					if sum := sums[u.Team].Add(u.Usage); sum != (fairshare.Usage{}) {
						sums[u.Team] = sum
					}
				}
			}
			if !maps.Equal(sums, d.peerTeams) {
				t.Fatalf("sums are %v, want %v", d.peerTeams, sums)
			}
		}
	})
}
