package follow_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// slowPeers are peers whose records can't be fetched in time while late is set.
type slowPeers struct {
	peers
	late *atomic.Bool
}

const fetchTimeout = time.Second

func (p slowPeers) Records(ctx context.Context, topic follow.Topic, known mirror.Position) (mirror.Batch, bool, error) {
	if p.late.Load() {
		time.Sleep(fetchTimeout)
		return mirror.Batch{}, false, errors.New("timeout")
	}
	return p.peers.Records(ctx, topic, known)
}

// Guards against requests to endpoints that have left, at a router that knows that its peers have
// newer entries and doesn't get them, and against one that stops sending in an outage of the store,
// in which no router has newer ones.
func TestRouterThatCannotFetchEntriesIsOutdated(t *testing.T) {
	peerStore := directtest.NewStore()
	late := &atomic.Bool{}
	runFollowerWith(t, slowPeers{peers{store: peerStore, peersReadStore: true}, late}, func(f *fixture) {
		f.endpoints.SetMaxAge(readWait)
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		peerStore.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.readyEndpoints())
		for range 100 {
			must.False(t, f.endpoints.Outdated(time.Now()))
			time.Sleep(37 * time.Millisecond)
		}
		late.Store(true)
		peerStore.Append(follow.Endpoints, "a", "")
		time.Sleep(readWait + peerFetchInterval)
		must.Eq(t, 1, f.readyEndpoints())
		must.True(t, f.endpoints.Outdated(time.Now()))
		late.Store(false)
		time.Sleep(fetchTimeout + 2*peerFetchInterval)
		must.False(t, f.endpoints.Outdated(time.Now()))
		must.Eq(t, 0, f.readyEndpoints())
	})
	runFollower(t, nil, func(f *fixture) {
		f.endpoints.SetMaxAge(readWait)
		time.Sleep(time.Second)
		f.store.SetUnreachable(true)
		for range 100 {
			must.False(t, f.endpoints.Outdated(time.Now()))
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// peerFetchInterval is the interval at which a router fetches from peers.
const peerFetchInterval = 200 * time.Millisecond
