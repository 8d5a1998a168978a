package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/entry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// endless returns a script that sends a signed response with these headers and then
// repeats text until the router closes the connection. It then closes ended.
func endless(extraHeaders, text string, ended chan struct{}) directtest.Script {
	text = strings.Repeat(text, 1+(32<<10)/len(text))
	return func(c net.Conn, call *directtest.Call) bool {
		defer close(ended)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n%s\r\n", headers.RequestID, call.ID(), headers.Signature, extraHeaders)
		for err == nil {
			_, err = io.WriteString(c, text)
		}
		return false
	}
}

// maxHeapGrowth bounds the memory of one endless response, in bytes.
const maxHeapGrowth = 24 << 20

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

const (
	chunkedHeader = "Transfer-Encoding: chunked\r\n"
	eventHeader   = "Content-Type: text/event-stream\r\n"
	chunkOfJunk   = "5\r\njunk \r\n"
)

// Guards against endless responses that fill the memory, are forwarded until the
// deadline, or look complete to the caller.
func TestEndlessResponseIsCut(t *testing.T) {
	const maxPlain = 16<<20 + 1
	for name, c := range map[string]struct {
		path, headers, text string
		// maxForwarded is the largest number of bytes that may reach the caller.
		maxForwarded int64
	}{
		"plain without length":  {"/order/1", "", "x", maxPlain},
		"plain chunked":         {"/order/1", chunkedHeader, chunkOfJunk, maxPlain},
		"stream without length": {"/stream/1", eventHeader, "x", 0},
		"stream of junk lines":  {"/stream/1", eventHeader, "junk\n", 0},
		"stream chunked":        {"/stream/1", eventHeader + chunkedHeader, chunkOfJunk, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			ended := make(chan struct{})
			service := "plain"
			if strings.HasPrefix(c.path, "/stream") {
				service = "engines"
			}
			e := r.add("e1", service, endless(c.headers, c.text, ended))
			before := heapBytes()
			in := r.request(http.MethodPost, c.path, "body")
			in.Header.Set(headers.DeadlineRemaining, "60000")
			response, err := r.server.Client().Do(in)
			if err == nil {
				var n int64
				n, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusBadGateway {
					n, err = 0, io.ErrUnexpectedEOF
				}
				must.LessEq(t, c.maxForwarded, n)
			}
			must.Error(t, err, must.Sprint("the response must not look complete"))
			<-ended
			must.Less(t, before+maxHeapGrowth, heapBytes())
			must.Len(t, 1, e.Calls())
		})
	}
}

// Guards against a limit on buffered responses that also cuts sound large ones.
func TestLargeResponseIsForwarded(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	r := newRouter(t)
	r.add("e1", "plain", func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusOK, body)
		return true
	})
	got := r.post("/order/1")
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "sig", got.header.Get(headers.Signature))
	must.True(t, got.body == body)
}

// Guards against a large response that breaks off halfway and looks complete.
func TestTruncatedLargeResponseIsAborted(t *testing.T) {
	r := newRouter(t)
	r.add("e1", "plain", func(c net.Conn, call *directtest.Call) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nContent-Length: %d\r\n\r\n%s",
			headers.RequestID, call.ID(), headers.Signature, 2<<20, strings.Repeat("x", 1<<20))
		return false
	})
	must.Error(t, r.post("/order/1").err)
}

// Guards against a stream whose endpoint sends single bytes without a complete event
// and that is held beyond its timeout.
func TestTricklingStreamEndsAtItsTimeout(t *testing.T) {
	r := newRouter(t)
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1))
		for {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	in := r.request(http.MethodPost, "/stream/1", "x")
	in.Header.Set(headers.DeadlineRemaining, "600")
	began := time.Now()
	got := r.do(in)
	must.Error(t, got.err)
	must.Eq(t, directtest.Event(1), got.body, must.Sprint("no part of an event may be forwarded"))
	must.GreaterEq(t, 600*time.Millisecond, time.Since(began))
}

// Guards against a stream that is moved to another endpoint, or ended, because its
// events come slowly. The gaps are longer than those after which an endpoint counts as
// stalled.
func TestSlowStreamIsCompletedWithoutAlternative(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		for i := range 3 {
			directtest.Chunk(c, directtest.Event(i))
			time.Sleep(1600 * time.Millisecond)
		}
		directtest.Chunk(c, "")
		return true
	})
	got, _ := r.stream("id-1", "/resumable/1")
	must.NoError(t, got.err)
	must.Eq(t, directtest.Event(0)+directtest.Event(1)+directtest.Event(2), got.body)
	must.Len(t, 1, e.Calls())
}

// Guards against a resumable stream that waits for its deadline at a trickling endpoint
// while another endpoint could continue it.
func TestTricklingResumableStreamIsMoved(t *testing.T) {
	r := newRouter(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	var mu sync.Mutex
	calls := 0
	script := func(c net.Conn, call *directtest.Call) bool {
		mu.Lock()
		calls++
		first := calls == 1
		mu.Unlock()
		directtest.BeginStream(c, call)
		if !first {
			directtest.Chunk(c, directtest.Event(2))
			directtest.Chunk(c, "")
			return true
		}
		directtest.Chunk(c, directtest.Event(1))
		for {
			select {
			case <-release:
				return false
			case <-time.After(20 * time.Millisecond):
			}
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
		}
	}
	r.add("e1", "engines", script)
	r.add("e2", "engines", script)
	got, _ := r.stream("id-1", "/resumable/1")
	must.NoError(t, got.err)
	must.Eq(t, directtest.Event(1)+directtest.Event(2), got.body)
}

// changingOnSecondCheck is a connection that calls change when the router checks its
// socket for the second time, which is immediately before the request is sent.
type changingOnSecondCheck struct {
	net.Conn
	checks *int
	change func()
}

// SyscallConn implements syscall.Conn. The router uses it for each check.
func (c changingOnSecondCheck) SyscallConn() (syscall.RawConn, error) {
	if *c.checks++; *c.checks == 2 {
		c.change()
	}
	return c.Conn.(syscall.Conn).SyscallConn()
}

// serveDelayed serves a request whose body arrives late, so that the connection is
// checked again before the request is sent.
func (r *router) serveDelayed(path string, conn net.Conn) *httptest.ResponseRecorder {
	in := r.request(http.MethodPost, path, "")
	in.RequestURI, in.ContentLength, in.Body = path, 1, delayedBody{}
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, in.WithContext(entry.ConnContext(r.t.Context(), conn)))
	return w
}

