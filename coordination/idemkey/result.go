package idemkey

import "time"

// Verdict is the decision on one claim.
type Verdict uint8

const (
	// Won means that the request holds the key and may be dispatched.
	Won Verdict = iota + 1
	// Duplicate means that another request holds the key.
	Duplicate
	// Repeated means that the same request held the key already, so that the
	// record is a second copy.
	Repeated
	// Undecided means that the table was too full to remember every claim of
	// the last window. The request must not be dispatched.
	Undecided
)

// Result is the decision on one claim and its limit.
type Result struct {
	Verdict Verdict
	// DispatchBefore is the time after which a winner must not be dispatched;
	// zero means that there is no limit.
	DispatchBefore time.Time
}
