package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/httpstatus"
)

const (
	// copyBufferBytes is the size of the buffers that responses are copied with.
	copyBufferBytes = 32 << 10
	// maxNameBytes is the maximum length of the names stored for a request.
	maxNameBytes = 256
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// activeRequest is an accepted request.
type activeRequest struct {
	agent    *Agent
	header   *work.Header
	endpoint *objects.Endpoint
	service  *objects.Service
	result   slots.Result
	duration durationMeter
	metered  uint64
}

// serveWork handles a request from an entry router.
func (a *Agent) serveWork(w http.ResponseWriter, r *http.Request) {
	h, err := work.Decode(r.Header)
	if err != nil {
		a.refuse(w, r, "", "malformed", http.StatusConflict, "malformed work header: "+err.Error())
		return
	}
	if h.Fleet == a.identity.Fleet && a.config.Observe(h.ConfigVersion) {
		a.recordNewerConfig(h.Router)
	}
	ar, reason, detail := a.checkHeader(h)
	if reason != "" {
		a.refuse(w, r, h.Request, reason, http.StatusConflict, detail)
		return
	}
	if err := a.accept(h); err != nil {
		a.writeRefusal(w, r, err)
		return
	}
	// No report is triggered: the owner knows its grants, and the next report of
	// any kind shows that the token is in use.
	a.metrics.accepted.Inc(1)
	defer ar.finish()
	ar.serve(w, r)
}

// checkHeader checks that the request is for this agent and its endpoint. If it is
// not, reason and detail are set.
func (a *Agent) checkHeader(h *work.Header) (ar *activeRequest, reason, detail string) {
	if h.Fleet != a.identity.Fleet {
		return nil, "wrong-fleet", fmt.Sprintf("this agent belongs to the fleet %q", a.identity.Fleet)
	}
	if h.Endpoint != a.settings.Endpoint {
		return nil, "wrong-endpoint", fmt.Sprintf("this agent serves the endpoint %q", a.settings.Endpoint)
	}
	if len(h.Request) > maxNameBytes || len(h.Team) > maxNameBytes {
		return nil, "malformed", fmt.Sprintf("names must not be longer than %d bytes", maxNameBytes)
	}
	endpoint, service := a.currentObjects()
	if endpoint == nil || endpoint.Service != h.Service {
		return nil, "wrong-service", fmt.Sprintf("the endpoint doesn't serve %q", h.Service)
	}
	if !hasOperation(service, h.Operation) {
		return nil, "unknown-operation", fmt.Sprintf("the service has no operation %q", h.Operation)
	}
	return &activeRequest{agent: a, header: h, endpoint: endpoint, service: service}, "", ""
}

func hasOperation(s *objects.Service, name string) bool {
	for _, o := range s.Operations {
		if o.Name == name {
			return true
		}
	}
	return false
}

func (a *Agent) accept(h *work.Header) error {
	var err error
	a.slots.withTable(func(t *slots.Table) {
		err = t.Accept(time.Now(), slots.AcceptParams{
			Token:   h.SlotToken,
			Request: h.Request,
			Attempt: h.Attempt,
			Team:    h.Team,
			Weight:  h.Weight,
			Hint:    h.Hint,
		})
	})
	return err
}

// refuse responds with the outcome not-run and logs the refusal.
func (a *Agent) refuse(w http.ResponseWriter, r *http.Request, id, reason string, status int, detail string) {
	a.metrics.refused(reason)
	source, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		source = r.RemoteAddr
	}
	if a.logLimiter.Allow(time.Now(), source, reason) {
		a.log.Warn("request refused", "reason", reason, "detail", detail, "source", source, "request", id)
	}
	a.writeOutcome(w, outcome.New(outcome.NotRun, status, id, detail))
}

