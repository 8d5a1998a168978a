package main

import (
	"net/http"
	"sync"
	"time"
)

// topics are the first parts of the prompts of requests to model workers.
var topics = []string{"a1", "b2", "c3", "d4", "e5", "f6"}

// Load sends requests at a fixed rate and counts how they ended.
type Load struct {
	kit *Kit
	// Kind is the name of the route; perSecond the number of requests a second.
	Kind      string
	perSecond float64
	// Events is called for each event of each stream; nil leaves it out.
	Events func(id string, e Event)

	mu            sync.Mutex
	pending       sync.WaitGroup
	asked, served int
}

// Run sends requests for a time and returns when the last one was sent.
func (l *Load) Run(d time.Duration) {
	interval := time.Duration(float64(time.Second) / l.perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		l.pending.Add(1)
		go l.send(i)
		<-ticker.C
	}
}

func (l *Load) send(i int) {
	defer l.pending.Done()
	r := Request{ID: l.kit.NewID(), Method: http.MethodPost, Path: "/" + l.Kind + "/1", Deadline: 3 * time.Second}
	switch l.Kind {
	case "look":
		r.Method = http.MethodGet
	case "chat", "tag":
		r.Header, r.Body = promptHeaders(topics[i/2%len(topics)], r.ID), "prompt"
		if l.Kind == "chat" {
			r.Deadline = 12 * time.Second
		}
		if l.Events != nil {
			r.Event = func(e Event) { l.Events(r.ID, e) }
		}
	}
	a := Answer{}
	if c, err := l.kit.Dial(l.kit.Routers[i%len(l.kit.Routers)].Front); err != nil {
		l.kit.Log("request %s: connecting failed: %v", r.ID, err)
	} else {
		a = c.Do(r)
		c.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if a.Status == http.StatusOK && a.Err == nil && a.Signature != "" {
		l.served++
	}
}

// Result waits for the last answers and returns the counts.
func (l *Load) Result() (asked, served int) {
	l.pending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked, l.served
}
