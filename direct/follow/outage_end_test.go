package follow_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// switchingPeers are peers that read the store for this router except while alone is set.
type switchingPeers struct {
	peers
	alone *atomic.Bool
}

func (p switchingPeers) ShouldReadStore() bool  { return p.alone.Load() }
func (p switchingPeers) HasStoreReader() bool   { return !p.alone.Load() }
func (p switchingPeers) ShouldProbeStore() bool { return p.alone.Load() }

// Guards against an outage that doesn't end for a router which tried the store in it and whose peers
// read the store afterwards: for as long as it runs, it would keep each endpoint that left for the
// grace period.
func TestOutageEndsForRouterThatDoesNotReadTheStore(t *testing.T) {
	peerStore := directtest.NewStore()
	alone := &atomic.Bool{}
	runFollowerWith(t, switchingPeers{peers{store: peerStore}, alone}, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		peerStore.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetUnreachable(true)
		alone.Store(true)
		time.Sleep(5 * time.Second)
		must.Eq(t, registry.RecoveryTime, f.endpoints.EntriesDue(time.Now()))
		alone.Store(false)
		time.Sleep(registry.RecoveryTime + 2*time.Second)
		must.Eq(t, 0, f.endpoints.EntriesDue(time.Now()))
		peerStore.Append(follow.Endpoints, "a", "")
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 0, f.readyEndpoints())
	})
}
