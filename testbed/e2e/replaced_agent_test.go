package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// plainArgsByFencing holds the arguments of a plain stand-in that checks fencing
// numbers and of one that ignores them.
var plainArgsByFencing = map[objects.Fencing][]string{
	objects.FencingChecked: nil,
	objects.FencingIgnored: {"-check-fencing=false"},
}

// deployFencing deploys a fleet whose plain endpoint has the given fencing.
func deployFencing(t *testing.T, fencing objects.Fencing, plainArgs ...string) *deployment {
	t.Helper()
	d := deploy(t, deployOptions{routers: 2, teams: 4, plainArgs: append(plainArgs, plainArgsByFencing[fencing]...)})
	if fencing != objects.FencingChecked {
		d.objects.Endpoints[2].Fencing = fencing
		d.Publish(d.objects)
		d.awaitConverged(2)
	}
	return d
}

// startReplacementAgent starts a second agent for the plain endpoint.
func (d *deployment) startReplacementAgent() *fleet.Process {
	d.t.Helper()
	return d.StartAgent(fleet.ProcessOptions{Name: "plain-agent-2", Zone: zones[2]}, plainService+"-1", d.plain.URL("listen"))
}

// metricValue returns the value of a metric of a process by its exported name.
func (d *deployment) metricValue(p *fleet.Process, name string) string {
	d.t.Helper()
	resp, err := http.Get(p.URL("admin") + "/metrics")
	must.NoError(d.t, err)
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return value
		}
	}
	d.t.Fatalf("%s has no metric %s", p.Name, name)
	return ""
}

// suspend sends SIGSTOP to a process and waits until all of its threads have
// stopped: the kernel lets the other threads run until one has taken the signal.
func (d *deployment) suspend(p *fleet.Process) {
	d.t.Helper()
	p.Signal(syscall.SIGSTOP)
	d.Eventually(p.Name+" is suspended", func() bool {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
		must.NoError(d.t, err)
		for _, file := range states {
			stat, err := os.ReadFile(file)
			// The state follows the process name, which is in parentheses.
			_, rest, found := strings.Cut(string(stat), ") ")
			if err != nil || !found || !strings.HasPrefix(rest, "T") {
				return false
			}
		}
		return len(states) > 0
	})
}

const acceptedMetric = "acaciaspar_agent_accepted"

// Guards against a replaced agent that is still assigned requests, and against
// bookings that run twice or are interrupted by the replacement.
func TestReplacedAgentGetsNoRequests(t *testing.T) {
	t.Parallel()
	for fencing := range plainArgsByFencing {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			d := deployFencing(t, fencing)
			l := d.startLoad(0, 6, 0)
			l.awaitFinished(20)
			newer := d.startReplacementAgent()
			d.Eventually("the older agent drains", func() bool {
				older := d.AgentStatus(d.plainAgent)
				return older.Draining && older.Running == 0 && older.Free == 0
			})
			before := d.metricValue(d.plainAgent, acceptedMetric)
			l.awaitFinished(200)
			must.Eq(t, before, d.metricValue(d.plainAgent, acceptedMetric))
			must.NotEq(t, "0", d.metricValue(newer, acceptedMetric))
			l.stopAndRequireComplete()
		})
	}
}

// Guards against an agent that is suspended, replaced and resumed, and then
// accepts requests again with its old tokens.
func TestSuspendedAgentReplacedThenResumed(t *testing.T) {
	t.Parallel()
	for fencing := range plainArgsByFencing {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			d := deployFencing(t, fencing)
			l := d.startLoad(0, 6, 0)
			l.awaitFinished(20)
			d.suspend(d.plainAgent)
			d.startReplacementAgent()
			l.awaitFinished(40)
			d.plainAgent.Signal(syscall.SIGCONT)
			d.Eventually("the older agent drains", func() bool {
				older := d.AgentStatus(d.plainAgent)
				return older.Draining && older.Running == 0 && older.Free == 0
			})
			before := d.metricValue(d.plainAgent, acceptedMetric)
			l.awaitFinished(100)
			must.Eq(t, before, d.metricValue(d.plainAgent, acceptedMetric))
			l.stop()
		})
	}
}

// Guards against an agent that is suspended before it forwards a booking and
// forwards it after its lease has expired. The outcome sent to the caller says that
// the booking may have run, so it must not run afterwards.
func TestAgentSuspendedBeforeForwarding(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 4})
	responsesByID := map[string][]*fleet.Response{}
	numEnded := 0
	// The owner assigns slots for 1.5 s after a report; on a slow machine the
	// suspension may begin too late for that.
	for round := 0; numEnded == 0 && round < 5; round++ {
		d.suspend(d.plainAgent)
		pending := map[string]*fleet.Pending{}
		for i := range plainSlots {
			id := fmt.Sprintf("suspended-%d-%d", round, i)
			pending[id] = d.Send(booking(d.routers[i%2], teamName(i), id))
		}
		time.Sleep(suspendDuration)
		// Requests that ended during the suspension were sent to the suspended
		// agent. The others are dispatched after it.
		var ended []string
		for id, p := range pending {
			if p.Done() {
				ended = append(ended, id)
			}
		}
		d.plainAgent.Signal(syscall.SIGCONT)
		for id, p := range pending {
			responsesByID[id] = append(responsesByID[id], p.Wait())
		}
		d.awaitConverged(1)
		for _, id := range ended {
			must.Eq(t, outcome.Unknown, responsesByID[id][0].Outcome.Kind)
			must.Eq(t, 0, d.bookings()[id], must.Sprintf("booking %s ran after the lease had expired", id))
		}
		numEnded += len(ended)
	}
	must.Positive(t, numEnded)
	d.checkBookings(responsesByID)
	mustServe(d, d.routers...)
}

// Guards against a booking that is sent again because the agent was suspended
// after forwarding it, and against a caller that gets the outcome not-run.
func TestAgentSuspendedAfterForwarding(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 4, plainArgs: []string{"-service-time", "1s"}})
	responsesByID := map[string][]*fleet.Response{}
	pending := map[string]*fleet.Pending{}
	for i := range plainSlots {
		id := fmt.Sprintf("forwarded-%d", i)
		pending[id] = d.Send(booking(d.routers[i%2], teamName(i), id))
	}
	d.Eventually("the bookings run", func() bool { return len(d.bookings()) == plainSlots })
	d.suspend(d.plainAgent)
	time.Sleep(suspendDuration)
	d.plainAgent.Signal(syscall.SIGCONT)
	for id, p := range pending {
		resp := p.Wait()
		must.Eq(t, outcome.Unknown, resp.Outcome.Kind, must.Sprintf("booking %s: status %d, error %v", id, resp.Status, resp.Err))
		responsesByID[id] = append(responsesByID[id], resp)
	}
	d.awaitConverged(1)
	mustServe(d, d.routers...)
	d.checkBookings(responsesByID)
}
