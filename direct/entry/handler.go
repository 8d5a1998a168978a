package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
	"github.com/acaciaspar/acaciaspar/transport/sockpeek"
)

const (
	// defaultTimeout bounds requests whose route sets no timeout; the caller may
	// state a shorter one.
	defaultTimeout = 5 * time.Minute
	// ReuseTime is how long callers may reuse an idle connection. A drain takes longer: a request that is
	// sent when the connection is closed gets no answer.
	ReuseTime = 3 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// responseGrace is how long after the deadline the router still waits for
	// the endpoint's own final response.
	responseGrace = 150 * time.Millisecond
	// writeGrace is added to the deadline for writes to the caller.
	writeGrace = 2 * time.Second
	// notReadyRetryAfter is the delay after which a caller should retry at a
	// router that has no configuration yet or holds too many request bodies.
	notReadyRetryAfter = time.Second
)

func shedRetryAfter() time.Duration {
	return conns.MinRetryAfter + time.Duration(rand.Float64()*float64(conns.RetryAfterSpread))
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	Routes     *routing.Store
	Dispatcher *dispatch.Dispatcher
	Pool       *endpointhttp.Pool
	Dialect    dialect.Dialect
	Log        *slog.Logger
	Metrics    *Metrics
	// MaxHeldBytes bounds the total size of request bodies in memory.
	MaxHeldBytes int64
	// Memory counts what is held for callers and endpoints; nil if that isn't limited.
	Memory *conns.Memory
	// MaxInFlight is the maximum number of requests in progress.
	MaxInFlight int64
	// Overload reports how short of CPU time and file descriptors the process is.
	Overload Overload
	// Origins finds the builds that began streams.
	Origins Origins
	// Verification returns how a connection to an endpoint is verified before a stream that may be resumed
	// is sent on it, or nil. It is nil if connections are not verified.
	Verification func(registry.Endpoint) *endpointhttp.Verification

	heldBytes atomic.Int64
	inFlight  atomic.Int64
	drain     drainState
}

// Origins finds the builds that began streams, which callers take up again after their
// connection broke.
type Origins interface {
	// Begin records the build that began the stream whose first event this attempt of the caller
	// brings. It returns false, and records nothing, if the stream could be taken for one of
	// another build after this process has ended. routes are all routes with resumable streams
	// that match the path.
	Begin(ctx context.Context, attempt string, routes []*routing.Route, build streamorigin.Build) bool
	// Restriction returns the only build at which new streams of routes should begin
	// because the origins of others can't be saved at present, or streamorigin.AnyBuild. It
	// returns false if none can begin at present.
	Restriction(routes []*routing.Route) (streamorigin.Build, bool)
	// Find returns the build that began the stream of routes whose first event this attempt
	// brought, and false if it is unknown. attempt is empty if the caller doesn't name it.
	Find(ctx context.Context, attempt string, routes []*routing.Route) (streamorigin.Build, bool)
	// CountTakeUp counts that a caller takes up the stream whose first event this attempt
	// brought, and returns how often callers have at this router lately.
	CountTakeUp(attempt string) int
}

// Overload reports how short of CPU time and file descriptors the process is.
type Overload interface {
	// Shed decides whether to refuse a request without reading its body.
	Shed() bool
	// Refuse decides whether to refuse a request whose route and team are known,
	// because the process lacks CPU time. Teams above their share are refused first.
	Refuse(aboveShare func() bool) bool
	// CloseConnections reports whether connections should be closed after their
	// response.
	CloseConnections() bool
	// PreferBatching reports whether data should be processed in larger batches to
	// save CPU time.
	PreferBatching() bool
}

type connKey struct{}

