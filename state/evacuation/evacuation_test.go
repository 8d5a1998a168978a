package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against an evacuation that ends another one, or changes the set that a reader holds.
func TestZonesAreIndependent(t *testing.T) {
	table := NewTable()
	must.Nil(t, table.Zones())
	for i := range 10 {
		must.True(t, table.Begin(fmt.Sprint(i)))
		must.False(t, table.Begin(fmt.Sprint(i)), must.Sprint("it is known"))
	}
	before := table.Zones()
	must.True(t, table.End("3"))
	must.False(t, table.End("3"))
	must.False(t, table.End("unknown"))
	must.True(t, before.Has("3"))
	must.MapLen(t, 10, before)
	must.MapLen(t, 9, table.Zones())
	must.False(t, table.Zones().Has("3"))
}

// Guards against an evacuation that ends because a restored store lacks its record, and against one
// that then never ends.
func TestEvacuationOutlivesARestorationForHoldTime(t *testing.T) {
	table := NewTable()
	table.Begin("a")
	must.False(t, table.Hold("a", start), must.Sprint("nothing was restored"))
	table.StoreRestored(start)
	must.True(t, table.Hold("a", start))
	must.False(t, table.Hold("unknown", start))
	must.SliceEmpty(t, table.Due(start.Add(HoldTime-1)))
	must.Eq(t, []string{"a"}, table.Due(start.Add(HoldTime)))
	must.True(t, table.End("a"))
	must.SliceEmpty(t, table.Due(start.Add(HoldTime)))
	table.Begin("b")
	must.False(t, table.Hold("b", start.Add(HoldTime)), must.Sprint("operators had their time"))
}

// Guards against an evacuation that ends although its record was written again.
func TestRecordWrittenAgainEndsTheHold(t *testing.T) {
	table := NewTable()
	table.Begin("a")
	table.StoreRestored(start)
	table.Hold("a", start)
	must.False(t, table.Begin("a"))
	must.SliceEmpty(t, table.Due(start.Add(time.Hour)))
	must.True(t, table.Zones().Has("a"))
}

// Guards against any order of records, removals, missing records and restorations after which a zone
// is open before its removal was read or HoldTime has passed, or is held for longer.
func TestZoneIsOpenOnlyAfterItsRemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now, evacuated := start, false
		var restored, missing time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 1200, 3000}).Draw(t, "ms")) * time.Millisecond)
			for _, zone := range table.Due(now) {
				if missing.IsZero() || now.Before(missing) {
					t.Fatalf("%s is due early", zone)
				}
				table.End(zone)
			}
			if !missing.IsZero() && !now.Before(missing) {
				evacuated, missing = false, time.Time{}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.Begin("a")
				evacuated, missing = true, time.Time{}
			case 1:
				table.End("a")
				evacuated, missing = false, time.Time{}
			case 2:
				table.StoreRestored(now)
				restored = now
			case 3:
				if table.Hold("a", now) {
					missing = restored.Add(HoldTime)
				} else {
					table.End("a")
					evacuated, missing = false, time.Time{}
				}
			}
			if table.Zones().Has("a") != evacuated {
				t.Fatalf("evacuated: %t, want %t", !evacuated, evacuated)
			}
		}
	})
}
