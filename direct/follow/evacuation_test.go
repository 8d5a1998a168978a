package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
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

// forceTime is the routers' own target for an evacuation to be in force.
const forceTime = time.Second

// evacuate writes the record that evacuates a zone to a store.
func evacuate(s *directtest.Store, zone string) {
	s.Append(follow.Configuration, directtest.EvacuationKey(zone), "{}")
}

// takeBack writes the removal of that record.
func takeBack(s *directtest.Store, zone string) {
	s.Append(follow.Configuration, directtest.EvacuationKey(zone), "")
}

func (f *fixture) evacuated() []string {
	zones := []string{}
	for zone := range f.evacuations.Zones() {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// Guards against an evacuation that isn't in force soon, that hides another one or a configuration, or
// that goes on after its removal was read; also of a zone without endpoints and of ten at once.
func TestEvacuationsFollowTheirRecords(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		returned, late := []string{}, []string{}
		f.follower.OnZoneReturned = func(zone string) {
			returned = append(returned, zone)
			if !f.evacuations.Zones().Has(zone) {
				late = append(late, zone)
			}
		}
		f.store.Append(follow.Configuration, "config", config(1))
		time.Sleep(time.Second)
		zones := []string{}
		for i := range 10 {
			zones = append(zones, fmt.Sprintf("zone-%d", i))
			evacuate(f.store, zones[i])
		}
		f.store.Append(follow.Configuration, "config", config(2))
		time.Sleep(forceTime)
		must.Eq(t, zones, f.evacuated())
		must.Eq(t, 2, f.configVersion())
		takeBack(f.store, "zone-4")
		takeBack(f.store, "unknown")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, slices.Delete(zones, 4, 5), f.evacuated())
		must.Eq(t, []string{"zone-4"}, returned)
		must.SliceEmpty(t, late, must.Sprint("the hook comes before the first placement"))
	})
}

// Guards against an invalid record that ends an evacuation, begins one or keeps later records from being
// applied, in one batch with a valid record or after it.
func TestInvalidEvacuationKeepsTheLastValidState(t *testing.T) {
	for _, value := range []string{"[]", "\xff{", " "} {
		runFollower(t, nil, func(f *fixture) {
			f.store.Append(follow.Configuration, "config", config(1))
			evacuate(f.store, "apart")
			time.Sleep(time.Second)
			f.store.SetUnreachable(true)
			time.Sleep(time.Second)
			evacuate(f.store, "together")
			f.store.Append(follow.Configuration, directtest.EvacuationKey("together"), value)
			f.store.SetUnreachable(false)
			time.Sleep(2 * time.Second)
			f.store.Append(follow.Configuration, directtest.EvacuationKey("apart"), value)
			f.store.Append(follow.Configuration, directtest.EvacuationKey("never"), value)
			f.store.Append(follow.Configuration, directtest.EvacuationKey(""), "{}")
			f.store.Append(follow.Configuration, directtest.EvacuationKey(strings.Repeat("z", 255)), value)
			evacuate(f.store, "next")
			f.store.Append(follow.Configuration, "config", config(2))
			time.Sleep(forceTime)
			must.Eq(t, []string{"apart", "next", "together"}, f.evacuated())
			must.Eq(t, 2, f.configVersion())
			// A listing holds the invalid records only.
			f.store.Compact(follow.Configuration)
			time.Sleep(5 * time.Second)
			must.Eq(t, []string{"apart", "next", "together"}, f.evacuated())
			for _, zone := range []string{"apart", "next", "together", "never"} {
				takeBack(f.store, zone)
			}
			time.Sleep(forceTime)
			must.Eq(t, []string{}, f.evacuated())
		})
	}
}

