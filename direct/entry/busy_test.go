package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/entry"
)

// Guards against a busy router that reads and writes once per event, delays the
// first event, or loses coalesced events.
func TestBusyRouterCoalescesEvents(t *testing.T) {
	const events = 30
	firstRead := make(chan struct{})
	r := newRouter(t)
	r.overload.preferBatching.Store(true)
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(0))
		<-firstRead
		for i := 1; i < events; i++ {
			time.Sleep(10 * time.Millisecond)
			directtest.Chunk(c, directtest.Event(i))
		}
		directtest.Chunk(c, "")
		return true
	})
	c, err := net.Dial("tcp4", r.server.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, r.request(http.MethodPost, "/stream/1", "body").Write(c))
	in := bufio.NewReader(c)
	for line := ""; line != "\r\n"; {
		line, err = in.ReadString('\n')
		must.NoError(t, err)
	}
	var body strings.Builder
	chunks := 0
	for {
		size, err := in.ReadString('\n')
		must.NoError(t, err)
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 32)
		must.NoError(t, err)
		if n == 0 {
			break
		}
		chunk := make([]byte, n+2)
		_, err = io.ReadFull(in, chunk)
		must.NoError(t, err)
		body.Write(chunk[:n])
		if chunks == 0 {
			close(firstRead)
		}
		chunks++
	}
	var want strings.Builder
	for i := range events {
		want.WriteString(directtest.Event(i))
	}
	must.Eq(t, want.String(), body.String())
	// 29 events take at least 290 ms, enough for four coalescing delays.
	must.LessEq(t, events/2, chunks)
}

// Guards against Retry-After delays above the latency target, and against delays
// that make all refused callers retry at the same time.
func TestRetryAfterIsSpreadWithinLatencyTarget(t *testing.T) {
	r := newRouter(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	arrived := make(chan struct{}, 100)
	r.add("e1", "plain", func(c net.Conn, call *directtest.Call) bool {
		arrived <- struct{}{}
		<-release
		return false
	})
	const capacity = 2 * 4
	for range capacity {
		go r.post("/order/1")
	}
	for range capacity {
		<-arrived
	}
	delays := map[string]bool{}
	for range 20 {
		got := r.post("/order/1")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		// The target is 2 s.
		must.Between(t, 0.2, delay, 1.2)
		delays[got.header.Get("Retry-After")] = true
	}
	must.Greater(t, 5, len(delays))
}

// Guards against a body in a reused buffer that contains bytes of another request.
func TestReusedBodyBuffersAreNotShared(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	var callers errgroup.Group
	callers.SetLimit(8)
	for i := range 200 {
		callers.Go(func() error {
			in := r.request(http.MethodPost, "/order/"+strconv.Itoa(i), strings.Repeat(strconv.Itoa(i)+",", 500+i))
			in.Header.Set(headers.RequestID, strconv.Itoa(i))
			r.do(in)
			return nil
		})
	}
	must.NoError(t, callers.Wait())
	for _, call := range e.Calls() {
		i, err := strconv.Atoi(call.ID())
		must.NoError(t, err)
		must.Eq(t, strings.Repeat(call.ID()+",", 500+i), call.BodyText)
	}
	must.Positive(t, len(e.Calls()))
}

// Guards against a busy router that sends requests whose callers disconnected while
// it connected to the endpoint, and that then counts the endpoint as unreachable.
func TestDisconnectWhileConnectingIsNotSent(t *testing.T) {
	r := newRouter(t)
	caller, conn := connPair(t)
	e := r.add("e1", "plain", ok)
	in := r.request(http.MethodPost, "/order/1", "")
	in.RequestURI = "/order/1"
	in.ContentLength = 1
	in.Body = delayedBody{}
	in = in.WithContext(entry.ConnContext(t.Context(), closingAfterFirstCheck{Conn: conn, caller: caller, checks: new(int)}))
	func() {
		defer func() { must.Eq[any](t, http.ErrAbortHandler, recover()) }()
		r.handler.ServeHTTP(httptest.NewRecorder(), in)
	}()
	must.Len(t, 0, e.Calls())
	must.Eq(t, http.StatusOK, r.post("/order/2").status, must.Sprint("the endpoint is still used"))
}

// delayedBody is a body of one byte that arrives after 100 ms.
type delayedBody struct{}

func (delayedBody) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	p[0] = 'x'
	return 1, io.EOF
}

func (delayedBody) Close() error { return nil }

// closingAfterFirstCheck is a connection whose caller disconnects right after the
// router has checked its socket for the first time.
type closingAfterFirstCheck struct {
	net.Conn
	caller net.Conn
	checks *int
}

func (c closingAfterFirstCheck) SyscallConn() (syscall.RawConn, error) {
	*c.checks++
	if *c.checks > 1 {
		_ = c.caller.Close()
		time.Sleep(50 * time.Millisecond)
	}
	return c.Conn.(syscall.Conn).SyscallConn()
}
