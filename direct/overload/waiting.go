package overload

import (
	"slices"
	"time"
)

const (
	// MaxWaitingTime is how long a connection waits in a burst until its request is refused unread,
	// overloadedWaitingTime the same after connections have waited all the time for MaxWaitingTime. Both
	// are fractions of the latency targets, so that another router can still serve the caller in time.
	MaxWaitingTime        = 200 * time.Millisecond
	overloadedWaitingTime = 50 * time.Millisecond
	// maxWaiting is the number of connections that wait. What arrives on them uses memory.
	maxWaiting = 1024
)

// WaitingQueue holds connections that wait to be read. The newest is served first: the callers of the
// others have waited longer and leave sooner. Those that have waited for too long are to be refused. A
// burst on a process that keeps up is served from it as a whole; in a lasting flood it is short. It is not
// safe for concurrent use.
type WaitingQueue[T any] struct {
	// items are sorted by their arrival.
	items []waitingItem[T]
	// emptiedAt is the latest time at which nothing waited.
	emptiedAt time.Time
}

type waitingItem[T any] struct {
	item  T
	since time.Time
}

// Len returns the number of connections that wait.
func (q *WaitingQueue[T]) Len() int { return len(q.items) }

// Push adds a connection.
func (q *WaitingQueue[T]) Push(now time.Time, item T) {
	if len(q.items) == 0 {
		q.emptiedAt = now
	}
	q.items = append(q.items, waitingItem[T]{item, now})
}

// Pop removes the newest connection.
func (q *WaitingQueue[T]) Pop(now time.Time) (item T, ok bool) {
	n := len(q.items)
	if n == 0 {
		return item, false
	}
	item = q.items[n-1].item
	q.remove(now, n-1, n)
	return item, true
}

// Excess removes the connections that have waited for too long, and at least surplus if so many wait.
func (q *WaitingQueue[T]) Excess(now time.Time, surplus int) []T {
	limit := MaxWaitingTime
	if now.Sub(q.emptiedAt) >= MaxWaitingTime {
		limit = overloadedWaitingTime
	}
	n := min(max(len(q.items)-maxWaiting, surplus, 0), len(q.items))
	for n < len(q.items) && now.Sub(q.items[n].since) >= limit {
		n++
	}
	return q.remove(now, 0, n)
}

// remove removes the connections from one index to before another.
func (q *WaitingQueue[T]) remove(now time.Time, from, to int) []T {
	if from == to {
		return nil
	}
	removed := make([]T, 0, to-from)
	for _, w := range q.items[from:to] {
		removed = append(removed, w.item)
	}
	q.items = slices.Delete(q.items, from, to)
	if len(q.items) == 0 {
		q.emptiedAt = now
	}
	return removed
}
