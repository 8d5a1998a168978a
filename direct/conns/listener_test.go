package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

func await(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
}

func newListener(t *testing.T, inner net.Listener, descriptors int) *Listener {
	t.Helper()
	load := Load{Monitor: &overload.Monitor{}, Admission: &overload.Admission{}, Rotation: overload.NewRotation(time.Now())}
	l := New(inner, Limits{Descriptors: descriptors}, load, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	tcp, ok := inner.(*net.TCPListener)
	must.True(t, ok)
	return tcp
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a listener that serves connections in order of arrival, those whose callers are about to
// leave, and so none in time while there are many.
func TestNewestConnectionIsServedFirst(t *testing.T) {
	l := newListener(t, listen(t), 1000)
	var newest net.Conn
	for range 20 {
		newest = dial(t, l)
	}
	await(t, func() bool { return l.Counts().Waiting == 20 })
	c, err := l.Accept()
	must.NoError(t, err)
	must.Eq(t, newest.LocalAddr().String(), c.RemoteAddr().String())
}

// Guards against requests that were sent whole on connections which a process without CPU time doesn't
// come to read, and which get neither an answer nor a refusal. They must be refused before the callers'
// patience of a second ends, also if nobody else connects.
func TestRequestsThatWaitForTheServerAreRefused(t *testing.T) {
	const patience = time.Second
	l := newListener(t, listen(t), 4000)
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range 700 {
		c := dial(t, l)
		callers.Go(func() {
			_, err := io.WriteString(c, wholeRequest)
			sent := time.Now()
			response, readErr := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || readErr != nil {
				return
			}
			body, err := io.ReadAll(response.Body)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && response.StatusCode == http.StatusServiceUnavailable && response.Close && time.Since(sent) < patience &&
				response.Header.Get("Retry-After") != "" && strings.Contains(string(body), "not-run") {
				refused++
			}
		})
	}
	callers.Wait()
	must.Eq(t, 700, refused)
	await(t, func() bool { return l.Counts().Open == 0 })
	must.MapEmpty(t, l.Counts().Unanswered)
}

// Guards against a burst that a host with CPU time refuses because of its number only.
func TestBurstIsServed(t *testing.T) {
	l, _ := serve(t, func(*Conn, http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) })
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 500 {
		callers.Go(func() {
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, wholeRequest)
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				mu.Lock()
				defer mu.Unlock()
				statuses[response.StatusCode]++
			}
		})
	}
	callers.Wait()
	must.Eq(t, map[int]int{http.StatusOK: 500}, statuses)
}

// Guards against a stop that closes the connections which wait, without an answer, because the server
// doesn't come to them.
func TestFinishRefusesWhatTheServerHasNotGot(t *testing.T) {
	l := newListener(t, listen(t), 4000)
	var callers sync.WaitGroup
	var answered atomic.Int64
	for range 200 {
		c := dial(t, l)
		callers.Go(func() {
			_, _ = io.WriteString(c, wholeRequest)
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				answered.Add(1)
			}
		})
	}
	await(t, func() bool { return l.Counts().Waiting == 200 })
	ctx, cancel := context.WithTimeout(t.Context(), overload.MaxWaitingTime/2+refusalTime)
	defer cancel()
	l.Finish(ctx)
	callers.Wait()
	must.Eq(t, 200, answered.Load())
}

// Guards against connections without a request that use up the descriptors and goroutines of the process.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	const limit = 10
	l := newListener(t, listen(t), limit*descriptorsPerRequest)
	most := 0
	for range limit + 2*maxLingering {
		dial(t, l)
		most = max(most, l.Counts().Open)
	}
	await(t, func() bool { return l.Counts().Accepted == limit+2*maxLingering })
	must.LessEq(t, limit+maxLingering, most)
}

