package origins_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/origins"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// peers are routers of a fleet that exchange reports.
type peers struct {
	fleet []*origins.Origins
	names []string
	// silent is set while the last router's reports are lost.
	silent atomic.Bool
}

// startPeers starts routers, whose reports reach each other until the fleet is killed.
func (f *routers) startPeers(names ...string) *peers {
	return f.startPeersOn(func(int) follow.Store { return f.store }, names...)
}

// startPeersOn starts routers that reach the store by paths of their own.
func (f *routers) startPeersOn(path func(i int) follow.Store, names ...string) *peers {
	p := &peers{}
	for i, name := range names {
		p.fleet = append(p.fleet, f.startOn(name, path(i)))
		p.names = append(p.names, f.process())
	}
	ctx := f.ctx
	go func() {
		ticker := time.NewTicker(250 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			for i, from := range p.fleet {
				for k, to := range p.fleet {
					if i == k || p.silent.Load() && max(i, k) == len(p.fleet)-1 {
						continue
					}
					to.MergeLease(from.Lease())
					to.MergeAcknowledged(time.Now(), p.names[i], from.Acknowledged())
				}
			}
		}
	}()
	return p
}

// Guards against streams that began in an outage of the store some seconds after a release, and are refused
// after all routers were killed in it, because the new build counts as unsettled for half a minute.
func TestStreamsOfAnOutageSoonAfterARelease(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newRouters(t, build)
			names := []string{"r1", "r2", "r3"}
			p := f.startPeers(names...)
			time.Sleep(3 * time.Second)
			if restarted {
				// Their streams have ended, and their registrations are removed by the next processes.
				f.kill()
				p = f.startPeers(names...)
				time.Sleep(5 * time.Second)
			}
			f.builds.set(build, otherBuild)
			must.True(t, p.fleet[0].Begin(t.Context(), "earlier build", onChat, build))
			time.Sleep(2 * time.Second)
			f.builds.set(otherBuild)
			time.Sleep(9 * time.Second)
			f.store.SetUnreachable(true)
			f.unread.Store(true)
			for i, o := range p.fleet {
				must.True(t, o.Begin(t.Context(), fmt.Sprint("in the outage ", i), onChat, otherBuild))
			}
			f.kill()
			f.store.SetUnreachable(false)
			f.unread.Store(false)
			next := f.startPeers(names...)
			for i, o := range next.fleet {
				mustFind(t, o, "earlier build", build)
				mustFind(t, o, fmt.Sprint("in the outage ", i), otherBuild)
			}
			f.kill()
		})
	}
}

// Guards against a new build that is settled early although a router that has not reported since may go on to
// begin streams of the earlier build without a saved origin.
func TestSilentRouterDelaysTheSettling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		p := f.startPeers("r1", "r2", "r3")
		time.Sleep(3 * time.Second)
		p.silent.Store(true)
		f.builds.set(otherBuild)
		time.Sleep(12 * time.Second)
		f.store.SetUnreachable(true)
		must.True(t, p.fleet[0].Begin(t.Context(), "in the outage", onChat, otherBuild))
		f.kill()
		f.store.SetUnreachable(false)
		mustNotFind(t, f.startPeers("r1", "r2", "r3").fleet[0], "in the outage")
		f.kill()
	})
}

// Guards against a process that omits origins although the others don't know of it: its registration was lost
// with the store's history, or retired because it was silent.
func TestUnregisteredProcessSavesOrigins(t *testing.T) {
	for name, unregister := range map[string]func(f *routers, key string){
		"removed": func(f *routers, key string) { f.store.Append(follow.Streams, key, "") },
		"retired": func(f *routers, key string) { f.store.Append(follow.Streams, key, "retired") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRouters(t, build)
				o := f.start("r1")
				time.Sleep(2 * time.Second)
				must.True(t, o.Lease().IsValid(time.Now()))
				unregister(f, "processes/r1/"+f.process()+"/1")
				mustFind(t, o, "any", build)
				must.False(t, o.Lease().IsValid(time.Now()), must.Sprint("the process has read that it isn't registered"))
				time.Sleep(2 * time.Second)
				must.True(t, o.Lease().IsValid(time.Now()), must.Sprint("it has registered again"))
				must.True(t, o.Begin(t.Context(), "stream", onChat, build))
				mustFind(t, o, "stream", build)
				f.kill()
			})
		})
	}
}

// Guards against origins that a process never saves because its registration was gone when it read that the
// implied build had been replaced.
func TestUnregisteredProcessSavesOmittedOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		o := f.start("r1")
		time.Sleep(2 * time.Second)
		must.True(t, o.Begin(t.Context(), "omitted", onChat, build))
		replaced := streamorigin.ImpliedBuilds{Era: 1, Of: map[streamorigin.Route]streamorigin.Implied{
			chatID: {Build: otherBuild, State: streamorigin.Replacing, Since: 2},
		}}
		f.builds.set(otherBuild)
		f.store.Append(follow.Streams, "processes/r1/"+f.process()+"/1", "retired")
		mustFind(t, o, "any", build)
		must.False(t, o.Lease().IsValid(time.Now()), must.Sprint("the process has read that it isn't registered"))
		f.store.Append(follow.Streams, "implied-builds", string(streamorigin.EncodeImplied(replaced)))
		time.Sleep(5 * time.Second)
		must.True(t, o.Lease().IsValid(time.Now()))
		f.kill()
		mustFind(t, f.start("r1"), "omitted", build)
		f.kill()
	})
}

// Guards against the registration of an earlier process that is removed before it is known how long its streams
// may last, because the next process has no configuration yet.
func TestRegistrationOfAnEarlierProcessIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouters(t, build)
		f.start("r1")
		time.Sleep(2 * time.Second)
		earlier := "processes/r1/" + f.process() + "/1"
		f.kill()
		holds := func() bool {
			listed, err := f.store.List(t.Context(), follow.Streams)
			must.NoError(t, err)
			return slices.ContainsFunc(listed.Records, func(r mirror.Record) bool { return r.Key == earlier })
		}
		f.builds.setConfig(nil)
		f.start("r1")
		time.Sleep(5 * time.Second)
		must.True(t, holds(), must.Sprint("the routes aren't known"))
		f.longestStream.Store(int64(10 * time.Second))
		f.builds.setConfig(chat)
		time.Sleep(4 * time.Second)
		must.True(t, holds(), must.Sprint("its streams may last"))
		time.Sleep(5 * time.Second)
		must.False(t, holds())
		f.kill()
	})
}
