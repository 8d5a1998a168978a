package streamorigin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecent bounds the origins of one period of retention.
	maxRecent = 1 << 17
	// maxNews bounds the origins that wait for a report to peers. Peers find those beyond
	// it in the store.
	maxNews = 4096
	// unsavedTime is how long an origin waits to be saved. It covers the time until another
	// router notices that the one that saves origins has failed.
	unsavedTime = 3 * time.Second
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

// Table holds the origins of recent streams. It is not safe for concurrent use.
type Table struct {
	// recent holds the origins recorded since periodStart, older those of the period before.
	recent, older map[Stream]Build
	periodStart   time.Time
	// takeUps counts how often each stream was taken up at this router in this period.
	takeUps map[Stream]int
	news    []Origin
	// unsaved is ordered by time.
	unsaved []unsavedOrigin
}

type unsavedOrigin struct {
	Origin
	at time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{recent: map[Stream]Build{}, takeUps: map[Stream]int{}} }

// Lookup returns the build that began a stream, if it is known.
func (t *Table) Lookup(s Stream) (Build, bool) {
	if b, ok := t.recent[s]; ok {
		return b, true
	}
	b, ok := t.older[s]
	return b, ok
}

// Record records that a stream began at this router.
func (t *Table) Record(now time.Time, o Origin) {
	if !t.add(now, o) {
		return
	}
	t.unsaved = append(t.unsaved, unsavedOrigin{o, now})
	if len(t.news) < maxNews {
		t.news = append(t.news, o)
	}
}

// MergePeer adds the origins that a peer reports.
func (t *Table) MergePeer(now time.Time, origins []Origin) {
	for _, o := range origins {
		if t.add(now, o) {
			t.unsaved = append(t.unsaved, unsavedOrigin{o, now})
		}
	}
}

// MergeSaved adds origins that were read from the store.
func (t *Table) MergeSaved(now time.Time, origins []Origin) {
	for _, o := range origins {
		t.add(now, o)
	}
}

// add adds an origin unless the stream is known.
func (t *Table) add(now time.Time, o Origin) bool {
	if _, known := t.Lookup(o.Stream); known {
		return false
	}
	if len(t.recent) >= maxRecent {
		t.beginPeriod(now)
	}
	t.recent[o.Stream] = o.Build
	return true
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

// TakeUnsaved returns up to limit origins that this router has not seen saved.
func (t *Table) TakeUnsaved(limit int) []Origin {
	n := min(limit, len(t.unsaved))
	taken := make([]Origin, n)
	for i, u := range t.unsaved[:n] {
		taken[i] = u.Origin
	}
	t.unsaved = t.unsaved[n:]
	return taken
}

// HasUnsaved reports whether an unsaved origin is of a build for which match returns true.
func (t *Table) HasUnsaved(match func(Build) bool) bool {
	return slices.ContainsFunc(t.unsaved, func(u unsavedOrigin) bool { return match(u.Build) })
}

// KeepUnsaved puts back origins that could not be saved.
func (t *Table) KeepUnsaved(now time.Time, origins []Origin) {
	kept := make([]unsavedOrigin, 0, len(origins)+len(t.unsaved))
	for _, o := range origins {
		kept = append(kept, unsavedOrigin{o, now})
	}
	t.unsaved = append(kept, t.unsaved...)
	t.unsaved = t.unsaved[max(len(t.unsaved)-maxRecent, 0):]
}

// KeepAllUnsaved makes all known origins unsaved, because the store may not hold them.
func (t *Table) KeepAllUnsaved(now time.Time) {
	t.unsaved = nil
	for _, period := range []map[Stream]Build{t.older, t.recent} {
		for s, b := range period {
			t.unsaved = append(t.unsaved, unsavedOrigin{Origin{s, b}, now})
		}
	}
}

// Expire drops the origins that are older than two periods of retention, and the unsaved ones
// that another router has had the time to save.
func (t *Table) Expire(now time.Time, retention time.Duration) {
	if t.periodStart.IsZero() {
		t.periodStart = now
	}
	if now.Sub(t.periodStart) >= retention {
		t.beginPeriod(now)
	}
	expired := 0
	for expired < len(t.unsaved) && now.Sub(t.unsaved[expired].at) >= unsavedTime {
		expired++
	}
	t.unsaved = t.unsaved[expired:]
}

func (t *Table) beginPeriod(now time.Time) {
	t.older, t.recent = t.recent, make(map[Stream]Build, len(t.recent))
	clear(t.takeUps)
	t.periodStart = now
}

// Len returns the number of known origins.
func (t *Table) Len() int { return len(t.recent) + len(t.older) }
