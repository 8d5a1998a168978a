package fairqueue

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// rapidSeed is the default seed of the property tests. The flag -rapid.seed
// overrides it.
const rapidSeed = "20260"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(rapidSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func drawOptions(r *rapid.T) simOptions {
	return simOptions{
		seed:        rapid.Uint64().Draw(r, "seed"),
		endpoints:   rapid.IntRange(1, 4).Draw(r, "endpoints"),
		slots:       rapid.IntRange(1, 4).Draw(r, "slots"),
		routers:     rapid.IntRange(2, 3).Draw(r, "routers"),
		weights:     rapid.SliceOfN(rapid.Uint64Range(1, 5), 2, 5).Draw(r, "weights"),
		lateStep:    rapid.IntRange(0, 200).Draw(r, "late"),
		lossPercent: rapid.IntRange(0, 30).Draw(r, "loss"),
		steps:       500,
	}
}

// checkSchedule simulates one schedule and checks that every team finishes at least one
// request.
func checkSchedule(r *rapid.T, o simOptions) {
	s := newSim(r, o)
	s.run()
	for team := range s.weights {
		if s.finished[team] == 0 {
			r.Fatalf("%s finished no request", team)
		}
	}
	if testing.Verbose() {
		r.Logf("largest gap is %.2f of the bound", s.largestGap)
	}
}

// Guards against a service gap above the bound, starvation, a token that is granted
// twice, and a token that stays free while a ticket waits. Hints are inaccurate, the
// last team starts late and pauses once, and messages are lost, duplicated and
// reordered.
func TestRandomSchedulesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := drawOptions(r)
		o.pauseStep = rapid.IntRange(o.lateStep+50, 300).Draw(r, "pause")
		checkSchedule(r, o)
	})
}

// Guards against the same failures when a new owner takes over during the
// simulation.
func TestNewOwnerKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := drawOptions(r)
		o.lateStep = min(o.lateStep, 150)
		o.replaceOwnerStep = rapid.IntRange(o.lateStep+50, 350).Draw(r, "replace")
		checkSchedule(r, o)
	})
}

// Guards against the same failures when an agent restarts.
func TestRestartedAgentKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := drawOptions(r)
		o.restartAgentStep = rapid.IntRange(20, 350).Draw(r, "restart")
		checkSchedule(r, o)
	})
}

// Guards against a change of the fairness bound: with hints of zero and D tokens
// that become free at the same time, the service of two backlogged teams at weight
// 1 differs by 2*D*C, where C is the cost of each request.
func TestBoundIsTight(t *testing.T) {
	const tokens, cost = 8, 100
	q := newQueue(Options{}, "e")
	enqueue := func(team string, ms int) {
		for i := range 4 * tokens {
			must.True(t, q.Enqueue(atMs(ms), ticket(fmt.Sprint(team, i), team, 0, ms)))
		}
	}
	service := map[string]uint64{}
	seq := uint64(0)
	round := func(ms int) map[string]int {
		seq++
		r := report("e", seq)
		for i := range tokens {
			r.FreeTokens = append(r.FreeTokens, fmt.Sprint(seq, "-", i))
		}
		for team, s := range service {
			r.Counters = append(r.Counters, Counter{Team: team, Cost: s, Normalized: s * millionths})
		}
		must.Eq(t, RefusedNone, q.Report(atMs(ms), r).Refused)
		got := map[string]int{}
		for _, g := range grantAll(q, atMs(ms), unitWeight) {
			got[g.Ticket.Team]++
			service[g.Ticket.Team] += cost
		}
		return got
	}
	enqueue("j", 1)
	must.Eq(t, map[string]int{"j": tokens}, round(2))
	enqueue("i", 3)
	before := service["j"]
	must.Eq(t, map[string]int{"i": tokens}, round(4))
	must.Eq(t, map[string]int{"i": tokens}, round(5))
	must.Eq(t, before, service["j"])
	must.Eq(t, uint64(2*tokens*cost), service["i"])
	must.Eq(t, map[string]int{"j": tokens}, round(6))
}
