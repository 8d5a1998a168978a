package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// crashingFleet is a router in front of engines that crash when they begin a response to a
// prompt with the part "dead". A crashed engine is replaced at once by one with another
// identifier.
type crashingFleet struct {
	*router
	mu      sync.Mutex
	engines int
	crashes int
	// received counts the requests with the part, by the number of crashes before.
	received map[int]int
	// writesEvent is set if an engine writes the first event before it crashes.
	writesEvent bool
}

func newCrashingFleet(t *testing.T, engines int) *crashingFleet {
	f := &crashingFleet{router: newRouter(t), received: map[int]int{}}
	for range engines {
		f.addEngine()
	}
	return f
}

// addCrashing adds an endpoint whose script can crash it.
func (r *router) addCrashing(id, service string, script func(e *directtest.Endpoint, c net.Conn, call *directtest.Call) bool) {
	r.t.Helper()
	var e *directtest.Endpoint
	ready := make(chan struct{})
	e = r.add(id, service, func(c net.Conn, call *directtest.Call) bool {
		<-ready
		return script(e, c, call)
	})
	close(ready)
}

func (f *crashingFleet) addEngine() {
	f.mu.Lock()
	f.engines++
	id := fmt.Sprintf("engine-%d", f.engines)
	f.mu.Unlock()
	f.addCrashing(id, "engines", func(e *directtest.Endpoint, c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		if strings.Contains(call.Header.Get(headers.PromptParts), "dead:") {
			f.mu.Lock()
			f.received[f.crashes]++
			f.crashes++
			writesEvent := f.writesEvent
			f.mu.Unlock()
			if writesEvent {
				directtest.Chunk(c, directtest.Event(1))
				time.Sleep(eventLead)
			}
			e.Crash()
			f.addEngine()
			return false
		}
		directtest.Chunk(c, directtest.Event(1))
		directtest.Chunk(c, "")
		return true
	})
}

// send sends a resumable stream with the given prompt parts.
func (f *crashingFleet) send(parts string) result {
	in := f.request(http.MethodPost, "/resumable/x", "body")
	in.Header.Set(headers.PromptParts, parts)
	return f.do(in)
}

// receivedAfter returns how many requests with the crashing part engines received after
// this number of crashes.
func (f *crashingFleet) receivedAfter(crashes int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for before, received := range f.received {
		if before >= crashes {
			n += received
		}
	}
	return n
}

// crashInterval is the interval between two requests with the crashing part.
const crashInterval = 120 * time.Millisecond

// Guards against a prompt part that crashes one engine after the other: its requests keep
// being sent to engines, and each one to a second engine after the first crash.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	f := newCrashingFleet(t, 6)
	for i := range 14 {
		time.Sleep(crashInterval)
		f.send(fmt.Sprintf("caller:100,topic%d:50,dead:70,own%d:9", i%2, i))
		sound := f.send(fmt.Sprintf("caller:100,topic%d:50,own-sound%d:9", i%2, i))
		must.Eq(t, http.StatusOK, sound.status, must.Sprintf("sound request %d", i))
	}
	must.LessEq(t, 3, f.receivedAfter(5), must.Sprint("requests with the part after the fifth crash"))
	refused := f.send("caller:100,topic0:50,dead:70,last:9")
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.NotEq(t, "", refused.header.Get("Retry-After"))
}

// eventLead is the time between the first event and the crash, in which the event is forwarded.
const eventLead = 50 * time.Millisecond

// Guards against a prompt part that crashes engines after their first event, and is never quarantined since an
// event counts as proof that it is sound.
func TestPartThatCrashesEnginesAfterTheFirstEvent(t *testing.T) {
	f := newCrashingFleet(t, 6)
	f.writesEvent = true
	for i := range 14 {
		time.Sleep(2 * crashInterval)
		f.send(fmt.Sprintf("caller:100,topic%d:50,dead:70,own%d:9", i%2, i))
		sound := f.send(fmt.Sprintf("caller:100,topic%d:50,own-sound%d:9", i%2, i))
		must.Eq(t, http.StatusOK, sound.status, must.Sprintf("sound request %d", i))
	}
	must.LessEq(t, 3, f.receivedAfter(5), must.Sprint("requests with the part after the fifth crash"))
	must.Eq(t, http.StatusServiceUnavailable, f.send("caller:100,topic0:50,dead:70,last:9").status)
}

