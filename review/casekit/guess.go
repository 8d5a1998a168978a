package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["guess"] = takenUpAfterOutage }

const (
	// lapseAfter is three heartbeats, after which the store drops the entry of a silent worker.
	lapseAfter = 3 * heartbeat
	// maxTries is how often a client sends a request.
	maxTries = 6
)

// takenUpAfterOutage checks that streams which clients take up after all routers were killed in
// an outage of the store go on at the software version that began them.
func takenUpAfterOutage(k *Kit) (bool, error) {
	llm, _, err := smallDeployment(k, 3, 3, 0)
	if err != nil {
		return false, err
	}
	for _, w := range llm {
		w.Events, w.EventGap = 49, 150*time.Millisecond
	}
	time.Sleep(2 * time.Second)
	newer := k.Worker("i-llm-new", "llm", "v2", 64)
	newer.Events, newer.EventGap, newer.FirstEventIn = 49, 150*time.Millisecond, 30*time.Millisecond
	newer.Start(true)
	versions := map[string]map[string]bool{}
	var mu sync.Mutex
	record := func(stream, version string) {
		mu.Lock()
		defer mu.Unlock()
		if versions[stream] == nil {
			versions[stream] = map[string]bool{}
		}
		versions[stream][version] = true
	}
	var clients sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 300 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				k.streamWithTakeUps(i, record)
			}()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	// The outage ends just after the newer worker has failed to write its entry, so that its
	// entry is back last, 1.15 s after the end.
	time.Sleep(2*heartbeat + 50*time.Millisecond)
	if k.Trouble {
		k.Store.SetSilent(true)
		k.Log("the store is silent")
		time.Sleep(lapseAfter)
		for _, w := range append(llm, newer) {
			k.Store.lapse(w.ID)
		}
		time.Sleep(3*heartbeat + 900*time.Millisecond - lapseAfter)
		for _, r := range k.Routers {
			r.Signal(syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		k.Store.SetSilent(false)
		k.Log("the store answers again")
		time.Sleep(200 * time.Millisecond)
		for _, r := range k.Routers {
			<-r.done
			if err := r.Start(); err != nil {
				return false, err
			}
		}
	}
	<-done
	clients.Wait()
	mixed := 0
	for id, v := range versions {
		if len(v) > 1 {
			mixed++
			k.Log("the stream that request %s began holds events of two software versions", id)
		}
	}
	k.Log("%d streams began, %d hold events of two software versions", len(versions), mixed)
	return mixed > maxMixed, nil
}

// lapse drops the entry of a worker, whether or not the store answers.
func (s *Store) lapse(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(names.WorkersTopic, id, nil)
}

// streamWithTakeUps sends a request for a stream. If the stream breaks off, it takes it up at
// another router.
func (k *Kit) streamWithTakeUps(i int, record func(stream, version string)) {
	end := time.Now().Add(12 * time.Second)
	first, last := "", 0
	own := k.NewID()
	for try := range maxTries {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		r := Request{ID: k.NewID(), Method: http.MethodPost, Path: "/chat/1", Body: "prompt", Deadline: left, Header: promptHeaders(topics[i%len(topics)], own)}
		if last > 0 {
			r.Header += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
		}
		r.Event = func(e Event) {
			if first == "" {
				first = r.ID
			}
			if e.ID != last+1 {
				k.Log("event %d of the stream that request %s began comes after event %d", e.ID, first, last)
			}
			last = e.ID
			record(first, e.Version)
		}
		pause := 300 * time.Millisecond
		if c, err := k.Dial(k.Routers[(i+try)%len(k.Routers)].Front); err == nil {
			a := c.Do(r)
			c.Close()
			if a.Status == http.StatusOK && a.Err == nil {
				return
			}
			if a.RetryAfter > 0 {
				pause = min(a.RetryAfter, time.Until(end)/3)
			}
		}
		time.Sleep(pause)
	}
}
