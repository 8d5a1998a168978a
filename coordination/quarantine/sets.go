package quarantine

import (
	"iter"
	"math"
	"math/bits"
	"slices"
	"time"
)

// suspects is an interrupted attempt without its cleared parts.
type suspects struct {
	crash uint32
	at    time.Time
	// crashNumber numbers the crashes. offset is the time since the first attempt of the list.
	crashNumber int
	offset      time.Duration
	responding  bool
	// parts holds numbers of parts, see partIndex.
	parts []int32
	// request is 0 if the whole request is cleared.
	request uint64
}

// update derives the quarantined sets from the interrupted attempts.
func (t *Table) update() {
	list, index := t.suspects()
	t.suspected = suspectedIDs(list, index)
	t.updateRequests(list)
	previous := t.sets
	t.sets = nil
	j := judgement{list: list, index: index, judged: map[attempts]struct{}{}}
	all := j.withParts()
	// explained holds the attempts that contain a quarantined set.
	var explained attempts
	for i := range all.each() {
		holders := j.holders(all, list[i].parts)
		if crashes, last, ok := j.recurs(holders, minCrashes); ok {
			t.quarantineSet(j.ids(list[i].parts), crashes, last)
			explained = explained.or(holders)
		}
	}
	// The common part of different sets proves less: two parts may crash engines, and
	// their requests may share sound parts. Only crashes that no set explains count.
	t.quarantineCommonSets(&j, all.without(explained))
	for i := range t.sets {
		if at := indexOfSet(previous, t.sets[i].parts); at >= 0 {
			t.sets[i].trialAt = previous[at].trialAt
		}
	}
}

func indexOfSet(sets []set, parts []uint64) int {
	return slices.IndexFunc(sets, func(s set) bool { return slices.Equal(s.parts, parts) })
}

func (t *Table) quarantineSet(parts []uint64, crashes int, last time.Time) {
	if indexOfSet(t.sets, parts) >= 0 {
		return
	}
	t.sets = append(t.sets, set{parts: parts, quarantine: quarantine{until: last.Add(t.period(crashes))}})
}

// partIndex numbers the parts of the interrupted attempts.
type partIndex struct {
	numbers map[uint64]int32
	ids     []uint64
	// holders holds the attempts that contain each part.
	holders []attempts
}

func (x *partIndex) add(id uint64) (number int32) {
	number = int32(len(x.ids))
	x.numbers[id] = number
	x.ids = append(x.ids, id)
	x.holders = append(x.holders, attempts{})
	return number
}

// suspects drops the interrupted attempts of which nothing is suspected, and returns the
// others without what is cleared, and the index of their parts.
func (t *Table) suspects() ([]suspects, *partIndex) {
	index := &partIndex{numbers: map[uint64]int32{}}
	// soundUntil holds, for each part, the time before which a crash doesn't make it a suspect.
	var soundUntil []time.Time
	crashNumbers := map[uint32]int{}
	list := make([]suspects, 0, len(t.interrupted))
	t.interrupted = slices.DeleteFunc(t.interrupted, func(i Interrupted) bool {
		s := suspects{crash: i.Crash, at: i.At, responding: i.Responding, parts: make([]int32, 0, len(i.Parts))}
		for _, id := range i.Parts {
			p, ok := index.numbers[id]
			if !ok {
				p = index.add(id)
				soundUntil = append(soundUntil, t.soundUntil(id))
			}
			if !i.At.Before(soundUntil[p]) {
				s.parts = append(s.parts, p)
			}
		}
		if i.Request != 0 && !t.cleared(i.Request, i.At) {
			s.request = i.Request
		}
		if len(s.parts) == 0 && s.request == 0 {
			return true
		}
		for _, p := range s.parts {
			index.holders[p].set(len(list))
		}
		if _, ok := crashNumbers[i.Crash]; !ok {
			crashNumbers[i.Crash] = len(crashNumbers)
		}
		s.crashNumber = crashNumbers[i.Crash]
		list = append(list, s)
		list[len(list)-1].offset = i.At.Sub(list[0].at)
		return false
	})
	return list, index
}

