package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// minRunCrashes is the number of crashes from which a part, or a request, is quarantined whose responses
	// the engines had begun. It is higher than minCrashes: a crash breaks off all sound responses of its engine, too.
	minRunCrashes = 3
	// minCrashSpacing is the shortest time between two crashes that count separately. Engines that crash at the
	// same moment have a common cause.
	minCrashSpacing = 250 * time.Millisecond
	// A response that lasts survivalFactor times as long as one that a crash broke off, and survivalMargin longer,
	// shows that the crash was not caused by what they have in common.
	survivalFactor = 2
	survivalMargin = time.Second
	// runMemory is how long the crashes of an item are remembered after its latest one, unless it is quarantined.
	runMemory = time.Minute
	// maxRunSuspects bounds the suspects of all crashes and maxRecentRuns each half of recentRuns.
	maxRunSuspects = 512
	maxRecentRuns  = 8192
	// maxFactParts bounds the items of one observation for peers.
	maxFactParts = 32
)

// Completed is the duration of a response that was complete.
const Completed = time.Duration(math.MaxInt64)

// runs judges parts and requests by the responses that engines had begun when they crashed. An event is no
// evidence that a part is sound, since an engine may crash after it: only a response that is complete, or
// lasts clearly longer than those that crashes broke off. Parts and requests are both called items here.
type runs struct {
	crashes map[uint32]*runCrash
	// suspects holds the items that are suspected for some crash, cleared the time of the latest crash for which
	// an item was not, for corrections of peers.
	suspects map[uint64]struct{}
	cleared  map[uint64]time.Time
	sound    recentRuns
	// quarantined holds the items in quarantine.
	quarantined map[uint64]*quarantine
}

// runCrash is a crash of an engine that had begun responses.
type runCrash struct {
	at time.Time
	// lasted holds, for each suspect, how long the latest of its responses had lasted.
	lasted map[uint64]time.Duration
}

func newRuns() runs {
	return runs{
		crashes: map[uint32]*runCrash{}, suspects: map[uint64]struct{}{}, cleared: map[uint64]time.Time{},
		quarantined: map[uint64]*quarantine{},
	}
}

// Ran records that a response to a request with these parts, or to the request with this fingerprint, has
// lasted for a time since its first event.
func (t *Table) Ran(now time.Time, items []uint64, lasted time.Duration) {
	clears := false
	for _, item := range items {
		t.runs.sound.add(now, item, lasted)
		if _, ok := t.runs.suspects[item]; ok && t.runClears(item) {
			clears = true
			if len(t.news.Served) < maxInvolved {
				t.news.Served = append(t.news.Served, ServedPart{Part: item, At: now, Lasted: lasted})
			}
		}
	}
	if clears {
		t.updateRuns()
	}
}

// RunSuspects reports whether items are suspected because of the responses that crashes broke off.
func (t *Table) RunSuspects() bool { return len(t.runs.suspects) > 0 }

// IsRunSuspect reports whether one of these items is.
func (t *Table) IsRunSuspect(items []uint64) bool {
	return slices.ContainsFunc(items, func(item uint64) bool { _, ok := t.runs.suspects[item]; return ok })
}

// runClears reports whether an item is sound with regard to one of the crashes for which it is suspected.
func (t *Table) runClears(item uint64) bool {
	for _, c := range t.runs.crashes {
		if lasted, ok := c.lasted[item]; ok && t.isSoundRun(item, c.at, lasted) {
			return true
		}
	}
	return false
}

// isSoundRun reports whether an item is known not to have caused a crash, given how long the response with it
// had lasted.
func (t *Table) isSoundRun(item uint64, crash time.Time, lasted time.Duration) bool {
	if at, ok := t.recent.lookup(item); ok && crash.Before(at.Add(clearedFor)) {
		return true
	}
	return t.runs.sound.clears(item, crash, lasted)
}

// addRun adds an own observation and reports whether it changes anything.
func (t *Table) addRun(i *Interrupted) bool {
	changed, _ := t.mergeRun(i)
	if changed {
		t.updateRuns()
	}
	return changed
}

// runSuspects returns the items of an interrupted attempt that are suspected.
func (t *Table) runSuspects(i *Interrupted) []uint64 {
	return slices.DeleteFunc(slices.Clone(i.ids()), func(item uint64) bool {
		_, ok := t.runs.suspects[item]
		return !ok
	})
}

