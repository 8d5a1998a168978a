package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// lossyStore is a store that swallows calls: one that begins or is in progress while the store is
// silent is never answered.
type lossyStore struct {
	*directtest.Store
	silent atomic.Bool
	// silences is closed and replaced at the begin of a silence.
	silences atomic.Pointer[chan struct{}]
	calls    atomic.Int64
	// isAffected selects the calls that a silence concerns; nil selects all.
	isAffected atomic.Pointer[func(topic follow.Topic, isList bool) bool]
}

func newLossyStore() *lossyStore {
	s := &lossyStore{Store: directtest.NewStore()}
	s.silences.Store(new(make(chan struct{})))
	return s
}

func (s *lossyStore) setSilent(silent bool) {
	s.silent.Store(silent)
	if silent {
		close(*s.silences.Swap(new(make(chan struct{}))))
	}
}

// answer returns what call returns, unless the store was silent meanwhile.
func (s *lossyStore) answer(ctx context.Context, topic follow.Topic, isList bool, call func(context.Context) (mirror.Batch, error)) (mirror.Batch, error) {
	if isAffected := s.isAffected.Load(); isAffected != nil && !(*isAffected)(topic, isList) {
		return call(ctx)
	}
	s.calls.Add(1)
	silence := *s.silences.Load()
	if s.silent.Load() {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	type reply struct {
		batch mirror.Batch
		err   error
	}
	replies := make(chan reply, 1)
	go func() {
		batch, err := call(ctx)
		replies <- reply{batch, err}
	}()
	select {
	case r := <-replies:
		return r.batch, r.err
	case <-silence:
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
}

func (s *lossyStore) Write(ctx context.Context, topic follow.Topic, key string, value []byte, removals ...string) (era int64, err error) {
	_, err = s.answer(ctx, topic, false, func(ctx context.Context) (mirror.Batch, error) {
		era, err = s.Store.Write(ctx, topic, key, value, removals...)
		return mirror.Batch{}, err
	})
	return era, err
}

func (s *lossyStore) List(ctx context.Context, topic follow.Topic) (mirror.Batch, error) {
	return s.answer(ctx, topic, true, func(ctx context.Context) (mirror.Batch, error) { return s.Store.List(ctx, topic) })
}

func (s *lossyStore) Read(ctx context.Context, topic follow.Topic, from int64, wait time.Duration) (mirror.Batch, error) {
	return s.answer(ctx, topic, false, func(ctx context.Context) (mirror.Batch, error) { return s.Store.Read(ctx, topic, from, wait) })
}

// fleet is a set of followers that are each other's peers.
type fleet struct {
	store   *lossyStore
	members []*member
}

// member is a router of a fleet. It reports its state to its peers with a delay, as load reports do.
type member struct {
	fleet     *fleet
	rank      int
	routes    *routing.Store
	endpoints *registry.Table
	follower  *follow.Follower
	// reported is what peers know of this router; nil while it is down.
	reported atomic.Pointer[report]
	// news wakes report, as mesh.Mesh.SendSoon does.
	news chan struct{}
	// isCutOff is set if the store never answers this router.
	isCutOff bool
	stop     context.CancelFunc
	stopped  chan struct{}
}

type report struct {
	ends  [2]mirror.Position
	reads bool
	at    time.Time
}

const (
	// reportInterval is the longest interval between two load reports of an idle router.
	reportInterval = 400 * time.Millisecond
	// newsDelay is the delay of a report that news causes.
	newsDelay = 20 * time.Millisecond
	// reportTimeout is the time after which a peer counts as down.
	reportTimeout = time.Second
)

func (m *member) start(ctx context.Context) {
	ctx, m.stop = context.WithCancel(ctx)
	m.stopped = make(chan struct{})
	m.routes, m.endpoints = &routing.Store{}, registry.NewTable()
	m.news = make(chan struct{}, 1)
	var store follow.Store = m.fleet.store
	if m.isCutOff {
		cut := newLossyStore()
		cut.setSilent(true)
		store = cut
	}
	m.follower = follow.New(follow.Options{
		ReadWait: readWait, Store: store, Decoder: directtest.Decoder{}, Peers: m, Routes: m.routes,
		Endpoints: m.endpoints, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	m.follower.OnStoreNews = func() {
		select {
		case m.news <- struct{}{}:
		default:
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.follower.Run(ctx) })
	group.Go(func() error { return m.report(ctx) })
	go func() {
		defer close(m.stopped)
		_ = group.Wait()
		m.reported.Store(nil)
	}()
}

func (m *member) kill() {
	m.stop()
	<-m.stopped
}

func (m *member) report(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.reported.Store(&report{
			ends:  [2]mirror.Position{m.follower.Mirror(follow.Configuration).Position(), m.follower.Mirror(follow.Endpoints).Position()},
			reads: m.follower.ReadsStore(), at: time.Now(),
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-m.news:
			time.Sleep(newsDelay)
		}
	}
	return ctx.Err()
}

// live returns the peers whose reports this router has, and these reports.
func (m *member) live() (members []*member, reports []*report) {
	for _, other := range m.fleet.members {
		r := other.reported.Load()
		if other == m || r == nil || time.Since(r.at) > reportTimeout {
			continue
		}
		members, reports = append(members, other), append(reports, r)
	}
	return members, reports
}

func (m *member) Records(_ context.Context, topic follow.Topic, known mirror.Position) (mirror.Batch, bool, error) {
	members, reports := m.live()
	for i, r := range reports {
		if known.Before(r.ends[topic]) {
			return members[i].follower.Mirror(topic).Since(known), true, nil
		}
	}
	return mirror.Batch{}, false, nil
}

// ShouldReadStore selects all routers of a small fleet and three of a large one, as package mesh does.
func (m *member) ShouldReadStore() bool { return m.rank < 3 || len(m.fleet.members) <= 8 }

// turnLength is the length of a router's turn to probe the store.
const turnLength = 400 * time.Millisecond

func (m *member) ShouldProbeStore() bool {
	members, _ := m.live()
	rank := 0
	for _, other := range members {
		if other.rank < m.rank {
			rank++
		}
	}
	return !m.HasStoreReader() && time.Now().UnixNano()/int64(turnLength)%int64(len(members)+1) == int64(rank)
}

func (m *member) HasStoreReader() bool {
	for _, other := range m.fleet.members {
		if r := other.reported.Load(); other != m && r != nil && r.reads && time.Since(r.at) <= reportTimeout {
			return true
		}
	}
	return false
}

// runFleet runs a fleet in a synctest bubble. The store never answers the first cutOff of its routers.
func runFleet(t *testing.T, routers, cutOff int, test func(f *fleet, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{store: newLossyStore()}
		for rank := range routers {
			f.members = append(f.members, &member{fleet: f, rank: rank, isCutOff: rank < cutOff})
		}
		for _, m := range f.members {
			m.start(ctx)
		}
		test(f, ctx)
		cancel()
		for _, m := range f.members {
			<-m.stopped
		}
	})
}

// version returns the lowest version in force in the fleet.
func (f *fleet) version() uint64 {
	lowest := uint64(1 << 62)
	for _, m := range f.members {
		table := m.routes.Current()
		if table == nil {
			return 0
		}
		lowest = min(lowest, table.Version)
	}
	return lowest
}

// endSilence ends the outage with news for both topics, and returns the time until all routers know them, a
// minute at most.
func (f *fleet) endSilence() time.Duration {
	f.store.setSilent(false)
	f.store.Append(follow.Configuration, "c", config(2))
	f.store.Append(follow.Endpoints, "b", endpoint("b"))
	ended := time.Now()
	for (f.version() != 2 || !f.knowsEndpoints(2)) && time.Since(ended) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(ended)
}

// knowsEndpoints reports whether all routers know n ready endpoints.
func (f *fleet) knowsEndpoints(n int) bool {
	for _, m := range f.members {
		if len(m.endpoints.Ready("s")) != n {
			return false
		}
	}
	return true
}

// configurationBound is the shortest bound on applying a configuration and on draining for which the
// platform's settings give readWait.
const configurationBound = readWait * 10 / 6

// Guards against a short silence of the store that loses the waiting reads of all routers at the same
// time: nothing tells that they are lost before the store should have answered, but then one call
// finds out, for all. What the store acknowledged is in force within the bound of the settings.
func TestShortSilenceKeepsTheBoundOfTheSettings(t *testing.T) {
	random := rand.New(rand.NewPCG(48, 9))
	for length := 100 * time.Millisecond; length < 6*time.Second; length += 100 * time.Millisecond {
		for range 4 {
			o := outage{length: length, calm: 3*time.Second + time.Duration(random.Int64N(int64(2*readWait)))}
			must.LessEq(t, configurationBound, o.catchUp(t), must.Sprintf("%+v", o))
		}
	}
}

// catchUpBound is how long after the end of an outage every router has what the store acknowledged.
const catchUpBound = time.Second

// Guards against configurations and endpoints that come into force late because a call that began
// in an outage of the store outlives it: whenever the outage ends in the life of a call, the
// routers that ran all the time and those that started in it have what the store acknowledged, within a
// second.
func TestLostCallsDoNotOutliveTheOutage(t *testing.T) {
	const seed = 48
	for _, test := range []struct{ killed, cutOff int }{{killed: 0}, {killed: 3}, {killed: 5}, {cutOff: 1}, {killed: 3, cutOff: 1}} {
		t.Run(fmt.Sprintf("killed=%d,cutOff=%d", test.killed, test.cutOff), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, uint64(test.killed)))
			var latest time.Duration
			var late []string
			for length := 6 * time.Second; length <= 11*time.Second; length += 100 * time.Millisecond {
				o := outage{
					length: length, killed: test.killed, cutOff: test.cutOff,
					calm:   3*time.Second + time.Duration(random.Int64N(int64(readWait))),
					killAt: 2500*time.Millisecond + time.Duration(random.Int64N(int64(time.Second))),
				}
				took := o.catchUp(t)
				latest = max(latest, took)
				if took > catchUpBound {
					late = append(late, fmt.Sprintf("%+v: %v", o, took))
				}
			}
			must.SliceEmpty(t, late, must.Sprintf("seed %d, latest %v", seed, latest))
		})
	}
}

