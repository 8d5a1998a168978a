package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Guards against a response that is buffered instead of streamed, a request that is
// forwarded with changes, and charges that are not reported to the owner.
func TestStreamedRequest(t *testing.T) {
	blocking := newBlockingHandler(t)
	f := startFixture(t, options{handler: blocking.ServeHTTP})
	h := f.header(f.token())
	resp, err := f.send(t.Context(), h)
	must.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, len("data: one\n\n"))
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	must.Eq(t, "data: one\n\n", string(first))
	eventually(t, "the running request in a report", func() bool {
		last := f.router.lastReport()
		if last.Running != 1 || len(last.Counters) != 1 {
			return false
		}
		// The hint is 5 and the weight 4; one unit has been metered.
		c := last.Counters[0]
		return c.Running == 1 && c.Cost == 1 && c.Outstanding == 4*slots.NormalizedScale/4
	})
	r := <-blocking.received
	body, _ := io.ReadAll(r.Body)
	must.Eq(t, "question", string(body))
	must.Eq(t, "/op?x=1", r.RequestURI)
	must.Eq(t, "HTTP/1.1", r.Proto)
	must.Eq(t, "c", r.Header.Get("X-Caller"))
	must.Eq(t, h.Request, r.Header.Get("X-Request-Id"))
	must.Eq(t, h.Request, r.Header.Get("Idempotency-Key"))
	must.Eq(t, "", r.Header.Get("Acaciaspar-Slot-Token"))
	blocking.release()
	rest, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "data: two\n\ndata: [DONE]\n\n", string(rest))
	must.Eq(t, "2", resp.Trailer.Get(work.CostTrailer))
	eventually(t, "the charge at the owner", func() bool {
		for _, c := range f.router.lastReport().Counters {
			if c.Team == "a" && c.Cost == 2 && c.Normalized == 2*slots.NormalizedScale/4 && c.Finished == 1 {
				return true
			}
		}
		return false
	})
}

// Guards against running a request that is invalid or meant for another agent, and
// against the outcome not-run for a request that has run.
func TestInvalidRequestsAreRefused(t *testing.T) {
	var runs atomic.Int32
	f := startFixture(t, options{handler: func(http.ResponseWriter, *http.Request) { runs.Add(1) }})
	token := f.token()
	changes := map[string]func(*work.Header){
		"malformed": func(h *work.Header) { h.Weight = 0 },
		"fleet":     func(h *work.Header) { h.Fleet = "other" },
		"endpoint":  func(h *work.Header) { h.Endpoint = "e2" },
		"service":   func(h *work.Header) { h.Service = "other" },
		"operation": func(h *work.Header) { h.Operation = "other" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := f.header(token)
			change(h)
			f.mustGetOutcome(h, outcome.NotRun, http.StatusConflict)
		})
	}
	f.mustGetOutcome(f.header("no-such-token"), outcome.NotRun, http.StatusServiceUnavailable)
	must.Zero(t, runs.Load())

	h := f.header(f.token())
	resp, _ := f.sendAndRead(h)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	f.mustGetOutcome(h, outcome.Unknown, http.StatusConflict)
	again := f.header(h.SlotToken)
	f.mustGetOutcome(again, outcome.NotRun, http.StatusServiceUnavailable)
	must.Eq(t, 1, runs.Load())
}

// Guards against starting a request under a lease that expired while the process
// was paused.
func TestTokenWithExpiredLeaseIsRefused(t *testing.T) {
	var runs atomic.Int32
	f := startFixture(t, options{handler: func(http.ResponseWriter, *http.Request) { runs.Add(1) }})
	f.token()
	var token string
	f.agent.slots.withTable(func(table *slots.Table) {
		past := time.Now().Add(-slots.Lease - time.Second)
		number := table.BuildReport(past, table.Owner(), false).FreeTokens[0]
		token = slots.TokenName(f.agent.identity.Instance, number)
	})
	f.mustGetOutcome(f.header(token), outcome.NotRun, http.StatusServiceUnavailable)
	must.Zero(t, runs.Load())
}

