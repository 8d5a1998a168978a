package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/routing"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

const (
	// defaultTimeout bounds requests whose route and caller state no limit.
	defaultTimeout = 5 * time.Minute
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// answerGrace is how long after the deadline an endpoint's own last answer
	// is still awaited.
	answerGrace = 150 * time.Millisecond
	// writeGrace is added to the deadline for writes to the caller.
	writeGrace = 2 * time.Second
	// notReadyPause is the pause before a caller returns to a router that has
	// no configuration yet.
	notReadyPause = time.Second
	// leastShedPause and shedPauseSpread give the pause before a caller of an
	// overloaded router returns. It finds another router then, and the spread
	// keeps a flood from reaching that one as a wave.
	leastShedPause  = 100 * time.Millisecond
	shedPauseSpread = 300 * time.Millisecond
)

func shedPause() time.Duration {
	return leastShedPause + time.Duration(rand.Float64()*float64(shedPauseSpread))
}

// Handler is the traffic interface. It is safe for use by several goroutines.
type Handler struct {
	Routes     *routing.Store
	Dispatcher *dispatch.Dispatcher
	Pool       *endpointhttp.Pool
	Dialect    dialect.Dialect
	Log        *slog.Logger
	Metrics    *Metrics
	// MaxHeldBytes bounds the request bodies in memory.
	MaxHeldBytes int64
	// Room bounds the requests in progress.
	Room int64
	// Overload says how short of time and descriptors the process is.
	Overload Overload

	held     atomic.Int64
	inFlight atomic.Int64
	drain    drainState
}

// Overload says how short of time and descriptors the process is.
type Overload interface {
	// Shed decides whether to refuse a request without reading it whole.
	Shed() bool
	// Crowded reports whether connections should end with their answers.
	Crowded() bool
	// Busy reports whether work should be done in larger steps.
	Busy() bool
}

type connKey struct{}

// ConnContext keeps the caller's connection for its requests; it belongs into
// the http.Server that serves the handler.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// request is one caller attempt.
type request struct {
	h     *Handler
	w     http.ResponseWriter
	in    *http.Request
	ctx   context.Context
	id    string
	table *routing.Table
	route *routing.Route
	team  string
	// arrived is the time at which the headers were read.
	arrived  time.Time
	deadline time.Time
	service  *routing.Service
	body     []byte
	cost     prompt.Cost
	// sends counts the endpoints that received the request.
	sends int
	// runs counts the endpoints that may have run it.
	runs    int
	exclude []string
	// left is set once the caller's connection was found closed.
	left bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	n := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.Metrics.Requests.Inc(1)
	r := &request{h: h, w: w, in: in, arrived: time.Now(), id: in.Header.Get(h.Dialect.RequestID)}
	if h.drain.started() || h.Overload.Crowded() {
		w.Header().Set("Connection", "close")
	}
	if n > h.Room || h.Overload.Shed() {
		h.Metrics.Shed.Inc(1)
		r.refuse(http.StatusServiceUnavailable, "the router is overloaded", shedPause())
		return
	}
	if !r.resolve() {
		return
	}
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline.Add(answerGrace))
	defer cancel()
	r.ctx = ctx
	if !r.readBody() {
		return
	}
	defer r.releaseBody()
	if r.hungUp() {
		r.callerLeft(errHungUp)
	}
	r.forward()
}

// resolve finds route, team and deadline, or answers the request.
func (r *request) resolve() bool {
	h := r.h
	r.table = h.Routes.Current()
	if r.table == nil {
		r.refuse(http.StatusServiceUnavailable, "no configuration yet", notReadyPause)
		return false
	}
	if r.id == "" {
		r.refuse(http.StatusBadRequest, "the request has no identifier", 0)
		return false
	}
	uri := r.uri()
	path, _, _ := strings.Cut(uri, "?")
	r.route = r.table.Match(r.in.Host, path)
	if r.route == nil {
		r.refuse(http.StatusNotFound, "no route", 0)
		return false
	}
	if !r.authorize() {
		r.refuse(http.StatusUnauthorized, "unknown key", 0)
		return false
	}
	r.deadline = r.arrived.Add(r.patience())
	if !r.deadline.After(r.arrived) {
		r.refuse(http.StatusServiceUnavailable, "the deadline has passed", 0)
		return false
	}
	return true
}

// uri returns the request target in origin form, as the caller sent it.
func (r *request) uri() string {
	if strings.HasPrefix(r.in.RequestURI, "/") {
		return r.in.RequestURI
	}
	return r.in.URL.RequestURI()
}

// authorize finds the team that holds the caller's key. Public routes need no
// key, but a valid one still names its team.
func (r *request) authorize() bool {
	if !r.table.RequiresKeys() {
		return true
	}
	scheme, key, ok := strings.Cut(r.in.Header.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") {
		if team := r.table.TeamOf(strings.TrimSpace(key)); team != nil {
			r.team = team.Name
		}
	}
	return r.team != "" || r.route.Public
}

