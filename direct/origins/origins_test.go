package origins_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/origins"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

type noPeers struct{}

func (noPeers) Records(context.Context, follow.Topic, mirror.Position) (mirror.Batch, bool, error) {
	return mirror.Batch{}, false, nil
}
func (noPeers) ShouldReadStore() bool  { return true }
func (noPeers) HasStoreReader() bool   { return false }
func (noPeers) ShouldProbeStore() bool { return true }

// builds holds the builds of the endpoints of the service "engines".
type builds struct {
	mu     sync.Mutex
	list   []streamorigin.Build
	config *routing.Table
}

func (b *builds) set(list ...streamorigin.Build) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = list
}

// counts returns the number of endpoints of each build.
func (b *builds) counts() map[streamorigin.Build]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[streamorigin.Build]int{}
	for _, build := range b.list {
		counts[build]++
	}
	return counts
}

func (b *builds) shares() origins.Shares {
	counts := b.counts()
	b.mu.Lock()
	defer b.mu.Unlock()
	return origins.SharesOf(b.config, map[string]map[streamorigin.Build]int{service: counts, otherService: {thirdBuild: 1}})
}

func (b *builds) setConfig(config *routing.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
}

// publish puts a configuration with these routes in force.
func (b *builds) publish(routes ...routing.Route) {
	b.setConfig(compile(routes...))
}

// matching returns the routes that match a path.
func (b *builds) matching(path string) []*routing.Route {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config.Resumable()[b.config.Match(host, path)]
}

func compile(routes ...routing.Route) *routing.Table {
	config := &routing.Config{Routes: routes, Services: []routing.Service{{Name: service}, {Name: otherService}}}
	table, err := routing.Compile(config)
	if err != nil {
		panic(err)
	}
	return table
}

// resumable returns a route with resumable streams to services with these weights.
func resumable(pathPrefix string, weight, otherWeight float64) routing.Route {
	return routing.Route{
		Name: pathPrefix, Host: host, PathPrefix: pathPrefix, Semantics: routing.Stream, Resumable: true,
		Destinations: []routing.Destination{{Service: service, Weight: weight}, {Service: otherService, Weight: otherWeight}},
	}
}

const (
	host         = "shop.example"
	service      = "engines"
	otherService = "more-engines"
)

// chat is the only route at first.
var chat = compile(resumable("/chat/", 1, 0))

// chatID identifies the route.
var chatID = streamorigin.RouteOf(host, "/chat/")

// onChat are the routes that match streams of chat.
var onChat = chat.Resumable()[chat.Match(host, "/chat/")]

// link is one router's path to the store.
type link struct {
	follow.Store
	cut atomic.Bool
}

func (l *link) List(ctx context.Context, topic follow.Topic) (mirror.Batch, error) {
	if l.cut.Load() {
		return mirror.Batch{}, directtest.ErrUnreachable
	}
	return l.Store.List(ctx, topic)
}

func (l *link) Read(ctx context.Context, topic follow.Topic, from int64, wait time.Duration) (mirror.Batch, error) {
	if l.cut.Load() {
		return mirror.Batch{}, directtest.ErrUnreachable
	}
	return l.Store.Read(ctx, topic, from, wait)
}

// routers is a fleet whose routers can be killed.
type routers struct {
	t      *testing.T
	store  *directtest.Store
	builds *builds
	// firstStart is set until a router was killed.
	firstStart bool
	size       int
	// longestStream is how long a stream may be taken up, a time.Duration.
	longestStream atomic.Int64
	// started counts the processes.
	started int
	// unread is set while no router reads the store.
	unread atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
}

// newRouters returns a fleet that starts for the first time, in front of endpoints of these builds.
func newRouters(t *testing.T, list ...streamorigin.Build) *routers {
	f := &routers{t: t, store: directtest.NewStore(), builds: &builds{list: list, config: chat}, firstStart: true, size: 2}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	return f
}

