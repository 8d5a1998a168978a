package bench

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

const (
	slopeService = "post-desk"
	slopeSlots   = 4
	// convergePollInterval is the interval between reads of a process's version.
	convergePollInterval = 5 * time.Millisecond
	// convergeTimeout bounds the wait for a version.
	convergeTimeout = 30 * time.Second
)

// Point is one fleet size to measure.
type Point struct {
	// Series names the varied quantity: routers, agents, teams or publication.
	Series  string `json:"series"`
	Routers int    `json:"routers"`
	Agents  int    `json:"agents"`
	Teams   int    `json:"teams"`
	// Changes is the number of objects changed by the measured publication.
	Changes int `json:"changes"`
}

// varied returns the value of the quantity that the series varies.
func (p Point) varied() float64 {
	switch p.Series {
	case "routers":
		return float64(p.Routers)
	case "agents":
		return float64(p.Agents)
	case "teams":
		return float64(p.Teams)
	default:
		return float64(p.Changes)
	}
}

// Points returns all fleet sizes to measure.
func Points() []Point {
	var points []Point
	for _, n := range []int{2, 4, 8, 16, 32} {
		points = append(points, Point{"routers", n, 4, 16, 1})
	}
	for _, n := range []int{4, 10, 25, 50, 100} {
		points = append(points, Point{"agents", 2, n, 16, 1})
	}
	for _, n := range []int{16, 1000, 6000, 18000} {
		points = append(points, Point{"teams", 3, 4, n, 1})
	}
	for _, n := range []int{1, 10, 100, 1000} {
		points = append(points, Point{"publication", 3, 4, 1000, n})
	}
	return points
}

// RoleUsage is the resource usage of the processes of one role.
type RoleUsage struct {
	MemoryMiB         MeanMax `json:"memoryMiB"`
	IdleCPU           MeanMax `json:"idleCPUPercent"`
	LoadedCPU         MeanMax `json:"loadedCPUPercent"`
	IdleBytes         MeanMax `json:"idleControlBytesPerSecond"`
	IdleMessages      MeanMax `json:"idleControlMessagesPerSecond"`
	LoadedBytes       MeanMax `json:"loadedControlBytesPerSecond"`
	LoadedMessages    MeanMax `json:"loadedControlMessagesPerSecond"`
	RequestsPerSecond int     `json:"requestsPerSecond"`
}

// MeanMax holds the mean and the largest of a set of values.
type MeanMax struct {
	Mean    float64 `json:"mean"`
	Largest float64 `json:"largest"`
}

// SlopePoint holds the results for one fleet size.
type SlopePoint struct {
	Point
	Router RoleUsage `json:"router"`
	Agent  RoleUsage `json:"agent"`
	// InForce is the time from the start of the operators' tool until all
	// processes have the version in force; PublishEnded is the time at which the
	// tool ended, from the same start.
	InForce      float64 `json:"inForceSeconds"`
	PublishEnded float64 `json:"toldSeconds"`
	Failed       int     `json:"failedRequests"`
	// Error is the reason why the point could not be measured.
	Error string `json:"error,omitempty"`
}