// writeRefusal responds to a refusal by the slot table. A duplicate of a request
// that this agent has accepted gets the outcome unknown, since the request may
// have run. It panics if err is not a *slots.Refusal.
func (a *Agent) writeRefusal(w http.ResponseWriter, r *http.Request, err error) {
	var refusal *slots.Refusal
	if !errors.As(err, &refusal) {
		panic(err)
	}
	if !refusal.MayHaveRun() {
		a.refuse(w, r, refusal.Request, string(refusal.Reason), http.StatusServiceUnavailable, refusal.Error())
		return
	}
	a.metrics.refused(string(refusal.Reason))
	a.writeOutcome(w, outcome.New(outcome.Unknown, http.StatusConflict, refusal.Request, refusal.Error()))
}

func (a *Agent) writeOutcome(w http.ResponseWriter, o outcome.Outcome) {
	if err := o.Write(w); err != nil {
		a.log.Debug("send outcome failed", "request", o.Request, "error", err)
	}
}

// serve waits for a slot and forwards the request to the endpoint.
func (ar *activeRequest) serve(w http.ResponseWriter, r *http.Request) {
	deadline, err := ar.awaitStart(r.Context())
	if err != nil {
		if r.Context().Err() == nil {
			ar.agent.writeRefusal(w, r, err)
		}
		return
	}
	ar.result = slots.Finished
	stopCharges := ar.startTimeCharges()
	defer stopCharges()
	fencing, hasFencing := ar.agent.fencing.get()
	resp, sent, err := ar.agent.endpoint.do(r.Context(), endpointRequest{
		header:        ar.header,
		incoming:      r,
		service:       ar.service,
		fencing:       fencing,
		hasFencing:    hasFencing,
		startDeadline: deadline,
		onSend:        func() { ar.duration.begin(time.Now()) },
	})
	if err != nil {
		ar.handleSendError(w, r, sent, err)
		return
	}
	defer resp.Body.Close()
	if !httpstatus.IsFinal(resp.StatusCode) {
		ar.handleInvalidStatus(w, resp.StatusCode)
		return
	}
	if resp.StatusCode == http.StatusPreconditionFailed && ar.endpoint.Fencing == objects.FencingChecked {
		ar.handleFenced(w, r)
		return
	}
	ar.forwardResponse(w, r, resp)
}

// awaitStart waits until the request may be sent and returns its start deadline. It
// returns an error if the slot table refuses the request or ctx is cancelled.
func (ar *activeRequest) awaitStart(ctx context.Context) (time.Time, error) {
	var deadline time.Time
	ar.agent.slots.withTable(func(t *slots.Table) { deadline = t.StartDeadline(ar.header.Request) })
	timer := time.NewTimer(time.Until(deadline) + time.Millisecond)
	defer timer.Stop()
	for {
		ok, changed, err := ar.agent.slots.mayStart(time.Now(), ar.header.Request)
		if ok || err != nil {
			return deadline, err
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return deadline, ctx.Err()
		}
	}
}

// handleSendError ends a request for which no response header was received.
func (ar *activeRequest) handleSendError(w http.ResponseWriter, r *http.Request, sent bool, err error) {
	if !sent {
		ar.result = slots.NotRun
	}
	if r.Context().Err() != nil {
		return
	}
	if !sent {
		if isDialError(err) {
			ar.agent.markUnreachable()
		}
		ar.agent.refuse(w, r, ar.header.Request, "endpoint-unreachable", http.StatusServiceUnavailable,
			"the endpoint could not be reached: "+err.Error())
		return
	}
	ar.result = slots.Failed
	ar.agent.log.Warn("connection to the endpoint lost", "request", ar.header.Request, "error", err)
	ar.agent.writeOutcome(w, outcome.New(outcome.Unknown, http.StatusBadGateway, ar.header.Request,
		"contact with the endpoint was lost before its answer began"))
}

