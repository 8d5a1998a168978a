package fleet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// Result is the output and exit code of a binary that has exited.
type Result struct {
	Stdout string
	Stderr string
	Code   int
}

// RunTool runs a subcommand of the operators' tool. It is safe for concurrent
// use.
func (f *Fleet) RunTool(args ...string) Result {
	f.runner.Helper()
	return f.runBinary("acaciaspar", args, nil)
}

// RunToolWithEnv runs a subcommand with additional environment variables.
func (f *Fleet) RunToolWithEnv(environ []string, args ...string) Result {
	f.runner.Helper()
	return f.runBinary("acaciaspar", args, environ)
}

// RunAgent runs an agent that is expected to exit on its own, and waits for it.
func (f *Fleet) RunAgent(args ...string) Result {
	f.runner.Helper()
	return f.runBinary("acaciaspar-agent", args, nil)
}

// RunAgentWithEnv is like RunAgent with additional environment variables.
func (f *Fleet) RunAgentWithEnv(environ []string, args ...string) Result {
	f.runner.Helper()
	return f.runBinary("acaciaspar-agent", args, environ)
}

// runBinary runs a binary until it exits, for at most WaitTimeout.
func (f *Fleet) runBinary(binary string, args, environ []string) Result {
	f.runner.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, binary), args...)
	cmd.Env = append(environment(), environ...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	err := cmd.Run()
	result := Result{Stdout: stdout.String(), Stderr: stderr.String(), Code: cmd.ProcessState.ExitCode()}
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.runner.Errorf("run %v: %v", args, err)
	}
	return result
}

// RunPublish runs the subcommand publish. It is safe for concurrent use.
func (f *Fleet) RunPublish(files ...string) Result {
	f.runner.Helper()
	return f.RunTool(append([]string{"publish", "-operator", "harness", "-log-url", f.Log.URL("listen")}, files...)...)
}

// QueryRouters runs a subcommand that queries the given routers, such as status.
func (f *Fleet) QueryRouters(routers []*Process, command string, args ...string) Result {
	f.runner.Helper()
	var addresses []string
	for _, r := range routers {
		addresses = append(addresses, r.FleetAddress())
	}
	all := []string{command, "-fleet", f.Name, "-routers", strings.Join(addresses, ",")}
	all = append(all, f.tlsFlags()...)
	return f.RunTool(append(all, args...)...)
}

// Metric returns the value of a counter or gauge of a router or agent by its
// name in the registry, or 0 if the process hasn't registered it.
func (f *Fleet) Metric(p *Process, name string) int64 {
	f.runner.Helper()
	resp, err := f.callerClient.Get(p.URL("admin") + "/metrics")
	if err != nil {
		f.runner.Fatalf("get metrics: %v", err)
	}
	defer resp.Body.Close()
	exported := "acaciaspar_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), exported+" "); ok {
			value, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				f.runner.Fatalf("parse metric %s: %v", name, err)
			}
			return value
		}
	}
	return 0
}

func (f *Fleet) status(address string) *fleetpb.StatusReply {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout/10)
	defer cancel()
	reply, err := f.control.Control(address).Status(ctx, &fleetpb.StatusRequest{Sender: f.control.Sender()})
	if err != nil {
		return nil
	}
	return reply
}

// AgentStatus is the part of an agent's status response that tests use.
type AgentStatus struct {
	ConfigVersion uint64 `json:"configVersion"`
	Draining      bool   `json:"draining"`
	Running       int    `json:"running"`
	Free          int    `json:"free"`
}

// AgentStatus requests the status of an agent.
func (f *Fleet) AgentStatus(p *Process) AgentStatus {
	f.runner.Helper()
	var s AgentStatus
	f.Get(p, "/status", &s)
	return s
}

// Owner returns the router among routers that considers itself the owner of the
// service's queue, or nil unless exactly one does.
func (f *Fleet) Owner(service string, routers ...*Process) *Process {
	var owner *Process
	for _, p := range routers {
		for _, owned := range f.Status(p).GetOwnedServices() {
			if owned != service {
				continue
			}
			if owner != nil {
				return nil
			}
			owner = p
		}
	}
	return owner
}

// FreeSlots returns the number of free slots and running requests of an
// endpoint, as reported by the queue owners among routers. ok is false if none
// of them knows the endpoint.
func (f *Fleet) FreeSlots(endpoint string, routers ...*Process) (free, running uint32, ok bool) {
	for _, p := range routers {
		for _, e := range f.Status(p).GetEndpoints() {
			if e.GetEndpoint() == endpoint {
				free, running, ok = e.GetFree(), e.GetRunning(), true
			}
		}
	}
	return free, running, ok
}
