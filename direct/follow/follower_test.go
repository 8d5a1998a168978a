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

// peers stands for the other routers; they know what store holds.
type peers struct {
	store *directtest.Store
	// relied is set if this router leaves the reading to them.
	relied bool
}

func (p peers) Records(ctx context.Context, topic follow.Topic, next int64) ([]mirror.Record, int64, error) {
	if p.store == nil {
		return nil, next, nil
	}
	return p.store.Read(ctx, topic, next, 0)
}

func (p peers) ShouldReadStore() bool { return !p.relied }

const readWait = 1200 * time.Millisecond

type fixture struct {
	store     *directtest.Store
	routes    *routing.Store
	endpoints *registry.Table
	follower  *follow.Follower
}

// play runs a follower in a bubble of fake time.
func play(t *testing.T, others *directtest.Store, test func(f *fixture)) {
	playAs(t, others, false, test)
}

func playAs(t *testing.T, others *directtest.Store, relied bool, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{store: directtest.NewStore(), routes: &routing.Store{}, endpoints: registry.NewTable()}
		f.follower = follow.New(follow.Options{
			ReadWait: readWait,
			Store:    f.store, Decoder: directtest.Decoder{}, Peers: peers{store: others, relied: relied}, Routes: f.routes,
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

// Guards against a removal that falls into the grace for lapsed entries long
// after the store is back, because the outage's end was noticed late.
func TestStoreRecoveryIsDetectedWithoutNewRecords(t *testing.T) {
	play(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 1, f.ready())
		f.store.SetAway(true)
		time.Sleep(5 * time.Second)
		f.store.SetAway(false)
		time.Sleep(registry.RecoveryTime + 2*time.Second)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 0, f.ready())
	})
}

// Guards against the loss of endpoints whose entries lapsed during an outage
// and came back.
func TestEndpointsLapsedDuringOutageAreKept(t *testing.T) {
	play(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetAway(true)
		time.Sleep(5 * time.Second)
		f.store.Append(follow.Endpoints, "a", "")
		f.store.SetAway(false)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 1, f.ready())
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, f.ready())
	})
}

// Guards against a router that the store refuses and that misses a new
// configuration and new endpoints which its peers have.
func TestPeersSupplyRecordsWhileStoreIsUnreachable(t *testing.T) {
	others := directtest.NewStore()
	play(t, others, func(f *fixture) {
		f.store.SetAway(true)
		time.Sleep(time.Second)
		others.Append(follow.Configuration, "config", config(3))
		others.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		must.Eq(t, 3, f.version())
		must.Eq(t, 1, f.ready())
		must.True(t, f.follower.Ready())
	})
}

// Guards against an older configuration from the store after a newer one from
// a peer.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	others := directtest.NewStore()
	play(t, others, func(f *fixture) {
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

// Guards against endpoints that stay after they left while the store dropped
// its history.
func TestCompactedTopicIsListedAgain(t *testing.T) {
	play(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		f.store.Append(follow.Endpoints, "b", endpoint("b"))
		time.Sleep(time.Second)
		f.store.SetAway(true)
		time.Sleep(500 * time.Millisecond)
		f.store.Append(follow.Endpoints, "a", "")
		f.store.Forget(follow.Endpoints)
		f.store.SetAway(false)
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, f.ready())
		_, ok := f.endpoints.Lookup("b")
		must.True(t, ok)
	})
}

// Guards against a bad record that stops the others or names an endpoint.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	play(t, nil, func(f *fixture) {
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

// Guards against records that the store took and did not announce to the reads
// that wait for them.
func TestMissedNotificationIsReadAfterReadWait(t *testing.T) {
	play(t, nil, func(f *fixture) {
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(time.Second)
		f.store.SetDeaf(true)
		f.store.Append(follow.Endpoints, "a", "")
		time.Sleep(readWait + 100*time.Millisecond)
		must.Eq(t, 0, f.ready())
	})
}

// Guards against a large fleet in which every router pays for its own reads,
// and against records that come late to those that don't read.
func TestNonReaderFetchesRecordsFromPeersOnly(t *testing.T) {
	others := directtest.NewStore()
	playAs(t, others, true, func(f *fixture) {
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

// Guards against polling: calls to the store are paid for.
func TestIdleStoreIsNotPolled(t *testing.T) {
	play(t, nil, func(f *fixture) {
		time.Sleep(time.Minute)
		must.Less(t, 120, f.store.Reads())
	})
}