// Guards against a refusal with a body in response to HEAD: the caller takes it for the next response.
func TestRefusalOfHeadHasNoBody(t *testing.T) {
	l := newListener(t, listen(t), 1000)
	c := dial(t, l)
	_, err := io.WriteString(c, "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	answer, err := io.ReadAll(c)
	must.NoError(t, err)
	must.StrContains(t, string(answer), "503")
	must.StrHasSuffix(t, "\r\n\r\n", string(answer))
}

// Guards against callers of long bodies that don't see the refusal because their connection is reset
// while they still send.
func TestCallerThatStillSendsSeesTheRefusal(t *testing.T) {
	l := newListener(t, listen(t), 2)
	const length = 600 << 10
	dial(t, l)
	await(t, func() bool { return l.Counts().Waiting == 1 })
	for name, head := range map[string]string{
		"length":  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 614400\r\n\r\n",
		"chunked": "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n96000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, l)
			_, err := io.WriteString(c, head)
			must.NoError(t, err)
			// The excess is refused with the next connection.
			dial(t, l)
			part := strings.Repeat("x", length/10)
			for range 10 {
				time.Sleep(10 * time.Millisecond)
				if _, err := io.WriteString(c, part); err != nil {
					break
				}
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			_, err = io.Copy(io.Discard, response.Body)
			must.NoError(t, err)
		})
	}
}

// Guards against refusals that are sent before anything of the request has arrived, and against
// connections without a request that stay open for good.
func TestConnectionWithoutARequestIsClosed(t *testing.T) {
	l := newListener(t, listen(t), 2)
	silent, late := dial(t, l), dial(t, l)
	dial(t, l)
	time.Sleep(overload.MaxWaitingTime)
	_, err := io.WriteString(late, wholeRequest)
	must.NoError(t, err)
	answer, err := io.ReadAll(late)
	must.NoError(t, err)
	must.StrContains(t, string(answer), "503")
	answer, err = io.ReadAll(silent)
	must.NoError(t, err)
	must.Eq(t, "", string(answer))
	must.MapEmpty(t, l.Counts().Unanswered)
}

// Guards against a server that gets more connections than it begins to read, so that all other work of
// the process waits behind them.
func TestServerGetsNoMoreConnectionsThanItReads(t *testing.T) {
	l := newListener(t, listen(t), 1000)
	for range 2 * maxStarting {
		dial(t, l)
	}
	await(t, func() bool { return l.Counts().Waiting == 2*maxStarting })
	var accepted []net.Conn
	for range maxStarting {
		c, err := l.Accept()
		must.NoError(t, err)
		accepted = append(accepted, c)
	}
	next := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		next <- err
	}()
	select {
	case <-next:
		t.Fatal("one connection too many")
	case <-time.After(50 * time.Millisecond):
	}
	for _, c := range accepted {
		must.NoError(t, c.SetReadDeadline(time.Now()))
		_, err := c.Read(make([]byte, 1))
		must.Error(t, err)
	}
	must.NoError(t, <-next)
}

// failingListener fails one accept.
type failingListener struct {
	*net.TCPListener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.TCPListener.Accept()
}

// Guards against a router that accepts no connection any more after one accept failed.
func TestFailedAcceptIsRepeated(t *testing.T) {
	l := newListener(t, &failingListener{TCPListener: listen(t)}, 1000)
	dial(t, l)
	c, err := l.Accept()
	must.NoError(t, err)
	must.NoError(t, c.Close())
}

// Guards against connections that wait in the kernel and are reset when the listener is closed.
func TestFinishAcceptsWhatWaitsInTheKernel(t *testing.T) {
	inner := listen(t)
	var dialed []net.Conn
	for range 100 {
		dialed = append(dialed, dial(t, inner))
	}
	l := newListener(t, inner, 1000)
	finished := make(chan int, 1)
	go func() { finished <- l.Finish(t.Context()) }()
	for _, c := range dialed {
		_, err := io.WriteString(c, wholeRequest)
		must.NoError(t, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })}
	must.ErrorIs(t, server.Serve(l), net.ErrClosed)
	must.Zero(t, <-finished)
	answered := 0
	for _, c := range dialed {
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			answered++
		}
	}
	must.Eq(t, len(dialed), answered)
	_, err := net.Dial("tcp4", l.Addr().String())
	must.True(t, errors.Is(err, syscall.ECONNREFUSED))
}