// kill ends all routers.
func (f *routers) kill() {
	f.cancel()
	synctest.Wait()
	f.firstStart = false
	f.ctx, f.cancel = context.WithCancel(f.t.Context())
}

// start starts the origins of a router, and a follower that knows the store's era.
func (f *routers) start(name string) *origins.Origins {
	f.t.Helper()
	return f.startOn(name, f.store)
}

func (f *routers) startOn(name string, store follow.Store) *origins.Origins {
	f.t.Helper()
	f.started++
	registryMetrics := metrics.NewRegistry()
	follower := follow.New(follow.Options{
		ReadWait: time.Second, Store: store, Decoder: directtest.Decoder{}, Peers: noPeers{}, Routes: &routing.Store{},
		Endpoints: registry.NewTable(), Log: slog.New(slog.DiscardHandler), Metrics: registryMetrics,
	})
	o := origins.New(origins.Options{
		Name: name, Process: f.process(), Store: follower, Saves: func() bool { return true }, StoreIsRead: func() bool { return !f.unread.Load() }, LongestStream: func() time.Duration { return time.Duration(f.longestStream.Load()) },
		Shares: f.builds.shares, KnowsAllEndpoints: func() bool { return true }, Routers: func() int { return f.size }, FirstStart: f.firstStart,
		Log: slog.New(slog.DiscardHandler), Metrics: registryMetrics,
	})
	ctx := f.ctx
	go func() { _ = follower.Run(ctx) }()
	go func() { _ = o.Run(ctx) }()
	return o
}

// savedKeys returns the keys of the records with origins that the store holds.
func (f *routers) savedKeys() (keys []string) {
	listed, err := f.store.List(f.t.Context(), follow.Streams)
	must.NoError(f.t, err)
	for _, r := range listed.Records {
		if strings.HasPrefix(r.Key, "origins/") {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// process returns the name of the process that was started last.
func (f *routers) process() string { return fmt.Sprint("process-", f.started) }

const (
	build      = streamorigin.Build(7)
	otherBuild = streamorigin.Build(8)
	// thirdBuild is that of the only endpoint of the other service.
	thirdBuild = streamorigin.Build(9)
	// retention is the time after which no stream is left.
	retention = 30 * time.Second
)

func mustFind(t *testing.T, o *origins.Origins, attempt string, want streamorigin.Build) {
	t.Helper()
	got, ok := o.Find(t.Context(), attempt, onChat)
	must.True(t, ok, must.Sprint(attempt))
	must.Eq(t, want, got)
}

// mustRestrict fails the test unless new streams may begin only at a build.
func mustRestrict(t *testing.T, o *origins.Origins, want streamorigin.Build) {
	t.Helper()
	got, ok := o.Restriction(onChat)
	must.True(t, ok)
	must.Eq(t, want, got)
}

func mustNotFind(t *testing.T, o *origins.Origins, attempt string) {
	t.Helper()
	_, ok := o.Find(t.Context(), attempt, onChat)
	must.False(t, ok, must.Sprint(attempt))
}

// Guards against streams whose origin is unknown, or taken for another one, after all routers were
// killed right after their first events.
func TestOriginsOutliveAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		must.True(t, o.Begin(t.Context(), "implied", onChat, build))
		must.True(t, o.Begin(t.Context(), "saved", onChat, otherBuild))
		f.kill()
		// The entries lapsed, and only some are back.
		for _, list := range [][]streamorigin.Build{{build}, {otherBuild}, {}} {
			f.builds.set(list...)
			next := f.start("r2")
			mustFind(t, next, "implied", build)
			mustFind(t, next, "saved", otherBuild)
			f.kill()
		}
	})
}

// Guards against streams that go on at another build after an outage of the store in which all
// routers were killed: no origin could be saved.
func TestStreamsOfAnOutageStayAtTheirBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		mustRestrict(t, o, streamorigin.AnyBuild)
		f.store.SetUnreachable(true)
		must.False(t, o.Begin(t.Context(), "other", onChat, otherBuild), must.Sprint("its origin isn't saved"))
		mustRestrict(t, o, build)
		must.True(t, o.Begin(t.Context(), "implied", onChat, build))
		f.kill()
		f.store.SetUnreachable(false)
		f.builds.set(otherBuild)
		mustFind(t, f.start("r2"), "implied", build)
		f.kill()
	})
}

