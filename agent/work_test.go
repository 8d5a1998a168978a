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

// Guards against an answer that is held back, a request that is changed on the
// way, and charges that don't reach the owner.
func TestStreamedRequest(t *testing.T) {
	g := newGate(t)
	f := start(t, options{handler: g.ServeHTTP})
	h := f.header(f.token())
	resp, err := f.send(t.Context(), h)
	must.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, len("data: one\n\n"))
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	must.Eq(t, "data: one\n\n", string(first))
	eventually(t, "the running request in a report", func() bool {
		last := f.router.last()
		if last.Running != 1 || len(last.Counters) != 1 {
			return false
		}
		// The hint is 5 and the weight 4; one unit has been metered.
		c := last.Counters[0]
		return c.Running == 1 && c.Cost == 1 && c.Outstanding == 4*slots.NormalizedScale/4
	})
	r := <-g.arrived
	body, _ := io.ReadAll(r.Body)
	must.Eq(t, "question", string(body))
	must.Eq(t, "/op?x=1", r.RequestURI)
	must.Eq(t, "HTTP/1.1", r.Proto)
	must.Eq(t, "c", r.Header.Get("X-Caller"))
	must.Eq(t, h.Request, r.Header.Get("X-Request-Id"))
	must.Eq(t, h.Request, r.Header.Get("Idempotency-Key"))
	must.Eq(t, "", r.Header.Get("Acaciaspar-Slot-Token"))
	g.release()
	rest, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "data: two\n\ndata: [DONE]\n\n", string(rest))
	must.Eq(t, "2", resp.Trailer.Get(work.CostTrailer))
	eventually(t, "the charge at the owner", func() bool {
		for _, c := range f.router.last().Counters {
			if c.Team == "a" && c.Cost == 2 && c.Normalized == 2*slots.NormalizedScale/4 && c.Finished == 1 {
				return true
			}
		}
		return false
	})
}

// Guards against work that runs here though it must not, and against "not-run"
// for a request that has run.
func TestRefusedWork(t *testing.T) {
	var runs atomic.Int32
	f := start(t, options{handler: func(http.ResponseWriter, *http.Request) { runs.Add(1) }})
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
			f.mustRefuse(h, outcome.NotRun, http.StatusConflict)
		})
	}
	f.mustRefuse(f.header("no-such-token"), outcome.NotRun, http.StatusServiceUnavailable)
	must.Zero(t, runs.Load())

	h := f.header(f.token())
	resp, _ := f.exchange(h)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	f.mustRefuse(h, outcome.Unknown, http.StatusConflict)
	again := f.header(h.SlotToken)
	f.mustRefuse(again, outcome.NotRun, http.StatusServiceUnavailable)
	must.Eq(t, 1, runs.Load())
}

// Guards against a start under a lease that passed while the process was paused.
func TestLapsedLease(t *testing.T) {
	var runs atomic.Int32
	f := start(t, options{handler: func(http.ResponseWriter, *http.Request) { runs.Add(1) }})
	f.token()
	var token string
	f.agent.pool.read(func(table *slots.Table) {
		past := time.Now().Add(-slots.Lease - time.Second)
		number := table.BuildReport(past, table.Owner(), false).FreeTokens[0]
		token = slots.TokenName(f.agent.identity.Instance, number)
	})
	f.mustRefuse(f.header(token), outcome.NotRun, http.StatusServiceUnavailable)
	must.Zero(t, runs.Load())
}

// Guards against an endpoint that works on for a caller who has gone.
func TestCancelReachesEndpoint(t *testing.T) {
	g := newGate(t)
	f := start(t, options{handler: g.ServeHTTP})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := f.send(ctx, f.header(f.token()))
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("data: one\n\n")))
	must.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	select {
	case <-g.gone:
	case <-time.After(patience):
		t.Fatal("the endpoint didn't see the cancellation")
	}
	eventually(t, "a free slot", func() bool { return f.held() == 0 })
	must.Eq(t, 1, f.counter("a").Cost)
}

// Guards against work that an agent passes on after a later instance took over.
func TestFencingRefusal(t *testing.T) {
	var number atomic.Value
	refuse := func(w http.ResponseWriter, r *http.Request) {
		number.Store(r.Header.Get(fencingHeader))
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	log := startLog(t, 7)
	f := start(t, options{handler: refuse, fencing: objects.FencingChecked, change: func(s *Settings) { s.LogURL = log }})
	f.mustRefuse(f.header(f.token()), outcome.NotRun, http.StatusServiceUnavailable)
	must.Eq(t, "7", number.Load().(string))
	must.Eq(t, 7, f.router.last().FencingNumber)
	must.Eq(t, slots.StopFenced, f.stopped())
	eventually(t, "a report without tokens", func() bool {
		last := f.router.last()
		return last.Draining && len(last.FreeTokens) == 0 && last.Running == 0
	})
}

// Guards against taking an application's own 412 for a fencing refusal.
func TestPreconditionFailedOfUncheckedEndpoint(t *testing.T) {
	f := start(t, options{handler: func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "etag", http.StatusPreconditionFailed)
	}})
	resp, body := f.exchange(f.header(f.token()))
	must.Eq(t, http.StatusPreconditionFailed, resp.StatusCode)
	must.Eq(t, "etag\n", body)
	must.Eq(t, "", resp.Header.Get(outcome.Header))
	must.Zero(t, f.stopped())
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

