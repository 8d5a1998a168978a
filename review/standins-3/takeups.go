package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	takeUpRouters = 3
	// takeUpEvents and takeUpDelay define streams that last 10 s, takeUpDeadline is the deadline of a client.
	takeUpEvents   = 100
	takeUpDelay    = 100 * time.Millisecond
	takeUpDeadline = 12 * time.Second
	// drainTime is the time for which workers that leave go on.
	drainTime = 2 * time.Second
	// afterRelease is the time from the end of the release to the outage of the store.
	afterRelease = 10 * time.Second
	// outage is the length of the outage, killBefore the time from the kill of all routers to its end.
	outage     = 8 * time.Second
	killBefore = restartDelay
	// numTakeUps is the number of streams that begin in the outage.
	numTakeUps = 40
	// takeUpRetries is the number of retries of a client, takeUpBackoff its delay before each, in addition to
	// the Retry-After of an answer.
	takeUpRetries = 3
	takeUpBackoff = 1200 * time.Millisecond
	// stability is the time after a disruption from which on a machine is in touch.
	stability = 3 * time.Second
	// minTakeUps is the number of streams from which on the rule holds.
	minTakeUps = 12
)

// takeUps counts what clients see at machines in touch.
type takeUps struct {
	mu sync.Mutex
	// inTouch is the time from which on the machines are in touch.
	inTouch time.Time
	// taken holds, by stream, whether one that was taken up again went on.
	taken              map[string]bool
	newStreams, newRan int
}

// runTakeUps replaces all workers by those of another version. With trouble, the store is down some seconds
// later, and all routers are killed before it is back.
func runTakeUps(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, takeUpRouters, 56)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish([]string{"engines"}, nil, route{name: "chat", kind: "streaming", service: "engines", attempts: 2, resumable: true, timeout: takeUpDeadline, target: 400 * time.Millisecond})
	old, err := f.addEngines("v1", takeUpEvents, takeUpDelay)
	if err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	r.log("release: workers of version v2 replace those of v1")
	if _, err := f.addEngines("v2", takeUpEvents, takeUpDelay); err != nil {
		return false, err
	}
	for _, w := range old {
		w.enter(f.store, engineSlots, "draining")
	}
	time.Sleep(drainTime)
	for _, w := range old {
		f.store.put(name("servers"), w.id, nil)
	}
	r.log("the release has ended")
	time.Sleep(afterRelease)
	counts := &takeUps{taken: map[string]bool{}}
	var running sync.WaitGroup
	if trouble {
		r.log("the store is down")
		f.store.setDown(true)
	}
	began := time.Now()
	time.Sleep(outage - killBefore - 3*time.Second)
	for i := range numTakeUps {
		running.Go(func() { counts.run(r, f, i) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(outage - killBefore)))
	if trouble {
		if err := f.killAll(); err != nil {
			return false, err
		}
		f.store.setDown(false)
		r.log("the store is back")
	}
	counts.mu.Lock()
	counts.inTouch = time.Now().Add(stability)
	counts.mu.Unlock()
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	for i := range numTakeUps {
		running.Go(func() { counts.runNew(r, f, i) })
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	return counts.judge(r), nil
}

// run begins a stream and takes it up again after its connection broke.
func (c *takeUps) run(r *record, f *fleet, index int) {
	ctx, cancel := context.WithTimeout(context.Background(), takeUpDeadline)
	defer cancel()
	s := &callerStream{id: fmt.Sprintf("a%d", index), events: takeUpEvents, order: true}
	s.attempt(ctx, r, f.routers[index%len(f.routers)].front, s.id+"-0")
	for try := 1; try <= takeUpRetries && s.last > 0 && !s.complete && ctx.Err() == nil; try++ {
		time.Sleep(takeUpBackoff)
		// The platform forwards connections only to ready routers.
		target := f.routers[(index+try)%len(f.routers)]
		if !target.isReady() {
			r.log("%s-%d: router %d is not ready", s.id, try, target.index)
			continue
		}
		sent, last := time.Now(), s.last
		retryAfter := s.attempt(ctx, r, target.front, fmt.Sprintf("%s-%d", s.id, try))
		c.mu.Lock()
		if !c.inTouch.IsZero() && sent.After(c.inTouch) {
			c.taken[s.id] = c.taken[s.id] || s.last > last
		}
		c.mu.Unlock()
		time.Sleep(retryAfter)
	}
}

// runNew begins a stream while all machines are in touch.
func (c *takeUps) runNew(r *record, f *fleet, index int) {
	ctx, cancel := context.WithTimeout(context.Background(), takeUpDeadline)
	defer cancel()
	s := &callerStream{id: fmt.Sprintf("b%d", index), events: takeUpEvents, order: true}
	s.attempt(ctx, r, f.routers[index%len(f.routers)].front, s.id+"-0")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newStreams++
	if s.last > 0 {
		c.newRan++
	}
}

// judge reports whether the share of streams that went on is under half of that of new streams.
func (c *takeUps) judge(r *record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wentOn := 0
	for _, ok := range c.taken {
		if ok {
			wentOn++
		}
	}
	r.summary("at machines in touch: %d streams taken up, %d went on; %d new streams, %d began", len(c.taken), wentOn, c.newStreams, c.newRan)
	return len(c.taken) >= minTakeUps && float64(wentOn)/float64(len(c.taken)) < float64(c.newRan)/float64(c.newStreams)/2
}
