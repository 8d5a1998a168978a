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

// Request headers that callers may set.
const (
	costHintHeader = "Acaciaspar-Cost-Hint"
	affinityHeader = "Acaciaspar-Affinity"
	keyHeader      = "Idempotency-Key"
)

const (
	// maxHeaderBytes limits the caller's headers that are forwarded to the agent.
	// The agent's server accepts 64 KiB of headers, which include the prefix of
	// each forwarded name.
	maxHeaderBytes = 32 << 10
	// maxAffinityBytes is the maximum length of an affinity key; longer keys are truncated.
	maxAffinityBytes = 256
)

// ServeHTTP implements http.Handler for callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.crashOnPanic()
	id := uuid.NewString()
	w.Header().Set(outcome.RequestHeader, id)
	s.metrics.requests.Inc(1)
	// The deadline also limits how long net/http reads the body of a refused request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opts.Limits.BodyTimeout))
	if !s.beginHandler() {
		s.refuse(w, r, outcome.New(outcome.NotRun, http.StatusServiceUnavailable, id, "the router is shutting down").WithRetryAfter(retryAfter))
		return
	}
	defer s.endHandler()
	q, refusal := s.resolveRequest(r, id)
	if refusal != nil {
		s.refuse(w, r, *refusal)
		return
	}
	s.serve(w, r, q)
}

// refuse sends an outcome for a request that has no audit trail.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	s.metrics.outcomes[o.Kind].Inc(1)
	if o.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeOutcomeEarly(w, r, o)
}

// writeOutcome sends an outcome as the complete response, with this major version of HTTP.
func (s *Server) writeOutcome(w http.ResponseWriter, protoMajor int, o outcome.Outcome) {
	s.announceClose(w, protoMajor)
	if err := o.Write(w); err != nil {
		s.opts.Logger.Debug("send outcome failed", "request", o.Request, "error", err.Error())
	}
}

// serve handles a request of a known team until it has ended. Requests that are
// refused for lack of capacity get no audit trail, so that a flood of requests
// doesn't evict the trails of others.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, q *request) {
	defer s.removeRequest(q)
	if refusal := s.admit(q, r.ContentLength); refusal != nil {
		s.refuse(w, r, *refusal)
		return
	}
	s.addToTrail(q, audit.Received, false,
		slog.String("team", q.team), slog.String("service", q.service),
		slog.String("operation", q.op.Name), slog.Uint64("hint", q.hint))
	// A body that can't be read also cancels the context; the refusal takes precedence.
	if refusal := s.readBody(w, r, q); refusal != nil {
		s.recordOutcome(q, *refusal)
		s.removeRequest(q)
		s.writeOutcomeEarly(w, r, *refusal)
		return
	}
	refusal := s.claim(r, q)
	switch {
	case r.Context().Err() != nil:
		s.cancelBeforeQueue(q)
	case refusal != nil:
		s.finish(w, q, *refusal)
	default:
		s.process(w, r, q)
	}
}

// resolveRequest authenticates the caller and looks up the service and the
// operation. If one of them is unknown or not permitted, it returns a nil request
// and the outcome for the caller.
func (s *Server) resolveRequest(r *http.Request, id string) (*request, *outcome.Outcome) {
	refuse := func(status int, reason string) (*request, *outcome.Outcome) {
		o := outcome.New(outcome.NotRun, status, id, reason)
		return nil, &o
	}
	config := s.opts.Store.Current()
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
	// The agent sets Content-Length itself, and the router has read the whole body
	// before it sends the request, so Expect has no effect.
	headers.Del("Content-Length")
	headers.Del("Expect")
	if headerSize(headers) > maxHeaderBytes {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	return newRequest(r, id, team.Name, service, op, headers), nil
}

func newRequest(r *http.Request, id, team string, service *objects.Service, op *objects.Operation, headers http.Header) *request {
	target := url.URL{Path: op.Path, RawQuery: r.URL.RawQuery}
	affinity := r.Header.Get(affinityHeader)
	return &request{
		id:            id,
		team:          team,
		service:       service.Name,
		op:            *op,
		hint:          costHint(r, service),
		affinity:      affinity[:min(len(affinity), maxAffinityBytes)],
		method:        r.Method,
		uri:           target.RequestURI(),
		headers:       headers,
		received:      time.Now(),
		protoMajor:    r.ProtoMajor,
		dispatched:    make(chan *fleetpb.Assignment, 1),
		ticketRefused: make(chan struct{}, 1),
		lifecycle:     lifecycle.New(op.Idempotent),
		attempt:       1,
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

// costHint returns the cost hint of the request, or the service's default cost,
// limited to 1 up to the service's maximum cost. A missing or malformed hint is
// not an error, because hints are only estimates.
func costHint(r *http.Request, service *objects.Service) uint64 {
	hint, err := strconv.ParseUint(r.Header.Get(costHintHeader), 10, 64)
	if err != nil {
		hint = service.DefaultCost
	}
	if service.MaxCost > 0 {
		hint = min(hint, service.MaxCost)
	}
	return max(hint, 1)
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