// ConnContext stores the caller's connection in the context of its requests. It
// must be set as ConnContext of the http.Server that serves the Handler.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// response records whether a part of the response was passed to the HTTP server.
type response struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the HTTP server's response.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// request is the state of one request from a caller.
type request struct {
	h     *Handler
	w     response
	in    *http.Request
	ctx   context.Context
	id    string
	table *routing.Table
	route *routing.Route
	team  string
	// receivedAt is the time at which the headers were read.
	receivedAt time.Time
	deadline   time.Time
	service    *routing.Service
	body       []byte
	cost       prompt.Cost
	// cachedFingerprint is the result of fingerprint, or 0 before its first call.
	cachedFingerprint uint64
	// sentAttempts counts the attempts in which the request was sent.
	sentAttempts atomic.Int64
	// left is set once the request doesn't count as one in progress any more.
	left atomic.Bool
	// bodyRead is set once nothing of the body is left to be read.
	bodyRead bool
	// handedOver is set before the first byte of the request is written to an endpoint.
	handedOver atomic.Bool
	// heldBytes is the part of the handler's held bytes that belongs to this request.
	heldBytes int64
	// heldResponses is the number of bytes of buffered responses that are counted as held.
	heldResponses atomic.Int64
	// possibleExecutions counts the attempts that may have executed the request.
	possibleExecutions int
	exclude            []string
	// build is the only build that can continue the stream, or streamorigin.AnyBuild while the
	// caller has no event.
	build streamorigin.Build
	// continues is set if the request continues a stream within its team's share.
	continues bool
	// unfinished is the attempt in progress, or nil.
	unfinished atomic.Pointer[attempt]
	// hedge watches the attempt in progress, if a second one may run beside it.
	hedge *hedge
	// failure is the latest complete response with a server error. The caller gets it if no
	// endpoint gives a better one.
	failure *bufferedResponse
	// unplacedSince is the time since which a response that has begun has no place.
	unplacedSince time.Time
	// responseBegun is set once the caller has a part of the response.
	responseBegun bool
	// disconnected is set once the caller's connection was found closed.
	disconnected atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	n := h.inFlight.Add(1)
	h.Metrics.Requests.Inc(1)
	r := &request{h: h, w: response{ResponseWriter: w}, in: in, receivedAt: time.Now(), id: in.Header.Get(h.Dialect.RequestID)}
	defer r.leave()
	defer r.recordEnd()
	if n > h.MaxInFlight || h.Overload.Shed() {
		h.Metrics.Shed.Inc(1)
		r.refuse(http.StatusServiceUnavailable, "the router is overloaded", shedRetryAfter())
		return
	}
	if !r.resolve() {
		return
	}
	r.parseCost()
	if r.refuseIfQuarantined(r.cost, noFingerprint) || r.refuseIfOverloaded() {
		return
	}
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline.Add(responseGrace))
	defer cancel()
	r.ctx = ctx
	defer r.releaseBody()
	if !r.readBody() {
		return
	}
	if r.connectionClosed() {
		r.abortDisconnected(errConnectionClosed)
	}
	if r.refuseIfQuarantined(prompt.Cost{}, r.fingerprint()) || !r.resolveOrigin() || r.refuseIfUnsavable() {
		return
	}
	r.forward()
}

// leave ends the count of the request as one in progress.
func (r *request) leave() {
	if r.left.CompareAndSwap(false, true) {
		r.h.inFlight.Add(-1)
	}
}

// conn returns the caller's connection, or nil if the server doesn't record how exchanges end.
func (r *request) conn() *conns.Conn {
	c, _ := r.in.Context().Value(connKey{}).(*conns.Conn)
	return c
}

// recordEnd records on the caller's connection how the request ended. It is deferred.
func (r *request) recordEnd() {
	if cause := recover(); cause != nil {
		r.answerPanic(cause)
	}
	if c := r.conn(); c != nil {
		c.Answered()
	}
}

// answerPanic ends a request whose handling panicked. If the caller has a part of the response, it
// panics with http.ErrAbortHandler, so that the response doesn't look complete.
func (r *request) answerPanic(cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	r.h.logPanic(r.id, cause)
	if r.w.begun {
		r.abandon(conns.Panicked)
		panic(http.ErrAbortHandler)
	}
	// The headers may be those of an endpoint's response, with its signature.
	clear(r.w.Header())
	r.w.Header().Set("Connection", "close")
	if r.handedOver.Load() {
		r.fail(http.StatusBadGateway, outcome.Unknown, "the router failed")
		return
	}
	r.refuse(http.StatusServiceUnavailable, "the router failed", notReadyRetryAfter)
}