// Guards against "unknown" where certainly nothing was sent, and against an
// endpoint that is down and yet draws requests.
func TestEndpointRefusesConnection(t *testing.T) {
	address, listen := reservePort(t)
	f := start(t, options{url: "http://" + address})
	f.mustRefuse(f.header(f.token()), outcome.NotRun, http.StatusServiceUnavailable)
	must.Zero(t, f.held())
	must.Zero(t, f.counter("a").Failed)
	must.Eq(t, slots.StopUnreachable, f.stopped())
	eventually(t, "a report without tokens", func() bool { return len(f.router.last().FreeTokens) == 0 })
	endpoint := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	t.Cleanup(func() { _ = endpoint.Close() })
	l := listen()
	go func() { _ = endpoint.Serve(l) }()
	resp, _ := f.exchange(f.header(f.token()))
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// hijack ends the connection after writing text.
func hijack(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
}

// Guards against "not-run" or "failed" after the request may have run.
func TestContactLostBeforeAnswer(t *testing.T) {
	var runs atomic.Int32
	cut := hijack("")
	f := start(t, options{handler: func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		cut(w, r)
	}})
	f.mustRefuse(f.header(f.token()), outcome.Unknown, http.StatusBadGateway)
	must.Eq(t, 1, runs.Load())
	must.Eq(t, 1, f.counter("a").Failed)
}

// Guards against a cut answer that looks complete.
func TestCutStream(t *testing.T) {
	f := start(t, options{handler: hijack("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
		"Transfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n")})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	must.Error(t, err)
	must.Eq(t, "data: one\n\n", string(body))
	eventually(t, "a free slot", func() bool { return f.held() == 0 })
	must.Eq(t, 1, f.counter("a").Cost)
	must.Eq(t, 1, f.counter("a").Failed)
}

// Guards against an endpoint's error that is hidden from the caller, and
// against endpoint time that isn't charged.
func TestPlainServiceError(t *testing.T) {
	f := start(t, options{service: objects.PlainService, handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.Header, "not-run")
		http.Error(w, "no", http.StatusInternalServerError)
	}})
	resp, body := f.exchange(f.header(f.token()))
	must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
	must.Eq(t, "no\n", body)
	must.Eq(t, "", resp.Header.Get(outcome.Header))
	must.NotEq(t, "0", resp.Trailer.Get(work.CostTrailer))
	eventually(t, "the end", func() bool { return f.held() == 0 })
	must.Eq(t, 1, f.counter("a").Failed)
	must.Positive(t, f.counter("a").Cost)
}

// Guards against an agent that waits for a prefetched request beyond its start
// limit, or passes it on after that.
func TestStartTimeout(t *testing.T) {
	g := newGate(t)
	f := start(t, options{handler: g.ServeHTTP, prefetch: 1, change: func(s *Settings) { s.StartTimeout = 50 * time.Millisecond }})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	<-g.arrived
	eventually(t, "a token for prefetch", func() bool {
		last := f.router.last()
		return last.Running == 1 && len(last.FreeTokens) == 1
	})
	f.mustRefuse(f.header(f.token()), outcome.NotRun, http.StatusServiceUnavailable)
	must.Eq(t, 1, f.held())
	must.Zero(t, len(g.arrived))
}

// Guards against a request that the HTTP transport sends a second time by
// itself: it does so for a request without body and with an idempotency key on
// a connection that was in use before.
func TestRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int32
	cut := hijack("")
	f := start(t, options{handler: func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) > 1 {
			cut(w, r)
		}
	}})
	f.body = ""
	first := f.token()
	resp, _ := f.exchange(f.header(first))
	must.Eq(t, http.StatusOK, resp.StatusCode)
	eventually(t, "another token", func() bool {
		last := f.router.last()
		return len(last.FreeTokens) == 1 && slots.TokenName(last.Sender.Instance, last.FreeTokens[0]) != first
	})
	f.mustRefuse(f.header(f.token()), outcome.Unknown, http.StatusBadGateway)
	must.Eq(t, 2, runs.Load())
}

// Guards against a request that is sent although its start limit passed while
// the connection was opened.
func TestStartLimitWhileConnecting(t *testing.T) {
	var runs atomic.Int32
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer endpoint.Close()
	h := &work.Header{Method: http.MethodPost, URI: "/", Request: "r", Forwarded: http.Header{}}
	_, sent, err := newEndpointClient(endpoint.URL).do(t.Context(), call{
		header:     h,
		incoming:   httptest.NewRequest(http.MethodPost, "/", nil),
		service:    &objects.Service{},
		startLimit: time.Now().Add(-time.Millisecond),
		onSend:     func() {},
	})
	must.ErrorIs(t, err, errStartTooLate)
	must.False(t, sent)
	must.False(t, isDialError(err))
	must.Zero(t, runs.Load())
}