// Guards against a restriction that outlasts the outage, and against an origin that is dropped
// because the store was away for longer than some seconds.
func TestOriginsAreSavedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		f.builds.set(otherBuild)
		time.Sleep(10 * time.Second)
		f.store.SetUnreachable(true)
		must.True(t, o.Begin(t.Context(), "without alternative", onChat, otherBuild), must.Sprint("the other build is implied and not settled"))
		must.False(t, o.Begin(t.Context(), "begun again", onChat, build))
		must.False(t, o.Begin(t.Context(), "begun again", onChat, otherBuild), must.Sprint("the store may hold the earlier build"))
		time.Sleep(20 * time.Second)
		f.store.SetUnreachable(false)
		time.Sleep(time.Second)
		mustRestrict(t, o, streamorigin.AnyBuild)
		must.True(t, o.Begin(t.Context(), "later", onChat, otherBuild))
		f.kill()
		next := f.start("r2")
		mustFind(t, next, "without alternative", otherBuild)
		mustFind(t, next, "later", otherBuild)
		f.kill()
	})
}

// Guards against streams that begin in an outage without a saved origin because the endpoints of the
// implied build are away, and that go on at that build when it is back and all routers were killed.
func TestStreamsOfAnOutageBesideAnAbsentBuild(t *testing.T) {
	for name, releaseTime := range map[string]time.Duration{"down for a moment": time.Second, "gone": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRouters(t, build, build, otherBuild)
				o := f.start("r1")
				time.Sleep(5 * time.Second)
				f.builds.set(otherBuild)
				time.Sleep(releaseTime)
				f.store.SetUnreachable(true)
				began := o.Begin(t.Context(), "during", onChat, otherBuild)
				must.Eq(t, releaseTime > 10*time.Second, began)
				f.kill()
				f.store.SetUnreachable(false)
				f.builds.set(build, otherBuild)
				next := f.start("r1")
				if got, ok := next.Find(t.Context(), "during", onChat); ok && began {
					must.Eq(t, otherBuild, got)
				}
				f.kill()
			})
		})
	}
}

// Guards against a take-up for which an unread record is taken for a missing one, and against a
// caller that waits long while the store can't be read.
func TestUnknownOriginIsLookedForInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		a, b := f.start("r1"), f.start("r2")
		time.Sleep(3 * time.Second)
		must.True(t, a.Begin(t.Context(), "id-1", onChat, build))
		must.True(t, a.Begin(t.Context(), "id-2", onChat, otherBuild))
		mustFind(t, b, "id-2", otherBuild)
		mustFind(t, b, "id-1", build)
		f.store.SetUnreachable(true)
		began := time.Now()
		mustNotFind(t, b, "id-3")
		must.LessEq(t, 2*time.Second, time.Since(began))
		mustFind(t, b, "id-2", otherBuild)
		f.kill()
	})
}

// Guards against a router that is cut off for some seconds while the first endpoint of a new build
// joins and streams begin there through other routers: taken up here, they go on at another build.
func TestRouterThatIsCutOffDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		a := f.start("r1")
		path := &link{Store: f.store}
		b := f.startOn("r2", path)
		time.Sleep(5 * time.Second)
		mustFind(t, b, "early", build)
		path.cut.Store(true)
		must.True(t, a.Begin(t.Context(), "new", onChat, otherBuild))
		must.True(t, a.Begin(t.Context(), "old", onChat, build))
		mustNotFind(t, b, "new")
		mustNotFind(t, b, "old")
		path.cut.Store(false)
		mustFind(t, b, "new", otherBuild)
		mustFind(t, b, "old", build)
		f.kill()
	})
}

