package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	budgetRouters = 3
	budgetWorkers = 3
	budgetSlots   = 6
	// lookInterval is the time between two requests, lookDeadline the deadline of a client.
	lookInterval = time.Second / 60
	lookDeadline = 1500 * time.Millisecond
	// failingShare is the share of requests that workers fail after they ran them.
	failingShare = 0.45
	// budgetCalm is the time before the disruption, numKills the number of kills of all routers in it and
	// killInterval the time before each.
	budgetCalm   = 10 * time.Second
	numKills     = 3
	killInterval = 3 * time.Second
	// budgetSlack, budgetRatio and budgetWindow are those of the settings.
	budgetSlack  = 56
	budgetRatio  = 0.2
	budgetWindow = 10 * time.Second
)

// arrivals counts the requests that clients sent and those that reached workers beyond the first time.
type arrivals struct {
	mu       sync.Mutex
	sent     []time.Time
	repeated []time.Time
	seen     map[string]bool
}

func (a *arrivals) arrive(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[id] {
		a.repeated = append(a.repeated, time.Now())
	}
	a.seen[id] = true
}

// within returns the number of times in a span of budgetWindow.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
			n++
		}
	}
	return n
}

// runBudget sends safe requests to workers. With trouble, the workers fail some of them, and all routers are
// killed several times meanwhile.
func runBudget(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, budgetRouters, budgetSlack)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish(nil, []string{"desk"}, route{name: "look", kind: "safe", service: "desk", attempts: 2, timeout: lookDeadline, target: 300 * time.Millisecond})
	counts := &arrivals{seen: map[string]bool{}}
	var isFailing atomic.Bool
	for i := range budgetWorkers {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "desk", version: "v1", delay: 30 * time.Millisecond, fail: func() failure {
			if isFailing.Load() && rand.Float64() < failingShare {
				return failing
			}
			return sound
		}}
		w.ran = func(w *worker, id string) {
			counts.arrive(id)
			r.log("%s runs %s", w.id, id)
		}
		if err := f.add(w, budgetSlots); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(lookInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				running.Go(func() { counts.look(r, f, i) })
			}
		}
	})
	time.Sleep(budgetCalm)
	if trouble {
		r.log("workers fail %.2f of their requests", failingShare)
		isFailing.Store(true)
	}
	for range numKills {
		time.Sleep(killInterval)
		if !trouble {
			continue
		}
		if err := f.killAll(); err != nil {
			stop()
			return false, err
		}
	}
	time.Sleep(killInterval)
	isFailing.Store(false)
	time.Sleep(time.Second)
	stop()
	running.Wait()
	return counts.judge(r), nil
}

// look sends one request.
func (a *arrivals) look(r *record, f *fleet, index int) {
	ctx, cancel := context.WithTimeout(context.Background(), lookDeadline)
	defer cancel()
	id := fmt.Sprintf("l%d", index)
	a.mu.Lock()
	a.sent = append(a.sent, time.Now())
	a.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.routers[index%len(f.routers)].front+"/look/"+id, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(name("request-id"), id)
	request.Header.Set(name("deadline"), fmt.Sprint(lookDeadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		r.log("%s: no answer", id)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	r.log("%s: status %d", id, response.StatusCode)
}

// judge reports whether more requests were repeated in some window than the rule allows.
func (a *arrivals) judge(r *record) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, at, requests, allowed, broken := 0, time.Time{}, 0, 0.0, false
	for _, from := range a.repeated {
		n := within(a.repeated, from)
		sent := max(within(a.sent, from), within(a.sent, from.Add(-budgetWindow/2)), within(a.sent, from.Add(-budgetWindow)))
		limit := budgetRatio*float64(sent) + budgetSlack
		broken = broken || float64(n) > limit
		if at.IsZero() || float64(n)-limit > float64(most)-allowed {
			most, at, requests, allowed = n, from, sent, limit
		}
	}
	if at.IsZero() {
		r.summary("no request was repeated")
		return false
	}
	r.summary("worst window, from %.1f s: %d requests ran beyond the first time for %d requests, %.0f allowed", at.Sub(r.began).Seconds(), most, requests, allowed)
	return broken
}
