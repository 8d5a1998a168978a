package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTrails(limit int, level slog.Level) (*Trails, *bytes.Buffer) {
	out := &bytes.Buffer{}
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return New(limit, slog.New(handler)), out
}

// Guards against a trail without the request, the time or the attributes, and
// against a request whose end isn't logged at level info.
func TestEntriesAreStoredAndLogged(t *testing.T) {
	trails, out := newTrails(4, slog.LevelInfo)
	trails.Add("r1", Entry{Time: start, Event: Assigned, Attrs: []slog.Attr{slog.String("endpoint", "press-1")}})
	trails.Add("r1", Entry{Time: start.Add(time.Second), Event: Finished, Attrs: []slog.Attr{slog.Int("cost", 7)}, Last: true})
	must.Eq(t, []string{
		`{"time":"2026-01-02T03:04:05Z","level":"DEBUG","msg":"request","request":"r1","event":"assigned","endpoint":"press-1"}`,
		`{"time":"2026-01-02T03:04:06Z","level":"INFO","msg":"request","request":"r1","event":"finished","cost":7}`,
	}, trails.Lines("r1"))
	must.Eq(t, trails.Lines("r1")[1]+"\n", out.String())
	must.SliceEmpty(t, trails.Lines("r2"))
}

// Guards against trails or entries that grow without bound, and against a full
// trail that loses its first or its last entry.
func TestTrailsAndEntriesAreBounded(t *testing.T) {
	trails, _ := newTrails(3, slog.LevelError)
	for i := range 5 {
		trails.Add(fmt.Sprint(i), Entry{Time: start, Event: Received})
	}
	must.SliceEmpty(t, trails.Lines("1"))
	must.SliceLen(t, 1, trails.Lines("2"))
	must.MapLen(t, 3, trails.trails)

	for i := range 100 {
		trails.Add("4", Entry{Time: start, Event: Requeued, Attrs: []slog.Attr{slog.Int("n", i)}})
	}
	lines := trails.Lines("4")
	must.SliceLen(t, MaxEntries, lines)
	must.StrContains(t, lines[0], `"event":"received"`)
	must.StrContains(t, lines[MaxEntries-1], `"n":99`)
	var marker struct{ DroppedBefore int }
	must.NoError(t, json.Unmarshal([]byte(lines[oldestKept]), &marker))
	must.Eq(t, 101-MaxEntries, marker.DroppedBefore)
}
