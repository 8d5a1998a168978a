package streamorigin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	streamTime = 30 * time.Second
	service    = Service(5)
)

// counts returns the endpoints of the service by build.
func counts(builds map[Build]int) map[Service]map[Build]int {
	return map[Service]map[Build]int{service: builds}
}

func implied(era int64, i Implied) *ImpliedBuilds {
	return &ImpliedBuilds{Era: era, Of: map[Service]Implied{service: i}}
}

// Guards against a fleet that saves the origin of each stream from its first start on, and against a
// build that is settled later, when streams without a saved origin may exist.
func TestFirstImpliedBuild(t *testing.T) {
	endpoints := counts(map[Build]int{1: 2, 2: 3})
	first := ImpliedPolicy{FirstStart: true}
	next, changed := first.Next(start, endpoints, nil, 0, 7, streamTime)
	must.True(t, changed)
	must.Eq(t, *implied(0, Implied{Build: 2, Settled: true, Since: 7}), next)
	_, changed = first.Next(start, counts(nil), nil, 0, 7, streamTime)
	must.False(t, changed, must.Sprint("without endpoints"))
	first.Restored()
	next, _ = first.Next(start, endpoints, nil, 0, 7, streamTime)
	must.Eq(t, *implied(0, Implied{Build: 2, Since: 7}), next, must.Sprint("the store may have lost it"))

	var later ImpliedPolicy
	unsettled, changed := later.Next(start, endpoints, nil, 0, 7, streamTime)
	must.True(t, changed)
	must.Eq(t, *implied(0, Implied{Build: 2, Since: 7}), unsettled)
	_, changed = later.Next(start, endpoints, &unsettled, 0, 8, streamTime)
	must.False(t, changed)
	_, changed = later.Next(start.Add(LeaseDuration+streamTime-1), endpoints, &unsettled, 0, 8, streamTime)
	must.False(t, changed)
	settled, changed := later.Next(start.Add(LeaseDuration+streamTime), endpoints, &unsettled, 0, 8, streamTime)
	must.True(t, changed)
	must.Eq(t, *implied(0, Implied{Build: 2, Settled: true, Since: 7}), settled)
}

// Guards against an implied build that is replaced because its entries are missing for a moment, or
// while the store isn't followed, and against one that is settled before streams of the earlier one
// have ended.
func TestImpliedBuildIsReplacedOnlyAfterItsStreamsEnded(t *testing.T) {
	var p ImpliedPolicy
	saved := implied(0, Implied{Build: 1, Settled: true, Since: 3})
	present, absent := counts(map[Build]int{1: 1, 2: 8}), counts(map[Build]int{2: 8})
	next := func(after time.Duration, endpoints map[Service]map[Build]int) (Implied, bool) {
		builds, changed := p.Next(start.Add(after), endpoints, saved, 0, 9, streamTime)
		return builds.Of[service], changed
	}
	mustKeep := func(after time.Duration, endpoints map[Service]map[Build]int) {
		t.Helper()
		_, changed := next(after, endpoints)
		must.False(t, changed)
	}
	mustKeep(0, present)
	mustKeep(time.Minute, present)
	mustKeep(time.Minute+time.Second, absent)
	mustKeep(time.Minute+unusedDelay, present)
	mustKeep(2*time.Minute, absent)
	p.Disturbed()
	mustKeep(3*time.Minute, absent)
	mustKeep(3*time.Minute+unusedDelay-1, absent)
	i, changed := next(3*time.Minute+unusedDelay, absent)
	must.True(t, changed)
	must.Eq(t, Implied{Build: 2, Since: 9}, i)

	saved = implied(0, i)
	mustKeep(4*time.Minute, absent)
	mustKeep(4*time.Minute+LeaseDuration+streamTime-1, absent)
	// Another router replaced it meanwhile, twice.
	saved = implied(0, Implied{Build: 2, Since: 15})
	mustKeep(4*time.Minute+LeaseDuration+streamTime, absent)
	mustKeep(4*time.Minute+2*(LeaseDuration+streamTime)-1, absent)
	i, changed = next(4*time.Minute+2*(LeaseDuration+streamTime), absent)
	must.True(t, changed)
	must.Eq(t, Implied{Build: 2, Settled: true, Since: 15}, i)
}

