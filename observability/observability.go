// Package observability provides the processes' JSON-lines loggers, the export
// of their metrics and runtime profiles, and the adjustment of the garbage
// collector. Each process owns its metrics registry.
package observability

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// NewLogger returns a logger that writes JSON lines to w with the process's role
// as an attribute.
func NewLogger(w io.Writer, level slog.Level, role string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("role", role)
}

// quantiles are the quantiles that are exported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

var invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// Handler returns a handler that serves the registry in the Prometheus text
// exposition format.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeAll(w, registry)
	})
}

func writeAll(w io.Writer, registry metrics.Registry) {
	var names []string
	all := map[string]any{}
	registry.Each(func(name string, metric any) {
		names = append(names, name)
		all[name] = metric
	})
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, "acaciaspar_"+invalidNameChars.ReplaceAllString(name, "_"), all[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Snapshot().Count())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Count(), s.Sum())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Count(), s.Sum())
	}
}

func writeSummary(w io.Writer, name string, values []float64, count, sum int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}

const (
	// logInterval is the shortest time between two log lines with the same source
	// and reason.
	logInterval = time.Minute
	// maxLimiterKeys is the maximum number of keys of a Limiter. At this size,
	// lines with new keys are suppressed until older keys expire.
	maxLimiterKeys = 4096
)

// LogLimiter limits log lines to one per logInterval for each source and reason. It
// is safe for concurrent use; its mutex guards only its map. The zero value is
// ready for use.
type LogLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Allow reports whether a line with this source and reason may be logged at now.
// If so, it suppresses further ones for logInterval.
func (l *LogLimiter) Allow(now time.Time, source, reason string) bool {
	key := strings.Join([]string{source, reason}, "\x00")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	if t, ok := l.last[key]; ok && now.Sub(t) < logInterval {
		return false
	}
	if len(l.last) >= maxLimiterKeys {
		l.prune(now)
	}
	if len(l.last) >= maxLimiterKeys {
		return false
	}
	l.last[key] = now
	return true
}

func (l *LogLimiter) prune(now time.Time) {
	for key, t := range l.last {
		if now.Sub(t) >= logInterval {
			delete(l.last, key)
		}
	}
}
