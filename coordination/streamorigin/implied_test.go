package streamorigin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	streamTime = 30 * time.Second
	chat       = Route(5)
	search     = Route(6)
)

// onChat are the routes that match a stream of chat.
var onChat = []Route{chat}

// shares returns the shares of the only route, chat.
func shares(builds map[Build]float64) map[Route]map[Build]float64 {
	return map[Route]map[Build]float64{chat: builds}
}

func implied(era int64, i Implied) *ImpliedBuilds {
	return &ImpliedBuilds{Era: era, Of: map[Route]Implied{chat: i}}
}

// Guards against a fleet that saves the origin of each stream from its first start on, and against a
// build that is settled later, when streams without a saved origin may exist.
func TestFirstImpliedBuild(t *testing.T) {
	endpoints := shares(map[Build]float64{1: 2, 2: 3})
	first := ImpliedPolicy{FirstStart: true}
	next, changed := first.Next(start, endpoints, nil, 0, 7, streamTime)
	must.True(t, changed)
	must.Eq(t, *implied(0, Implied{Build: 2, State: Settled, Since: 7}), next)
	_, changed = first.Next(start, shares(nil), nil, 0, 7, streamTime)
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
	must.Eq(t, *implied(0, Implied{Build: 2, State: Settled, Since: 7}), settled)
}

