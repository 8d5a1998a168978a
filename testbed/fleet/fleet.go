// Package fleet starts the built binaries as a fleet on the loopback
// interface, for process tests and experiments. A Fleet owns the processes
// that it starts and ends exactly these; it owns the fault proxies in front of
// them and a reserved port for each of their listeners.
//
// The binaries come from the directory bin at the root of the workspace; "make
// build" makes them.
package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/testbed/faultproxy"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

const (
	// Patience is the longest wait for a condition. It is far above the times
	// that the fleet needs, so that a busy machine fails no test.
	Patience = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// Runner is the part of testing.TB that a Fleet needs; experiments bring their own.
type Runner interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
	Failed() bool
	TempDir() string
}

// Fleet is used by one goroutine, but for Go, Call and the proxies. Its mutex
// guards the list of processes.
type Fleet struct {
	// Name is the name of the fleet.
	Name string
	// Log and Hosts are the stand-ins of the log and the host list.
	Log   *Process
	Hosts *Process

	run     Runner
	bin     string
	control *fleetrpc.Caller
	callers *http.Client
	// tls names the files of all routers and agents; it is empty without TLS.
	tls tlsconf.Files

	mu        sync.Mutex
	processes []*Process
	// leaks names the processes that logged a bearer token.
	leaks []string
}

// New starts the stand-ins of the log and the host list. logArgs are flags of
// the log stand-in. All processes end with the runner's cleanup.
func New(run Runner, name string, logArgs ...string) *Fleet {
	run.Helper()
	identity := fleetrpc.Identity{Fleet: name, Instance: "harness"}
	f := &Fleet{
		Name:    name,
		run:     run,
		bin:     binDir(run),
		control: fleetrpc.NewCaller(identity, configstore.New(), fleethttp.NewClient(nil), "http"),
		// A connection per request, so that the client never sends a request twice.
		callers: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	run.Cleanup(f.end)
	f.Log = f.Standin("log", "log", logArgs...)
	f.Hosts = f.Standin("hosts", "hosts")
	return f
}

// binDir finds the directory of the built binaries.
func binDir(run Runner) string {
	run.Helper()
	dir, err := os.Getwd()
	if err != nil {
		run.Fatalf("working directory: %v", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			break
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			run.Fatalf("no go.work above the working directory")
		}
		dir = parent
	}
	bin := filepath.Join(dir, "bin")
	for _, name := range []string{"acaciaspar", "acaciaspar-agent", "acaciaspar-standin"} {
		if _, err := os.Stat(filepath.Join(bin, name)); err != nil {
			run.Fatalf("%v; run \"make build\" first", err)
		}
	}
	return bin
}

// Standin starts a stand-in: log, hosts, engine or plain.
func (f *Fleet) Standin(name, kind string, args ...string) *Process {
	f.run.Helper()
	return f.start(name, "acaciaspar-standin", append([]string{kind}, args...), nil, "listen")
}

// Member tells how a router or agent is started.
type Member struct {
	Name string
	Zone string
	// Proxy puts a fault proxy in front of the fleet listener.
	Proxy bool
	// Args are further flags.
	Args []string
}

// Router starts a router whose peers are all routers started before.
func (f *Fleet) Router(m Member) *Process {
	f.run.Helper()
	args := []string{
		"router", "-fleet", f.Name, "-zone", m.Zone,
		"-log-url", f.Log.URL("listen"), "-hosts-url", f.Hosts.URL("listen") + "/hosts",
	}
	if peers := f.routers(); len(peers) > 0 {
		args = append(args, "-peers", strings.Join(peers, ","))
	}
	return f.member(m, "acaciaspar", args, "listen", "fleet-listen", "admin-listen")
}

// Agent starts the agent of an endpoint whose service is at endpointURL.
func (f *Fleet) Agent(m Member, endpoint, endpointURL string) *Process {
	f.run.Helper()
	args := []string{
		"-fleet", f.Name, "-zone", m.Zone, "-endpoint", endpoint, "-endpoint-url", endpointURL,
		"-log-url", f.Log.URL("listen"), "-hosts-url", f.Hosts.URL("listen") + "/hosts",
		"-routers", strings.Join(f.routers(), ","),
	}
	return f.member(m, "acaciaspar-agent", args, "listen", "admin-listen")
}

// member starts a router or agent on reserved ports, so that it has the same
// addresses after a restart.
func (f *Fleet) member(m Member, binary string, args []string, listeners ...string) *Process {
	f.run.Helper()
	fleetAddress := ""
	for _, flag := range listeners {
		r, err := reserve()
		if err != nil {
			f.run.Fatalf("reserve a port: %v", err)
		}
		f.run.Cleanup(r.release)
		args = append(args, "-"+flag, r.address)
		if flag == "fleet-listen" || (flag == "listen" && binary == "acaciaspar-agent") {
			fleetAddress = r.address
		}
	}
	var proxy *faultproxy.Proxy
	if m.Proxy {
		var err error
		if proxy, err = faultproxy.New(f.sourceOf); err != nil {
			f.run.Fatalf("start a proxy: %v", err)
		}
		f.run.Cleanup(proxy.Close)
		proxy.SetTarget(fleetAddress)
		args = append(args, "-advertise", proxy.Address())
	}
	args = append(args, f.tlsFlags()...)
	return f.start(m.Name, binary, append(args, m.Args...), proxy, "fleet")
}

// routers returns the fleet addresses of all routers started so far.
func (f *Fleet) routers() []string {
	var addresses []string
	for _, p := range f.Processes() {
		if p.isRouter() {
			addresses = append(addresses, p.FleetAddress())
		}
	}
	return addresses
}

// Processes returns all processes in the order of their first start.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.processes)
}

