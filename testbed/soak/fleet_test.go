package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
	"github.com/acaciaspar/acaciaspar/testbed/faultproxy"
)

const (
	numRouters = 3
	numEngines = 3
	numPlain   = 2
	// graceSeconds is the time between SIGTERM and SIGKILL, in seconds.
	graceSeconds = 8
	// readyTimeout bounds the start of a router on a busy host.
	readyTimeout = 30 * time.Second
	binaryPath   = "../../bin/acaciaspar"
)

// fleet holds the routers, the test endpoints, the test store and the proxies
// between them.
type fleet struct {
	t          *testing.T
	dir        string
	store      *platformtest.Store
	storeProxy *faultproxy.Proxy
	executions *platformtest.ExecutionCounter
	routers    []*router
	endpoints  []*endpoint
	// cpuShares are the CPU cores of the routers; 0 means unknown.
	cpuShares [numRouters]float64

	mu            sync.Mutex
	configVersion int
	// configText is the latest configuration.
	configText []byte
	// changes are applied to the configuration.
	changes configChanges
}

// configChanges are differences between a configuration and the usual one.
type configChanges struct {
	// moved sends the route order to the service "other", secondKey adds the API key k2.
	moved, secondKey bool
	// timeoutMS replaces the timeout of all routes, in milliseconds, if it isn't 0.
	timeoutMS int
}

type router struct {
	f              *fleet
	index          int
	ip             string
	trafficAddress string
	readyAddress   string
	fleetPort      int

	// restarting is held while the process is started again; it is taken before mu.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

type endpoint struct {
	id, service, version string
	// zone is the availability zone, routerZone if it is empty.
	zone  string
	proxy *faultproxy.Proxy
}

// routerZone is the availability zone of the routers.
const routerZone = "z"

func newFleet(t *testing.T) *fleet {
	return startFleet(t, func(f *fleet) {
		for i := range numEngines {
			f.addEndpoint(fmt.Sprintf("engine-%d", i), "engines")
		}
		for i := range numPlain {
			f.addEndpoint(fmt.Sprintf("plain-%d", i), "plain")
		}
	})
}

// startFleet starts a fleet with the endpoints that addEndpoints adds.
func startFleet(t *testing.T, addEndpoints func(*fleet)) *fleet {
	if _, err := os.Stat(binaryPath); err != nil {
		t.Skip("binaries are not built; run make build")
	}
	f := &fleet{t: t, dir: t.TempDir(), store: platformtest.NewStore(), executions: platformtest.NewExecutionCounter()}
	storeAddress := f.serve(f.store)
	f.storeProxy = f.newProxy(storeAddress)
	f.publish()
	addEndpoints(f)
	port := findFreePorts(t)
	for i := range numRouters {
		ip := routerIP(i)
		r := &router{f: f, index: i, ip: ip, fleetPort: port, trafficAddress: fmt.Sprintf("%s:%d", ip, port+trafficPortOffset), readyAddress: fmt.Sprintf("%s:%d", ip, port+readyPortOffset)}
		f.routers = append(f.routers, r)
		r.writeSettings(true)
		r.start()
	}
	t.Cleanup(f.close)
	for _, r := range f.routers {
		r.waitUntilReady()
	}
	return f
}

// routerIP returns the loopback address of a router. It depends on the process ID,
// so that soak tests which run at the same time use different addresses.
func routerIP(index int) string { return fmt.Sprintf("127.%d.7.%d", 10+os.Getpid()%200, index+1) }

// Ports of a router. The offsets are relative to its first port.
const (
	trafficPortOffset = 20
	readyPortOffset   = 21
	// minPort and portRange lie below the kernel's range of client ports,
	// so that no outgoing connection takes a port while its router is down.
	minPort         = 12000
	portRange       = 16000
	maxPortAttempts = 100
)

// findFreePorts returns a first port such that it and the other ports of a router
// are free on the addresses of all routers.
func findFreePorts(t *testing.T) int {
	for range maxPortAttempts {
		port := minPort + rand.IntN(portRange)
		if portsFree(port) {
			return port
		}
	}
	t.Fatal("no free ports found")
	return 0
}

func portsFree(port int) bool {
	for i := range numRouters {
		for _, p := range []int{port, port + 1, port + trafficPortOffset, port + readyPortOffset} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", routerIP(i), p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(f.t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (f *fleet) newProxy(address string) *faultproxy.Proxy {
	p, err := faultproxy.New(nil)
	must.NoError(f.t, err)
	p.SetTarget(address)
	f.t.Cleanup(p.Close)
	return p
}

// addEndpoint starts an endpoint behind its own proxy and registers it.
func (f *fleet) addEndpoint(id, service string) {
	f.addWorker(service, defaultVersion, &platformtest.Worker{ID: id, ExecutionCounter: f.executions, Events: 10, EventDelay: 20 * time.Millisecond, ResponseDelay: 10 * time.Millisecond})
}

// defaultVersion is the software version of endpoints in tests where it doesn't matter.
const defaultVersion = "v1"

func (f *fleet) addWorker(service, version string, w *platformtest.Worker) {
	f.addWorkerInZone(service, version, "", w)
}

func (f *fleet) addWorkerInZone(service, version, zone string, w *platformtest.Worker) {
	e := &endpoint{id: w.ID, service: service, version: version, zone: zone}
	e.proxy = f.newProxy(f.serve(w))
	f.endpoints = append(f.endpoints, e)
	f.register(e, "ready")
}

func (f *fleet) register(e *endpoint, state string) {
	entry, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.proxy.Address(), "zone": cmp.Or(e.zone, routerZone), "version": e.version, "slots": 16, "state": state, "born": time.Now().UnixMilli(),
		"coldRemainingMs": 0, "sequence": 1,
	})
	must.NoError(f.t, err)
	f.store.Put("keyed.servers", e.id, entry)
}

