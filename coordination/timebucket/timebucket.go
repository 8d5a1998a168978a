// Package timebucket numbers intervals of equal width for counts in sliding windows. The numbers
// follow the monotonic clock, so that a step of the time of day neither forgets what was counted
// nor counts it again. It reads no clock.
package timebucket

import "time"

// Origin is the beginning of the interval 0: the first time that is numbered. The zero value is
// ready for use. It is not safe for concurrent use.
type Origin struct{ at time.Time }

// Index returns the number of the interval that contains now. A time before the origin, which a
// goroutine may have taken a moment before, belongs to the interval 0.
func (o *Origin) Index(now time.Time, width time.Duration) int64 {
	if o.at.IsZero() {
		o.at = now
	}
	return int64(max(now.Sub(o.at), 0) / width)
}
