package memorybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/acaciaspar/acaciaspar/coordination/memorybudget"
)

var now = time.Unix(1_000_000, 0)

// Guards against a sound caller whose stream is ended in place of that of a caller that has gone or
// reads nothing.
func TestStreamsNobodyReadsEndFirst(t *testing.T) {
	holders := []memorybudget.Holder{
		{Held: 0, ReadAt: now.Add(-time.Hour)},
		{Held: 900, ReadAt: now.Add(-9 * time.Second), Deadline: now.Add(time.Second)},
		{Held: 100, ReadAt: now.Add(-10 * time.Second)},
		{Held: 200, ReadAt: now, Deadline: now.Add(-time.Millisecond)},
	}
	i, reason := memorybudget.Choose(now, holders)
	must.Eq(t, 3, i)
	must.Eq(t, memorybudget.Expired, reason)
	i, reason = memorybudget.Choose(now, holders[:3])
	must.Eq(t, 2, i)
	must.Eq(t, memorybudget.Unread, reason)
	i, reason = memorybudget.Choose(now, holders[:2])
	must.Eq(t, 1, i)
	must.Eq(t, memorybudget.Largest, reason)
	_, reason = memorybudget.Choose(now, holders[:1])
	must.Eq(t, memorybudget.None, reason)
}

// Guards against a choice that depends on the order of the streams or frees less than another one.
func TestLargestOfItsClassIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOf(rapid.Custom(func(t *rapid.T) memorybudget.Holder {
			h := memorybudget.Holder{
				Held:   rapid.Int64Range(0, 5).Draw(t, "held"),
				ReadAt: now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "unread")) * time.Second),
			}
			if rapid.Bool().Draw(t, "has deadline") {
				h.Deadline = now.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "left")) * time.Second)
			}
			return h
		})).Draw(t, "holders")
		i, reason := memorybudget.Choose(now, holders)
		late := func(h memorybudget.Holder) bool {
			return now.Sub(h.ReadAt) >= memorybudget.MaxUnread || !h.Deadline.IsZero() && now.After(h.Deadline)
		}
		for _, h := range holders {
			if h.Held == 0 {
				continue
			}
			must.NotEq(t, memorybudget.None, reason)
			must.False(t, late(h) && !late(holders[i]))
			if late(h) == late(holders[i]) {
				must.LessEq(t, holders[i].Held, h.Held)
			}
		}
	})
}

// Guards against more unread connections than fit the memory of a small host.
func TestUnreadConnectionsFitTheirMemory(t *testing.T) {
	for _, mb := range []int64{144, 184, 536} {
		memory := mb << 20 * 35 / 100
		must.LessEq(t, memory, int64(memorybudget.UnreadConnections(memory))*2*memorybudget.SocketBuffer, must.Sprint(mb))
		must.Positive(t, memorybudget.UnreadConnections(memory))
	}
}
