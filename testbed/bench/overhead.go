package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

const (
	overheadService = "post-desk"
	overheadTeam    = "team-1"
	// overheadSlots is above the default number of callers, so that no request waits.
	overheadSlots = 64
	// warmUpCalls is the number of calls that are not counted.
	warmUpCalls = 100
	// directThroughputDuration keeps the direct calls of all rounds below the
	// number of executions after which the plain stand-in rejects requests.
	directThroughputDuration = time.Second
	// profileLines is the number of functions listed per profile.
	profileLines = 40
)

// OverheadOptions are the settings of Overhead.
type OverheadOptions struct {
	// Calls is the number of direct and of routed calls in the latency measurement.
	Calls int
	// Rounds is the number of repetitions.
	Rounds int
	// Callers is the number of concurrent callers in the throughput measurement.
	Callers int
	// Duration is the length of a throughput measurement.
	Duration time.Duration
	// Profiles is the directory for CPU profiles. No profiles are taken if it is empty.
	Profiles string
}

// OverheadRound holds the results of one round. Times are in milliseconds.
type OverheadRound struct {
	Direct Percentiles `json:"directMs"`
	Routed Percentiles `json:"routedMs"`
	// AddedP50 and AddedP99 are the differences between the routed and the direct
	// percentiles.
	AddedP50 float64 `json:"addedP50Ms"`
	AddedP99 float64 `json:"addedP99Ms"`
	// PerSecond is the throughput of concurrent routed calls.
	PerSecond       float64 `json:"requestsPerSecond"`
	PerSecondDirect float64 `json:"directRequestsPerSecond"`
	// RouterPerCore and AgentPerCore are requests per second of CPU time.
	RouterPerCore float64 `json:"routerRequestsPerCore"`
	AgentPerCore  float64 `json:"agentRequestsPerCore"`
	Failed        int     `json:"failed"`
	// LastFailure is the response or the error of the last failed call.
	LastFailure string `json:"failure,omitempty"`
}

// OverheadResult holds all rounds and the output of "go tool pprof -top" by
// process name.
type OverheadResult struct {
	Rounds        []OverheadRound   `json:"rounds"`
	ProfileTables map[string]string `json:"profiles,omitempty"`
}

// Overhead measures direct calls of a plain service and calls through one router
// and one agent, in alternation.
func Overhead(out io.Writer, o OverheadOptions) (*OverheadResult, error) {
	result := &OverheadResult{ProfileTables: map[string]string{}}
	err := WithRunner(out, func(runner fleet.Runner) {
		m := newOverhead(runner, o)
		for range o.Rounds {
			result.Rounds = append(result.Rounds, m.round())
		}
		if o.Profiles != "" {
			m.profile(result.ProfileTables)
		}
	})
	return result, err
}

type overhead struct {
	options              OverheadOptions
	runner               fleet.Runner
	client               *http.Client
	directURL, routedURL string
	router, agent        *fleet.Process

	mu sync.Mutex
	// lastFailure is the response or the error of the last failed call.
	lastFailure string
}

func newOverhead(runner fleet.Runner, o OverheadOptions) *overhead {
	f := fleet.New(runner, "overhead")
	m := &overhead{options: o, runner: runner}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Callers}}
	m.router = f.StartRouter(fleet.ProcessOptions{Name: "router-1", Zone: "duluth", Args: []string{"-pprof"}})
	set := &fleet.Objects{
		Services: []objects.Service{{
			Name: overheadService, Type: objects.PlainService, DefaultCost: 1, MaxCost: 1000,
			Operations: []objects.Operation{{Name: "look-up-stock", Path: "/stock", Idempotent: true}},
		}},
		Endpoints: []objects.Endpoint{{
			Name: "post-desk-1", Service: overheadService, Zone: "duluth", Slots: overheadSlots,
			Fencing: objects.FencingIgnored, State: objects.EndpointActive,
		}},
	}
	set.AddTeam(overheadTeam, 1, overheadService)
	f.Publish(set)
	standin := f.StartStandin("endpoint", "plain", "-service-time", "0s", "-list-executions=false")
	m.agent = f.StartAgent(fleet.ProcessOptions{Name: "agent-1", Zone: "duluth", Args: []string{"-pprof"}}, "post-desk-1", standin.URL("listen"))
	f.Eventually("all slots are free", func() bool {
		free, _, ok := f.FreeSlots("post-desk-1", m.router)
		return ok && free == overheadSlots
	})
	m.directURL = standin.URL("listen") + "/stock"
	m.routedURL = m.router.URL("callers") + "/" + overheadService + "/stock"
	for range warmUpCalls {
		m.call(m.directURL)
		m.call(m.routedURL)
	}
	return m
}

// call sends one request and reports whether the response had status 200.
func (m *overhead) call(url string) bool {
	err := m.send(url)
	if err == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFailure = err.Error()
	return false
}

