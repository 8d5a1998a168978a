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
	// leadTime is the time between the start of the samplers and the first arrival.
	leadTime = 200 * time.Millisecond
	// quietTime lets cancelled work end before the executions are read.
	quietTime = 500 * time.Millisecond
)

// Run runs a workload with one variant on a new fleet.
func Run(out io.Writer, w *Workload, v Variant) (*Result, error) {
	var result *Result
	err := Do(out, func(run fleet.Runner) { result = measure(deploy(run, w, v)) })
	return result, err
}

func measure(d *deployment) *Result {
	w := d.workload
	schedule := w.Schedule(!d.variant.NoFlood)
	g := newGenerator(d)
	admins := d.admins()
	g.began = time.Now().Add(leadTime)
	before := counters(admins)
	var samplers []*sampler
	for i, standins := range d.endpoints {
		var urls []string
		for _, p := range standins {
			urls = append(urls, p.URL("listen"))
		}
		samplers = append(samplers, startSampler(urls, int(w.Services[i].Slots), g.began))
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		g.run(schedule)
	}()
	after := make(chan map[string]map[string]float64, 1)
	time.AfterFunc(time.Until(g.began.Add(w.Duration)), func() { after <- counters(admins) })
	d.followTimeline(g, finished)
	<-finished
	result := &Result{Workload: w.Name, Variant: d.variant.Name, Seed: w.Seed, Seconds: w.Duration.Seconds()}
	result.LoadAverage = loadAverage()
	result.addCounters(before, <-after)
	for i, s := range samplers {
		records := recordsOf(g.records, i)
		result.Services = append(result.Services, summarize(w, i, d.variant.prefetch(&w.Services[i]), records, s.end()))
	}
	time.Sleep(quietTime)
	for i := range result.Services {
		d.compare(i, recordsOf(g.records, i), &result.Services[i])
	}
	late := histogram()
	for _, r := range g.records {
		record(late, r.Sent-r.At)
	}
	result.Late = percentiles(late).P99
	return result
}

func recordsOf(all []*Record, service int) []*Record {
	var out []*Record
	for _, r := range all {
		if r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// followTimeline causes the faults of the workload at their times.
func (d *deployment) followTimeline(g *generator, finished <-chan struct{}) {
	if !d.variant.Faults {
		return
	}
	for _, f := range d.workload.Faults {
		select {
		case <-time.After(time.Until(g.began.Add(f.At))):
			d.apply(f, g.up)
		case <-finished:
			return
		}
	}
}

// admins returns the admin addresses of all routers and agents by name.
func (d *deployment) admins() map[string]string {
	all := map[string]string{}
	for _, p := range d.members() {
		all[p.Name] = p.URL("admin")
	}
	return all
}

// counters reads the metrics of processes by name.
func counters(admins map[string]string) map[string]map[string]float64 {
	all := map[string]map[string]float64{}
	for name, url := range admins {
		all[name] = metricsOf(url)
	}
	return all
}

// addCounters takes the growth of the counters. A process that was restarted
// counts from 0; one that doesn't answer at the end is left out.
func (r *Result) addCounters(before, after map[string]map[string]float64) {
	processes := 0.0
	for name, now := range after {
		if now == nil {
			continue
		}
		growth := func(metric string) float64 {
			grown := now[metric] - before[name][metric]
			if grown < 0 {
				return now[metric]
			}
			return grown
		}
		bytes := (growth("acaciaspar_control_sent_bytes") + growth("acaciaspar_control_received_bytes")) / r.Seconds
		messages := growth("acaciaspar_control_messages") / r.Seconds
		r.Retries += growth("acaciaspar_entry_retries")
		r.Requeues += growth("acaciaspar_entry_requeues")
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

// compare checks what callers were told against what the endpoints executed.
func (d *deployment) compare(service int, records []*Record, out *ServiceResult) {
	s := &d.workload.Services[service]
	ran, acts := d.executed(service)
	for _, r := range records {
		if r.Ended == string(outcome.NotRun) && slices.Contains(ran[r.Request], true) {
			out.NotRunRan++
		}
		if s.Type == objects.PlainService && r.Act && acts[r.ID] > 1 {
			out.Doubled++
		}
	}
}

// executed returns the executions by request, and the executions of operations
// that aren't idempotent by identifier.
func (d *deployment) executed(service int) (ran map[string][]bool, acts map[string]int) {
	ran, acts = map[string][]bool{}, map[string]int{}
	s := &d.workload.Services[service]
	for _, p := range d.endpoints[service] {
		if s.Type == objects.PlainService {
			var x plainservice.Executions
			d.Get(p, "/standin/executions", &x)
			for _, e := range x.List {
				ran[e.Request] = append(ran[e.Request], true)
			}
			for id, n := range x.Counts[s.Act[1:]] {
				acts[id] += n
			}
			continue
		}
		var list []engine.Execution
		d.Get(p, "/standin/executions", &list)
		for _, e := range list {
			ran[e.Request] = append(ran[e.Request], true)
		}
	}
	return ran, acts
}
