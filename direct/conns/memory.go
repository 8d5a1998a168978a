package conns

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/memorybudget"
)

// Memory counts the bytes that a router holds for callers and endpoints: request bodies, buffered
// responses and what waits for callers that read slowly. Above its limit, it ends the streams that
// memorybudget chooses. It is safe for concurrent use; its methods may be called on nil, which has no
// limit. mu is locked before that of a queue, and isn't held while a connection is closed.
type Memory struct {
	limit int64
	log   *slog.Logger
	held  atomic.Int64
	// ended counts the streams that were ended.
	ended metrics.Counter

	mu sync.Mutex
	// queues holds the queues that aren't empty.
	queues map[*writeQueue]struct{}
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64, log *slog.Logger, registry metrics.Registry) *Memory {
	m := &Memory{limit: limit, log: log, queues: map[*writeQueue]struct{}{}, ended: metrics.GetOrRegisterCounter("direct.streams_ended_for_memory", registry)}
	registry.GetOrRegister("direct.held_bytes", metrics.NewFunctionalGauge(m.Held))
	return m
}

// Held returns the number of bytes that are held.
func (m *Memory) Held() int64 { return m.held.Load() }

// Add counts bytes that are held from now on, or not any more if n is negative.
func (m *Memory) Add(n int64) {
	if m != nil && m.held.Add(n) > m.limit && n > 0 {
		m.shrink()
	}
}

// shrink ends streams until what is held is within the limit or no stream holds anything.
func (m *Memory) shrink() {
	now := time.Now()
	for m.held.Load() > m.limit {
		m.mu.Lock()
		queues := make([]*writeQueue, 0, len(m.queues))
		holders := make([]memorybudget.Holder, 0, len(m.queues))
		for q := range m.queues {
			queues, holders = append(queues, q), append(holders, q.holder())
		}
		i, reason := memorybudget.Choose(now, holders)
		freed, request := int64(0), ""
		if reason != memorybudget.None {
			freed, request = queues[i].drop()
			delete(m.queues, queues[i])
			m.held.Add(-freed)
		}
		m.mu.Unlock()
		if reason == memorybudget.None {
			return
		}
		c := queues[i].conn
		m.ended.Inc(1)
		m.log.Warn("stream ended for memory", "reason", string(reason), "request", request, "caller", c.RemoteAddr().String(),
			"bytes", freed, "unread_ms", now.Sub(holders[i].ReadAt).Milliseconds(), "held_bytes", m.held.Load(), "limit_bytes", m.limit)
		c.reset()
	}
}

func (m *Memory) register(q *writeQueue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queues[q] = struct{}{}
}

func (m *Memory) unregister(q *writeQueue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.queues, q)
}
