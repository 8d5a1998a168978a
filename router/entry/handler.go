package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Headers that callers may set.
const (
	costHintHeader = "Acaciaspar-Cost-Hint"
	affinityHeader = "Acaciaspar-Affinity"
	keyHeader      = "Idempotency-Key"
)

const (
	// maxHeaderBytes bounds the caller's headers that go to the agent. The
	// agent's server takes 64 KiB, and the prefix of forwarded names adds to them.
	maxHeaderBytes = 32 << 10
	// maxAffinityBytes bounds the affinity key; the rest of a longer one is ignored.
	maxAffinityBytes = 256
)

// ServeHTTP implements http.Handler for callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.guard()
	id := uuid.NewString()
	w.Header().Set(outcome.RequestHeader, id)
	s.m.requests.Inc(1)
	// The deadline also bounds what net/http reads of a refused request's body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.o.Limits.BodyTimeout))
	if !s.enter() {
		s.refuse(w, r, outcome.New(outcome.NotRun, http.StatusServiceUnavailable, id, "the router is shutting down").WithRetryAfter(retryAfter))
		return
	}
	defer s.leave()
	q, refusal := s.identify(r, id)
	if refusal != nil {
		s.refuse(w, r, *refusal)
		return
	}
	s.serve(w, r, q)
}

// refuse answers a request that has no trail yet.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	s.m.outcomes[o.Kind].Inc(1)
	if o.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeEarly(w, r, o)
}

// write sends an outcome as a whole answer.
func (s *Server) write(w http.ResponseWriter, o outcome.Outcome) {
	if err := o.Write(w); err != nil {
		s.o.Logger.Debug("outcome not delivered", "request", o.Request, "error", err.Error())
	}
}

// serve takes a request of a known team through its life. Requests that find
// no room get no trail, so that a flood doesn't push out the trails of others.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, q *request) {
	defer s.forget(q)
	if refusal := s.admit(q, r.ContentLength); refusal != nil {
		s.refuse(w, r, *refusal)
		return
	}
	s.note(q, audit.Received, false,
		slog.String("team", q.team), slog.String("service", q.service),
		slog.String("operation", q.op.Name), slog.Uint64("hint", q.hint))
	// A body that can't be read ends the context as well, so the refusal counts.
	if refusal := s.readBody(w, r, q); refusal != nil {
		s.record(q, *refusal)
		s.forget(q)
		s.writeEarly(w, r, *refusal)
		return
	}
	refusal := s.claim(r, q)
	switch {
	case r.Context().Err() != nil:
		s.cancelled(q)
	case refusal != nil:
		s.conclude(w, q, *refusal)
	default:
		s.run(w, r, q)
	}
}

// identify finds out who asks for what.
func (s *Server) identify(r *http.Request, id string) (*request, *outcome.Outcome) {
	refuse := func(status int, reason string) (*request, *outcome.Outcome) {
		o := outcome.New(outcome.NotRun, status, id, reason)
		return nil, &o
	}
	config := s.o.Store.Current()
	if config == nil {
		o := outcome.New(outcome.NotRun, http.StatusServiceUnavailable, id, "the router has no configuration yet").WithRetryAfter(retryAfter)
		return nil, &o
	}
	team := teamOf(config.Set, r)
	if team == nil {
		return refuse(http.StatusUnauthorized, "the request has no valid token")
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service := config.Set.Services[name]
	if service == nil {
		return refuse(http.StatusNotFound, "the service is not known")
	}
	op := service.OperationByPath("/" + path)
	if op == nil {
		return refuse(http.StatusNotFound, "the operation is not known")
	}
	if config.Set.Share(team.Name, name) == nil {
		return refuse(http.StatusForbidden, "the team has no share in the service")
	}
	headers := work.EndToEnd(r.Header)
	// The agent sets the length itself, and the body is already here.
	headers.Del("Content-Length")
	headers.Del("Expect")
	if size(headers) > maxHeaderBytes {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	return newRequest(r, id, team.Name, service, op, headers), nil
}

func newRequest(r *http.Request, id, team string, service *objects.Service, op *objects.Operation, headers http.Header) *request {
	target := url.URL{Path: op.Path, RawQuery: r.URL.RawQuery}
	affinity := r.Header.Get(affinityHeader)
	return &request{
		id:         id,
		team:       team,
		service:    service.Name,
		op:         *op,
		hint:       hintOf(r, service),
		affinity:   affinity[:min(len(affinity), maxAffinityBytes)],
		method:     r.Method,
		uri:        target.RequestURI(),
		headers:    headers,
		received:   time.Now(),
		dispatched: make(chan *fleetpb.Assignment, 1),
		overfull:   make(chan struct{}, 1),
		life:       lifecycle.New(op.Idempotent),
		attempt:    1,
	}
}

// teamOf returns the team whose bearer token the request carries, or nil.
func teamOf(set *objects.Set, r *http.Request) *objects.Team {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	hash := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return set.TeamByTokenHash(hex.EncodeToString(hash[:]))
}

// hintOf returns the expected cost, from 1 to the service's largest cost. A
// malformed hint counts as none, because hints are rough anyway.
func hintOf(r *http.Request, service *objects.Service) uint64 {
	hint, err := strconv.ParseUint(r.Header.Get(costHintHeader), 10, 64)
	if err != nil {
		hint = service.DefaultCost
	}
	if service.MaxCost > 0 {
		hint = min(hint, service.MaxCost)
	}
	return max(hint, 1)
}

func size(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