// Guards against a request that is sent to an endpoint which started to drain or was
// removed while the request waited for CPU time, and against a refusal if another
// endpoint can take it.
func TestEndpointThatLeftBeforeSendIsNotUsed(t *testing.T) {
	for name, leave := range map[string]func(*router, registry.Endpoint){
		"removed": func(r *router, e registry.Endpoint) { r.endpoints.Remove(e.ID, time.Now()) },
		"draining": func(r *router, e registry.Endpoint) {
			e.State = registry.Draining
			r.endpoints.Put(e)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			leaving := r.add("e1", "plain", ok)
			entryOfLeaving, _ := r.endpoints.Lookup("e1")
			var next *directtest.Endpoint
			_, conn := connPair(t)
			w := r.serveDelayed("/order/1", changingOnSecondCheck{Conn: conn, checks: new(int), change: func() {
				leave(r, entryOfLeaving)
				next = r.add("e2", "plain", ok)
			}})
			must.Eq(t, http.StatusOK, w.Code)
			must.Len(t, 0, leaving.Calls())
			must.Len(t, 1, next.Calls())
		})
	}
}

// Guards against a request that is sent after its deadline because it waited for CPU
// time. It was not run, and the caller is told so.
func TestRequestIsNotSentAfterItsDeadline(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	_, conn := connPair(t)
	w := r.serveDelayed("/brief/1", changingOnSecondCheck{Conn: conn, checks: new(int), change: func() {
		time.Sleep(100 * time.Millisecond)
	}})
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Len(t, 0, e.Calls())
}

// Guards against a nil dereference when the caller of an interrupted stream disconnects
// before the stream is resumed and its request's context has no error yet.
func TestDisconnectBeforeResumptionAbortsTheStream(t *testing.T) {
	r := newRouter(t)
	interrupted := func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1))
		time.Sleep(100 * time.Millisecond)
		return false
	}
	a, b := r.add("e1", "engines", interrupted), r.add("e2", "engines", interrupted)
	caller, conn := connPair(t)
	in := r.request(http.MethodPost, "/resumable/1", "x")
	in.RequestURI = "/resumable/1"
	in = in.WithContext(entry.ConnContext(t.Context(), closingAfterFirstCheck{Conn: conn, caller: caller, checks: new(int)}))
	func() {
		defer func() { must.Eq[any](t, http.ErrAbortHandler, recover()) }()
		r.handler.ServeHTTP(httptest.NewRecorder(), in)
	}()
	must.Eq(t, 1, len(a.Calls())+len(b.Calls()))
	must.Eq(t, 1, r.handler.Metrics.CallerDisconnected.Count())
}

// Guards against chunked bodies, whose length is unknown until their end, that together
// exceed the memory for bodies.
func TestChunkedBodiesShareTheMemoryLimit(t *testing.T) {
	r := newRouter(t)
	r.handler.MaxHeldBytes = 1 << 20
	e := r.add("e1", "plain", ok)
	const callers = 4
	part := strings.Repeat("x", 400<<10)
	done := make(chan struct{})
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			body, feed := io.Pipe()
			in := r.request(http.MethodPost, "/order/1", "")
			in.Body, in.ContentLength = body, -1
			go func() {
				_, _ = io.WriteString(feed, part)
				<-done
				_ = feed.Close()
			}()
			statuses <- r.do(in).status
		}()
	}
	// The memory holds two of the bodies. Until the others are refused, none may end: its
	// memory would be released to them.
	const refused = 2
	for range refused {
		must.Eq(t, http.StatusServiceUnavailable, <-statuses)
	}
	close(done)
	for range callers - refused {
		<-statuses
	}
	must.LessEq(t, 2, len(e.Calls()), must.Sprint("bodies of three callers exceed the limit"))
	must.Eq(t, http.StatusOK, r.post("/order/2").status, must.Sprint("the memory is released"))
}

// Guards against a stream that broke off before its first event being forwarded as a
// complete, empty one because its response has neither a length nor chunks.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	r := newRouter(t)
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n%s\r\n", headers.RequestID, call.ID(), headers.Signature, eventHeader)
		return false
	})
	must.Eq(t, http.StatusBadGateway, r.post("/stream/1").status)
}

// Guards against treating the end of a sound stream without a length or chunks as a
// failure, and against forwarding one that ends inside an event as complete.
func TestUnframedStreams(t *testing.T) {
	for text, complete := range map[string]bool{directtest.Event(1): true, directtest.Event(1) + "id: 2\ndata": false} {
		r := newRouter(t)
		r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n%s\r\n%s", headers.RequestID, call.ID(), headers.Signature, eventHeader, text)
			return false
		})
		got := r.post("/stream/1")
		must.Eq(t, directtest.Event(1), got.body)
		must.Eq(t, complete, got.err == nil)
	}
}
