package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// silentPeers are peers that don't respond to requests for configurations.
type silentPeers struct{ peers }

func (p silentPeers) Records(ctx context.Context, topic follow.Topic, known mirror.Position) (mirror.Batch, bool, error) {
	if topic != follow.Configuration {
		return p.peers.Records(ctx, topic, known)
	}
	<-ctx.Done()
	return mirror.Batch{}, false, ctx.Err()
}

// Guards against endpoints that are used after they left because a peer doesn't respond to a request
// for configurations: neither the removal that another peer has nor the end of the grace period waits
// for it.
func TestSilentPeerDoesNotDelayEndpoints(t *testing.T) {
	peerStore := directtest.NewStore()
	runFollowerWith(t, silentPeers{peers{store: peerStore, peersReadStore: true}}, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		peerStore.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.readyEndpoints())
		peerStore.Append(follow.Endpoints, "a", "")
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 0, f.readyEndpoints())
	})
}
