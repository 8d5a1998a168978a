package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/entry"
	load "github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/transport/sockettest"
)

// patience bounds every wait for a condition.
const patience = 20 * time.Second

// lockedBuffer is a buffer for log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// slowRouter is a router whose callers' sockets hold a small part of a response.
type slowRouter struct {
	*router
	address string
	memory  *conns.Memory
	metrics metrics.Registry
	log     lockedBuffer
}

func newSlowRouter(t *testing.T, limit int64) *slowRouter {
	t.Helper()
	r := &slowRouter{router: newRouter(t), metrics: metrics.NewRegistry()}
	log := slog.New(slog.NewTextHandler(&r.log, nil))
	r.memory = conns.NewMemory(limit, log, r.metrics)
	r.handler.Memory, r.handler.Log = r.memory, log
	s := httptest.NewUnstartedServer(r.handler)
	_ = s.Listener.Close()
	s.Config.ConnContext, s.Config.ConnState = entry.ConnContext, conns.ConnState
	s.Listener = conns.New(sockettest.Listen(t), conns.Limits{Descriptors: 1000}, conns.Load{
		Monitor: &load.Monitor{}, Admission: &load.Admission{}, Rotation: load.NewRotation(time.Now()),
	}, log, r.metrics)
	s.Start()
	t.Cleanup(s.Close)
	r.address = s.Listener.Addr().String()
	return r
}

// call sends a request and returns its connection, of which nothing is read.
func (r *slowRouter) call(path, deadlineMs, body string, extra ...string) *net.TCPConn {
	r.t.Helper()
	c, err := net.Dial("tcp4", r.address)
	must.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	tcp := c.(*net.TCPConn)
	must.NoError(r.t, tcp.SetReadBuffer(8<<10))
	r.send(c, path, deadlineMs, body, extra...)
	return tcp
}

func (r *slowRouter) send(c net.Conn, path, deadlineMs, body string, extra ...string) {
	r.t.Helper()
	lines := append([]string{headers.RequestID + ": id-1", headers.DeadlineRemaining + ": " + deadlineMs, "Authorization: Bearer k1",
		fmt.Sprint("Content-Length: ", len(body))}, extra...)
	_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: shop.example\r\n"+strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	must.NoError(r.t, err)
}

// count returns the value of a counter.
func (r *slowRouter) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.metrics).Count()
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(patience), wait.Gap(2*time.Millisecond)), must.Sprint(what))
}

// longEvent is an event of about 1 KB.
func longEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("v", 1000))
}

func longEvents(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		b.WriteString(longEvent(id))
	}
	return b.String()
}

// streamLong is a script that sends n long events, and tells when it has sent the last one.
func streamLong(n int, sent chan<- struct{}) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		for id := 1; id <= n; id++ {
			directtest.Chunk(c, longEvent(id))
		}
		directtest.Chunk(c, "")
		sent <- struct{}{}
		return true
	}
}

// readResponse reads a whole response.
func readResponse(c net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against an endpoint whose response isn't read while its caller reads nothing, and against events
// that are lost, repeated or out of order because they waited.
func TestSlowCallerDoesNotDelayItsEndpoint(t *testing.T) {
	const events = 3000
	for _, extra := range []string{"Connection: keep-alive", "Connection: close"} {
		t.Run(extra, func(t *testing.T) {
			r := newSlowRouter(t, 64<<20)
			sent := make(chan struct{}, 2)
			r.add("e1", "engines", streamLong(events, sent))
			c := r.call("/stream/1", "5000", "body", extra)
			select {
			case <-sent:
			case <-time.After(2 * time.Second):
				t.Fatal("the endpoint's response isn't read")
			}
			eventually(t, "the end of the request", func() bool { return r.handler.InFlight() == 0 })
			must.Greater(t, int64(events*1000/2), r.memory.Held())
			for range 2 {
				body, err := readResponse(c)
				must.NoError(t, err)
				must.Eq(t, longEvents(events), body)
				if extra == "Connection: close" {
					break
				}
				r.send(c, "/stream/1", "5000", "body")
			}
			eventually(t, "no bytes held", func() bool { return r.memory.Held() == 0 })
			must.Eq(t, 0, r.count("direct.streams_ended_for_memory"))
		})
	}
}

// Guards against a router that holds more than its budget, that ends a stream other than the largest one,
// or whose ended stream looks complete.
func TestLargestStreamEndsAboveTheBudget(t *testing.T) {
	const small, large = 800, 3500
	r := newSlowRouter(t, 3<<20)
	sent := make(chan struct{}, 2)
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		n := small
		if call.BodyText == "large" {
			n = large
		}
		return streamLong(n, sent)(c, call)
	})
	first := r.call("/stream/1", "5000", "small")
	<-sent
	eventually(t, "the end of the request", func() bool { return r.handler.InFlight() == 0 })
	second := r.call("/stream/1", "5000", "large")
	eventually(t, "an ended stream", func() bool { return r.count("direct.streams_ended_for_memory") == 1 })
	body, err := readResponse(second)
	must.Error(t, err, must.Sprintf("complete with %d bytes", len(body)))
	body, err = readResponse(first)
	must.NoError(t, err)
	must.Eq(t, longEvents(small), body)
	eventually(t, "the end of the request", func() bool { return r.handler.InFlight() == 0 })
	third := r.call("/stream/1", "5000", "small")
	body, err = readResponse(third)
	must.NoError(t, err)
	must.Eq(t, longEvents(small), body)
	eventually(t, "no bytes held", func() bool { return r.memory.Held() == 0 })
	must.Eq(t, 1, r.count("direct.streams_ended_for_memory"))
	must.StrContains(t, r.log.String(), `"stream ended for memory" reason="it holds most"`)
	eventually(t, "the cause at the connection", func() bool { return r.count("direct.unanswered_memory_exceeded") == 1 })
}

