package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

const (
	// stabilityWindow is the time after which the rules of both incidents hold.
	stabilityWindow = 3 * time.Second
	// numIncidentEngines is the number of engines in these tests.
	numIncidentEngines = 4
)

// arrivals records the times at which engines received the requests of interest.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

func (a *arrivals) all() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]time.Time(nil), a.times...)
}

// addCrashingEngine starts an engine that crashes when it begins a response to a prompt
// with the part "dead". One with another identifier replaces it after a second.
func (f *fleet) addCrashingEngine(number int, crashes *arrivals) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(f.t, err)
	id := fmt.Sprintf("engine-%d", number)
	server := &http.Server{}
	server.Handler = &platformtest.Worker{
		ID: id, ExecutionCounter: f.executions, Events: 10, EventDelay: 10 * time.Millisecond,
		Receive: func(in *http.Request) bool {
			if !strings.Contains(in.Header.Get(platformtest.PromptParts), "dead:") {
				return true
			}
			f.crash(server, id, crashes, func() { f.addCrashingEngine(number+numIncidentEngines, crashes) })
			return false
		},
	}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.registerAddress(id, "engines", l.Addr().String())
}

// crash closes a server and all its connections, and replaces it after a second.
func (f *fleet) crash(server *http.Server, id string, crashes *arrivals, replace func()) {
	crashes.add()
	time.AfterFunc(time.Millisecond, func() { _ = server.Close() })
	time.AfterFunc(time.Second, func() {
		f.store.Put("keyed.servers", id, nil)
		replace()
	})
}

func (f *fleet) registerAddress(id, service, address string) {
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "z", "version": defaultVersion, "slots": 16, "state": "ready", "born": time.Now().UnixMilli(),
		"coldRemainingMs": 0, "sequence": 1,
	})
	must.NoError(f.t, err)
	f.store.Put("keyed.servers", id, entry)
}

// sendEvery sends a stream with these prompt parts and one of its own to the routers in
// turn, at regular intervals until ctx ends, and returns how many were sent and how many
// ended with status 200.
func (f *fleet) sendEvery(ctx context.Context, interval time.Duration, name, parts string) (sent, succeeded int) {
	return f.sendRequests(ctx, interval, func(n int) (id, path string, header http.Header) {
		id = fmt.Sprintf("%s-%d", name, n)
		return id, "/stream/again/" + id, http.Header{platformtest.PromptParts: {parts + id + ":30"}}
	})
}

// sendRequests sends requests to the routers in turn, like sendEvery. The path is also the
// body.
func (f *fleet) sendRequests(ctx context.Context, interval time.Duration, request func(n int) (id, path string, header http.Header)) (sent, succeeded int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	var mu sync.Mutex
	var running sync.WaitGroup
	for ; ctx.Err() == nil; sent++ {
		id, path, header := request(sent)
		r := f.routers[sent%len(f.routers)]
		running.Go(func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+r.trafficAddress+path, strings.NewReader(path))
			if err != nil {
				return
			}
			req.Header = header
			req.Host = "soak.example"
			req.Header.Set(platformtest.RequestID, id)
			req.Header.Set("Authorization", "Bearer k1")
			response, err := client.Do(req)
			if err != nil {
				return
			}
			defer response.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if response.StatusCode == http.StatusOK {
				succeeded++
			}
		})
		time.Sleep(interval)
	}
	running.Wait()
	return sent, succeeded
}

// Guards against a prompt part that crashes one engine after the other in a fleet of
// router processes, also when all of them are killed meanwhile.
func TestCrashingPartInAFleet(t *testing.T) {
	crashes := &arrivals{}
	f := startFleet(t, func(f *fleet) {
		for i := range numIncidentEngines {
			f.addCrashingEngine(i, crashes)
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() { f.sendEvery(ctx, 60*time.Millisecond, "dead", "caller:100,topic:50,dead:70,") })
	sound, served := 0, 0
	callers.Go(func() { sound, served = f.sendEvery(ctx, 20*time.Millisecond, "sound", "caller:100,topic:50,") })
	time.Sleep(6 * time.Second)
	f.restartRouters()
	time.Sleep(6 * time.Second)
	stop()
	callers.Wait()

	t.Logf("%d crashes; %d of %d sound requests succeeded", len(crashes.all()), served, sound)
	must.LessEq(t, 3, crashes.laterThan(5), must.Sprint("requests with the part later than the stability window after the fifth crash"))
	must.Greater(t, sound/2, served)
}

// laterThan returns the number of arrivals later than the stability window after the n-th.
func (a *arrivals) laterThan(n int) int {
	times := a.all()
	if len(times) < n {
		return 0
	}
	late := 0
	for _, at := range times {
		if at.Sub(times[n-1]) > stabilityWindow {
			late++
		}
	}
	return late
}

// restartRouters kills all routers and starts them again.
func (f *fleet) restartRouters() {
	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range f.routers {
		r.restart()
	}
	for _, r := range f.routers {
		r.waitUntilReady()
	}
}

// addMortalEndpoint starts an endpoint of the plain service that crashes when it runs a
// request with deadlyPath. One with another identifier replaces it after a second.
func (f *fleet) addMortalEndpoint(number int, crashes *arrivals) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(f.t, err)
	id := fmt.Sprintf("plain-%d", number)
	server := &http.Server{}
	server.Handler = &platformtest.Worker{
		ID: id, ExecutionCounter: f.executions, ResponseDelay: 10 * time.Millisecond,
		Receive: func(in *http.Request) bool {
			if in.URL.Path != deadlyPath {
				return true
			}
			f.crash(server, id, crashes, func() { f.addMortalEndpoint(number+numIncidentEngines, crashes) })
			return false
		},
	}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.registerAddress(id, "plain", l.Addr().String())
}

const deadlyPath = "/lookup/deadly"

// Guards against a repeated request that crashes one plain endpoint after the other in a
// fleet of router processes, also when all of them are killed meanwhile.
func TestCrashingRequestInAFleet(t *testing.T) {
	crashes := &arrivals{}
	f := startFleet(t, func(f *fleet) {
		for i := range numIncidentEngines {
			f.addMortalEndpoint(i, crashes)
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() {
		f.sendRequests(ctx, 150*time.Millisecond, func(n int) (id, path string, header http.Header) {
			return fmt.Sprintf("deadly-%d", n), deadlyPath, http.Header{}
		})
	})
	sound, served := 0, 0
	callers.Go(func() {
		sound, served = f.sendRequests(ctx, 20*time.Millisecond, func(n int) (id, path string, header http.Header) {
			return fmt.Sprintf("sound-%d", n), fmt.Sprintf("/lookup/sound-%d", n%50), http.Header{}
		})
	})
	time.Sleep(6 * time.Second)
	f.restartRouters()
	time.Sleep(6 * time.Second)
	stop()
	callers.Wait()
	t.Logf("%d crashes; %d of %d sound requests succeeded", len(crashes.all()), served, sound)
	must.LessEq(t, 3, crashes.laterThan(3), must.Sprint("requests later than the stability window after the third crash"))
	must.Greater(t, sound/2, served)
}