// Guards against an endpoint that continues a request after the caller has cancelled it.
func TestCancellationReachesEndpoint(t *testing.T) {
	blocking := newBlockingHandler(t)
	f := startFixture(t, options{handler: blocking.ServeHTTP})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := f.send(ctx, f.header(f.token()))
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("data: one\n\n")))
	must.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	select {
	case <-blocking.cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the endpoint didn't see the cancellation")
	}
	eventually(t, "a free slot", func() bool { return f.inProgress() == 0 })
	must.Eq(t, 1, f.counter("a").Cost)
}

// Guards against an agent that continues to offer tokens, or reports a wrong
// outcome, after the endpoint has refused its fencing number because a later
// instance has replaced it.
func TestFencingRefusal(t *testing.T) {
	var number atomic.Value
	refuse := func(w http.ResponseWriter, r *http.Request) {
		number.Store(r.Header.Get(fencingHeader))
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	log := startLog(t, 7)
	f := startFixture(t, options{handler: refuse, fencing: objects.FencingChecked, configure: func(s *Settings) { s.LogURL = log }})
	f.mustGetOutcome(f.header(f.token()), outcome.NotRun, http.StatusServiceUnavailable)
	must.Eq(t, "7", number.Load().(string))
	must.Eq(t, 7, f.router.lastReport().FencingNumber)
	must.Eq(t, slots.StopFenced, f.stopReasons())
	eventually(t, "a report without tokens", func() bool {
		last := f.router.lastReport()
		return last.Draining && len(last.FreeTokens) == 0 && last.Running == 0
	})
}

// Guards against treating an application's own 412 response as a fencing refusal.
func TestPreconditionFailedWithoutFencing(t *testing.T) {
	f := startFixture(t, options{handler: func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "etag", http.StatusPreconditionFailed)
	}})
	resp, body := f.sendAndRead(f.header(f.token()))
	must.Eq(t, http.StatusPreconditionFailed, resp.StatusCode)
	must.Eq(t, "etag\n", body)
	must.Eq(t, "", resp.Header.Get(outcome.Header))
	must.Zero(t, f.stopReasons())
}

// reservePort returns an address that refuses connections until listen is called.
func reservePort(t *testing.T) (address string, listen func() net.Listener) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	file := os.NewFile(uintptr(fd), "reserved")
	t.Cleanup(func() { _ = file.Close() })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), func() net.Listener {
		must.NoError(t, syscall.Listen(fd, 16))
		l, err := net.FileListener(file)
		must.NoError(t, err)
		return l
	}
}

// Guards against the outcome unknown if nothing was sent, and against offering the
// slots of an unreachable endpoint.
func TestEndpointRefusesConnection(t *testing.T) {
	address, listen := reservePort(t)
	f := startFixture(t, options{url: "http://" + address})
	f.mustGetOutcome(f.header(f.token()), outcome.NotRun, http.StatusServiceUnavailable)
	must.Zero(t, f.inProgress())
	must.Zero(t, f.counter("a").Failed)
	must.Eq(t, slots.StopUnreachable, f.stopReasons())
	eventually(t, "a report without tokens", func() bool { return len(f.router.lastReport().FreeTokens) == 0 })
	endpoint := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	t.Cleanup(func() { _ = endpoint.Close() })
	l := listen()
	go func() { _ = endpoint.Serve(l) }()
	resp, _ := f.sendAndRead(f.header(f.token()))
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// writeAndClose returns a handler that writes text to the connection and closes it.
func writeAndClose(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
}

// Guards against the outcome not-run or failed if the request may have run.
func TestConnectionLostBeforeResponse(t *testing.T) {
	var runs atomic.Int32
	closeConn := writeAndClose("")
	f := startFixture(t, options{handler: func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		closeConn(w, r)
	}})
	f.mustGetOutcome(f.header(f.token()), outcome.Unknown, http.StatusBadGateway)
	must.Eq(t, 1, runs.Load())
	must.Eq(t, 1, f.counter("a").Failed)
}

