package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

const (
	// evacuationBound is the platform's bound on an evacuation to be in force. The routers' own target of
	// 1 s is checked in package follow, where time doesn't depend on the load of the host.
	evacuationBound = 5 * time.Second
	// evacuationWait bounds waits for a condition on a busy host.
	evacuationWait = 60 * time.Second
)

// zoneFleet is a fleet of whole routers in this process, in front of endpoints in two zones.
type zoneFleet struct {
	t         *testing.T
	store     *directtest.Store
	endpoints map[string]*directtest.Endpoint
	routers   []*zoneRouter
	// arrivals counts the requests that the endpoints of a zone got.
	arrivals map[string]*atomic.Int64
}

type zoneRouter struct {
	log     output
	address string
	kill    context.CancelFunc
	ended   chan error
}

// newZoneFleet starts n routers. Zone near is theirs, zone far the other one.
func newZoneFleet(t *testing.T, n int) *zoneFleet {
	t.Helper()
	f := &zoneFleet{t: t, store: directtest.NewStore(), endpoints: map[string]*directtest.Endpoint{}, arrivals: map[string]*atomic.Int64{}}
	f.store.Append(follow.Configuration, "config", directtest.Encode(routing.Config{
		Version: 1, Services: []routing.Service{{Name: liveService}},
		Routes: []routing.Route{{
			Name: "order", Host: "shop.example", PathPrefix: "/order/", Semantics: routing.NonIdempotent, Attempts: 1, Public: true,
			Timeout: 10 * time.Second, LatencyTarget: time.Second, Destinations: []routing.Destination{{Service: liveService, Weight: 1}},
		}},
		Limits: routing.Limits{BodyBytes: 4 << 20},
	}))
	for _, zone := range []string{"near", "far"} {
		arrivals := &atomic.Int64{}
		f.arrivals[zone] = arrivals
		for i := range 2 {
			id := fmt.Sprint(zone, i)
			f.endpoints[id] = directtest.NewEndpoint(t, func(c net.Conn, call *directtest.Call) bool {
				arrivals.Add(1)
				directtest.Respond(c, call, http.StatusOK, zone)
				return true
			})
			f.store.Append(follow.Endpoints, id, directtest.Encode(registry.Endpoint{
				ID: id, Service: liveService, Address: f.endpoints[id].Address, Zone: zone, Slots: 1000, State: registry.Ready,
			}))
		}
	}
	for i := range n {
		f.start(i)
	}
	t.Cleanup(f.killAll)
	for _, r := range f.routers {
		f.awaitReady(r)
	}
	return f
}

// start starts a router that knows the address of the first one.
func (f *zoneFleet) start(i int) {
	ctx, kill := context.WithCancel(context.Background())
	r := &zoneRouter{kill: kill, ended: make(chan error, 1)}
	peers := ""
	if i > 0 {
		f.awaitStarted(f.routers[0])
		peers, _ = f.routers[0].log.entries("start")[0]["fleet"].(string)
	}
	go func() {
		r.ended <- direct.Run(ctx, direct.Options{
			Settings: direct.Settings{
				Name: fmt.Sprint("r", i), Zone: "near", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", FleetListen: "127.0.0.1:0", Peers: peers,
				StoreWait: 1200 * time.Millisecond, DrainTimeout: 5 * time.Second, MemoryBytes: 512 << 20, Descriptors: 4096,
				RetryFraction: 0.2, RetryFloor: 100, FirstStart: true, LogLinesPerSecond: 500,
			},
			Store: f.store, Decoder: directtest.Decoder{}, Dialect: dialect.Default(), Output: &r.log, ReadyPath: "/ready",
		})
	}()
	f.routers = append(f.routers, r)
}

func (f *zoneFleet) awaitStarted(r *zoneRouter) {
	f.t.Helper()
	f.await(func() bool { return len(r.log.entries("start")) > 0 })
}

func (f *zoneFleet) await(condition func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(evacuationWait), wait.Gap(5*time.Millisecond)))
}

