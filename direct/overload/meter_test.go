package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a host with a fraction of a core that looks idle because it is
// measured against a whole core, and against a single busy sample that counts as
// overload.
func TestMeterIsRelativeToCPUShare(t *testing.T) {
	m := NewCPUMeter(0.2, RotationAveraging)
	now, used := time.Unix(1_700_000_000, 0), time.Duration(0)
	step := func(fraction float64) float64 {
		now, used = now.Add(100*time.Millisecond), used+time.Duration(fraction*0.2*float64(100*time.Millisecond))
		return m.Sample(now, used)
	}
	step(0)
	must.Less(t, leaveUtilization, step(1))
	for range 30 {
		step(1)
	}
	must.Greater(t, 0.99, step(1))
	for range 30 {
		step(0.3)
	}
	must.Less(t, 0.31, step(0.3))
}

// Guards against a reported overload when the CPU limit is unknown.
func TestMeterWithoutLimit(t *testing.T) {
	m := NewCPUMeter(0, RotationAveraging)
	now := time.Unix(1_700_000_000, 0)
	m.Sample(now, 0)
	must.Zero(t, m.Sample(now.Add(time.Second), time.Minute))
}
