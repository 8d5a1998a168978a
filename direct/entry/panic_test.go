package entry_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// panickingLog panics once, at the first line with this message.
type panickingLog struct {
	slog.Handler
	message string
	done    *atomic.Bool
}

func (l panickingLog) Enabled(context.Context, slog.Level) bool { return true }

func (l panickingLog) Handle(_ context.Context, record slog.Record) error {
	if record.Message == l.message && l.done.CompareAndSwap(false, true) {
		panic("log line " + l.message)
	}
	return nil
}

func panicAtLog(r *router, message string) {
	r.handler.Log = slog.New(panickingLog{slog.DiscardHandler, message, &atomic.Bool{}})
}

// panickingOverload panics when it decides whether to refuse a request.
type panickingOverload struct{ *overload }

func (panickingOverload) Refuse(func() bool) bool { panic("refuse") }

// panickingOrigins panics when the origin of a stream is sought.
type panickingOrigins struct{ *origins }

func (panickingOrigins) Find(context.Context, string, []*routing.Route) (streamorigin.Build, bool) {
	panic("find")
}

// Guards against a connection that is closed without an answer because the handling of its request
// panics, an answer that promises too much then, and counts that are left behind.
func TestPanicIsAnswered(t *testing.T) {
	t.Parallel()
	event := func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1))
		directtest.Chunk(c, "")
		return true
	}
	for _, c := range []struct {
		name, path string
		prepare    func(r *router)
		status     int
		outcome    string
	}{
		{"before the body is read", "/order/1", func(r *router) { r.handler.Overload = panickingOverload{&r.overload} }, http.StatusServiceUnavailable, "not-run"},
		{"before the request is sent", "/resumable/1", func(r *router) { r.handler.Origins = panickingOrigins{&r.origins} }, http.StatusServiceUnavailable, "not-run"},
		{"after the response", "/order/1", func(r *router) { panicAtLog(r, "request ended") }, http.StatusBadGateway, "unknown"},
		{"after the first event", "/resumable/2", func(r *router) { r.origins.onBegin = func() { panic("begin") } }, http.StatusBadGateway, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			r.add("e1", "plain", ok)
			r.add("e2", "engines", event)
			c.prepare(r)
			in := r.request(http.MethodPost, c.path, strings.Repeat("x", 300<<10))
			if c.path == "/resumable/1" {
				in.Header.Set(headers.LastEventID, "1")
			}
			got := r.do(in)
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			must.Eq(t, c.outcome, got.header.Get("Acaciaspar-Outcome"))
			must.Eq(t, "", got.header.Get(headers.Signature))
			mustBeIdle(t, r)
			r.handler.Overload, r.handler.Origins = &r.overload, &r.origins
			r.mustBeIdle(t, c.name)
		})
	}
}

// Guards against a response that looks complete although the handling of its request panicked after
// it had begun.
func TestPanicInsideAResponseIsVisible(t *testing.T) {
	t.Parallel()
	r := newRouter(t)
	r.add("e2", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1))
		return false
	})
	panicAtLog(r, "send did not succeed")
	got := r.post("/stream/1")
	must.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	must.Eq(t, directtest.Event(1), got.body)
	mustBeIdle(t, r)
}

// panickingBody panics after its first bytes.
type panickingBody struct{ reads int }

func (b *panickingBody) Read(p []byte) (int, error) {
	if b.reads++; b.reads > 1 {
		panic("read")
	}
	return len(p) / 2, nil
}

func (b *panickingBody) Close() error { return nil }

// Guards against bytes of a body that count as held for as long as the process runs, because the
// reading of the body panicked.
func TestPanicInsideABodyReleasesIt(t *testing.T) {
	r := newRouter(t)
	r.handler.MaxHeldBytes = 100
	in := r.request(http.MethodPost, "/order/1", "")
	in.RequestURI, in.Body, in.ContentLength = "/order/1", &panickingBody{}, 100
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, in)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	r.add("e1", "plain", ok)
	must.Eq(t, http.StatusOK, r.do(r.request(http.MethodPost, "/order/1", strings.Repeat("x", 100))).status)
}

// Guards against an endpoint that counts as busy for as long as the process runs, and a request that
// never ends, because of a panic right after an endpoint was chosen.
func TestPanicAfterPlacingEndsTheAttempt(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, message, path string }{
		{"stream goes on", "stream resumed", "/resumable/1"},
		{"another attempt", "another attempt started", "/lookup/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			panicAtLog(r, c.message)
			r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
				directtest.BeginStream(c, call)
				directtest.Chunk(c, eventsFrom(1, 2))
				return reset(c, call)
			})
			r.add("e2", "plain", func(c net.Conn, _ *directtest.Call) bool { _, _ = c.Read(make([]byte, 1)); return false })
			answered := make(chan result, 1)
			go func() { answered <- r.post(c.path) }()
			time.Sleep(100 * time.Millisecond)
			r.add("e3", "engines", streamFrom("v1", streamEvents, streamEvents))
			r.add("e4", "plain", ok)
			select {
			case got := <-answered:
				must.True(t, got.err != nil || got.status == http.StatusGatewayTimeout, must.Sprint(got))
			case <-time.After(7 * time.Second):
				t.Fatal("the request has not ended 2 s after its deadline")
			}
			mustBeIdle(t, r)
		})
	}
}
