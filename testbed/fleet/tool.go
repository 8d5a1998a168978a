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

// Result is the end of a run of the operators' tool.
type Result struct {
	Stdout string
	Stderr string
	Code   int
}

// Tool runs a subcommand of the operators' tool. It may be called from several goroutines.
func (f *Fleet) Tool(args ...string) Result {
	f.run.Helper()
	return f.once("acaciaspar", args, nil)
}

// ToolEnv runs a subcommand with further environment variables.
func (f *Fleet) ToolEnv(environ []string, args ...string) Result {
	f.run.Helper()
	return f.once("acaciaspar", args, environ)
}

// AgentOnce runs an agent that is expected to end by itself.
func (f *Fleet) AgentOnce(args ...string) Result {
	f.run.Helper()
	return f.once("acaciaspar-agent", args, nil)
}

// AgentEnv runs an agent as AgentOnce does, with further environment variables.
func (f *Fleet) AgentEnv(environ []string, args ...string) Result {
	f.run.Helper()
	return f.once("acaciaspar-agent", args, environ)
}

// once runs a binary to its end.
func (f *Fleet) once(binary string, args, environ []string) Result {
	f.run.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
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
		f.run.Errorf("run %v: %v", args, err)
	}
	return result
}

// ToolPublish runs the subcommand publish. It may be called from several goroutines.
func (f *Fleet) ToolPublish(files ...string) Result {
	f.run.Helper()
	return f.Tool(append([]string{"publish", "-operator", "harness", "-log-url", f.Log.URL("listen")}, files...)...)
}

// ToolAsk runs a subcommand that asks the routers, such as status.
func (f *Fleet) ToolAsk(routers []*Process, command string, args ...string) Result {
	f.run.Helper()
	var addresses []string
	for _, r := range routers {
		addresses = append(addresses, r.FleetAddress())
	}
	all := []string{command, "-fleet", f.Name, "-routers", strings.Join(addresses, ",")}
	all = append(all, f.tlsFlags()...)
	return f.Tool(append(all, args...)...)
}

// Metric returns a counter or gauge of a router or agent by its name in the
// registry, 0 if the process hasn't registered it.
func (f *Fleet) Metric(p *Process, name string) int64 {
	f.run.Helper()
	resp, err := f.callers.Get(p.URL("admin") + "/metrics")
	if err != nil {
		f.run.Fatalf("get the metrics: %v", err)
	}
	defer resp.Body.Close()
	exported := "acaciaspar_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), exported+" "); ok {
			value, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				f.run.Fatalf("metric %s: %v", name, err)
			}
			return value
		}
	}
	return 0
}

func (f *Fleet) status(address string) *fleetpb.StatusReply {
	ctx, cancel := context.WithTimeout(context.Background(), Patience/10)
	defer cancel()
	reply, err := f.control.Control(address).Status(ctx, &fleetpb.StatusRequest{Sender: f.control.Sender()})
	if err != nil {
		return nil
	}
	return reply
}

// AgentStatus is the part of an agent's own status that tests use.
type AgentStatus struct {
	ConfigVersion uint64 `json:"configVersion"`
	Draining      bool   `json:"draining"`
	Running       int    `json:"running"`
	Free          int    `json:"free"`
}

// AgentStatus asks an agent for its status.
func (f *Fleet) AgentStatus(p *Process) AgentStatus {
	f.run.Helper()
	var s AgentStatus
	f.Get(p, "/status", &s)
	return s
}

// Owner returns the router that owns a service's queue in its own view, or nil
// unless exactly one does.
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

// FreeSlots returns the free and the running requests of an endpoint in the
// view of the queue owners among routers; ok is false if none knows it.
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
