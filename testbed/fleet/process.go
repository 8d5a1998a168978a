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
	// maxLogLines is the maximum number of log lines kept per process. The oldest
	// lines are dropped.
	maxLogLines = 20_000
	// failureLogLines is the number of log lines printed after a failure.
	failureLogLines = 60
)

// Process is a process started by a Fleet. It can be restarted.
type Process struct {
	Name string
	// Proxy is nil unless the process was started with one.
	Proxy *faultproxy.Proxy

	fleet    *Fleet
	path     string
	args     []string
	readyKey string

	// mu guards the field below.
	mu        sync.Mutex
	execution *execution
}

// execution is one operating system process; each Start creates a new one.
type execution struct {
	cmd *exec.Cmd
	// onTokenLeak is called for each log line that contains a bearer token.
	onTokenLeak func()
	// exited is closed after the process has exited and code has been set.
	exited chan struct{}
	code   int

	// mu guards the fields below.
	mu sync.Mutex
	// partial is the last, incomplete line of output.
	partial  []byte
	lines    []string
	ready    map[string]string
	signaled bool
}

// start runs a binary and waits until it logs a ready line that has the field
// readyKey.
func (f *Fleet) start(name, binary string, args []string, proxy *faultproxy.Proxy, readyKey string) *Process {
	f.runner.Helper()
	p := &Process{
		Name:     name,
		Proxy:    proxy,
		fleet:    f,
		path:     filepath.Join(f.bin, binary),
		args:     args,
		readyKey: readyKey,
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	p.Start()
	return p
}

// Start runs the process with its original arguments and waits until it is
// ready. An earlier execution must have exited.
func (p *Process) Start() {
	p.fleet.runner.Helper()
	e := &execution{
		cmd:         exec.Command(p.path, p.args...),
		onTokenLeak: func() { p.fleet.recordTokenLeak(p.Name) },
		exited:      make(chan struct{}),
	}
	e.cmd.Env = environment()
	e.cmd.Stderr = e
	e.cmd.Stdout = e
	// Makes the kernel kill the process if the test exits without cleanup.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go e.supervise(started)
	if err := <-started; err != nil {
		p.fleet.runner.Fatalf("start %s: %v", p.Name, err)
	}
	p.mu.Lock()
	p.execution = e
	p.mu.Unlock()
	p.fleet.Eventually(p.Name+" is ready", func() bool {
		if e.hasExited() {
			p.fleet.runner.Fatalf("%s exited with %d before it was ready", p.Name, e.code)
		}
		return e.readyField(p.readyKey) != ""
	})
}

// environment returns the environment of this process without the ACACIASPAR_
// variables, which would change the settings of the started binaries.
func environment() []string {
	return slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "ACACIASPAR_") })
}

// supervise starts the process and waits for it to exit on a locked OS thread,
// because the kernel sends Pdeathsig when the thread that started the process
// exits.
func (e *execution) supervise(started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := e.cmd.Start()
	started <- err
	if err != nil {
		return
	}
	// The error is ignored because the exit code is recorded instead.
	_ = e.cmd.Wait()
	e.code = e.cmd.ProcessState.ExitCode()
	close(e.exited)
}

// Write collects the output of the process as lines. It implements io.Writer.
func (e *execution) Write(data []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partial = append(e.partial, data...)
	for {
		line, rest, found := bytes.Cut(e.partial, []byte("\n"))
		if !found {
			return len(data), nil
		}
		e.addLine(string(line))
		e.partial = rest
	}
}

func (e *execution) addLine(text string) {
	if strings.Contains(text, tokenPrefix) {
		e.onTokenLeak()
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

func (e *execution) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

func (p *Process) current() *execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.execution
}

func (p *Process) isRouter() bool {
	return filepath.Base(p.path) == "acaciaspar"
}

// Address returns an address from the ready line. field is listen for
// stand-ins; callers, fleet or admin for routers; fleet or admin for agents.
func (p *Process) Address(field string) string {
	p.fleet.runner.Helper()
	address := p.current().readyField(field)
	if address == "" {
		p.fleet.runner.Fatalf("%s has no address %q in its ready line", p.Name, field)
	}
	return address
}

// URL returns the http base URL for an address from the ready line; see Address.
func (p *Process) URL(field string) string {
	p.fleet.runner.Helper()
	return "http://" + p.Address(field)
}

// FleetAddress returns the fleet address that other processes connect to: that
// of the proxy, if the process has one.
func (p *Process) FleetAddress() string {
	if p.Proxy != nil {
		return p.Proxy.Address()
	}
	return p.directAddress()
}

// directAddress returns the address of the fleet listener itself, bypassing the
// proxy.
func (p *Process) directAddress() string {
	for i, arg := range p.args {
		if arg == "-fleet-listen" || (arg == "-listen" && !p.isRouter()) {
			return p.args[i+1]
		}
	}
	return p.Address("fleet")
}

func (p *Process) PID() int { return p.current().cmd.Process.Pid }

// Signal sends a signal to the process. After a signal other than SIGSTOP or
// SIGCONT, the exit of the process counts as expected.
func (p *Process) Signal(signal syscall.Signal) {
	p.fleet.runner.Helper()
	e := p.current()
	if signal != syscall.SIGSTOP && signal != syscall.SIGCONT {
		e.mu.Lock()
		e.signaled = true
		e.mu.Unlock()
	}
	if err := e.cmd.Process.Signal(signal); err != nil {
		p.fleet.runner.Fatalf("signal %s: %v", p.Name, err)
	}
}

// Wait waits until the process has exited and returns its exit code, or -1 if
// it was terminated by a signal.
func (p *Process) Wait() int {
	p.fleet.runner.Helper()
	e := p.current()
	select {
	case <-e.exited:
		return e.code
	case <-time.After(WaitTimeout):
		p.fleet.runner.Fatalf("%s did not exit within %v", p.Name, WaitTimeout)
		return -1
	}
}

// Stop sends SIGTERM and waits. It fails the run unless the process exits with 0.
func (p *Process) Stop() {
	p.fleet.runner.Helper()
	p.Signal(syscall.SIGTERM)
	if code := p.Wait(); code != 0 {
		p.fleet.runner.Fatalf("%s exited with %d after SIGTERM", p.Name, code)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.fleet.runner.Helper()
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Logged reports whether a line logged since the last Start contains all parts.
// Only the last maxLogLines lines are searched.
func (p *Process) Logged(parts ...string) bool {
	e := p.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.lines, func(line string) bool {
		return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
	})
}

// kill terminates the process during cleanup if it is still running.
func (p *Process) kill() {
	e := p.current()
	if e == nil || e.hasExited() {
		return
	}
	e.mu.Lock()
	e.signaled = true
	e.mu.Unlock()
	// Fails only if the process has exited in the meantime.
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// exitedUnexpectedly reports whether the process, which must have exited, did so
// without a signal from Signal or kill.
func (p *Process) exitedUnexpectedly() bool {
	e := p.current()
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.signaled
}

func (p *Process) lastLogLines() []string {
	e := p.current()
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.lines[max(len(e.lines)-failureLogLines, 0):])
}
