package soak

import (
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
	routers = 3
	engines = 3
	plains  = 2
	// grace is the time between SIGTERM and SIGKILL, in seconds.
	grace = 8
	// readyWithin bounds the start of a router on a busy machine.
	readyWithin = 30 * time.Second
	binary      = "../../bin/acaciaspar"
)

// fleet is the routers, the stand-ins and the proxies between them.
type fleet struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	proxy   *faultproxy.Proxy
	ledger  *platformtest.ExecutionCounter
	routers []*router
	workers []*worker

	mu      sync.Mutex
	version int
}

type router struct {
	f     *fleet
	index int
	ip    string
	front string
	ready string
	fleet int

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

type worker struct {
	id, service string
	proxy       *faultproxy.Proxy
}

func newFleet(t *testing.T) *fleet {
	if _, err := os.Stat(binary); err != nil {
		t.Skip("the programs are not built; run make build")
	}
	f := &fleet{t: t, dir: t.TempDir(), store: platformtest.NewStore(), ledger: platformtest.NewExecutionCounter()}
	storeAddress := f.serve(f.store)
	f.proxy = f.proxyTo(storeAddress)
	f.publish()
	for i := range engines {
		f.addWorker(fmt.Sprintf("engine-%d", i), "engines")
	}
	for i := range plains {
		f.addWorker(fmt.Sprintf("plain-%d", i), "plain")
	}
	port := freePort(t)
	for i := range routers {
		ip := routerIP(i)
		r := &router{f: f, index: i, ip: ip, fleet: port, front: fmt.Sprintf("%s:%d", ip, port+frontPort), ready: fmt.Sprintf("%s:%d", ip, port+readyPort)}
		f.routers = append(f.routers, r)
		r.writeSettings()
		r.start()
	}
	t.Cleanup(f.close)
	for _, r := range f.routers {
		r.awaitReady()
	}
	return f
}

// routerIP returns the address of a router. Soaks that run at the same time
// have addresses of their own.
func routerIP(index int) string { return fmt.Sprintf("127.%d.7.%d", 10+os.Getpid()%200, index+1) }

// The ports of a router, from its first one.
const (
	frontPort = 20
	readyPort = 21
	// lowestPort and portRange lie below the kernel's range of client ports,
	// so that no outgoing connection takes a port while its router is down.
	lowestPort = 12000
	portRange  = 16000
	portTries  = 100
)

// freePort returns a first port whose ports are free on all routers' addresses.
func freePort(t *testing.T) int {
	for range portTries {
		port := lowestPort + rand.IntN(portRange)
		if portsFree(port) {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portsFree(port int) bool {
	for i := range routers {
		for _, p := range []int{port, port + 1, port + frontPort, port + readyPort} {
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

func (f *fleet) proxyTo(address string) *faultproxy.Proxy {
	p, err := faultproxy.New(nil)
	must.NoError(f.t, err)
	p.SetTarget(address)
	f.t.Cleanup(p.Close)
	return p
}

// addWorker starts a worker behind a proxy of its own and registers it.
func (f *fleet) addWorker(id, service string) {
	w := &worker{id: id, service: service}
	address := f.serve(&platformtest.Worker{ID: id, ExecutionCounter: f.ledger, Events: 10, EventDelay: 20 * time.Millisecond, ResponseDelay: 10 * time.Millisecond})
	w.proxy = f.proxyTo(address)
	f.workers = append(f.workers, w)
	f.register(w, "ready")
}

func (f *fleet) register(w *worker, state string) {
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.proxy.Address(), "zone": "z", "slots": 16, "state": state, "born": time.Now().UnixMilli(),
	})
	must.NoError(f.t, err)
	f.store.Put("keyed.servers", w.id, entry)
}

// publish writes a configuration with the next version.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "attempts": attempts,
			"timeoutMs": 5000, "latencyTargetMs": 1000, "gapTargetMs": 500, "resumable": resumable, "sticky": kind == "streaming",
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": f.version,
		"routes": []any{
			route("order", "unsafe", "plain", 1, false), route("lookup", "safe", "plain", 2, false),
			route("stream/once", "streaming", "engines", 1, false), route("stream/again", "streaming", "engines", 2, true),
		},
		"services": []any{
			map[string]any{"name": "plain", "connectionLimit": 100},
			map[string]any{"name": "engines", "connectionLimit": 100, "engine": map[string]any{"slots": 16, "cacheCapacityTokens": 100000, "stride": 6}},
		},
		"limits":  map[string]any{"bodyBytes": 65536, "tokensPerS": 0},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}}},
	})
	must.NoError(f.t, err)
	f.store.Put("keyed.op", "config", text)
}

func (r *router) path() string { return filepath.Join(r.f.dir, fmt.Sprintf("boot-%d.yaml", r.index)) }

func (r *router) writeSettings() {
	var seeds []string
	for i := range routers {
		seeds = append(seeds, fmt.Sprintf("%q", routerIP(i)+":1"))
	}
	text := fmt.Sprintf(`{"nodeName":"r%d","ipAddress":%q,"zone":"z","listenAddresses":{"front":%q,"ready":%q},"internalPorts":[%d,%d],
"seeds":[%s],"limits":{"memoryMb":256,"fileDescriptors":2048},
"bounds":{"graceS":%d,"drainMs":2000,"configPropagationMs":2000,"retryBudgetRatio":0.2,"retryBudgetSlack":50},"platform":{"address":%q}}`,
		r.index, r.ip, r.front, r.ready, r.fleet, r.fleet+15, strings.Join(seeds, ","), grace, r.f.proxy.Address())
	must.NoError(r.f.t, os.WriteFile(r.path(), []byte(text), 0o600))
}

func (r *router) start() {
	log, err := os.OpenFile(filepath.Join(r.f.dir, fmt.Sprintf("router-%d.log", r.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must.NoError(r.f.t, err)
	command := exec.Command(binary, "platform-router")
	command.Env = append(os.Environ(), "ACACIASPAR_BOOT="+r.path())
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
	// A process that has already ended can't be signalled; the caller restarts it.
	_ = r.command.Process.Signal(s)
}

// restart waits for the process's end, killing it after the grace, and starts
// the next one.
func (r *router) restart() {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	select {
	case <-done:
	case <-time.After(grace * time.Second):
		r.signal(syscall.SIGKILL)
		<-done
	}
	r.start()
}

func (r *router) awaitReady() {
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + r.ready + "/-/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.f.t.Errorf("router %d is not ready after %v", r.index, readyWithin)
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
		kept := os.Getenv("SOAK_LOGS")
		if kept != "" {
			must.NoError(f.t, os.WriteFile(filepath.Join(kept, fmt.Sprintf("%s-router-%d.log", filepath.Base(f.t.Name()), i)), log, 0o600))
		}
	}
}
