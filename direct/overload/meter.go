package overload

import (
	"syscall"
	"time"
)

// RotationAveraging is the time constant of the CPU utilization that Rotation uses: five
// CPU quota periods of 100 ms.
const RotationAveraging = 500 * time.Millisecond

// CPUMeter averages the CPU utilization of a process. It is not safe for concurrent
// use.
type CPUMeter struct {
	cores       float64
	averaging   time.Duration
	used        time.Duration
	sampledAt   time.Time
	utilization float64
}

// NewCPUMeter returns a meter for a process that may use this many cores, with the time
// constant averaging. With 0 cores, the limit is unknown and the utilization is always 0.
func NewCPUMeter(cores float64, averaging time.Duration) *CPUMeter {
	return &CPUMeter{cores: cores, averaging: averaging}
}

// Sample takes the CPU time used since the start of the process and returns the
// used fraction of the available CPU time, averaged over the time constant.
func (m *CPUMeter) Sample(now time.Time, used time.Duration) float64 {
	elapsed := now.Sub(m.sampledAt)
	if !m.sampledAt.IsZero() && elapsed > 0 && m.cores > 0 {
		current := float64(used-m.used) / float64(elapsed) / m.cores
		weight := min(float64(elapsed)/float64(m.averaging), 1)
		m.utilization += weight * (current - m.utilization)
	}
	m.used, m.sampledAt = used, now
	return m.utilization
}

// CPUTime returns the user and system CPU time that this process has used.
func CPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
