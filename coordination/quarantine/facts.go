package quarantine

import (
	"slices"
	"time"
)

// mergeTolerance is the difference below which two times of a served request count as
// equal. A time gets later with each report, by the time that the report was on its way.
const mergeTolerance = 500 * time.Millisecond

// Facts are the observations from which sets are quarantined. Routers exchange them.
type Facts struct {
	Interrupted []Interrupted
	// Served holds the parts of interrupted attempts, and the fingerprints of their requests,
	// that are cleared.
	Served []ServedPart
}

// ServedPart is a part and the time of the latest served request with it, or the
// fingerprint of a request and the time of its latest answer.
type ServedPart struct {
	Part uint64
	At   time.Time
	// Lasted is 0 if At is the time of an event. Otherwise a response lasted for this time, see Table.Ran.
	Lasted time.Duration
}

// Empty reports whether there are no observations.
func (f *Facts) Empty() bool { return len(f.Interrupted) == 0 && len(f.Served) == 0 }

// Facts returns all observations.
func (t *Table) Facts() Facts {
	f := Facts{Interrupted: append([]Interrupted(nil), t.interrupted...)}
	for p, crash := range t.involved {
		if at, _ := t.servedAt(p); t.cleared(p, crash) {
			f.Served = append(f.Served, ServedPart{Part: p, At: at})
		}
	}
	t.runFacts(&f)
	return f
}

// HasNews reports whether there are observations that peers haven't been told.
func (t *Table) HasNews() bool { return !t.news.Empty() }

// TakeNews returns the observations that peers haven't been told, and forgets that they
// are new.
func (t *Table) TakeNews() Facts {
	news := t.news
	t.news = Facts{}
	return news
}

// Merge adds a peer's observations. It reports whether this table knows served parts that
// clear some of them and that the peer doesn't know.
func (t *Table) Merge(f Facts) (clears bool) {
	t.mergeServed(f.Served)
	changedRuns, changedSets := t.mergeRuns(f.Served), false
	for _, i := range f.Interrupted {
		isNew, isSound := t.mergeRun(&i)
		changedRuns = changedRuns || isNew
		clears = clears || isSound && t.clearsMoreRuns(&i, f.Served)
		changedSets = !i.Begun && t.merge(i) || changedSets
	}
	if changedRuns {
		t.updateRuns()
	}
	if changedSets {
		t.update()
	}
	return t.clearsMore(f) || clears
}

// mergeRuns adds what a peer knows of responses. It reports whether that clears a suspect.
func (t *Table) mergeRuns(served []ServedPart) (changed bool) {
	for _, s := range served {
		if s.Lasted > 0 {
			t.runs.sound.add(s.At, s.Part, s.Lasted)
			changed = changed || t.IsRunSuspect([]uint64{s.Part})
		}
	}
	return changed
}

// clearsMoreRuns reports whether this table clears an item of a peer's observation that the peer doesn't.
func (t *Table) clearsMoreRuns(i *Interrupted, served []ServedPart) bool {
	for _, item := range i.ids() {
		isKnown := slices.ContainsFunc(served, func(s ServedPart) bool {
			return s.Part == item && run{s.At, s.Lasted}.clears(i.At, i.Lasted)
		})
		if !isKnown && t.isSoundRun(item, i.At, i.Lasted) {
			return true
		}
	}
	return false
}

func (t *Table) mergeServed(parts []ServedPart) {
	changed := false
	for _, s := range parts {
		if s.Lasted > 0 {
			continue
		}
		suspected := t.isSuspected(s.Part)
		at, ok := t.served[s.Part]
		if ok && !s.At.After(at) || ok && !suspected && !s.At.After(at.Add(mergeTolerance)) {
			continue
		}
		changed = changed || suspected
		t.served[s.Part] = s.At
	}
	if changed {
		t.update()
	}
}

// clearsMore reports whether this table clears a part of f that f itself doesn't clear.
func (t *Table) clearsMore(f Facts) bool {
	known := map[uint64]time.Time{}
	for _, s := range f.Served {
		if s.Lasted == 0 {
			known[s.Part] = s.At
		}
	}
	for _, i := range f.Interrupted {
		if i.Begun {
			continue
		}
		for _, p := range i.ids() {
			at, ok := known[p]
			if t.cleared(p, i.At) && (!ok || !at.After(i.At.Add(-clearedFor))) {
				return true
			}
		}
	}
	return false
}
