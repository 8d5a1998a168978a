package quarantine

import "time"

// Peek returns what Refuse would, without beginning a trial.
func (t *Table) Peek(now time.Time, parts []uint64, request uint64) (until time.Time, refuse bool) {
	return t.firstRefusal(parts, request, func(q *quarantine) (time.Time, bool) {
		copied := *q
		return copied.refuse(now)
	})
}