// Guards against an implied build of an earlier era that is believed: the restored store may have lost
// saved origins.
func TestImpliedBuildIsConfirmedAfterARestoration(t *testing.T) {
	for want, endpoints := range map[Build]map[Build]int{1: {1: 1, 2: 8}, 2: {2: 8}} {
		p := ImpliedPolicy{FirstStart: true}
		saved := implied(4, Implied{Build: 1, Settled: true, Since: 3})
		_, changed := p.Next(start, counts(endpoints), saved, 4, 9, streamTime)
		must.False(t, changed)
		build, ok := saved.Conclude(service, 4)
		must.True(t, ok)
		must.Eq(t, Build(1), build)
		_, ok = saved.Conclude(service, 5)
		must.False(t, ok)
		p.Restored()
		next, changed := p.Next(start, counts(endpoints), saved, 5, 9, streamTime)
		must.True(t, changed)
		must.Eq(t, *implied(5, Implied{Build: want, Since: 9}), next)
		_, ok = next.Conclude(service, 5)
		must.False(t, ok)
	}
}

// Guards against a router that relies on what it read long ago: others have settled another build since.
func TestLeaseExpires(t *testing.T) {
	l := Lease{ImpliedBuilds: *implied(0, Implied{Build: 1, Settled: true}), ReadAt: start}
	before, after := start.Add(LeaseDuration-1), start.Add(LeaseDuration)
	must.True(t, l.MayOmit(before, service, 1, 0))
	must.False(t, l.MayOmit(before, service, 2, 0))
	must.False(t, l.MayOmit(before, service, 1, 1), must.Sprint("the store was restored"))
	must.False(t, l.MayOmit(after, service, 1, 0))
	must.Eq(t, Build(1), l.Fallback(before, service))
	must.Eq(t, AnyBuild, l.Fallback(after, service))
	l.Of = map[Service]Implied{service: {Build: 1}}
	must.False(t, l.MayOmit(before, service, 1, 0))
	must.Eq(t, Build(1), l.Fallback(before, service))
	must.False(t, Lease{ImpliedBuilds: *implied(0, Implied{Build: 1, Settled: true})}.MayOmit(start, service, 1, 0))
}

// Guards against streams of a build that isn't implied any more whose origins are never saved.
func TestUnsettledBuilds(t *testing.T) {
	settled := implied(1, Implied{Build: 1, Settled: true, Since: 2})
	must.SliceEmpty(t, settled.Unsettled(*settled))
	must.SliceEmpty(t, settled.Unsettled(ImpliedBuilds{}))
	must.SliceEmpty(t, settled.Unsettled(*implied(1, Implied{Build: 1, Since: 2})))
	must.Eq(t, []Build{1}, implied(1, Implied{Build: 2, Since: 3}).Unsettled(*settled))
	must.Eq(t, []Build{1}, implied(1, Implied{Build: 1, Since: 3}).Unsettled(*settled))
	must.Eq(t, []Build{1}, implied(2, Implied{Build: 1, Settled: true, Since: 2}).Unsettled(*settled))
	must.Eq(t, []Build{1}, ImpliedBuilds{}.Unsettled(*settled))
}

func TestSavedImpliedBuildsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := ImpliedBuilds{Era: rapid.Int64Min(0).Draw(t, "era"), Of: map[Service]Implied{}}
		for range rapid.IntRange(0, 4).Draw(t, "services") {
			want.Of[Service(rapid.Uint32().Draw(t, "service"))] = Implied{
				Build: Build(rapid.Uint32Min(1).Draw(t, "build")), Settled: rapid.Bool().Draw(t, "settled"), Since: rapid.Int64Min(0).Draw(t, "since"),
			}
		}
		encoded := EncodeImplied(want)
		got, err := DecodeImplied(encoded)
		must.NoError(t, err)
		must.Eq(t, want, got)
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
		if cut < impliedHeaderBytes || (cut-impliedHeaderBytes)%impliedBytes != 0 {
			_, err = DecodeImplied(encoded[:cut])
			must.Error(t, err)
		}
	})
}
