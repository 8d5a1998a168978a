package bench

import (
	"io"
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/engine"
	"github.com/acaciaspar/acaciaspar/testbed/standin/plainservice"
)

const (
	// leadTime is the time from the start of the samplers to the start of the schedule.
	leadTime = 200 * time.Millisecond
	// cancelDelay lets cancelled requests end before the executions are read.
	cancelDelay = 500 * time.Millisecond
)

// Run runs a workload with one variant on a new fleet. It returns an error if the
// fleet doesn't start or a process fails.
func Run(out io.Writer, w *Workload, v Variant) (*Result, error) {
	var result *Result
	err := WithRunner(out, func(runner fleet.Runner) { result = measure(deploy(runner, w, v)) })
	return result, err
}

func measure(d *deployment) *Result {
	w := d.workload
	schedule := w.Schedule(!d.variant.NoFlood)
	g := newGenerator(d)
	admins := d.adminURLs()
	g.start = time.Now().Add(leadTime)
	before := readCounters(admins)
	var samplers []*sampler
	for i, standins := range d.endpoints {
		var urls []string
		for _, p := range standins {
			urls = append(urls, p.URL("listen"))
		}
		samplers = append(samplers, startSampler(urls, int(w.Services[i].Slots), g.start))
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		g.run(schedule)
	}()
	after := make(chan map[string]map[string]float64, 1)
	time.AfterFunc(time.Until(g.start.Add(w.Duration)), func() { after <- readCounters(admins) })
	d.injectFaults(g, finished)
	<-finished
	result := &Result{Workload: w.Name, Variant: d.variant.Name, Seed: w.Seed, Seconds: w.Duration.Seconds()}
	result.LoadAverage = loadAverage()
	result.addCounters(before, <-after)
	for i, s := range samplers {
		records := recordsOfService(g.records, i)
		result.Services = append(result.Services, summarize(w, i, d.variant.prefetch(&w.Services[i]), records, s.stopAndCollect()))
	}
	time.Sleep(cancelDelay)
	for i := range result.Services {
		d.checkExecutions(i, recordsOfService(g.records, i), &result.Services[i])
	}
	lateness := newHistogram()
	for _, r := range g.records {
		recordDuration(lateness, r.Sent-r.At)
	}
	result.GeneratorLateP99 = percentiles(lateness).P99
	return result
}

func recordsOfService(all []*Record, service int) []*Record {
	var out []*Record
	for _, r := range all {
		if r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// injectFaults injects the workload's faults at their times, until finished is
// closed. It does nothing unless the variant runs with faults.
func (d *deployment) injectFaults(g *generator, finished <-chan struct{}) {
	if !d.variant.Faults {
		return
	}
	for _, f := range d.workload.Faults {
		select {
		case <-time.After(time.Until(g.start.Add(f.At))):
			d.injectFault(f, g.routers)
		case <-finished:
			return
		}
	}
}

// adminURLs returns the admin URLs of all routers and agents, by process name.
func (d *deployment) adminURLs() map[string]string {
	all := map[string]string{}
	for _, p := range d.routersAndAgents() {
		all[p.Name] = p.URL("admin")
	}
	return all
}

// readCounters returns the metrics of the processes, by process name.
func readCounters(admins map[string]string) map[string]map[string]float64 {
	all := map[string]map[string]float64{}
	for name, url := range admins {
		all[name] = readMetrics(url)
	}
	return all
}

// addCounters adds the increase of the counters between before and after. The
// counters of a restarted process start from 0; a process that can't be reached
// at the end is skipped.
func (r *Result) addCounters(before, after map[string]map[string]float64) {
	processes := 0.0
	for name, now := range after {
		if now == nil {
			continue
		}
		increase := func(metric string) float64 {
			difference := now[metric] - before[name][metric]
			if difference < 0 {
				return now[metric]
			}
			return difference
		}
		bytes := (increase("acaciaspar_control_sent_bytes") + increase("acaciaspar_control_received_bytes")) / r.Seconds
		messages := increase("acaciaspar_control_messages") / r.Seconds
		r.Retries += increase("acaciaspar_entry_retries")
		r.Requeues += increase("acaciaspar_entry_requeues")
		processes++
		r.Traffic.MeanBytes += bytes
		r.Traffic.MeanMessages += messages
		r.Traffic.LargestMessages = max(r.Traffic.LargestMessages, messages)
		if bytes > r.Traffic.LargestBytes {
			r.Traffic.LargestBytes, r.Traffic.LargestProcess = bytes, name
		}
	}
	r.Traffic.MeanBytes /= max(processes, 1)
	r.Traffic.MeanMessages /= max(processes, 1)
}

// checkExecutions compares the outcomes that callers received with what the
// endpoints executed, and counts the violations in out.
func (d *deployment) checkExecutions(service int, records []*Record, out *ServiceResult) {
	s := &d.workload.Services[service]
	byRequest, byID := d.executions(service)
	for _, r := range records {
		if r.Outcome == string(outcome.NotRun) && slices.Contains(byRequest[r.RequestID], true) {
			out.NotRunExecuted++
		}
		if s.Type == objects.PlainService && r.NonIdempotent && byID[r.ID] > 1 {
			out.Duplicated++
		}
	}
}

// executions returns the executions by request, and the number of executions of
// the non-idempotent operation by identifier.
func (d *deployment) executions(service int) (byRequest map[string][]bool, byID map[string]int) {
	byRequest, byID = map[string][]bool{}, map[string]int{}
	s := &d.workload.Services[service]
	for _, p := range d.endpoints[service] {
		if s.Type == objects.PlainService {
			var x plainservice.Executions
			d.Get(p, "/standin/executions", &x)
			for _, e := range x.List {
				byRequest[e.Request] = append(byRequest[e.Request], true)
			}
			for id, n := range x.Counts[s.NonIdempotentPath[1:]] {
				byID[id] += n
			}
			continue
		}
		var list []engine.Execution
		d.Get(p, "/standin/executions", &list)
		for _, e := range list {
			byRequest[e.Request] = append(byRequest[e.Request], true)
		}
	}
	return byRequest, byID
}
