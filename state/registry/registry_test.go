package registry

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_700_000_000, 0)

func ready(id string) Endpoint { return Endpoint{ID: id, Service: "s", State: Ready} }

func ids(list []Endpoint) []string {
	names := []string{}
	for _, e := range list {
		names = append(names, e.ID)
	}
	return names
}

// Guards against requests to an endpoint whose entry was removed while the store
// was available.
func TestRemoveIsImmediateWhileStoreIsAvailable(t *testing.T) {
	table := NewTable()
	table.Put(ready("a"))
	table.Remove("a", start)
	must.Eq(t, []string{}, ids(table.Ready("s")))
}

// Guards against removing all endpoints whose entries expired while the store was
// unavailable, and against keeping those that don't register again.
func TestExpiredEntriesHaveGracePeriodAfterOutage(t *testing.T) {
	table := NewTable()
	table.Put(ready("a"))
	table.Put(ready("b"))
	table.StoreUnavailable(start)
	table.StoreRecovered(start)
	table.Remove("a", start.Add(100*time.Millisecond))
	table.Remove("b", start.Add(100*time.Millisecond))
	must.Eq(t, []string{"a", "b"}, ids(table.Ready("s")))
	table.Put(ready("a"))
	table.Expire(start.Add(ExpiryGracePeriod + 101*time.Millisecond))
	must.Eq(t, []string{"a"}, ids(table.Ready("s")))
}

// Guards against a grace period for entries that are removed after the recovery:
// such an endpoint is removed immediately.
func TestNoGracePeriodAfterRecoveryTime(t *testing.T) {
	table := NewTable()
	table.Put(ready("a"))
	table.StoreUnavailable(start)
	table.StoreRecovered(start)
	table.Remove("a", start.Add(RecoveryTime+time.Second))
	must.Eq(t, []string{}, ids(table.Ready("s")))
}

// Guards against requests to an endpoint that reported draining before its entry
// expired.
func TestDrainingEndpointHasNoGracePeriod(t *testing.T) {
	table := NewTable()
	draining := ready("a")
	draining.State = Draining
	table.Put(draining)
	table.StoreUnavailable(start)
	table.Remove("a", start)
	_, ok := table.Lookup("a")
	must.False(t, ok)
}

// Guards against requests to an endpoint that deregistered while only this router
// could not reach the store, and whose removal a peer reported.
func TestGracePeriodIsShorterThanDrainLimit(t *testing.T) {
	const drainLimit = 2 * time.Second
	table := NewTable()
	table.Put(ready("a"))
	table.StoreUnavailable(start)
	table.Remove("a", start)
	table.StoreRecovered(start.Add(time.Second))
	must.Eq(t, []string{"a"}, ids(table.Ready("s")))
	table.Expire(start.Add(drainLimit - 200*time.Millisecond))
	must.Eq(t, []string{}, ids(table.Ready("s")))
}

// Guards against requests to an endpoint that had left or was draining, after the store
// came back from a copy with its earlier entry, and against an endpoint that is never
// used again although the store keeps its entry or the endpoint has restarted.
func TestRestoredEntryOfDepartedEndpointIsSuspended(t *testing.T) {
	table := NewTable()
	draining := ready("draining")
	draining.State = Draining
	table.Put(draining)
	for _, id := range []string{"left", "restarted", "gone"} {
		table.Put(ready(id))
		table.Remove(id, start)
	}
	restored := start.Add(5 * time.Second)
	table.StoreRestored(restored)
	table.PutRestored(ready("draining"), restored)
	table.PutRestored(ready("left"), restored)
	table.PutRestored(ready("gone"), restored)
	restarted := ready("restarted")
	restarted.Started = start.Add(time.Second)
	table.PutRestored(restarted, restored)
	must.Eq(t, []string{"restarted"}, ids(table.Ready("s")))
	table.Remove("gone", restored.Add(time.Second))
	must.False(t, table.Expire(restored.Add(RecoveryTime)))
	must.Eq(t, []string{"restarted"}, ids(table.Ready("s")))
	must.True(t, table.Expire(restored.Add(RecoveryTime+time.Millisecond)))
	must.Eq(t, []string{"left", "restarted"}, ids(table.Ready("s")))
}

