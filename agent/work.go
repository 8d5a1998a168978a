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
)

const (
	// copyBufferBytes is the largest piece of an answer that is passed on at once.
	copyBufferBytes = 32 << 10
	// maxNameBytes bounds the names that the agent remembers per request.
	maxNameBytes = 256
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// job is one accepted request.
type job struct {
	agent    *Agent
	header   *work.Header
	endpoint *objects.Endpoint
	service  *objects.Service
	result   slots.Result
	clock    clock
	metered  uint64
}

// serveWork takes a request from an entry router.
func (a *Agent) serveWork(w http.ResponseWriter, r *http.Request) {
	h, err := work.Decode(r.Header)
	if err != nil {
		a.refuse(w, r, "", "malformed", http.StatusConflict, "malformed work header: "+err.Error())
		return
	}
	if h.Fleet == a.identity.Fleet && a.config.Observe(h.ConfigVersion) {
		a.noteAhead(h.Router)
	}
	j, reason, text := a.admit(h)
	if reason != "" {
		a.refuse(w, r, h.Request, reason, http.StatusConflict, text)
		return
	}
	if err := a.accept(h); err != nil {
		a.refuseSlot(w, r, err)
		return
	}
	// No report is due: the owner knows its grants, and the next report of any
	// kind shows that the token is in use.
	a.counts.accepted.Inc(1)
	defer j.end()
	j.run(w, r)
}

// admit checks that the request is meant for this agent and its endpoint.
func (a *Agent) admit(h *work.Header) (j *job, reason, text string) {
	if h.Fleet != a.identity.Fleet {
		return nil, "wrong-fleet", fmt.Sprintf("this agent belongs to the fleet %q", a.identity.Fleet)
	}
	if h.Endpoint != a.settings.Endpoint {
		return nil, "wrong-endpoint", fmt.Sprintf("this agent serves the endpoint %q", a.settings.Endpoint)
	}
	if len(h.Request) > maxNameBytes || len(h.Team) > maxNameBytes {
		return nil, "malformed", fmt.Sprintf("names must not be longer than %d bytes", maxNameBytes)
	}
	endpoint, service := a.objects()
	if endpoint == nil || endpoint.Service != h.Service {
		return nil, "wrong-service", fmt.Sprintf("the endpoint doesn't serve %q", h.Service)
	}
	if !hasOperation(service, h.Operation) {
		return nil, "unknown-operation", fmt.Sprintf("the service has no operation %q", h.Operation)
	}
	return &job{agent: a, header: h, endpoint: endpoint, service: service}, "", ""
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
	a.pool.read(func(t *slots.Table) {
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

// refuse answers that the request was not run.
func (a *Agent) refuse(w http.ResponseWriter, r *http.Request, id, reason string, status int, text string) {
	a.counts.refused(reason)
	source, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		source = r.RemoteAddr
	}
	if a.limiter.Allow(time.Now(), source, reason) {
		a.log.Warn("work refused", "reason", reason, "detail", text, "source", source, "request", id)
	}
	a.answer(w, outcome.New(outcome.NotRun, status, id, text))
}

// refuseSlot answers a refusal of the table of slots. A repeated message about
// a request that this agent has taken before gets the outcome unknown, since
// "not-run" would be false.
func (a *Agent) refuseSlot(w http.ResponseWriter, r *http.Request, err error) {
	var refusal *slots.Refusal
	if !errors.As(err, &refusal) {
		panic(err)
	}
	if !refusal.MayHaveRun() {
		a.refuse(w, r, refusal.Request, string(refusal.Reason), http.StatusServiceUnavailable, refusal.Error())
		return
	}
	a.counts.refused(string(refusal.Reason))
	a.answer(w, outcome.New(outcome.Unknown, http.StatusConflict, refusal.Request, refusal.Error()))
}

func (a *Agent) answer(w http.ResponseWriter, o outcome.Outcome) {
	if err := o.Write(w); err != nil {
		a.log.Debug("outcome not delivered", "request", o.Request, "error", err)
	}
}

// run waits for a slot and passes the request to the endpoint.
func (j *job) run(w http.ResponseWriter, r *http.Request) {
	limit, err := j.awaitStart(r.Context())
	if err != nil {
		if r.Context().Err() == nil {
			j.agent.refuseSlot(w, r, err)
		}
		return
	}
	j.result = slots.Finished
	stopTicks := j.startTicks()
	defer stopTicks()
	fencing, hasFencing := j.agent.fencing.get()
	resp, sent, err := j.agent.endpoint.do(r.Context(), call{
		header:     j.header,
		incoming:   r,
		service:    j.service,
		fencing:    fencing,
		hasFencing: hasFencing,
		startLimit: limit,
		onSend:     func() { j.clock.begin(time.Now()) },
	})
	if err != nil {
		j.noAnswer(w, r, sent, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusPreconditionFailed && j.endpoint.Fencing == objects.FencingChecked {
		j.fenced(w, r)
		return
	}
	j.pass(w, r, resp)
}

// awaitStart returns when the request may be sent, until the returned time.
func (j *job) awaitStart(ctx context.Context) (time.Time, error) {
	var limit time.Time
	j.agent.pool.read(func(t *slots.Table) { limit = t.StartDeadline(j.header.Request) })
	timer := time.NewTimer(time.Until(limit) + time.Millisecond)
	defer timer.Stop()
	for {
		ok, changed, err := j.agent.pool.mayStart(time.Now(), j.header.Request)
		if ok || err != nil {
			return limit, err
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return limit, ctx.Err()
		}
	}
}

// noAnswer ends a request whose answer did not begin.
func (j *job) noAnswer(w http.ResponseWriter, r *http.Request, sent bool, err error) {
	if !sent {
		j.result = slots.NotRun
	}
	if r.Context().Err() != nil {
		return
	}
	if !sent {
		if isDialError(err) {
			j.agent.noteUnreachable()
		}
		j.agent.refuse(w, r, j.header.Request, "endpoint-unreachable", http.StatusServiceUnavailable,
			"the endpoint could not be reached: "+err.Error())
		return
	}
	j.result = slots.Failed
	j.agent.log.Warn("contact with the endpoint lost", "request", j.header.Request, "error", err)
	j.agent.answer(w, outcome.New(outcome.Unknown, http.StatusBadGateway, j.header.Request,
		"contact with the endpoint was lost before its answer began"))
}

// fenced ends a request that the endpoint refused because a later agent has
// given it a larger fencing number.
func (j *job) fenced(w http.ResponseWriter, r *http.Request) {
	j.result = slots.NotRun
	j.agent.setStop(slots.StopFenced, true, "fencing number refused by the endpoint")
	j.agent.refuse(w, r, j.header.Request, "fencing", http.StatusServiceUnavailable,
		"the endpoint refused the agent's fencing number")
}

// pass streams the endpoint's answer to the router. A cut on the way aborts the
// stream, so that the router sees the cut as well.
func (j *job) pass(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	for name, values := range work.EndToEnd(resp.Header) {
		w.Header()[name] = values
	}
	w.Header().Set("Trailer", work.CostTrailer)
	w.WriteHeader(resp.StatusCode)
	err := j.stream(w, resp)
	if err != nil {
		if r.Context().Err() == nil {
			j.result = slots.Failed
			j.agent.log.Warn("answer of the endpoint was cut", "request", j.header.Request, "error", err)
		}
		panic(http.ErrAbortHandler)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		j.result = slots.Failed
	}
	j.chargeTime()
	w.Header().Set(work.CostTrailer, strconv.FormatUint(j.total(), 10))
}

// stream copies the answer, flushes it after each read and charges its cost.
func (j *job) stream(w http.ResponseWriter, resp *http.Response) error {
	m := newMeter(j.service, resp.Header)
	defer func() {
		m.end()
		j.chargeMeter(m)
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
			m.read(buffer[:n])
			j.chargeMeter(m)
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

// chargeMeter charges what the meter found since the last call.
func (j *job) chargeMeter(m meter) {
	cost := m.cost()
	if cost <= j.metered {
		return
	}
	j.charge(cost - j.metered)
	j.metered = cost
}

// startTicks charges the running time of a plain service's request while it
// runs. The returned function ends that.
func (j *job) startTicks() func() {
	if j.service.Type != objects.PlainService {
		return func() {}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				j.chargeTime()
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		if j.result != slots.NotRun {
			j.chargeTime()
		}
	}
}

func (j *job) chargeTime() {
	if j.service.Type != objects.PlainService {
		return
	}
	j.clock.charge(time.Now(), j.charge)
}

func (j *job) charge(units uint64) {
	j.agent.pool.read(func(t *slots.Table) { t.Charge(j.header.Request, units) })
	j.agent.counts.cost.Inc(int64(units))
}

func (j *job) total() uint64 {
	var metered uint64
	j.agent.pool.read(func(t *slots.Table) { metered = t.Metered(j.header.Request) })
	return metered
}

// end frees the request's slot and has the owner told at once.
func (j *job) end() {
	if j.service.MaxCost > 0 && j.total() > j.service.MaxCost {
		j.agent.counts.costAboveMax.Inc(1)
	}
	j.agent.pool.update(func(t *slots.Table) { t.Finish(j.header.Request, j.result) })
	j.agent.kick()
}