// Guards against a kept connection that is closed at a stop although a request waits in its socket.
func TestFinishServesARequestThatWaitsInItsSocket(t *testing.T) {
	for range 50 {
		l, _ := serve(t, func(*Conn, http.ResponseWriter, *http.Request) {})
		c := dial(t, l)
		reader := bufio.NewReader(c)
		_, err := io.WriteString(c, wholeRequest)
		must.NoError(t, err)
		_, err = http.ReadResponse(reader, nil)
		must.NoError(t, err)
		time.Sleep(time.Millisecond)
		_, err = io.WriteString(c, wholeRequest)
		must.NoError(t, err)
		l.endIdle(time.Now().Add(time.Minute))
		_, err = http.ReadResponse(reader, nil)
		must.NoError(t, err)
	}
}

// Guards against an idle connection that a stop waits for until its end, because net/http read the rest of
// a refused request's body after its answer; and against counting it as unanswered.
func TestConnectionIsIdleAfterAnUnreadBody(t *testing.T) {
	l, _ := serve(t, func(_ *Conn, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	c := dial(t, l)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("x", 65536))
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.False(t, response.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	must.Zero(t, l.Finish(ctx))
	must.MapEmpty(t, l.Counts().Unanswered)
}

// Guards against a request that gets no answer because it arrives as a stop looks for idle connections,
// on a connection that waits for it to refuse it.
func TestLateRequestIsRefusedAtAStop(t *testing.T) {
	for range 50 {
		l := newListener(t, listen(t), 2)
		c := dial(t, l)
		await(t, func() bool { return l.Counts().Waiting == 1 })
		dial(t, l)
		await(t, func() bool { return l.Counts().Waiting == 1 && l.Counts().Open == 2 })
		time.Sleep(2 * time.Millisecond)
		_, err := io.WriteString(c, wholeRequest)
		must.NoError(t, err)
		l.endIdle(time.Now().Add(time.Minute))
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
	}
}

// Guards against a stop that resets the connection of a caller which still sends the body of a refused
// request.
func TestRestOfARefusedRequestIsReadAtAStop(t *testing.T) {
	l := newListener(t, listen(t), 2)
	dial(t, l)
	await(t, func() bool { return l.Counts().Waiting == 1 })
	c := dial(t, l)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 614400\r\n\r\n")
	must.NoError(t, err)
	dial(t, l)
	await(t, func() bool { return l.Counts().Refused == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go l.Finish(ctx)
	part := strings.Repeat("x", 61440)
	for i := range 9 {
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(c, part)
		must.NoError(t, err, must.Sprint("part ", i))
	}
}

// Guards against a connection whose next request begins cancelled, because a stop looked for idle
// connections before its last answer was written to the end.
func TestAnswerInProgressIsNotIdle(t *testing.T) {
	contexts := make(chan error, 2)
	answered := make(chan struct{})
	l, _ := serve(t, func(c *Conn, w http.ResponseWriter, in *http.Request) {
		contexts <- in.Context().Err()
		if in.URL.Path != "/first" {
			return
		}
		w.Header().Set("Content-Length", "8388608")
		_, _ = w.Write(make([]byte, 8<<20))
		c.Answered()
		close(answered)
		// The last bytes are flushed after the handler.
		time.Sleep(50 * time.Millisecond)
	})
	c := dial(t, l)
	reader := bufio.NewReader(c)
	_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	go func() {
		<-answered
		l.endIdle(time.Now().Add(time.Minute))
	}()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	_, err = io.WriteString(c, wholeRequest)
	must.NoError(t, err)
	_, err = http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.NoError(t, <-contexts)
	must.NoError(t, <-contexts)
}

// Guards against a request that gets no answer because it arrives after the server has found its
// connection idle and before it closes it.
func TestRequestThatArrivesBeforeTheCloseIsRefused(t *testing.T) {
	for _, body := range []string{"", strings.Repeat("x", 100<<10)} {
		l := newListener(t, listen(t), 1000)
		c := dial(t, l)
		server, err := l.Accept()
		must.NoError(t, err)
		in := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, in)
			sent <- err
		}()
		await(t, func() bool { return sockpeek.Peek(server) == sockpeek.Readable })
		must.NoError(t, server.Close())
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.NoError(t, <-sent)
		await(t, func() bool { return l.Counts().Open == 0 })
	}
}
