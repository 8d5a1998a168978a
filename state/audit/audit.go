package audit

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultTrails is the default number of requests whose trails are kept.
	DefaultTrails = 10_000
	// MaxEntries is the maximum number of entries of one trail.
	MaxEntries = 64
	// oldestKept is the number of oldest entries that a full trail keeps. The
	// entries after them are dropped so that the newest are kept too.
	oldestKept = MaxEntries / 2

	// message is the log message of every entry.
	message = "request"
)

// Event is the type of a trail entry.
type Event string

// The events of a trail.
const (
	Received  Event = "received"
	Queued    Event = "queued"
	Assigned  Event = "assigned"
	Sent      Event = "sent"
	Started   Event = "started"
	Finished  Event = "finished"
	Refused   Event = "refused"
	Requeued  Event = "requeued"
	Unknown   Event = "unknown"
	Failed    Event = "failed"
	Cancelled Event = "cancelled"
)

// Entry is one event of a request, with its time and attributes.
type Entry struct {
	Time  time.Time
	Event Event
	Attrs []slog.Attr
	// Last marks the last entry of a request. It is logged at level info, other
	// entries at level debug.
	Last bool
}

type trail struct {
	entries []Entry
	dropped int
}

// Trails holds the trails of recent requests. It is safe for concurrent use. Its
// mutex guards only the map and the ring and is not held while entries are
// logged or encoded.
type Trails struct {
	max    int
	logger *slog.Logger

	mu     sync.Mutex
	trails map[string]*trail
	// ring holds the requests in the order of their first entries. Once it is
	// full, next is the index of the oldest one.
	ring []string
	next int
}

// New returns Trails for at most limit requests that log every entry to logger.
func New(limit int, logger *slog.Logger) *Trails {
	return &Trails{max: max(limit, 1), logger: logger, trails: map[string]*trail{}}
}

// Add appends an entry to the trail of a request and logs it.
func (t *Trails) Add(request string, e Entry) {
	t.store(request, e)
	ctx := context.Background()
	if handler := t.logger.Handler(); handler.Enabled(ctx, e.level()) {
		_ = handler.Handle(ctx, e.record(request))
	}
}

func (t *Trails) store(request string, e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr, ok := t.trails[request]
	if !ok {
		tr = &trail{}
		t.addToRing(request)
		t.trails[request] = tr
	}
	if len(tr.entries) == MaxEntries {
		copy(tr.entries[oldestKept:], tr.entries[oldestKept+1:])
		tr.entries[MaxEntries-1] = e
		tr.dropped++
		return
	}
	tr.entries = append(tr.entries, e)
}

// addToRing adds a new request to the ring, evicting the oldest one if the ring
// is full.
func (t *Trails) addToRing(request string) {
	if len(t.ring) < t.max {
		t.ring = append(t.ring, request)
		return
	}
	delete(t.trails, t.ring[t.next])
	t.ring[t.next] = request
	t.next = (t.next + 1) % t.max
}

// Lines returns the trail of a request as JSON lines, oldest first, or nil if
// there is no trail of the request.
func (t *Trails) Lines(request string) []string {
	entries, dropped := t.copyTrail(request)
	if len(entries) == 0 {
		return nil
	}
	var out bytes.Buffer
	handler := slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})
	for i, e := range entries {
		record := e.record(request)
		if dropped > 0 && i == oldestKept {
			record.AddAttrs(slog.Int("droppedBefore", dropped))
		}
		_ = handler.Handle(context.Background(), record)
	}
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

func (t *Trails) copyTrail(request string) ([]Entry, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr, ok := t.trails[request]
	if !ok {
		return nil, 0
	}
	return append([]Entry(nil), tr.entries...), tr.dropped
}

func (e Entry) level() slog.Level {
	if e.Last {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}

func (e Entry) record(request string) slog.Record {
	record := slog.NewRecord(e.Time, e.level(), message, 0)
	record.AddAttrs(slog.String("request", request), slog.String("event", string(e.Event)))
	record.AddAttrs(e.Attrs...)
	return record
}
