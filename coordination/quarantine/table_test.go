package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const (
	caller, topic, otherTopic, deadly = 1, 2, 3, 9
)

// crash records an attempt that was interrupted by the crash with this number, at an
// endpoint that is known to be down.
func crash(t *Table, number uint32, at time.Duration, responding bool, parts ...uint64) {
	t.AddInterrupted(Interrupted{Crash: number, At: start.Add(at), Responding: responding, Parts: parts}, number, true)
}

func refuses(t *Table, at time.Duration, parts ...uint64) bool {
	_, refuse := t.Refuse(start.Add(at), parts, 0)
	return refuse
}

// Guards against sound parts that are refused together with the part that crashes
// engines: requests without it must pass, and clear what they share with it.
func TestSoundPartsOfCrashingPromptsAreServed(t *testing.T) {
	table := NewTable()
	crash(table, 1, 0, true, caller, topic, deadly)
	must.False(t, refuses(table, 0, caller, topic, deadly), must.Sprint("one crash may have another cause"))
	crash(table, 2, time.Second, true, caller, topic, deadly)
	must.True(t, refuses(table, time.Second, caller, topic, deadly))
	must.False(t, refuses(table, time.Second, caller, topic))
	must.False(t, refuses(table, time.Second, caller, otherTopic, deadly), must.Sprint("not known yet"))
	table.Served(start.Add(2*time.Second), []uint64{caller, topic})
	must.True(t, refuses(table, 2*time.Second, caller, otherTopic, deadly))
	must.False(t, refuses(table, 2*time.Second, caller, otherTopic))
}

// Guards against a crashing part that stays unknown because each of its requests has
// other parts that weren't served lately.
func TestCommonPartOfCrashesIsQuarantined(t *testing.T) {
	table := NewTable()
	for i := range uint32(3) {
		must.False(t, refuses(table, 0, 77, deadly), must.Sprintf("before crash %d", i))
		crash(table, i, time.Duration(i)*time.Second, true, uint64(100+i), uint64(200+i), deadly)
	}
	must.True(t, refuses(table, 3*time.Second, 77, deadly))
	must.False(t, refuses(table, 3*time.Second, 100, 200))
}

// Guards against refusing what the requests of two crashing parts have in common.
func TestTwoCrashingPartsOfOneCaller(t *testing.T) {
	table := NewTable()
	const second = 10
	for i := range uint32(2) {
		crash(table, i, time.Duration(i)*time.Second, true, caller, topic, deadly)
		crash(table, 10+i, time.Duration(i)*time.Second, true, caller, topic, second)
	}
	must.True(t, refuses(table, 2*time.Second, caller, topic, deadly))
	must.True(t, refuses(table, 2*time.Second, caller, topic, second))
	must.False(t, refuses(table, 2*time.Second, caller, topic))
}

// Guards against quarantining prompts because several engines crashed at the same moment
// for another reason.
func TestSimultaneousCrashesAreNoEvidence(t *testing.T) {
	table := NewTable()
	for i := range uint32(6) {
		crash(table, i, time.Duration(i)*10*time.Millisecond, true, caller)
		crash(table, 10+i, time.Duration(i)*100*time.Millisecond, false, topic)
	}
	must.False(t, refuses(table, time.Second, caller))
	must.False(t, refuses(table, time.Second, topic))
}

// Guards against blaming requests that only waited beside the one that crashed the engine.
func TestQueuedRequestsAreNotBlamed(t *testing.T) {
	table := NewTable()
	for i := range uint32(5) {
		at := time.Duration(i) * time.Second
		crash(table, i, at, false, caller, topic)
		crash(table, i, at, true, deadly)
	}
	must.True(t, refuses(table, 5*time.Second, deadly))
	must.False(t, refuses(table, 5*time.Second, caller, topic))
}

// Guards against a part that crashes engines before they begin the response and is never
// found.
func TestCrashesBeforeTheResponse(t *testing.T) {
	table := NewTable()
	for i := range uint32(3) {
		crash(table, i, time.Duration(i)*1500*time.Millisecond, false, deadly)
	}
	must.True(t, refuses(table, 3*time.Second, deadly))
}

// Guards against taking broken connections to a sound engine for crashes.
func TestInterruptionCountsOnceTheEndpointIsDown(t *testing.T) {
	table := NewTable()
	for i := range uint32(4) {
		at := start.Add(time.Duration(i) * time.Second)
		interrupted := Interrupted{Crash: i, At: at, Responding: true, Parts: []uint64{deadly}}
		must.True(t, table.AddInterrupted(interrupted, i, false), must.Sprint("first at this endpoint"))
		must.False(t, table.AddInterrupted(interrupted, i, false))
		table.EndpointDown(at.Add(time.Second), i+100)
	}
	must.False(t, refuses(table, 4*time.Second, deadly))
	table.EndpointDown(start.Add(4*time.Second), 3)
	must.False(t, refuses(table, 4*time.Second, deadly), must.Sprint("the others are too old to be confirmed"))
	must.Len(t, 1, table.TakeNews().Interrupted)
	must.False(t, table.HasNews())
}

