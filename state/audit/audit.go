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
	// MaxEntries is the largest number of entries of one trail.
	MaxEntries = 64
	// keptFirst is the number of the oldest entries that a full trail keeps;
	// the entries after them are dropped, so that the newest are kept as well.
	keptFirst = MaxEntries / 2

	// message is the log message of every entry.
	message = "request"
)

// Event names what happened to a request.
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

// Entry is one entry of a trail.
type Entry struct {
	Time  time.Time
	Event Event
	Attrs []slog.Attr
	// Last marks the last entry of a request. It is logged at level info, others at debug.
	Last bool
}

type trail struct {
	entries []Entry
	dropped int
}

// Trails is safe for use by several goroutines. Its mutex guards only the
// table and is not held while entries are logged or encoded.
type Trails struct {
	max    int
	logger *slog.Logger

	mu     sync.Mutex
	trails map[string]*trail
	// ring holds the requests in the order of their first entries; next is the oldest.
	ring []string
	next int
}

// New returns a table of at most limit trails that logs every entry to logger.
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
		t.makeRoom(request)
		t.trails[request] = tr
	}
	if len(tr.entries) == MaxEntries {
		copy(tr.entries[keptFirst:], tr.entries[keptFirst+1:])
		tr.entries[MaxEntries-1] = e
		tr.dropped++
		return
	}
	tr.entries = append(tr.entries, e)
}

// makeRoom puts a new request into the ring in place of the oldest.
func (t *Trails) makeRoom(request string) {
	if len(t.ring) < t.max {
		t.ring = append(t.ring, request)
		return
	}
	delete(t.trails, t.ring[t.next])
	t.ring[t.next] = request
	t.next = (t.next + 1) % t.max
}

// Lines returns the trail of a request as JSON lines, oldest first, or none if
// the request is not known here.
func (t *Trails) Lines(request string) []string {
	entries, dropped := t.copyOf(request)
	if len(entries) == 0 {
		return nil
	}
	var out bytes.Buffer
	handler := slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})
	for i, e := range entries {
		record := e.record(request)
		if dropped > 0 && i == keptFirst {
			record.AddAttrs(slog.Int("droppedBefore", dropped))
		}
		_ = handler.Handle(context.Background(), record)
	}
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

func (t *Trails) copyOf(request string) ([]Entry, int) {
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
