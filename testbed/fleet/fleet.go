// Package fleet runs the built binaries as a fleet on the loopback interface,
// for end-to-end tests and benchmarks. A Fleet owns the processes that it
// starts, the fault proxies in front of them and a reserved port for each of
// their listeners. It terminates only processes that it started.
//
// The binaries are read from the directory bin at the root of the workspace;
// "make build" builds them.
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
	// WaitTimeout is the maximum wait for a condition. It is far above the time
	// that the fleet needs, so that tests don't fail on a loaded machine.
	WaitTimeout = 30 * time.Second
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 20 * time.Millisecond
)

// Runner is the subset of testing.TB that a Fleet uses. Benchmarks provide
// their own implementation.
type Runner interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
	Failed() bool
	TempDir() string
}

// Fleet is a set of running processes. It must be used from one goroutine,
// except for Send, Call and the methods that say otherwise; the proxies may be
// used concurrently.
type Fleet struct {
	Name string
	// Log and Hosts are the stand-ins for the log and the host list.
	Log   *Process
	Hosts *Process

	runner       Runner
	bin          string
	control      *fleetrpc.ClientPool
	callerClient *http.Client
	// tls holds the TLS files of all routers and agents; it is empty without TLS.
	tls tlsconf.Files

	// mu guards the fields below.
	mu        sync.Mutex
	processes []*Process
	// tokenLeaks holds the names of the processes that logged a bearer token.
	tokenLeaks []string
}

// New starts the stand-ins for the log and the host list. logArgs are flags for
// the log stand-in. All processes are terminated in the runner's cleanup.
func New(runner Runner, name string, logArgs ...string) *Fleet {
	runner.Helper()
	identity := fleetrpc.Identity{Fleet: name, Instance: "harness"}
	f := &Fleet{
		Name:    name,
		runner:  runner,
		bin:     binDir(runner),
		control: fleetrpc.NewClientPool(identity, configstore.New(), fleethttp.NewClient(nil), "http"),
		// With one connection per request, the client never resends a request.
		callerClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	runner.Cleanup(f.cleanUp)
	f.Log = f.StartStandin("log", "log", logArgs...)
	f.Hosts = f.StartStandin("hosts", "hosts")
	return f
}

// binDir returns the directory of the built binaries. It fails the run if a
// binary is missing.
func binDir(runner Runner) string {
	runner.Helper()
	dir, err := os.Getwd()
	if err != nil {
		runner.Fatalf("get working directory: %v", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			break
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			runner.Fatalf("no go.work above the working directory")
		}
		dir = parent
	}
	bin := filepath.Join(dir, "bin")
	for _, name := range []string{"acaciaspar", "acaciaspar-agent", "acaciaspar-standin"} {
		if _, err := os.Stat(filepath.Join(bin, name)); err != nil {
			runner.Fatalf("%v; run \"make build\" first", err)
		}
	}
	return bin
}

// StartStandin starts a stand-in of the given kind: log, hosts, engine or plain.
func (f *Fleet) StartStandin(name, kind string, args ...string) *Process {
	f.runner.Helper()
	return f.start(name, "acaciaspar-standin", append([]string{kind}, args...), nil, "listen")
}

// ProcessOptions holds the options for starting a router or agent.
type ProcessOptions struct {
	Name string
	Zone string
	// Proxy enables a fault proxy in front of the fleet listener.
	Proxy bool
	// Args holds additional flags.
	Args []string
}

// StartRouter starts a router. Its peers are all routers started before it.
func (f *Fleet) StartRouter(o ProcessOptions) *Process {
	f.runner.Helper()
	args := []string{
		"router", "-fleet", f.Name, "-zone", o.Zone,
		"-log-url", f.Log.URL("listen"), "-hosts-url", f.Hosts.URL("listen") + "/hosts",
	}
	if peers := f.routerAddresses(); len(peers) > 0 {
		args = append(args, "-peers", strings.Join(peers, ","))
	}
	return f.startOnReservedPorts(o, "acaciaspar", args, "listen", "fleet-listen", "admin-listen")
}

// StartAgent starts the agent of an endpoint. endpointURL is the base URL of the
// endpoint's service.
func (f *Fleet) StartAgent(o ProcessOptions, endpoint, endpointURL string) *Process {
	f.runner.Helper()
	args := []string{
		"-fleet", f.Name, "-zone", o.Zone, "-endpoint", endpoint, "-endpoint-url", endpointURL,
		"-log-url", f.Log.URL("listen"), "-hosts-url", f.Hosts.URL("listen") + "/hosts",
		"-routers", strings.Join(f.routerAddresses(), ","),
	}
	return f.startOnReservedPorts(o, "acaciaspar-agent", args, "listen", "admin-listen")
}

// startOnReservedPorts starts a router or agent on reserved ports, so that it
// keeps its addresses after a restart.
func (f *Fleet) startOnReservedPorts(o ProcessOptions, binary string, args []string, listeners ...string) *Process {
	f.runner.Helper()
	fleetAddress := ""
	for _, flag := range listeners {
		r, err := reservePort()
		if err != nil {
			f.runner.Fatalf("reserve port: %v", err)
		}
		f.runner.Cleanup(r.release)
		args = append(args, "-"+flag, r.address)
		if flag == "fleet-listen" || (flag == "listen" && binary == "acaciaspar-agent") {
			fleetAddress = r.address
		}
	}
	var proxy *faultproxy.Proxy
	if o.Proxy {
		var err error
		if proxy, err = faultproxy.New(f.clientProcess); err != nil {
			f.runner.Fatalf("start proxy: %v", err)
		}
		f.runner.Cleanup(proxy.Close)
		proxy.SetTarget(fleetAddress)
		args = append(args, "-advertise", proxy.Address())
	}
	args = append(args, f.tlsFlags()...)
	return f.start(o.Name, binary, append(args, o.Args...), proxy, "fleet")
}

// routerAddresses returns the fleet addresses of all routers started so far, in
// start order.
func (f *Fleet) routerAddresses() []string {
	var addresses []string
	for _, p := range f.Processes() {
		if p.isRouter() {
			addresses = append(addresses, p.FleetAddress())
		}
	}
	return addresses
}

// Processes returns all processes in the order in which they were first started.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.processes)
}