// Guards against a request that goes on at its endpoint although its caller has left, because events
// wait for the caller.
func TestCallerLeavesWhileEventsWait(t *testing.T) {
	const closeTime = 500 * time.Millisecond
	r := newSlowRouter(t, 64<<20)
	sent, closed := make(chan struct{}), make(chan time.Time, 1)
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		for id := 1; id <= 500; id++ {
			directtest.Chunk(c, longEvent(id))
		}
		close(sent)
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	})
	c := r.call("/stream/1", "5000", "body")
	<-sent
	eventually(t, "events that wait", func() bool { return r.memory.Held() > 100_000 })
	left := time.Now()
	must.NoError(t, c.Close())
	select {
	case at := <-closed:
		must.Less(t, closeTime, at.Sub(left))
	case <-time.After(patience):
		t.Fatal("the request goes on at its endpoint")
	}
	eventually(t, "no bytes held", func() bool { return r.memory.Held() == 0 })
}

// Guards against memory that is held for a caller that never reads, beyond its deadline.
func TestCallerThatNeverReadsIsEnded(t *testing.T) {
	r := newSlowRouter(t, 64<<20)
	sent := make(chan struct{}, 1)
	r.add("e1", "engines", streamLong(1000, sent))
	c := r.call("/stream/1", "500", "body")
	<-sent
	eventually(t, "events that wait", func() bool { return r.memory.Held() > 500_000 })
	eventually(t, "no bytes held", func() bool { return r.memory.Held() == 0 })
	_, err := readResponse(c)
	must.Error(t, err)
	eventually(t, "the cause at the connection", func() bool { return r.count("direct.unanswered_write_timed_out") == 1 })
}

// Guards against large responses of plain services that callers read slowly and that the budget doesn't
// count, and against one that is cut.
func TestSlowCallersOfPlainResponses(t *testing.T) {
	for name, size := range map[string]int{"buffered": 200_000, "large": 3_000_000} {
		t.Run(name, func(t *testing.T) {
			r := newSlowRouter(t, 64<<20)
			body := strings.Repeat("x", size)
			answered := make(chan struct{}, 1)
			r.add("e1", "plain", func(c net.Conn, call *directtest.Call) bool {
				directtest.Respond(c, call, http.StatusOK, body)
				answered <- struct{}{}
				return true
			})
			c := r.call("/lookup/1", "5000", "body")
			<-answered
			eventually(t, "a response that waits", func() bool { return r.memory.Held() > int64(size)/2 })
			got, err := readResponse(c)
			must.NoError(t, err)
			must.Eq(t, len(body), len(got))
			eventually(t, "no bytes held", func() bool { return r.memory.Held() == 0 })
		})
	}
}

// Guards against bodies that the budget doesn't count while endpoints read them slowly, and against
// requests beyond the limit on bodies that are taken.
func TestBodiesForSlowEndpoints(t *testing.T) {
	const size = 500_000
	r := newSlowRouter(t, 64<<20)
	r.handler.MaxHeldBytes = 5*size/2 + 1
	release := make(chan struct{})
	r.addSlow("e1", "plain", func(c *net.TCPConn, in *http.Request) {
		<-release
		n, err := io.Copy(io.Discard, in.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: sig\r\nContent-Length: 2\r\n\r\nok", headers.RequestID, headers.Signature)
		if n != size || err != nil {
			t.Errorf("the endpoint got %d bytes: %v", n, err)
		}
	})
	body := strings.Repeat("x", size)
	first, second := r.call("/order/1", "5000", body), r.call("/order/1", "5000", body)
	eventually(t, "two bodies held", func() bool { return r.memory.Held() == 2*size })
	third, err := net.Dial("tcp4", r.address)
	must.NoError(t, err)
	defer third.Close()
	go r.send(third, "/order/1", "5000", body)
	response, err := http.ReadResponse(bufio.NewReader(third), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	close(release)
	for _, c := range []net.Conn{first, second} {
		got, err := readResponse(c)
		must.NoError(t, err)
		must.Eq(t, "ok", got)
	}
	eventually(t, "no bytes held", func() bool { return r.memory.Held() == 0 })
}