// handleInvalidStatus ends a request whose response can't be forwarded.
func (ar *activeRequest) handleInvalidStatus(w http.ResponseWriter, status int) {
	ar.result = slots.Failed
	ar.agent.log.Warn("endpoint sent an invalid status", "request", ar.header.Request, "status", status)
	ar.agent.writeOutcome(w, outcome.New(outcome.Unknown, http.StatusBadGateway, ar.header.Request, "the endpoint sent an invalid status"))
}

// handleFenced ends a request that the endpoint refused because it has received a
// higher fencing number from a later agent.
func (ar *activeRequest) handleFenced(w http.ResponseWriter, r *http.Request) {
	ar.result = slots.NotRun
	ar.agent.setStop(slots.StopFenced, true, "fencing number refused by the endpoint")
	ar.agent.refuse(w, r, ar.header.Request, "fencing", http.StatusServiceUnavailable,
		"the endpoint refused the agent's fencing number")
}

// forwardResponse streams the endpoint's response to the router. If the stream
// fails, it panics with http.ErrAbortHandler, so that the router detects that the
// response is incomplete.
func (ar *activeRequest) forwardResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	for name, values := range work.EndToEnd(resp.Header) {
		w.Header()[name] = values
	}
	w.Header().Set("Trailer", work.CostTrailer)
	w.WriteHeader(resp.StatusCode)
	err := ar.streamBody(w, resp)
	if err != nil {
		if r.Context().Err() == nil {
			ar.result = slots.Failed
			ar.agent.log.Warn("forward endpoint response failed", "request", ar.header.Request, "error", err)
		}
		panic(http.ErrAbortHandler)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		ar.result = slots.Failed
	}
	ar.chargeTime()
	w.Header().Set(work.CostTrailer, strconv.FormatUint(ar.meteredCost(), 10))
}

// streamBody copies the response body, flushes after each read and charges its cost.
func (ar *activeRequest) streamBody(w http.ResponseWriter, resp *http.Response) error {
	m := newMeter(ar.service, resp.Header)
	defer func() {
		m.finish()
		ar.chargeMeter(m)
	}()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return err
	}
	for {
		n, readErr := resp.Body.Read(buffer[:])
		if n > 0 {
			m.add(buffer[:n])
			ar.chargeMeter(m)
			if err := writeFlushed(w, flusher, buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func writeFlushed(w io.Writer, flusher *http.ResponseController, p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return flusher.Flush()
}

// chargeMeter charges the cost metered since the last call.
func (ar *activeRequest) chargeMeter(m meter) {
	cost := m.cost()
	if cost <= ar.metered {
		return
	}
	ar.charge(cost - ar.metered)
	ar.metered = cost
}

// startTimeCharges charges the time of a plain service's request periodically. The
// returned function stops it and charges the remaining time.
func (ar *activeRequest) startTimeCharges() func() {
	if ar.service.Type != objects.PlainService {
		return func() {}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(timeChargeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				ar.chargeTime()
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		if ar.result != slots.NotRun {
			ar.chargeTime()
		}
	}
}

func (ar *activeRequest) chargeTime() {
	if ar.service.Type != objects.PlainService {
		return
	}
	ar.duration.charge(time.Now(), ar.charge)
}

func (ar *activeRequest) charge(units uint64) {
	ar.agent.slots.withTable(func(t *slots.Table) { t.Charge(ar.header.Request, units) })
	ar.agent.metrics.cost.Inc(int64(units))
}

func (ar *activeRequest) meteredCost() uint64 {
	var metered uint64
	ar.agent.slots.withTable(func(t *slots.Table) { metered = t.Metered(ar.header.Request) })
	return metered
}

// finish releases the request's slot and triggers a report to the owner.
func (ar *activeRequest) finish() {
	if ar.service.MaxCost > 0 && ar.meteredCost() > ar.service.MaxCost {
		ar.agent.metrics.costAboveMax.Inc(1)
	}
	ar.agent.slots.update(func(t *slots.Table) { t.Finish(ar.header.Request, ar.result) })
	ar.agent.triggerReport()
}