// Partition stalls the traffic between two groups of processes in both
// directions. All processes must have been started with a proxy.
func (f *Fleet) Partition(a, b []*Process) {
	f.runner.Helper()
	stall := func(sources, targets []*Process) {
		names := map[string]bool{}
		for _, p := range sources {
			names[p.Name] = true
		}
		for _, p := range targets {
			p.Proxy.Stall(faultproxy.ToTarget, func(source string) bool { return names[source] })
			p.Proxy.Stall(faultproxy.ToClient, func(source string) bool { return names[source] })
		}
	}
	stall(a, b)
	stall(b, a)
}

// ClearRules removes all rules from all proxies.
func (f *Fleet) ClearRules() {
	for _, p := range f.Processes() {
		if p.Proxy != nil {
			p.Proxy.ClearRules()
		}
	}
}

// clientProcess returns the name of the process that owns the client end of an
// accepted connection, or "" if it is unknown.
func (f *Fleet) clientProcess(accepted net.Conn) string {
	inode := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	for _, p := range f.Processes() {
		if inode != "" && p.ownsSocket(inode) {
			return p.Name
		}
	}
	return ""
}

// Eventually polls condition until it holds, and fails the run after
// WaitTimeout. The failure message includes description.
func (f *Fleet) Eventually(description string, condition func() bool) {
	f.runner.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.runner.Fatalf("timed out waiting for %q after %v", description, WaitTimeout)
		}
	}
}

// Put sends v as JSON to a control path of a stand-in.
func (f *Fleet) Put(p *Process, path string, v any) {
	f.runner.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		f.runner.Fatalf("encode request body: %v", err)
	}
	req, err := http.NewRequest(http.MethodPut, p.URL("listen")+path, strings.NewReader(string(body)))
	if err != nil {
		f.runner.Fatalf("build request: %v", err)
	}
	resp, err := f.callerClient.Do(req)
	if err != nil {
		f.runner.Fatalf("put %s: %v", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.runner.Fatalf("put %s: status %d", path, resp.StatusCode)
	}
}

// Get decodes JSON into v from a control path of a stand-in or from the admin
// listener of a router or agent.
func (f *Fleet) Get(p *Process, path string, v any) {
	f.runner.Helper()
	listener := "listen"
	if p.readyKey == "fleet" {
		listener = "admin"
	}
	resp, err := f.callerClient.Get(p.URL(listener) + path)
	if err != nil {
		f.runner.Fatalf("get %s: %v", path, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		f.runner.Fatalf("get %s: %v", path, err)
	}
}

// recordTokenLeak records that a process logged a bearer token.
func (f *Fleet) recordTokenLeak(process string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.tokenLeaks, process) {
		f.tokenLeaks = append(f.tokenLeaks, process)
	}
}

func (f *Fleet) leakingProcesses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.tokenLeaks)
}

// cleanUp kills the processes that are still running and reports those that
// exited unexpectedly or logged a token. If the run failed, it also prints the
// last log lines of each process.
func (f *Fleet) cleanUp() {
	for _, p := range f.Processes() {
		p.kill()
		if p.exitedUnexpectedly() {
			f.runner.Errorf("%s exited unexpectedly", p.Name)
		}
	}
	for _, name := range f.leakingProcesses() {
		f.runner.Errorf("%s logged a bearer token", name)
	}
	if !f.runner.Failed() {
		return
	}
	for _, p := range f.Processes() {
		f.runner.Logf("last log lines of %s:\n%s", p.Name, strings.Join(p.lastLogLines(), "\n"))
	}
}

// Status requests the status of a router. It returns nil if the router is
// unreachable.
func (f *Fleet) Status(p *Process) *fleetpb.StatusReply {
	return f.status(p.directAddress())
}
