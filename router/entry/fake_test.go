package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

// conditionTimeout is the maximum time that a test waits for a condition.
const conditionTimeout = 20 * time.Second

func hashOf(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

func testConfig() *configstore.Store {
	desk := &objects.Service{
		Name: "post-desk", Type: objects.PlainService, DefaultCost: 5, MaxCost: 100,
		Operations: []objects.Operation{
			{Name: "stock", Path: "/stock", Idempotent: true},
			{Name: "label", Path: "/label"},
		},
	}
	other := &objects.Service{Name: "other", Type: objects.PlainService, Operations: []objects.Operation{{Name: "run", Path: "/run"}}}
	set := objects.NewSet(desk, other,
		&objects.Team{Name: "harbour", TokenSHA256: []string{hashOf("harbour-token")}},
		&objects.Team{Name: "quarry", TokenSHA256: []string{hashOf("quarry-token")}},
		&objects.Share{Name: "s1", Team: "harbour", Service: "post-desk", Weight: 3},
		&objects.Share{Name: "s2", Team: "quarry", Service: "post-desk", Weight: 1},
	)
	store := configstore.New()
	store.Advance(&configstore.Config{Version: 1, Set: set})
	return store
}

// serveFleet serves handler like a process of the fleet. It returns the address
// and a function that closes the server with all its connections.
func serveFleet(t *testing.T, handler http.Handler) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := fleethttp.NewServer(handler, nil)
	go func() { _ = fleethttp.Serve(server, l) }()
	stop := func() { _ = server.Close() }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// fakeAgent responds to each work request with the next handler of its script, and
// repeats the last one.
type fakeAgent struct {
	address string
	stop    func()
	calls   atomic.Int64

	mu     sync.Mutex
	script []http.HandlerFunc
	seen   []*work.Header
}

func newAgent(t *testing.T, script ...http.HandlerFunc) *fakeAgent {
	a := &fakeAgent{script: script}
	a.address, a.stop = serveFleet(t, a)
	return a
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header, err := work.Decode(r.Header)
	if err != nil || r.URL.Path != work.Path {
		http.Error(w, "malformed work request", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.seen = append(a.seen, header)
	handler := a.script[0]
	if len(a.script) > 1 {
		a.script = a.script[1:]
	}
	a.mu.Unlock()
	a.calls.Add(1)
	handler(w, r)
}

// first returns the header of the first request.
func (a *fakeAgent) first() *work.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[0]
}

// echo responds with the team and the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Trailer", work.CostTrailer)
	w.Header().Set("X-Endpoint", "press")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "%s:%s", r.Header.Get("Acaciaspar-Team"), body)
	w.Header().Set(work.CostTrailer, "7")
}

// fakeOwner grants each ticket a token of the agent whose address pick returns; an
// empty address leaves the ticket waiting. It grants a ticket only once per
// attempt.
type fakeOwner struct {
	// Owner is nil; methods that the entry package does not call are not implemented.
	fleetpb.Owner
	clients *fleetrpc.ClientPool
	entry   string
	address string

	mu       sync.Mutex
	pick     func(*fleetpb.Ticket) string
	refuse   bool
	redirect string
	granted  map[string]uint32
	// waiting maps the requests with tickets to their attempts.
	waiting   map[string]uint32
	withdrawn map[string]bool
	tokens    int
	// emptySyncs counts full syncs without tickets.
	emptySyncs int
	// messages counts calls of Enqueue. If block is set, they block until it is closed.
	messages int
	block    chan struct{}
	// fullSyncs counts full syncs. dropTickets discards the tickets of the next message.
	fullSyncs   int
	dropTickets bool
	results     []fleetpb.DispatchResult
	// dispatchCopies is the number of times that each dispatch is delivered.
	dispatchCopies int
}

func (o *fakeOwner) Enqueue(_ context.Context, in *fleetpb.EnqueueRequest) (*fleetpb.EnqueueReply, error) {
	o.mu.Lock()
	o.messages++
	block := o.block
	o.mu.Unlock()
	if block != nil {
		<-block
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &fleetpb.EnqueueReply{Sender: o.clients.Sender(), OwnerAddress: o.redirect}
	if o.dropTickets {
		o.dropTickets = false
		in.Tickets = nil
	}
	if in.FullSync {
		o.fullSyncs++
		clear(o.waiting)
		if len(in.Tickets) == 0 {
			o.emptySyncs++
		}
	}
	var grants []*fleetpb.Assignment
	for _, ticket := range in.Tickets {
		o.waiting[ticket.Request] = ticket.Attempt
		if o.refuse {
			reply.Refused = append(reply.Refused, ticket.Request)
			continue
		}
		address := o.pick(ticket)
		if address == "" || o.granted[ticket.Request] >= ticket.Attempt {
			continue
		}
		o.granted[ticket.Request] = ticket.Attempt
		grants = append(grants, o.grant(ticket.Request, ticket.Attempt, address))
	}
	reply.WantFull = in.Digest != nil && !o.digestMatches(in.Digest)
	if len(grants) > 0 {
		go o.dispatch(grants)
	}
	return reply, nil
}

// digestMatches compares a digest with the waiting tickets. The caller holds o.mu.
func (o *fakeOwner) digestMatches(in *fleetpb.TicketDigest) bool {
	var held fairqueue.Digest
	for request, attempt := range o.waiting {
		held.Add(request, attempt)
	}
	return held == fairqueue.Digest{Count: in.Count, Hash: in.Hash}
}

func (o *fakeOwner) grant(request string, attempt uint32, address string) *fleetpb.Assignment {
	o.tokens++
	return &fleetpb.Assignment{
		Request: request, Attempt: attempt, AgentAddress: address,
		SlotToken: fmt.Sprint("token-", o.tokens), Endpoint: "press-1", Weight: 3,
	}
}

func (o *fakeOwner) dispatch(grants []*fleetpb.Assignment) {
	for range o.dispatchCopies {
		in := &fleetpb.DispatchRequest{Sender: o.clients.Sender(), Service: "post-desk", Assignments: grants}
		reply, err := o.clients.Entry(o.entry).Dispatch(context.Background(), in)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.results = append(o.results, reply.Results...)
		o.mu.Unlock()
	}
}

func (o *fakeOwner) Withdraw(_ context.Context, in *fleetpb.WithdrawRequest) (*fleetpb.WithdrawReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range in.Requests {
		o.withdrawn[id] = true
		delete(o.waiting, id)
	}
	return &fleetpb.WithdrawReply{Sender: o.clients.Sender()}, nil
}

// withLock calls change, which may access the owner's fields, with o.mu held.
func (o *fakeOwner) withLock(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

func (o *fakeOwner) waitingCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting)
}

