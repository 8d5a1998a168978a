package observability

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// asyncQueueLines is the number of lines that are queued for a slow output.
	asyncQueueLines = 4096
	// asyncBatchBytes is the size in bytes from which no more queued lines are
	// added to one write.
	asyncBatchBytes = 32 << 10
	// outputRetryDelay is the delay before a write to a full, non-blocking output
	// is repeated.
	outputRetryDelay = 10 * time.Millisecond
	// closeTimeout bounds the wait for the output when the process ends.
	closeTimeout = time.Second
)

// AsyncWriter writes whole lines in order without blocking its callers. If
// asyncQueueLines lines are queued, further lines are dropped and counted; a later
// line states how many.
type AsyncWriter struct {
	lines chan []byte
	// closing is closed by Close, done once all queued lines were written after that.
	closing, done chan struct{}
	once          sync.Once
	// Dropped counts the lines that were dropped because the queue was full or the
	// output failed.
	Dropped metrics.Counter
	// insideLine is set if the last write ended inside a line, and noted is the
	// number of dropped lines already stated in the output. Only the writing
	// goroutine uses them.
	insideLine bool
	noted      int64
}

// NewAsyncWriter returns an AsyncWriter to w and starts its goroutine, which
// runs until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), done: make(chan struct{}), Dropped: metrics.NewCounter()}
	go a.writeLines(w)
	return a
}

// writeLines writes the queued lines to w in batches until Close, and then those that are left.
func (a *AsyncWriter) writeLines(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.writeQueued(w, batch, line)
			continue
		case <-a.closing:
		}
		select {
		case line := <-a.lines:
			batch = a.writeQueued(w, batch, line)
		default:
			return
		}
	}
}

// writeQueued writes a line and those that are queued behind it. It uses the memory of batch and returns it.
func (a *AsyncWriter) writeQueued(w io.Writer, batch, line []byte) []byte {
	batch = append(batch[:0], a.noteDropped()...)
	batch = append(batch, line...)
	for len(batch) < asyncBatchBytes && len(a.lines) > 0 {
		batch = append(batch, <-a.lines...)
	}
	a.writeBatch(w, batch)
	return batch
}

// writeBatch writes whole lines. If the output takes only a part of the batch, it
// continues after that part. After an error it drops the rest of the batch, and
// starts the next batch with a line break if the output ended inside a line.
func (a *AsyncWriter) writeBatch(w io.Writer, batch []byte) {
	if a.insideLine {
		batch = append([]byte{'\n'}, batch...)
		a.insideLine = false
	}
	for len(batch) > 0 {
		n, err := w.Write(batch)
		n = min(max(n, 0), len(batch))
		if n > 0 {
			a.insideLine = batch[n-1] != '\n'
		}
		batch = batch[n:]
		if err == nil && n > 0 || errors.Is(err, syscall.EAGAIN) || errors.Is(err, io.ErrShortWrite) && n > 0 {
			if err != nil {
				time.Sleep(outputRetryDelay)
			}
			continue
		}
		// There is no other output on which to report the error.
		a.Dropped.Inc(int64(bytes.Count(batch, []byte{'\n'})))
		return
	}
}

// noteDropped returns a line that states how many lines were dropped since the last
// such line, or nil if none were.
func (a *AsyncWriter) noteDropped() []byte {
	dropped := a.Dropped.Count()
	if dropped == a.noted {
		return nil
	}
	line := fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines dropped by a slow output","lines":%d}`+"\n",
		time.Now().Format(time.RFC3339Nano), dropped-a.noted)
	a.noted = dropped
	return line
}

// Write implements io.Writer. It never blocks and never returns an error. Lines written after Close
// are dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-a.closing:
		a.Dropped.Inc(1)
		return len(line), nil
	default:
	}
	copied := make([]byte, len(line))
	copy(copied, line)
	select {
	case a.lines <- copied:
	default:
		a.Dropped.Inc(1)
	}
	return len(line), nil
}

// Close waits until all queued lines are written, for at most closeTimeout, so that
// a stalled output does not keep a process from ending.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
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