// Line is a linear regression of one metric over one series.
type Line struct {
	Series    string  `json:"series"`
	Metric    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// SlopesOptions are the settings of MeasurePoint.
type SlopesOptions struct {
	// Window is the time over which each rate is measured.
	Window time.Duration
	// Rate is the total number of requests per second in the loaded window.
	Rate int
}

// MeasurePoint starts a fleet of one size and measures it. A failure is returned
// in the Error field.
func MeasurePoint(out io.Writer, p Point, o SlopesOptions) SlopePoint {
	result := SlopePoint{Point: p}
	err := WithRunner(out, func(runner fleet.Runner) {
		s := newSlopeFleet(runner, p)
		s.measure(o, &result)
	})
	if err != nil {
		result.Error = err.Error()
	}
	return result
}

type slopeFleet struct {
	*fleet.Fleet
	runner  fleet.Runner
	point   Point
	set     *fleet.Objects
	routers []*fleet.Process
	agents  []*fleet.Process
}

func newSlopeFleet(runner fleet.Runner, p Point) *slopeFleet {
	s := &slopeFleet{Fleet: fleet.New(runner, "slopes"), runner: runner, point: p, set: slopeObjects(p)}
	for i := range p.Routers {
		s.routers = append(s.routers, s.StartRouter(fleet.ProcessOptions{Name: fmt.Sprintf("router-%d", i+1), Zone: "duluth"}))
	}
	s.Publish(s.set)
	standin := s.StartStandin("endpoint", "plain", "-service-time", "5ms", "-list-executions=false")
	for i := range p.Agents {
		options := fleet.ProcessOptions{Name: fmt.Sprintf("agent-%d", i+1), Zone: "duluth"}
		s.agents = append(s.agents, s.StartAgent(options, slopeEndpoint(i), standin.URL("listen")))
	}
	s.Eventually("the fleet converges", s.hasConverged)
	return s
}

func slopeEndpoint(i int) string { return fmt.Sprintf("%s-%d", slopeService, i+1) }

func slopeObjects(p Point) *fleet.Objects {
	set := &fleet.Objects{Services: []objects.Service{{
		Name: slopeService, Type: objects.PlainService, DefaultCost: 5, MaxCost: 1000,
		Operations: []objects.Operation{{Name: "look-up-stock", Path: "/stock", Idempotent: true}},
	}}}
	for i := range p.Agents {
		set.Endpoints = append(set.Endpoints, objects.Endpoint{
			Name: slopeEndpoint(i), Service: slopeService, Zone: "duluth", Slots: slopeSlots,
			Fencing: objects.FencingIgnored, State: objects.EndpointActive,
		})
	}
	for i := range p.Teams {
		set.AddTeam(fmt.Sprintf("team-%d", i+1), 1, slopeService)
	}
	return set
}

func (s *slopeFleet) hasConverged() bool {
	for _, r := range s.routers {
		if status := s.Status(r); status.GetConfigVersion() < 1 || len(status.GetMembers()) < len(s.routers)-1 {
			return false
		}
	}
	owner := s.Owner(slopeService, s.routers...)
	if owner == nil {
		return false
	}
	free := map[string]uint32{}
	for _, e := range s.Status(owner).GetEndpoints() {
		free[e.GetEndpoint()] = e.GetFree()
	}
	for i := range s.agents {
		if free[slopeEndpoint(i)] != slopeSlots {
			return false
		}
	}
	return true
}

// usage holds the resource counters of a process at one time.
type usage struct {
	at              time.Time
	cpu             time.Duration
	bytes, messages float64
}

func (s *slopeFleet) usage(p *fleet.Process) usage {
	u := usage{at: time.Now()}
	var err error
	if u.cpu, err = cpuTime(p.PID()); err != nil {
		s.runner.Fatalf("%s: %v", p.Name, err)
	}
	m := readMetrics(p.URL("admin"))
	u.bytes = m["acaciaspar_control_sent_bytes"] + m["acaciaspar_control_received_bytes"]
	u.messages = m["acaciaspar_control_messages"]
	return u
}

// rates holds the resource usage of a group of processes over one window.
type rates struct{ cpu, bytes, messages MeanMax }

// measureWindow calls during and returns the resource usage of both roles meanwhile.
func (s *slopeFleet) measureWindow(during func()) (routers, agents rates) {
	processes := slices.Concat(s.routers, s.agents)
	before := map[*fleet.Process]usage{}
	for _, p := range processes {
		before[p] = s.usage(p)
	}
	during()
	group := func(processes []*fleet.Process) rates {
		var cpu, bytes, messages []float64
		for _, p := range processes {
			now, old := s.usage(p), before[p]
			seconds := now.at.Sub(old.at).Seconds()
			cpu = append(cpu, 100*(now.cpu-old.cpu).Seconds()/seconds)
			bytes = append(bytes, (now.bytes-old.bytes)/seconds)
			messages = append(messages, (now.messages-old.messages)/seconds)
		}
		return rates{meanMax(cpu), meanMax(bytes), meanMax(messages)}
	}
	return group(s.routers), group(s.agents)
}

func meanMax(values []float64) MeanMax {
	return MeanMax{Mean: stat.Mean(values, nil), Largest: slices.Max(values)}
}

func (s *slopeFleet) measure(o SlopesOptions, out *SlopePoint) {
	routers, agents := s.measureWindow(func() { time.Sleep(o.Window) })
	out.Router.setIdle(routers)
	out.Agent.setIdle(agents)
	routers, agents = s.measureWindow(func() { out.Failed = s.load(o) })
	out.Router.setLoaded(routers)
	out.Agent.setLoaded(agents)
	out.Router.RequestsPerSecond, out.Agent.RequestsPerSecond = o.Rate, o.Rate
	out.Router.MemoryMiB = s.memory(s.routers)
	out.Agent.MemoryMiB = s.memory(s.agents)
	s.measurePublication(out)
}

func (r *RoleUsage) setIdle(x rates) {
	r.IdleCPU, r.IdleBytes, r.IdleMessages = x.cpu, x.bytes, x.messages
}

func (r *RoleUsage) setLoaded(x rates) {
	r.LoadedCPU, r.LoadedBytes, r.LoadedMessages = x.cpu, x.bytes, x.messages
}

func (s *slopeFleet) memory(processes []*fleet.Process) MeanMax {
	var all []float64
	for _, p := range processes {
		bytes, err := residentMemory(p.PID())
		if err != nil {
			s.runner.Fatalf("%s: %v", p.Name, err)
		}
		all = append(all, bytes/(1<<20))
	}
	return meanMax(all)
}

// load sends lookups at a fixed rate, spread over all routers, and returns how
// many failed.
func (s *slopeFleet) load(o SlopesOptions) (failed int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Rate}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var pending sync.WaitGroup
	var urls []string
	for _, r := range s.routers {
		urls = append(urls, r.URL("callers")+"/"+slopeService+"/stock")
	}
	ticker := time.NewTicker(time.Second / time.Duration(o.Rate))
	defer ticker.Stop()
	for i := range int(o.Window.Seconds() * float64(o.Rate)) {
		<-ticker.C
		pending.Go(func() {
			if !lookUp(client, urls[i%len(urls)], fmt.Sprintf("team-%d", i%s.point.Teams+1)) {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	pending.Wait()
	return failed
}

func lookUp(client *http.Client, url, team string) bool {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"id":"wool"}`))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Token(team))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// measurePublication publishes changed weights and measures the time until the
// version is in force in all processes.
func (s *slopeFleet) measurePublication(out *SlopePoint) {
	for i := range s.point.Changes {
		s.set.Shares[i].Weight = 2
	}
	// The file holds all objects; the tool publishes only the differences.
	file := s.WriteObjects(s.set)
	start := time.Now()
	publishEnded := make(chan float64, 1)
	go func() {
		result := s.RunPublish(file)
		if result.Code != 0 {
			s.runner.Errorf("publish: exit code %d: %s", result.Code, result.Stderr)
		}
		publishEnded <- time.Since(start).Seconds()
	}()
	const version = 2
	var waiting sync.WaitGroup
	for _, p := range slices.Concat(s.routers, s.agents) {
		admin := p.URL("admin")
		router := slices.Contains(s.routers, p)
		waiting.Go(func() { awaitVersion(admin, router, version) })
	}
	waiting.Wait()
	out.InForce = time.Since(start).Seconds()
	out.PublishEnded = <-publishEnded
	if out.InForce > convergeTimeout.Seconds() {
		s.runner.Errorf("version %d not in force in all processes within %v", version, convergeTimeout)
	}
}

// awaitVersion waits until a process has a version in force, at most for
// convergeTimeout.
func awaitVersion(admin string, router bool, version float64) {
	for deadline := time.Now().Add(convergeTimeout); time.Now().Before(deadline); time.Sleep(convergePollInterval) {
		if readVersion(admin, router) >= version {
			return
		}
	}
}

func readVersion(admin string, router bool) float64 {
	if router {
		return readMetrics(admin)["acaciaspar_config_version"]
	}
	var status fleet.AgentStatus
	if !getJSON(admin+"/status", &status) {
		return 0
	}
	return float64(status.ConfigVersion)
}

// fittedMetrics lists the metrics that Fit fits lines to.
var fittedMetrics = []struct {
	name  string
	value func(p *SlopePoint) float64
}{
	{"router memory MiB (largest)", func(p *SlopePoint) float64 { return p.Router.MemoryMiB.Largest }},
	{"router CPU idle % (largest)", func(p *SlopePoint) float64 { return p.Router.IdleCPU.Largest }},
	{"router CPU idle % (mean)", func(p *SlopePoint) float64 { return p.Router.IdleCPU.Mean }},
	{"router CPU loaded % (largest)", func(p *SlopePoint) float64 { return p.Router.LoadedCPU.Largest }},
	{"router control B/s idle (largest)", func(p *SlopePoint) float64 { return p.Router.IdleBytes.Largest }},
	{"router control B/s idle (mean)", func(p *SlopePoint) float64 { return p.Router.IdleBytes.Mean }},
	{"router control msg/s idle (largest)", func(p *SlopePoint) float64 { return p.Router.IdleMessages.Largest }},
	{"router control B/s loaded (largest)", func(p *SlopePoint) float64 { return p.Router.LoadedBytes.Largest }},
	{"agent memory MiB (largest)", func(p *SlopePoint) float64 { return p.Agent.MemoryMiB.Largest }},
	{"agent CPU idle % (mean)", func(p *SlopePoint) float64 { return p.Agent.IdleCPU.Mean }},
	{"agent control B/s idle (mean)", func(p *SlopePoint) float64 { return p.Agent.IdleBytes.Mean }},
	{"publish to in force s", func(p *SlopePoint) float64 { return p.InForce }},
}

// Fit fits a straight line to each metric of each series that has at least two
// points without an error.
func Fit(points []SlopePoint) []Line {
	bySeries := map[string][]SlopePoint{}
	var names []string
	for _, p := range points {
		if p.Error != "" {
			continue
		}
		if bySeries[p.Series] == nil {
			names = append(names, p.Series)
		}
		bySeries[p.Series] = append(bySeries[p.Series], p)
	}
	var lines []Line
	for _, series := range names {
		if len(bySeries[series]) < 2 {
			continue
		}
		for _, f := range fittedMetrics {
			var x, y []float64
			for _, p := range bySeries[series] {
				x, y = append(x, p.varied()), append(y, f.value(&p))
			}
			intercept, slope := stat.LinearRegression(x, y, nil, false)
			r2 := stat.RSquared(x, y, nil, intercept, slope)
			line := Line{Series: series, Metric: f.name, Intercept: intercept, Slope: slope, R2: r2}
			// R2 is undefined for a constant metric, which the line fits exactly.
			if slices.Max(y) == slices.Min(y) {
				line.R2 = 1
			}
			lines = append(lines, line)
		}
	}
	return lines
}

// WriteSlopes prints the points and the fitted lines as Markdown tables.
func WriteSlopes(out io.Writer, points []SlopePoint, lines []Line) {
	fmt.Fprintln(out, "| series | routers | agents | teams | changes | router MiB mean/largest | router CPU % idle | router CPU % loaded | router B/s idle | router msg/s idle | router B/s loaded | agent MiB | agent CPU % idle | agent CPU % loaded | agent B/s idle | agent B/s loaded | in force s | tool s | failed |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range points {
		if p.Error != "" {
			fmt.Fprintf(out, "| %s | %d | %d | %d | %d | no figures: %s |\n", p.Series, p.Routers, p.Agents, p.Teams, p.Changes, p.Error)
			continue
		}
		fmt.Fprintf(out, "| %s | %d | %d | %d | %d | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %.2f | %.2f | %d |\n",
			p.Series, p.Routers, p.Agents, p.Teams, p.Changes,
			p.Router.MemoryMiB, p.Router.IdleCPU, p.Router.LoadedCPU, p.Router.IdleBytes, p.Router.IdleMessages, p.Router.LoadedBytes,
			p.Agent.MemoryMiB, p.Agent.IdleCPU, p.Agent.LoadedCPU, p.Agent.IdleBytes, p.Agent.LoadedBytes, p.InForce, p.PublishEnded, p.Failed)
	}
	fmt.Fprintln(out, "\n| series | figure | at 0 | per unit | R2 |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, l := range lines {
		fmt.Fprintf(out, "| %s | %s | %.4g | %.4g | %.2f |\n", l.Series, l.Metric, l.Intercept, l.Slope, l.R2)
	}
}

// String returns the mean and the largest value, separated by a slash.
func (m MeanMax) String() string { return fmt.Sprintf("%.3g/%.3g", m.Mean, m.Largest) }
