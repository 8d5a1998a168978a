// Package observability gives the processes their JSON-lines logger and their
// metrics registry. It owns no state; a process owns its registry.
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

// NewLogger returns a logger that writes JSON lines with the process's role.
func NewLogger(w io.Writer, level slog.Level, role string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("role", role)
}

// quantiles that histograms and timers export.
var quantiles = []float64{0.5, 0.95, 0.99}

var notInName = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// Handler serves the registry in the Prometheus text exposition format.
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
		writeMetric(w, "acaciaspar_"+notInName.ReplaceAllString(name, "_"), all[name])
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
	// onceInterval is the shortest time between two log lines of one source and reason.
	onceInterval = time.Minute
	// maxOnceSources bounds the table of sources; beyond it nothing new is logged until it is cleared.
	maxOnceSources = 4096
)

// Limiter lets one log line through per source, reason and minute. Its mutex
// guards only its table.
type Limiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Allow reports whether a line of this source and reason may be logged at now.
func (l *Limiter) Allow(now time.Time, source, reason string) bool {
	key := strings.Join([]string{source, reason}, "\x00")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	if t, ok := l.last[key]; ok && now.Sub(t) < onceInterval {
		return false
	}
	if len(l.last) >= maxOnceSources {
		l.prune(now)
	}
	if len(l.last) >= maxOnceSources {
		return false
	}
	l.last[key] = now
	return true
}

func (l *Limiter) prune(now time.Time) {
	for key, t := range l.last {
		if now.Sub(t) >= onceInterval {
			delete(l.last, key)
		}
	}
}