// Guards against an implied build that is replaced because its entries are missing for a moment, or
// while the store isn't followed, and against one that is settled before streams of the earlier one
// have ended.
func TestImpliedBuildIsReplacedOnlyAfterItsStreamsEnded(t *testing.T) {
	var p ImpliedPolicy
	saved := implied(0, Implied{Build: 1, State: Settled, Since: 3})
	present, absent := shares(map[Build]float64{1: 1, 2: 8}), shares(map[Build]float64{2: 8})
	next := func(after time.Duration, endpoints map[Route]map[Build]float64) (Implied, bool) {
		builds, changed := p.Next(start.Add(after), endpoints, saved, 0, 9, streamTime)
		return builds.Of[chat], changed
	}
	mustKeep := func(after time.Duration, endpoints map[Route]map[Build]float64) {
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
	must.Eq(t, Implied{Build: 2, State: Replacing, Since: 9}, i)

	saved = implied(0, i)
	mustKeep(4*time.Minute, absent)
	mustKeep(4*time.Minute+LeaseDuration+streamTime-1, absent)
	// Another router replaced it meanwhile, twice.
	saved = implied(0, Implied{Build: 2, Since: 15})
	mustKeep(4*time.Minute+LeaseDuration+streamTime, absent)
	mustKeep(4*time.Minute+2*(LeaseDuration+streamTime)-1, absent)
	i, changed = next(4*time.Minute+2*(LeaseDuration+streamTime), absent)
	must.True(t, changed)
	must.Eq(t, Implied{Build: 2, State: Settled, Since: 15}, i)
}

// Guards against an implied build of an earlier era that is believed: the restored store may have lost
// saved origins.
func TestImpliedBuildIsConfirmedAfterARestoration(t *testing.T) {
	for want, endpoints := range map[Build]map[Build]float64{1: {1: 1, 2: 8}, 2: {2: 8}} {
		p := ImpliedPolicy{FirstStart: true}
		saved := implied(4, Implied{Build: 1, State: Settled, Since: 3})
		_, changed := p.Next(start, shares(endpoints), saved, 4, 9, streamTime)
		must.False(t, changed)
		build, ok := saved.Conclude(onChat, 4)
		must.True(t, ok)
		must.Eq(t, Build(1), build)
		_, ok = saved.Conclude(onChat, 5)
		must.False(t, ok)
		p.Restored()
		next, changed := p.Next(start, shares(endpoints), saved, 5, 9, streamTime)
		must.True(t, changed)
		must.Eq(t, *implied(5, Implied{Build: want, Since: 9}), next)
		_, ok = next.Conclude(onChat, 5)
		must.False(t, ok)
	}
}

// Guards against a router that relies on what it read long ago: others have settled another build since.
func TestLeaseExpires(t *testing.T) {
	l := Lease{ImpliedBuilds: *implied(0, Implied{Build: 1, State: Settled}), ReadAt: start}
	before, after := start.Add(LeaseDuration-1), start.Add(LeaseDuration)
	must.True(t, l.MayOmit(before, onChat, 1, 0))
	must.False(t, l.MayOmit(before, onChat, 2, 0))
	must.False(t, l.MayOmit(before, onChat, 1, 1), must.Sprint("the store was restored"))
	must.False(t, l.MayOmit(after, onChat, 1, 0))
	must.Eq(t, Build(1), l.Fallback(before, onChat))
	must.Eq(t, AnyBuild, l.Fallback(after, onChat))
	l.Of = map[Route]Implied{chat: {Build: 1}}
	must.False(t, l.MayOmit(before, onChat, 1, 0))
	must.Eq(t, Build(1), l.Fallback(before, onChat))
	must.False(t, Lease{ImpliedBuilds: *implied(0, Implied{Build: 1, State: Settled})}.MayOmit(start, onChat, 1, 0))
}

// Guards against streams of a build that isn't implied any more whose origins are never saved.
func TestUnsettledBuilds(t *testing.T) {
	settled := implied(1, Implied{Build: 1, State: Settled, Since: 2})
	must.SliceEmpty(t, settled.Unsettled(*settled))
	must.SliceEmpty(t, settled.Unsettled(ImpliedBuilds{}))
	must.SliceEmpty(t, settled.Unsettled(*implied(1, Implied{Build: 1, Since: 2})))
	must.Eq(t, []Build{1}, implied(1, Implied{Build: 2, Since: 3}).Unsettled(*settled))
	must.Eq(t, []Build{1}, implied(1, Implied{Build: 1, Since: 3}).Unsettled(*settled))
	must.Eq(t, []Build{1}, implied(2, Implied{Build: 1, State: Settled, Since: 2}).Unsettled(*settled))
	must.Eq(t, []Build{1}, ImpliedBuilds{}.Unsettled(*settled))
}

func TestSavedImpliedBuildsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := ImpliedBuilds{Era: rapid.Int64Min(0).Draw(t, "era"), Of: map[Route]Implied{}}
		for range rapid.IntRange(0, 4).Draw(t, "routes") {
			want.Of[Route(rapid.Uint32().Draw(t, "route"))] = Implied{
				Build: Build(rapid.Uint32Min(1).Draw(t, "build")), State: State(rapid.IntRange(0, 2).Draw(t, "state")), Since: rapid.Int64Min(0).Draw(t, "since"),
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

// Guards against a stream that is taken for one of the build that is implied for only one of the routes
// that match it.
func TestRoutesWithDifferentImpliedBuilds(t *testing.T) {
	both := []Route{search, chat}
	builds := func(onSearch Implied) Lease {
		return Lease{ReadAt: start, ImpliedBuilds: ImpliedBuilds{Of: map[Route]Implied{chat: {Build: 1, State: Settled}, search: onSearch}}}
	}
	for _, test := range []struct {
		onSearch  Implied
		omits     bool
		fallsBack Build
	}{{Implied{Build: 1, State: Settled}, true, 1}, {Implied{Build: 1}, false, 1}, {Implied{Build: 2, State: Settled}, false, AnyBuild}, {Implied{Build: 1, State: Removed}, false, AnyBuild}, {Implied{}, false, AnyBuild}} {
		l := builds(test.onSearch)
		must.Eq(t, test.omits, l.MayOmit(start, both, 1, 0))
		must.False(t, l.MayOmit(start, both, 2, 0))
		must.Eq(t, test.fallsBack, l.Fallback(start, both))
		build, ok := l.Conclude(both, 0)
		must.Eq(t, test.omits, ok)
		must.True(t, !ok || build == 1)
	}
	_, ok := builds(Implied{}).Conclude(nil, 0)
	must.False(t, ok)
}

// Guards against saves for each stream of a route that was added, and against an implied build that is
// settled for it while streams of another build may go on there.
func TestImpliedBuildOfAnAddedRoute(t *testing.T) {
	added := map[Route]map[Build]float64{chat: {1: 1}, search: {1: 1, 2: 3}}
	for name, test := range map[string]struct {
		onChat  Implied
		builds  map[Build]float64
		settled bool
	}{
		"the same build":     {Implied{Build: 2, State: Settled}, map[Build]float64{1: 1, 2: 3}, true},
		"another build":      {Implied{Build: 2, State: Settled}, map[Build]float64{1: 1}, false},
		"an unsettled build": {Implied{Build: 2}, map[Build]float64{1: 1, 2: 3}, false},
	} {
		added[chat], added[search] = map[Build]float64{2: 1}, test.builds
		p := ImpliedPolicy{FirstStart: true}
		next, changed := p.Next(start, added, implied(0, test.onChat), 0, 9, streamTime)
		must.True(t, changed, must.Sprint(name))
		must.Eq(t, test.settled, next.Of[search].State == Settled, must.Sprint(name))
	}
}

// Guards against a removed route that comes back with the build that was settled before.
func TestImpliedBuildOfARemovedRoute(t *testing.T) {
	var p ImpliedPolicy
	saved := implied(0, Implied{Build: 1, State: Settled, Since: 3})
	none := map[Route]map[Build]float64{}
	next, changed := p.Next(start, none, saved, 0, 9, streamTime)
	must.True(t, changed)
	must.Eq(t, *implied(0, Implied{Build: 1, State: Removed, Since: 9}), next)
	saved = &next
	_, changed = p.Next(start, none, saved, 0, 10, streamTime)
	must.False(t, changed)
	back, changed := p.Next(start.Add(LeaseDuration+streamTime), shares(map[Build]float64{1: 1}), saved, 0, 10, streamTime)
	must.True(t, changed)
	must.Eq(t, *implied(0, Implied{Build: 1, Since: 10}), back)
	next, changed = p.Next(start.Add(LeaseDuration+streamTime), none, saved, 0, 10, streamTime)
	must.True(t, changed)
	must.MapEmpty(t, next.Of)
}