// Guards against a quarantine without end of a part that no longer crashes engines, and
// against many requests with one that still does when it ends.
func TestQuarantineEndsWithOneTrial(t *testing.T) {
	table := NewTable()
	table.jitter = 0
	crash(table, 1, 0, true, deadly)
	crash(table, 2, time.Second, true, deadly)
	end := time.Second + table.period(2)
	must.True(t, refuses(table, end-1, deadly))
	must.False(t, refuses(table, end, deadly), must.Sprint("the trial"))
	must.True(t, refuses(table, end+1, deadly), must.Sprint("a second request during the trial"))
	crash(table, 3, end+time.Second, true, deadly)
	must.True(t, refuses(table, end+time.Second+table.period(3)-1, deadly))
	must.LessEq(t, 2*table.period(2), table.period(3))
	table.Served(start.Add(end+2*time.Second), []uint64{deadly})
	must.True(t, refuses(table, end+2*time.Second, deadly), must.Sprint("an event is no proof after three crashes"))
	table.Ran(start.Add(end+3*time.Second), []uint64{deadly}, Completed)
	must.False(t, refuses(table, end+3*time.Second, deadly))
}

// Guards against routers that draw other conclusions from the same observations, in any
// order, and against facts that change when they pass through a peer.
func TestMergedFactsGiveTheSameSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		for i := range rapid.IntRange(1, 12).Draw(t, "observations") {
			at := time.Duration(i) * 300 * time.Millisecond
			observer := tables[rapid.IntRange(0, 1).Draw(t, "observer")]
			parts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID).Draw(t, "parts")
			if rapid.Bool().Draw(t, "crash") {
				crash(observer, rapid.Uint32Range(1, 4).Draw(t, "number"), at, rapid.Bool().Draw(t, "responding"), parts...)
			} else {
				observer.Served(start.Add(at), parts)
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Facts())
				}
			}
		}
		for mask := range uint64(16) {
			var parts []uint64
			for p := range uint64(4) {
				if mask>>p&1 == 1 {
					parts = append(parts, p+1)
				}
			}
			want := refuses(tables[0], 4*time.Second, parts...)
			must.Eq(t, want, refuses(tables[1], 4*time.Second, parts...))
			must.Eq(t, want, refuses(tables[2], 4*time.Second, parts...))
		}
	})
}

// Guards against tables that grow without bound.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range uint32(1000) {
		crash(table, i, time.Duration(i)*time.Millisecond, true, uint64(i))
		table.AddInterrupted(Interrupted{Crash: i, At: start, Parts: []uint64{1}}, i, false)
	}
	must.LessEq(t, maxInterrupted, len(table.interrupted))
	must.LessEq(t, maxPending, len(table.pending))
	for i := range uint64(4 * maxServed) {
		table.Served(start.Add(time.Duration(i)*time.Second), []uint64{i + 10_000})
	}
	must.LessEq(t, maxServed+1, len(table.served))
	table.Expire(start.Add(3 * maxPeriod))
	must.SliceEmpty(t, table.interrupted)
	must.Eq(t, 0, table.Quarantined())
}

// Guards against reports of peers that cost CPU time although they contain nothing new:
// the routers of a large fleet get several of them per second.
func TestKnownFactsAreNotJudgedAgain(t *testing.T) {
	table := NewTable()
	for i := range uint32(20) {
		crash(table, i, time.Duration(i)*time.Second, true, uint64(100+i), uint64(200+i), deadly)
	}
	table.Served(start.Add(20*time.Second), []uint64{100, 101, 102})
	facts := table.Facts()
	for i := range facts.Served {
		facts.Served[i].At = facts.Served[i].At.Add(time.Second)
	}
	sets := &table.sets[0]
	table.Merge(facts)
	must.True(t, sets == &table.sets[0], must.Sprint("the sets were derived again"))
}

// Guards against routers that answer each other's reports for ever, and against news that
// grow with what is known: a fleet of 68 routers sent 8 GB within a day.
func TestReportsAndNewsStaySmall(t *testing.T) {
	a, b := NewTable(), NewTable()
	crash(a, 1, 0, true, caller, topic)
	// Both have served the part, a little less and a little more than clearedFor before.
	a.served[caller] = start.Add(-clearedFor - 100*time.Millisecond)
	b.served[caller] = start.Add(-clearedFor + 100*time.Millisecond)
	must.True(t, b.Merge(a.Facts()))
	a.Merge(b.Facts())
	must.False(t, b.Merge(a.Facts()), must.Sprint("a second answer"))
	must.False(t, b.HasNews(), must.Sprint("what a peer knows is no news"))

	for i := range uint32(50) {
		crash(a, 10+i, time.Duration(i)*time.Second, true, uint64(100+i), deadly)
	}
	a.TakeNews()
	crash(a, 99, time.Minute, true, deadly)
	a.Served(start.Add(time.Minute), []uint64{100})
	must.Eq(t, 1, len(a.TakeNews().Interrupted))
}
