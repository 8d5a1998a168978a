package quarantine

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// breakOff records that the crash with this number broke off a response that had lasted for a time.
func breakOff(t *Table, number uint32, at, lasted time.Duration, parts ...uint64) {
	t.AddInterrupted(Interrupted{Crash: number, At: start.Add(at), Responding: true, Begun: true, Lasted: lasted, Parts: parts}, number, true)
}

// Guards against a crash after the first event that is not observed, and against the first event of another
// request that clears the part.
func TestCrashesAfterTheFirstEvent(t *testing.T) {
	table := NewTable()
	for i := range uint32(3) {
		must.False(t, refuses(table, time.Second, deadly))
		table.Served(start.Add(time.Duration(i)*time.Second), []uint64{caller, deadly})
		breakOff(table, i, time.Duration(i)*time.Second, 10*time.Millisecond, caller, deadly)
		table.Ran(start.Add(time.Duration(i)*time.Second), []uint64{caller}, Completed)
	}
	must.True(t, refuses(table, 3*time.Second, caller, deadly))
	must.False(t, refuses(table, 3*time.Second, caller))
}

// Guards against a part whose requests come seldom, and whose crashes are forgotten before there are enough.
func TestSeldomCrashesAreRemembered(t *testing.T) {
	table := NewTable()
	for i := range uint32(3) {
		at := time.Duration(i) * (runMemory - time.Second)
		breakOff(table, i, at, 0, deadly)
		table.Expire(start.Add(at + runMemory - time.Second))
	}
	must.True(t, refuses(table, 2*runMemory, deadly))
}

// Guards against engines that crash at the same moment, for which their requests are blamed.
func TestCrashesAtTheSameMomentCountOnce(t *testing.T) {
	table := NewTable()
	for i := range uint32(20) {
		breakOff(table, i, time.Duration(i)*10*time.Millisecond, time.Second, caller)
	}
	must.False(t, refuses(table, time.Second, caller))
}

// Guards against a sound part that is refused because no response with it is complete yet, as soon after a
// start or with long responses, although others with it go on.
func TestLastingResponsesClearTheirParts(t *testing.T) {
	table := NewTable()
	const lasted = 500 * time.Millisecond
	for i := range uint32(3) {
		breakOff(table, i, time.Duration(i)*time.Second, lasted, caller)
	}
	now := start.Add(3 * time.Second)
	table.Ran(now, []uint64{caller}, survivalFactor*lasted+survivalMargin-1)
	must.True(t, refuses(table, 3*time.Second, caller))
	table.Ran(now, []uint64{caller}, survivalFactor*lasted+survivalMargin)
	must.False(t, refuses(table, 3*time.Second, caller))
	breakOff(table, 9, 4*time.Second, lasted, caller)
	must.False(t, refuses(table, 4*time.Second, caller))
}

// Guards against sound parts that are refused because the crashes of another part broke off their responses.
func TestCrashesAreExplainedByOnePart(t *testing.T) {
	table := NewTable()
	for i := range uint32(4) {
		at := time.Duration(i) * time.Second
		breakOff(table, i, at, 0, deadly)
		if i > 0 {
			breakOff(table, i, at, time.Second, topic)
		}
	}
	must.True(t, refuses(table, 5*time.Second, deadly))
	must.False(t, refuses(table, 5*time.Second, topic))
}

// Guards against a request that crashes engines after the first event and is passed on whenever it comes again.
func TestRequestThatCrashesAfterTheFirstEvent(t *testing.T) {
	table := NewTable()
	for i := range uint32(3) {
		at := start.Add(time.Duration(i) * time.Second)
		table.AddInterrupted(Interrupted{Crash: i, At: at, Responding: true, Begun: true, Parts: []uint64{uint64(100 + i)}, Request: 77}, i, true)
	}
	_, refuse := table.Refuse(start.Add(3*time.Second), nil, 77)
	must.True(t, refuse)
	table.Answered(start.Add(4*time.Second), 77)
	_, refuse = table.Refuse(start.Add(5*time.Second), nil, 77)
	must.False(t, refuse, must.Sprint("it was answered"))
}

// Guards against routers that draw other conclusions from a peer's observations, and that correct each other
// without end.
func TestPeersShareBrokenOffResponses(t *testing.T) {
	a, b := NewTable(), NewTable()
	for i := range uint32(3) {
		breakOff(a, i, time.Duration(i)*time.Second, 0, caller, deadly)
	}
	b.Ran(start.Add(time.Second), []uint64{caller}, Completed)
	must.True(t, b.Merge(a.TakeNews()), must.Sprint("b knows that a part is sound"))
	must.False(t, a.Merge(b.Facts()))
	must.False(t, b.Merge(a.Facts()), must.Sprint("a second answer"))
	for _, table := range []*Table{a, b} {
		must.True(t, refuses(table, 3*time.Second, deadly))
		must.False(t, refuses(table, 3*time.Second, caller))
	}
	later := NewTable()
	later.Expire(start.Add(10 * time.Minute))
	later.Merge(a.Facts())
	must.Eq(t, 1, later.Quarantined(), must.Sprint("a router that starts later"))
}

// Guards against tables that grow without bound, and that keep the dispatcher's lock for long.
func TestBrokenOffResponsesAreBounded(t *testing.T) {
	table := NewTable()
	for i := range uint32(200) {
		parts := partRange(int(i)*60, int(i)*60+60)
		breakOff(table, i, time.Duration(i)*time.Second, time.Second, parts...)
	}
	fastest := time.Duration(math.MaxInt64)
	for began := time.Now(); fastest > maxUpdateTime*detectorSlowdown && time.Since(began) < 5*time.Second; {
		updateBegan := time.Now()
		table.updateRuns()
		fastest = min(fastest, time.Since(updateBegan))
	}
	must.LessEq(t, maxUpdateTime*detectorSlowdown, fastest)
	must.LessEq(t, maxRunSuspects+60, len(table.runs.suspects))
	for i := range uint64(4 * maxRecentRuns) {
		table.Ran(start, []uint64{i}, Completed)
	}
	must.LessEq(t, maxRecentRuns, len(table.runs.sound.current))
	table.Expire(start.Add(time.Hour))
	must.MapEmpty(t, table.runs.crashes)
	must.MapEmpty(t, table.runs.suspects)
}