// Guards against origins that are lost when the store comes back from an older copy: streams of
// the implied build, too, could then be of any build.
func TestOriginsAreSavedAgain(t *testing.T) {
	for name, impliedInCopy := range map[string]bool{"with the implied build": true, "from before it": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRouters(t, build, build, otherBuild)
				older := f.store.Copy()
				o := f.start("r1")
				time.Sleep(2 * time.Second)
				if impliedInCopy {
					older = f.store.Copy()
				}
				must.True(t, o.Begin(t.Context(), "saved before", onChat, otherBuild))
				must.True(t, o.Begin(t.Context(), "implied before", onChat, build))
				f.store.SetUnreachable(true)
				must.True(t, o.Begin(t.Context(), "during", onChat, build))
				time.Sleep(2 * time.Second)
				f.store.Restore(older)
				f.store.SetUnreachable(false)
				time.Sleep(5 * time.Second)
				must.True(t, o.Begin(t.Context(), "after", onChat, build))
				f.kill()
				next := f.start("r2")
				mustFind(t, next, "saved before", otherBuild)
				mustFind(t, next, "implied before", build)
				mustFind(t, next, "during", build)
				mustFind(t, next, "after", build)
				mustNotFind(t, next, "unknown")
				time.Sleep(retention + 2*time.Second)
				must.True(t, next.Begin(t.Context(), "much later", onChat, build))
				mustFind(t, next, "unknown", build)
				f.kill()
			})
		})
	}
}

// Guards against an origin that is lost because all routers are killed right after a restoration,
// and that is taken for the implied build.
func TestUnknownStreamAfterARestorationIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		older := f.store.Copy()
		must.True(t, o.Begin(t.Context(), "lost", onChat, otherBuild))
		f.kill()
		f.store.Restore(older)
		mustNotFind(t, f.start("r2"), "lost")
		f.kill()
	})
}

// Guards against an invalid record, from another writer, that hides the others, or that leaves an
// implied build in force which it replaced.
func TestInvalidSavedOriginsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		f.store.Append(follow.Streams, "other", "not origins")
		f.store.Append(follow.Streams, "origins/r1/5", "not origins")
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		must.True(t, o.Begin(t.Context(), "id-1", onChat, build))
		must.True(t, o.Begin(t.Context(), "id-2", onChat, otherBuild))
		f.kill()
		next := f.start("r2")
		mustFind(t, next, "id-1", build)
		mustFind(t, next, "id-2", otherBuild)
		f.store.Append(follow.Streams, "implied-builds", "not builds")
		mustNotFind(t, next, "id-3")
		f.kill()
	})
}

// Guards against a stream that goes on at any build because another writer's record names none, or
// at a wrong one because a record that isn't a router's is taken for its origins.
func TestForeignOriginsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		saved := func(attempt string, b streamorigin.Build) string {
			origin := streamorigin.Origin{Stream: streamorigin.StreamOf(attempt), Build: b}
			return string(streamorigin.Encode([]streamorigin.SavedOrigin{{Origin: origin}}))
		}
		f.store.Append(follow.Streams, "origins/r9/0", saved("without build", streamorigin.AnyBuild))
		f.store.Append(follow.Streams, "other", saved("other key", otherBuild))
		f.store.Append(follow.Streams, "origins/r9/1", saved("whole", otherBuild))
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		mustFind(t, o, "without build", build)
		mustFind(t, o, "other key", build)
		mustFind(t, o, "whole", otherBuild)
		f.kill()
	})
}

