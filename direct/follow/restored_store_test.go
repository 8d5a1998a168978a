package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// restoreTime is how long the store is away before it comes back from a copy.
const restoreTime = 2 * time.Second

func (f *fixture) restore(c directtest.Copy) {
	f.store.SetUnreachable(true)
	time.Sleep(restoreTime)
	f.store.Restore(c)
	f.store.SetUnreachable(false)
}

// Guards against ignoring a configuration because its offset had been given out before
// the store was restored from an older copy.
func TestConfigurationAfterRestorationIsApplied(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		older := f.store.Copy()
		f.store.Append(follow.Configuration, "config", config(4))
		f.store.Append(follow.Configuration, "config", config(7))
		time.Sleep(time.Second)
		f.restore(older)
		time.Sleep(time.Second)
		f.store.Append(follow.Configuration, "config", config(7))
		time.Sleep(time.Second)
		f.store.Append(follow.Configuration, "config", config(9))
		time.Sleep(readWait)
		must.Eq(t, 9, f.configVersion())
	})
}

// Guards against missing records of a restored store whose log has grown beyond the
// offsets that the router knew, so that no read is refused.
func TestRecordsWrittenBeforeRestorationIsNoticedAreRead(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		older := f.store.Copy()
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		time.Sleep(time.Second)
		f.store.SetUnreachable(true)
		time.Sleep(restoreTime)
		f.store.Restore(older)
		f.store.Append(follow.Endpoints, "c", endpoint("c"))
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		f.store.Append(follow.Endpoints, "d", endpoint("d"))
		f.store.SetUnreachable(false)
		time.Sleep(2 * time.Second)
		must.Eq(t, 4, f.readyEndpoints())
	})
}

// Guards against going back to the older configuration of a restored store.
func TestOlderConfigurationOfRestoredStoreIsIgnored(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		older := f.store.Copy()
		f.store.Append(follow.Configuration, "config", config(7))
		time.Sleep(time.Second)
		f.restore(older)
		time.Sleep(5 * time.Second)
		must.Eq(t, 7, f.configVersion())
	})
}

// Guards against removing endpoints whose registrations were lost with the restoration
// before they have registered again.
func TestEndpointsMissingInOlderCopyAreKept(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		older := f.store.Copy()
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		time.Sleep(time.Second)
		f.restore(older)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 2, f.readyEndpoints())
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, f.readyEndpoints())
	})
}

// Guards against keeping an endpoint whose registration was lost with the restoration
// and who doesn't register again.
func TestEndpointsThatDoNotReturnAfterRestorationAreRemoved(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		older := f.store.Copy()
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		time.Sleep(time.Second)
		f.restore(older)
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, f.readyEndpoints())
	})
}

// Guards against requests to endpoints that had left or were draining, after the store
// came back from a copy in which they were ready.
func TestEndpointThatLeftBeforeRestorationIsNotUsed(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		for _, id := range []string{"left", "draining", "stays"} {
			f.store.Append(follow.Endpoints, id, endpoint(id))
		}
		time.Sleep(time.Second)
		must.Eq(t, 3, f.readyEndpoints())
		older := f.store.Copy()
		f.store.Append(follow.Endpoints, "left", "")
		f.store.Append(follow.Endpoints, "draining", directtest.Encode(registry.Endpoint{
			ID: "draining", Service: "s", Address: "127.0.0.1:1", State: registry.Draining}))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.readyEndpoints())
		f.restore(older)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, 1, f.readyEndpoints())
		}
		f.store.Append(follow.Endpoints, "left", endpoint("left"))
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 2, f.readyEndpoints(), must.Sprint("an endpoint that registers again is used"))
	})
}

// Guards against a router that waits again, after the first answer of a restored store,
// before it lists the topic: configurations would come late.
func TestRestoredStoreIsListedAtItsFirstAnswer(t *testing.T) {
	// The longest delay between two calls to a store that doesn't answer.
	const longestBackoff = 1500 * time.Millisecond
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		older := f.store.Copy()
		for version := uint64(2); version < 60; version += 2 {
			f.store.Append(follow.Configuration, "config", config(version))
			time.Sleep(2 * time.Second)
			must.Eq(t, version, f.configVersion())
			f.restore(older)
			f.store.Append(follow.Configuration, "config", config(version+1))
			time.Sleep(longestBackoff + 100*time.Millisecond)
			must.Eq(t, version+1, f.configVersion())
		}
	})
}

// Guards against listing the topic again without a pause while each read is refused,
// which uses up the store's rate for the whole fleet.
func TestRefusedReadsAreRepeatedWithBackoff(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		time.Sleep(time.Second)
		before := f.store.Lists()
		f.store.RefuseReads(true)
		time.Sleep(10 * time.Second)
		must.Less(t, 40, f.store.Lists()-before)
		f.store.RefuseReads(false)
	})
}

// Guards against a router whose announcement was lost with the restoration, so that
// routers that start later don't find it.
func TestRouterIsAnnouncedAgainAfterRestoration(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		empty := f.store.Copy()
		go func() { done <- f.follower.Announce(ctx, "r1", "10.0.0.1:7400") }()
		must.NoError(t, f.follower.AwaitAnnounced(ctx))
		time.Sleep(time.Second)
		f.restore(empty)
		time.Sleep(10 * time.Second)
		members, err := f.follower.ListMembers(ctx)
		must.NoError(t, err)
		must.Eq(t, []string{"10.0.0.1:7400"}, members)
		time.Sleep(time.Minute)
		must.Eq(t, 1, f.store.Copy()[follow.Members], must.Sprint("one record in each era"))
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}
