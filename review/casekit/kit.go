package main

import (
	"bufio"
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
	"time"
)

// Kit holds one run of a case.
type Kit struct {
	Store *Store
	// Trouble is false if the run leaves out the disruption.
	Trouble bool
	Routers []*Router

	root, dir    string
	storeAddress string
	began        time.Time
	closing      sync.Once

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	failed   string
	arrivals []Arrival
	requests int
}

// Arrival is one request that reached a worker.
type Arrival struct {
	At         time.Time
	Worker, ID string
	What       string
}

// newKit starts the store and opens the record.
func newKit(root, recordPath string, trouble bool) (*Kit, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	k := &Kit{Store: NewStore(), Trouble: trouble, root: root, dir: dir, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: k.Store}).Serve(l) }()
	return k, nil
}

// Log writes a line to the record.
func (k *Kit) Log(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _ = fmt.Fprintf(k.record, "%8.3f s  %s\n", time.Since(k.began).Seconds(), fmt.Sprintf(format, args...))
}

// Fail records that the case can't run.
func (k *Kit) Fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.Log("the case can't run: %s", text)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failed == "" {
		k.failed = text
	}
}

// Arrived records a request that reached a worker.
func (k *Kit) Arrived(w *Worker, id, what string) {
	k.Log("request %s reaches worker %s: %s", id, w.ID, what)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.arrivals = append(k.arrivals, Arrival{time.Now(), w.ID, id, what})
}

// Arrivals returns the requests that reached workers so far.
func (k *Kit) Arrivals() []Arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Arrival(nil), k.arrivals...)
}

// NewID returns the id of a new client attempt.
func (k *Kit) NewID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests++
	return fmt.Sprintf("%08x%08x", k.requests, rand.Uint32())
}

// Worker returns a worker that isn't started yet.
func (k *Kit) Worker(id, service, version string, slots int) *Worker {
	return &Worker{kit: k, ID: id, Service: service, Version: version, Slots: slots, zone: "z1"}
}

// Publish writes a configuration.
func (k *Kit) Publish(version int, routes, services []map[string]any) {
	k.Store.PutJSON(names.ConfigTopic, "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 230000},
	})
	k.Log("the operator sends configuration %d", version)
}

// Router is one process of the deployment.
type Router struct {
	kit         *Kit
	Name, IP    string
	port        int
	Front       string
	ready, boot string
	command     *exec.Cmd
	done        chan struct{}
}

// portsOfRouter are the ports that a router listens on, relative to its first internal port:
// two internal ones, front, ready.
var portsOfRouter = []int{0, 1, 20, 21}

// StartRouters starts n routers and waits until they are ready.
func (k *Kit) StartRouters(n int) error {
	second, port := 10+os.Getpid()%200, 0
	ip := func(i int) string { return fmt.Sprintf("127.%d.9.%d", second, i+1) }
	for range 200 {
		port = 12000 + rand.IntN(16000)
		if free(port, n, ip) {
			break
		}
		port = 0
	}
	if port == 0 {
		return fmt.Errorf("no free ports")
	}
	for i := range n {
		r := &Router{kit: k, Name: fmt.Sprintf("front-%d", i+1), IP: ip(i), port: port}
		r.Front, r.ready = fmt.Sprintf("%s:%d", r.IP, port+20), fmt.Sprintf("%s:%d", r.IP, port+21)
		var seeds strings.Builder
		for j := range min(n, 3) {
			fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", ip(j), port+22)
		}
		r.boot = filepath.Join(k.dir, r.Name+".yaml")
		if err := os.WriteFile(r.boot, []byte(r.settings(seeds.String())), 0o600); err != nil {
			return err
		}
		k.Routers = append(k.Routers, r)
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range k.Routers {
		if !r.AwaitReady(20 * time.Second) {
			return fmt.Errorf("router %s isn't ready after 20 s", r.Name)
		}
	}
	return nil
}

func free(port, n int, ip func(int) string) bool {
	for i := range n {
		for _, offset := range portsOfRouter {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip(i), port+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns a settings file as DEPLOY.md describes it, with the figures of its example.
func (r *Router) settings(seeds string) string {
	return fmt.Sprintf(settingsFormat, r.Name, r.IP, r.IP, r.port+20, r.IP, r.port+21, r.IP, r.port+22, r.port, r.port+15, seeds, r.kit.storeAddress)
}

// Start starts the process with the command of deploy/system.toml.
func (r *Router) Start() error {
	c := exec.Command("target/acaciaspar", "platform-router")
	c.Dir = r.kit.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.kit.dir, names.BootVariable + "=" + r.boot}
	out, err := os.OpenFile(filepath.Join(r.kit.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}()
	r.command, r.done = c, done
	r.kit.Log("router %s starts", r.Name)
	return nil
}

// AwaitReady waits until the readiness check returns 200.
func (r *Router) AwaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := client.Get("http://" + r.ready + names.Readiness); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.kit.Log("router %s gets %s", r.Name, s)
	_ = r.command.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// close ends the routers and completes the record. Only the first call has an effect.
func (k *Kit) close() { k.closing.Do(k.end) }

func (k *Kit) end() {
	for _, r := range k.Routers {
		if r.command != nil {
			_ = r.command.Process.Kill()
			<-r.done
		}
	}
	if keep := os.Getenv("CASE_LOGS"); keep != "" {
		for _, r := range k.Routers {
			if raw, err := os.ReadFile(filepath.Join(k.dir, r.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, r.Name+".log"), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(k.dir)
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.record.Flush()
	_ = k.file.Close()
}
