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
// owners. It is safe for concurrent use.
type Server struct {
	opts        Options
	metrics     *serverMetrics
	warnLimiter observability.LogLimiter
	// drainExpired is done when the drain timeout has passed.
	drainExpired context.Context
	expireDrain  context.CancelFunc

	// mu guards all fields below, and the fields of request and ticketSync that
	// are documented as guarded by it.
	mu       sync.Mutex
	requests map[string]*request
	syncs    map[string]*ticketSync
	teams    map[string]*teamUsage
	budget   retry.Budget
	// heldBytes is the memory reserved by all requests, in bytes.
	heldBytes  int64
	waiting    int64
	inProgress int64
	// activeHandlers includes handlers that still read a body.
	activeHandlers int
	draining       bool
	// drained is closed when the server is draining and no handler is active.
	drained chan struct{}
}

var (
	_ http.Handler  = (*Server)(nil)
	_ fleetpb.Entry = (*Server)(nil)
)

// teamUsage is the number of waiting requests of a team at this router and the
// memory that they reserve.
type teamUsage struct {
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
	// protoMajor is the major version of HTTP that the caller uses.
	protoMajor int
	// dispatched carries the assignment of the current attempt.
	dispatched chan *fleetpb.Assignment
	// ticketRefused receives a value when the queue owner refuses the ticket.
	ticketRefused chan struct{}

	// The fields below are guarded by Server.mu.

	lifecycle *lifecycle.Request
	attempt   uint32
	// queuedAt is the start of the current wait.
	queuedAt time.Time
	// waited is the total time of the earlier waits.
	waited time.Duration
	// token is the slot token of the current attempt once it is dispatched.
	token string
	// claimed is set while the request holds its idempotency key. From
	// claimDeadline on, if set, it must not be dispatched.
	claimed       bool
	claimDeadline time.Time
	// reserved is the memory reserved by the request, in bytes.
	reserved int64
	// inTeamQueue is set while the request is included in the usage of its team.
	inTeamQueue bool
}

// New returns a Server that is ready to accept requests.
func New(o Options) *Server {
	if o.Fatal == nil {
		o.Fatal = crashProcess
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		opts:         o,
		metrics:      newServerMetrics(o.Metrics),
		drainExpired: ctx,
		expireDrain:  cancel,
		requests:     map[string]*request{},
		syncs:        map[string]*ticketSync{},
		teams:        map[string]*teamUsage{},
		drained:      make(chan struct{}),
	}
}

// crashProcess panics in a goroutine of its own, where net/http can't recover the panic.
func crashProcess(value any) {
	go panic(value)
	select {}
}

// crashOnPanic calls Options.Fatal on any panic other than
// http.ErrAbortHandler. Each handler defers it, because net/http would recover
// the panic and hide it.
func (s *Server) crashOnPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	s.opts.Logger.Error("handler panicked", "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
	s.opts.Fatal(value)
}

// apply applies a lifecycle event and panics if the event is not allowed in the
// current state. The caller holds Server.mu.
func (q *request) apply(event lifecycle.Event) {
	if _, err := q.lifecycle.Apply(event); err != nil {
		panic(fmt.Sprintf("request %s: %v", q.id, err))
	}
}

func (s *Server) addToTrail(q *request, event audit.Event, last bool, attrs ...slog.Attr) {
	s.opts.Audit.Add(q.id, audit.Entry{Time: time.Now(), Event: event, Attrs: attrs, Last: last})
}

// warnLimited logs an error of another process at most once per minute for each source
// and reason.
func (s *Server) warnLimited(source, reason string, err error) {
	if s.warnLimiter.Allow(time.Now(), source, reason) {
		s.opts.Logger.Warn(reason, "address", source, "error", err.Error())
	}
}

// updateGauges copies the counts to the metrics. The caller holds s.mu.
func (s *Server) updateGauges() {
	s.metrics.waiting.Update(s.waiting)
	s.metrics.inProgress.Update(s.inProgress)
	s.metrics.heldBytes.Update(s.heldBytes)
}

// TeamCount contains the numbers of requests of a team for a service at this router.
type TeamCount struct {
	Service    string
	Team       string
	Waiting    uint64
	InProgress uint64
}

// Status returns the counts of each service and team that has requests, sorted by
// service and team.
func (s *Server) Status() []TeamCount {
	type teamKey struct{ service, team string }
	counts := map[teamKey]*TeamCount{}
	s.mu.Lock()
	for _, q := range s.requests {
		key := teamKey{q.service, q.team}
		if counts[key] == nil {
			counts[key] = &TeamCount{Service: q.service, Team: q.team}
		}
		if q.lifecycle.State() == lifecycle.Queued {
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
