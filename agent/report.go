package agent

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

const (
	// reportInterval is the longest time between two reports of all changes.
	reportInterval = 500 * time.Millisecond
	// reportGap is the shortest time between two reports. It bounds the control
	// traffic of an endpoint with many short requests.
	reportGap = 5 * time.Millisecond
	// maxRedirects bounds the replies in a row that name another owner.
	maxRedirects = 3
	// failuresBeforeSearch is the number of failed reports in a row after which
	// another router is asked for the owner.
	failuresBeforeSearch = 2
	// supersededFor is the time for which an agent offers nothing after the
	// last reply that named it superseded. It is above the 3 s after which an
	// owner drops a silent agent, so that two instances don't take turns. The
	// state isn't final, because the start times that decide which instance is
	// the later one are wrong after a step of the host's clock.
	supersededFor = 5 * time.Second
)

// reporter sends the agent's reports, one at a time. Its fields are used by
// the goroutine of run only.
type reporter struct {
	agent  *Agent
	kicked chan struct{}
	// flushes asks for a report at once; the channel is closed after it.
	flushes chan chan struct{}

	service  string
	owner    string
	failures int
	wantFull bool
	// reported is the time of the last report of all changes.
	reported time.Time
	// superseded is the time of the last reply that said so.
	superseded time.Time
}

func newReporter(a *Agent) *reporter {
	return &reporter{agent: a, kicked: make(chan struct{}, 1), flushes: make(chan chan struct{})}
}

// kick has a report sent soon. Several kicks before that lead to one report.
func (r *reporter) kick() {
	select {
	case r.kicked <- struct{}{}:
	default:
	}
}

// flush sends a report and returns when its reply has come or its time has passed.
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
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		brief := false
		select {
		case <-ctx.Done():
			return nil
		case done := <-r.flushes:
			r.round(ctx, false)
			close(done)
		case <-r.kicked:
			// A report of all changes that is due soon goes out now, which saves a message.
			brief = time.Since(r.reported) < reportInterval/2
			r.round(ctx, brief)
		case <-ticker.C:
			r.round(ctx, false)
		}
		if !brief {
			r.reported = time.Now()
			ticker.Reset(reportInterval)
		}
		sleep(ctx, reportGap)
	}
}

// round brings one report to the owner, following replies that name another. A
// brief report leaves out the counters of teams whose requests only went on.
func (r *reporter) round(ctx context.Context, brief bool) {
	endpoint, _ := r.agent.objects()
	if endpoint == nil || !r.moveTo(endpoint.Service) {
		return
	}
	if r.owner == "" || r.failures >= failuresBeforeSearch {
		r.findOwner(ctx, endpoint.Service)
	}
	for range maxRedirects {
		if r.owner == "" || !r.send(ctx, endpoint.Service, brief) {
			return
		}
	}
}

// moveTo follows the endpoint to its service and reports whether it serves it.
// Work of an earlier service must end first. Meanwhile no report is sent: the
// owner of the earlier service would refuse it, since the endpoint has left.
func (r *reporter) moveTo(service string) bool {
	if !r.agent.pool.moveTo(service) {
		return false
	}
	if r.service != service {
		r.service, r.owner, r.failures, r.wantFull = service, "", 0, false
	}
	return true
}

// send makes one report. It returns true if the reply named another owner.
func (r *reporter) send(ctx context.Context, service string, brief bool) bool {
	a := r.agent
	report := r.build(service, brief)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.caller.Owner(r.owner).Report(ctx, report)
	if err == nil {
		err = a.checkSender(reply.Sender, r.owner)
	}
	a.counts.reports.Inc(1)
	if err != nil {
		r.failed(err)
		return false
	}
	r.failures = 0
	r.noteSuperseded(time.Now(), reply.Superseded)
	if reply.OwnerAddress != "" && reply.OwnerAddress != r.owner {
		r.owner = reply.OwnerAddress
		return true
	}
	a.pool.read(func(t *slots.Table) {
		t.Acknowledge(report.Sequence)
		t.Merge(reply.Bases, reply.VirtualTime)
	})
	if reply.WantFull && !report.Full {
		r.kick()
	}
	r.wantFull = reply.WantFull
	return false
}

func (r *reporter) build(service string, brief bool) *fleetpb.ReportRequest {
	a := r.agent
	var report *fleetpb.ReportRequest
	a.pool.read(func(t *slots.Table) {
		if brief && !r.wantFull {
			report = t.BuildBriefReport(time.Now(), r.owner)
		} else {
			report = t.BuildReport(time.Now(), r.owner, r.wantFull)
		}
	})
	report.Sender = a.caller.Sender()
	report.Endpoint = a.settings.Endpoint
	report.Service = service
	report.StartedUnixMs = a.started.UnixMilli()
	report.FencingNumber, _ = a.fencing.get()
	return report
}

// noteSuperseded takes a reply's word on whether a later instance is known.
func (r *reporter) noteSuperseded(now time.Time, superseded bool) {
	switch {
	case superseded:
		r.superseded = now
		r.agent.setStop(slots.StopSuperseded, true, "superseded by a later instance")
	case !r.superseded.IsZero() && now.Sub(r.superseded) >= supersededFor:
		r.superseded = time.Time{}
		r.agent.setStop(slots.StopSuperseded, false, "superseded by a later instance")
	}
}

func (r *reporter) failed(err error) {
	r.failures++
	r.agent.counts.reportFailures.Inc(1)
	if r.agent.limiter.Allow(time.Now(), r.owner, "report") {
		r.agent.log.Warn("report failed", "owner", r.owner, "error", err)
	}
}

// findOwner asks another router than the current owner.
func (r *reporter) findOwner(ctx context.Context, service string) {
	a := r.agent
	contact := a.contacts.pick(r.owner)
	if contact == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.caller.Owner(contact).FindOwner(ctx, &fleetpb.OwnerRequest{
		Sender:  a.caller.Sender(),
		Service: service,
	})
	if err == nil {
		err = a.checkSender(reply.Sender, contact)
	}
	if err != nil {
		if a.limiter.Allow(time.Now(), contact, "find-owner") {
			a.log.Warn("router could not be asked for the queue owner", "router", contact, "error", err)
		}
		return
	}
	a.contacts.learn(reply.Routers)
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
