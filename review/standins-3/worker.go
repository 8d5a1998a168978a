package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// worker is a stand-in of a sound worker.
type worker struct {
	id, service, version, address string
	born                          int64
	// events and eventDelay describe its streams.
	events     int
	eventDelay time.Duration
	// delay is the time of a request that isn't a stream.
	delay time.Duration
	// fail decides, before a request runs, how it fails; nil if none does.
	fail func() failure
	// arrived is called with each request, ran once one begins to run.
	arrived, ran func(w *worker, id string)
}

// failure says how a worker treats a request.
type failure int

const (
	// sound: it runs.
	sound failure = iota
	// failing: it runs and gets an error.
	failing
	// shedding: it is turned away.
	shedding
)

// enter writes the worker's entry into the store.
func (w *worker) enter(s *store, slots int, state string) {
	s.putJSON(name("servers"), w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": zone, "version": w.version, "slots": slots, "state": state, name("cold"): 0,
		"sequence": 1, "born": w.born,
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	h := out.Header()
	h.Set(name("instance"), w.id)
	if expected := in.Header.Get(name("expected")); expected != "" && expected != w.id {
		h.Set(name("request-id"), in.Header.Get(name("request-id")))
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.URL.Path == name("report") {
		writeJSON(out, map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 1, "waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": 500000, "handles": 0, "born": w.born})
		return
	}
	if in.URL.Path == healthPath {
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	id := in.Header.Get(name("request-id"))
	h.Set(name("request-id"), id)
	if w.arrived != nil {
		w.arrived(w, id)
	}
	how := sound
	if w.fail != nil {
		how = w.fail()
	}
	if how == shedding {
		h.Set(name("not-executed"), "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if w.ran != nil {
		w.ran(w, id)
	}
	h.Set(name("signature"), "signed by "+w.id)
	if w.events > 0 {
		w.stream(out, in)
		return
	}
	time.Sleep(w.delay)
	if how == failing {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(out, "answer to "+id)
}

// stream writes events that hold the version of the worker.
func (w *worker) stream(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		select {
		case <-in.Context().Done():
			return
		case <-time.After(w.eventDelay):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", n, w.version, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