// Guards against numbers of records that overflow because a record of another writer has the
// largest one, and against a removal of such records, which nobody of the fleet has written.
func TestRecordWithAHugeNumberIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		foreign := []string{"origins/r1/9223372036854775806", "origins/r1/99999999999999999999", "origins/r1/-1", "origins/r1/7x", "origins/r1/"}
		for _, key := range foreign {
			f.store.Append(follow.Streams, key, "not origins")
		}
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		for i := range 3 {
			must.True(t, o.Begin(t.Context(), fmt.Sprint("id-", i), onChat, otherBuild))
		}
		own, others := 0, 0
		for _, key := range f.savedKeys() {
			if slices.Contains(foreign, key) {
				others++
				continue
			}
			own++
			n, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
			must.NoError(t, err)
			must.Between(t, 0, n, 9)
		}
		must.Positive(t, own)
		must.Eq(t, len(foreign), others)
		f.kill()
	})
}

// Guards against calls to the store for the streams of a service with a single build, and against
// streams of that build that can't be taken up after all routers were killed.
func TestStreamsOfTheImpliedBuildAreNotSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		saved := f.store.Len(follow.Streams)
		for i := range 100 {
			must.True(t, o.Begin(t.Context(), fmt.Sprint("stream-", i), onChat, build))
			time.Sleep(50 * time.Millisecond)
		}
		must.Eq(t, saved, f.store.Len(follow.Streams))
		f.kill()
		next := f.start("r2")
		mustFind(t, next, "stream-99", build)
		mustFind(t, next, "", build)
		unknown := compile(resumable("/unknown/", 1, 0))
		_, ok := next.Find(t.Context(), "id-1", unknown.Resumable()[unknown.Match(host, "/unknown/")])
		must.False(t, ok, must.Sprint("which build is implied for the route is unknown"))
		f.builds.set(build, otherBuild)
		must.True(t, next.Begin(t.Context(), "other", onChat, otherBuild))
		mustNotFind(t, next, "")
		f.kill()
	})
}

// Guards against first events that wait long, and against a call to the store for each of many
// streams.
func TestOriginsAreSavedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		saved := f.store.Len(follow.Streams)
		var streams sync.WaitGroup
		for i := range 1000 {
			streams.Go(func() {
				began := time.Now()
				must.True(t, o.Begin(t.Context(), fmt.Sprint("stream-", i), onChat, otherBuild))
				must.LessEq(t, 120*time.Millisecond, time.Since(began))
			})
			time.Sleep(time.Millisecond)
		}
		streams.Wait()
		must.Between(t, saved+1, f.store.Len(follow.Streams), saved+30)
		f.kill()
		next := f.start("r1")
		for i := range 1000 {
			mustFind(t, next, fmt.Sprint("stream-", i), otherBuild)
		}
		// A restarted router doesn't overwrite what it saved before.
		for i := range 100 {
			must.True(t, next.Begin(t.Context(), fmt.Sprint("next-", i), onChat, otherBuild))
		}
		f.kill()
		last := f.start("r2")
		for i := range 1000 {
			mustFind(t, last, fmt.Sprint("stream-", i), otherBuild)
		}
		f.kill()
	})
}

// Guards against a large fleet that uses up the store's rate of writes, or whose first events
// give up before it is a router's turn to save.
func TestLargeFleetSavesRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		f.size = 520
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		saved := f.store.Len(follow.Streams)
		var streams sync.WaitGroup
		for i := range 1000 {
			streams.Go(func() { must.True(t, o.Begin(t.Context(), fmt.Sprint("stream-", i), onChat, otherBuild)) })
			time.Sleep(20 * time.Millisecond)
		}
		streams.Wait()
		must.Between(t, saved+1, f.store.Len(follow.Streams), saved+12)
		f.kill()
	})
}

// Guards against two routers that imply different builds because they see different endpoints: the
// second one reads what the first one saved.
func TestImpliedBuildIsNotReplacedByAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		a := f.start("r1")
		f.builds = &builds{list: []streamorigin.Build{otherBuild}, config: chat}
		b := f.start("r2")
		time.Sleep(5 * time.Second)
		f.store.SetUnreachable(true)
		must.False(t, a.Begin(t.Context(), "id-1", onChat, streamorigin.Build(9)))
		must.False(t, b.Begin(t.Context(), "id-2", onChat, streamorigin.Build(9)))
		only, _ := a.Restriction(onChat)
		must.NotEq(t, streamorigin.AnyBuild, only)
		mustRestrict(t, b, only)
		f.kill()
	})
}

