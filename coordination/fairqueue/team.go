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
	// index is the place in the heap of backlogged teams, or -1.
	index int
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

// teamHeap orders the backlogged teams. A fair queue orders by v, an FCFS
// queue by the oldest ticket.
type teamHeap struct {
	teams []*team
	fcfs  bool
}

func (h *teamHeap) Len() int { return len(h.teams) }

func (h *teamHeap) Less(i, j int) bool {
	a, b := h.teams[i], h.teams[j]
	if h.fcfs {
		return queuedBefore(a.tickets[0], b.tickets[0])
	}
	return servedBefore(a, b)
}

// servedBefore orders by v; ties are broken by name.
func servedBefore(a, b *team) bool {
	if va, vb := a.v(), b.v(); va != vb {
		return va < vb
	}
	return a.name < b.name
}

func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].index, h.teams[j].index = i, j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.index = -1
	return t
}

// update puts a team in its place after its tickets or its v changed.
func (h *teamHeap) update(t *team) {
	switch {
	case t.backlogged() && t.index < 0:
		heap.Push(h, t)
	case t.backlogged():
		heap.Fix(h, t.index)
	case t.index >= 0:
		heap.Remove(h, t.index)
	}
}

// normalize divides a cost by a weight, in millionths.
func normalize(cost, weight uint64) uint64 {
	return min(cost, MaxCountedHint) * millionths / weight
}
