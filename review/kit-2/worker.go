package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the silence after which the store removes a worker's entry.
	expiry = 3 * heartbeat
	// firstEventDelay is the time from a request to its first event.
	firstEventDelay = 40 * time.Millisecond
	// plainTime is the time for which a worker of a plain service works on a request.
	plainTime = 20 * time.Millisecond
)

// worker is a stand-in of a model worker. It streams events that name the version of its software.
type worker struct {
	store                      *store
	log                        *recorder
	id, service, zone, version string
	address                    string
	// events is the number of events of a whole stream, gap the time between two of them.
	events int
	gap    time.Duration
	// plain, if set, makes the worker one of a plain service, and records the requests that reach it.
	plain *arrivals

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	draining bool
	removed  bool
	// lastBeat is the time of the latest heartbeat that the store accepted, entry what it holds.
	lastBeat time.Time
	entry    string
	stop     chan struct{}
	running  int
}

// start starts the worker, as a new incarnation, at the address that it had.
func (w *worker) start() {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		fail("listen for a worker: %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.born, w.draining = l.Addr().String(), time.Now(), false
	w.server = &http.Server{Handler: w}
	w.stop = make(chan struct{})
	go w.server.Serve(l)
	go w.beat(w.stop)
	w.log.printf("worker %s starts, version %s, at %s", w.id, w.version, w.address)
}

// upgrade installs another version of the worker's software, which its next start runs.
func (w *worker) upgrade(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

// crash ends the worker: its connections break, and it sends no heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	server, stop := w.server, w.stop
	w.mu.Unlock()
	close(stop)
	_ = server.Close()
	w.log.printf("worker %s crashes, version %s", w.id, w.version)
}

// leave drains the worker: its entry says so, and it serves on for a time before it ends.
func (w *worker) leave(serve time.Duration) {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.writeEntry()
	w.log.printf("worker %s is draining", w.id)
	time.Sleep(serve)
	w.mu.Lock()
	server, stop := w.server, w.stop
	w.mu.Unlock()
	close(stop)
	_ = server.Close()
	w.store.put(names.WorkersTopic, w.id, nil)
	w.log.printf("worker %s has left", w.id)
}

// removeEntry removes the worker's entry, as a worker does that leaves without reporting that it drains. It
// returns when the store has acknowledged that.
func (w *worker) removeEntry() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
	w.store.put(names.WorkersTopic, w.id, nil)
	w.log.printf("worker %s leaves: its entry is removed", w.id)
	return time.Now()
}

// beat writes the worker's entry when it starts and when the store lacks it, and removes it for the
// store after the worker has been silent for expiry.
func (w *worker) beat(stop chan struct{}) {
	w.writeEntry()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.writeEntry()
		}
	}
}

func (w *worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed {
		return
	}
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": 64, "state": state,
		names.ColdRemaining: 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": 1, "born": w.born.UnixMilli(),
	})
	if held := w.store.newest(names.WorkersTopic, w.id); string(held) == string(entry) {
		return
	}
	if w.store.put(names.WorkersTopic, w.id, entry) {
		w.log.printf("worker %s registers: version %s, %s", w.id, w.version, state)
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	w.mu.Lock()
	born, version := w.born, w.version
	w.mu.Unlock()
	if in.URL.Path == names.Report {
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": 1, "waiting": 0,
			"running": 0, "cacheUsed": 0, "cacheTotal": 500000, "handles": 0, "born": born.UnixMilli()})
		return
	}
	id := in.Header.Get(names.RequestID)
	out.Header().Set(names.RequestID, id)
	if expected := in.Header.Get(names.ExpectedInstance); expected != "" && expected != w.id {
		out.Header().Set(names.Instance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		out.Header().Set(names.NotExecuted, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	if w.plain != nil {
		w.plain.add(id, w.id)
		out.Header().Set(names.Signature, w.id)
		time.Sleep(plainTime)
		_, _ = io.WriteString(out, "answer to "+id)
		return
	}
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	w.log.printf("worker %s (version %s) runs %s after event %d", w.id, version, id, last)
	out.Header().Set(names.Signature, fmt.Sprintf("%s.%d", w.id, born.UnixMilli()))
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	delay := firstEventDelay
	for n := last + 1; n <= w.events; n++ {
		select {
		case <-in.Context().Done():
			return
		case <-time.After(delay):
		}
		delay = w.gap
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", n, version, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
