package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sort"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Server is the http.Handler for callers and the twirp service Entry for queue
// owners. It is safe for use by several goroutines.
type Server struct {
	o     Options
	m     *meters
	noted observability.Limiter
	// end is done when the drain timeout has passed.
	end    context.Context
	endNow context.CancelFunc

	// mu guards all fields below and the fields of request and link that say so.
	mu       sync.Mutex
	requests map[string]*request
	links    map[string]*link
	teams    map[string]*teamUse
	budget   retry.Budget
	// held is the memory that all requests take, in bytes.
	held       int64
	waiting    int64
	inProgress int64
	// active counts handlers, including those that still read a body.
	active   int
	draining bool
	// empty is closed when the server drains and active reaches 0.
	empty chan struct{}
}

var (
	_ http.Handler  = (*Server)(nil)
	_ fleetpb.Entry = (*Server)(nil)
)

// teamUse is what the waiting requests of a team take up at this router.
type teamUse struct {
	count int
	bytes int64
}

// request is one request of a caller.
type request struct {
	id       string
	team     string
	service  string
	op       objects.Operation
	hint     uint64
	affinity string
	method   string
	uri      string
	headers  http.Header
	body     []byte
	received time.Time
	// dispatched carries the assignment of the current attempt.
	dispatched chan *fleetpb.Assignment
	// overfull is signalled when the queue owner refuses the ticket.
	overfull chan struct{}

	// The fields below are guarded by Server.mu.

	life    *lifecycle.Request
	attempt uint32
	// queuedAt is the start of the current wait.
	queuedAt time.Time
	// waited is the sum of the earlier waits.
	waited time.Duration
	// token is the slot token of the current attempt once it is dispatched.
	token string
	// claimed is set while the request holds its idempotency key, and
	// claimEnds is the time after which it must not be dispatched.
	claimed   bool
	claimEnds time.Time
	// reserved is the memory that the request takes, in bytes.
	reserved int64
	// counted is set while the request counts in its team's queue.
	counted bool
}

// New returns a server that accepts requests at once.
func New(o Options) *Server {
	if o.Fatal == nil {
		o.Fatal = stopProcess
	}
	end, endNow := context.WithCancel(context.Background())
	return &Server{
		o:        o,
		m:        newMeters(o.Metrics),
		end:      end,
		endNow:   endNow,
		requests: map[string]*request{},
		links:    map[string]*link{},
		teams:    map[string]*teamUse{},
		empty:    make(chan struct{}),
	}
}

// stopProcess panics outside of the handler, where net/http can't recover it.
func stopProcess(value any) {
	go panic(value)
	select {}
}

// guard stops the process on a panic that is not a deliberate abort. It is
// deferred by every handler, because net/http would recover the panic.
func (s *Server) guard() {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	s.o.Logger.Error("broken invariant", "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
	s.o.Fatal(value)
}

// step applies an event that must be allowed. The caller holds s.mu.
func (q *request) step(event lifecycle.Event) {
	if _, err := q.life.Apply(event); err != nil {
		panic(fmt.Sprintf("request %s: %v", q.id, err))
	}
}

func (s *Server) note(q *request, event audit.Event, last bool, attrs ...slog.Attr) {
	s.o.Audit.Add(q.id, audit.Entry{Time: time.Now(), Event: event, Attrs: attrs, Last: last})
}

// warn logs a fault of another process once per source and minute.
func (s *Server) warn(source, reason string, err error) {
	if s.noted.Allow(time.Now(), source, reason) {
		s.o.Logger.Warn(reason, "address", source, "error", err.Error())
	}
}

// updateGauges shows the counts. The caller holds s.mu.
func (s *Server) updateGauges() {
	s.m.waiting.Update(s.waiting)
	s.m.inProgress.Update(s.inProgress)
	s.m.heldBytes.Update(s.held)
}

// TeamCount is the number of requests of a team and service at this router.
type TeamCount struct {
	Service    string
	Team       string
	Waiting    uint64
	InProgress uint64
}

// Status returns the counts of every team and service with requests, in order.
func (s *Server) Status() []TeamCount {
	type pair struct{ service, team string }
	counts := map[pair]*TeamCount{}
	s.mu.Lock()
	for _, q := range s.requests {
		key := pair{q.service, q.team}
		if counts[key] == nil {
			counts[key] = &TeamCount{Service: q.service, Team: q.team}
		}
		if q.life.State() == lifecycle.Queued {
			counts[key].Waiting++
		} else {
			counts[key].InProgress++
		}
	}
	s.mu.Unlock()
	out := make([]TeamCount, 0, len(counts))
	for _, c := range counts {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Team < out[j].Team
	})
	return out
}
