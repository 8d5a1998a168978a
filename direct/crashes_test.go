package direct

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

var crashingPrompt = prompt.Parse("5c:800,dead:10,e4:250", "", "")

// readingPeer is a peer that reads the store.
type readingPeer struct{ follow.Peers }

func (readingPeer) HasStoreReader() bool { return true }

// startCrashKeeper starts the part of a router that keeps crashes in the store.
func startCrashKeeper(ctx context.Context, store follow.Store) (*process, *registry.Table) {
	endpoints := registry.NewTable()
	p := &process{
		log:        slog.New(slog.DiscardHandler),
		dispatcher: dispatch.New("z", endpoints, placement.DefaultPolicy(), retry.DefaultLimits()),
		follower:   follow.New(follow.Options{Store: store, Peers: readingPeer{}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}),
	}
	go func() { _ = p.keepCrashes(ctx) }()
	return p, endpoints
}

func waitUntilQuarantined(t *testing.T, p *process, crashing prompt.Cost) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return p.dispatcher.Quarantine(time.Now(), crashing, 0) != nil }),
		wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// crashEngines lets two engines crash with a prompt at router p and waits until it is quarantined.
func crashEngines(t *testing.T, p *process, endpoints *registry.Table, crashing prompt.Cost) {
	t.Helper()
	for i := range 2 {
		id := fmt.Sprintf("engine-%d", i)
		endpoints.Put(registry.Endpoint{ID: id, Service: "engines", Zone: "z", Slots: 8})
		now := time.Now().Add(time.Duration(i) * time.Second)
		a, refusal := p.dispatcher.PlaceEngine(now, &dispatch.Request{Service: "engines", Cost: crashing, Target: time.Minute})
		must.Nil(t, refusal)
		a.Interrupted(now, true)
		a.End(now, endpointload.Failed)
		p.dispatcher.RecordConnectFailure(now, a.Endpoint.ID)
	}
	waitUntilQuarantined(t, p, crashing)
}

// Guards against a fleet that forgets the parts that crash engines when all routers stop
// at the same time: each restart would cost several engines.
func TestCrashesSurviveTheRestartOfAllRouters(t *testing.T) {
	store := directtest.NewStore()
	ctx, stop := context.WithCancel(t.Context())
	first, endpoints := startCrashKeeper(ctx, store)
	crashEngines(t, first, endpoints, crashingPrompt)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			saved, _, err := first.follower.LoadCrashes(ctx)
			return err == nil && saved != nil
		}), wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
	stop()

	store.SetUnreachable(true)
	second, _ := startCrashKeeper(t.Context(), store)
	must.Nil(t, second.dispatcher.Quarantine(time.Now(), crashingPrompt, 0))
	store.SetUnreachable(false)
	waitUntilQuarantined(t, second, crashingPrompt)
}

