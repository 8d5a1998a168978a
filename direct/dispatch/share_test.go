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
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against an allowance that grows with the excess, that starves a team,
// or that holds a team back below its share.
func TestAllowanceFallsWithTheExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0, 100).Draw(t, "a")
		b := rapid.Float64Range(0, 100).Draw(t, "b")
		low, high := allowanceOf(min(a, b)), allowanceOf(max(a, b))
		if high > low || high < minAllowance || low > 1 {
			t.Fatalf("allowances %v and %v of excesses %v and %v", low, high, min(a, b), max(a, b))
		}
		if max(a, b) <= 1 && high != beyondShare {
			t.Fatalf("a team within its share of what the engines did has the allowance %v", high)
		}
	})
}

// newEngines returns a dispatcher with n engines and a token rate.
func newEngines(n int, tokensPerSecond float64) *Dispatcher {
	table := registry.NewTable()
	for i := range n {
		table.Put(registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: 64})
	}
	d := New("", table, placement.DefaultPolicy(), retry.DefaultLimits())
	d.SetCapacity(tokensPerSecond, n)
	return d
}

// flood is the load pattern of two teams that ask for far more than there is,
// one of them several times as much as the other, beside some quiet teams.
type flood struct {
	// perStep is how many requests each team sends per step.
	perStep map[string]int
	tokens  int64
}

const floodStep = 5 * time.Millisecond

// replay plays the flood through placement with engines that read rate tokens
// per ms, and returns the tokens begun by team after the first half.
func (f flood) replay(d *Dispatcher, engines int, rate float64, steps int) map[string]int64 {
	now := time.Unix(1_700_000_000, 0)
	type sent struct {
		a      *Assignment
		team   string
		tokens int64
	}
	queues := map[string][]sent{}
	credit := map[string]float64{}
	begun := map[string]int64{}
	id := uint64(0)
	for step := range steps {
		now = now.Add(floodStep)
		for _, team := range slices.Sorted(maps.Keys(f.perStep)) {
			for range f.perStep[team] {
				id++
				cost := prompt.Cost{Shared: []prompt.Part{{Key: id, Tokens: 1}}, Own: f.tokens}
				d.Ask(now, "s", team, cost.Units())
				a, _ := d.Engine(now, &Job{Service: "s", Team: team, Cost: cost, Target: time.Second})
				if a != nil {
					queues[a.Endpoint.ID] = append(queues[a.Endpoint.ID], sent{a, team, f.tokens})
				}
			}
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
					begun[s.team] += s.tokens
				}
			}
			if len(queues[engine]) == 0 {
				credit[engine] = 0
			}
		}
	}
	return begun
}

// Guards against the flooding team with the most requests getting more than
// twice of what another flooding team gets (the bound of the fairness rule),
// whether the operators' rate is close to what the engines do (400,000 tokens a
// second) or far below it.
func TestFloodingTeamsGetAlike(t *testing.T) {
	for _, rate := range []float64{300_000, 130_000, 50_000} {
		f := flood{perStep: map[string]int{"a-loud": 40, "b-less": 10}, tokens: 1000}
		begun := f.replay(newEngines(8, rate), 8, 50, 2000)
		must.Less(t, 2*begun["b-less"], begun["a-loud"], must.Sprint(rate))
		must.Less(t, 2*begun["a-loud"], begun["b-less"], must.Sprint(rate))
		// The engines are never idle for long: 8 x 50 tokens/ms over half of 10 s.
		must.Greater(t, int64(0.9*8*50*5_000), begun["a-loud"]+begun["b-less"], must.Sprint(rate))
	}
}

// Guards against a quiet team that loses requests to flooding ones.
func TestQuietTeamIsNotHeldBack(t *testing.T) {
	d := newEngines(8, 300_000)
	f := flood{perStep: map[string]int{"a-loud": 40, "b-less": 10, "quiet": 1}, tokens: 100}
	begun := f.replay(d, 8, 50, 2000)
	// One request of 100 tokens each 5 ms over half of 10 s, begun but for the
	// last ones, which still wait.
	must.Greater(t, int64(0.98*100*1000), begun["quiet"])
}

// Guards against a team that is charged for requests which found their engines
// unreachable, so that it gets less than others.
func TestUnreachedRunsAreNotCharged(t *testing.T) {
	d := newEngines(2, 1000)
	now := time.Unix(1_700_000_000, 0)
	job := &Job{Service: "s", Team: "t", Cost: prompt.Cost{Own: 1000}, Target: time.Second}
	a, refusal := d.Engine(now, job)
	must.Nil(t, refusal)
	must.Eq(t, 1000, d.team(now, "t").window.Sum(now).Started)
	a.End(now, endpointload.Unreached)
	must.Eq(t, 0, d.team(now, "t").window.Sum(now).Started)

	a, refusal = d.Engine(now, job)
	must.Nil(t, refusal)
	a.Begin(now)
	a.End(now, endpointload.Failed)
	must.Eq(t, 1000, d.team(now, "t").window.Sum(now).Started)
}

// Guards against engines that peers find unreachable and that still get
// requests, and against a refusal when there is no other.
func TestDoubtedEnginesComeLast(t *testing.T) {
	d := newEngines(2, 1000)
	now := time.Unix(1_700_000_000, 0)
	doubt := func(sequence uint64, engines ...string) {
		loads := map[uint64]endpointload.Load{}
		for _, id := range engines {
			loads[endpointload.Hash(id)] = endpointload.Load{Unreachable: true}
		}
		for _, peer := range []string{"p1", "p2"} {
			d.Learn(now, PeerReport{Instance: peer, Sequence: sequence, Loads: loads})
		}
	}
	doubt(1, "e0")
	for range 20 {
		a, refusal := d.Engine(now, &Job{Service: "s", Cost: prompt.Cost{Own: 10}, Target: time.Second})
		must.Nil(t, refusal)
		must.Eq(t, "e1", a.Endpoint.ID)
	}
	doubt(2, "e0", "e1")
	_, refusal := d.Engine(now, &Job{Service: "s", Cost: prompt.Cost{Own: 10}, Target: time.Second})
	must.Nil(t, refusal)
}
