package overload

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// AdmissionAveraging is the time constant of the CPU utilization that Admission
	// uses. It is shorter than that of Rotation, because a backlog of requests that
	// were accepted too fast can't be refused any more.
	AdmissionAveraging = 150 * time.Millisecond
	// saturatedUtilization is the CPU utilization above which fewer requests are
	// admitted, sparedUtilization the one below which more are.
	saturatedUtilization = 0.9
	sparedUtilization    = 0.75
	// admissionDecrease multiplies the admitted fraction in each step of a saturated
	// process, or a smaller factor if the process has used more CPU time than its share.
	// admissionIncrease is added in each step of a process with time to spare.
	admissionDecrease = 0.7
	admissionIncrease = 0.05
	// minAdmitted is the smallest admitted fraction: a router that reports itself ready
	// must still serve some requests.
	minAdmitted = 0.05
)

// Admission bounds the fraction of requests that a router processes while it has no CPU
// time for all of them. A refusal costs a fraction of the CPU time of a served request,
// and its caller retries at another router, while a request that waits for CPU time is
// answered late or not at all. The run queue does not show such a backlog while it is
// still in the sockets; CPU utilization does. Admission is safe for concurrent use.
type Admission struct {
	// refused holds the bits of a float64, 1 minus the admitted fraction.
	refused atomic.Uint64
}

// Step adapts the admitted fraction to the CPU utilization. It is called at regular
// intervals by one goroutine.
func (a *Admission) Step(utilization float64) {
	admitted := a.Admitted()
	switch {
	case utilization >= saturatedUtilization:
		decrease := min(admissionDecrease, saturatedUtilization/utilization)
		admitted = max(admitted*decrease, minAdmitted)
	case utilization < sparedUtilization:
		admitted = min(admitted+admissionIncrease, 1)
	}
	a.refused.Store(math.Float64bits(1 - admitted))
}

// Admitted returns the admitted fraction of requests.
func (a *Admission) Admitted() float64 { return 1 - math.Float64frombits(a.refused.Load()) }

// Refuse decides at random whether to refuse a request. Requests of teams above their
// share are refused first: those of other teams only while less than half is admitted.
// aboveShare is called only while not all requests are admitted.
func (a *Admission) Refuse(aboveShare func() bool) bool {
	admitted := a.Admitted()
	return admitted < 1 && rand.Float64() < refusalProbability(admitted, aboveShare())
}

// refusalProbability returns the probability with which a request is refused. For equal
// numbers of both kinds of requests, it adds up to 1-admitted.
func refusalProbability(admitted float64, aboveShare bool) float64 {
	p := 2 * (1 - admitted)
	if !aboveShare {
		p--
	}
	return min(max(p, 0), 1)
}
