package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["removed"] = removedWorkers }

const (
	// drainTime is drainMs. A worker that leaves serves for longerServe beyond it.
	drainTime   = 2 * time.Second
	longerServe = 4 * time.Second
	// leaveGap is the time between two workers that leave, restartGap the one between two stops of routers.
	leaveGap, restartGap = 400 * time.Millisecond, 700 * time.Millisecond
	// lookGap is the time between two requests of a client.
	lookGap = 100 * time.Millisecond
	// removedTime is how long workers leave.
	removedTime = 40 * time.Second
)

// arrivals records when requests reach workers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

type arrival struct {
	id, worker string
}

func (a *arrivals) add(id, worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, arrival{id, worker})
}

// look is a request as its client sent it.
type look struct {
	sent      time.Time
	router    string
	calmSince time.Time
}

// plainConfig returns a configuration with one route for requests that may be repeated.
func plainConfig() any {
	type object = map[string]any
	return object{"version": 1,
		"services": []any{object{"name": "desk", "healthPath": "/health", "connectionLimit": 370, "protocol": "h1", "transportSecurity": false}},
		"routes": []any{object{"name": "look", "host": "model.example", "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 1500, "latencyTargetMs": 300,
			"priority": 1, "attempts": 2, "public": true, "sticky": false, "resumable": false, "service": "desk"}},
		"limits":  object{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 230000},
		"tenants": []any{object{"name": "tenant-1", "apiKeys": []string{"key-1"}, "priority": 1}}}
}

// removedWorkers: workers leave without reporting that they drain: their entries are removed, and they serve on
// for a time. Meanwhile the routers, more than eight, are restarted a few at a time.
func removedWorkers(newFleet func(zones ...string) *fleet, trouble bool) {
	f := newFleet(strings.Split(strings.Repeat("a ", 12), " ")[:12]...)
	f.publish(plainConfig())
	seen := &arrivals{}
	number := 0
	newWorker := func() *worker {
		number++
		w := &worker{store: f.store, log: f.log, id: fmt.Sprintf("i-%d", number), service: "desk", zone: "a", version: "v1", plain: seen}
		w.start()
		return w
	}
	var workers []*worker
	for range 10 {
		workers = append(workers, newWorker())
	}
	f.start()
	time.Sleep(5 * time.Second)
	end := time.Now().Add(removedTime)
	var running sync.WaitGroup
	var mu sync.Mutex
	looks := map[string]look{}
	for i := range 36 {
		running.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; time.Now().Before(end); n++ {
				r := f.choose("", i, n)
				id := fmt.Sprintf("look-%d-%d", i, n)
				request, _ := http.NewRequest(http.MethodGet, "http://"+r.front+"/look/2f", nil)
				request.Host = "model.example"
				request.Header.Set(names.RequestID, id)
				request.Header.Set(names.Deadline, "1500")
				l := look{router: r.name, calmSince: r.calmSince(), sent: time.Now()}
				mu.Lock()
				looks[id] = l
				mu.Unlock()
				if response, err := client.Do(request); err == nil {
					_ = response.Body.Close()
				}
				time.Sleep(lookGap)
			}
		})
	}
	if trouble {
		running.Go(func() {
			var restarting sync.WaitGroup
			slots := make(chan struct{}, 4)
			for i := 0; time.Now().Before(end.Add(-8 * time.Second)); i++ {
				slots <- struct{}{}
				r := f.routers[i%len(f.routers)]
				restarting.Go(func() {
					r.restart()
					<-slots
				})
				time.Sleep(restartGap)
			}
			restarting.Wait()
		})
	}
	left := map[string]time.Time{}
	for time.Now().Before(end.Add(-drainTime - longerServe)) {
		w := workers[0]
		workers = append(workers[1:], newWorker())
		time.Sleep(leaveGap)
		left[w.id] = w.removeEntry()
		running.Go(func() {
			time.Sleep(drainTime + longerServe)
			w.crash()
		})
	}
	running.Wait()
	late, routers := 0, map[string]bool{}
	for _, a := range seen.list {
		l, gone := looks[a.id], left[a.worker]
		if gone.IsZero() || l.sent.Sub(gone) <= drainTime || l.sent.Sub(l.calmSince) < stabilityWindow {
			continue
		}
		late++
		routers[l.router] = true
		f.log.printf("%s, sent to %s %v after worker %s had left, reached it", a.id, l.router, l.sent.Sub(gone).Round(time.Millisecond), a.worker)
	}
	verdict(late > 0, "%d of %d requests reached a worker more than %v after its leaving was acknowledged, from %d routers in touch", late, len(looks), drainTime, len(routers))
}