// publish writes the configuration to the store with the next version number.
func (f *fleet) publish() { f.publishWith() }

// publishWith also adds routes with these names for idempotent requests to the plain service.
func (f *fleet) publishWith(added ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	orderService, timeoutMS, keys := "plain", 5000, []string{"k1"}
	services := []any{
		map[string]any{"name": "plain", "connectionLimit": 100},
		map[string]any{"name": "engines", "connectionLimit": 100, "engine": map[string]any{"slots": 16, "cacheCapacityTokens": 100000, "stride": 6}},
	}
	if f.changes.moved {
		orderService = "other"
		services = append(services, map[string]any{"name": "other", "connectionLimit": 100})
	}
	if f.changes.timeoutMS != 0 {
		timeoutMS = f.changes.timeoutMS
	}
	if f.changes.secondKey {
		keys = append(keys, "k2")
	}
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "attempts": attempts,
			"timeoutMs": timeoutMS, "latencyTargetMs": 1000, "gapTargetMs": 500, "resumable": resumable, "sticky": kind == "streaming",
		}
	}
	routes := []any{
		route("order", "unsafe", orderService, 1, false), route("lookup", "safe", "plain", 2, false),
		route("stream/once", "streaming", "engines", 1, false), route("stream/again", "streaming", "engines", 2, true),
	}
	for _, name := range added {
		routes = append(routes, route(name, "safe", "plain", 2, false))
	}
	text, err := json.Marshal(map[string]any{
		"version":  f.configVersion,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"bodyBytes": 65536, "tokensPerS": 0},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": keys}},
	})
	must.NoError(f.t, err)
	f.configText = text
	f.store.Put("keyed.op", "config", text)
}

// change changes the configuration and publishes it.
func (f *fleet) change(apply func(c *configChanges)) {
	f.mu.Lock()
	apply(&f.changes)
	f.mu.Unlock()
	f.publish()
}

// restoreStore makes the store unavailable for a time and restores a copy. The operator and
// the endpoints then write again what they wrote last.
func (f *fleet) restoreStore(c platformtest.Copy, unavailable time.Duration) {
	f.store.SetFault(platformtest.Unavailable)
	time.Sleep(unavailable)
	f.store.Restore(c)
	f.store.SetFault(platformtest.Healthy)
	f.mu.Lock()
	f.store.Put("keyed.op", "config", f.configText)
	f.mu.Unlock()
	for _, e := range f.endpoints {
		f.register(e, "ready")
	}
}

func (r *router) settingsPath() string {
	return filepath.Join(r.f.dir, fmt.Sprintf("boot-%d.yaml", r.index))
}

// writeSettings writes the settings of a router. As on the platform, only those of the first start
// of the whole fleet say so.
func (r *router) writeSettings(firstStart bool) {
	var seeds []string
	for i := range numRouters {
		seeds = append(seeds, fmt.Sprintf("%q", routerIP(i)+":1"))
	}
	text := fmt.Sprintf(`{"nodeName":"r%d","ipAddress":%q,"zone":"z","listenAddresses":{"front":%q,"ready":%q},"internalPorts":[%d,%d],
"firstStart":%t,"seeds":[%s],"limits":{"cpuShare":%g,"memoryMb":256,"fileDescriptors":2048},
"bounds":{"graceS":%d,"drainMs":2000,"configPropagationMs":2000,"retryBudgetRatio":0.2,"retryBudgetSlack":50},"platform":{"address":%q}}`,
		r.index, r.ip, r.trafficAddress, r.readyAddress, r.fleetPort, r.fleetPort+15, firstStart, strings.Join(seeds, ","), r.f.cpuShares[r.index], graceSeconds, r.f.storeProxy.Address())
	must.NoError(r.f.t, os.WriteFile(r.settingsPath(), []byte(text), 0o600))
}

func (r *router) start() {
	log, err := os.OpenFile(filepath.Join(r.f.dir, fmt.Sprintf("router-%d.log", r.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must.NoError(r.f.t, err)
	command := exec.Command(binaryPath, "platform-router")
	command.Env = append(os.Environ(), "ACACIASPAR_BOOT="+r.settingsPath())
	command.Stdout, command.Stderr = log, log
	must.NoError(r.f.t, command.Start())
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	r.mu.Lock()
	r.command, r.done = command, done
	r.mu.Unlock()
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Signal fails only if the process has already exited; restart then starts a
	// new one.
	_ = r.command.Process.Signal(s)
}

// restart waits until the process has exited, kills it after graceSeconds, and
// starts a new one. Of overlapping calls, only one starts it.
func (r *router) restart() {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceSeconds * time.Second):
		r.signal(syscall.SIGKILL)
		<-done
	}
	r.restarting.Lock()
	defer r.restarting.Unlock()
	r.mu.Lock()
	restarted := r.done != done
	r.mu.Unlock()
	if !restarted {
		r.writeSettings(false)
		r.start()
	}
}

func (r *router) waitUntilReady() {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + r.readyAddress + "/-/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.f.t.Errorf("router %d is not ready after %v", r.index, readyTimeout)
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.done
	}
	if !f.t.Failed() {
		return
	}
	for i := range f.routers {
		log, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("router-%d.log", i)))
		must.NoError(f.t, err)
		logDir := os.Getenv("SOAK_LOGS")
		if logDir != "" {
			must.NoError(f.t, os.WriteFile(filepath.Join(logDir, fmt.Sprintf("%s-router-%d.log", filepath.Base(f.t.Name()), i)), log, 0o600))
		}
	}
}
