package bench

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/faultproxy"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// deployment is the fleet of one benchmark run.
type deployment struct {
	*fleet.Fleet
	runner   fleet.Runner
	workload *Workload
	variant  Variant
	routers  []*fleet.Process
	agents   map[string]*fleet.Process
	// endpoints holds the stand-ins of each service.
	endpoints [][]*fleet.Process
}

func deploy(runner fleet.Runner, w *Workload, v Variant) *deployment {
	d := &deployment{
		Fleet: fleet.New(runner, "bench"), runner: runner, workload: w, variant: v,
		agents: map[string]*fleet.Process{},
	}
	for i := range w.Routers {
		d.routers = append(d.routers, d.StartRouter(d.processOptions(fmt.Sprintf("router-%d", i+1), i, v.RouterArgs)))
	}
	for _, r := range d.routers {
		d.delayTraffic(r)
	}
	d.Publish(w.objects(v))
	for i := range w.Services {
		d.endpoints = append(d.endpoints, d.startEndpoints(&w.Services[i]))
	}
	d.awaitConverged()
	return d
}

func (d *deployment) processOptions(name string, index int, args []string) fleet.ProcessOptions {
	w := d.workload
	return fleet.ProcessOptions{Name: name, Zone: w.Zones[index%len(w.Zones)], Proxy: d.delay() > 0, Args: args}
}

// delay returns the one-way network delay between processes.
func (d *deployment) delay() time.Duration {
	if d.variant.NoDelay {
		return 0
	}
	return d.workload.Delay
}

func (d *deployment) delayTraffic(p *fleet.Process) {
	if p.Proxy != nil {
		p.Proxy.SetDelay(faultproxy.ToTarget, d.delay())
		p.Proxy.SetDelay(faultproxy.ToClient, d.delay())
	}
}

func (d *deployment) startEndpoints(s *Service) []*fleet.Process {
	var standins []*fleet.Process
	for i := range s.Endpoints {
		name := endpointName(s, i)
		standin := s.start(d.Fleet, "endpoint-"+name)
		agent := d.StartAgent(d.processOptions(name, i, nil), name, standin.URL("listen"))
		d.delayTraffic(agent)
		d.agents[name] = agent
		standins = append(standins, standin)
	}
	return standins
}

// start starts the stand-in of an endpoint of the service.
func (s *Service) start(f *fleet.Fleet, name string) *fleet.Process {
	if s.Type == objects.PlainService {
		return f.StartStandin(name, "plain", "-service-time", s.ServiceTime.String())
	}
	return f.StartStandin(name, "engine",
		"-max-batch", fmt.Sprint(s.Slots),
		"-step-base", s.StepBase.String(),
		"-step-per-sequence", s.StepPerSequence.String())
}

func endpointName(s *Service, i int) string { return fmt.Sprintf("%s-%d", s.Name, i+1) }

func (w *Workload) objects(v Variant) *fleet.Objects {
	o := &fleet.Objects{}
	var names []string
	for i := range w.Services {
		s := &w.Services[i]
		names = append(names, s.Name)
		o.Services = append(o.Services, s.object())
		for i := range s.Endpoints {
			o.Endpoints = append(o.Endpoints, objects.Endpoint{
				Name: endpointName(s, i), Service: s.Name, Zone: w.Zones[i%len(w.Zones)],
				Slots: s.Slots, Prefetch: v.prefetch(s),
				Fencing: objects.FencingIgnored, State: objects.EndpointActive,
			})
		}
	}
	for _, t := range w.Teams {
		o.AddTeam(t.Name, t.Weight, names...)
	}
	return o
}

func (s *Service) object() objects.Service {
	o := objects.Service{Name: s.Name, Type: s.Type, DefaultCost: s.DefaultCost, MaxCost: s.MaxCost}
	if s.Type == objects.PlainService {
		o.Operations = []objects.Operation{
			{Name: "look-up-stock", Path: "/stock", Idempotent: true},
			{Name: "act", Path: s.NonIdempotentPath},
		}
		return o
	}
	o.Operations = []objects.Operation{{Name: "complete", Path: "/v1/completions", Idempotent: true}}
	return o
}

// awaitConverged waits until each service has one queue owner that knows of all
// free slots.
func (d *deployment) awaitConverged() {
	d.Eventually("the fleet converges", func() bool {
		for _, r := range d.routers {
			if status := d.Status(r); status.GetConfigVersion() < 1 || len(status.GetMembers()) < len(d.routers)-1 {
				return false
			}
		}
		for i := range d.workload.Services {
			s := &d.workload.Services[i]
			owner := d.Owner(s.Name, d.routers...)
			if owner == nil {
				return false
			}
			for i := range s.Endpoints {
				free, _, ok := d.FreeSlots(endpointName(s, i), owner)
				if !ok || free != s.Slots+d.variant.prefetch(s) {
					return false
				}
			}
		}
		return true
	})
}

// ownerPrefix is the prefix of Fault.Process that selects the current queue owner
// of a service.
const ownerPrefix = "owner of "

// injectFault injects one fault and updates the state of the routers.
func (d *deployment) injectFault(f Fault, routers *routerSet) {
	p := d.agents[f.Process]
	if service, ok := strings.CutPrefix(f.Process, ownerPrefix); ok {
		p = d.Owner(service, d.routers...)
	}
	for i, r := range d.routers {
		if r.Name == f.Process || r == p {
			p = r
			routers.setState(i, f.Action == "start", f.Action == "kill")
		}
	}
	if p == nil && f.Process != "" {
		d.runner.Fatalf("fault at %v: no process %q", f.At, f.Process)
	}
	switch f.Action {
	case "kill":
		p.Kill()
	case "stop":
		// The drain may take longer than the workload, so its end isn't awaited.
		p.Signal(syscall.SIGTERM)
	case "start":
		p.Start()
	case "log-down":
		d.Put(d.Log, "/standin/faults", logservice.Faults{Outage: true})
	case "log-up":
		d.Put(d.Log, "/standin/faults", logservice.Faults{})
	}
}

func (d *deployment) routersAndAgents() []*fleet.Process {
	all := append([]*fleet.Process(nil), d.routers...)
	for _, a := range d.agents {
		all = append(all, a)
	}
	return all
}

// statusClient reads metrics and status pages. The requests that are measured use
// other clients.
var statusClient = &http.Client{Timeout: 2 * time.Second}

// readMetrics reads the counters and gauges of a process. It returns nil if the
// process can't be reached.
func readMetrics(adminURL string) map[string]float64 {
	resp, err := statusClient.Get(adminURL + "/metrics")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

// parseMetrics parses the Prometheus text format and returns the samples that
// have no labels. It returns nil if r can't be read.
func parseMetrics(r io.Reader) map[string]float64 {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil
	}
	out := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || strings.HasPrefix(name, "#") || strings.Contains(name, "{") {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = number
		}
	}
	return out
}