// patience returns the shorter of the caller's and the route's time limits.
func (r *request) patience() time.Duration {
	limit := r.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	ms, err := strconv.ParseFloat(r.in.Header.Get(r.h.Dialect.DeadlineRemaining), 64)
	if err == nil && ms < float64(limit/time.Millisecond) {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	return limit
}

// readBody reads the whole body, so that an endpoint never gets a part of one.
func (r *request) readBody() bool {
	limit := r.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.in.ContentLength > limit {
		r.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	if r.in.ContentLength == 0 {
		return true
	}
	expected := max(r.in.ContentLength, 0)
	if r.h.held.Load()+expected > r.h.MaxHeldBytes {
		r.refuse(http.StatusServiceUnavailable, "too many bodies in memory", notReadyPause)
		return false
	}
	control := http.NewResponseController(r.w)
	// A server without read deadlines still has the limit of the request's context.
	_ = control.SetReadDeadline(earlier(time.Now().Add(bodyTimeout), r.deadline))
	body, err := readAll(r.in.Body, r.in.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		bodies.put(body)
		r.bodyFailed(err)
		return false
	}
	if int64(len(body)) > limit {
		r.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	r.body = body
	r.h.held.Add(int64(len(body)))
	return true
}

// releaseBody gives the memory of the body back.
func (r *request) releaseBody() {
	r.h.held.Add(-int64(len(r.body)))
	bodies.put(r.body)
	r.body = nil
}

// readAll reads a body of a stated or, if length is negative, unknown length.
// It reads at most one byte more than limit.
func readAll(in io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(in, limit+1))
	}
	body := bodies.get(int(length))
	_, err := io.ReadFull(in, body)
	return body, err
}

// defaultBodyBytes bounds a body where the configuration states no limit.
const defaultBodyBytes = 4 << 20

func (r *request) bodyFailed(err error) {
	r.w.Header().Set("Connection", "close")
	if r.in.Context().Err() == nil && errors.Is(err, io.ErrUnexpectedEOF) {
		r.refuse(http.StatusBadRequest, "the body ended early", 0)
		return
	}
	r.refuse(http.StatusRequestTimeout, "the body did not arrive in time", 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forward sends the request to the endpoints of its service.
func (r *request) forward() {
	name := r.route.Pick(rand.Float64())
	r.service = r.table.Service(name)
	// A slow caller must not hold the request's memory forever.
	_ = http.NewResponseController(r.w).SetWriteDeadline(r.deadline.Add(writeGrace))
	if r.route.PromptAffinity || r.service.Engine != nil {
		d := &r.h.Dialect
		r.cost = prompt.Parse(r.in.Header.Get(d.PromptParts), r.in.Header.Get(d.TokenCounts), r.in.Header.Get(d.LengthHint))
	}
	r.h.Dispatcher.RecordRequest(time.Now(), name, r.team, r.cost.Units())
	if r.refusedByDrain() {
		return
	}
	if r.route.Semantics == routing.Stream {
		r.deliver(streamDelivery{r: r, s: &streamState{flusher: http.NewResponseController(r.w)}})
		return
	}
	r.deliver(plainDelivery{r: r})
}

// target returns the route's latency target, or without one the time left.
func (r *request) target(now time.Time) time.Duration {
	if r.route.LatencyTarget <= 0 {
		return r.deadline.Sub(now)
	}
	return r.route.LatencyTarget
}

func (r *request) job(now time.Time) *dispatch.Request {
	return &dispatch.Request{
		Service: r.service.Name, Team: r.team, Cost: r.cost,
		Target: r.target(now), Exclude: r.exclude,
	}
}

var errHungUp = errors.New("the caller closed the connection before its request was placed")

// hungUp looks at the caller's connection itself: on a busy host the server
// notices its end only later than the request is sent on.
func (r *request) hungUp() bool {
	c, ok := r.in.Context().Value(connKey{}).(net.Conn)
	return ok && sockpeek.Look(c) == sockpeek.Closed
}

// recheckAfter is the age of a request from which the caller's connection is
// looked at again before the request is sent. Placing a request and connecting to
// its endpoint take a few milliseconds on a host that isn't overloaded.
const recheckAfter = 50 * time.Millisecond

// hungUpMeanwhile looks at the caller's connection again if a busy host took
// long to place the request.
func (r *request) hungUpMeanwhile() bool {
	if time.Since(r.arrived) >= recheckAfter && r.hungUp() {
		r.left = true
	}
	return r.left
}

// refuse answers a request that certainly has not run.
func (r *request) refuse(status int, reason string, retryAfter time.Duration, inputs ...slog.Attr) {
	r.h.Metrics.Refused.Inc(1)
	r.finish(status, outcome.New(outcome.NotRun, status, r.id, reason), retryAfter, inputs...)
}

// fail answers a request that may have run.
func (r *request) fail(status int, kind outcome.Kind, reason string) {
	r.h.Metrics.Failed.Inc(1)
	r.finish(status, outcome.New(kind, status, r.id, reason), 0)
}

func (r *request) finish(status int, o outcome.Outcome, retryAfter time.Duration, inputs ...slog.Attr) {
	if retryAfter > 0 {
		r.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	if r.id != "" {
		r.w.Header().Set(r.h.Dialect.RequestID, r.id)
	}
	r.logEnd(status, o.Reason, append(inputs, slog.Int64("retry_after_ms", retryAfter.Milliseconds()))...)
	if err := o.Write(r.w); err != nil {
		r.h.Log.Debug("caller left before its answer", "request", r.id, "error", err.Error())
	}
}
