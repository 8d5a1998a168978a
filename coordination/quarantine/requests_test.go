package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	killer, bystander, other = 101, 102, 103
)

// crashRequest records requests that were interrupted by the crash with this number, at an
// endpoint that is known to be down.
func crashRequest(t *Table, number uint32, at time.Duration, requests ...uint64) {
	for _, r := range requests {
		t.AddInterrupted(Interrupted{Crash: number, At: start.Add(at), Request: r}, number, true)
	}
}

func refusesRequest(t *Table, at time.Duration, request uint64) bool {
	_, refuse := t.Refuse(start.Add(at), nil, request)
	return refuse
}

// Guards against a request that crashes a third endpoint although it is the only one that
// the first two crashes have in common.
func TestOnlyCommonRequestOfTwoCrashesIsQuarantined(t *testing.T) {
	table := NewTable()
	crashRequest(table, 1, 0, killer, bystander)
	must.False(t, refusesRequest(table, 0, killer), must.Sprint("one crash may have another cause"))
	crashRequest(table, 2, 80*time.Millisecond, other, killer)
	must.True(t, refusesRequest(table, time.Second, killer))
	must.False(t, refusesRequest(table, time.Second, bystander))
	must.False(t, refusesRequest(table, time.Second, other))
	must.False(t, refusesRequest(table, time.Second, 0), must.Sprint("a request without a fingerprint"))
}

// Guards against refusing a sound request that was sent again and interrupted again beside
// the one that crashes endpoints.
func TestRequestsBesideTheCrashingOneAreServed(t *testing.T) {
	table := NewTable()
	crashRequest(table, 1, 0, killer, bystander)
	crashRequest(table, 2, 100*time.Millisecond, killer, bystander)
	must.False(t, refusesRequest(table, time.Second, bystander), must.Sprint("either may have caused both crashes"))
	must.False(t, refusesRequest(table, time.Second, killer))
	crashRequest(table, 3, 200*time.Millisecond, killer, other)
	must.True(t, refusesRequest(table, time.Second, killer))
	must.False(t, refusesRequest(table, time.Second, bystander))
	crashRequest(table, 4, 300*time.Millisecond, killer, other)
	must.False(t, refusesRequest(table, time.Second, other))
}

// Guards against missing one of two requests that crash endpoints because both have as
// many crashes.
func TestTwoCrashingRequests(t *testing.T) {
	table := NewTable()
	crashRequest(table, 1, 0, killer)
	crashRequest(table, 2, 100*time.Millisecond, other)
	crashRequest(table, 3, 200*time.Millisecond, killer)
	crashRequest(table, 4, 300*time.Millisecond, other)
	must.True(t, refusesRequest(table, time.Second, killer))
	must.True(t, refusesRequest(table, time.Second, other))
}

// Guards against refusing a request that endpoints answer: it was interrupted by crashes
// with another cause.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	table := NewTable()
	table.Answered(start, bystander)
	crashRequest(table, 1, time.Second, bystander)
	crashRequest(table, 2, 2*time.Second, bystander)
	must.False(t, refusesRequest(table, 2*time.Second, bystander), must.Sprint("it was answered shortly before"))
	crashRequest(table, 3, 3*time.Second, other)
	crashRequest(table, 4, 4*time.Second, other)
	must.True(t, refusesRequest(table, 4*time.Second, other))
	table.Answered(start.Add(5*time.Second), other)
	must.False(t, refusesRequest(table, 5*time.Second, other))
}

// Guards against blaming requests for endpoints that crash at the same moment.
func TestSimultaneousCrashesDoNotBlameRequests(t *testing.T) {
	table := NewTable()
	for i := range uint32(4) {
		crashRequest(table, i, time.Duration(i)*time.Millisecond, bystander)
	}
	must.False(t, refusesRequest(table, time.Second, bystander))
}

// Guards against forgetting the crashing request because another response of the endpoint
// had begun: plain services begin theirs at the end of the run.
func TestBegunResponseDoesNotExcuseOtherRequests(t *testing.T) {
	table := NewTable()
	for i := range uint32(2) {
		at := start.Add(time.Duration(i) * time.Second)
		table.AddInterrupted(Interrupted{Crash: i, At: at, Responding: true, Request: uint64(200 + i)}, i, true)
		table.AddInterrupted(Interrupted{Crash: i, At: at, Request: killer}, i, true)
	}
	must.True(t, refusesRequest(table, time.Second, killer))
}

// Guards against a request that stays refused for good, and against several trials at the
// same time after its quarantine.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	table := NewTable()
	crashRequest(table, 1, 0, killer)
	crashRequest(table, 2, time.Second, killer)
	end := time.Second + time.Duration(float64(initialPeriod)*(1+table.jitter))
	must.True(t, refusesRequest(table, end-time.Millisecond, killer))
	must.False(t, refusesRequest(table, end, killer))
	must.True(t, refusesRequest(table, end+time.Second, killer), must.Sprint("during the trial"))
	crashRequest(table, 3, end+2*time.Second, killer)
	must.True(t, refusesRequest(table, end+trialTime+time.Second, killer))
}

// Guards against routers that differ in what they refuse although they know the same: a
// repeated request would find one that lets it through.
func TestMergedFactsRefuseTheSameRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		for i := range rapid.IntRange(1, 14).Draw(t, "observations") {
			at := time.Duration(i) * 300 * time.Millisecond
			observer := tables[rapid.IntRange(0, 1).Draw(t, "observer")]
			request := rapid.Uint64Range(1, 4).Draw(t, "request")
			if rapid.IntRange(0, 3).Draw(t, "answer") == 0 {
				observer.Answered(start.Add(at), request)
			} else {
				crashRequest(observer, rapid.Uint32Range(1, 5).Draw(t, "number"), at, request)
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Facts())
				}
			}
		}
		for request := range uint64(5) {
			want := refusesRequest(tables[0], 5*time.Second, request)
			must.Eq(t, want, refusesRequest(tables[1], 5*time.Second, request))
			must.Eq(t, want, refusesRequest(tables[2], 5*time.Second, request))
		}
	})
}

// Guards against a memory of answered requests that grows without bound, and against one
// that forgets the latest.
func TestRecentRequestsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range uint64(5 * maxRecentRequests) {
		table.Answered(start.Add(time.Duration(i)*10*time.Millisecond), i+1)
		_, ok := table.recent.lookup(i + 1)
		must.True(t, ok)
	}
	must.LessEq(t, 2*maxRecentRequests, len(table.recent.current)+len(table.recent.earlier))
}
