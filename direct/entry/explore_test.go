package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// behaviour is what an endpoint does with one send.
type behaviour struct {
	name string
	// runs is set if the endpoint works on the request.
	runs   bool
	script directtest.Script
}

// streamEvents is the number of events in a whole stream.
const streamEvents = 4

func wholeStream() string { return eventsFrom(1, streamEvents) }

func eventsFrom(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(directtest.Event(i))
	}
	return b.String()
}

// firstEvent returns the event with which a run begins.
func firstEvent(call *directtest.Call) int {
	last, err := strconv.Atoi(call.Header.Get(headers.LastEventID))
	if err != nil {
		return 1
	}
	return last + 1
}

func raw(text string) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		_, _ = fmt.Fprintf(c, strings.ReplaceAll(text, "\n", "\r\n"), headers.RequestID, call.ID(), headers.Signature)
		return false
	}
}

func status(code int, extra ...string) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		directtest.Answer(c, call, code, "from the endpoint", extra...)
		return true
	}
}

// common are the behaviours of any endpoint.
func common() []behaviour {
	return []behaviour{
		{"full", false, status(503, headers.NotExecuted+": 1")},
		{"misdirected", false, status(421)},
		{"bare 503", true, status(503)},
		{"bare 429", true, status(429)},
		{"failure", true, status(500)},
		{"reset", true, reset},
		{"closed", true, func(net.Conn, *directtest.Call) bool { return false }},
		{"unsigned", true, raw("HTTP/1.1 200 OK\n%s: %s\nContent-Length: 2\n\nok%.0s")},
		{"encoded", true, status(200, "Content-Encoding: gzip")},
		{"other answer", true, raw("HTTP/1.1 200 OK\n%s: not-%s\n%s: sig\nContent-Length: 2\n\nok")},
		{"no answer in the protocol", true, raw("%.0s%.0s%.0snonsense\n\n")},
	}
}

func plainBehaviours() []behaviour {
	return append(common(),
		behaviour{"answer", true, ok},
		behaviour{"truncated", true, raw("HTTP/1.1 200 OK\n%s: %s\n%s: sig\nContent-Length: 5\n\nok")},
	)
}

func streamBehaviours() []behaviour {
	stream := func(name string, send func(c net.Conn, first int)) behaviour {
		return behaviour{name, true, func(c net.Conn, call *directtest.Call) bool {
			directtest.BeginStream(c, call)
			send(c, firstEvent(call))
			return false
		}}
	}
	return append(common(),
		stream("whole stream", func(c net.Conn, first int) {
			directtest.Chunk(c, eventsFrom(first, streamEvents))
			directtest.Chunk(c, "")
		}),
		stream("cut before an event", func(net.Conn, int) {}),
		stream("cut inside an event", func(c net.Conn, first int) {
			directtest.Chunk(c, directtest.Event(first)+"id: "+strconv.Itoa(first+1)+"\nda")
		}),
		stream("ended inside an event", func(c net.Conn, first int) {
			directtest.Chunk(c, directtest.Event(first)+"id: "+strconv.Itoa(first+1)+"\nda")
			directtest.Chunk(c, "")
		}),
	)
}

// world is a set of endpoints that behave by a common list, in order of the
// sends. Sends beyond the list get the last behaviour again.
type world struct {
	mu    sync.Mutex
	list  []behaviour
	sends int
	runs  int
}

func (w *world) script(c net.Conn, call *directtest.Call) bool {
	w.mu.Lock()
	b := w.list[min(w.sends, len(w.list)-1)]
	w.sends++
	if b.runs {
		w.runs++
	}
	w.mu.Unlock()
	return b.script(c, call)
}

// exploration plays every sequence of behaviours that a route can meet.
type exploration struct {
	t          *testing.T
	path       string
	whole      string
	repeatable bool
	behaviours []behaviour
	played     int

	// addresses are those of endpoints that behave as current says.
	addresses []string
	current   atomic.Pointer[world]
}

