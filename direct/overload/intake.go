package overload

import "time"

const (
	// saturatedRefusals is the fraction of connections refused unread from which a process counts as
	// saturated.
	saturatedRefusals = 0.05
	// minIntake is the number of connections below which a fraction of them says nothing.
	minIntake = 40
)

// IntakeReading counts the connections that a process has taken in since its start.
type IntakeReading struct {
	// Accepted counts all of them, Refused those whose request was refused unread.
	Accepted, Refused int64
	At                time.Time
}

// Intake describes how a process keeps up with its connections.
type Intake struct {
	// RefusedUnread is the fraction of connections whose request is refused unread, averaged over
	// RotationAveraging.
	RefusedUnread float64
	// Saturated is set if a part of the latest connections was refused unread.
	Saturated bool
}

// IntakeMeter measures an Intake. It is not safe for concurrent use.
type IntakeMeter struct {
	last    IntakeReading
	refused float64
}

// Sample takes a reading.
func (m *IntakeMeter) Sample(r IntakeReading) Intake {
	elapsed, current := r.At.Sub(m.last.At), 0.0
	if !m.last.At.IsZero() && elapsed > 0 {
		accepted := max(r.Accepted-m.last.Accepted, minIntake)
		current = min(float64(r.Refused-m.last.Refused)/float64(accepted), 1)
		m.refused += min(float64(elapsed)/float64(RotationAveraging), 1) * (current - m.refused)
	}
	m.last = r
	return Intake{RefusedUnread: m.refused, Saturated: current >= saturatedRefusals}
}

// Utilization returns the CPU utilization of a process with this measured one. A process that doesn't
// keep up with its connections has no CPU time to spare, whatever is measured: the time that the host
// takes for the process's system calls and interrupts may not be counted as its own.
func (i Intake) Utilization(measured float64) float64 {
	if i.Saturated {
		return max(measured, 1)
	}
	return measured
}
