package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: routers as processes, and stand-ins of the store, the operator and the
// balancer.
type fleet struct {
	log     *recorder
	store   *store
	root    string
	dir     string
	routers []*router
	config  []byte
}

type router struct {
	f                *fleet
	name, zone, ip   string
	front, ready     string
	firstStart       bool
	mu               sync.Mutex
	command          *exec.Cmd
	done             chan struct{}
	startedAt        time.Time
	stoppedAt        time.Time
	inRotation       bool
	misses, restarts int
}

const (
	frontPort, readyPort, controlPort = 8783, 8780, 8785
	firstInternal, lastInternal       = 7400, 7415
	// grace is graceS, restartDelay the time from the end of a process to its next start.
	grace, restartDelay = 8 * time.Second, 300 * time.Millisecond
	// stabilityWindow is stabilityWindowMs.
	stabilityWindow = 3 * time.Second
)

func newFleet(log *recorder, root string, zones []string) *fleet {
	dir, err := os.MkdirTemp("", "review-kit-2-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	f := &fleet{log: log, store: newStore(), root: root, dir: dir}
	net3 := freeNetwork(len(zones))
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", net3, i+1)
		f.routers = append(f.routers, &router{f: f, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, firstStart: true,
			front: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("%s:%d", ip, readyPort)})
	}
	onExit(f.close)
	return f
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports are free.
func freeNetwork(n int) string {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i%250)
		free := true
		for k := 1; k <= n && free; k++ {
			for _, port := range []int{frontPort, readyPort, controlPort, firstInternal, firstInternal + 1} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, k, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix
		}
	}
	fail("no free loopback addresses")
	return ""
}

// publish writes a configuration to the store.
func (f *fleet) publish(config any) {
	f.config, _ = json.Marshal(config)
	f.store.put(names.ConfigTopic, "config", f.config)
	f.log.printf("the operator writes a configuration: %s", f.config)
}

func (f *fleet) start() {
	for _, r := range f.routers {
		r.start()
	}
	go f.balance()
	f.waitReady()
}

func (f *fleet) waitReady() {
	for range 400 {
		all := true
		for _, r := range f.routers {
			r.mu.Lock()
			all = all && r.inRotation
			r.mu.Unlock()
		}
		if all {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("the routers don't become ready")
}

// balance asks the routers once a second whether they are ready, as the platform does.
func (f *fleet) balance() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, r := range f.routers {
			go func() {
				response, err := client.Get("http://" + r.ready + names.Readiness)
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					r.misses, r.inRotation = 0, true
				} else if r.misses++; r.misses >= 2 {
					r.inRotation = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// choose returns the router to which the platform forwards a caller's attempt. Retries reach other routers.
func (f *fleet) choose(zone string, hash, attempt int) *router {
	candidates := func(only func(*router) bool) []*router {
		var list []*router
		for _, r := range f.routers {
			if only(r) {
				list = append(list, r)
			}
		}
		return list
	}
	inZone := candidates(func(r *router) bool { return zone == "" || r.zone == zone })
	in := candidates(func(r *router) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.inRotation && (zone == "" || r.zone == zone)
	})
	if 2*len(in) < len(inZone) {
		in = inZone
	}
	return in[(hash+attempt)%len(in)]
}

func (r *router) settings() string {
	seeds := ""
	for _, o := range r.f.routers {
		seeds += fmt.Sprintf("  - \"%s:%d\"\n", o.ip, controlPort)
	}
	return fmt.Sprintf(settingsFormat, r.name, r.ip, r.zone, r.front, r.ready, r.ip, controlPort, firstInternal, lastInternal, seeds, r.firstStart, r.f.store.address)
}

// start starts the router's process with the command of the deploy file.
func (r *router) start() {
	path := filepath.Join(r.f.dir, r.name+".yaml")
	if err := os.WriteFile(path, []byte(r.settings()), 0o600); err != nil {
		fail("write settings: %v", err)
	}
	out, err := os.OpenFile(filepath.Join(r.f.dir, r.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open a log: %v", err)
	}
	command := exec.Command(filepath.Join(r.f.root, "target", "acaciaspar"), "platform-router")
	command.Dir = r.f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.f.dir, names.BootVariable + "=" + path}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		fail("start a router: %v", err)
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(done)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.command, r.done, r.startedAt = command, done, time.Now()
	r.firstStart = false
	r.f.log.printf("router %s starts", r.name)
}

// kill ends the router's process with SIGKILL.
func (r *router) kill() {
	r.mu.Lock()
	command, done := r.command, r.done
	r.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-done
	r.f.log.printf("router %s is killed", r.name)
}

// calmSince returns since when the router's process has run without a start or signal by the platform.
func (r *router) calmSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stoppedAt.After(r.startedAt) {
		return time.Now()
	}
	return r.startedAt
}

// restart stops the router with SIGTERM, as in planned work, starts it again after its end and waits until
// it is ready.
func (r *router) restart() {
	r.mu.Lock()
	command, done := r.command, r.done
	r.stoppedAt = time.Now()
	r.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	r.f.log.printf("router %s gets SIGTERM", r.name)
	select {
	case <-done:
	case <-time.After(grace):
		_ = command.Process.Signal(syscall.SIGKILL)
		<-done
	}
	r.f.log.printf("router %s has ended", r.name)
	time.Sleep(restartDelay)
	r.mu.Lock()
	r.inRotation = false
	r.mu.Unlock()
	r.start()
	for {
		time.Sleep(50 * time.Millisecond)
		r.mu.Lock()
		ready := r.inRotation
		r.mu.Unlock()
		if ready {
			return
		}
	}
}

// killAll kills all routers at the same moment and starts them again after down.
func (f *fleet) killAll(down time.Duration) {
	var wait sync.WaitGroup
	for _, r := range f.routers {
		wait.Go(r.kill)
	}
	wait.Wait()
	time.Sleep(down)
	for _, r := range f.routers {
		r.start()
	}
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	f.store.close()
	if keep := os.Getenv("KIT_LOGS"); keep != "" {
		for _, r := range f.routers {
			if text, err := os.ReadFile(filepath.Join(f.dir, r.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, r.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
}
