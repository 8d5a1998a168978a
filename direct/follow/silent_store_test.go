package follow_test

import (
	"context"
	"log/slog"
	"sync/atomic"
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

// silentStore is a store that answers no read while silent is set.
type silentStore struct {
	*directtest.Store
	silent atomic.Bool
}

func (s *silentStore) Read(ctx context.Context, topic follow.Topic, from int64, wait time.Duration) (mirror.Batch, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// Guards against a silent store that counts as answering until a read of it has timed out: the entry
// of an endpoint that restarted meanwhile would count as current.
func TestSilentStoreDoesNotCountAsAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: directtest.NewStore()}
		f := follow.New(follow.Options{
			ReadWait: readWait, Store: store, Decoder: directtest.Decoder{}, Peers: peers{}, Routes: &routing.Store{},
			Endpoints: registry.NewTable(), Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		must.Less(t, 2*readWait, time.Since(f.AnsweredAt()))
		store.silent.Store(true)
		silentSince := time.Now()
		time.Sleep(readWait)
		must.True(t, f.ReadsStore(), must.Sprint("it isn't known yet"))
		must.False(t, f.AnsweredAt().After(silentSince))
		time.Sleep(f.ReadTimeout() - readWait)
		must.False(t, f.ReadsStore())
		must.False(t, f.AnsweredAt().After(silentSince))
		time.Sleep(10 * time.Second)
		must.False(t, f.ReadsStore())
		must.False(t, f.AnsweredAt().After(silentSince))
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}
