package idemkey

import "time"

// Verdict is the decision on one claim.
type Verdict uint8

const (
	// Won means that the request holds the key and may be dispatched.
	Won Verdict = iota + 1
	// Duplicate means that another request holds the key.
	Duplicate
	// Repeated means that the same request already holds the key: the record is
	// a second copy of its claim.
	Repeated
	// Undecided means that the table was too full to keep every claim of the
	// last window, so the key may be held. The request must not be dispatched.
	Undecided
)

// Result is the decision on one claim and its dispatch deadline.
type Result struct {
	Verdict Verdict
	// DispatchBefore is the time after which a winning request must not be
	// dispatched; the zero time means no deadline.
	DispatchBefore time.Time
}
