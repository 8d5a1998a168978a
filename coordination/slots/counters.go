package slots

import (
	"container/list"
	"math/bits"
	"slices"
)

const (
	// MaxTeams is the maximum number of team counters in one agent. It is twice
	// the target of 18,000 teams, and below the 54,000 teams that a queue owner
	// accepts.
	MaxTeams = 36_000
	// MaxCost is the maximum value of a counter, a hint or the cost of a request,
	// in cost units. Queue owners reject reports with larger values.
	MaxCost = 1_000_000_000_000
	// NormalizedScale is the number of normalized units in one cost unit at weight 1.
	NormalizedScale = 1_000_000
	// evictionDivisor sets the number of counters evicted at once to
	// limit/evictionDivisor, so that the sort for an eviction runs rarely.
	evictionDivisor = 16
)

// totals holds the monotonically increasing values of a counter.
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

// teamCounter holds the usage of one team.
type teamCounter struct {
	name string
	totals
	// remainder/weight is the fraction of a normalized unit that is charged but
	// not yet included in normalized.
	remainder uint64
	weight    uint64
	running   int
	// changedAt is the logical time of the latest change, and requestsChangedAt
	// that of the latest acceptance or end of a request.
	changedAt         uint64
	requestsChangedAt uint64
	element           *list.Element
}

// counters holds the team counters, ordered by their last change.
//
// When the table is full, the idle teams with the smallest totals are evicted,
// and floor keeps the largest evicted value of each total. An evicted team that
// sends requests again starts at floor, which is at least the value any owner
// has received for it, so a counter never decreases. The team is overcharged by
// at most floor and never undercharged, and floor is below the totals of the
// teams kept at the time of the eviction.
type counters struct {
	limit int
	teams map[string]*teamCounter
	// byChange lists the team counters from the earliest to the latest change.
	byChange *list.List
	clock    uint64
	floor    totals
}

func newCounters(limit int) counters {
	return counters{limit: limit, teams: map[string]*teamCounter{}, byChange: list.New()}
}

// get returns the team's counter, creating it if needed. It returns nil if the
// table is full and no counter can be evicted. acknowledged is the logical time
// up to which the owner has received all changes.
func (c *counters) get(name string, acknowledged uint64) *teamCounter {
	if t, ok := c.teams[name]; ok {
		return t
	}
	if len(c.teams) >= c.limit && !c.evict(acknowledged) {
		return nil
	}
	t := &teamCounter{name: name, totals: c.floor}
	t.element = c.byChange.PushBack(t)
	c.teams[name] = t
	c.markChanged(t)
	return t
}

func (c *counters) markChanged(t *teamCounter) {
	c.clock++
	t.changedAt = c.clock
	c.byChange.MoveToBack(t.element)
}

// evict removes the smallest idle counters whose latest change the owner has
// acknowledged, and reports whether it removed any.
func (c *counters) evict(acknowledged uint64) bool {
	var idle []*teamCounter
	for _, t := range c.teams {
		if t.running == 0 && t.changedAt <= acknowledged {
			idle = append(idle, t)
		}
	}
	slices.SortFunc(idle, func(a, b *teamCounter) int {
		if a.normalized != b.normalized {
			return cmpUint(a.normalized, b.normalized)
		}
		return cmpUint(a.changedAt, b.changedAt)
	})
	count := min(max(c.limit/evictionDivisor, 1), len(idle))
	for _, t := range idle[:count] {
		c.floor = c.floor.max(t.totals)
		c.byChange.Remove(t.element)
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

// charge adds units to the team's cost, up to MaxCost. normalized never exceeds
// cost times NormalizedScale, also after cost has reached MaxCost.
func (c *counters) charge(t *teamCounter, weight, units uint64) {
	c.markChanged(t)
	if t.weight != weight {
		t.remainder = rescale(t.remainder, t.weight, weight)
		t.weight = weight
	}
	units = min(units, MaxCost-t.cost)
	t.cost += units
	// Neither the product nor the sum overflows, because units is at most
	// MaxCost and remainder is below weight.
	high, low := bits.Mul64(units, NormalizedScale)
	low, carry := bits.Add64(low, t.remainder, 0)
	quotient, remainder := bits.Div64(high+carry, low, weight)
	t.normalized += quotient
	t.remainder = remainder
}

// rescale converts a remainder for weight from into one for weight to. Rounding
// loses less than one millionth per change of weight.
func rescale(remainder, from, to uint64) uint64 {
	if from == 0 {
		return 0
	}
	high, low := bits.Mul64(remainder, to)
	quotient, _ := bits.Div64(high, low, from)
	return quotient
}

// accept records an accepted request.
func (c *counters) accept(t *teamCounter) {
	t.running++
	c.markChanged(t)
	t.requestsChangedAt = t.changedAt
}

// finish records the end of a request.
func (c *counters) finish(t *teamCounter, result Result) {
	t.running--
	c.markChanged(t)
	t.requestsChangedAt = t.changedAt
	switch result {
	case Finished:
		t.finished++
	case Failed:
		t.failed++
	}
}

// addCost returns a+b, capped at MaxCost.
func addCost(a, b uint64) uint64 { return a + min(b, MaxCost-a) }