func (e *exploration) run(t *testing.T) {
	e.t = t
	for range maxSends + 1 {
		endpoint := directtest.NewEndpoint(t, func(c net.Conn, call *directtest.Call) bool {
			return e.current.Load().script(c, call)
		})
		e.addresses = append(e.addresses, endpoint.Address)
	}
	e.explore(nil)
	t.Logf("%d lists", e.played)
}

// maxSends bounds the sends of one request: its two attempts, and two refusals.
const maxSends = 4

// explore plays the behaviours in list, and then all lists that continue it if
// the router sent more often than list is long.
func (e *exploration) explore(list []behaviour) {
	if len(list) > 0 && e.play(list) <= len(list) {
		return
	}
	must.LessEq(e.t, maxSends, len(list), must.Sprint(names(list)))
	for _, b := range e.behaviours {
		e.explore(append(list[:len(list):len(list)], b))
	}
}

func names(list []behaviour) string {
	var all []string
	for _, b := range list {
		all = append(all, b.name)
	}
	return strings.Join(all, ", ")
}

// play sends one request and returns how often the router sent it.
func (e *exploration) play(list []behaviour) int {
	e.played++
	w := &world{list: list}
	e.current.Store(w)
	r := newRouter(e.t)
	defer r.server.Close()
	for i, address := range e.addresses {
		for _, service := range []string{"plain", "engines"} {
			id := fmt.Sprintf("%s-%d", service, i)
			r.endpoints.Put(registry.Endpoint{ID: id, Service: service, Address: address, Zone: "z", Slots: 4})
		}
	}
	got := r.post(e.path)
	w.mu.Lock()
	defer w.mu.Unlock()
	e.check(w, got, list[min(w.sends, len(list))-1])
	return w.sends
}

// check holds what every end of a request must keep, whatever endpoints did.
func (e *exploration) check(w *world, got result, last behaviour) {
	note := must.Sprintf("%s after %s", e.path, names(w.list))
	if !e.repeatable {
		must.LessEq(e.t, 1, w.runs, note)
	}
	must.LessEq(e.t, 2, w.runs, note)
	if got.err != nil {
		must.StrHasPrefix(e.t, got.body, e.whole, note)
		return
	}
	switch got.status {
	case http.StatusOK:
		must.Eq(e.t, e.whole, got.body, note)
		must.Eq(e.t, "sig", got.header.Get(headers.Signature), note)
	case http.StatusInternalServerError:
		must.Eq(e.t, "failure", last.name, note)
		must.Eq(e.t, "sig", got.header.Get(headers.Signature), note)
		must.Eq(e.t, "from the endpoint", got.body, note)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		must.Zero(e.t, w.runs, note)
		must.Eq(e.t, "", got.header.Get(headers.Signature), note)
	case http.StatusBadGateway:
		must.Positive(e.t, w.runs, note)
		must.Eq(e.t, "", got.header.Get(headers.Signature), note)
	default:
		e.t.Fatalf("%s after %s: status %d", e.path, names(w.list), got.status)
	}
}

// Guards against every combination of endpoint failures that makes a request
// run twice, lets "not run" be untrue, mixes answers or passes on a broken one
// as whole. The exploration is exhaustive: it follows each list of behaviours as
// long as the router sends again.
func TestEveryEndOfARequest(t *testing.T) {
	for _, e := range []*exploration{
		{path: "/lookup/1", whole: "ok", repeatable: true, behaviours: plainBehaviours()},
		{path: "/order/1", whole: "ok", behaviours: plainBehaviours()},
		{path: "/resumable/1", whole: wholeStream(), repeatable: true, behaviours: streamBehaviours()},
		{path: "/stream/1", whole: wholeStream(), behaviours: streamBehaviours()},
	} {
		t.Run(strings.Trim(e.path, "/1"), func(t *testing.T) {
			t.Parallel()
			e.run(t)
		})
	}
}
