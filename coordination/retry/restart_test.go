package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// platformRatio and platformSlack bound the retries of all routers in any Window: the ratio of the requests
	// of that Window, the one before or the one half a Window before, plus the slack.
	platformRatio, platformSlack = 0.2, 56
	// usedFraction is the fraction of both that routers use which know what was retried.
	usedFraction = 0.7
)

// restartPlay is a fleet whose routers retry the requests that endpoints fail, and are killed meanwhile.
type restartPlay struct {
	random            *rand.Rand
	budgets           []*Budget
	requests, retries []time.Duration
}

func (p *restartPlay) start(now time.Duration, isFirst bool) *Budget {
	var unknown Start
	if !isFirst {
		unknown = Start{Until: playStart.Add(now + UnknownSpan), Fraction: platformRatio * (1 - usedFraction)}
	}
	limits := Limits{Floor: platformSlack * usedFraction, Fraction: platformRatio * usedFraction}
	return NewBudget(limits.Divide(len(p.budgets)), unknown)
}

var playStart = time.Unix(1_700_000_000, 0)

// run plays some calm and then trouble in which routers are killed, all or some, at a mean interval.
func (p *restartPlay) run(rate, failing float64, killEvery time.Duration, killedShare float64) {
	const step, calm, end = 10 * time.Millisecond, 12 * time.Second, 40 * time.Second
	for i := range p.budgets {
		p.budgets[i] = p.start(0, true)
	}
	for now := time.Duration(0); now < end; now += step {
		inTrouble := now >= calm && now < end-2*Window/3
		if inTrouble && p.random.Float64() < step.Seconds()/killEvery.Seconds() {
			for i := range p.budgets {
				if p.random.Float64() < killedShare {
					p.budgets[i] = p.start(now, false)
				}
			}
		}
		for n := rate * step.Seconds(); p.random.Float64() < n; n-- {
			b := p.budgets[p.random.IntN(len(p.budgets))]
			b.CountRequest(playStart.Add(now))
			p.requests = append(p.requests, now)
			if inTrouble && p.random.Float64() < failing && b.Take(playStart.Add(now)) {
				p.retries = append(p.retries, now)
			}
		}
	}
}

// within returns the number of times in the Window that begins at from.
func within(times []time.Duration, from time.Duration) float64 {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, from+Window)
	return float64(last - first)
}

// worst returns the retries beyond what the platform allows in the worst Window.
func (p *restartPlay) worst() (beyond float64) {
	beyond = -platformSlack
	for _, from := range p.retries {
		requests := max(within(p.requests, from), within(p.requests, from-Window/2), within(p.requests, from-Window))
		beyond = max(beyond, within(p.retries, from)-platformRatio*requests-platformSlack)
	}
	return beyond
}

// Guards against routers that retry more than the platform allows because they are killed and started again, some
// or all of them, once or often: what their predecessors have retried is unknown.
func TestRestartedRoutersStayWithinTheBudget(t *testing.T) {
	retries := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		p := &restartPlay{random: random, budgets: make([]*Budget, 1+random.IntN(12))}
		rate := []float64{5, 60, 300, 1200}[random.IntN(4)]
		failing := []float64{0.1, 0.45, 1}[random.IntN(3)]
		killEvery := time.Duration(1+random.IntN(15)) * time.Second
		killedShare := []float64{0.3, 1, 1}[random.IntN(3)]
		p.run(rate, failing, killEvery, killedShare)
		retries += len(p.retries)
		must.LessEq(t, 0, p.worst(), must.Sprint("seed ", seed, ": ", len(p.budgets), " routers, ", rate, " requests a second, ", failing,
			" of them fail, kills of ", killedShare, " each ", killEvery))
	}
	must.Positive(t, retries)
}

// Guards against a process that never gets its part of the floor, and against one that gets it while retries of its
// predecessor may count.
func TestFloorBeginsOnceThePastIsKnown(t *testing.T) {
	start := Start{Until: playStart.Add(UnknownSpan), Fraction: 0.5}
	b := NewBudget(Limits{Floor: 3, Fraction: 0.1}, start)
	must.False(t, b.Take(playStart))
	for range 4 {
		b.CountRequest(playStart)
	}
	must.True(t, b.Take(playStart))
	must.True(t, b.Take(playStart))
	must.False(t, b.Take(playStart), must.Sprint("half of four requests"))
	must.False(t, b.Take(start.Until.Add(-1)))
	for range 3 {
		must.True(t, b.Take(start.Until))
	}
	must.False(t, b.Take(start.Until))
}