func (m *overhead) send(url string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"id":"wool"}`))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Token(overheadTeam))
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// round alternates direct and routed calls from one caller, so that both are
// measured under the same machine load, and then measures the throughput.
func (m *overhead) round() OverheadRound {
	var r OverheadRound
	direct, routed := newHistogram(), newHistogram()
	for range m.options.Calls {
		r.Failed += m.measureCall(direct, m.directURL) + m.measureCall(routed, m.routedURL)
	}
	r.Direct, r.Routed = percentiles(direct), percentiles(routed)
	r.AddedP50, r.AddedP99 = r.Routed.P50-r.Direct.P50, r.Routed.P99-r.Direct.P99
	r.PerSecondDirect, _ = m.measureThroughput(m.directURL, directThroughputDuration)
	routerBefore, agentBefore := m.cpu(m.router), m.cpu(m.agent)
	perSecond, failed := m.measureThroughput(m.routedURL, m.options.Duration)
	total := perSecond * m.options.Duration.Seconds()
	r.PerSecond = perSecond
	r.RouterPerCore = total / (m.cpu(m.router) - routerBefore).Seconds()
	r.AgentPerCore = total / (m.cpu(m.agent) - agentBefore).Seconds()
	r.Failed += failed
	m.mu.Lock()
	defer m.mu.Unlock()
	r.LastFailure = m.lastFailure
	return r
}

func (m *overhead) measureCall(h *hdrhistogram.Histogram, url string) (failed int) {
	start := time.Now()
	if !m.call(url) {
		return 1
	}
	recordDuration(h, time.Since(start))
	return 0
}

func (m *overhead) cpu(p *fleet.Process) time.Duration {
	t, err := cpuTime(p.PID())
	if err != nil {
		m.runner.Fatalf("%s: %v", p.Name, err)
	}
	return t
}

// measureThroughput sends calls from all callers in a closed loop for the given
// duration. It returns the successful calls per second and the number of failed
// calls.
func (m *overhead) measureThroughput(url string, duration time.Duration) (perSecond float64, failed int) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	successes := make([]int, m.options.Callers)
	failures := make([]int, m.options.Callers)
	var callers sync.WaitGroup
	for i := range m.options.Callers {
		callers.Go(func() {
			for ctx.Err() == nil {
				if m.call(url) {
					successes[i]++
				} else {
					failures[i]++
				}
			}
		})
	}
	callers.Wait()
	total := 0
	for i := range successes {
		total += successes[i]
		failed += failures[i]
	}
	return float64(total) / duration.Seconds(), failed
}

// profile takes CPU profiles of the router and the agent under load.
func (m *overhead) profile(tables map[string]string) {
	var profiling sync.WaitGroup
	paths := map[string]string{}
	errs := make(chan error, 2)
	for _, p := range []*fleet.Process{m.router, m.agent} {
		path := filepath.Join(m.options.Profiles, p.Name+".pprof")
		paths[p.Name] = path
		url := fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", p.URL("admin"), max(1, int(m.options.Duration.Seconds())-1))
		profiling.Go(func() { errs <- download(url, path) })
	}
	m.measureThroughput(m.routedURL, m.options.Duration)
	profiling.Wait()
	for range paths {
		if err := <-errs; err != nil {
			m.runner.Fatalf("profile: %v", err)
		}
	}
	for name, path := range paths {
		top, err := exec.Command("go", "tool", "pprof", "-top", "-cum", fmt.Sprintf("-nodecount=%d", profileLines), path).Output()
		if err != nil {
			m.runner.Logf("print profile of %s: %v", name, err)
			continue
		}
		tables[name] = string(top)
	}
}

func download(url, path string) error {
	resp, err := http.Get(url)
	if err != nil {
		return eris.Wrap(err, "get profile")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read profile")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get profile: status %d", resp.StatusCode)
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "write profile")
}

// WriteOverhead prints one table row per round and the profile tables.
func WriteOverhead(out io.Writer, r *OverheadResult) {
	fmt.Fprintln(out, "| direct ms 50/95/99 | routed ms 50/95/99 | added ms 50 | added ms 99 | direct requests/s | routed requests/s | per router core | per agent core | failed |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, x := range r.Rounds {
		fmt.Fprintf(out, "| %s | %s | %.2f | %.2f | %.0f | %.0f | %.0f | %.0f | %d |\n", x.Direct, x.Routed,
			x.AddedP50, x.AddedP99, x.PerSecondDirect, x.PerSecond, x.RouterPerCore, x.AgentPerCore, x.Failed)
	}
	for _, name := range []string{"router-1", "agent-1"} {
		if top := r.ProfileTables[name]; top != "" {
			fmt.Fprintf(out, "\n%s:\n%s", name, top)
		}
	}
}