// mergeRun adds the suspects of an interrupted attempt. It reports whether any are new, and whether this
// table knows others to be sound.
func (t *Table) mergeRun(i *Interrupted) (changed, clears bool) {
	// Older attempts without an event only belong to the sets.
	if !i.Responding || !i.Begun && t.latest.Sub(i.At) >= runMemory {
		return false, false
	}
	for _, item := range i.ids() {
		if t.isSoundRun(item, i.At, i.Lasted) {
			t.clearRun(item, i.At)
			clears = true
			continue
		}
		c := t.runs.crashes[i.Crash]
		if c == nil {
			c = &runCrash{at: i.At, lasted: map[uint64]time.Duration{}}
			t.runs.crashes[i.Crash] = c
		}
		if i.At.Before(c.at) {
			c.at = i.At
		}
		if known, ok := c.lasted[item]; !ok || i.Lasted < known {
			c.lasted[item] = i.Lasted
			changed = true
		}
	}
	return changed, clears
}

// clearRun remembers that an item is sound with regard to a crash.
func (t *Table) clearRun(item uint64, crash time.Time) {
	at, ok := t.runs.cleared[item]
	if crash.After(at) && (ok || len(t.runs.cleared) < maxInvolved) {
		t.runs.cleared[item] = crash
	}
}

// updateRuns derives the quarantined items from the crashes.
func (t *Table) updateRuns() {
	t.boundRuns()
	t.runs.suspects = map[uint64]struct{}{}
	crashesOf := map[uint64][]uint32{}
	for id, c := range t.runs.crashes {
		for item, lasted := range c.lasted {
			if t.isSoundRun(item, c.at, lasted) {
				t.clearRun(item, c.at)
				delete(c.lasted, item)
				continue
			}
			t.runs.suspects[item] = struct{}{}
			crashesOf[item] = append(crashesOf[item], id)
		}
		if len(c.lasted) == 0 {
			delete(t.runs.crashes, id)
		}
	}
	previous := t.runs.quarantined
	t.runs.quarantined = map[uint64]*quarantine{}
	// The item with the most crashes explains them. Others are judged by the crashes that are left.
	for len(crashesOf) > 0 {
		most, items, last := t.mostRunCrashes(crashesOf)
		if most < minRunCrashes {
			return
		}
		explained := map[uint32]bool{}
		for i, item := range items {
			q := &quarantine{until: last[i].Add(t.period(most - minRunCrashes + minCrashes))}
			if p := previous[item]; p != nil {
				q.trialAt = p.trialAt
			}
			t.runs.quarantined[item] = q
			for _, crash := range crashesOf[item] {
				explained[crash] = true
			}
			delete(crashesOf, item)
		}
		for item, crashes := range crashesOf {
			crashesOf[item] = slices.DeleteFunc(crashes, func(crash uint32) bool { return explained[crash] })
		}
	}
}

// mostRunCrashes returns the largest number of separate crashes of an item, and the items that have it with
// the times of their last ones.
func (t *Table) mostRunCrashes(crashesOf map[uint64][]uint32) (most int, items []uint64, last []time.Time) {
	for item, crashes := range crashesOf {
		if len(crashes) < max(most, minRunCrashes) {
			continue
		}
		times := make([]time.Time, len(crashes))
		for i, crash := range crashes {
			times[i] = t.runs.crashes[crash].at
		}
		slices.SortFunc(times, time.Time.Compare)
		separate, counted := 0, time.Time{}
		for _, at := range times {
			if separate == 0 || at.Sub(counted) >= minCrashSpacing {
				separate, counted = separate+1, at
			}
		}
		switch {
		case separate > most:
			most, items, last = separate, []uint64{item}, []time.Time{times[len(times)-1]}
		case separate == most:
			items, last = append(items, item), append(last, times[len(times)-1])
		}
	}
	return most, items, last
}

// firstRefusal asks the quarantines of the parts, and then that of the request, until one refuses.
func (r *runs) firstRefusal(parts []uint64, request uint64, refuse func(q *quarantine) (until time.Time, refuse bool)) (time.Time, bool) {
	if len(r.quarantined) == 0 {
		return time.Time{}, false
	}
	for _, part := range parts {
		if q := r.quarantined[part]; q != nil {
			if until, refused := refuse(q); refused {
				return until, true
			}
		}
	}
	if q := r.quarantined[request]; q != nil {
		return refuse(q)
	}
	return time.Time{}, false
}

