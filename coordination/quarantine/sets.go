package quarantine

import (
	"slices"
	"time"
)

// suspects is an interrupted attempt without its cleared parts.
type suspects struct {
	crash      uint32
	at         time.Time
	responding bool
	parts      []uint64
	// request is 0 if the whole request is cleared.
	request uint64
}

// update derives the quarantined sets from the interrupted attempts.
func (t *Table) update() {
	list := t.suspects()
	t.updateRequests(list)
	previous := t.sets
	t.sets = nil
	for i := range list {
		t.quarantineSet(list[i].parts, list, minCrashes)
	}
	// The common part of different sets proves less: two parts may crash engines, and
	// their requests may share sound parts. Only crashes that no set explains count.
	list = slices.DeleteFunc(list, func(s suspects) bool {
		return slices.ContainsFunc(t.sets, func(q set) bool { return containsAll(s.parts, q.parts) })
	})
	for i := range list {
		for j := range i {
			t.quarantineSet(intersection(list[i].parts, list[j].parts), list, minCommonCrashes)
		}
	}
	for i := range t.sets {
		if at := indexOfSet(previous, t.sets[i].parts); at >= 0 {
			t.sets[i].trialAt = previous[at].trialAt
		}
	}
}

func indexOfSet(sets []set, parts []uint64) int {
	return slices.IndexFunc(sets, func(s set) bool { return slices.Equal(s.parts, parts) })
}

// suspects drops the interrupted attempts of which nothing is suspected, and returns the
// others without what is cleared.
func (t *Table) suspects() []suspects {
	var list []suspects
	t.interrupted = slices.DeleteFunc(t.interrupted, func(i Interrupted) bool {
		s := suspects{crash: i.Crash, at: i.At, responding: i.Responding}
		for _, p := range i.Parts {
			if !t.cleared(p, i.At) {
				s.parts = append(s.parts, p)
			}
		}
		if i.Request != 0 && !t.cleared(i.Request, i.At) {
			s.request = i.Request
		}
		if len(s.parts) == 0 && s.request == 0 {
			return true
		}
		list = append(list, s)
		return false
	})
	return list
}

// quarantineSet adds the set with these parts if it recurs in enough crashes of list.
func (t *Table) quarantineSet(parts []uint64, list []suspects, minimum int) {
	if len(parts) == 0 || indexOfSet(t.sets, parts) >= 0 {
		return
	}
	// crashes holds the time at which each crash was first noticed.
	crashes := map[uint32]time.Time{}
	span := minQueuedSpan
	for _, s := range list {
		if !containsAll(s.parts, parts) {
			continue
		}
		if at, ok := crashes[s.crash]; !ok || s.at.Before(at) {
			crashes[s.crash] = s.at
		}
		if s.responding {
			span = minSpan
		}
	}
	if len(crashes) < minimum {
		return
	}
	first, last := timeRange(crashes)
	if last.Sub(first) < span {
		return
	}
	t.sets = append(t.sets, set{parts: parts, quarantine: quarantine{until: last.Add(t.period(len(crashes)))}})
}

func timeRange(times map[uint32]time.Time) (first, last time.Time) {
	for _, at := range times {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}

// maxDoublings bounds the shift in period, which reaches maxPeriod before.
const maxDoublings = 10

// period returns how long a set is quarantined after the latest of its crashes.
func (t *Table) period(crashes int) time.Duration {
	period := min(initialPeriod<<min(crashes-minCrashes, maxDoublings), maxPeriod)
	return time.Duration(float64(period) * (1 + t.jitter))
}

func intersection(a, b []uint64) []uint64 {
	var common []uint64
	for _, p := range a {
		if slices.Contains(b, p) {
			common = append(common, p)
		}
	}
	return common
}
