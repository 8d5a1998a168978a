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
			crashes.add()
			time.AfterFunc(time.Millisecond, func() { _ = server.Close() })
			time.AfterFunc(time.Second, func() {
				f.store.Put("keyed.servers", id, nil)
				f.addCrashingEngine(number+numIncidentEngines, crashes)
			})
			return false
		},
	}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.registerAddress(id, l.Addr().String())
}

func (f *fleet) registerAddress(id, address string) {
	entry, err := json.Marshal(map[string]any{
		"service": "engines", "address": address, "zone": "z", "slots": 16, "state": "ready", "born": time.Now().UnixMilli(),
	})
	must.NoError(f.t, err)
	f.store.Put("keyed.servers", id, entry)
}

// sendEvery sends a stream with these prompt parts and one of its own to the routers in
// turn, at regular intervals until ctx ends, and returns how many were sent and how many
// ended with status 200.
func (f *fleet) sendEvery(ctx context.Context, interval time.Duration, name, parts string) (sent, succeeded int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	var mu sync.Mutex
	var running sync.WaitGroup
	for ; ctx.Err() == nil; sent++ {
		id := fmt.Sprintf("%s-%d", name, sent)
		r := f.routers[sent%len(f.routers)]
		running.Go(func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+r.trafficAddress+"/stream/again/"+id, strings.NewReader(id))
			if err != nil {
				return
			}
			req.Host = "soak.example"
			req.Header.Set(platformtest.RequestID, id)
			req.Header.Set("Authorization", "Bearer k1")
			req.Header.Set(platformtest.PromptParts, parts+id+":30")
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
	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range f.routers {
		r.restart()
	}
	for _, r := range f.routers {
		r.waitUntilReady()
	}
	time.Sleep(6 * time.Second)
	stop()
	callers.Wait()

	times := crashes.all()
	t.Logf("%d crashes; %d of %d sound requests succeeded", len(times), served, sound)
	if len(times) > 5 {
		late := 0
		for _, at := range times {
			if at.Sub(times[4]) > stabilityWindow {
				late++
			}
		}
		must.LessEq(t, 3, late, must.Sprint("requests with the part later than the stability window after the fifth crash"))
	}
	must.Greater(t, sound/2, served)
}
