package quarantine

import "time"

// Peek returns what Refuse would, without beginning a trial.
func (t *Table) Peek(now time.Time, parts []uint64, request uint64) (until time.Time, refuse bool) {
	for i := range t.sets {
		if !containsAll(parts, t.sets[i].parts) {
			continue
		}
		if until, refuse := t.sets[i].peek(now); refuse {
			return until, true
		}
	}
	if q := t.requests[request]; q != nil {
		return q.peek(now)
	}
	return time.Time{}, false
}

func (q *quarantine) peek(now time.Time) (until time.Time, refuse bool) {
	copied := *q
	return copied.refuse(now)
}