// Guards against requests that were already sent when their part was quarantined: they
// would still crash the engines at which they wait.
func TestQueuedRequestsWithCrashingPartAreCancelled(t *testing.T) {
	r := newRouter(t)
	received, closed := make(chan struct{}), make(chan struct{})
	r.add("e1", "engines", func(c net.Conn, _ *directtest.Call) bool {
		close(received)
		_, _ = io.Copy(io.Discard, c)
		close(closed)
		return false
	})
	in := r.request(http.MethodPost, "/resumable/x", "body")
	in.Header.Set(headers.PromptParts, "caller:100,dead:70,own:9")
	answer := make(chan result, 1)
	go func() { answer <- r.do(in) }()
	<-received
	now := time.Now()
	var facts quarantine.Facts
	for i := range uint32(2) {
		facts.Interrupted = append(facts.Interrupted, quarantine.Interrupted{
			Crash: i, At: now.Add(-time.Duration(i) * time.Second), Responding: true, Parts: prompt.Parse("dead:70,own:9", "", "").SharedIDs(),
		})
	}
	r.handler.Dispatcher.MergeCrashFacts(now, facts)
	<-closed
	must.Eq(t, http.StatusBadGateway, (<-answer).status, must.Sprint("it was sent, and may have run"))
}

// crashingPlainFleet is a router in front of endpoints of a plain service that crash when they
// begin, or are about to begin, a response to a request that names the part "dead". A crashed
// endpoint is replaced at once by one with another identifier.
type crashingPlainFleet struct {
	*router
	beginsResponse bool
	mu             sync.Mutex
	endpoints      int
	received       int
}

func (f *crashingPlainFleet) addEndpoint() {
	f.mu.Lock()
	f.endpoints++
	id := fmt.Sprintf("plain-%d", f.endpoints)
	f.mu.Unlock()
	f.addCrashing(id, "plain", func(e *directtest.Endpoint, c net.Conn, call *directtest.Call) bool {
		if !strings.Contains(call.Header.Get(headers.PromptParts), "dead:") {
			return ok(c, call)
		}
		f.mu.Lock()
		f.received++
		f.mu.Unlock()
		if f.beginsResponse {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 9\r\n\r\nhalf", headers.RequestID, call.ID(), headers.Signature)
		}
		e.Crash()
		f.addEndpoint()
		return false
	})
}

func (f *crashingPlainFleet) send(path, body, parts string) result {
	in := f.request(http.MethodPost, path, body)
	if parts != "" {
		in.Header.Set(headers.PromptParts, parts)
	}
	return f.do(in)
}

func (f *crashingPlainFleet) numReceived() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// Guards against a prompt part that crashes one endpoint of a plain service after the other:
// most requests of the route name no parts, and no two requests with the part are alike.
func TestPartThatCrashesPlainEndpointsIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		name, path     string
		beginsResponse bool
		// interval is the interval between two requests with the part. Five crashes before a
		// response are evidence only if they are not simultaneous.
		interval time.Duration
	}{
		{"idempotent, response begun", "/lookup/x", true, crashInterval},
		{"not idempotent, response begun", "/order/x", true, crashInterval},
		{"not idempotent, no response", "/order/x", false, 5 * crashInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &crashingPlainFleet{router: newRouter(t), beginsResponse: c.beginsResponse}
			for range 4 {
				f.addEndpoint()
			}
			for i := range 14 {
				time.Sleep(c.interval)
				f.send(c.path, fmt.Sprint("bad", i), fmt.Sprintf("topic%d:50,dead:70,own%d:9", i%3, i))
				must.Eq(t, http.StatusOK, f.send(c.path, fmt.Sprint("sound", i), "").status, must.Sprintf("request %d without parts", i))
				sound := f.send(c.path, fmt.Sprint("sound", i), fmt.Sprintf("topic%d:50,own-sound%d:9", i%3, i))
				must.Eq(t, http.StatusOK, sound.status, must.Sprintf("sound request %d with parts", i))
			}
			// Five crashes and three more.
			must.LessEq(t, 8, f.numReceived(), must.Sprint("requests with the part"))
			refused := f.send(c.path, "last", "topic0:50,dead:70,last:9")
			must.Eq(t, http.StatusServiceUnavailable, refused.status)
			must.NotEq(t, "", refused.header.Get("Retry-After"))
		})
	}
}
