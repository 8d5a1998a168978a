package overload

import (
	"syscall"
	"time"
)

// busyTime is the time over which the use of the processor is averaged: five
// scheduling periods of 100 ms.
const busyTime = 500 * time.Millisecond

// Meter averages how much of its processor time a process uses. It is not safe
// for concurrent use.
type Meter struct {
	cores float64
	used  time.Duration
	at    time.Time
	busy  float64
}

// NewMeter returns a meter of a process that may use this many cores.
func NewMeter(cores float64) *Meter { return &Meter{cores: cores} }

// Sample takes the processor time used since the start and returns the used
// part of what the process may use, averaged over busyTime.
func (m *Meter) Sample(now time.Time, used time.Duration) float64 {
	elapsed := now.Sub(m.at)
	if !m.at.IsZero() && elapsed > 0 && m.cores > 0 {
		current := float64(used-m.used) / float64(elapsed) / m.cores
		weight := min(float64(elapsed)/float64(busyTime), 1)
		m.busy += weight * (current - m.busy)
	}
	m.used, m.at = used, now
	return m.busy
}

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
