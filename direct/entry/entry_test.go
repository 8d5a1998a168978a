package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/entry"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

var headers = dialect.Default()

// router is a Handler in front of scripted endpoints.
type router struct {
	t         testing.TB
	handler   *entry.Handler
	endpoints *registry.Table
	server    *httptest.Server
	overload  overload
	origins   origins
}

// origins implements entry.Origins in memory.
type origins struct {
	mu      sync.Mutex
	builds  map[string]streamorigin.Build
	takeUps int
	// unsaved makes Begin fail, implied is the only build that needs no saved origin.
	unsaved bool
	implied streamorigin.Build
	// onBegin is called by Begin.
	onBegin func()
}

func (o *origins) Begin(_ context.Context, attempt string, _ []*routing.Route, build streamorigin.Build) bool {
	if o.onBegin != nil {
		o.onBegin()
	}
	o.mu.Lock()
	refused := o.unsaved && build != o.implied
	o.mu.Unlock()
	if refused {
		return false
	}
	o.Record(attempt, build)
	return true
}

// failSaves makes saves fail; streams of the implied build need none.
func (o *origins) failSaves(implied streamorigin.Build) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsaved, o.implied = true, implied
}

func (o *origins) Restriction([]*routing.Route) (streamorigin.Build, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unsaved {
		return o.implied, o.implied != streamorigin.AnyBuild
	}
	return streamorigin.AnyBuild, true
}

func (o *origins) CountTakeUp(string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.takeUps++
	return o.takeUps
}

func (o *origins) Record(attempt string, build streamorigin.Build) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.builds == nil {
		o.builds = map[string]streamorigin.Build{}
	}
	o.builds[attempt] = build
}

func (o *origins) Find(_ context.Context, attempt string, _ []*routing.Route) (streamorigin.Build, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	build, ok := o.builds[attempt]
	return build, ok
}

// overload is an entry.Overload controlled by a test.
type overload struct{ shed, refuse, closeConnections, preferBatching atomic.Bool }

func (o *overload) Shed() bool              { return o.shed.Load() }
func (o *overload) CloseConnections() bool  { return o.closeConnections.Load() }
func (o *overload) Refuse(func() bool) bool { return o.refuse.Load() }
func (o *overload) PreferBatching() bool    { return o.preferBatching.Load() }

func route(name, path string, semantics routing.Semantics, service string) routing.Route {
	return routing.Route{
		Name: name, Host: "shop.example", PathPrefix: path, Semantics: semantics, Attempts: 2, Public: name == "public",
		Timeout: 5 * time.Second, LatencyTarget: 2 * time.Second, Destinations: []routing.Destination{{Service: service, Weight: 1}},
	}
}

func config() *routing.Config {
	resumable := route("resumable", "/resumable/", routing.Stream, "engines")
	resumable.Resumable = true
	brief := route("brief", "/brief/", routing.NonIdempotent, "plain")
	brief.Timeout = 150 * time.Millisecond
	return &routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "plain"}, {Name: "engines", Engine: &routing.Engine{Slots: 8}}},
		Routes: []routing.Route{
			route("lookup", "/lookup/", routing.Idempotent, "plain"),
			route("order", "/order/", routing.NonIdempotent, "plain"),
			route("public", "/public/", routing.Idempotent, "plain"),
			route("stream", "/stream/", routing.Stream, "engines"),
			resumable,
			brief,
		},
		Teams:  []routing.Team{{Name: "t1", Keys: []string{"k1"}}},
		Limits: routing.Limits{BodyBytes: 1 << 20},
	}
}

func newRouter(t testing.TB) *router {
	t.Helper()
	r := &router{t: t, endpoints: registry.NewTable()}
	table, err := routing.Compile(config())
	must.NoError(t, err)
	routes := &routing.Store{}
	routes.Advance(table)
	r.handler = &entry.Handler{
		Routes: routes, Dialect: headers, Log: slog.New(slog.DiscardHandler),
		Dispatcher: dispatch.New("z", r.endpoints, placement.DefaultPolicy(), retry.Limits{Floor: 100, Fraction: 0.2}),
		Pool:       endpointhttp.NewPool(time.Second), Metrics: entry.NewMetrics(metrics.NewRegistry()),
		MaxHeldBytes: 8 << 20, MaxInFlight: 100, Overload: &r.overload, Origins: &r.origins,
	}
	r.handler.Pool.OnBroken = func(id string, _ bool) { r.handler.Dispatcher.DoubtIncarnation(time.Now(), id) }
	r.server = httptest.NewUnstartedServer(r.handler)
	r.server.Config.ConnContext = entry.ConnContext
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

func (r *router) add(id, service string, script directtest.Script) *directtest.Endpoint {
	r.t.Helper()
	return r.addVersion(id, service, "v1", script)
}

func (r *router) addVersion(id, service, version string, script directtest.Script) *directtest.Endpoint {
	r.t.Helper()
	e := directtest.NewEndpoint(r.t, script)
	r.endpoints.Put(registry.Endpoint{ID: id, Service: service, Address: e.Address, Zone: "z", Version: version, Slots: 4})
	return e
}

func (r *router) request(method, path, body string) *http.Request {
	r.t.Helper()
	in, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	must.NoError(r.t, err)
	in.Host = "shop.example"
	in.Header.Set(headers.RequestID, "id-1")
	in.Header.Set(headers.DeadlineRemaining, "5000")
	in.Header.Set("Authorization", "Bearer k1")
	return in
}

type result struct {
	status int
	header http.Header
	body   string
	// closed is set if the response announced the end of its connection.
	closed bool
	err    error
}

func (r *router) do(in *http.Request) result {
	r.t.Helper()
	response, err := r.server.Client().Do(in)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), closed: response.Close, err: err}
}

