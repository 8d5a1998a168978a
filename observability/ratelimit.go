package observability

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// asyncQueueLines is the number of lines that are queued for a slow output.
	asyncQueueLines = 4096
	// asyncBatchBytes is the size in bytes from which no more queued lines are
	// added to one write.
	asyncBatchBytes = 32 << 10
)

// AsyncWriter writes lines without blocking its callers. If asyncQueueLines lines
// are queued, further lines are dropped and counted.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	// Dropped counts the lines that were dropped because the queue was full.
	Dropped metrics.Counter
}

// NewAsyncWriter returns an AsyncWriter to w and starts its goroutine, which
// runs until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), Dropped: metrics.NewCounter()}
	go a.writeLines(w)
	return a
}

// writeLines writes the queued lines to w in batches until the queue is closed.
func (a *AsyncWriter) writeLines(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for line := range a.lines {
		batch = append(batch[:0], line...)
		for len(batch) < asyncBatchBytes && len(a.lines) > 0 {
			batch = append(batch, <-a.lines...)
		}
		// There is no other output on which to report an error.
		_, _ = w.Write(batch)
	}
}

// Write implements io.Writer. It never blocks and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	copied := make([]byte, len(line))
	copy(copied, line)
	select {
	case a.lines <- copied:
	default:
		a.Dropped.Inc(1)
	}
	return len(line), nil
}

// Close waits until all queued lines are written. Write must not be called
// during or after Close.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}

// rateLimitedHandler passes at most perSecond lines with the same message per
// second. The next line of the message that passes has the number of suppressed
// lines as the attribute left_out.
type rateLimitedHandler struct {
	slog.Handler
	state *rateLimitState
}

type rateLimitState struct {
	perSecond       int
	suppressedLines metrics.Counter

	mu       sync.Mutex
	messages map[string]*messageCount
}

type messageCount struct {
	second     int64
	lines      int
	suppressed int
}

// NewRateLimitedLogger returns a logger that writes JSON lines to w, at most
// perSecond lines per second for each message. It registers the counters of
// dropped and suppressed lines in registry.
func NewRateLimitedLogger(w *AsyncWriter, level slog.Level, role string, perSecond int, registry metrics.Registry) *slog.Logger {
	_ = registry.Register("log.lines_dropped_by_output", w.Dropped)
	state := &rateLimitState{
		perSecond:       perSecond,
		suppressedLines: metrics.GetOrRegisterCounter("log.lines_left_out", registry),
		messages:        map[string]*messageCount{},
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&rateLimitedHandler{Handler: handler, state: state}).With("role", role)
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, suppressed := h.state.count(r.Message, time.Now().Unix())
	if !pass {
		h.state.suppressedLines.Inc(1)
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int("left_out", suppressed))
	}
	return h.Handler.Handle(ctx, r)
}

// count counts one line and reports whether it passes and how many lines of the
// message were suppressed before it. Messages are constants, so the map stays
// small.
func (s *rateLimitState) count(message string, second int64) (pass bool, suppressed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.messages[message]
	if c == nil {
		c = &messageCount{}
		s.messages[message] = c
	}
	if c.second != second {
		c.second, c.lines = second, 0
	}
	if c.lines >= s.perSecond {
		c.suppressed++
		return false, 0
	}
	c.lines++
	suppressed, c.suppressed = c.suppressed, 0
	return true, suppressed
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), state: h.state}
}
