package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/direct"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// arrivals records when an endpoint received requests.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) respond(c net.Conn, call *directtest.Call) bool {
	a.mu.Lock()
	a.times = append(a.times, time.Now())
	a.mu.Unlock()
	directtest.Respond(c, call, http.StatusOK, "ok")
	return true
}

// most returns the largest number of requests within a time.
func (a *arrivals) most(d time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		for at.Sub(a.times[first]) > d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a fleet of processes in which entries, configuration, settings or the view of the fleet
// don't reach the decision: the cold endpoint would get all requests, or none.
func TestFleetSendsAtTheRateOfAColdEndpoint(t *testing.T) {
	const rate, routers = 10, 3
	store := directtest.NewStore()
	store.Append(follow.Configuration, "config", directtest.Encode(routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: liveService, ColdStart: time.Minute, ColdRate: rate}},
		Routes: []routing.Route{{
			Name: "order", Host: "shop.example", PathPrefix: "/order/", Semantics: routing.NonIdempotent, Attempts: 1, Public: true,
			Timeout: 10 * time.Second, LatencyTarget: time.Second, Destinations: []routing.Destination{{Service: liveService, Weight: 1}},
		}},
		Limits: routing.Limits{BodyBytes: 4 << 20},
	}))
	var got arrivals
	e := directtest.NewEndpoint(t, got.respond)
	store.Append(follow.Endpoints, "e1", directtest.Encode(registry.Endpoint{
		ID: "e1", Service: liveService, Address: e.Address, Zone: "z", Slots: 1000, State: registry.Ready,
		Started: time.Now(), ColdUntil: time.Now().Add(time.Minute),
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i := range routers {
		var log output
		group.Go(func() {
			// It ends with the test.
			_ = direct.Run(ctx, direct.Options{
				Settings: direct.Settings{
					Name: fmt.Sprint("r", i), Zone: "z", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", FleetListen: "127.0.0.1:0",
					StoreWait: 100 * time.Millisecond, DrainTimeout: time.Second, MemoryBytes: 512 << 20, Descriptors: 4096,
					RetryFraction: 0.2, RetryFloor: 100, FirstStart: true, LogLinesPerSecond: 500, ColdOvershoot: 1.5, ColdSlack: 5,
				},
				Store: store, Decoder: directtest.Decoder{}, Dialect: dialect.Default(), Output: &log, ReadyPath: "/ready",
				Signals: make(chan os.Signal), Reload: func() error { return nil },
			})
		})
		group.Go(func() { callAll(ctx, &log, fmt.Sprint(i)) })
	}
	// 0.7 of the rate in 4 s, and one request more.
	const goal = 0.7*rate*4 + 1
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return got.most(4*time.Second) >= goal }),
		wait.Timeout(60*time.Second), wait.Gap(100*time.Millisecond)))
	must.LessEq(t, 20, got.most(time.Second))
}

// callAll sends requests to the router with this log, one after another, until ctx is done.
func callAll(ctx context.Context, log *output, name string) {
	var c caller
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		if started := log.entries("start"); len(started) > 0 {
			c.address, _ = started[0]["traffic"].(string)
			// Refusals and connections that fail while the router starts or ends are expected.
			_, _ = c.send(fmt.Sprintf("r-%s-%d", name, i), "body")
		}
		time.Sleep(20 * time.Millisecond)
	}
}