func (f *zoneFleet) awaitReady(r *zoneRouter) {
	f.t.Helper()
	f.awaitStarted(r)
	started := r.log.entries("start")[0]
	r.address, _ = started["traffic"].(string)
	ready, _ := started["ready"].(string)
	f.await(func() bool {
		response, err := http.Get("http://" + ready + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// killAll ends all routers without a drain, and their connections with them.
func (f *zoneFleet) killAll() {
	for _, r := range f.routers {
		r.kill()
	}
	for _, r := range f.routers {
		select {
		case <-r.ended:
		case <-time.After(evacuationWait):
			f.t.Error("a router doesn't end")
		}
	}
	f.routers = nil
}

// send sends a request through each router and returns the statuses.
func (f *zoneFleet) send() []int {
	f.t.Helper()
	var statuses []int
	for i, r := range f.routers {
		c := &caller{address: r.address}
		status, err := c.send(fmt.Sprintf("z-%d-%d", i, time.Now().UnixNano()), "body")
		must.NoError(f.t, err)
		statuses = append(statuses, status)
		c.close()
	}
	return statuses
}

func (f *zoneFleet) setEvacuated(zone string, evacuated bool) {
	value := ""
	if evacuated {
		value = "{}"
	}
	f.store.Append(follow.Configuration, directtest.EvacuationKey(zone), value)
}

// logged reports whether all routers have an entry with this message and zone.
func (f *zoneFleet) logged(message, zone string) bool {
	for _, r := range f.routers {
		found := false
		for _, e := range r.log.entries(message) {
			found = found || e["evacuated_zone"] == zone
		}
		if !found {
			return false
		}
	}
	return true
}

func same(status, n int) []int {
	statuses := make([]int, n)
	for i := range statuses {
		statuses[i] = status
	}
	return statuses
}

// Guards against requests to an evacuated zone after all routers were killed: new processes that answer
// before they know the evacuation, or forget it in an outage of the store, and don't return to the zone
// after it was taken back in that outage.
func TestEvacuationOutlivesAllRoutersAndAnOutage(t *testing.T) {
	const routers = 3
	f := newZoneFleet(t, routers)
	must.Eq(t, same(http.StatusOK, routers), f.send())
	must.Positive(t, f.arrivals["near"].Load(), must.Sprint("the routers prefer their zone"))

	f.setEvacuated("near", true)
	began := time.Now()
	f.await(func() bool { return f.logged("zone evacuated", "near") })
	t.Logf("in force at all routers after %v", time.Since(began))
	before := f.arrivals["near"].Load()
	for range 5 {
		must.Eq(t, same(http.StatusOK, routers), f.send())
	}
	must.Eq(t, before, f.arrivals["near"].Load())

	f.killAll()
	for i := range routers {
		f.start(i)
	}
	for _, r := range f.routers {
		f.awaitReady(r)
	}
	must.Eq(t, same(http.StatusOK, routers), f.send())
	must.Eq(t, before, f.arrivals["near"].Load(), must.Sprint("ready routers know the evacuation"))

	f.store.SetUnreachable(true)
	f.setEvacuated("near", false)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		must.Eq(t, same(http.StatusOK, routers), f.send())
	}
	must.Eq(t, before, f.arrivals["near"].Load(), must.Sprint("nobody could read the removal"))
	f.store.SetUnreachable(false)
	f.await(func() bool { return f.logged("evacuation of a zone ended", "near") })
	must.Eq(t, same(http.StatusOK, routers), f.send())
	must.Eq(t, before+routers, f.arrivals["near"].Load(), must.Sprint("the routers prefer their zone again"))
}

// Guards against a fleet that is slow to apply an evacuation: routers that don't read the store hear of it
// from their peers. Also against a service without an endpoint elsewhere that keeps its callers waiting.
func TestEvacuationReachesALargeFleet(t *testing.T) {
	// Above 8 routers, only some read the store.
	const routers = 10
	f := newZoneFleet(t, routers)
	f.await(func() bool {
		stopped := 0
		for _, r := range f.routers {
			for _, e := range r.log.entries("reading from the store changed") {
				if e["reading"] == false {
					stopped++
					break
				}
			}
		}
		return stopped > 0
	})
	f.setEvacuated("far", true)
	f.await(func() bool { return f.logged("zone evacuated", "far") })
	began := time.Now()
	f.setEvacuated("near", true)
	f.await(func() bool { return f.logged("zone evacuated", "near") })
	elapsed := time.Since(began)
	t.Logf("in force at all routers after %v", elapsed)
	must.Less(t, evacuationBound, elapsed)
	for zone, arrivals := range f.arrivals {
		before := arrivals.Load()
		must.Eq(t, same(http.StatusServiceUnavailable, routers), f.send())
		must.Eq(t, before, arrivals.Load(), must.Sprint(zone))
	}
	for _, r := range f.routers {
		for _, e := range r.log.entries("request ended") {
			reason, _ := e["reason"].(string)
			must.True(t, reason == "answered" || strings.Contains(reason, "evacuated"), must.Sprint(e))
		}
	}
	f.setEvacuated("near", false)
	f.await(func() bool { return f.logged("evacuation of a zone ended", "near") })
	must.Eq(t, same(http.StatusOK, routers), f.send())
}