func (h *Handler) logPanic(request string, cause any) {
	h.Log.Error("panic while a request was handled", "request", request, "cause", cause, "stack", string(debug.Stack()))
}

// recoverPanic is deferred by goroutines beside the one of a request: a panic there would end the process.
func (h *Handler) recoverPanic(request string) {
	if cause := recover(); cause != nil {
		h.logPanic(request, cause)
	}
}

// abandon records why the request gets no complete answer.
func (r *request) abandon(cause conns.Cause) {
	if c := r.conn(); c != nil {
		c.Abandon(cause, r.id)
	}
}

// refuseIfOverloaded refuses a request for which the process has no CPU time, before its
// body is read, and reports whether it did. The request still counts as demand of its
// team.
func (r *request) refuseIfOverloaded() bool {
	now := time.Now()
	if !r.h.Overload.Refuse(func() bool { return !r.takesUpStream() && r.h.Dispatcher.AboveShare(now, r.team) }) {
		return false
	}
	r.h.Dispatcher.RecordRequest(now, r.service.Name, r.team, r.cost.Units())
	r.h.Metrics.Shed.Inc(1)
	r.refuse(http.StatusServiceUnavailable, "the router is overloaded", shedRetryAfter())
	return true
}

// refuseIfQuarantined refuses a request that crashes endpoints, or with prompt parts that
// crash engines, and reports whether it did. It doesn't count as demand of its team. The
// parts are checked before the body is read. They must not be checked again after it: if
// the request is a trial of a quarantine that has ended, it would be refused itself.
func (r *request) refuseIfQuarantined(parts prompt.Cost, fingerprint uint64) bool {
	refusal := r.h.Dispatcher.Quarantine(time.Now(), parts, fingerprint)
	if refusal == nil {
		return false
	}
	r.rejectUnplaced(refusal)
	return true
}

// parseCost parses the cost of a request to a model engine. Requests to other services cost
// nothing, but the parts that they name may crash endpoints, too.
func (r *request) parseCost() {
	d := &r.h.Dialect
	parts := r.in.Header.Get(d.PromptParts)
	if r.route.PromptAffinity || r.service.Engine != nil {
		r.cost = prompt.Parse(parts, r.in.Header.Get(d.TokenCounts), r.in.Header.Get(d.LengthHint))
		return
	}
	r.cost = prompt.ParseParts(parts)
}