func (r *router) post(path string) result { return r.do(r.request(http.MethodPost, path, "body")) }

func ok(c net.Conn, call *directtest.Call) bool {
	directtest.Respond(c, call, http.StatusOK, "ok")
	return true
}

func reset(c net.Conn, _ *directtest.Call) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// Guards against a request that is modified on its way, carries the caller's key,
// or names a team other than that of the key.
func TestEndpointReceivesUnchangedRequest(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	in := r.request(http.MethodPost, "/order/a%2Fb?x=1&y=%20", "the body")
	in.Header.Set(headers.Team, "forged")
	in.Header.Set(headers.ExpectedInstance, "forged")
	in.Header.Set("Connection", "X-Hop, "+headers.RequestID)
	in.Header.Set("X-Hop", "1")
	in.Header.Set("X-Kept", "2")
	got := r.do(in)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "ok", got.body)
	must.Eq(t, "sig", got.header.Get(headers.Signature))
	call := e.Calls()[0]
	must.Eq(t, "/order/a%2Fb?x=1&y=%20", call.RequestURI)
	must.Eq(t, "the body", call.BodyText)
	must.Eq(t, "shop.example", call.Host)
	must.Eq(t, "id-1", call.ID())
	must.Eq(t, []string{"t1"}, call.Header.Values(headers.Team))
	must.Eq(t, []string{"e1"}, call.Header.Values(headers.ExpectedInstance))
	must.Eq(t, "", call.Header.Get("Authorization"))
	must.Eq(t, "", call.Header.Get("X-Hop"))
	must.Eq(t, "2", call.Header.Get("X-Kept"))
	var remaining int
	_, err := fmt.Sscan(call.Header.Get(headers.DeadlineRemaining), &remaining)
	must.NoError(t, err)
	must.Between(t, 1, remaining, 5000)
}

// Guards against wrong status codes of the router's own refusals.
func TestInvalidRequestsAreRefused(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	noKey := r.request(http.MethodGet, "/lookup/1", "")
	noKey.Header.Del("Authorization")
	must.Eq(t, http.StatusUnauthorized, r.do(noKey).status)
	wrongKey := r.request(http.MethodGet, "/lookup/1", "")
	wrongKey.Header.Set("Authorization", "Bearer k2")
	must.Eq(t, http.StatusUnauthorized, r.do(wrongKey).status)
	must.Eq(t, http.StatusNotFound, r.post("/none/").status)
	must.Eq(t, http.StatusRequestEntityTooLarge, r.do(r.request(http.MethodPost, "/order/1", strings.Repeat("x", 1<<20+1))).status)
	must.Len(t, 0, e.Calls())
	public := r.request(http.MethodGet, "/public/1", "")
	public.Header.Del("Authorization")
	must.Eq(t, http.StatusOK, r.do(public).status)
	must.Eq(t, 0, len(e.Calls()[0].Header.Values(headers.Team)))
}