// Guards against streams joined from two builds when all routers are killed around a release:
// while the first endpoint of the new build is there, after the old ones have left, and later.
func TestStreamsAroundAReleaseStayAtTheirBuild(t *testing.T) {
	for _, during := range [][]streamorigin.Build{{build, otherBuild}, {otherBuild}} {
		synctest.Test(t, func(t *testing.T) {
			f := newRouters(t, build)
			o := f.start("r1")
			time.Sleep(2 * time.Second)
			must.True(t, o.Begin(t.Context(), "before", onChat, build))
			f.builds.set(build, otherBuild)
			must.True(t, o.Begin(t.Context(), "new", onChat, otherBuild))
			f.builds.set(during...)
			time.Sleep(10 * time.Second)
			must.True(t, o.Begin(t.Context(), "newest", onChat, otherBuild))
			f.kill()

			next := f.start("r2")
			mustFind(t, next, "before", build)
			mustFind(t, next, "new", otherBuild)
			mustFind(t, next, "newest", otherBuild)
			f.builds.set(otherBuild)
			time.Sleep(retention + 2*time.Second)
			saved := f.store.Len(follow.Streams)
			must.True(t, next.Begin(t.Context(), "much later", onChat, otherBuild))
			must.Eq(t, saved, f.store.Len(follow.Streams), must.Sprint("the new build is implied"))
			mustFind(t, next, "", otherBuild)
			f.kill()
		})
	}
}

// slowStore is a store whose writes take almost as long as a router waits for one.
type slowStore struct{ *directtest.Store }

func (s slowStore) Write(ctx context.Context, topic follow.Topic, key string, value []byte, removals ...string) (int64, error) {
	time.Sleep(390 * time.Millisecond)
	return s.Store.Write(ctx, topic, key, value, removals...)
}

// Guards against streams that begin again at a build that needs a saved origin, because each save
// succeeds although first events wait too long for it.
func TestRestrictionHoldsAfterALateSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.startOn("r1", slowStore{f.store})
		time.Sleep(2 * time.Second)
		var late, unrestricted atomic.Int32
		var streams sync.WaitGroup
		for i := range 200 {
			streams.Go(func() {
				if o.Begin(t.Context(), fmt.Sprint("stream-", i), onChat, otherBuild) {
					return
				}
				late.Add(1)
				if only, _ := o.Restriction(onChat); only != build {
					unrestricted.Add(1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		streams.Wait()
		must.Positive(t, late.Load())
		must.Zero(t, unrestricted.Load())
		f.kill()
	})
}

// Guards against a router that starts while the store is away and begins streams whose origin is
// lost with it, or none: its peers tell it the implied build.
func TestRouterThatStartsInAnOutageBeginsAtTheImpliedBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		a := f.start("r1")
		time.Sleep(2 * time.Second)
		f.store.SetUnreachable(true)
		b := f.start("r2")
		must.False(t, b.Begin(t.Context(), "early", onChat, build), must.Sprint("the implied build is unknown"))
		told := a.Lease()
		must.Eq(t, build, told.Fallback(time.Now(), []streamorigin.Route{chatID}))
		b.MergeLease(told)
		mustRestrict(t, b, build)
		must.True(t, b.Begin(t.Context(), "implied", onChat, build))
		must.False(t, b.Begin(t.Context(), "other", onChat, otherBuild))
		must.False(t, b.Lease().IsValid(time.Now()), must.Sprint("only what was read from the store is passed on"))
		f.store.SetUnreachable(false)
		time.Sleep(2 * time.Second)
		later := streamorigin.Lease{ReadAt: time.Now().Add(time.Second), ImpliedBuilds: streamorigin.ImpliedBuilds{
			Era: 9, Of: map[streamorigin.Route]streamorigin.Implied{chatID: {Build: otherBuild}},
		}}
		b.MergeLease(later)
		f.store.SetUnreachable(true)
		must.False(t, b.Begin(t.Context(), "next", onChat, otherBuild), must.Sprint("the store was read"))
		f.kill()
	})
}

