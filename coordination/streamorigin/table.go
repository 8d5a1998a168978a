package streamorigin

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecent bounds the origins of one period of retention.
	maxRecent = 1 << 17
	// maxNews bounds the origins that wait for a report to peers. Peers find those beyond
	// it in the store.
	maxNews = 4096
)

// Stream identifies a stream by a hash of the identifier of the caller's attempt that brought
// its first event.
type Stream uint64

// Build identifies a version of a service's software by a hash.
type Build uint32

// AnyBuild stands for all builds.
const AnyBuild Build = 0

// StreamOf returns the stream whose first event the attempt with this identifier brought.
func StreamOf(attempt string) Stream { return Stream(xxhash.Sum64String(attempt)) }

// BuildOf returns the build of a version of a service's software.
func BuildOf(service, version string) Build {
	return max(Build(xxhash.Sum64String(service+"\x00"+version)), AnyBuild+1)
}

// Origin is the build that began a stream.
type Origin struct {
	Stream Stream
	Build  Build
}

// SavedOrigin is an origin in the store.
type SavedOrigin struct {
	Origin
	// Revision orders the saved origins of a stream: a router that gave up waiting for a save,
	// which the store may still have done, saves the stream's final origin under a higher one.
	Revision uint8
}

// Table holds the origins of recent streams. It is not safe for concurrent use.
type Table struct {
	// recent holds the origins recorded since periodStart, older those of the period before.
	recent, older period
	periodStart   time.Time
	// seenAt holds, by build, when a stream of it became known last.
	seenAt map[Build]time.Time
	// takeUps counts how often each stream was taken up at this router in this period.
	takeUps map[Stream]int
	news    []Origin
	// unsaved holds the origins whose loss would leave their stream without one.
	unsaved map[Stream]SavedOrigin
}

type period struct {
	// recorded holds what routers say of their own streams, saved what was read from the store.
	recorded map[Stream]recordedOrigin
	saved    map[Stream]SavedOrigin
	// givenUp counts the saves of a stream's origin that this router gave up waiting for.
	givenUp map[Stream]uint8
}

type recordedOrigin struct {
	build Build
	// own is set if the stream began at this router.
	own bool
}

func newPeriod(size int) period {
	return period{recorded: make(map[Stream]recordedOrigin, size), saved: map[Stream]SavedOrigin{}, givenUp: map[Stream]uint8{}}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		recent: newPeriod(0), older: newPeriod(0), seenAt: map[Build]time.Time{}, takeUps: map[Stream]int{},
		unsaved: map[Stream]SavedOrigin{},
	}
}

// Lookup returns the build that began a stream, if it is known. What a router says of its own
// stream takes precedence over what was saved.
func (t *Table) Lookup(s Stream) (Build, bool) {
	if b, ok := t.LookupRecorded(s); ok {
		return b, true
	}
	saved, ok := t.lookupSaved(s)
	return saved.Build, ok
}

// LookupRecorded returns the build that began a stream if it began at this router or at a peer
// that said so.
func (t *Table) LookupRecorded(s Stream) (Build, bool) {
	for _, p := range []period{t.recent, t.older} {
		if o, ok := p.recorded[s]; ok {
			return o.build, true
		}
	}
	return AnyBuild, false
}

func (t *Table) lookupSaved(s Stream) (SavedOrigin, bool) {
	recent, ok := t.recent.saved[s]
	older, olderOK := t.older.saved[s]
	if olderOK && (!ok || older.Revision > recent.Revision) {
		return older, true
	}
	return recent, ok
}

// OnlyOf reports whether all streams that became known within a time are of a build.
func (t *Table) OnlyOf(now time.Time, within time.Duration, build Build) bool {
	for b, seen := range t.seenAt {
		if b != build && now.Sub(seen) < within {
			return false
		}
	}
	return true
}

// Record records that a stream began at this router.
func (t *Table) Record(now time.Time, o Origin) {
	if t.add(now, o, true) && len(t.news) < maxNews {
		t.news = append(t.news, o)
	}
}

// MergePeer adds the origins that a peer reports.
func (t *Table) MergePeer(now time.Time, origins []Origin) {
	for _, o := range origins {
		t.add(now, o, false)
	}
}

// MergeSaved adds origins that were read from the store.
func (t *Table) MergeSaved(now time.Time, origins []SavedOrigin) {
	for _, o := range origins {
		if known, ok := t.lookupSaved(o.Stream); ok && known.Revision >= o.Revision {
			continue
		}
		t.makeRoom(now)
		t.recent.saved[o.Stream] = o
		t.seenAt[o.Build] = now
	}
}

