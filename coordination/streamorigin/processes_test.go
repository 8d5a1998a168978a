package streamorigin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a build that is settled while a process may still act on an earlier record, or while
// streams that began under it lack a saved origin.
func TestAllAcknowledged(t *testing.T) {
	p := NewProcesses()
	now := start
	acknowledged := func(era, offset int64) bool { return p.AllAcknowledged(now, era, offset, streamTime) }
	must.False(t, acknowledged(1, 0), must.Sprint("no process is known"))
	p.Register(now, "a1", "a", "p1", false)
	p.Register(now, "b1", "b", "p2", false)
	p.Acknowledge(now, "p1", 1, 11)
	must.False(t, acknowledged(1, 10), must.Sprint("a process has not reported"))
	p.Acknowledge(now, "p2", 1, 10)
	must.False(t, acknowledged(1, 10), must.Sprint("a process has not read the record"))
	p.Acknowledge(now, "p2", 1, 11)
	must.True(t, acknowledged(1, 10))
	must.False(t, acknowledged(2, 10), must.Sprint("in another era"))
	p.Acknowledge(now, "p2", 1, 9)
	must.True(t, acknowledged(1, 10), must.Sprint("an older report came later"))

	p.Acknowledge(now, "unregistered", 0, 0)
	must.False(t, acknowledged(1, 10), must.Sprint("a process that isn't registered"))
	now = now.Add(LeaseDuration + streamTime)
	must.True(t, acknowledged(1, 10), must.Sprint("it has not reported since"))
	p.Register(now, "c1", "c", "p3", false)
	now = now.Add(time.Hour)
	must.False(t, acknowledged(1, 10), must.Sprint("a registered process has never reported"))
	p.Remove("c1")
	must.True(t, acknowledged(1, 10))
}

// Guards against hosts that are gone for good and delay each settling, and against a retired process that is
// taken for ended while its lease lasts: it may only be cut off from its peers.
func TestSilentProcessIsRetired(t *testing.T) {
	p := NewProcesses()
	p.Register(start, "a1", "a", "p1", false)
	p.Register(start, "b1", "b", "gone", false)
	reported := start.Add(10 * time.Second)
	p.Acknowledge(reported, "gone", 1, 5)
	now := reported.Add(silentAfter - 1)
	p.Acknowledge(now, "p1", 1, 11)
	must.SliceEmpty(t, p.Silent(now, "p1"))
	now = now.Add(1)
	must.Eq(t, []string{"b1"}, p.Silent(now, "p1"))
	p.Register(now, "b1", "b", "gone", true)
	must.SliceEmpty(t, p.Silent(now, "p1"))
	must.False(t, p.IsRegistered("gone"))
	last := now.Add(LeaseDuration + streamTime - 1)
	must.False(t, p.AllAcknowledged(last, 1, 10, streamTime))
	must.SliceEmpty(t, p.Ended(last, "a", "p1", start, time.Hour))
	must.True(t, p.AllAcknowledged(last.Add(1), 1, 10, streamTime))
	must.Eq(t, []string{"b1"}, p.Ended(last.Add(1), "a", "p1", start, streamTime))
}

// Guards against a registration that is removed while streams of its process may still be taken up.
func TestEarlierProcessOfARouterHasEnded(t *testing.T) {
	p := NewProcesses()
	p.Register(start, "a1", "a", "p1", false)
	p.Register(start, "a2", "a", "p2", false)
	p.Register(start, "b1", "b", "p3", false)
	must.SliceEmpty(t, p.Ended(start.Add(streamTime-1), "a", "p2", start, streamTime))
	must.Eq(t, []string{"a1"}, p.Ended(start.Add(streamTime), "a", "p2", start, streamTime))
}

// Guards against a replaced build that stays unsettled although no process can act on it, and against a build
// that is settled early although it replaced one under which unregistered processes may have begun streams.
func TestAcknowledgedBuildIsSettled(t *testing.T) {
	for state, isEarly := range map[State]bool{Replacing: true, Unsettled: false} {
		p := ImpliedPolicy{Processes: NewProcesses()}
		p.Processes.Register(start, "a1", "a", "p1", false)
		saved := implied(1, Implied{Build: 2, State: state, Since: 10})
		endpoints := shares(map[Build]float64{2: 1})
		p.Processes.Acknowledge(start, "p1", 1, 10)
		_, changed := p.Next(start, endpoints, saved, 1, 12, streamTime)
		must.False(t, changed)
		p.Processes.Acknowledge(start, "p1", 1, 11)
		next, changed := p.Next(start, endpoints, saved, 1, 12, streamTime)
		must.Eq(t, isEarly, changed)
		must.Eq(t, isEarly, next.Of[chat].State == Settled)
	}
}