func suspectedIDs(list []suspects, index *partIndex) map[uint64]struct{} {
	ids := make(map[uint64]struct{}, len(index.ids)+len(list))
	for p, id := range index.ids {
		if index.holders[p].count() > 0 {
			ids[id] = struct{}{}
		}
	}
	for i := range list {
		if list[i].request != 0 {
			ids[list[i].request] = struct{}{}
		}
	}
	return ids
}

// judgement is the state of one derivation of the quarantined sets.
type judgement struct {
	list  []suspects
	index *partIndex
	// judged holds the holders of sets that were judged. They determine the set if it is all
	// that one attempt contains, or all that two of them have in common.
	judged map[attempts]struct{}
}

// withParts returns the attempts with parts.
func (j *judgement) withParts() attempts {
	var all attempts
	for i := range j.list {
		if len(j.list[i].parts) > 0 {
			all.set(i)
		}
	}
	return all
}

// holders returns those of the attempts that contain all of the parts.
func (j *judgement) holders(of attempts, parts []int32) attempts {
	for _, p := range parts {
		of = of.and(j.index.holders[p])
	}
	return of
}

// ids returns the IDs of parts in ascending order.
func (j *judgement) ids(parts []int32) []uint64 {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = j.index.ids[p]
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// minRememberedHolders is the number of holders from which it costs less to look up whether
// their set was judged than to judge it again.
const minRememberedHolders = 8

// recurs judges a set, given the attempts that contain it. It reports whether the set recurs in
// enough crashes, and returns their number and the time of the last one. It may report false if
// the set was judged before.
func (j *judgement) recurs(holders attempts, minimum int) (crashes int, last time.Time, ok bool) {
	n := holders.count()
	if n < minimum {
		return 0, last, false
	}
	if n >= minRememberedHolders {
		if _, ok := j.judged[holders]; ok {
			return 0, last, false
		}
		j.judged[holders] = struct{}{}
	}
	// noticed holds the time at which each crash was first noticed.
	var noticed [maxInterrupted]time.Duration
	var known attempts
	span := minQueuedSpan
	for i := range holders.each() {
		s := &j.list[i]
		if !known.has(s.crashNumber) || s.offset < noticed[s.crashNumber] {
			noticed[s.crashNumber] = s.offset
		}
		known.set(s.crashNumber)
		if s.responding {
			span = minSpan
		}
	}
	first, latest := time.Duration(math.MaxInt64), time.Duration(math.MinInt64)
	for crash := range known.each() {
		first, latest = min(first, noticed[crash]), max(latest, noticed[crash])
	}
	crashes = known.count()
	if crashes < minimum || latest-first < span {
		return 0, last, false
	}
	return crashes, j.list[0].at.Add(latest), true
}

// quarantineCommonSets adds the sets that two of the attempts have in common and that recur in
// enough crashes.
func (t *Table) quarantineCommonSets(j *judgement, of attempts) {
	clear(j.judged)
	groups := j.groups(of)
	judge := func(holders attempts) {
		if crashes, last, ok := j.recurs(holders, minCommonCrashes); ok {
			t.quarantineSet(j.ids(groups.common(holders)), crashes, last)
		}
	}
	different := groups.differentAttempts(of)
	for n, i := range different {
		judge(groups.holders(of, i))
		for _, k := range different[:n] {
			judge(groups.commonHolders(of, i, k))
		}
	}
}

// partGroups holds the parts that several attempts contain. Parts that the same attempts contain
// form a group: two attempts have all or none of them in common.
type partGroups struct {
	members   [][]int32
	holdersOf []attempts
	// of holds the holders of the groups of each attempt.
	of [maxInterrupted][]attempts
}

func (j *judgement) groups(of attempts) *partGroups {
	g := &partGroups{}
	for i := range of.each() {
		g.of[i] = make([]attempts, 0, len(j.list[i].parts))
	}
	numbers := map[attempts]int{}
	for p := range j.index.holders {
		holders := of.and(j.index.holders[p])
		if holders.count() < 2 {
			continue
		}
		number, ok := numbers[holders]
		if !ok {
			number = len(g.members)
			numbers[holders] = number
			g.members, g.holdersOf = append(g.members, nil), append(g.holdersOf, holders)
			for i := range holders.each() {
				g.of[i] = append(g.of[i], holders)
			}
		}
		g.members[number] = append(g.members[number], int32(p))
	}
	return g
}

// holders returns those of the attempts that contain all groups of attempt i.
func (g *partGroups) holders(of attempts, i int) attempts {
	if len(g.of[i]) == 0 {
		return attempts{}
	}
	for _, h := range g.of[i] {
		of = of.and(h)
	}
	return of
}

// commonHolders returns those of the attempts that contain all groups which attempts i and k have
// in common, or none if they have no group in common.
func (g *partGroups) commonHolders(of attempts, i, k int) attempts {
	common := uint64(0)
	for _, h := range g.of[i] {
		word, bit := h.low, k
		if k >= wordBits {
			word, bit = h.high, k-wordBits
		}
		// A mask instead of a branch, which the processor would often predict wrongly.
		skip := word>>(bit&(wordBits-1))&1 - 1
		common |= ^skip
		of.low &= h.low | skip
		of.high &= h.high | skip
	}
	if common == 0 {
		return attempts{}
	}
	return of
}

// common returns the parts that all of the attempts have in common.
func (g *partGroups) common(of attempts) []int32 {
	var parts []int32
	for n := range g.holdersOf {
		if of.and(g.holdersOf[n]) == of {
			parts = append(parts, g.members[n]...)
		}
	}
	return parts
}

// differentAttempts returns one of the attempts for each combination of groups.
func (g *partGroups) differentAttempts(of attempts) []int {
	var different []int
	known := map[attempts]struct{}{}
	for i := range of.each() {
		holders := g.holders(of, i)
		if _, ok := known[holders]; !ok {
			known[holders] = struct{}{}
			different = append(different, i)
		}
	}
	return different
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

// wordBits is the number of attempts in one word of attempts.
const wordBits = 64

// attempts is a set of interrupted attempts, by their position.
type attempts struct{ low, high uint64 }

// The words of attempts hold as many as are kept.
var _ [maxInterrupted]struct{} = [2 * wordBits]struct{}{}

func (a *attempts) set(i int) {
	if i < wordBits {
		a.low |= 1 << i
	} else {
		a.high |= 1 << (i - wordBits)
	}
}

func (a *attempts) has(i int) bool {
	if i < wordBits {
		return a.low>>i&1 == 1
	}
	return a.high>>(i-wordBits)&1 == 1
}

func (a attempts) or(b attempts) attempts      { return attempts{a.low | b.low, a.high | b.high} }
func (a attempts) and(b attempts) attempts     { return attempts{a.low & b.low, a.high & b.high} }
func (a attempts) without(b attempts) attempts { return attempts{a.low &^ b.low, a.high &^ b.high} }
func (a attempts) count() int                  { return bits.OnesCount64(a.low) + bits.OnesCount64(a.high) }

// each yields the positions in ascending order.
func (a attempts) each() iter.Seq[int] {
	return func(yield func(int) bool) {
		for ; a.low != 0; a.low &= a.low - 1 {
			if !yield(bits.TrailingZeros64(a.low)) {
				return
			}
		}
		for ; a.high != 0; a.high &= a.high - 1 {
			if !yield(wordBits + bits.TrailingZeros64(a.high)) {
				return
			}
		}
	}
}