// harness is a Server with a fake queue owner.
type harness struct {
	t            *testing.T
	server       *Server
	owner        *fakeOwner
	callerServer *httptest.Server
	// client uses HTTP/1.1 unless a test replaces it.
	client *http.Client
	trails *audit.Trails

	mu           sync.Mutex
	ownerAddress string
	ownerChanged chan struct{}
}

// alwaysAgent returns a function for fakeOwner.pick that always selects one agent.
func alwaysAgent(address string) func(*fleetpb.Ticket) string {
	return func(*fleetpb.Ticket) string { return address }
}

// noAgent leaves each ticket waiting.
func noAgent(*fleetpb.Ticket) string { return "" }

func newOwner(t *testing.T, clients *fleetrpc.ClientPool, entry string, pick func(*fleetpb.Ticket) string) *fakeOwner {
	o := &fakeOwner{
		clients: clients, entry: entry, pick: pick, dispatchCopies: 1,
		granted: map[string]uint32{}, waiting: map[string]uint32{}, withdrawn: map[string]bool{},
	}
	o.address, _ = serveFleet(t, fleetpb.NewOwnerServer(o))
	return o
}

func newHarness(t *testing.T, pick func(*fleetpb.Ticket) string, adjust ...func(*Options)) *harness {
	t.Helper()
	h := &harness{t: t, ownerChanged: make(chan struct{})}
	store := testConfig()
	logger := slog.New(slog.DiscardHandler)
	h.trails = audit.New(1000, logger)
	client := fleethttp.NewClient(nil)
	options := Options{
		Store: store,
		Owner: func(string) string {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.ownerAddress
		},
		OwnerChanged: func() <-chan struct{} {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.ownerChanged
		},
		Audit: h.trails, Logger: logger, Metrics: metrics.NewRegistry(), Limits: DefaultLimits(),
		Fatal: func(value any) { t.Errorf("handler panicked: %v", value) },
	}
	options.Limits.SyncInterval = 20 * time.Millisecond
	var entryHandler http.Handler
	entryAddress, _ := serveFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entryHandler.ServeHTTP(w, r)
	}))
	identity := fleetrpc.Identity{Fleet: "test", Address: entryAddress, Instance: "i1", Zone: "z1"}
	options.Clients = fleetrpc.NewClientPool(identity, store, client, "http")
	for _, change := range adjust {
		change(&options)
	}
	h.server = New(options)
	entryHandler = fleetpb.NewEntryServer(h.server)
	h.owner = newOwner(t, options.Clients, entryAddress, pick)
	h.setOwner(h.owner)
	h.callerServer = httptest.NewUnstartedServer(h.server)
	h.callerServer.Config.Protocols = new(http.Protocols)
	h.callerServer.Config.Protocols.SetHTTP1(true)
	h.callerServer.Config.Protocols.SetUnencryptedHTTP2(true)
	h.callerServer.Start()
	h.client = h.callerServer.Client()
	t.Cleanup(h.callerServer.Close)
	return h
}

// setOwner changes the owner that Options.Owner returns.
func (h *harness) setOwner(o *fakeOwner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ownerAddress = o.address
	close(h.ownerChanged)
	h.ownerChanged = make(chan struct{})
}

// reply is a complete response as a caller receives it.
type reply struct {
	status  int
	header  http.Header
	body    string
	failure error
}

func (h *harness) post(path, token, body string, headers ...string) reply {
	return h.postContext(context.Background(), path, token, strings.NewReader(body), headers...)
}

func (h *harness) postContext(ctx context.Context, path, token string, body io.Reader, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.callerServer.URL+path, body)
	if err != nil {
		return reply{failure: err}
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return reply{failure: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), failure: err}
}

// eventually waits until condition holds, or fails the test after conditionTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (h *harness) counter(name string) int64 {
	if c, ok := h.server.opts.Metrics.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return -1
}
