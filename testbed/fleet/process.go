package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/faultproxy"
)

const (
	// maxLogLines bounds the log lines kept per process; the oldest are dropped.
	maxLogLines = 20_000
	// tailLines is the number of lines shown after a failure.
	tailLines = 60
)

// Process is one started binary. Its mutex guards the fields below it.
type Process struct {
	Name string
	// Proxy is nil unless the process was started with one.
	Proxy *faultproxy.Proxy

	fleet  *Fleet
	path   string
	args   []string
	expect string

	mu  sync.Mutex
	run *execution
}

// execution is one run of a process's binary. Its mutex guards the fields below it.
type execution struct {
	cmd *exec.Cmd
	// leak is called for each line that holds a bearer token.
	leak func()
	// ended is closed once the process is gone and code is set.
	ended chan struct{}
	code  int

	mu       sync.Mutex
	partial  []byte
	lines    []string
	ready    map[string]string
	signaled bool
}

// start runs a binary and waits for a ready line that has the field expect.
func (f *Fleet) start(name, binary string, args []string, proxy *faultproxy.Proxy, expect string) *Process {
	f.run.Helper()
	p := &Process{
		Name:   name,
		Proxy:  proxy,
		fleet:  f,
		path:   filepath.Join(f.bin, binary),
		args:   args,
		expect: expect,
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	p.Start()
	return p
}

// Start runs the process again with the same settings, after it has ended.
func (p *Process) Start() {
	p.fleet.run.Helper()
	e := &execution{
		cmd:   exec.Command(p.path, p.args...),
		leak:  func() { p.fleet.noteLeak(p.Name) },
		ended: make(chan struct{}),
	}
	e.cmd.Env = environment()
	e.cmd.Stderr = e
	e.cmd.Stdout = e
	// The kernel ends the process if the test ends without its cleanup.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go e.supervise(started)
	if err := <-started; err != nil {
		p.fleet.run.Fatalf("start %s: %v", p.Name, err)
	}
	p.mu.Lock()
	p.run = e
	p.mu.Unlock()
	p.fleet.Eventually(p.Name+" gets ready", func() bool {
		if e.hasEnded() {
			p.fleet.run.Fatalf("%s exited with %d before it was ready", p.Name, e.code)
		}
		return e.readyField(p.expect) != ""
	})
}

// environment returns this process's environment without the product's settings.
func environment() []string {
	return slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "ACACIASPAR_") })
}

// supervise starts the process and waits for its end on one thread, because
// the kernel sends Pdeathsig when the thread that started the process ends.
func (e *execution) supervise(started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := e.cmd.Start()
	started <- err
	if err != nil {
		return
	}
	// The exit code says all that the error does.
	_ = e.cmd.Wait()
	e.code = e.cmd.ProcessState.ExitCode()
	close(e.ended)
}

// Write implements io.Writer for the process's output.
func (e *execution) Write(data []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partial = append(e.partial, data...)
	for {
		line, rest, found := bytes.Cut(e.partial, []byte("\n"))
		if !found {
			return len(data), nil
		}
		e.line(string(line))
		e.partial = rest
	}
}

func (e *execution) line(text string) {
	if strings.Contains(text, tokenPrefix) {
		e.leak()
	}
	if len(e.lines) >= maxLogLines {
		e.lines = e.lines[1:]
	}
	e.lines = append(e.lines, text)
	if e.ready != nil {
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil || fields["msg"] != "ready" {
		return
	}
	e.ready = map[string]string{}
	for name, value := range fields {
		if s, ok := value.(string); ok {
			e.ready[name] = s
		}
	}
}

func (e *execution) readyField(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready[name]
}

func (e *execution) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

func (p *Process) current() *execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

func (p *Process) isRouter() bool {
	return filepath.Base(p.path) == "acaciaspar"
}

// Address returns an address of the ready line: listen for stand-ins; callers,
// fleet and admin for routers; fleet and admin for agents.
func (p *Process) Address(field string) string {
	p.fleet.run.Helper()
	address := p.current().readyField(field)
	if address == "" {
		p.fleet.run.Fatalf("%s has no address %q in its ready line", p.Name, field)
	}
	return address
}

// URL returns the base URL of an address of the ready line.
func (p *Process) URL(field string) string {
	p.fleet.run.Helper()
	return "http://" + p.Address(field)
}

// FleetAddress returns the address that other processes use.
func (p *Process) FleetAddress() string {
	if p.Proxy != nil {
		return p.Proxy.Address()
	}
	return p.directAddress()
}

// directAddress returns the address of the fleet listener behind a proxy.
func (p *Process) directAddress() string {
	for i, arg := range p.args {
		if arg == "-fleet-listen" || (arg == "-listen" && !p.isRouter()) {
			return p.args[i+1]
		}
	}
	return p.Address("fleet")
}

// PID returns the process's identifier in the kernel.
func (p *Process) PID() int { return p.current().cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.fleet.run.Helper()
	e := p.current()
	if signal != syscall.SIGSTOP && signal != syscall.SIGCONT {
		e.mu.Lock()
		e.signaled = true
		e.mu.Unlock()
	}
	if err := e.cmd.Process.Signal(signal); err != nil {
		p.fleet.run.Fatalf("signal %s: %v", p.Name, err)
	}
}

// Wait waits for the end of the process and returns its exit code, -1 after a signal.
func (p *Process) Wait() int {
	p.fleet.run.Helper()
	e := p.current()
	select {
	case <-e.ended:
		return e.code
	case <-time.After(Patience):
		p.fleet.run.Fatalf("%s did not end within %v", p.Name, Patience)
		return -1
	}
}

// Stop ends the process gracefully and fails unless it exits with 0.
func (p *Process) Stop() {
	p.fleet.run.Helper()
	p.Signal(syscall.SIGTERM)
	if code := p.Wait(); code != 0 {
		p.fleet.run.Fatalf("%s exited with %d after SIGTERM", p.Name, code)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.fleet.run.Helper()
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Logged reports whether the current run wrote a line that contains all parts.
func (p *Process) Logged(parts ...string) bool {
	e := p.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.lines, func(line string) bool {
		return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
	})
}

// kill ends a process that still runs, for the cleanup.
func (p *Process) kill() {
	e := p.current()
	if e == nil || e.hasEnded() {
		return
	}
	e.mu.Lock()
	e.signaled = true
	e.mu.Unlock()
	// Fails only if the process has ended meanwhile.
	_ = e.cmd.Process.Kill()
	<-e.ended
}

func (p *Process) endedByItself() bool {
	e := p.current()
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.signaled
}

func (p *Process) tail() []string {
	e := p.current()
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.lines[max(len(e.lines)-tailLines, 0):])
}
