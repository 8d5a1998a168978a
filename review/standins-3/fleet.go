package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	zone       = "zone-a"
	healthPath = "/health"
	host       = "case.example"
	apiKey     = "key-1"
	program    = "target/acaciaspar"
	// restartDelay is the time until the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// readyTimeout bounds the start of a router.
	readyTimeout = 20 * time.Second
)

// fleet holds the routers of a case, the store and the workers.
type fleet struct {
	dir     string
	store   *store
	storeAt string
	slack   int
	record  *record
	routers []*router
	network string
	port    int
}

// started is the fleet of this case.
var started atomic.Pointer[fleet]

// router is one process of the project, with the command of the deploy file.
type router struct {
	fleet        *fleet
	index        int
	ip           string
	front, ready string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	ended   bool
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// summary writes a line into the record and to standard output.
func (r *record) summary(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func newFleet(r *record, routers, slack int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r, slack: slack, store: newStore(r.log), network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))}
	started.Store(f)
	if f.storeAt, err = serve(f.store); err != nil {
		return nil, err
	}
	if f.port, err = f.freePort(routers); err != nil {
		return nil, err
	}
	for i := range routers {
		ip := f.ip(i)
		f.routers = append(f.routers, &router{fleet: f, index: i, ip: ip, front: fmt.Sprintf("%s:%d", ip, f.port+20), ready: fmt.Sprintf("%s:%d", ip, f.port+21)})
	}
	return f, nil
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("%s.%d", f.network, i+1) }

// freePort returns a first port such that all ports of all routers are free.
func (f *fleet) freePort(routers int) (int, error) {
	for range 100 {
		port := 12000 + rand.IntN(16000)
		free := true
		for i := range routers {
			for _, p := range []int{port, port + 1, port + 20, port + 21} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip(i), p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// serve serves a handler at a free loopback port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// add starts a worker and registers it.
func (f *fleet) add(w *worker, slots int) error {
	address, err := serve(w)
	if err != nil {
		return err
	}
	w.address, w.born = address, time.Now().UnixMilli()
	w.enter(f.store, slots, "ready")
	return nil
}

const (
	// enginesPerVersion is the number of workers of each version in the cases with streams.
	enginesPerVersion = 6
	engineSlots       = 64
)

// addEngines starts the workers of a version and registers them.
func (f *fleet) addEngines(version string, events int, delay time.Duration) ([]*worker, error) {
	var list []*worker
	for i := range enginesPerVersion {
		w := &worker{id: fmt.Sprintf("i-%s-%d", version, i), service: "engines", version: version, events: events, eventDelay: delay}
		if err := f.add(w, engineSlots); err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	attempts            int
	resumable           bool
	timeout, target     time.Duration
}

func (f *fleet) publish(engines []string, plain []string, routes ...route) {
	var services, list []any
	for _, s := range engines {
		services = append(services, map[string]any{"name": s, "healthPath": healthPath, "connectionLimit": 370, "protocol": "h1", "transportSecurity": false,
			"engine": map[string]any{"slots": 64, "cacheCapacityTokens": 591875, "stride": 6}})
	}
	for _, s := range plain {
		services = append(services, map[string]any{"name": s, "healthPath": healthPath, "connectionLimit": 110, "protocol": "h1", "transportSecurity": false})
	}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": host, name("path-prefix"): "/" + r.name + "/", "kind": r.kind, "service": r.service, "attempts": r.attempts,
			"timeoutMs": r.timeout.Milliseconds(), name("target"): r.target.Milliseconds(), name("gap-target"): 500, "priority": 1, "public": false,
			"sticky": r.kind == "streaming", "resumable": r.resumable})
	}
	f.store.putJSON(name("operator"), "config", map[string]any{
		"version": 1, "routes": list, "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 230000},
		"tenants": []any{map[string]any{"name": "tenant-1", name("keys"): []string{apiKey}, "priority": 1}},
	})
}

// start starts all routers for the first time and waits until they are ready.
func (f *fleet) start() error {
	for _, r := range f.routers {
		if err := r.start(true); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for _, r := range f.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all routers at the same moment. The platform starts them again after restartDelay.
func (f *fleet) killAll() error {
	f.record.log("all routers are killed")
	var ended []<-chan struct{}
	for _, r := range f.routers {
		ended = append(ended, r.kill())
	}
	for _, done := range ended {
		<-done
	}
	time.Sleep(restartDelay)
	for _, r := range f.routers {
		if err := r.start(false); err != nil {
			return err
		}
	}
	f.record.log("all routers are started again")
	return nil
}

// close ends all routers.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.end()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
}

func (r *router) settings(firstStart bool) ([]byte, error) {
	var seeds []string
	for i := range min(len(r.fleet.routers), 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.fleet.ip(i), r.fleet.port+22))
	}
	return json.Marshal(map[string]any{
		"nodeName": fmt.Sprintf("front-%d", r.index), "role": "router", "machineClass": "front", "serves": []string{"front", "control"},
		"ipAddress": r.ip, "zone": zone, "region": "region-a", "zones": map[string]string{zone: "region-a"},
		"listenAddresses": map[string]string{"front": r.front, "ready": r.ready, "control": fmt.Sprintf("%s:%d", r.ip, r.fleet.port+22)},
		name("ports"):     []int{r.fleet.port, r.fleet.port + 15}, "seeds": seeds, "firstStart": firstStart, "countsAsLoss": false,
		"limits":    map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000, "diskMb": 0},
		"discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configPropagationMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevocation": false, "revocationMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": r.fleet.slack, "recoveryS": 12, "passMs": 120, "retryAfterS": 10, "quotaWindowS": 4},
		"platform": map[string]any{"address": r.fleet.storeAt, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 16, "appendMs": 3, "keep_s": 300},
	})
}

func (r *router) start(firstStart bool) error {
	text, err := r.settings(firstStart)
	if err != nil {
		return err
	}
	// JSON is YAML, too.
	path := filepath.Join(r.fleet.dir, fmt.Sprintf("node-%d.yaml", r.index))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.fleet.dir, fmt.Sprintf("router-%d.log", r.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		_ = log.Close()
		return errors.New("the case has ended")
	}
	command := exec.Command(program, "platform-router")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), name("boot") + "=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	r.command, r.done = command, done
	return nil
}

// end kills the process and prevents that it is started again.
func (r *router) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if r.command != nil {
		_ = r.command.Process.Kill()
		<-r.done
	}
}

// kill kills the process and returns a channel that is closed once it has ended.
func (r *router) kill() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.command.Process.Kill()
	return r.done
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + name("readiness"))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("router %d is not ready", r.index)
}
