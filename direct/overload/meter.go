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

// Sample takes a reading and returns the used fraction of the available CPU time, averaged over
// the time constant.
func (m *CPUMeter) Sample(r CPUReading) float64 {
	elapsed, used := r.At.Sub(m.sampledAt), r.Used
	if !m.sampledAt.IsZero() && elapsed > 0 && m.cores > 0 {
		current := float64(used-m.used) / float64(elapsed) / m.cores
		weight := min(float64(elapsed)/float64(m.averaging), 1)
		m.utilization += weight * (current - m.utilization)
	}
	m.used, m.sampledAt = used, r.At
	return m.utilization
}

// CPUReading is the CPU time that a process has used since its start.
type CPUReading struct {
	Used time.Duration
	// At is the time of the reading. A timer's time is earlier in a process that waits for CPU time.
	At time.Time
}

// ReadCPU returns the user and system CPU time that this process has used.
func ReadCPU() (CPUReading, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return CPUReading{}, err
	}
	return CPUReading{Used: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), At: time.Now()}, nil
}
