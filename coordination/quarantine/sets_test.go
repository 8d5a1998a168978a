package quarantine

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// setsByDefinition derives the quarantined sets by comparing all pairs of attempts.
func setsByDefinition(t *Table) [][]uint64 {
	var list []Interrupted
	for _, i := range t.interrupted {
		i.Parts = slices.DeleteFunc(slices.Clone(i.Parts), func(p uint64) bool { return t.cleared(p, i.At) })
		if len(i.Parts) > 0 {
			list = append(list, i)
		}
	}
	var sets [][]uint64
	quarantined := func(parts []uint64, minimum int) bool {
		crashes := map[uint32]time.Time{}
		span := minQueuedSpan
		for _, i := range list {
			if !containsAll(i.Parts, parts) {
				continue
			}
			if at, ok := crashes[i.Crash]; !ok || i.At.Before(at) {
				crashes[i.Crash] = i.At
			}
			if i.Responding {
				span = minSpan
			}
		}
		first, last := timeRange(crashes)
		return len(parts) > 0 && len(crashes) >= minimum && last.Sub(first) >= span
	}
	add := func(parts []uint64) {
		slices.Sort(parts)
		parts = slices.Compact(parts)
		if !slices.ContainsFunc(sets, func(s []uint64) bool { return slices.Equal(s, parts) }) {
			sets = append(sets, parts)
		}
	}
	for _, i := range list {
		if quarantined(i.Parts, minCrashes) {
			add(slices.Clone(i.Parts))
		}
	}
	list = slices.DeleteFunc(list, func(i Interrupted) bool {
		return slices.ContainsFunc(sets, func(s []uint64) bool { return containsAll(i.Parts, s) })
	})
	for n, i := range list {
		for _, k := range list[:n] {
			common := slices.DeleteFunc(slices.Clone(i.Parts), func(p uint64) bool { return !slices.Contains(k.Parts, p) })
			if quarantined(common, minCommonCrashes) {
				add(common)
			}
		}
	}
	return sets
}

// Guards against sets that are missed or invented because they are derived from attempts with
// the same parts at once instead of from each pair.
func TestSetsAreThoseOfTheirDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		numParts := rapid.Uint64Range(2, 10).Draw(t, "parts")
		for range rapid.IntRange(1, 40).Draw(t, "observations") {
			at := time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * 150 * time.Millisecond
			parts := rapid.SliceOfN(rapid.Uint64Range(1, numParts), 1, 6).Draw(t, "parts")
			if rapid.IntRange(0, 9).Draw(t, "served") == 0 {
				table.Served(start.Add(at), parts[:1])
				continue
			}
			crash(table, rapid.Uint32Range(1, 12).Draw(t, "number"), at, rapid.Bool().Draw(t, "responding"), parts...)
		}
		table.update()
		var got [][]uint64
		for _, s := range table.sets {
			got = append(got, s.parts)
		}
		want := setsByDefinition(table)
		for _, sets := range [][][]uint64{got, want} {
			slices.SortFunc(sets, slices.Compare)
		}
		if !slices.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("sets %v, want %v", got, want)
		}
	})
}

// fullTable returns a table with as many attempts as it keeps, each with these parts.
func fullTable(parts func(i int) []uint64) *Table {
	table := NewTable()
	for i := range maxInterrupted {
		at := start.Add(time.Duration(i) * time.Millisecond)
		table.interrupted = append(table.interrupted, Interrupted{Crash: uint32(i), At: at, Parts: parts(i), Request: uint64(1000 + i)})
	}
	return table
}

func partRange(from, to int) []uint64 {
	var parts []uint64
	for p := from; p < to; p++ {
		parts = append(parts, uint64(p))
	}
	return parts
}

// fullTables are tables whose derivation of sets is expensive. None of their crashes is evidence,
// as all are too close together.
func fullTables() map[string]*Table {
	return map[string]*Table{
		"the same 60 parts": fullTable(func(int) []uint64 { return partRange(1, 61) }),
		"60 parts and one of their own": fullTable(func(i int) []uint64 {
			return append(partRange(1, 61), uint64(100+i))
		}),
		"60 of 64 parts": fullTable(func(i int) []uint64 {
			return slices.DeleteFunc(partRange(1, 65), func(p uint64) bool { return (int(p)+i*(1+i/64))%64 < 4 })
		}),
		"the first parts of 60": fullTable(func(i int) []uint64 { return partRange(1, 2+i%60) }),
	}
}

// maxUpdateTime bounds the time for which a derivation of the sets occupies the dispatcher, which
// places no request meanwhile.
const maxUpdateTime = time.Millisecond

// Guards against routers that stand still for seconds after a series of crashes, because the
// time of a derivation grows with the cube of what is known. The fastest of many derivations is
// the one that other processes delay least.
func TestUpdateOfFullTableIsFast(t *testing.T) {
	for name, table := range fullTables() {
		t.Run(name, func(t *testing.T) {
			fastest := time.Duration(math.MaxInt64)
			for began := time.Now(); fastest > maxUpdateTime*detectorSlowdown && time.Since(began) < 5*time.Second; {
				updateBegan := time.Now()
				table.update()
				fastest = min(fastest, time.Since(updateBegan))
			}
			must.Len(t, maxInterrupted, table.interrupted)
			must.LessEq(t, maxUpdateTime*detectorSlowdown, fastest)
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for name, table := range fullTables() {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.update()
			}
		})
	}
}

// servedTime returns the time of the fastest call to Served with 60 sound parts.
func servedTime(table *Table) time.Duration {
	parts := partRange(5000, 5060)
	fastest := time.Duration(math.MaxInt64)
	for range 500 {
		began := time.Now()
		table.Served(start.Add(time.Hour), parts)
		fastest = min(fastest, time.Since(began))
	}
	return fastest
}

// Guards against first events that each cost a scan of all that is known of crashes. The factor
// leaves room for the processor's caches.
func TestServedDoesNotScanTheCrashes(t *testing.T) {
	empty := servedTime(NewTable())
	for name, table := range fullTables() {
		table.update()
		must.LessEq(t, 5*empty, servedTime(table), must.Sprint(name))
	}
}

func BenchmarkServed(b *testing.B) {
	for name, table := range fullTables() {
		b.Run(name, func(b *testing.B) {
			table.update()
			parts := partRange(5000, 5060)
			for b.Loop() {
				table.Served(start.Add(time.Hour), parts)
			}
		})
	}
}