// resolve determines the route, team, deadline and service. If it returns false, it has
// refused the request.
func (r *request) resolve() bool {
	h := r.h
	r.table = h.Routes.Current()
	if r.table == nil {
		r.refuse(http.StatusServiceUnavailable, "no configuration yet", notReadyRetryAfter)
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
	r.deadline = r.receivedAt.Add(r.timeout())
	if !r.deadline.After(r.receivedAt) {
		r.refuse(http.StatusServiceUnavailable, "the deadline has passed", 0)
		return false
	}
	r.service = r.table.Service(r.route.Pick(rand.Float64()))
	return true
}

// uri returns the request target in origin form, as the caller sent it.
func (r *request) uri() string {
	if strings.HasPrefix(r.in.RequestURI, "/") {
		return r.in.RequestURI
	}
	return r.in.URL.RequestURI()
}

// authorize looks up the team of the caller's key and reports whether the caller
// may use the route. Public routes need no key, but a valid one still determines
// the team.
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

// timeout returns the shorter of the caller's and the route's timeouts.
func (r *request) timeout() time.Duration {
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

// readBody reads the whole body, so that an endpoint never gets an incomplete
// one. If it returns false, it has refused the request.
func (r *request) readBody() bool {
	limit := r.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.in.ContentLength > limit {
		r.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	if r.in.ContentLength == 0 {
		r.bodyRead = true
		return true
	}
	expected := max(r.in.ContentLength, 0)
	if r.h.heldBytes.Load()+expected > r.h.MaxHeldBytes {
		r.refuse(http.StatusServiceUnavailable, "too many bodies in memory", notReadyRetryAfter)
		return false
	}
	control := http.NewResponseController(&r.w)
	// A server without read deadlines is still bounded by the request's context.
	_ = control.SetReadDeadline(earlier(time.Now().Add(bodyTimeout), r.deadline))
	in := &heldReader{in: r.in.Body, held: &r.h.heldBytes, memory: r.h.Memory, limit: r.h.MaxHeldBytes, added: &r.heldBytes}
	body, err := readAll(in, r.in.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	r.body = body
	if err == nil && int64(len(body)) <= limit {
		r.bodyRead = true
		return true
	}
	r.releaseBody()
	if err != nil {
		r.refuseBody(err)
	} else {
		r.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
	}
	return false
}

var errTooManyHeldBytes = errors.New("too many bytes of request bodies in memory")

// heldReader counts the bytes that it reads as held and fails above the limit. The
// length of a chunked body is unknown until its end.
type heldReader struct {
	in   io.Reader
	held *atomic.Int64
	// memory counts the same bytes with all others that are held.
	memory *conns.Memory
	limit  int64
	added  *int64
}

// Read implements io.Reader.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.in.Read(p)
	*h.added += int64(n)
	h.memory.Add(int64(n))
	if h.held.Add(int64(n)) > h.limit {
		return n, errTooManyHeldBytes
	}
	return n, err
}

// releaseBody returns the memory of the body to the pool.
func (r *request) releaseBody() {
	r.h.heldBytes.Add(-r.heldBytes)
	r.h.Memory.Add(-r.heldBytes - r.heldResponses.Swap(0))
	bodyBuffers.put(r.body)
	r.body, r.heldBytes = nil, 0
}

// readAll reads a body of the given length, or of unknown length if length is
// negative. In the latter case it reads at most one byte more than limit.
func readAll(in io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(in, limit+1))
	}
	body := bodyBuffers.get(int(length))
	_, err := io.ReadFull(in, body)
	return body, err
}

// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

func (r *request) refuseBody(err error) {
	if errors.Is(err, errTooManyHeldBytes) {
		r.refuse(http.StatusServiceUnavailable, "too many bodies in memory", notReadyRetryAfter)
		return
	}
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
	// Without a write deadline, a caller that reads slowly could occupy the memory of
	// the request indefinitely.
	_ = http.NewResponseController(&r.w).SetWriteDeadline(r.deadline.Add(writeGrace))
	r.h.Dispatcher.RecordRequest(time.Now(), r.service.Name, r.team, r.cost.Units())
	if r.refuseIfDraining() {
		return
	}
	if r.route.Semantics == routing.Stream {
		r.deliver(streamDelivery{r: r, s: &streamState{flusher: http.NewResponseController(&r.w)}})
		return
	}
	r.deliver(plainDelivery{r: r})
}

// renewWriteDeadline is called before a part of the response is written. A process that got no CPU time
// for a while must not end a connection whose answer is ready.
func (r *request) renewWriteDeadline(now time.Time) {
	if !r.deadline.IsZero() && now.After(r.deadline) {
		_ = http.NewResponseController(&r.w).SetWriteDeadline(now.Add(writeGrace))
	}
}

// latencyTarget returns the route's latency target or, without one, the time
// until the deadline.
func (r *request) latencyTarget(now time.Time) time.Duration {
	if r.route.LatencyTarget <= 0 {
		return r.deadline.Sub(now)
	}
	return r.route.LatencyTarget
}

func (r *request) dispatchRequest(now time.Time) *dispatch.Request {
	d := r.dispatchRequestAt(now, r.exclude, r.placedBuild())
	d.Continued = r.build != streamorigin.AnyBuild
	d.Repeated = r.possibleExecutions > 0 || r.continues
	d.Begun = r.responseBegun
	return d
}

// dispatchRequestAt returns the request to place at an endpoint of a build that is not in exclude.
// It uses nothing that changes while the request is being delivered.
func (r *request) dispatchRequestAt(now time.Time, exclude []string, build streamorigin.Build) *dispatch.Request {
	return &dispatch.Request{
		Service: r.service.Name, Team: r.team, Cost: r.cost, Fingerprint: r.fingerprint(),
		Target: r.latencyTarget(now), Exclude: exclude, Build: build, Resumable: r.isResumable(),
	}
}

var errConnectionClosed = errors.New("caller closed the connection")

// connectionClosed checks the socket of the caller's connection. On a busy host,
// the HTTP server may detect a disconnect only after the request has been sent to
// an endpoint. A caller that closed only its sending half counts as gone, like for the HTTP server: it
// can't be told from one that left, and no work may be done for those.
func (r *request) connectionClosed() bool {
	c, ok := r.in.Context().Value(connKey{}).(net.Conn)
	return ok && sockpeek.Peek(c) == sockpeek.Closed
}

// recheckAfter is the age of a request from which the caller's connection is
// checked again before the request is sent. Placing a request and connecting to
// its endpoint take a few milliseconds on a host that isn't overloaded.
const recheckAfter = 50 * time.Millisecond

// withdrawnError is the reason for which this router doesn't send a request that it has placed. It is no
// evidence against the endpoint.
type withdrawnError string

// Error implements error.
func (e withdrawnError) Error() string { return string(e) }

const (
	errDeadlinePassed  = withdrawnError("the deadline has passed")
	errEndpointGone    = withdrawnError("the endpoint stopped accepting requests")
	errOutdatedEntries = withdrawnError("the endpoint stopped accepting requests, or this router is late to learn it")
	errTurnPassed      = withdrawnError("the endpoint is cold and the turn for the request has passed")
	errUnverified      = withdrawnError("the connection may reach another incarnation of the endpoint")
)

// recheck is called immediately before the request is sent to an endpoint. On a busy
// host, much time may have passed since it was placed. It returns an error if the
// caller has disconnected, the deadline has passed, or the endpoint is draining or
// gone, or may have restarted, or is cold and the request's turn has passed, or if this router doesn't
// know its present entry.
func (r *request) recheck(assignment *dispatch.Assignment) error {
	if time.Since(r.receivedAt) >= recheckAfter && r.connectionClosed() {
		r.disconnected.Store(true)
		return errConnectionClosed
	}
	now := time.Now()
	if !now.Before(r.deadline) {
		return errDeadlinePassed
	}
	if r.h.Dispatcher.EntriesOutdated(now) {
		return errOutdatedEntries
	}
	if !r.h.Dispatcher.Accepting(assignment.Endpoint, r.isResumable()) {
		return errEndpointGone
	}
	if !assignment.MaySend(now) {
		return errTurnPassed
	}
	return nil
}

// refuse responds to a request that was certainly not executed. attrs are added to the
// log entry of the request.
func (r *request) refuse(status int, reason string, retryAfter time.Duration, attrs ...slog.Attr) {
	r.h.Metrics.Refused.Inc(1)
	r.finish(status, outcome.New(outcome.NotRun, status, r.id, reason), retryAfter, attrs...)
}

// fail responds to a request that may have been executed.
func (r *request) fail(status int, kind outcome.Kind, reason string) {
	r.h.Metrics.Failed.Inc(1)
	r.finish(status, outcome.New(kind, status, r.id, reason), 0)
}

func (r *request) finish(status int, o outcome.Outcome, retryAfter time.Duration, attrs ...slog.Attr) {
	if retryAfter > 0 {
		r.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	if r.id != "" {
		r.w.Header().Set(r.h.Dialect.RequestID, r.id)
	}
	r.logRequestEnd(status, o.Reason, append(attrs, slog.Int64("retry_after_ms", retryAfter.Milliseconds()))...)
	r.renewWriteDeadline(time.Now())
	if r.bodyRead || r.in.ContentLength == 0 {
		r.write(o)
		return
	}
	r.writeBesideBody(o)
}

// keepAlive announces ReuseTime to callers.
var keepAlive = "timeout=" + strconv.Itoa(int(ReuseTime/time.Second))

// announceReuse states in the headers of the response whether the caller may send another request on the
// connection. It is called right before they are written: a drain may have started meanwhile.
func (r *request) announceReuse() {
	h := r.w.Header()
	switch {
	case r.h.drain.started() || r.h.Overload.CloseConnections():
		h.Set("Connection", "close")
	case h.Get("Connection") == "":
		h.Set("Keep-Alive", keepAlive)
	}
}

func (r *request) write(o outcome.Outcome) {
	r.announceReuse()
	if err := o.Write(&r.w); err != nil {
		r.h.Log.Debug("caller disconnected before the response", "request", r.id, "error", err.Error())
	}
}