// Guards against status 401, 403 or 404 from a router without configuration.
func TestMissingConfigurationReturnsServiceUnavailable(t *testing.T) {
	r := newRouter(t)
	r.handler.Routes = &routing.Store{}
	got := r.post("/order/1")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// Guards against a second execution of a request that may be executed only once,
// and against the outcome "not run" for one that may have been executed.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, script := range map[string]directtest.Script{
		"reset": reset,
		"truncated": func(c net.Conn, call *directtest.Call) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: s\r\nContent-Length: 9\r\n\r\nhalf", headers.RequestID, headers.Signature)
			return false
		},
		"garbage": func(c net.Conn, _ *directtest.Call) bool { _, _ = io.WriteString(c, "nonsense\r\n\r\n"); return false },
		"no signature": func(c net.Conn, _ *directtest.Call) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id-1\r\nContent-Length: 2\r\n\r\nok", headers.RequestID)
			return false
		},
		"another request's response": func(c net.Conn, _ *directtest.Call) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id-0\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", headers.RequestID, headers.Signature)
			return false
		},
		"bare 503": func(c net.Conn, call *directtest.Call) bool { directtest.Respond(c, call, 503, ""); return true },
		"encoded": func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, 200, "ok", "Content-Encoding: gzip")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			a, b := r.add("e1", "plain", script), r.add("e2", "plain", script)
			got := r.post("/order/1")
			must.Eq(t, http.StatusBadGateway, got.status)
			must.Eq(t, "", got.header.Get(headers.Signature))
			must.Eq(t, 1, len(a.Calls())+len(b.Calls()))
		})
	}
}

// Guards against the failure of a request that an endpoint states it did not
// execute, and against assuming so without the endpoint's statement.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	r := newRouter(t)
	var calls atomic.Int32
	shed := func(c net.Conn, call *directtest.Call) bool {
		if calls.Add(1) > 1 {
			return ok(c, call)
		}
		directtest.Respond(c, call, http.StatusServiceUnavailable, "", headers.NotExecuted+": 1")
		return true
	}
	a, b := r.add("e1", "plain", shed), r.add("e2", "plain", shed)
	must.Eq(t, http.StatusOK, r.post("/order/1").status)
	must.Eq(t, 1, len(a.Calls()))
	must.Eq(t, 1, len(b.Calls()))
}

// Guards against a failure without the outcome "not run" if the address of an
// endpoint now belongs to another one.
func TestMisdirectedRequestIsReportedNotRun(t *testing.T) {
	r := newRouter(t)
	r.add("e1", "plain", func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusMisdirectedRequest, "")
		return true
	})
	got := r.post("/order/1")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "not-run", got.header.Get("Acaciaspar-Outcome"))
}

// Guards against the failure of an idempotent request that another endpoint can
// execute.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, script := range map[string]directtest.Script{
		"reset": reset,
		"500":   func(c net.Conn, call *directtest.Call) bool { directtest.Respond(c, call, 500, "x"); return true },
		"silent": func(c net.Conn, _ *directtest.Call) bool {
			_, _ = c.Read(make([]byte, 1))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			var calls atomic.Int32
			script := func(c net.Conn, call *directtest.Call) bool {
				if calls.Add(1) == 1 {
					return script(c, call)
				}
				return ok(c, call)
			}
			r.add("e1", "plain", script)
			r.add("e2", "plain", script)
			must.Eq(t, http.StatusOK, r.do(r.request(http.MethodGet, "/lookup/1", "")).status)
		})
	}
}

// Guards against more executions than the route allows.
func TestRouteAttemptsBoundExecutions(t *testing.T) {
	r := newRouter(t)
	a, b, c := r.add("e1", "plain", reset), r.add("e2", "plain", reset), r.add("e3", "plain", reset)
	must.Eq(t, http.StatusBadGateway, r.do(r.request(http.MethodGet, "/lookup/1", "")).status)
	must.Eq(t, 2, len(a.Calls())+len(b.Calls())+len(c.Calls()))
}

func (r *router) stream(id, path string) (result, []string) {
	in := r.request(http.MethodPost, path, "prompt")
	in.Header.Set(headers.RequestID, id)
	got := r.do(in)
	return got, strings.SplitAfter(got.body, "\n\n")
}

// Guards against lost, repeated or partial events when a resumable stream is
// interrupted inside an event.
func TestResumableStreamContinuesAtAnotherEndpoint(t *testing.T) {
	r := newRouter(t)
	var calls atomic.Int32
	script := func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		if calls.Add(1) == 1 {
			directtest.Chunk(c, directtest.Event(1)+directtest.Event(2)+"id: 3\ndat")
			return false
		}
		must.Eq(t, "2", call.Header.Get(headers.LastEventID))
		directtest.Chunk(c, directtest.Event(3)+directtest.Event(4))
		directtest.Chunk(c, "")
		return true
	}
	r.add("e1", "engines", script)
	r.add("e2", "engines", script)
	got, _ := r.stream("id-1", "/resumable/1")
	must.NoError(t, got.err)
	must.Eq(t, directtest.Event(1)+directtest.Event(2)+directtest.Event(3)+directtest.Event(4), got.body)
}

