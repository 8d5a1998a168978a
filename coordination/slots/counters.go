package slots

import (
	"container/list"
	"math/bits"
	"slices"
)

const (
	// MaxTeams bounds the counters of one agent: twice the 18,000 teams of the
	// target, and below the 54,000 teams that a queue owner takes.
	MaxTeams = 36_000
	// MaxCost is the largest value of a counter, a hint or the cost of a
	// request, in cost units. Queue owners refuse reports with a larger one.
	MaxCost = 1_000_000_000_000
	// Millionths is the number of normalized units in one cost unit at weight 1.
	Millionths = 1_000_000
	// foldShare is the part of the table that is folded at once, so that the
	// sort it needs is rare.
	foldShare = 16
)

// totals are the values that only grow.
type totals struct {
	cost, normalized, base, finished, failed uint64
}

func (t totals) max(o totals) totals {
	return totals{
		cost:       max(t.cost, o.cost),
		normalized: max(t.normalized, o.normalized),
		base:       max(t.base, o.base),
		finished:   max(t.finished, o.finished),
		failed:     max(t.failed, o.failed),
	}
}

// team is the counter of one team.
type team struct {
	name string
	totals
	// remainder is the part of the charged cost that is too small for
	// normalized, in millionths times weight.
	remainder uint64
	weight    uint64
	running   int
	// stamp is the time of the last change on the table's logical clock, and
	// moved that of the last request that was accepted or ended.
	stamp uint64
	moved uint64
	place *list.Element
}

// counters holds the teams, ordered by their last change.
//
// When the table is full, the idle teams with the smallest totals are folded:
// their entries are dropped, and floor keeps the largest dropped value of each
// total. A team that comes back starts at floor, at or above what any owner has
// seen from it, so a counter never decreases. The team is charged at most floor
// too much, never too little, and floor is below the totals of the teams kept
// at that moment.
type counters struct {
	limit int
	teams map[string]*team
	// byChange lists teams from the earliest change to the latest.
	byChange *list.List
	clock    uint64
	floor    totals
}

func newCounters(limit int) counters {
	return counters{limit: limit, teams: map[string]*team{}, byChange: list.New()}
}

// get returns the team's counter, or nil if the table is full and nothing may
// be folded. Changes up to acknowledged are known to the owner.
func (c *counters) get(name string, acknowledged uint64) *team {
	if t, ok := c.teams[name]; ok {
		return t
	}
	if len(c.teams) >= c.limit && !c.fold(acknowledged) {
		return nil
	}
	t := &team{name: name, totals: c.floor}
	t.place = c.byChange.PushBack(t)
	c.teams[name] = t
	c.touch(t)
	return t
}

func (c *counters) touch(t *team) {
	c.clock++
	t.stamp = c.clock
	c.byChange.MoveToBack(t.place)
}

// fold drops the smallest idle counters that the owner knows.
func (c *counters) fold(acknowledged uint64) bool {
	var idle []*team
	for _, t := range c.teams {
		if t.running == 0 && t.stamp <= acknowledged {
			idle = append(idle, t)
		}
	}
	slices.SortFunc(idle, func(a, b *team) int {
		if a.normalized != b.normalized {
			return cmpUint(a.normalized, b.normalized)
		}
		return cmpUint(a.stamp, b.stamp)
	})
	count := min(max(c.limit/foldShare, 1), len(idle))
	for _, t := range idle[:count] {
		c.floor = c.floor.max(t.totals)
		c.byChange.Remove(t.place)
		delete(c.teams, t.name)
	}
	return count > 0
}

func cmpUint(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// charge adds units to the team's cost. normalized stays at or below cost times
// Millionths, also where cost has reached its bound.
func (c *counters) charge(t *team, weight, units uint64) {
	c.touch(t)
	if t.weight != weight {
		t.remainder = rescale(t.remainder, t.weight, weight)
		t.weight = weight
	}
	units = min(units, MaxCost-t.cost)
	t.cost += units
	// Neither this product nor the sum overflows, because units is at most
	// MaxCost and remainder is below weight.
	high, low := bits.Mul64(units, Millionths)
	low, carry := bits.Add64(low, t.remainder, 0)
	quotient, remainder := bits.Div64(high+carry, low, weight)
	t.normalized += quotient
	t.remainder = remainder
}

// rescale keeps the fraction remainder/from as a remainder of to; less than
// one millionth is lost per change of weight.
func rescale(remainder, from, to uint64) uint64 {
	if from == 0 {
		return 0
	}
	high, low := bits.Mul64(remainder, to)
	quotient, _ := bits.Div64(high, low, from)
	return quotient
}

// accept counts a request that was accepted.
func (c *counters) accept(t *team) {
	t.running++
	c.touch(t)
	t.moved = t.stamp
}

// finish counts a request that has ended.
func (c *counters) finish(t *team, result Result) {
	t.running--
	c.touch(t)
	t.moved = t.stamp
	switch result {
	case Finished:
		t.finished++
	case Failed:
		t.failed++
	}
}

func addCost(a, b uint64) uint64 { return a + min(b, MaxCost-a) }