// add adds an origin unless the stream's is known.
func (t *Table) add(now time.Time, o Origin, own bool) bool {
	if _, known := t.LookupRecorded(o.Stream); known {
		return false
	}
	t.makeRoom(now)
	t.recent.recorded[o.Stream] = recordedOrigin{o.Build, own}
	t.seenAt[o.Build] = now
	return true
}

func (t *Table) makeRoom(now time.Time) {
	if len(t.recent.recorded)+len(t.recent.saved) >= maxRecent {
		t.beginPeriod(now)
	}
}

// CountTakeUp counts that a caller takes up a stream at this router, and returns how often callers
// have.
func (t *Table) CountTakeUp(now time.Time, s Stream) int {
	if len(t.takeUps) >= maxRecent {
		t.beginPeriod(now)
	}
	t.takeUps[s]++
	return t.takeUps[s]
}

// TakeNews returns up to limit origins that peers haven't been told.
func (t *Table) TakeNews(limit int) []Origin {
	n := min(limit, len(t.news))
	taken := t.news[:n:n]
	t.news = t.news[n:]
	if len(t.news) == 0 {
		t.news = nil
	}
	return taken
}

// GiveUpSave records that this router no longer waits for a save of a stream's origin, which may
// still be done.
func (t *Table) GiveUpSave(now time.Time, s Stream) {
	if len(t.recent.givenUp) >= maxRecent {
		t.beginPeriod(now)
	}
	t.recent.givenUp[s] = t.Revision(s) + 1
}

// Revision returns the revision under which a stream's origin should be saved. It is above 0 if
// the store may hold another origin of the stream.
func (t *Table) Revision(s Stream) uint8 { return max(t.recent.givenUp[s], t.older.givenUp[s]) }

// KeepUnsaved makes an origin unsaved, because the store may not hold it or may hold another one.
// It stays so until it is taken, however long the store is away.
func (t *Table) KeepUnsaved(o SavedOrigin) {
	if known, ok := t.unsaved[o.Stream]; ok && known.Revision > o.Revision || len(t.unsaved) >= maxRecent {
		return
	}
	t.unsaved[o.Stream] = o
}

// KeepAllUnsaved makes known origins unsaved, because the store may have lost them: those of this
// router's streams, or also all others.
func (t *Table) KeepAllUnsaved(others bool) {
	for _, p := range []period{t.older, t.recent} {
		if others {
			for _, o := range p.saved {
				t.KeepUnsaved(o)
			}
		}
		for s, o := range p.recorded {
			if saved, ok := t.lookupSaved(s); ok && saved.Build == o.build {
				t.KeepUnsaved(saved)
			} else if o.own || others {
				t.KeepUnsaved(SavedOrigin{Origin: Origin{s, o.build}})
			}
		}
	}
}

// KeepOmitted makes the origins of this router's streams of a build unsaved that were not saved when they
// began.
func (t *Table) KeepOmitted(build Build) {
	for _, p := range []period{t.older, t.recent} {
		for s, o := range p.recorded {
			if _, saved := t.lookupSaved(s); o.own && o.build == build && !saved {
				t.KeepUnsaved(SavedOrigin{Origin: Origin{s, o.build}})
			}
		}
	}
}

// TakeUnsaved returns up to limit unsaved origins.
func (t *Table) TakeUnsaved(limit int) []SavedOrigin {
	var taken []SavedOrigin
	for s, o := range t.unsaved {
		if len(taken) >= limit {
			break
		}
		taken = append(taken, o)
		delete(t.unsaved, s)
	}
	return taken
}

// HasUnsaved reports whether TakeUnsaved would return any.
func (t *Table) HasUnsaved() bool { return len(t.unsaved) > 0 }

// Expire drops the origins that are older than two periods of retention.
func (t *Table) Expire(now time.Time, retention time.Duration) {
	if t.periodStart.IsZero() {
		t.periodStart = now
	}
	if now.Sub(t.periodStart) >= retention {
		t.beginPeriod(now)
		maps.DeleteFunc(t.seenAt, func(_ Build, seen time.Time) bool { return now.Sub(seen) >= retention })
	}
}

func (t *Table) beginPeriod(now time.Time) {
	t.older, t.recent = t.recent, newPeriod(len(t.recent.recorded))
	clear(t.takeUps)
	t.periodStart = now
	for s := range t.unsaved {
		if _, known := t.Lookup(s); !known {
			delete(t.unsaved, s)
		}
	}
}

// Len returns the number of known origins.
func (t *Table) Len() int {
	return len(t.recent.recorded) + len(t.older.recorded) + len(t.recent.saved) + len(t.older.saved)
}