// Guards against a second execution of a stream that may not be resumed, and
// against a truncated stream that looks complete.
func TestNonResumableStreamEndsWithError(t *testing.T) {
	r := newRouter(t)
	script := func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1)+"id: 2")
		return false
	}
	a, b := r.add("e1", "engines", script), r.add("e2", "engines", script)
	got, events := r.stream("id-1", "/stream/1")
	must.Error(t, got.err)
	must.Eq(t, directtest.Event(1), events[0])
	must.Eq(t, 1, len(a.Calls())+len(b.Calls()))
}

// Guards against events that are buffered until the stream ends.
func TestEventsAreForwardedImmediately(t *testing.T) {
	r := newRouter(t)
	more := make(chan struct{})
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1))
		<-more
		directtest.Chunk(c, directtest.Event(2))
		directtest.Chunk(c, "")
		return true
	})
	response, err := r.server.Client().Do(r.request(http.MethodPost, "/stream/1", "p"))
	must.NoError(t, err)
	defer response.Body.Close()
	first := make([]byte, len(directtest.Event(1)))
	_, err = io.ReadFull(response.Body, first)
	must.NoError(t, err)
	close(more)
	rest, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, directtest.Event(1)+directtest.Event(2), string(first)+string(rest))
}

// Guards against a request that continues at the endpoint after the caller has
// disconnected.
func TestDisconnectCancelsEndpointRequest(t *testing.T) {
	r := newRouter(t)
	ended := make(chan struct{})
	r.add("e1", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, directtest.Event(1))
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := r.server.Client().Do(r.request(http.MethodPost, "/stream/1", "p").WithContext(ctx))
	must.NoError(t, err)
	_, err = response.Body.Read(make([]byte, 1))
	must.NoError(t, err)
	cancel()
	_ = response.Body.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("endpoint connection is still open 10 s after the caller disconnected")
	}
}

// Guards against requests that are held past their timeout.
func TestTimeoutReturnsGatewayTimeout(t *testing.T) {
	r := newRouter(t)
	r.add("e1", "plain", func(c net.Conn, _ *directtest.Call) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	in := r.request(http.MethodPost, "/order/1", "x")
	in.Header.Set(headers.DeadlineRemaining, "100")
	must.Eq(t, http.StatusGatewayTimeout, r.do(in).status)
}

// Guards against a draining router that accepts requests which it can't finish, or
// that keeps its callers' connections open.
func TestDrainRefusesLongRequestsAndClosesConnections(t *testing.T) {
	r := newRouter(t)
	r.add("e1", "plain", ok)
	r.add("e2", "engines", ok)
	now := time.Now()
	r.handler.Drain(now, now.Add(4*time.Second))
	served := r.post("/order/1")
	must.Eq(t, http.StatusOK, served.status)
	must.True(t, served.closed)
	long := r.request(http.MethodPost, "/stream/1", "x")
	long.Header.Set(headers.TokenCounts, "100,900")
	refused := r.do(long)
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.NotEq(t, "", refused.header.Get("Retry-After"))
}

// Guards against request smuggling: a request inside the body of another one must
// not be handled as a request.
func TestSmuggledRequestIsNotSent(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	c, err := net.Dial("tcp4", r.server.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	inner := "POST /order/2 HTTP/1.1\r\nHost: shop.example\r\n" + headers.RequestID + ": inner\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n%s: outer\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		headers.RequestID, len(inner), inner)
	_, err = c.Write(b.Bytes())
	must.NoError(t, err)
	_, err = io.ReadAll(c)
	must.NoError(t, err)
	must.Len(t, 1, e.Calls())
	must.Eq(t, "outer", e.Calls()[0].ID())
	must.Eq(t, inner, e.Calls()[0].BodyText)
}

// connPair returns both ends of a connection.
func connPair(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp4", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted
}

// Guards against a busy router that sends requests whose callers have disconnected
// before the requests were read.
func TestDisconnectedCallerIsNotServed(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	caller, conn := connPair(t)
	must.NoError(t, caller.Close())
	time.Sleep(50 * time.Millisecond)
	in := r.request(http.MethodPost, "/order/1", "x")
	in.RequestURI = "/order/1"
	in = in.WithContext(entry.ConnContext(t.Context(), conn))
	func() {
		defer func() { must.Eq[any](t, http.ErrAbortHandler, recover()) }()
		r.handler.ServeHTTP(httptest.NewRecorder(), in)
	}()
	must.Len(t, 0, e.Calls())
}

// Guards against an overloaded router that accepts more requests than it can finish.
func TestOverloadedRouterRefusesImmediately(t *testing.T) {
	r := newRouter(t)
	e := r.add("e1", "plain", ok)
	r.overload.shed.Store(true)
	r.overload.closeConnections.Store(true)
	got := r.post("/order/1")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
	must.True(t, got.closed)
	must.Len(t, 0, e.Calls())
}
