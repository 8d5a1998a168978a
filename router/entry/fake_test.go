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

// generous is the longest time that a test waits for a condition.
const generous = 20 * time.Second

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

// serveFleet serves handler as a process of the fleet and returns its address
// and a function that ends all its connections at once.
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

// fakeAgent answers each work request with the next of its scripted handlers,
// the last of which is repeated.
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

// echo answers with the team and the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Trailer", work.CostTrailer)
	w.Header().Set("X-Endpoint", "press")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "%s:%s", r.Header.Get("Acaciaspar-Team"), body)
	w.Header().Set(work.CostTrailer, "7")
}

// fakeOwner grants every ticket a token of the agent that pick returns; an
// empty address leaves the ticket waiting. It repeats nothing by itself: a
// ticket that it has granted comes back only with the next attempt.
type fakeOwner struct {
	// Owner is nil; the calls that the entry router doesn't make are missing.
	fleetpb.Owner
	caller  *fleetrpc.Caller
	entry   string
	address string

	mu      sync.Mutex
	pick    func(*fleetpb.Ticket) string
	refuse  bool
	named   string
	granted map[string]uint32
	// waiting holds the tickets with their attempts.
	waiting   map[string]uint32
	withdrawn map[string]bool
	tokens    int
	// empties counts full syncs without a ticket.
	empties int
	// messages counts calls of Enqueue; hold, if set, delays them.
	messages int
	hold     chan struct{}
	// fulls counts full syncs; forget drops the tickets of the next message.
	fulls   int
	forget  bool
	results []fleetpb.DispatchResult
	// copies is how often every dispatch is delivered.
	copies int
}

func (o *fakeOwner) Enqueue(_ context.Context, in *fleetpb.EnqueueRequest) (*fleetpb.EnqueueReply, error) {
	o.mu.Lock()
	o.messages++
	hold := o.hold
	o.mu.Unlock()
	if hold != nil {
		<-hold
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &fleetpb.EnqueueReply{Sender: o.caller.Sender(), OwnerAddress: o.named}
	if o.forget {
		o.forget = false
		in.Tickets = nil
	}
	if in.FullSync {
		o.fulls++
		clear(o.waiting)
		if len(in.Tickets) == 0 {
			o.empties++
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
	reply.WantFull = in.Digest != nil && !o.agrees(in.Digest)
	if len(grants) > 0 {
		go o.dispatch(grants)
	}
	return reply, nil
}

// agrees compares a digest with the waiting tickets. The caller holds o.mu.
func (o *fakeOwner) agrees(in *fleetpb.TicketDigest) bool {
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
	for range o.copies {
		in := &fleetpb.DispatchRequest{Sender: o.caller.Sender(), Service: "post-desk", Assignments: grants}
		reply, err := o.caller.Entry(o.entry).Dispatch(context.Background(), in)
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
	return &fleetpb.WithdrawReply{Sender: o.caller.Sender()}, nil
}

// set changes the owner's behaviour or reads its state under its lock.
func (o *fakeOwner) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

func (o *fakeOwner) waits() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting)
}

// bench is one entry router with a fake queue owner.
type bench struct {
	t      *testing.T
	server *Server
	owner  *fakeOwner
	front  *httptest.Server
	// client speaks HTTP/1.1 unless a test replaces it.
	client *http.Client
	trails *audit.Trails

	mu      sync.Mutex
	ownerAt string
	changed chan struct{}
}

// eachTo grants every ticket a token of one agent.
func eachTo(address string) func(*fleetpb.Ticket) string {
	return func(*fleetpb.Ticket) string { return address }
}

// nowhere leaves every ticket waiting.
func nowhere(*fleetpb.Ticket) string { return "" }

func newOwner(t *testing.T, caller *fleetrpc.Caller, entry string, pick func(*fleetpb.Ticket) string) *fakeOwner {
	o := &fakeOwner{
		caller: caller, entry: entry, pick: pick, copies: 1,
		granted: map[string]uint32{}, waiting: map[string]uint32{}, withdrawn: map[string]bool{},
	}
	o.address, _ = serveFleet(t, fleetpb.NewOwnerServer(o))
	return o
}

func newBench(t *testing.T, pick func(*fleetpb.Ticket) string, adjust ...func(*Options)) *bench {
	t.Helper()
	b := &bench{t: t, changed: make(chan struct{})}
	store := testConfig()
	quiet := slog.New(slog.DiscardHandler)
	b.trails = audit.New(1000, quiet)
	client := fleethttp.NewClient(nil)
	options := Options{
		Store: store,
		Owner: func(string) string {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.ownerAt
		},
		OwnerChanged: func() <-chan struct{} {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.changed
		},
		Audit: b.trails, Logger: quiet, Metrics: metrics.NewRegistry(), Limits: DefaultLimits(),
		Fatal: func(value any) { t.Errorf("broken invariant: %v", value) },
	}
	options.Limits.SyncInterval = 20 * time.Millisecond
	var entryHandler http.Handler
	entryAddress, _ := serveFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entryHandler.ServeHTTP(w, r)
	}))
	identity := fleetrpc.Identity{Fleet: "test", Address: entryAddress, Instance: "i1", Zone: "z1"}
	options.Caller = fleetrpc.NewCaller(identity, store, client, "http")
	for _, change := range adjust {
		change(&options)
	}
	b.server = New(options)
	entryHandler = fleetpb.NewEntryServer(b.server)
	b.owner = newOwner(t, options.Caller, entryAddress, pick)
	b.moveTo(b.owner)
	b.front = httptest.NewUnstartedServer(b.server)
	b.front.Config.Protocols = new(http.Protocols)
	b.front.Config.Protocols.SetHTTP1(true)
	b.front.Config.Protocols.SetUnencryptedHTTP2(true)
	b.front.Start()
	b.client = b.front.Client()
	t.Cleanup(b.front.Close)
	return b
}

// moveTo makes another owner the one that the view names.
func (b *bench) moveTo(o *fakeOwner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownerAt = o.address
	close(b.changed)
	b.changed = make(chan struct{})
}

// reply is a whole answer as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    string
	failure error
}

func (b *bench) post(path, token, body string, headers ...string) reply {
	return b.postContext(context.Background(), path, token, strings.NewReader(body), headers...)
}

func (b *bench) postContext(ctx context.Context, path, token string, body io.Reader, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+path, body)
	if err != nil {
		return reply{failure: err}
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return reply{failure: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), failure: err}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(generous)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (b *bench) counter(name string) int64 {
	if c, ok := b.server.o.Metrics.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return -1
}
