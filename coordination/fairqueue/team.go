package fairqueue

import (
	"container/heap"
	"time"
)

// waiting is a ticket in the queue; index is its place in its team's heap.
type waiting struct {
	Ticket
	index int
}

// ticketHeap orders the tickets of one team by the time they were queued.
type ticketHeap []*waiting

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool { return queuedBefore(h[i], h[j]) }

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *ticketHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

func queuedBefore(a, b *waiting) bool {
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
	// requests counts granted and running requests.
	requests int
	tickets  ticketHeap
	// index is the place in the heap of backlogged teams, or -1, and key its
	// order there. Both lag behind while dirty is set.
	index int
	key   uint64
	dirty bool
	// idleSince is the time since which no ticket waited; unknown before the first.
	idleSince time.Time
	// raise is set while a raise of the base waits for the end of the rebuild.
	raise bool
	// unproven is the part of the base that stands for counters that this
	// owner hasn't seen.
	unproven uint64
	// copies is the number of replies that still carry the base.
	copies int
	queued bool
}

// v is the service received per weight, in millionths.
func (t *team) v() uint64 { return t.base + t.counters + t.outstanding }

func (t *team) backlogged() bool { return len(t.tickets) > 0 }

// known reports whether the base has been seen. Every base is above 0, because
// the virtual time begins above 0.
func (t *team) known() bool { return t.base > 0 }

// servedBefore orders by v; ties are broken by name.
func servedBefore(a, b *team) bool {
	if va, vb := a.v(), b.v(); va != vb {
		return va < vb
	}
	return a.name < b.name
}

// teamHeap orders the backlogged teams by their keys, which change only while
// the heap is put in order; ties are broken by name.
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

// touch notes that a team's tickets or its v changed. A report changes many
// teams several times; the heap is put in order once, before it is used.
func (q *Queue) touch(t *team) {
	if !t.dirty {
		t.dirty = true
		q.dirty = append(q.dirty, t)
	}
}

// backlogged returns the heap of backlogged teams in order.
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

// keyOf is v, or the time of the oldest ticket in an FCFS queue.
func (q *Queue) keyOf(t *team) uint64 {
	if q.opts.Ordering == FCFS {
		return uint64(t.tickets[0].QueuedAt.UnixNano())
	}
	return t.v()
}

// normalize divides a cost by a weight, in millionths.
func normalize(cost, weight uint64) uint64 {
	return min(cost, MaxCountedHint) * millionths / weight
}