// outage is an outage of the store after calm, in which some routers are killed; they start again a
// second later.
type outage struct {
	calm, length, killAt time.Duration
	killed               int
	// cutOff is the number of routers that the store never answers.
	cutOff int
}

// catchUp plays an outage and returns how long after its end all routers have what the store
// acknowledged at the end.
func (o outage) catchUp(t *testing.T) time.Duration {
	var took time.Duration
	runFleet(t, 5, o.cutOff, func(f *fleet, ctx context.Context) {
		f.store.Append(follow.Configuration, "c", config(1))
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(o.calm)
		must.Eq(t, 1, f.version())
		f.store.setSilent(true)
		began := time.Now()
		if o.killed > 0 {
			time.Sleep(o.killAt)
			for _, m := range f.members[:o.killed] {
				m.kill()
			}
			time.Sleep(time.Second)
			for _, m := range f.members[:o.killed] {
				m.start(ctx)
			}
		}
		time.Sleep(o.length - time.Since(began))
		took = f.endSilence()
	})
	return took
}

// Guards against a fleet whose calls to a store that is down grow with its size: routers that
// start in an outage announce themselves once, and then wait for its end. Within a second of it, all
// have announced themselves.
func TestCallsToASilentStoreDoNotGrowWithTheFleet(t *testing.T) {
	calls := map[int]int64{}
	for _, routers := range []int{5, 71, 300} {
		runFleet(t, routers, 0, func(f *fleet, ctx context.Context) {
			f.store.Append(follow.Configuration, "c", config(1))
			f.store.Append(follow.Endpoints, "a", endpoint("a"))
			time.Sleep(3 * time.Second)
			f.store.setSilent(true)
			time.Sleep(4 * time.Second)
			for _, m := range f.members {
				go func() { _ = m.follower.Announce(ctx, fmt.Sprint(m.rank), "127.0.0.1:1") }()
			}
			time.Sleep(2 * time.Second)
			before := f.store.calls.Load()
			time.Sleep(4 * time.Second)
			calls[routers] = f.store.calls.Load() - before
			f.store.setSilent(false)
			f.store.Append(follow.Configuration, "c", config(2))
			time.Sleep(catchUpBound)
			must.Eq(t, 2, f.version())
			must.Eq(t, routers, f.store.Len(follow.Members))
		})
	}
	// The fleet has a turn each 400 ms.
	must.LessEq(t, 10, calls[5])
	must.LessEq(t, 10, calls[71])
	must.LessEq(t, 10, calls[300])
}

// Guards against a router that stops calling the store after an answer which overtook a lost call
// couldn't be applied: with its peers it stays up to date, but after them it has no news.
func TestAnswerOfAnEarlierEraDoesNotEndCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLossyStore()
		routes, log := &routing.Store{}, slog.New(slog.DiscardHandler)
		f := follow.New(follow.Options{
			ReadWait: readWait, Store: store, Decoder: directtest.Decoder{}, Peers: peers{}, Routes: routes,
			Endpoints: registry.NewTable(), Log: log, Metrics: metrics.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		store.setSilent(true)
		time.Sleep(5 * time.Second)
		later := mirror.Batch{End: mirror.Position{Era: 2, Next: 0}, Complete: true}
		must.NoError(t, f.Apply(follow.Configuration, later))
		store.setSilent(false)
		time.Sleep(10 * time.Second)
		store.Restore(store.Copy())
		store.Append(follow.Configuration, "c", config(7))
		time.Sleep(5 * time.Second)
		must.NotNil(t, routes.Current())
		must.Eq(t, 7, routes.Current().Version)
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}