// Guards against an endpoint that is used again although it said that it leaves: its entry
// in the store is older, returns after an outage or comes from an older copy.
func TestLeavingInstanceStaysUnused(t *testing.T) {
	table := NewTable()
	table.Put(ready("a"))
	must.True(t, table.RecordLeaving(ready("a")))
	must.False(t, table.RecordLeaving(ready("a")))
	must.Eq(t, []string{}, ids(table.Ready("s")))
	table.Put(ready("a"))
	must.Eq(t, []string{}, ids(table.Ready("s")))
	table.Remove("a", start)
	table.Put(ready("a"))
	table.PutRestored(ready("a"), start)
	must.Eq(t, []string{}, ids(table.Ready("s")))
	next := ready("a")
	next.Started = start
	table.Put(next)
	must.Eq(t, []string{"a"}, ids(table.Ready("s")))
	must.True(t, table.RecordLeaving(ready("a")), must.Sprint("a late answer of the earlier instance"))
	must.Eq(t, []string{"a"}, ids(table.Ready("s")))
}

// Guards against a memory of leaving instances that grows without bound.
func TestLeavingInstancesAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxLeaving {
		table.RecordLeaving(Endpoint{ID: strconv.Itoa(i)})
	}
	must.LessEq(t, maxLeaving, len(table.leaving))
}

// Guards against callers that come back before the entries they need, after an outage of the store
// or at a router that started in one.
func TestEntriesAreDueAfterAnOutageOrAStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := NewTable()
	must.Eq(t, RecoveryTime, table.EntriesDue(now))
	table.StoreRecovered(now)
	table.StoreRecovered(now.Add(time.Second))
	must.Eq(t, RecoveryTime-time.Second, table.EntriesDue(now.Add(time.Second)))
	must.Eq(t, 0, table.EntriesDue(now.Add(time.Minute)))
	table.StoreUnavailable(now.Add(time.Minute))
	must.Eq(t, RecoveryTime, table.EntriesDue(now.Add(time.Minute)))
	table.StoreRecovered(now.Add(time.Hour))
	must.Eq(t, RecoveryTime, table.EntriesDue(now.Add(time.Hour)))
	must.Eq(t, 0, table.EntriesDue(now.Add(2*time.Hour)))
}

// Guards against requests to an endpoint whose grace period has ended, in a process that is late to
// remove it.
func TestGracePeriodEndsBeforeExpire(t *testing.T) {
	table := NewTable()
	table.Put(ready("a"))
	table.StoreUnavailable(start)
	table.Remove("a", start)
	_, ok := table.Accepting("a", start.Add(ExpiryGracePeriod))
	must.True(t, ok)
	_, ok = table.Accepting("a", start.Add(ExpiryGracePeriod+1))
	must.False(t, ok)
	_, ok = table.Accepting("b", start)
	must.False(t, ok)
}

// Guards against a table that counts as outdated before its first check or without a bound, and
// against one that doesn't although it was not checked in time.
func TestTableIsOutdatedWithoutChecks(t *testing.T) {
	const maxAge = time.Second
	table := NewTable()
	table.Checked(start)
	must.False(t, table.Outdated(start.Add(time.Hour)))
	table = NewTable()
	table.SetMaxAge(maxAge)
	must.False(t, table.Outdated(start))
	table.Checked(start)
	must.False(t, table.Outdated(start.Add(maxAge)))
	must.True(t, table.Outdated(start.Add(maxAge+1)))
	table.Checked(start.Add(2 * maxAge))
	table.Checked(start)
	must.False(t, table.Outdated(start.Add(3*maxAge)))
}

// Guards against an endpoint that is taken for gone although only its entry lapsed, or isn't back,
// or can't be read.
func TestTableIsCompleteUnlessEntriesMayBeMissing(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	table := NewTable()
	must.False(t, table.Complete(at(0)), must.Sprint("the store was never reached"))
	table.StoreUnavailable(at(0))
	must.False(t, table.Complete(at(100)), must.Sprint("nothing was known when the outage began"))
	table.StoreRecovered(at(100))
	must.False(t, table.Complete(at(101)), must.Sprint("entries may still come back"))
	must.True(t, table.Complete(at(103)))
	table.StoreUnavailable(at(110))
	table.StoreUnavailable(at(111))
	must.True(t, table.Complete(at(112)), must.Sprint("all were known when the outage began"))

	table.Put(ready("a"))
	table.StoreRecovered(at(120))
	table.Remove("a", at(121))
	table.Expire(at(124))
	must.False(t, table.Complete(at(125)), must.Sprint("the entry may have expired in the outage"))
	table.Put(ready("a"))
	must.True(t, table.Complete(at(125)))
	table.Remove("a", at(126))
	must.True(t, table.Complete(at(126)), must.Sprint("the endpoint left while the store was in order"))
	table.StoreUnavailable(at(126))
	must.True(t, table.Complete(at(127)))
	table.StoreRecovered(at(128))
	table.StoreUnavailable(at(129))
	must.False(t, table.Complete(at(135)), must.Sprint("entries were due when the outage began"))
}
