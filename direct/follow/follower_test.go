package follow_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// peers implements follow.Peers with the records of store, or with none if it
// is nil.
type peers struct {
	store *directtest.Store
	// peersReadStore is set if this router should leave reading the store to peers.
	peersReadStore bool
}

func (p peers) Records(ctx context.Context, topic follow.Topic, next int64) ([]mirror.Record, int64, error) {
	if p.store == nil {
		return nil, next, nil
	}
	return p.store.Read(ctx, topic, next, 0)
}

func (p peers) ShouldReadStore() bool { return !p.peersReadStore }

const readWait = 1200 * time.Millisecond

type fixture struct {
	store     *directtest.Store
	routes    *routing.Store
	endpoints *registry.Table
	follower  *follow.Follower
}

// runFollower runs test with a running follower in a synctest bubble. others is
// the store from which the peers have their records.
func runFollower(t *testing.T, others *directtest.Store, test func(f *fixture)) {
	runFollowerWith(t, others, false, test)
}

func runFollowerWith(t *testing.T, others *directtest.Store, peersReadStore bool, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{store: directtest.NewStore(), routes: &routing.Store{}, endpoints: registry.NewTable()}
		f.follower = follow.New(follow.Options{
			ReadWait: readWait,
			Store:    f.store, Decoder: directtest.Decoder{}, Peers: peers{store: others, peersReadStore: peersReadStore}, Routes: f.routes,
			Endpoints: f.endpoints, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.follower.Run(ctx) }()
		test(f)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("follower ended with %v", err)
		}
	})
}

func (f *fixture) version() uint64 {
	if table := f.routes.Current(); table != nil {
		return table.Version
	}
	return 0
}

func config(version uint64) string { return directtest.Encode(routing.Config{Version: version}) }

func endpoint(id string) string {
	return directtest.Encode(registry.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"})
}

func (f *fixture) ready() int { return len(f.endpoints.Ready("s")) }

// Guards against an outage whose end is only detected with the next record. A
// removal long after the recovery would then count as an entry that lapsed in
// the outage, and the endpoint would be kept for the grace period.
func TestStoreRecoveryIsDetectedWithoutNewRecords(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.ready())
		f.store.SetUnreachable(true)
		time.Sleep(5 * time.Second)
		f.store.SetUnreachable(false)
		time.Sleep(registry.RecoveryTime + 2*time.Second)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 0, f.ready())
	})
}

// Guards against the removal of endpoints whose entries lapse during an outage
// of the store and are registered again after it.
func TestEndpointsLapsedDuringOutageAreKept(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetUnreachable(true)
		time.Sleep(5 * time.Second)
		f.store.Append(follow.Endpoints, "a", "")
		f.store.SetUnreachable(false)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 1, f.ready())
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, f.ready())
	})
}

// Guards against a router that can't reach the store and misses a configuration
// and endpoints that its peers have.
func TestPeersSupplyRecordsWhileStoreIsUnreachable(t *testing.T) {
	others := directtest.NewStore()
	runFollower(t, others, func(f *fixture) {
		f.store.SetUnreachable(true)
		time.Sleep(time.Second)
		others.Append(follow.Configuration, "config", config(3))
		others.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 3, f.version())
		must.Eq(t, 1, f.ready())
		must.True(t, f.follower.Ready())
	})
}

// Guards against applying an older configuration from the store after a newer
// one from a peer.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	others := directtest.NewStore()
	runFollower(t, others, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(5))
		others.Append(follow.Configuration, "config", config(5))
		others.Append(follow.Configuration, "config", config(9))
		time.Sleep(time.Second)
		must.Eq(t, 9, f.version())
		f.store.Append(follow.Configuration, "config", config(7))
		time.Sleep(time.Second)
		must.Eq(t, 9, f.version())
	})
}

// Guards against keeping an endpoint whose removal was compacted away before
// this router read it.
func TestCompactedTopicIsListedAgain(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		time.Sleep(time.Second)
		f.store.SetUnreachable(true)
		time.Sleep(500 * time.Millisecond)
		f.store.Append(follow.Endpoints, "a", "")
		f.store.Compact(follow.Endpoints)
		f.store.SetUnreachable(false)
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, f.ready())
		_, ok := f.endpoints.Lookup("b")
		must.True(t, ok)
	})
}

// Guards against an invalid record that prevents later ones from being applied,
// registers an endpoint or replaces the configuration.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "bad", "\xff{")
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		f.store.Append(follow.Configuration, "config", config(2))
		time.Sleep(time.Second)
		f.store.Append(follow.Configuration, "config", `{"Version":3,"Routes":[{"Name":"r"}]}`)
		time.Sleep(time.Second)
		must.Eq(t, 1, f.ready())
		must.Eq(t, 2, f.version())
	})
}

// Guards against missing a record for which the store does not end waiting
// reads.
func TestMissedNotificationIsReadAfterReadWait(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetDropNotifications(true)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(readWait + 100*time.Millisecond)
		must.Eq(t, 0, f.ready())
	})
}

// Guards against billed reads by every router of a large fleet, and against
// records that reach routers late if they don't read the store.
func TestNonReaderFetchesRecordsFromPeersOnly(t *testing.T) {
	others := directtest.NewStore()
	runFollowerWith(t, others, true, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		others.Append(follow.Configuration, "config", config(1))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.version())
		others.Append(follow.Configuration, "config", config(2))
		others.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 2, f.version())
		must.Eq(t, 1, f.ready())
		must.Eq(t, 0, f.store.Reads())
		must.False(t, f.follower.ReadsStore())
	})
}

// Guards against frequent polling: calls to the store are billed.
func TestIdleStoreIsNotPolled(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		time.Sleep(time.Minute)
		must.Less(t, 120, f.store.Reads())
	})
}
