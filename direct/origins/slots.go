package origins

import (
	"slices"
	"time"
)

// slots numbers the records that a router keeps in the store. A record is replaced only after the
// streams in it can no longer be taken up.
type slots struct {
	// used is ordered by time.
	used []usedSlot
	// count is the number of slots.
	count int
}

type usedSlot struct {
	slot int
	at   time.Time
}

// next returns the slot of the next record, which is kept for retention.
func (s *slots) next(now time.Time, retention time.Duration) int {
	slot := s.count
	if len(s.used) > 0 && now.Sub(s.used[0].at) >= retention {
		slot = s.used[0].slot
		s.used = s.used[1:]
	} else {
		s.count++
	}
	s.used = append(s.used, usedSlot{slot, now})
	return slot
}

// occupy adds slots that hold records, which may be as recent as now.
func (s *slots) occupy(now time.Time, occupied []int) {
	for _, slot := range occupied {
		if slot >= s.count || !slices.ContainsFunc(s.used, func(u usedSlot) bool { return u.slot == slot }) {
			s.used = append(s.used, usedSlot{slot, now})
			s.count = max(s.count, slot+1)
		}
	}
}
