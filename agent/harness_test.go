package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

// testTimeout is the maximum duration of every wait in a test.
const testTimeout = 30 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// fakeRouter serves the RPCs that agents call.
type fakeRouter struct {
	fleetpb.Owner
	fleetpb.Control
	address string
	server  *http.Server

	mu      sync.Mutex
	version uint64
	objects *objects.Set
	// owner is the owner address in replies; if empty, FindOwner returns address.
	owner          string
	reply          fleetpb.ReportReply
	reports        []*fleetpb.ReportRequest
	findOwnerCalls int
}

func startRouter(t *testing.T) *fakeRouter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f := &fakeRouter{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.Handle(fleetpb.OwnerPathPrefix, fleetpb.NewOwnerServer(f))
	mux.Handle(fleetpb.ControlPathPrefix, fleetpb.NewControlServer(f))
	f.server = fleethttp.NewServer(mux, nil)
	go func() { _ = fleethttp.Serve(f.server, l) }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *fakeRouter) sender() *fleetpb.Sender {
	return &fleetpb.Sender{Fleet: "test", Address: f.address, ConfigVersion: f.version, Protocol: fleetrpc.ProtocolVersion}
}

func (f *fakeRouter) Report(_ context.Context, r *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, r)
	return &fleetpb.ReportReply{
		Sender:       f.sender(),
		OwnerAddress: f.owner,
		Superseded:   f.reply.Superseded,
		WantFull:     f.reply.WantFull,
		Bases:        f.reply.Bases,
		VirtualTime:  f.reply.VirtualTime,
	}, nil
}

func (f *fakeRouter) FindOwner(context.Context, *fleetpb.OwnerRequest) (*fleetpb.OwnerReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findOwnerCalls++
	owner := f.owner
	if owner == "" {
		owner = f.address
	}
	return &fleetpb.OwnerReply{Sender: f.sender(), OwnerAddress: owner}, nil
}

func (f *fakeRouter) FetchConfig(_ context.Context, r *fleetpb.FetchConfigRequest) (*fleetpb.FetchConfigReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &fleetpb.FetchConfigReply{
		Sender: f.sender(), Version: f.version, Objects: f.objects.ForEndpoint(r.Endpoint).Encode(),
	}, nil
}

// publish replaces the router's configuration with the endpoint and its service.
func (f *fakeRouter) publish(e objects.Endpoint, service objects.ServiceType) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.objects = objects.NewSet(&e, &objects.Service{
		Name: e.Service, Type: service, MaxCost: 1000, Operations: []objects.Operation{{Name: "op", Path: "/op"}},
	})
}

func (f *fakeRouter) set(change func(*fakeRouter)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// lastReport returns the latest report, or an empty one if there is none.
func (f *fakeRouter) lastReport() *fleetpb.ReportRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.reports) == 0 {
		return &fleetpb.ReportRequest{}
	}
	return f.reports[len(f.reports)-1]
}

// fixture runs an agent between a fake router and an endpoint.
type fixture struct {
	t        *testing.T
	router   *fakeRouter
	agent    *Agent
	object   objects.Endpoint
	stop     chan struct{}
	done     chan error
	client   *http.Client
	body     string
	requests int
}

type options struct {
	handler   http.HandlerFunc
	url       string
	service   objects.ServiceType
	prefetch  uint32
	fencing   objects.Fencing
	configure func(*Settings)
}

func startFixture(t *testing.T, o options) *fixture {
	t.Helper()
	if o.handler != nil {
		endpoint := httptest.NewServer(o.handler)
		t.Cleanup(endpoint.Close)
		o.url = endpoint.URL
	}
	if o.service == "" {
		o.service = objects.ModelService
	}
	f := &fixture{
		t:      t,
		router: startRouter(t),
		object: objects.Endpoint{Name: "e1", Service: "svc", Slots: 1, Prefetch: o.prefetch, Fencing: objects.FencingIgnored},
		stop:   make(chan struct{}),
		done:   make(chan error, 1),
		client: fleethttp.NewClient(nil),
		body:   "question",
	}
	if o.fencing != "" {
		f.object.Fencing = o.fencing
	}
	f.router.publish(f.object, o.service)
	s := Settings{
		Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", Fleet: "test", Endpoint: "e1", EndpointURL: o.url,
		Routers: f.router.address, StartTimeout: testTimeout, DrainTimeout: testTimeout,
	}
	if o.configure != nil {
		o.configure(&s)
	}
	var err error
	f.agent, err = New(s, slog.New(slog.NewJSONHandler(t.Output(), nil)))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { f.done <- f.agent.Run(ctx, f.stop) }()
	t.Cleanup(func() {
		cancel()
		<-f.done
		f.client.CloseIdleConnections()
		eventually(t, "end of the agent's goroutines", func() bool { return !agentGoroutines() })
	})
	return f
}

