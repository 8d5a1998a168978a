package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["inplace"] = inPlace
	cases["restored"] = restoredStore
	cases["implied"] = impliedVersion
	cases["unsaved"] = unsavedOrigins
	cases["split"] = splitRoute
}

// usualConfig returns a configuration with one resumable route to the service model and, if split is set,
// a tenth of its requests to the service model-2.
func usualConfig(version int, split bool) any {
	type object = map[string]any
	engine := object{"slots": 64, "cacheCapacityTokens": 591875, "stride": 6, "models": []any{object{"name": "m"}}}
	services := []any{}
	for _, name := range []string{"model", "model-2"} {
		services = append(services, object{"name": name, "healthPath": "/health", "connectionLimit": 370, "protocol": "h1", "transportSecurity": false, "engine": engine})
	}
	route := object{"name": "chat", "host": "model.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 15000, "latencyTargetMs": 1000,
		"priority": 1, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 500}
	if split {
		route["trafficSplit"] = []any{object{"service": "model", "weight": 90}, object{"service": "model-2", "weight": 10}}
	} else {
		route["service"] = "model"
	}
	return object{"version": version, "routes": []any{route}, "services": services,
		"limits":  object{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 230000},
		"tenants": []any{object{"name": "tenant-1", "apiKeys": []string{"key-1"}, "priority": 1}}}
}

const (
	// streamEvents and streamGap define streams that last 12 s.
	streamEvents = 80
	streamGap    = 150 * time.Millisecond
	// beginGap is the time between the beginnings of two streams.
	beginGap = 100 * time.Millisecond
	// deadline is the deadline of the clients.
	deadline = 15 * time.Second
	// sharedPart is a shared part of the prompts.
	sharedPart = "5c1e07a2:800"
)

func (f *fleet) worker(id, service, zone, version string) *worker {
	w := &worker{store: f.store, log: f.log, id: id, service: service, zone: zone, version: version, events: streamEvents, gap: streamGap}
	w.start()
	return w
}