// Guards against a response with a status that can't be forwarded: the handler would end by a panic,
// or an interim status would become a success of the agent's own.
func TestInvalidStatusIsABrokenResponse(t *testing.T) {
	for _, service := range []objects.ServiceType{objects.ModelService, objects.PlainService} {
		for _, status := range []string{"000", "099", "101", "600", "999"} {
			t.Run(string(service)+" "+status, func(t *testing.T) {
				f := startFixture(t, options{service: service, handler: writeAndClose("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nno")})
				f.mustGetOutcome(f.header(f.token()), outcome.Unknown, http.StatusBadGateway)
				eventually(t, "a free slot", func() bool { return f.inProgress() == 0 })
				must.Eq(t, 1, f.counter("a").Failed)
			})
		}
	}
}

// Guards against a truncated response that appears complete to the router.
func TestTruncatedResponse(t *testing.T) {
	f := startFixture(t, options{handler: writeAndClose("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
		"Transfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n")})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	must.Error(t, err)
	must.Eq(t, "data: one\n\n", string(body))
	eventually(t, "a free slot", func() bool { return f.inProgress() == 0 })
	must.Eq(t, 1, f.counter("a").Cost)
	must.Eq(t, 1, f.counter("a").Failed)
}

// Guards against an endpoint error that isn't forwarded to the caller, and against
// endpoint time that isn't charged.
func TestPlainServiceError(t *testing.T) {
	f := startFixture(t, options{service: objects.PlainService, handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.Header, "not-run")
		http.Error(w, "no", http.StatusInternalServerError)
	}})
	resp, body := f.sendAndRead(f.header(f.token()))
	must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
	must.Eq(t, "no\n", body)
	must.Eq(t, "", resp.Header.Get(outcome.Header))
	must.NotEq(t, "0", resp.Trailer.Get(work.CostTrailer))
	eventually(t, "the end of the request", func() bool { return f.inProgress() == 0 })
	must.Eq(t, 1, f.counter("a").Failed)
	must.Positive(t, f.counter("a").Cost)
}

// Guards against an agent that holds a prefetched request beyond its start
// deadline, or forwards it after the deadline.
func TestStartTimeout(t *testing.T) {
	blocking := newBlockingHandler(t)
	f := startFixture(t, options{handler: blocking.ServeHTTP, prefetch: 1, configure: func(s *Settings) { s.StartTimeout = 50 * time.Millisecond }})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	<-blocking.received
	eventually(t, "a token for prefetch", func() bool {
		last := f.router.lastReport()
		return last.Running == 1 && len(last.FreeTokens) == 1
	})
	f.mustGetOutcome(f.header(f.token()), outcome.NotRun, http.StatusServiceUnavailable)
	must.Eq(t, 1, f.inProgress())
	must.Zero(t, len(blocking.received))
}

// Guards against a request that the HTTP transport resends on its own. It does so
// on a reused connection if the request has no body and an idempotency key.
func TestRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int32
	closeConn := writeAndClose("")
	f := startFixture(t, options{handler: func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) > 1 {
			closeConn(w, r)
		}
	}})
	f.body = ""
	first := f.token()
	resp, _ := f.sendAndRead(f.header(first))
	must.Eq(t, http.StatusOK, resp.StatusCode)
	eventually(t, "another token", func() bool {
		last := f.router.lastReport()
		return len(last.FreeTokens) == 1 && slots.TokenName(last.Sender.Instance, last.FreeTokens[0]) != first
	})
	f.mustGetOutcome(f.header(f.token()), outcome.Unknown, http.StatusBadGateway)
	must.Eq(t, 2, runs.Load())
}

// Guards against sending a request whose start deadline passed while the connection
// was opened.
func TestStartDeadlineWhileConnecting(t *testing.T) {
	var runs atomic.Int32
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer endpoint.Close()
	h := &work.Header{Method: http.MethodPost, URI: "/", Request: "r", Forwarded: http.Header{}}
	_, sent, err := newEndpointClient(endpoint.URL).do(t.Context(), endpointRequest{
		header:        h,
		incoming:      httptest.NewRequest(http.MethodPost, "/", nil),
		service:       &objects.Service{},
		startDeadline: time.Now().Add(-time.Millisecond),
		onSend:        func() {},
	})
	must.ErrorIs(t, err, errStartDeadlineExceeded)
	must.False(t, sent)
	must.False(t, isDialError(err))
	must.Zero(t, runs.Load())
}
