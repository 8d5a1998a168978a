package follow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// settings of the surroundings that the tests use.
var (
	never        = func() bool { return false }
	always       = func() bool { return true }
	calmAround   = surroundings{wanted: true, answering: true, mayProbe: never}
	silentAround = surroundings{busy: true, wanted: true, mayProbe: never}
	probeAround  = surroundings{busy: true, wanted: true, mayProbe: always}
	answerAround = surroundings{busy: true, wanted: true, answering: true, mayProbe: never}
)

// Guards against a router that waits for a lost call: as soon as the store answers anybody, it calls
// again although the lost call is in progress and the backoff runs, but only once.
func TestCallBeginsWhenTheStoreAnswersAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &schedule{}
	must.True(t, s.shouldBegin(now, calmAround))
	s.began(now, time.Second)
	must.False(t, s.checkOverdue(now.Add(time.Second), true))
	must.True(t, s.checkOverdue(now.Add(time.Second+overdueDelay), true))
	must.False(t, s.shouldBegin(now.Add(2*time.Second), silentAround))
	must.True(t, s.shouldBegin(now.Add(2*time.Second), probeAround), must.Sprint("its turn"))
	s.began(now.Add(2*time.Second), 0)
	s.failed(now.Add(2700 * time.Millisecond))
	must.False(t, s.shouldBegin(now.Add(2700*time.Millisecond), silentAround))
	must.True(t, s.shouldBegin(now.Add(2700*time.Millisecond), answerAround))
	s.began(now.Add(2700*time.Millisecond), 0)
	must.False(t, s.shouldBegin(now.Add(2750*time.Millisecond), answerAround))
}

// Guards against a lost call that nothing checks because peers, whose calls are lost as well, still
// count as reading: one more call begins when it is overdue, and no further one before it ends.
func TestOverdueCallIsCheckedOnce(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &schedule{}
	s.began(now, time.Second)
	now = now.Add(time.Second + overdueDelay)
	must.False(t, s.shouldBegin(now, answerAround))
	must.True(t, s.checkOverdue(now, true))
	must.True(t, s.shouldBegin(now, answerAround))
	s.began(now, 0)
	must.False(t, s.checkOverdue(now.Add(time.Second), true))
	must.False(t, s.shouldBegin(now.Add(time.Second), answerAround))
}

// Guards against calls without a pause to a store that refuses this router only: its peers read, so
// it calls again after the backoff, one call at a time.
func TestRefusedRouterBacksOff(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &schedule{}
	calls := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if s.shouldBegin(now, calmAround) {
			calls++
			s.began(now, time.Second)
			s.failed(now)
		}
	}
	// The mean backoff is a second, after the first few.
	must.Between(t, 40, calls, 90)
}

// Guards against a fleet that calls a silent store more often the more of its calls are lost: a
// router's probes keep their interval and alternate between the topics.
func TestProbesOfARouterKeepTheirInterval(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	var p probes
	claimed := [2]int{}
	for now := begin; now.Before(begin.Add(7 * time.Second)); now = now.Add(probeCheckInterval) {
		for _, topic := range []Topic{Configuration, Endpoints} {
			if p.claim(now, topic) {
				claimed[topic]++
			}
		}
	}
	must.Eq(t, [2]int{5, 5}, claimed)
}