// Guards against streams that need a saved origin and begin in an outage, because this router has
// had nothing to save since it began: their first events would be withheld.
func TestRestrictionBeginsWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		mustRestrict(t, o, streamorigin.AnyBuild)
		f.unread.Store(true)
		mustRestrict(t, o, build)
		f.unread.Store(false)
		mustRestrict(t, o, streamorigin.AnyBuild)
		f.kill()
	})
}

// slowList is a store of which a router without CPU time reads a listing in 900 ms.
type slowList struct{ *directtest.Store }

func (s slowList) List(ctx context.Context, topic follow.Topic) (mirror.Batch, error) {
	select {
	case <-ctx.Done():
		return mirror.Batch{}, ctx.Err()
	case <-time.After(900 * time.Millisecond):
		return s.Store.List(ctx, topic)
	}
}

// Guards against a router that never knows the origins of streams, nor can save any, because it
// lacks the CPU time to read the saved ones as fast as a caller expects them; and against a caller that
// waits for such a reading.
func TestRouterWithoutCPUTimeReadsTheSavedOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		must.True(t, o.Begin(t.Context(), "saved", onChat, otherBuild))
		f.kill()
		next := f.startOn("r2", slowList{f.store})
		began := time.Now()
		mustNotFind(t, next, "saved")
		must.LessEq(t, 1200*time.Millisecond, time.Since(began))
		time.Sleep(3 * time.Second)
		mustFind(t, next, "saved", otherBuild)
		mustFind(t, next, "implied", build)
		must.True(t, next.Begin(t.Context(), "later", onChat, otherBuild))
		f.kill()
	})
}

// Guards against streams that are taken for ones of another build because a build returned soon after
// it was replaced as the implied one: a router that had not read that goes on to save no origins of it.
func TestReplacedBuildThatReturns(t *testing.T) {
	for delay := 28 * time.Second; delay < 40*time.Second; delay += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newRouters(t, build)
			fleet := []*origins.Origins{f.start("r1")}
			time.Sleep(300 * time.Millisecond)
			fleet = append(fleet, f.start("r2"))
			time.Sleep(2 * time.Second)
			f.builds.set(build, otherBuild)
			time.Sleep(2 * time.Second)
			f.builds.set(otherBuild)
			time.Sleep(delay)
			f.builds.set(otherBuild, build)
			time.Sleep(2 * time.Second)
			for i, o := range fleet {
				must.True(t, o.Begin(t.Context(), fmt.Sprint("returned-", i), onChat, build))
				must.True(t, o.Begin(t.Context(), fmt.Sprint("new-", i), onChat, otherBuild))
			}
			f.kill()
			next := f.start("r1")
			for i := range fleet {
				mustFind(t, next, fmt.Sprint("returned-", i), build)
				mustFind(t, next, fmt.Sprint("new-", i), otherBuild)
			}
			f.kill()
		})
	}
}

// Guards against a router that stands still, or is cut off from the store, while the implied build is
// replaced, and then begins streams of the earlier one without saving their origins.
func TestRouterThatMissesAReplacementSavesOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		f.start("r1")
		path := &link{Store: f.store}
		cut := f.startOn("r2", path)
		time.Sleep(2 * time.Second)
		path.cut.Store(true)
		f.builds.set(otherBuild)
		time.Sleep(time.Minute)
		f.builds.set(otherBuild, build)
		must.True(t, cut.Begin(t.Context(), "cut off", onChat, build), must.Sprint("it can still write to the store"))
		f.kill()
		mustFind(t, f.start("r1"), "cut off", build)
		f.kill()
	})
}

