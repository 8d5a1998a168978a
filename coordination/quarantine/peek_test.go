package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a question that takes the place of the trial after a quarantine, and against an answer that
// differs from the refusal.
func TestPeekBeginsNoTrial(t *testing.T) {
	table := NewTable()
	crash(table, 1, 0, true, caller, topic, deadly)
	crash(table, 2, time.Second, true, caller, topic, deadly)
	parts := []uint64{caller, topic, deadly}
	until, refuse := table.Peek(start.Add(time.Second), parts, 0)
	must.True(t, refuse)
	want, _ := table.Refuse(start.Add(time.Second), parts, 0)
	must.Eq(t, want, until)
	end := until.Add(time.Second)
	for range 3 {
		_, refuse = table.Peek(end, parts, 0)
		must.False(t, refuse)
	}
	_, refuse = table.Refuse(end, parts, 0)
	must.False(t, refuse, must.Sprint("the trial"))
	until, refuse = table.Peek(end, parts, 0)
	must.True(t, refuse)
	must.Eq(t, end.Add(trialTime), until)
}