// Partition silences the traffic between two groups of processes, all of which need proxies.
func (f *Fleet) Partition(a, b []*Process) {
	f.run.Helper()
	hold := func(from, at []*Process) {
		names := map[string]bool{}
		for _, p := range from {
			names[p.Name] = true
		}
		for _, p := range at {
			p.Proxy.Hold(faultproxy.ToTarget, func(source string) bool { return names[source] })
			p.Proxy.Hold(faultproxy.ToClient, func(source string) bool { return names[source] })
		}
	}
	hold(a, b)
	hold(b, a)
}

// Heal ends the rules of all proxies.
func (f *Fleet) Heal() {
	for _, p := range f.Processes() {
		if p.Proxy != nil {
			p.Proxy.Heal()
		}
	}
}

// sourceOf names the process that owns the client's end of an accepted connection.
func (f *Fleet) sourceOf(accepted net.Conn) string {
	inode := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	for _, p := range f.Processes() {
		if inode != "" && p.ownsSocket(inode) {
			return p.Name
		}
	}
	return ""
}

// Eventually waits until condition holds and fails after Patience.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.run.Helper()
	for deadline := time.Now().Add(Patience); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.run.Fatalf("%s: not within %v", what, Patience)
		}
	}
}

// Put sends v as JSON to a control endpoint of a stand-in.
func (f *Fleet) Put(p *Process, path string, v any) {
	f.run.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		f.run.Fatalf("encode: %v", err)
	}
	req, err := http.NewRequest(http.MethodPut, p.URL("listen")+path, strings.NewReader(string(body)))
	if err != nil {
		f.run.Fatalf("build request: %v", err)
	}
	resp, err := f.callers.Do(req)
	if err != nil {
		f.run.Fatalf("put %s: %v", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.run.Fatalf("put %s: status %d", path, resp.StatusCode)
	}
}

// Get reads JSON from a control endpoint of a stand-in or from the admin
// listener of a router or agent.
func (f *Fleet) Get(p *Process, path string, v any) {
	f.run.Helper()
	listener := "listen"
	if p.expect == "fleet" {
		listener = "admin"
	}
	resp, err := f.callers.Get(p.URL(listener) + path)
	if err != nil {
		f.run.Fatalf("get %s: %v", path, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		f.run.Fatalf("get %s: %v", path, err)
	}
}

// noteLeak records that a process logged a bearer token.
func (f *Fleet) noteLeak(process string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.leaks, process) {
		f.leaks = append(f.leaks, process)
	}
}

func (f *Fleet) leaked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.leaks)
}

// end kills what still runs, reports processes that ended by themselves or
// logged a token, and shows the logs of a failed run.
func (f *Fleet) end() {
	for _, p := range f.Processes() {
		p.kill()
		if p.endedByItself() {
			f.run.Errorf("%s ended by itself", p.Name)
		}
	}
	for _, name := range f.leaked() {
		f.run.Errorf("%s logged a bearer token", name)
	}
	if !f.run.Failed() {
		return
	}
	for _, p := range f.Processes() {
		f.run.Logf("end of the log of %s:\n%s", p.Name, strings.Join(p.tail(), "\n"))
	}
}

// Status asks a router for its status; it returns nil if the router can't be reached.
func (f *Fleet) Status(p *Process) *fleetpb.StatusReply {
	return f.status(p.directAddress())
}
