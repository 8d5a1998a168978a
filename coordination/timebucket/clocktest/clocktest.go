// Package clocktest makes the times that a process reads after a step of the system's time of day.
package clocktest

import (
	"time"
	"unsafe"
)

// wallSecondShift is the position of the seconds in the first word of a time.Time that has a
// monotonic reading.
const wallSecondShift = 30

// Step returns t with the time of day moved by whole seconds and the same monotonic reading. It
// panics if the layout of time.Time is another than it expects, or t has no monotonic reading.
func Step(t time.Time, step time.Duration) time.Time {
	stepped := t
	seconds := int64(step / time.Second)
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(seconds << wallSecondShift)
	if stepped.Sub(t) != 0 || stepped.Unix()-t.Unix() != seconds {
		panic("the layout of time.Time is unknown, or the time has no monotonic reading")
	}
	return stepped
}
