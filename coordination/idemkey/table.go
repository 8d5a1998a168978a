package idemkey

import (
	"slices"
	"time"
)

// DefaultLimit is the default number of claims that a table remembers. A claim
// takes about 100 bytes.
const DefaultLimit = 1 << 19

// Table holds the claims that one reader has read. It is not safe for
// concurrent use. Times must come from one monotonic clock and never decrease.
//
// Readers read the same record at different times, and a reader that starts
// reads old claims anew. So one reader may hold a key for an old claim while
// the router of a later claim sees the key as free, wins and dispatches. For
// that reason a claim is remembered whatever its verdict is here: a key is free
// only if every claim of it that was read within the window has been released.
// Then, if two claims of a key are dispatched, the router of the second has
// known the first for a whole window.
type Table struct {
	window time.Duration
	limit  int
	held   map[Key][]claim
	// order lists claims in the order in which they were read.
	order []expiry
	next  uint64
	// blindUntil is the time until which a claim may be unknown because the
	// table was full.
	blindUntil time.Time
}

type claim struct {
	request string
	number  uint64
}

type expiry struct {
	key    Key
	number uint64
	at     time.Time
}

// NewTable returns an empty table that remembers up to limit claims for window.
func NewTable(window time.Duration, limit int) *Table {
	return &Table{window: window, limit: limit, held: map[Key][]claim{}}
}

// Claim applies the claim of a key that was read at now.
func (t *Table) Claim(now time.Time, key Key, request string) Verdict {
	t.expire(now)
	holders := t.held[key]
	for _, h := range holders {
		if h.request == request {
			return Repeated
		}
	}
	blind := now.Before(t.blindUntil)
	if !t.remember(now, key, request) {
		return Undecided
	}
	switch {
	case len(holders) > 0:
		return Duplicate
	case blind:
		return Undecided
	}
	return Won
}

// remember adds a claim and reports false if there is no room.
func (t *Table) remember(now time.Time, key Key, request string) bool {
	if len(t.order) >= t.limit {
		t.blindUntil = now.Add(t.window)
		return false
	}
	t.next++
	t.held[key] = append(t.held[key], claim{request: request, number: t.next})
	t.order = append(t.order, expiry{key: key, number: t.next, at: now.Add(t.window)})
	return true
}

// Release applies a release that was read at now: the request's claim of the
// key no longer counts.
func (t *Table) Release(now time.Time, key Key, request string) {
	t.expire(now)
	t.drop(key, func(c claim) bool { return c.request == request })
}

// Len returns the number of keys that are held.
func (t *Table) Len() int { return len(t.held) }

func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.order) && !now.Before(t.order[n].at) {
		e := t.order[n]
		t.drop(e.key, func(c claim) bool { return c.number == e.number })
		n++
	}
	t.order = t.order[n:]
}

// drop removes the claims of a key that match.
func (t *Table) drop(key Key, match func(claim) bool) {
	holders, ok := t.held[key]
	if !ok {
		return
	}
	holders = slices.DeleteFunc(holders, match)
	if len(holders) == 0 {
		delete(t.held, key)
		return
	}
	t.held[key] = holders
}