// Guards against saved crashes that were lost when the store was restored from an older
// copy and are missing at the next start of all routers.
func TestCrashesAreSavedAgainAfterRestoration(t *testing.T) {
	store := directtest.NewStore()
	empty := store.Copy()
	p, endpoints := startCrashKeeper(t.Context(), store)
	crashEngines(t, p, endpoints, crashingPrompt)
	isSaved := wait.BoolFunc(func() bool {
		saved, _, err := p.follower.LoadCrashes(t.Context())
		return err == nil && saved != nil
	})
	must.Wait(t, wait.InitialSuccess(isSaved, wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
	store.Restore(empty)
	batch, err := store.List(t.Context(), follow.Endpoints)
	must.NoError(t, err)
	must.NoError(t, p.follower.Apply(follow.Endpoints, batch))
	must.Wait(t, wait.InitialSuccess(isSaved, wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
}

// lateStore executes a router's writes only when they are released, without an answer. Conditions are
// checked then.
type lateStore struct {
	*directtest.Store
	sent    chan struct{}
	release chan struct{}
	done    chan struct{}
}

func (s *lateStore) execute(ctx context.Context, write func()) (int64, error) {
	go func() {
		<-s.release
		write()
		close(s.done)
	}()
	close(s.sent)
	<-ctx.Done()
	return 0, ctx.Err()
}

func (s *lateStore) Write(ctx context.Context, topic follow.Topic, key string, value []byte, removals ...string) (int64, error) {
	return s.execute(ctx, func() { _, _ = s.Store.Write(context.Background(), topic, key, value, removals...) })
}

func (s *lateStore) WriteAt(ctx context.Context, topic follow.Topic, key string, value []byte, at int64) (int64, error) {
	return s.execute(ctx, func() { _, _ = s.Store.WriteAt(context.Background(), topic, key, value, at) })
}

// Guards against a quarantine that is lost at a restart of all routers because another router's record replaced
// the one with its crashes: a record that was written at the same time, or one that the store executed late.
func TestSavedCrashesOfAllRoutersAreKept(t *testing.T) {
	otherPrompt := prompt.Parse("77:800,bad:10,e5:250", "", "")
	store := directtest.NewStore()
	ctx, stop := context.WithCancel(t.Context())
	late := &lateStore{Store: store, sent: make(chan struct{}), release: make(chan struct{}), done: make(chan struct{})}
	killedCtx, kill := context.WithCancel(ctx)
	killed, endpoints := startCrashKeeper(killedCtx, late)
	crashEngines(t, killed, endpoints, crashingPrompt)
	<-late.sent
	kill()
	for _, crashing := range []prompt.Cost{crashingPrompt, otherPrompt} {
		p, endpoints := startCrashKeeper(ctx, store)
		before := store.Len(follow.Crashes)
		crashEngines(t, p, endpoints, crashing)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return store.Len(follow.Crashes) > before }),
			wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
	}
	close(late.release)
	<-late.done
	stop()

	next, _ := startCrashKeeper(t.Context(), store)
	waitUntilQuarantined(t, next, crashingPrompt)
	waitUntilQuarantined(t, next, otherPrompt)
}

// Guards against saved crashes that get younger or older with each restart, and against
// ones from a host whose clock is ahead.
func TestSavedCrashesKeepTheirAge(t *testing.T) {
	now := time.Now()
	facts := quarantine.Facts{Interrupted: []quarantine.Interrupted{{Crash: 1, At: now.Add(-time.Minute), Parts: []uint64{1}}}}
	saved := encodeSaved(now, facts)
	for later, age := range map[time.Duration]time.Duration{time.Hour: time.Hour + time.Minute, -5 * time.Second: time.Minute} {
		loaded, err := decodeSaved(now.Add(later), saved)
		must.NoError(t, err)
		got := now.Add(later).Sub(loaded.Interrupted[0].At)
		must.Between(t, age-time.Second, got, age+time.Second)
	}
	for n := range saved {
		_, err := decodeSaved(now, saved[:n])
		must.Error(t, err)
	}
}

// Guards against saved crashes of another writer that end the router, or that are of a time to come
// and are never forgotten.
func TestInvalidSavedCrashesAreRejected(t *testing.T) {
	now := time.Now()
	facts := quarantine.Facts{Interrupted: []quarantine.Interrupted{{Crash: 1, At: now, Parts: crashingPrompt.SharedIDs()}}}
	good := encodeSaved(now, facts)
	_, err := decodeSaved(now, good)
	must.NoError(t, err)
	for name, saved := range map[string][]byte{"time": good[:7], "format": append(good[:8:8], 0), "end": append(good[:len(good):len(good)], 1), "instance": good[:9]} {
		_, err := decodeSaved(now, saved)
		must.Error(t, err, must.Sprint(name))
		must.StrContains(t, err.Error(), name)
	}
	for _, savedAt := range []uint64{0, math.MaxInt64, 1 << 63, math.MaxUint64} {
		facts, err := decodeSaved(now, append(binary.BigEndian.AppendUint64(nil, savedAt), good[8:]...))
		must.NoError(t, err)
		must.False(t, facts.Interrupted[0].At.After(now))
	}
}

// FuzzDecodeSaved guards against the same for any bytes.
func FuzzDecodeSaved(f *testing.F) {
	now := time.Now()
	f.Add(encodeSaved(now, quarantine.Facts{Served: []quarantine.ServedPart{{Part: 1, At: now}}}))
	f.Fuzz(func(t *testing.T, saved []byte) {
		facts, err := decodeSaved(now, saved)
		if err != nil {
			return
		}
		for _, i := range facts.Interrupted {
			must.False(t, i.At.After(now))
		}
		for _, s := range facts.Served {
			must.False(t, s.At.After(now))
		}
		table := quarantine.NewTable()
		table.Merge(facts)
		table.Expire(now)
	})
}