// Guards against streams of a route that is split between services, split or joined while they run, or
// moved to another service: after all routers were killed they were refused, or taken for ones of the
// service to which the route leads then.
func TestStreamsOutliveChangesOfTheirRoute(t *testing.T) {
	alone, split, moved := resumable("/chat/", 1, 0), resumable("/chat/", 9, 1), resumable("/chat/", 0, 1)
	for _, change := range [][]routing.Route{{split, split}, {alone, split}, {split, alone}, {alone, moved}, {split, moved}, {alone, moved, alone}, {split, alone, split}} {
		for _, delay := range []time.Duration{0, 3 * time.Second, 9 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				f := newRouters(t, build, build, otherBuild)
				f.builds.publish(change[0])
				o := f.start("r1")
				time.Sleep(5 * time.Second)
				streams := map[string]streamorigin.Build{}
				for i, route := range change {
					f.builds.publish(route)
					if i > 0 {
						time.Sleep(delay)
					}
					for n, b := range []streamorigin.Build{build, otherBuild, thirdBuild} {
						if route.Destinations[n/2].Weight > 0 {
							attempt := fmt.Sprint("stream-", i, "-", b)
							must.True(t, o.Begin(t.Context(), attempt, f.builds.matching("/chat/1"), b))
							streams[attempt] = b
						}
					}
				}
				f.kill()
				next := f.start("r1")
				for attempt, want := range streams {
					got, ok := next.Find(t.Context(), attempt, f.builds.matching("/chat/1"))
					must.True(t, ok, must.Sprint(attempt))
					must.Eq(t, want, got)
				}
				f.kill()
			})
		}
	}
}

// Guards against streams that are taken up on another route than the one on which they began, which was
// added or removed since, and are taken for ones of that route's service.
func TestStreamsTakenUpOnAnotherRoute(t *testing.T) {
	wide, narrow := resumable("/chat/", 1, 0), resumable("/chat/long/", 0, 1)
	for _, change := range [][2][]routing.Route{{{wide}, {wide, narrow}}, {{wide, narrow}, {wide}}, {{wide, narrow}, {narrow}}, {{wide}, {narrow}}, {{narrow}, {wide}}} {
		for _, steady := range []time.Duration{5 * time.Second, time.Minute} {
			synctest.Test(t, func(t *testing.T) {
				f := newRouters(t, build)
				f.builds.publish(change[1]...)
				o := f.start("r1")
				time.Sleep(steady)
				f.builds.publish(change[0]...)
				time.Sleep(steady)
				matching := f.builds.matching("/chat/long/1")
				want := build
				if matching[0].PathPrefix == narrow.PathPrefix {
					want = thirdBuild
				}
				must.True(t, o.Begin(t.Context(), "stream", matching, want))
				f.builds.publish(change[1]...)
				for range 5 {
					f.kill()
					next := f.start("r1")
					if got, ok := next.Find(t.Context(), "stream", f.builds.matching("/chat/long/1")); ok {
						must.Eq(t, want, got)
					}
					time.Sleep(3 * time.Second)
				}
				f.kill()
			})
		}
	}
}

// Guards against streams that are sent to an endpoint and then withheld, although no router knows any more
// which build is implied: another router may have replaced it in a long outage of this one's store.
func TestNoStreamBeginsAfterTheLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		f.store.SetUnreachable(true)
		f.unread.Store(true)
		time.Sleep(streamorigin.LeaseDuration - streamorigin.LeaseRenewal - time.Second)
		must.True(t, o.Begin(t.Context(), "early", onChat, build))
		mustRestrict(t, o, build)
		time.Sleep(streamorigin.LeaseRenewal + time.Second)
		must.False(t, o.Begin(t.Context(), "late", onChat, build))
		_, ok := o.Restriction(onChat)
		must.False(t, ok)
		f.store.SetUnreachable(false)
		f.unread.Store(false)
		time.Sleep(3 * time.Second)
		mustRestrict(t, o, streamorigin.AnyBuild)
		must.True(t, o.Begin(t.Context(), "later", onChat, build))
		f.kill()
	})
}
