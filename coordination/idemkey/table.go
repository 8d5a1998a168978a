package idemkey

import (
	"slices"
	"time"
)

// DefaultLimit is the default number of claims that a table holds. A claim
// takes about 100 bytes.
const DefaultLimit = 1 << 19

// Table holds the claims that one reader has read. It is not safe for
// concurrent use. Times must come from one monotonic clock and never decrease.
//
// Readers read the same record at different times, and a reader that starts
// reads old claims again. One reader may therefore hold a key for an old claim
// while the router of a later claim sees the key as free, wins and dispatches.
// For this reason a claim is stored whatever its verdict is in this table: a
// key is free only if every claim of it that was read within the window has
// been released. If two claims of a key are dispatched, the router of the
// second has then known the first for a whole window.
type Table struct {
	window time.Duration
	limit  int
	claims map[Key][]claim
	// expiries lists the claims in the order in which they were read, including
	// released ones.
	expiries []expiry
	lastSeq  uint64
	// incompleteUntil is the time until which a valid claim may be missing
	// because the table was full when it was read.
	incompleteUntil time.Time
}

type claim struct {
	request string
	seq     uint64
}

type expiry struct {
	key Key
	seq uint64
	at  time.Time
}

// NewTable returns an empty table that holds up to limit claims for window each.
func NewTable(window time.Duration, limit int) *Table {
	return &Table{window: window, limit: limit, claims: map[Key][]claim{}}
}

// Claim applies a request's claim of a key that was read at now and returns the
// verdict.
func (t *Table) Claim(now time.Time, key Key, request string) Verdict {
	t.expire(now)
	current := t.claims[key]
	for _, c := range current {
		if c.request == request {
			return Repeated
		}
	}
	incomplete := now.Before(t.incompleteUntil)
	if !t.insert(now, key, request) {
		return Undecided
	}
	switch {
	case len(current) > 0:
		return Duplicate
	case incomplete:
		return Undecided
	}
	return Won
}

// insert adds a claim. It reports false if the table is full.
func (t *Table) insert(now time.Time, key Key, request string) bool {
	if len(t.expiries) >= t.limit {
		t.incompleteUntil = now.Add(t.window)
		return false
	}
	t.lastSeq++
	t.claims[key] = append(t.claims[key], claim{request: request, seq: t.lastSeq})
	t.expiries = append(t.expiries, expiry{key: key, seq: t.lastSeq, at: now.Add(t.window)})
	return true
}

// Release applies a release that was read at now: it ends the request's claim
// of the key.
func (t *Table) Release(now time.Time, key Key, request string) {
	t.expire(now)
	t.removeClaims(key, func(c claim) bool { return c.request == request })
}

// Len returns the number of keys that are held.
func (t *Table) Len() int { return len(t.claims) }

func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.expiries) && !now.Before(t.expiries[n].at) {
		e := t.expiries[n]
		t.removeClaims(e.key, func(c claim) bool { return c.seq == e.seq })
		n++
	}
	t.expiries = t.expiries[n:]
}

// removeClaims removes the claims of a key for which match returns true.
func (t *Table) removeClaims(key Key, match func(claim) bool) {
	claims, ok := t.claims[key]
	if !ok {
		return
	}
	claims = slices.DeleteFunc(claims, match)
	if len(claims) == 0 {
		delete(t.claims, key)
		return
	}
	t.claims[key] = claims
}