// Guards against peers that lose an evacuation to an invalid record which this router got: they must get
// the last valid value with its offset.
func TestMirrorKeepsTheLastValidEvacuation(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		evacuate(f.store, "a")
		time.Sleep(time.Second)
		f.store.Append(follow.Configuration, directtest.EvacuationKey("a"), "[]")
		f.store.Append(follow.Configuration, directtest.EvacuationKey("b"), "[]")
		time.Sleep(time.Second)
		known, ok := f.follower.Mirror(follow.Configuration).Lookup(directtest.EvacuationKey("a"))
		must.True(t, ok)
		must.Eq(t, mirror.Record{Key: directtest.EvacuationKey("a"), Value: []byte("{}"), Offset: 1}, known)
		_, ok = f.follower.Mirror(follow.Configuration).Lookup(directtest.EvacuationKey("b"))
		must.True(t, ok, must.Sprint("a key that is missing would count as removed at a peer that evacuated the zone"))
	})
}

// Guards against an evacuation that ends with an outage of the store, and against one that goes on after
// an outage in which it was taken back, also if its removal was compacted away.
func TestEvacuationOutlivesAnOutage(t *testing.T) {
	for _, compact := range []bool{false, true} {
		runFollower(t, nil, func(f *fixture) {
			f.store.Append(follow.Configuration, "config", config(1))
			evacuate(f.store, "kept")
			evacuate(f.store, "taken back")
			time.Sleep(time.Second)
			f.store.SetUnreachable(true)
			takeBack(f.store, "taken back")
			evacuate(f.store, "begun")
			if compact {
				f.store.Compact(follow.Configuration)
			}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				must.Eq(t, []string{"kept", "taken back"}, f.evacuated())
			}
			f.store.SetUnreachable(false)
			time.Sleep(2 * time.Second)
			must.Eq(t, []string{"begun", "kept"}, f.evacuated())
		})
	}
}

// Guards against a router that can't reach the store and misses evacuations, or their ends, that its
// peers know.
func TestPeersSupplyEvacuations(t *testing.T) {
	peerStore := directtest.NewStore()
	runFollower(t, peerStore, func(f *fixture) {
		f.store.SetUnreachable(true)
		peerStore.Append(follow.Configuration, "config", config(3))
		evacuate(peerStore, "a")
		time.Sleep(forceTime)
		must.Eq(t, []string{"a"}, f.evacuated())
		evacuate(peerStore, "b")
		takeBack(peerStore, "a")
		time.Sleep(forceTime)
		must.Eq(t, []string{"b"}, f.evacuated())
	})
}

// Guards against an evacuation that ends because the store came back from a copy without its record.
func TestEvacuationMissingInOlderCopyIsKept(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		older := f.store.Copy()
		evacuate(f.store, "again")
		evacuate(f.store, "lost")
		time.Sleep(time.Second)
		f.restore(older)
		// The operator writes its records again within 2 s.
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, []string{"again", "lost"}, f.evacuated())
		}
		evacuate(f.store, "again")
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"again"}, f.evacuated(), must.Sprint("the other record was not written again"))
		takeBack(f.store, "again")
		time.Sleep(forceTime)
		must.Eq(t, []string{}, f.evacuated())
	})
}

// Guards against an evacuation that can't be taken back while the store may lack its record, or whose
// record is not applied because the restored topic is empty.
func TestRemovalAfterARestorationTakesEffectAtOnce(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		empty := f.store.Copy()
		evacuate(f.store, "removed")
		evacuate(f.store, "kept")
		time.Sleep(time.Second)
		f.restore(empty)
		time.Sleep(1200 * time.Millisecond)
		must.Eq(t, []string{"kept", "removed"}, f.evacuated())
		evacuate(f.store, "kept")
		takeBack(f.store, "removed")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, []string{"kept"}, f.evacuated())
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"kept"}, f.evacuated())
	})
}

