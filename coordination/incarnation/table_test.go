package incarnation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an endpoint that counts as the registered incarnation after its connections broke,
// and against one whose newer entry doesn't end the doubt.
func TestBrokenConnectionPutsIncarnationInDoubtUntilEntry(t *testing.T) {
	table := NewTable()
	table.Register("e", at(0))
	must.True(t, table.Confirmed("e"))
	table.Doubt(at(1000), "e")
	table.Register("e", at(0))
	must.False(t, table.Confirmed("e"), must.Sprint("the entry of the incarnation before says nothing"))
	must.Eq(t, at(900), table.Register("e", at(900)))
	must.True(t, table.Confirmed("e"))
	must.Eq(t, 0, table.Doubted())
}

// Guards against a report from before a connection broke that confirms the incarnation, and against
// a report of the same incarnation that doesn't.
func TestReportConfirmsOnlyIfAskedAfterTheBreak(t *testing.T) {
	table := NewTable()
	table.Register("e", at(0))
	table.Doubt(at(1000), "e")
	must.False(t, table.Reported(at(999), "e", at(0)))
	must.False(t, table.Confirmed("e"))
	must.False(t, table.Reported(at(1001), "e", at(0)))
	must.True(t, table.Confirmed("e"))
}

// Guards against the version of a stale entry being taken for that of an incarnation that has
// reported itself, until the new entry is read, and against what is known of the new incarnation
// being given to the old one again.
func TestReportOfAnotherIncarnationWaitsForItsEntry(t *testing.T) {
	table := NewTable()
	table.Register("e", at(0))
	table.Doubt(at(1000), "e")
	must.True(t, table.Reported(at(1100), "e", at(1050)))
	must.False(t, table.Reported(at(1200), "e", at(1050)))
	must.Eq(t, at(1050), table.Register("e", at(0)), must.Sprint("the stale entry"))
	table.Want("e")
	must.SliceEmpty(t, table.TakeQuestions(at(5000)), must.Sprint("only the entry can tell more"))
	table.Settle(at(0), at(60_000))
	must.False(t, table.Confirmed("e"))
	must.Eq(t, at(1050), table.Register("e", at(1050)))
	must.True(t, table.Confirmed("e"))
}

// Guards against questions to endpoints that no request needs, against periodic questions, and
// against two at a time.
func TestQuestionsAreAskedOnlyWhenNeeded(t *testing.T) {
	table := NewTable()
	table.Register("e", at(0))
	table.Want("e")
	must.SliceEmpty(t, table.TakeQuestions(at(900)))
	table.Doubt(at(1000), "e")
	must.SliceEmpty(t, table.TakeQuestions(at(2000)), must.Sprint("not wanted"))
	table.Want("e")
	must.Eq(t, []string{"e"}, table.TakeQuestions(at(2000)))
	must.SliceEmpty(t, table.TakeQuestions(at(2001)), must.Sprint("being asked"))
	table.Asked(at(2001), "e")
	asked := 0
	for now := 2050; now < 12_000; now += 50 {
		if len(table.TakeQuestions(at(now))) > 0 {
			asked++
			table.Asked(at(now), "e")
		}
	}
	must.Between(t, 4, asked, 8, must.Sprint("the interval grows"))
	table.Reached(at(12_000), at(11_990), "e")
	must.SliceEmpty(t, table.TakeQuestions(at(20_000)), must.Sprint("it has no report"))
}

// Guards against an endpoint without a report that is never used again, and against one that is
// used although its entry may still be that of the incarnation before.
func TestDoubtSettlesWhileTheStoreAnswers(t *testing.T) {
	table := NewTable()
	table.Register("e", at(0))
	table.Doubt(at(1000), "e")
	table.Settle(at(0), at(60_000))
	must.False(t, table.Confirmed("e"), must.Sprint("it wasn't reached"))
	table.Reached(at(60_010), at(60_000), "e")
	table.Settle(time.Time{}, time.Time{})
	must.False(t, table.Confirmed("e"), must.Sprint("the store doesn't answer"))
	table.Settle(at(0), at(62_000))
	must.False(t, table.Confirmed("e"), must.Sprint("the store's last answer came before the entry was due"))
	table.Settle(at(89_000), at(90_000))
	must.False(t, table.Confirmed("e"), must.Sprint("entries may be missing"))
	table.Settle(at(89_000), at(92_000))
	must.True(t, table.Confirmed("e"))
	must.Eq(t, 0, table.Doubted())
}

// Guards against a doubted endpoint that is forgotten but still counted.
func TestEvictedEndpointIsNotCounted(t *testing.T) {
	table := NewTable()
	table.Doubt(at(0), "e")
	table.Evict(func(string) bool { return false })
	must.Eq(t, 0, table.Doubted())
	must.True(t, table.Confirmed("e"))
}

// Guards against any order of breaks, entries, reports and answers after which an endpoint counts
// as an incarnation that doesn't run: a model restarts one and delays its entries.
func TestConfirmedIncarnationIsTheRunningOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now := 0
		running, registered := at(0), at(0)
		storeSteady := 0
		up := true
		table.Register("e", registered)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.SampledFrom([]int{1, 60, 700, 3000}).Draw(t, "ms")
			if storeSteady >= 0 && up && registered != running {
				// An endpoint whose store answers is registered before EntryTime has passed.
				registered = running
				table.Register("e", registered)
			}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				running, up = at(now), rapid.Bool().Draw(t, "up")
				table.Doubt(at(now), "e")
			case 1:
				up = true
			case 2:
				storeSteady = -1
			case 3:
				if storeSteady < 0 {
					storeSteady = now
				}
			case 4:
				table.Register("e", registered)
			case 5:
				if up {
					table.Reported(at(now), "e", running)
				}
			case 6:
				if up {
					table.Reached(at(now), at(now), "e")
				}
			}
			if storeSteady >= 0 {
				table.Settle(at(storeSteady), at(now))
			}
			if table.Confirmed("e") {
				must.Eq(t, running, table.Register("e", registered))
				must.Eq(t, running, registered, must.Sprint("the version is that of the entry"))
			}
		}
	})
}
