package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deadlyRouters = 3
	deadlyEngines = 9
	// planEvents and planDelay define streams that last 1 s.
	planEvents = 20
	planDelay  = 50 * time.Millisecond
	// planInterval is the time between two requests.
	planInterval = 30 * time.Millisecond
	// calmTime is the time before the requests that crash workers, deadlyTime that in which they come and
	// deadlyShare their share.
	calmTime    = 5 * time.Second
	deadlyTime  = 22 * time.Second
	deadlyShare = 0.05
	// downTime is how long a worker that crashed is down, silentTime the time after which its entry is removed.
	downTime   = 3 * time.Second
	silentTime = 3600 * time.Millisecond
	// deadlyPart is the part of a prompt that crashes workers.
	deadlyPart = "dead"
	// judgedCrash is the number of the crash, and maxArrivals the number of requests that may reach workers
	// later than stability after it.
	judgedCrash = 5
	maxArrivals = 3
)

// crashes records which requests with the deadly part reached workers, and when workers crashed.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	at       []time.Time
	cut, ok  int
}

// crashingWorker is a worker that crashes while it writes an answer to a request with the deadly part.
type crashingWorker struct {
	f       *fleet
	crashes *crashes
	// eventsBefore is the number of events that it writes before it crashes.
	eventsBefore int

	mu         sync.Mutex
	generation int
	worker     *worker
	server     *http.Server
}

// begin starts the worker at its address, under a new identifier.
func (c *crashingWorker) begin(index int, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	c.worker = &worker{
		id: fmt.Sprintf("i-%d-%d", index, c.generation), service: "engines", version: "v1", address: l.Addr().String(),
		born: time.Now().UnixMilli(), events: planEvents, eventDelay: planDelay,
	}
	c.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { c.serve(index, out, in) })}
	server := c.server
	go func() { _ = server.Serve(l) }()
	c.worker.enter(c.f.store, engineSlots, "ready")
	return nil
}

func (c *crashingWorker) serve(index int, out http.ResponseWriter, in *http.Request) {
	c.mu.Lock()
	w := c.worker
	c.mu.Unlock()
	deadly := strings.Contains(in.Header.Get(name("prompt-prefix")), deadlyPart+":") && in.Header.Get(name("expected")) == w.id
	if !deadly {
		w.ServeHTTP(out, in)
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	id := in.Header.Get(name("request-id"))
	c.crashes.mu.Lock()
	c.crashes.arrivals = append(c.crashes.arrivals, time.Now())
	c.crashes.mu.Unlock()
	c.f.record.log("%s reaches %s", id, w.id)
	h := out.Header()
	h.Set(name("request-id"), id)
	h.Set(name("signature"), "signed by "+w.id)
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	_ = control.Flush()
	for n := range c.eventsBefore {
		time.Sleep(planDelay)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: v1 %d\n\n", n+1, n+1)
		_ = control.Flush()
	}
	c.crash(index, w)
	panic(http.ErrAbortHandler)
}

// crash ends the worker and all its connections, and starts it again after downTime.
func (c *crashingWorker) crash(index int, w *worker) {
	c.mu.Lock()
	if c.worker != w || c.server == nil {
		c.mu.Unlock()
		return
	}
	server := c.server
	c.server = nil
	c.mu.Unlock()
	c.crashes.mu.Lock()
	c.crashes.at = append(c.crashes.at, time.Now())
	c.crashes.mu.Unlock()
	c.f.record.log("%s crashes", w.id)
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		if err := c.begin(index, w.address); err != nil {
			c.f.record.log("worker %d could not start again: %v", index, err)
		}
	})
	time.AfterFunc(silentTime, func() { c.f.store.put(name("servers"), w.id, nil) })
}

// runDeadly sends requests that share the first part of their prompts. With trouble, some of them have
// another part that crashes each worker which begins to write an answer.
func runDeadly(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, deadlyRouters, 56)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish([]string{"engines"}, nil, route{name: "plan", kind: "streaming", service: "engines", attempts: 1, timeout: 15 * time.Second, target: time.Second})
	counts := &crashes{}
	eventsBefore := 1
	if os.Getenv("EVENTS") == "0" {
		eventsBefore = 0
	}
	for i := range deadlyEngines {
		c := &crashingWorker{f: f, crashes: counts, eventsBefore: eventsBefore}
		if err := c.begin(i, "127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var running sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < calmTime+deadlyTime; i++ {
		since := time.Since(began)
		deadly := trouble && since >= calmTime && rand.Float64() < deadlyShare
		running.Go(func() { counts.send(r, f, i, deadly) })
		time.Sleep(planInterval)
	}
	running.Wait()
	return counts.judge(r), nil
}

// send sends one request.
func (c *crashes) send(r *record, f *fleet, index int, deadly bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	id, middle := fmt.Sprintf("p%d", index), fmt.Sprintf("%x", 0xa0+index%90)
	if deadly {
		id, middle = fmt.Sprintf("d%d", index), deadlyPart
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[index%len(f.routers)].front+"/plan/"+id, strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	request.Host = host
	h := request.Header
	h.Set("Authorization", "Bearer "+apiKey)
	h.Set(name("request-id"), id)
	h.Set(name("model"), "m")
	h.Set(name("token-counts"), "1300,120")
	h.Set(name("prompt-prefix"), fmt.Sprintf("1:512,%s:487,%x:301", middle, 0x10000+index))
	h.Set(name("deadline"), "15000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if deadly {
		r.log("%s: status %d", id, status)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil && status == http.StatusOK:
		c.ok++
	case status == http.StatusOK || err != nil && !errors.Is(err, context.DeadlineExceeded):
		c.cut++
		r.log("%s: cut, status %d", id, status)
	}
}

func (c *crashes) judge(r *record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.at) >= judgedCrash {
		for _, at := range c.arrivals {
			if at.Sub(c.at[judgedCrash-1]) > stability {
				late++
			}
		}
	}
	r.summary("%d crashes; %d requests that crash workers reached workers, %d of them later than %v after crash %d (at most %d allowed); of the others %d were answered, %d cut off",
		len(c.at), len(c.arrivals), late, stability, judgedCrash, maxArrivals, c.ok, c.cut)
	return late > maxArrivals
}
