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
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// peers implements follow.Peers with the records of store, or with none if it
// is nil.
type peers struct {
	store *directtest.Store
	// peersReadStore is set if peers read the store, so that this router should not.
	peersReadStore bool
}

func (p peers) Records(ctx context.Context, topic follow.Topic, known mirror.Position) (mirror.Batch, bool, error) {
	if p.store == nil {
		return mirror.Batch{}, false, nil
	}
	if listed, err := p.store.List(ctx, topic); err != nil || listed.End.Era != known.Era {
		return listed, err == nil, err
	}
	batch, err := p.store.Read(ctx, topic, known.Next, 0)
	return batch, err == nil, err
}

func (p peers) ShouldReadStore() bool  { return !p.peersReadStore }
func (p peers) HasStoreReader() bool   { return p.peersReadStore }
func (p peers) ShouldProbeStore() bool { return !p.peersReadStore }

const readWait = 1200 * time.Millisecond

type fixture struct {
	store     *directtest.Store
	routes    *routing.Store
	endpoints *registry.Table
	follower  *follow.Follower

	evacuations *evacuation.Table
}

// runFollower runs test with a running follower in a synctest bubble. The peers
// have the records of peerStore and don't read the store.
func runFollower(t *testing.T, peerStore *directtest.Store, test func(f *fixture)) {
	runFollowerWithPeers(t, peerStore, false, test)
}

func runFollowerWithPeers(t *testing.T, peerStore *directtest.Store, peersReadStore bool, test func(f *fixture)) {
	runFollowerWith(t, peers{store: peerStore, peersReadStore: peersReadStore}, test)
}

func runFollowerWith(t *testing.T, p follow.Peers, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{store: directtest.NewStore(), routes: &routing.Store{}, endpoints: registry.NewTable(), evacuations: evacuation.NewTable()}
		f.follower = follow.New(follow.Options{
			ReadWait: readWait,
			Store:    f.store, Decoder: directtest.Decoder{}, Peers: p, Routes: f.routes,
			Endpoints: f.endpoints, Evacuations: f.evacuations, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
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

func (f *fixture) configVersion() uint64 {
	if table := f.routes.Current(); table != nil {
		return table.Version
	}
	return 0
}

func config(version uint64) string { return directtest.Encode(routing.Config{Version: version}) }

func endpoint(id string) string {
	return directtest.Encode(registry.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"})
}

func (f *fixture) readyEndpoints() int { return len(f.endpoints.Ready("s")) }

// Guards against an outage whose end is only detected with the next record. A
// removal long after the recovery would then be handled like an entry that
// expired during the outage, and the endpoint would be kept for the grace period.
func TestStoreRecoveryIsDetectedWithoutNewRecords(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.readyEndpoints())
		f.store.SetUnreachable(true)
		time.Sleep(5 * time.Second)
		f.store.SetUnreachable(false)
		time.Sleep(registry.RecoveryTime + 2*time.Second)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 0, f.readyEndpoints())
	})
}

// Guards against the removal of endpoints whose entries expire during an outage
// of the store and are registered again after it.
func TestEndpointsExpiredDuringOutageAreKept(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetUnreachable(true)
		time.Sleep(5 * time.Second)
		f.store.Append(follow.Endpoints, "a", "")
		f.store.SetUnreachable(false)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 1, f.readyEndpoints())
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, f.readyEndpoints())
	})
}

// Guards against a router that can't reach the store and misses a configuration
// and endpoints that its peers have.
func TestPeersSupplyRecordsWhileStoreIsUnreachable(t *testing.T) {
	peerStore := directtest.NewStore()
	runFollower(t, peerStore, func(f *fixture) {
		f.store.SetUnreachable(true)
		time.Sleep(time.Second)
		peerStore.Append(follow.Configuration, "config", config(3))
		peerStore.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 3, f.configVersion())
		must.Eq(t, 1, f.readyEndpoints())
		must.True(t, f.follower.Ready())
	})
}

// Guards against applying an older configuration from the store after a newer
// one from a peer.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	peerStore := directtest.NewStore()
	runFollower(t, peerStore, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(5))
		peerStore.Append(follow.Configuration, "config", config(5))
		peerStore.Append(follow.Configuration, "config", config(9))
		time.Sleep(time.Second)
		must.Eq(t, 9, f.configVersion())
		f.store.Append(follow.Configuration, "config", config(7))
		time.Sleep(time.Second)
		must.Eq(t, 9, f.configVersion())
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
		must.Eq(t, 1, f.readyEndpoints())
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
		must.Eq(t, 1, f.readyEndpoints())
		must.Eq(t, 2, f.configVersion())
	})
}

// Guards against an endpoint that is given up, or is used although it drains, because another
// writer put a record that names no endpoint under its identifier.
func TestInvalidEntryKeepsWhatWasKnown(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		draining := directtest.Encode(registry.Endpoint{ID: "b", Service: "s", Address: "127.0.0.1:2", State: registry.Draining})
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		f.store.Append(follow.Endpoints, "b", draining)
		time.Sleep(time.Second)
		f.store.Append(follow.Endpoints, "a", "\xff{")
		f.store.Append(follow.Endpoints, "b", "\xff{")
		time.Sleep(time.Second)
		must.Eq(t, 1, f.readyEndpoints())
		known, ok := f.endpoints.Lookup("b")
		must.True(t, ok)
		must.Eq(t, registry.Draining, known.State)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(time.Second)
		must.Eq(t, 0, f.readyEndpoints(), must.Sprint("the endpoint has left"))
	})
}

// Guards against missing a record if the store does not end waiting reads when
// the record is written.
func TestMissedNotificationIsReadAfterReadWait(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetDropNotifications(true)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(readWait + 100*time.Millisecond)
		must.Eq(t, 0, f.readyEndpoints())
	})
}

// Guards against reads of the store by every router of a large fleet, since reads
// are billed, and against records that reach a router late if only its peers read
// the store.
func TestNonReaderFetchesRecordsFromPeersOnly(t *testing.T) {
	peerStore := directtest.NewStore()
	runFollowerWithPeers(t, peerStore, true, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		peerStore.Append(follow.Configuration, "config", config(1))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.configVersion())
		peerStore.Append(follow.Configuration, "config", config(2))
		peerStore.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 2, f.configVersion())
		must.Eq(t, 1, f.readyEndpoints())
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
