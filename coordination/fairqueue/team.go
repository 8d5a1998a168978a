package fairqueue

import (
	"container/heap"
	"time"
)

// queuedTicket is a ticket in the queue; index is its position in its team's heap.
type queuedTicket struct {
	Ticket
	index int
}

// ticketHeap orders the tickets of one team by queueing time.
type ticketHeap []*queuedTicket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool { return queuedBefore(h[i], h[j]) }

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *ticketHeap) Push(x any) {
	qt := x.(*queuedTicket)
	qt.index = len(*h)
	*h = append(*h, qt)
}

func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	qt := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	qt.index = -1
	return qt
}

func queuedBefore(a, b *queuedTicket) bool {
	if !a.QueuedAt.Equal(b.QueuedAt) {
		return a.QueuedAt.Before(b.QueuedAt)
	}
	return a.Request < b.Request
}

// team is the account and the queue of one team.
type team struct {
	name string
	// base, counters and outstanding add up to v, in millionths.
	base        uint64
	counters    uint64
	outstanding uint64
	// cost is the sum of the known counters, in cost units.
	cost uint64
	// requests is the number of granted requests and requests in progress.
	requests int
	tickets  ticketHeap
	// index is the position in the heap of backlogged teams, or -1, and key is the
	// sort key there. Both are out of date while dirty is set.
	index int
	key   uint64
	dirty bool
	// idleSince is the time at which the last ticket left the queue; zero before
	// that.
	idleSince time.Time
	// raisePending is set while a raise of the base is deferred until the end of
	// the rebuild.
	raisePending bool
	// provisional is the part of the base that substitutes for counters that this
	// owner has not received.
	provisional uint64
	// copiesLeft is the number of replies that still have to carry the base.
	// basePending is set while the team is listed in Queue.pendingBases.
	copiesLeft  int
	basePending bool
}

// v returns the service received per weight, including outstanding hints, in
// millionths.
func (t *team) v() uint64 { return t.base + t.counters + t.outstanding }

func (t *team) backlogged() bool { return len(t.tickets) > 0 }

// hasBase reports whether the base is known. Every base is above 0, because the
// virtual time starts above 0.
func (t *team) hasBase() bool { return t.base > 0 }

// servedBefore orders teams by v; ties are broken by name.
func servedBefore(a, b *team) bool {
	if va, vb := a.v(), b.v(); va != vb {
		return va < vb
	}
	return a.name < b.name
}

// teamHeap orders the backlogged teams by key; ties are broken by name. Keys change
// only in Queue.reorder, which restores the heap order.
type teamHeap []*team

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// markDirty records that a team's tickets or its v changed. A report changes many
// teams several times; the heap is updated once, before it is used.
func (q *Queue) markDirty(t *team) {
	if !t.dirty {
		t.dirty = true
		q.dirty = append(q.dirty, t)
	}
}

// backlogged updates the heap of backlogged teams and returns it.
func (q *Queue) backlogged() teamHeap {
	for i, t := range q.dirty {
		t.dirty = false
		q.dirty[i] = nil
		q.reorder(t)
	}
	q.dirty = q.dirty[:0]
	return q.backlog
}

func (q *Queue) reorder(t *team) {
	if !t.backlogged() {
		if t.index >= 0 {
			heap.Remove(&q.backlog, t.index)
		}
		return
	}
	t.key = q.keyOf(t)
	if t.index < 0 {
		heap.Push(&q.backlog, t)
		return
	}
	heap.Fix(&q.backlog, t.index)
}

// keyOf returns v, or the queueing time of the oldest ticket in an FCFS queue.
func (q *Queue) keyOf(t *team) uint64 {
	if q.opts.Ordering == FCFS {
		return uint64(t.tickets[0].QueuedAt.UnixNano())
	}
	return t.v()
}

// normalize divides a cost, capped at MaxCountedHint, by a weight and returns the
// quotient in millionths.
func normalize(cost, weight uint64) uint64 {
	return min(cost, MaxCountedHint) * millionths / weight
}
