package origins_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/origins"
)

// lateStore is a store that doesn't answer some writes and executes them later, as long as their
// condition holds.
type lateStore struct {
	*directtest.Store
	// delay returns how much later a write without an answer is executed, or 0 for a write that is answered.
	delay func() time.Duration
}

func (s *lateStore) Write(ctx context.Context, topic follow.Topic, key string, value []byte, removals ...string) (int64, error) {
	if !s.isLate(func() { _, _ = s.Store.Write(context.Background(), topic, key, value, removals...) }) {
		return s.Store.Write(ctx, topic, key, value, removals...)
	}
	<-ctx.Done()
	return 0, ctx.Err()
}

func (s *lateStore) WriteAt(ctx context.Context, topic follow.Topic, key string, value []byte, at int64) (int64, error) {
	if !s.isLate(func() { _, _ = s.Store.WriteAt(context.Background(), topic, key, value, at) }) {
		return s.Store.WriteAt(ctx, topic, key, value, at)
	}
	<-ctx.Done()
	return 0, ctx.Err()
}

func (s *lateStore) isLate(write func()) bool {
	delay := s.delay()
	if delay > 0 {
		time.AfterFunc(delay, write)
	}
	return delay > 0
}

// Guards against origins that are hidden by a write of the same router's earlier process which the store
// executes after them: their streams are taken for ones of the implied build.
func TestLateWriteOfAnEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		var late atomic.Bool
		path := &lateStore{Store: f.store, delay: func() time.Duration {
			if late.Load() {
				return 4 * time.Second
			}
			return 0
		}}
		o := f.startOn("r1", path)
		time.Sleep(2 * time.Second)
		late.Store(true)
		must.False(t, o.Begin(t.Context(), "not saved", onChat, otherBuild))
		f.kill()
		late.Store(false)
		o = f.startOn("r1", path)
		time.Sleep(time.Second)
		must.True(t, o.Begin(t.Context(), "saved", onChat, otherBuild))
		time.Sleep(4 * time.Second)
		f.kill()
		mustFind(t, f.start("r1"), "saved", otherBuild)
		f.kill()
	})
}

// Guards against streams that are taken for ones of another build in any order of writes that the store
// executes late, kills of single routers and of all.
func TestLateWritesInAnyOrder(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newRouters(t, build, build, otherBuild)
			var lateShare, bits atomic.Uint64
			bits.Store(seed)
			path := &lateStore{Store: f.store, delay: func() time.Duration {
				n := bits.Add(0x9e3779b97f4a7c15)
				n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
				if n>>32%100 >= lateShare.Load() {
					return 0
				}
				return time.Second + time.Duration(n>>40%9000)*time.Millisecond
			}}
			begun := map[string]streamorigin.Build{}
			fleet := []*origins.Origins{f.startOn("r0", path), f.startOn("r1", path)}
			time.Sleep(2 * time.Second)
			for step := range 120 {
				if random.IntN(10) == 0 {
					lateShare.Store(uint64(random.IntN(2) * 50))
				}
				if random.IntN(15) == 0 {
					f.kill()
					fleet = []*origins.Origins{f.startOn("r0", path), f.startOn("r1", path)}
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					for attempt, want := range begun {
						if got, ok := fleet[0].Find(t.Context(), attempt, onChat); ok && got != want {
							t.Fatalf("seed %d, step %d: %s of build %d is taken for one of build %d", seed, step, attempt, want, got)
						}
					}
				}
				attempt, b := fmt.Sprint("stream-", step), build+streamorigin.Build(random.IntN(2))
				if fleet[random.IntN(2)].Begin(t.Context(), attempt, onChat, b) {
					begun[attempt] = b
				}
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
			must.MapNotEmpty(t, begun)
			f.kill()
			// Writes that are still to be executed must not outlast the test.
			time.Sleep(11 * time.Second)
		})
	}
}

// Guards against records that stay in the store for good: those of a router's earlier processes, of
// routers that are gone, and of writes that were executed late.
func TestSavedOriginsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		var late atomic.Bool
		path := &lateStore{Store: f.store, delay: func() time.Duration {
			if late.Load() {
				return 5 * time.Second
			}
			return 0
		}}
		for _, name := range []string{"r1", "r1", "gone"} {
			o := f.startOn(name, path)
			time.Sleep(2 * time.Second)
			must.True(t, o.Begin(t.Context(), name, onChat, otherBuild))
			late.Store(true)
			must.False(t, o.Begin(t.Context(), name+" late", onChat, otherBuild))
			late.Store(false)
			f.kill()
		}
		o := f.startOn("r1", path)
		for i := range 20 {
			time.Sleep(time.Second)
			must.True(t, o.Begin(t.Context(), fmt.Sprint("stream-", i), onChat, otherBuild))
		}
		must.GreaterEq(t, 26, len(f.savedKeys()))
		time.Sleep(4 * retention)
		must.SliceEmpty(t, f.savedKeys())
		f.kill()
	})
}

// Guards against a removal of origins whose streams can still be taken up.
func TestSavedOriginsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build, build, otherBuild)
		o := f.start("r1")
		f.start("r2")
		time.Sleep(2 * time.Second)
		for i := range 200 {
			must.True(t, o.Begin(t.Context(), fmt.Sprint("stream-", i), onChat, otherBuild))
			time.Sleep(time.Second)
		}
		f.kill()
		next := f.start("r3")
		for i := 200 - int(retention/time.Second) + 1; i < 200; i++ {
			mustFind(t, next, fmt.Sprint("stream-", i), otherBuild)
		}
		f.kill()
	})
}