// agentGoroutines reports whether a goroutine of an agent is running.
func agentGoroutines() bool {
	buf := make([]byte, 4<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	for _, receiver := range []string{"Agent", "reporter", "activeRequest", "endpointClient"} {
		if strings.Contains(stacks, "acaciaspar/agent.(*"+receiver+")") {
			return true
		}
	}
	return false
}

// token waits for a report with a free token and returns the token's name.
func (f *fixture) token() string {
	f.t.Helper()
	var token string
	eventually(f.t, "a free token", func() bool {
		if last := f.router.lastReport(); len(last.FreeTokens) > 0 {
			token = slots.TokenName(last.Sender.Instance, last.FreeTokens[0])
		}
		return token != ""
	})
	return token
}

func (f *fixture) header(token string) *work.Header {
	f.requests++
	return &work.Header{
		Fleet: "test", Router: f.router.address, Request: fmt.Sprint("r", f.requests), Attempt: 1, Team: "a",
		Service: "svc", Operation: "op", Endpoint: "e1", SlotToken: token, Weight: 4, Hint: 5,
		Method: http.MethodPost, URI: "/op?x=1", Forwarded: http.Header{"X-Caller": {"c"}},
	}
}

func (f *fixture) send(ctx context.Context, h *work.Header) (*http.Response, error) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+f.agent.FleetAddress()+work.Path, strings.NewReader(f.body))
	must.NoError(f.t, err)
	h.Encode(req.Header)
	return f.client.Do(req)
}

// sendAndRead sends a request and reads the whole response.
func (f *fixture) sendAndRead(h *work.Header) (*http.Response, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), testTimeout)
	defer cancel()
	resp, err := f.send(ctx, h)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return resp, string(body)
}

// mustGetOutcome sends a request and checks the outcome and status of the response.
func (f *fixture) mustGetOutcome(h *work.Header, kind outcome.Kind, status int) {
	f.t.Helper()
	resp, body := f.sendAndRead(h)
	must.Eq(f.t, string(kind), resp.Header.Get(outcome.Header), must.Sprint(body))
	must.Eq(f.t, status, resp.StatusCode)
}

func (f *fixture) inProgress() int {
	inProgress, _ := f.agent.slots.inProgress()
	return inProgress
}

func (f *fixture) stopReasons() slots.StopReasons {
	var stop slots.StopReasons
	f.agent.slots.withTable(func(t *slots.Table) { stop = t.StopReasons() })
	return stop
}

func (f *fixture) counter(team string) *fleetpb.TeamCounter {
	var found *fleetpb.TeamCounter
	f.agent.slots.withTable(func(t *slots.Table) {
		for _, c := range t.BuildReport(time.Now(), t.Owner(), true).Counters {
			if c.Team == team {
				found = c
			}
		}
	})
	return found
}

// blockingHandler is an endpoint handler that sends one event and then waits for
// release or cancellation.
type blockingHandler struct {
	received  chan *http.Request
	cancelled chan struct{}
	released  chan struct{}
}

func newBlockingHandler(t *testing.T) *blockingHandler {
	b := &blockingHandler{received: make(chan *http.Request, 8), cancelled: make(chan struct{}, 8), released: make(chan struct{})}
	t.Cleanup(func() { b.release() })
	return b
}

func (b *blockingHandler) release() {
	select {
	case <-b.released:
	default:
		close(b.released)
	}
}

func (b *blockingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "data: one\n\n")
	_ = http.NewResponseController(w).Flush()
	b.received <- r
	select {
	case <-b.released:
		_, _ = io.WriteString(w, "data: two\n\ndata: [DONE]\n\n")
	case <-r.Context().Done():
		b.cancelled <- struct{}{}
	}
}
