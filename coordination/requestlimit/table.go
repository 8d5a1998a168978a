package requestlimit

import "time"

// Limit is the limit that an endpoint has named for all routers together.
type Limit struct {
	// Rate is the number of requests per second. It is negative if the endpoint has no
	// limit any more.
	Rate float64
	// At is the time of the response that named it.
	At time.Time
}

// NoLimit is the Rate of an endpoint that names no limit.
const NoLimit = -1

// Table holds the limits by the hash of the endpoint. It is not safe for concurrent use.
type Table struct {
	limits map[uint32]*state
}

type state struct {
	Limit
	// learnedAt is when this router learned that the endpoint has a limit.
	learnedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: map[uint32]*state{}} }

// Observe records the limit in a response, or NoLimit if it names none, and reports
// whether it is new. sentAt is when its request was sent: a response that names no limit
// ends one only if it was requested after the limit was known.
func (t *Table) Observe(now time.Time, endpoint uint32, rate float64, sentAt time.Time) bool {
	s := t.limits[endpoint]
	switch {
	case rate >= 0 && (s == nil || s.Rate < 0):
		t.limits[endpoint] = &state{Limit: Limit{Rate: rate, At: now}, learnedAt: now}
		return true
	case s == nil || s.Rate < 0:
		return false
	case rate < 0 && sentAt.Before(s.learnedAt):
		return false
	}
	changed := s.Rate != rate
	s.Rate, s.At = rate, now
	return changed
}

// Limited returns the number of endpoints with a limit.
func (t *Table) Limited() int {
	n := 0
	for _, s := range t.limits {
		if s.Rate >= 0 {
			n++
		}
	}
	return n
}
