package streamorigin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const streamTime = 30 * time.Second

// Guards against a fleet that has no implied build from its first start on, and so saves the origin
// of each stream, and against one that is guessed later, when streams without a saved origin may
// exist.
func TestFirstImpliedBuild(t *testing.T) {
	endpoints := map[Build]int{1: 2, 2: 3}
	first := ImpliedPolicy{FirstStart: true}
	must.Eq(t, Build(2), first.Next(start, "s", endpoints, nil, 0, streamTime))
	must.Eq(t, AnyBuild, first.Next(start, "without endpoints", nil, nil, 0, streamTime))
	first.Restored()
	must.Eq(t, AnyBuild, first.Next(start, "s", endpoints, nil, 0, streamTime), must.Sprint("the store may have lost it"))

	var later ImpliedPolicy
	must.Eq(t, AnyBuild, later.Next(start, "s", endpoints, nil, 0, streamTime))
	must.Eq(t, AnyBuild, later.Next(start.Add(streamTime-1), "s", endpoints, nil, 0, streamTime))
	must.Eq(t, Build(2), later.Next(start.Add(streamTime), "s", endpoints, nil, 0, streamTime))
}

// Guards against an implied build that is replaced because its entries are missing for a moment:
// they lapse in an outage of the store, and its streams go on.
func TestImpliedBuildIsReplacedOnlyAfterItsStreamsEnded(t *testing.T) {
	var p ImpliedPolicy
	saved := &Implied{Build: 1}
	present, absent := map[Build]int{1: 1, 2: 8}, map[Build]int{2: 8}
	next := func(after time.Duration, endpoints map[Build]int) Build {
		return p.Next(start.Add(after), "s", endpoints, saved, 0, streamTime)
	}
	must.Eq(t, AnyBuild, next(0, present))
	must.Eq(t, AnyBuild, next(streamTime, present))
	must.Eq(t, AnyBuild, next(streamTime+time.Second, absent))
	must.Eq(t, AnyBuild, next(streamTime+20*time.Second, present))
	must.Eq(t, AnyBuild, next(streamTime+21*time.Second, absent))
	must.Eq(t, AnyBuild, next(2*streamTime+20*time.Second, absent))
	p.Disturbed()
	must.Eq(t, AnyBuild, next(2*streamTime+21*time.Second, absent))
	must.Eq(t, AnyBuild, next(3*streamTime+20*time.Second, absent))
	must.Eq(t, Build(2), next(3*streamTime+21*time.Second, absent))
}

// Guards against an implied build of an earlier era that is believed at once: the restored store
// may have lost saved origins.
func TestImpliedBuildIsConfirmedAfterARestoration(t *testing.T) {
	for want, endpoints := range map[Build]map[Build]int{1: {1: 1, 2: 8}, 2: {2: 8}} {
		p := ImpliedPolicy{FirstStart: true}
		saved := &Implied{Build: 1, Era: 4}
		must.Eq(t, AnyBuild, p.Next(start, "s", endpoints, saved, 4, streamTime))
		p.Restored()
		must.Eq(t, AnyBuild, p.Next(start.Add(streamTime), "s", endpoints, saved, 5, streamTime))
		must.Eq(t, AnyBuild, p.Next(start.Add(2*streamTime-1), "s", endpoints, saved, 5, streamTime))
		must.Eq(t, want, p.Next(start.Add(2*streamTime), "s", endpoints, saved, 5, streamTime))
	}
}

func TestSavedImpliedBuildRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Implied{Build: Build(rapid.Uint32Min(1).Draw(t, "build")), Era: rapid.Int64Min(0).Draw(t, "era")}
		encoded := EncodeImplied(want)
		got, err := DecodeImplied(encoded)
		must.NoError(t, err)
		must.Eq(t, want, got)
		_, err = DecodeImplied(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")])
		must.Error(t, err)
	})
}
