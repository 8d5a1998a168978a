package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a worker writes its entry.
const heartbeat = 1200 * time.Millisecond

// Worker is a stand-in of a worker. It serves one request at a time on each connection.
type Worker struct {
	kit                          *Kit
	ID, Service, Version, zone   string
	Slots, Events                int
	EventGap, Work, FirstEventIn time.Duration
	// Spoil decides, before a request is answered, what is sent instead of an answer; nil or
	// an empty result leaves the answer as it is.
	Spoil func(in *http.Request) string
	// Refuse returns the value of Retry-After with which the worker turns requests away, or an
	// empty text.
	Refuse func() string

	mu       sync.Mutex
	listener net.Listener
	address  string
	born     int64
	sequence int
	state    string
	running  int
	conns    map[net.Conn]bool
	stop     chan struct{}
}

// Start starts a new incarnation of the worker. If register is false, it doesn't write its
// entry by itself before the next heartbeat.
func (w *Worker) Start(register bool) {
	w.mu.Lock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		w.mu.Unlock()
		w.kit.Fail("worker %s: %v", w.ID, err)
		return
	}
	w.listener, w.address, w.born, w.sequence, w.state = l, l.Addr().String(), time.Now().UnixMilli(), 0, "ready"
	w.conns, w.stop, w.running = map[net.Conn]bool{}, make(chan struct{}), 0
	stop := w.stop
	w.mu.Unlock()
	w.kit.Log("worker %s of %s, software %s, starts at %s", w.ID, w.Service, w.Version, w.address)
	go w.accept(l)
	if register {
		w.Beat()
	}
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				w.Beat()
			}
		}
	}()
}

// Beat writes the worker's entry.
func (w *Worker) Beat() bool {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.Service, "address": w.address, "zone": w.zone, "version": w.Version, "slots": w.Slots, "state": w.state,
		names.ColdRemaining: 0, "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	return w.kit.Store.PutJSON(names.WorkersTopic, w.ID, entry)
}

// Crash ends the incarnation. Its connections are reset, as by the end of a process with
// unread bytes.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kit.Log("worker %s, software %s, crashes", w.ID, w.Version)
	close(w.stop)
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (w *Worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go func() {
			w.serve(c)
			_ = c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

func (w *Worker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, in.Body); err != nil {
			return
		}
		if !w.answer(c, in) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (w *Worker) answer(c net.Conn, in *http.Request) bool {
	id := in.Header.Get(names.RequestID)
	w.mu.Lock()
	version, stop := w.Version, w.stop
	full := w.running >= w.Slots
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if !full {
		defer func() {
			w.mu.Lock()
			w.running--
			w.mu.Unlock()
		}()
	}
	if expected := in.Header.Get(names.ExpectedInstance); expected != "" && expected != w.ID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.Instance, w.ID)
		return err == nil
	}
	if full {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotExecuted)
		return err == nil
	}
	if w.Refuse != nil {
		if after := w.Refuse(); after != "" {
			w.kit.Arrived(w, id, "refused with Retry-After "+after)
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotExecuted, after)
			return err == nil
		}
	}
	w.kit.Arrived(w, id, "runs")
	if w.Spoil != nil {
		if bytes := w.Spoil(in); bytes != "" {
			w.kit.Log("worker %s answers %s with bytes that are no answer: %q", w.ID, id, bytes)
			_, _ = io.WriteString(c, bytes)
			return false
		}
	}
	if w.Events > 0 {
		return w.stream(c, in, id, version, stop)
	}
	time.Sleep(w.Work)
	body := "answer to " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-by-%s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, names.Signature, w.ID, len(body), body)
	return err == nil
}

// stream sends the events after Last-Event-Id. Each names the software version that wrote it.
func (w *Worker) stream(c net.Conn, in *http.Request, id, version string, stop chan struct{}) bool {
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	if w.sleep(w.FirstEventIn, stop) != nil {
		return false
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-by-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", names.RequestID, id, names.Signature, w.ID); err != nil {
		return false
	}
	for n := last + 1; n <= w.Events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", n, w.ID, version, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if w.sleep(w.EventGap, stop) != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

var errStopped = fmt.Errorf("the worker has stopped")

func (w *Worker) sleep(d time.Duration, stop chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-stop:
		return errStopped
	case <-timer.C:
		return nil
	}
}
