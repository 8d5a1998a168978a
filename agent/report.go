package agent

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

const (
	// regularReportInterval is the maximum interval between regular reports, which
	// contain all changes.
	regularReportInterval = 500 * time.Millisecond
	// minReportInterval is the minimum delay between reports. It limits the control
	// traffic of an endpoint with many short requests.
	minReportInterval = 5 * time.Millisecond
	// maxRedirects is the maximum number of calls for one report while replies name
	// another owner.
	maxRedirects = 3
	// failuresBeforeFindOwner is the number of consecutive failed reports after
	// which another router is queried for the owner.
	failuresBeforeFindOwner = 2
	// supersededDuration is how long an agent offers no tokens after the last
	// reply that marked it superseded. It exceeds the 3 s after which an owner
	// removes an agent that sends no reports, so that two instances don't
	// alternate. The state expires because the start times, which determine the
	// later instance, are wrong after a step of the host's clock.
	supersededDuration = 5 * time.Second
)

// reporter sends the agent's reports, one at a time. The fields after flushes are
// used only by the goroutine of run.
type reporter struct {
	agent    *Agent
	triggers chan struct{}
	// flushes receives requests for an immediate report; the received channel is
	// closed afterwards.
	flushes chan chan struct{}

	service  string
	owner    string
	failures int
	wantFull bool
	// lastRegularReport is the time of the last regular report.
	lastRegularReport time.Time
	// lastSuperseded is the time of the last reply with the superseded flag.
	lastSuperseded time.Time
}

func newReporter(a *Agent) *reporter {
	return &reporter{agent: a, triggers: make(chan struct{}, 1), flushes: make(chan chan struct{})}
}

// trigger schedules a report. Triggers before it is sent are coalesced.
func (r *reporter) trigger() {
	select {
	case r.triggers <- struct{}{}:
	default:
	}
}

// flush sends a regular report and returns when the call has ended or ctx is
// cancelled.
func (r *reporter) flush(ctx context.Context) {
	done := make(chan struct{})
	select {
	case r.flushes <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *reporter) run(ctx context.Context) error {
	ticker := time.NewTicker(regularReportInterval)
	defer ticker.Stop()
	for {
		brief := false
		select {
		case <-ctx.Done():
			return nil
		case done := <-r.flushes:
			r.deliverReport(ctx, false)
			close(done)
		case <-r.triggers:
			// If a regular report is due soon, it is sent now, which saves a message.
			brief = time.Since(r.lastRegularReport) < regularReportInterval/2
			r.deliverReport(ctx, brief)
		case <-ticker.C:
			r.deliverReport(ctx, false)
		}
		if !brief {
			r.lastRegularReport = time.Now()
			ticker.Reset(regularReportInterval)
		}
		sleep(ctx, minReportInterval)
	}
}

// deliverReport sends one report to the owner, following replies that name another
// owner. A brief report omits the counters of teams whose requests only continued.
func (r *reporter) deliverReport(ctx context.Context, brief bool) {
	endpoint, _ := r.agent.currentObjects()
	if endpoint == nil || !r.switchService(endpoint.Service) {
		return
	}
	if r.owner == "" || r.failures >= failuresBeforeFindOwner {
		r.findOwner(ctx, endpoint.Service)
	}
	for range maxRedirects {
		if r.owner == "" || !r.callOwner(ctx, endpoint.Service, brief) {
			return
		}
	}
}

// switchService switches to the endpoint's service and reports whether the switch
// is complete. Requests of the previous service must end first. No report is sent
// in the meantime, because the owner of the previous service would refuse it.
func (r *reporter) switchService(service string) bool {
	if !r.agent.slots.switchService(service) {
		return false
	}
	if r.service != service {
		r.service, r.owner, r.failures, r.wantFull = service, "", 0, false
	}
	return true
}

// callOwner sends one report. It returns true if the reply names another owner.
func (r *reporter) callOwner(ctx context.Context, service string, brief bool) bool {
	a := r.agent
	report := r.buildReport(service, brief)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.clients.Owner(r.owner).Report(ctx, report)
	if err == nil {
		err = a.checkSender(reply.Sender, r.owner)
	}
	a.metrics.reports.Inc(1)
	if err != nil {
		r.recordFailure(err)
		return false
	}
	r.failures = 0
	r.updateSuperseded(time.Now(), reply.Superseded)
	if reply.OwnerAddress != "" && reply.OwnerAddress != r.owner {
		r.owner = reply.OwnerAddress
		return true
	}
	a.slots.withTable(func(t *slots.Table) {
		t.Acknowledge(report.Sequence)
		t.MergeBases(reply.Bases, reply.VirtualTime)
	})
	if reply.WantFull && !report.Full {
		r.trigger()
	}
	r.wantFull = reply.WantFull
	return false
}

func (r *reporter) buildReport(service string, brief bool) *fleetpb.ReportRequest {
	a := r.agent
	var report *fleetpb.ReportRequest
	a.slots.withTable(func(t *slots.Table) {
		if brief && !r.wantFull {
			report = t.BuildBriefReport(time.Now(), r.owner)
		} else {
			report = t.BuildReport(time.Now(), r.owner, r.wantFull)
		}
	})
	report.Sender = a.clients.Sender()
	report.Endpoint = a.settings.Endpoint
	report.Service = service
	report.StartedUnixMs = a.started.UnixMilli()
	report.FencingNumber, _ = a.fencing.get()
	return report
}

// updateSuperseded sets or clears the stop reason according to a reply's superseded
// flag. It is cleared after supersededDuration without a reply that sets the flag.
func (r *reporter) updateSuperseded(now time.Time, superseded bool) {
	switch {
	case superseded:
		r.lastSuperseded = now
		r.agent.setStop(slots.StopSuperseded, true, "superseded by a later instance")
	case !r.lastSuperseded.IsZero() && now.Sub(r.lastSuperseded) >= supersededDuration:
		r.lastSuperseded = time.Time{}
		r.agent.setStop(slots.StopSuperseded, false, "superseded by a later instance")
	}
}

func (r *reporter) recordFailure(err error) {
	r.failures++
	r.agent.metrics.reportFailures.Inc(1)
	if r.agent.logLimiter.Allow(time.Now(), r.owner, "report") {
		r.agent.log.Warn("send report failed", "owner", r.owner, "error", err)
	}
}

// findOwner queries a router for the queue owner, if possible one other than the
// current owner.
func (r *reporter) findOwner(ctx context.Context, service string) {
	a := r.agent
	router := a.routers.pick(r.owner)
	if router == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.clients.Owner(router).FindOwner(ctx, &fleetpb.OwnerRequest{
		Sender:  a.clients.Sender(),
		Service: service,
	})
	if err == nil {
		err = a.checkSender(reply.Sender, router)
	}
	if err != nil {
		if a.logLimiter.Allow(time.Now(), router, "find-owner") {
			a.log.Warn("find queue owner failed", "router", router, "error", err)
		}
		return
	}
	a.routers.setLearned(reply.Routers)
	if reply.OwnerAddress != "" {
		r.owner = reply.OwnerAddress
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
