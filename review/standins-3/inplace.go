package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	inPlaceRouters = 2
	inPlaceWorkers = 4
	// numInPlace is the number of streams, of inPlaceEvents events each, inPlaceDelay apart.
	numInPlace    = 12
	inPlaceEvents = 60
	inPlaceDelay  = 100 * time.Millisecond
	// restartTime is how long a worker is down, restartGap the time between two of them, and entryTime the
	// time from its start until it has written its entry: one heartbeat.
	restartTime = 200 * time.Millisecond
	restartGap  = 300 * time.Millisecond
	entryTime   = 1200 * time.Millisecond
)

// restartingWorker is a worker that can crash and start again in place.
type restartingWorker struct {
	f *fleet

	mu sync.Mutex
	worker
	server  *http.Server
	running int
}

// begin starts the worker and writes its entry after a delay.
func (w *restartingWorker) begin(address, version string, entryAfter time.Duration) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.address, w.born = version, l.Addr().String(), time.Now().UnixMilli()
	present := w.worker
	w.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(&present, out, in) })}
	server := w.server
	go func() { _ = server.Serve(l) }()
	if entryAfter == 0 {
		present.enter(w.f.store, engineSlots, "ready")
		return nil
	}
	time.AfterFunc(entryAfter, func() {
		present.enter(w.f.store, engineSlots, "ready")
		w.f.record.log("%s has written its entry, version %s", present.id, present.version)
	})
	return nil
}

// serve counts the streams in progress.
func (w *restartingWorker) serve(present *worker, out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == name("report") {
		present.ServeHTTP(out, in)
		return
	}
	w.f.record.log("%s (version %s) gets %s after event %s", present.id, present.version, in.Header.Get(name("request-id")), in.Header.Get("Last-Event-Id"))
	w.count(1)
	defer w.count(-1)
	present.ServeHTTP(out, in)
}

func (w *restartingWorker) count(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running += n
	return w.running
}

// restart lets the worker crash and starts it again after restartTime with another version.
func (w *restartingWorker) restart(version string) error {
	w.mu.Lock()
	server, address := w.server, w.address
	w.mu.Unlock()
	w.f.record.log("%s crashes", w.id)
	_ = server.Close()
	time.Sleep(restartTime)
	w.f.record.log("%s starts again, version %s", w.id, version)
	return w.begin(address, version, entryTime)
}

// runInPlace runs streams at one worker. With trouble, the other workers crash one after the other and start
// again at once with a newer version, and then the one with the streams crashes.
func runInPlace(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, inPlaceRouters, 56)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish([]string{"engines"}, nil, route{name: "chat", kind: "streaming", service: "engines", attempts: 2, resumable: true, timeout: streamTimeout, target: 400 * time.Millisecond})
	var workers []*restartingWorker
	for i := range inPlaceWorkers {
		w := &restartingWorker{f: f, worker: worker{id: fmt.Sprintf("i-%d", i), service: "engines", events: inPlaceEvents, eventDelay: inPlaceDelay}}
		if err := w.begin("127.0.0.1:0", "v1", 0); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var streams []*callerStream
	var running sync.WaitGroup
	for i := range numInPlace {
		s := &callerStream{id: fmt.Sprintf("s%d", i), events: inPlaceEvents, order: true, sharedTokens: 800}
		streams = append(streams, s)
		running.Go(func() { s.run(r, f, i) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := restartAll(workers); err != nil {
			return false, err
		}
	}
	running.Wait()
	return judgeStreams(r, streams), nil
}

// restartAll restarts the workers one after the other, the one with most streams last.
func restartAll(workers []*restartingWorker) error {
	last := workers[0]
	for _, w := range workers {
		if w.count(0) > last.count(0) {
			last = w
		}
	}
	var errs []error
	for _, w := range workers {
		if w == last {
			continue
		}
		began := time.Now()
		errs = append(errs, w.restart("v2"))
		time.Sleep(restartGap - time.Since(began))
	}
	return errors.Join(append(errs, last.restart("v2"))...)
}