// Guards against an evacuation of the older copy that is ignored, or can't be taken back again: while its
// record exists in the store, it holds.
func TestEvacuationOfAnOlderCopyHoldsUntilItsRemoval(t *testing.T) {
	runFollower(t, nil, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		evacuate(f.store, "a")
		older := f.store.Copy()
		time.Sleep(time.Second)
		takeBack(f.store, "a")
		time.Sleep(time.Second)
		must.Eq(t, []string{}, f.evacuated())
		f.restore(older)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, []string{"a"}, f.evacuated())
		takeBack(f.store, "a")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, []string{}, f.evacuated())
	})
}

// newFollower returns a follower that isn't running, for batches in a given order, and its fixture.
func newFollower(t *testing.T, handler slog.Handler) *fixture {
	t.Helper()
	f := &fixture{store: directtest.NewStore(), routes: &routing.Store{}, endpoints: registry.NewTable(), evacuations: evacuation.NewTable()}
	f.follower = follow.New(follow.Options{
		ReadWait: readWait, Store: f.store, Decoder: directtest.Decoder{}, Peers: peers{}, Routes: f.routes,
		Endpoints: f.endpoints, Evacuations: f.evacuations, Log: slog.New(handler), Metrics: metrics.NewRegistry(),
	})
	return f
}

// configWatch calls inForce when the log says that a configuration is in force.
type configWatch struct {
	slog.Handler
	inForce func()
}

func (c configWatch) Enabled(context.Context, slog.Level) bool { return true }
func (c configWatch) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "configuration in force" {
		c.inForce()
	}
	return nil
}

// Guards against a router that is ready, with a configuration, before it applies the evacuations of the
// same listing.
func TestEvacuationsAreInForceBeforeTheConfiguration(t *testing.T) {
	var f *fixture
	var evacuated []string
	f = newFollower(t, configWatch{Handler: slog.DiscardHandler, inForce: func() { evacuated = f.evacuated() }})
	f.store.Append(follow.Configuration, "config", config(1))
	evacuate(f.store, "a")
	evacuate(f.store, "b")
	batch, err := f.store.List(t.Context(), follow.Configuration)
	must.NoError(t, err)
	must.NoError(t, f.follower.Apply(follow.Configuration, batch))
	must.Eq(t, []string{"a", "b"}, evacuated)
}

// restoredPeers implements follow.Peers with batches that are handed out one after another.
type restoredPeers struct {
	peers
	batches chan mirror.Batch
}

func (p restoredPeers) Records(_ context.Context, topic follow.Topic, _ mirror.Position) (mirror.Batch, bool, error) {
	if topic != follow.Configuration {
		return mirror.Batch{}, false, nil
	}
	select {
	case batch := <-p.batches:
		return batch, true, nil
	default:
		return mirror.Batch{}, false, nil
	}
}

// Guards against an evacuation that ends early because of a peer: its tombstone may stand for a record
// that the restored store lacks, with another offset than the one that this router derived.
func TestTombstoneOfAPeerIsNoRemovalAfterARestoration(t *testing.T) {
	p := restoredPeers{peers: peers{peersReadStore: true}, batches: make(chan mirror.Batch, 3)}
	runFollowerWith(t, p, func(f *fixture) {
		f.store.Append(follow.Configuration, "config", config(1))
		evacuate(f.store, "a")
		time.Sleep(time.Second)
		must.Eq(t, []string{"a"}, f.evacuated())
		f.store.SetUnreachable(true)
		time.Sleep(time.Second)
		other := mirror.Record{Key: "config", Value: []byte(config(1)), Offset: 0}
		p.batches <- mirror.Batch{Records: []mirror.Record{other}, End: mirror.Position{Era: 2, Next: 1}, Complete: true}
		derived := mirror.Record{Key: directtest.EvacuationKey("a"), Offset: 1}
		p.batches <- mirror.Batch{Records: []mirror.Record{derived}, End: mirror.Position{Era: 2, Next: 2}}
		for range 24 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, []string{"a"}, f.evacuated())
		}
		time.Sleep(time.Second)
		must.Eq(t, []string{}, f.evacuated())
	})
}