// boundRuns forgets the oldest crashes if there are too many suspects.
func (t *Table) boundRuns() {
	total := 0
	for _, c := range t.runs.crashes {
		total += len(c.lasted)
	}
	for total > maxRunSuspects && len(t.runs.crashes) > 1 {
		var oldest uint32
		var at time.Time
		for id, c := range t.runs.crashes {
			if at.IsZero() || c.at.Before(at) {
				oldest, at = id, c.at
			}
		}
		total -= len(t.runs.crashes[oldest].lasted)
		delete(t.runs.crashes, oldest)
	}
}

// runFacts adds the observations of crashes that broke off begun responses.
func (t *Table) runFacts(f *Facts) {
	for id, c := range t.runs.crashes {
		byTime := map[time.Duration][]uint64{}
		for item, lasted := range c.lasted {
			byTime[lasted] = append(byTime[lasted], item)
		}
		for lasted, items := range byTime {
			for part := range slices.Chunk(items, maxFactParts) {
				f.Interrupted = append(f.Interrupted, Interrupted{Crash: id, At: c.at, Responding: true, Begun: true, Lasted: lasted, Parts: part})
			}
		}
	}
	for item := range t.runs.cleared {
		if r, ok := t.runs.sound.lookup(item); ok && r.lasted >= survivalMargin {
			f.Served = append(f.Served, ServedPart{Part: item, At: r.at, Lasted: r.lasted})
		} else if at, ok := t.recent.lookup(item); ok {
			f.Served = append(f.Served, ServedPart{Part: item, At: at, Lasted: Completed})
		}
	}
}

// expireRuns forgets the crashes of items that have not crashed an engine for long.
func (t *Table) expireRuns(now time.Time) {
	latest := map[uint64]time.Time{}
	for _, c := range t.runs.crashes {
		for item := range c.lasted {
			if c.at.After(latest[item]) {
				latest[item] = c.at
			}
		}
	}
	changed := false
	for _, c := range t.runs.crashes {
		for item := range c.lasted {
			age := now.Sub(latest[item])
			if q := t.runs.quarantined[item]; q == nil && age > runMemory || age > 2*maxPeriod {
				delete(c.lasted, item)
				changed = true
			}
		}
	}
	for item, at := range t.runs.cleared {
		if now.Sub(at) > involvedFor {
			delete(t.runs.cleared, item)
		}
	}
	if changed {
		t.updateRuns()
	}
}

// run is a response that lasted for a time at least.
type run struct {
	at     time.Time
	lasted time.Duration
}

// clears reports whether the response shows that a crash had another cause, given how long one had lasted
// that the crash broke off.
func (r run) clears(crash time.Time, lasted time.Duration) bool {
	isRecent := crash.Before(r.at.Add(clearedFor))
	return isRecent && (r.lasted == Completed || r.lasted >= survivalFactor*lasted+survivalMargin)
}

// recentRuns remembers responses of the last clearedFor to twice that time. Its halves bound its size.
type recentRuns struct {
	since            time.Time
	current, earlier map[uint64]run
}

func (r *recentRuns) add(now time.Time, item uint64, lasted time.Duration) {
	if now.Sub(r.since) >= clearedFor || r.current == nil {
		r.since, r.earlier, r.current = now, r.current, map[uint64]run{}
	}
	known, ok := r.current[item]
	if !ok && len(r.current) >= maxRecentRuns || ok && (known.lasted > lasted || known.lasted == lasted && known.at.After(now)) {
		return
	}
	r.current[item] = run{now, lasted}
}

// clears reports whether a response with an item shows that a crash had another cause.
func (r *recentRuns) clears(item uint64, crash time.Time, lasted time.Duration) bool {
	for _, half := range []map[uint64]run{r.current, r.earlier} {
		if known, ok := half[item]; ok && known.clears(crash, lasted) {
			return true
		}
	}
	return false
}

// lookup returns the latest of the responses that are remembered.
func (r *recentRuns) lookup(item uint64) (run, bool) {
	if found, ok := r.current[item]; ok {
		return found, true
	}
	found, ok := r.earlier[item]
	return found, ok
}
