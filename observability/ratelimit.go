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
	// asyncLines is the number of lines that wait for a slow output.
	asyncLines = 4096
	// asyncBatch is the size in bytes up to which waiting lines share a write.
	asyncBatch = 32 << 10
)

// AsyncWriter writes lines without blocking its callers; lines beyond
// asyncLines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	Dropped metrics.Counter
}

// NewAsyncWriter returns a writer to w; Close flushes it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), Dropped: metrics.NewCounter()}
	go a.copyTo(w)
	return a
}

// copyTo writes the lines that wait together.
func (a *AsyncWriter) copyTo(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for line := range a.lines {
		batch = append(batch[:0], line...)
		for len(batch) < asyncBatch && len(a.lines) > 0 {
			batch = append(batch, <-a.lines...)
		}
		// An output that fails can't be reported anywhere.
		_, _ = w.Write(batch)
	}
}

// Write implements io.Writer. It never blocks.
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

// Close writes what waits. Nothing may be written afterwards.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}

// boundedHandler passes at most perSecond lines of one message a second and
// says with the next line how many it left out.
type boundedHandler struct {
	slog.Handler
	state *boundedState
}

type boundedState struct {
	perSecond int
	dropped   metrics.Counter

	mu       sync.Mutex
	messages map[string]*messageCount
}

type messageCount struct {
	second  int64
	lines   int
	leftOut int
}

// NewBoundedLogger returns a logger of JSON lines whose volume is bounded per
// message.
func NewBoundedLogger(w *AsyncWriter, level slog.Level, role string, perSecond int, registry metrics.Registry) *slog.Logger {
	_ = registry.Register("log.lines_dropped_by_output", w.Dropped)
	state := &boundedState{
		perSecond: perSecond,
		dropped:   metrics.GetOrRegisterCounter("log.lines_left_out", registry),
		messages:  map[string]*messageCount{},
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&boundedHandler{Handler: handler, state: state}).With("role", role)
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, leftOut := h.state.count(r.Message, time.Now().Unix())
	if !pass {
		h.state.dropped.Inc(1)
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("left_out", leftOut))
	}
	return h.Handler.Handle(ctx, r)
}

// count decides on one line. Messages are constants, so the table is small.
func (s *boundedState) count(message string, second int64) (pass bool, leftOut int) {
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
		c.leftOut++
		return false, 0
	}
	c.lines++
	leftOut, c.leftOut = c.leftOut, 0
	return true, leftOut
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithGroup(name), state: h.state}
}