// begin begins n streams and returns once each has some events.
func begin(ctx context.Context, f *fleet, name, zone string, n int, run func(s *stream)) (streams []*stream, wait func()) {
	var running sync.WaitGroup
	for i := range n {
		s := newStream(f, fmt.Sprintf("%s-%d", name, i), i, zone, "/chat/2f", sharedPart, deadline, streamEvents)
		streams = append(streams, s)
		running.Go(func() { run(s) })
		time.Sleep(beginGap)
	}
	for _, s := range streams {
		for s.last() < 3 && time.Until(s.deadline) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return streams, running.Wait
}

func joined(streams []*stream) (n int) {
	for _, s := range streams {
		if written := s.written(); len(written) > 1 {
			n++
			s.f.log.printf("stream %s holds events of the versions %s", s.id, strings.Join(written, ", "))
		}
	}
	return n
}

// inPlace: while the store is away, all workers of a service crash one after the other and start again at
// once, under their identifiers and with a newer version of their software. Streams of the last one go on.
func inPlace(newFleet func(zones ...string) *fleet, trouble bool) {
	f := newFleet("a", "b", "c")
	f.publish(usualConfig(1, false))
	var workers []*worker
	for i, zone := range []string{"a", "b", "c", "a"} {
		workers = append(workers, f.worker(fmt.Sprintf("i-%d", i), "model", zone, "v1"))
	}
	f.start()
	time.Sleep(4 * time.Second)
	ctx := context.Background()
	streams, wait := begin(ctx, f, "stream", "b", 12, func(s *stream) {
		if s.try(ctx); !s.complete {
			s.takeUp(ctx, 3, 300*time.Millisecond)
		}
	})
	if trouble {
		f.log.printf("the store falls silent")
		f.store.setSilent(true)
		time.Sleep(700 * time.Millisecond)
		// The worker with the streams is the last one.
		last := 0
		for i, w := range workers {
			if f.log.contains("worker " + w.id + " (version v1) runs stream-0-0") {
				last = i
			}
		}
		order := append(append(append([]*worker{}, workers[:last]...), workers[last+1:]...), workers[last])
		for _, w := range order {
			w.crash()
			time.Sleep(400 * time.Millisecond)
			w.upgrade("v2")
			w.start()
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		f.store.setSilent(false)
		f.log.printf("the store answers again")
	}
	wait()
	n := joined(streams)
	verdict(n > 2, "%d of %d streams hold events of two versions of the software of one service (at most 2 may)", n, len(streams))
}

// attemptsInTouch returns the attempts of streams that began at routers in touch: their processes ran, and
// the store was stable, for stabilityWindow.
func attemptsInTouch(streams []*stream, stableSince time.Time) (list []attempt) {
	for _, s := range streams {
		s.mu.Lock()
		for _, a := range s.attempts {
			since := a.calmSince
			if stableSince.After(since) {
				since = stableSince
			}
			if a.began.Sub(since) >= stabilityWindow && a.status != 0 {
				list = append(list, a)
			}
		}
		s.mu.Unlock()
	}
	return list
}

// judgeTakeUps compares the streams that were taken up at routers in touch with the new ones begun there.
func judgeTakeUps(old, fresh []*stream, stableSince time.Time) {
	takeUps, wentOn := 0, 0
	for _, s := range old {
		tried, went := false, false
		for _, a := range attemptsInTouch([]*stream{s}, stableSince) {
			if a.takesUp {
				tried, went = true, went || a.events > 0
			}
		}
		if tried {
			takeUps++
		}
		if tried && went {
			wentOn++
		}
	}
	begun, begins := 0, 0
	for _, s := range fresh {
		for _, a := range attemptsInTouch([]*stream{s}, stableSince) {
			if !a.takesUp {
				begins++
				if a.events > 0 {
					begun++
				}
				break
			}
		}
	}
	if takeUps < 12 || begins == 0 {
		fail("only %d streams were taken up and %d begun at routers in touch", takeUps, begins)
	}
	share, freshShare := float64(wentOn)/float64(takeUps), float64(begun)/float64(begins)
	verdict(share < freshShare/2, "%d of %d streams that clients took up again at machines in touch went on, %d of %d new ones began", wentOn, takeUps, begun, begins)
}

// interruptedStreams begins streams whose clients' connections all end at one moment, by trouble or, without
// it, by the clients themselves, and which the clients take up again with delays that double. After a time it
// begins new streams.
func interruptedStreams(f *fleet, trouble func()) (old, fresh []*stream) {
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	go func() {
		f.log.printf("streams begin")
	}()
	old, waitOld := begin(context.Background(), f, "stream", "", 24, func(s *stream) {
		if s.try(ctx); !s.complete {
			s.takeUp(context.Background(), 4, 500*time.Millisecond)
		}
	})
	time.Sleep(500 * time.Millisecond)
	if trouble != nil {
		go trouble()
	} else {
		f.log.printf("the clients' connections end")
		cut()
	}
	time.Sleep(7 * time.Second)
	fresh, waitFresh := begin(context.Background(), f, "new", "", 12, func(s *stream) { s.try(context.Background()) })
	waitOld()
	waitFresh()
	return old, fresh
}

// restoredStore: all routers are killed while the store is away for a moment and comes back from a copy.
func restoredStore(newFleet func(zones ...string) *fleet, trouble bool) {
	f := newFleet("a", "a", "a")
	f.publish(usualConfig(1, false))
	var workers []*worker
	for i := range 3 {
		workers = append(workers, f.worker(fmt.Sprintf("i-%d", i), "model", "a", "v1"))
	}
	f.start()
	time.Sleep(12 * time.Second)
	var stableSince time.Time
	var power func()
	if trouble {
		power = func() {
			f.log.printf("the store goes away")
			f.store.setSilent(true)
			go f.killAll(500 * time.Millisecond)
			time.Sleep(time.Second)
			f.store.restore(9 * time.Second)
			f.store.setSilent(false)
			stableSince = time.Now()
			f.log.printf("the store is back, from a copy 9 s old")
			f.store.put(names.ConfigTopic, "config", f.config)
			for _, w := range workers {
				w.writeEntry()
			}
		}
	}
	old, fresh := interruptedStreams(f, power)
	judgeTakeUps(old, fresh, stableSince)
}

// impliedVersion: a release replaces the workers of a service by others of a newer version. 30.9 s after the
// last old one has left, the operator brings workers of the old version back. All routers are killed while
// streams of these workers run.
func impliedVersion(newFleet func(zones ...string) *fleet, trouble bool) {
	f := newFleet("a", "a", "a", "a", "a")
	f.publish(usualConfig(1, false))
	old := []*worker{f.worker("i-1", "model", "a", "v1"), f.worker("i-2", "model", "a", "v1")}
	f.start()
	time.Sleep(4 * time.Second)
	f.worker("i-3", "model", "a", "v2")
	f.worker("i-4", "model", "a", "v2")
	time.Sleep(time.Second)
	var leaving sync.WaitGroup
	for _, w := range old {
		leaving.Go(func() { w.leave(2500 * time.Millisecond) })
	}
	leaving.Wait()
	time.Sleep(returnDelay)
	for i := range 3 {
		f.worker(fmt.Sprintf("i-%d", 5+i), "model", "a", "v1")
	}
	time.Sleep(2 * time.Second)
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	streams, wait := begin(context.Background(), f, "stream", "", 24, func(s *stream) {
		if s.try(ctx); !s.complete {
			s.takeUp(context.Background(), 4, 500*time.Millisecond)
		}
	})
	time.Sleep(500 * time.Millisecond)
	if trouble {
		go f.killAll(500 * time.Millisecond)
	} else {
		f.log.printf("the clients' connections end")
		cut()
	}
	wait()
	n := joined(streams)
	verdict(n > 2, "%d of %d streams hold events of two versions of the software of one service (at most 2 may)", n, len(streams))
}

// returnDelay is the time between the end of the last worker of a version and the return of the version.
const returnDelay = 30900 * time.Millisecond

// unsavedOrigins: two versions of a service serve side by side. While the store is away, the only worker of
// the older one is down for a while, and streams begin at the newer one. All routers are killed before the
// store is back.
func unsavedOrigins(newFleet func(zones ...string) *fleet, trouble bool) {
	f := newFleet("a", "a", "a")
	f.publish(usualConfig(1, false))
	left := f.worker("i-0", "model", "a", "v1")
	kept := f.worker("i-1", "model", "a", "v1")
	f.start()
	time.Sleep(4 * time.Second)
	for i := range 4 {
		f.worker(fmt.Sprintf("i-%d", 2+i), "model", "a", "v2")
	}
	left.leave(2500 * time.Millisecond)
	time.Sleep(2 * time.Second)
	if trouble {
		f.log.printf("the store falls silent")
		f.store.setSilent(true)
		kept.crash()
		go func() {
			time.Sleep(3500 * time.Millisecond)
			f.killAll(500 * time.Millisecond)
		}()
		time.AfterFunc(3800*time.Millisecond, kept.start)
		time.AfterFunc(4500*time.Millisecond, func() {
			f.store.setSilent(false)
			f.log.printf("the store answers again")
		})
	}
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	if !trouble {
		time.AfterFunc(3500*time.Millisecond, cut)
	}
	streams, wait := begin(context.Background(), f, "stream", "", 20, func(s *stream) {
		if s.try(ctx); !s.complete {
			s.takeUp(context.Background(), 4, 500*time.Millisecond)
		}
	})
	wait()
	n := joined(streams)
	verdict(n > 2, "%d of %d streams hold events of two versions of the software of one service (at most 2 may)", n, len(streams))
}

// splitRoute: a route is split between two services, and the two routers of a zone are restarted one
// after the other. Streams begin all the time.
func splitRoute(newFleet func(zones ...string) *fleet, trouble bool) {
	f := newFleet("a", "a")
	f.publish(usualConfig(1, true))
	for i := range 3 {
		f.worker(fmt.Sprintf("i-%d", i), "model", "a", "v1")
		f.worker(fmt.Sprintf("k-%d", i), "model-2", "a", "v1")
	}
	f.start()
	time.Sleep(4 * time.Second)
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	done := make(chan struct{})
	go func() {
		time.Sleep(2 * time.Second)
		if trouble {
			for _, r := range f.routers {
				r.restart()
			}
		} else {
			time.Sleep(15 * time.Second)
			f.log.printf("the clients' connections end")
			cut()
		}
		close(done)
	}()
	var streams []*stream
	var running sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-done:
			running.Wait()
			judgeTakeUps(streams, streams, time.Time{})
		case <-time.After(250 * time.Millisecond):
		}
		s := newStream(f, fmt.Sprintf("stream-%d", i), i, "", "/chat/2f", sharedPart, deadline, streamEvents)
		streams = append(streams, s)
		running.Go(func() {
			if s.try(ctx); !s.complete {
				s.takeUp(context.Background(), 3, 200*time.Millisecond)
			}
		})
	}
}
