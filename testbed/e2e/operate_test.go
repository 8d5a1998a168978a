package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// exitRefused is the operators' tool's exit code for a refused publication.
const exitRefused = 4

// Guards against two racing publications that both take effect, and against a
// lost reply after which an operator is told something wrong.
func TestTwoOperatorsPublishAtOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 2})
	var files []string
	for i := range 2 {
		changed := testObjects(2)
		changed.Shares[i].Weight = 500
		files = append(files, d.Write(changed))
	}
	d.Put(d.Log, "/standin/faults", logservice.Faults{LoseAppendReplies: 1})
	results := make([]fleet.Result, len(files))
	var running sync.WaitGroup
	for i, file := range files {
		running.Go(func() { results[i] = d.ToolPublish(file) })
	}
	running.Wait()
	accepted := 0
	for _, r := range results {
		if r.Code == 0 {
			accepted++
			continue
		}
		must.Eq(t, exitRefused, r.Code, must.Sprintf("%s%s", r.Stdout, r.Stderr))
	}
	// Both succeed if one began after the other had ended.
	must.Positive(t, accepted)
	d.awaitVersion(uint64(1+accepted), d.routers...)
	for _, r := range d.routers {
		must.Eq(t, uint64(1+accepted), d.Status(r).GetConfigVersion())
	}
	mustServe(d, d.routers...)
}

// Guards against an endpoint that gets work after it has left, and against
// requests that are cut off because it leaves.
func TestEndpointLeavesUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 4})
	l := d.startLoad(10, 4, 20)
	l.awaitMore(40)
	d.objects.Endpoints[0].State = objects.EndpointDraining
	d.Publish(d.objects)
	d.Eventually("the leaving endpoint is idle", func() bool {
		status := d.AgentStatus(d.modelAgents[0])
		return status.ConfigVersion >= 2 && status.Draining && status.Running == 0 && status.Free == 0
	})
	before := len(d.executions(d.engines[0]))
	l.awaitMore(40)
	must.Eq(t, before, len(d.executions(d.engines[0])))

	d.objects.Endpoints[0].State = objects.EndpointActive
	d.Publish(d.objects)
	d.Eventually("the endpoint is back", func() bool { return len(d.executions(d.engines[0])) > before })
	d.modelAgents[0].Stop()
	before = len(d.executions(d.engines[0]))
	l.awaitMore(40)
	must.Eq(t, before, len(d.executions(d.engines[0])))
	l.stopUndisturbed()
}

// Guards against a planned stop that interrupts a request.
func TestRollingRestartUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 3, teams: 4})
	l := d.startLoad(10, 4, 60)
	l.awaitMore(20)
	for _, r := range d.routers {
		l.pool.set(d.others(r))
		r.Stop()
		l.awaitMore(10)
		r.Start()
		d.Eventually(r.Name+" joins again", func() bool { return d.aliveIn(d.Status(r), r) == len(d.routers) })
		l.pool.set(d.routers)
	}
	for _, a := range append([]*fleet.Process{d.plainAgent}, d.modelAgents...) {
		a.Stop()
		a.Start()
		l.awaitMore(20)
	}
	l.stopUndisturbed()
	d.awaitSettled(1)
}

// Guards against a team that takes the whole pool or fills the memory, and
// against refused requests that ran.
func TestFloodByOneTeam(t *testing.T) {
	t.Parallel()
	const teams, flood, queueCount = 16, 300, 16
	d := deploy(t, setup{routers: 2, teams: teams, routerArgs: []string{"-team-queue-count", fmt.Sprint(queueCount)}})
	var flooding []*stream
	for i := range flood {
		prompt := fmt.Sprintf("flood %d", i)
		r := completion(d.routers[i%2], teamName(0), prompt, 20)
		flooding = append(flooding, &stream{Pending: d.Send(r), prompt: prompt, tokens: 20})
	}
	var others sync.WaitGroup
	answers := make([]*fleet.Response, teams)
	for i := 1; i < teams; i++ {
		others.Go(func() { answers[i] = d.Call(completion(d.routers[i%2], teamName(i), "small team", 20)) })
	}
	others.Wait()
	for _, a := range answers[1:] {
		mustWhole(t, "small team", 20, a)
	}
	ran, refused := teams-1, 0
	for _, s := range flooding {
		a := s.Wait()
		if a.Complete() {
			mustWhole(t, s.prompt, s.tokens, a)
			ran++
			continue
		}
		must.Eq(t, 429, a.Status, must.Sprintf("outcome %+v, error %v", a.Outcome, a.Err))
		must.Eq(t, outcome.NotRun, a.Outcome.Kind)
		must.NotEq(t, "", a.Header.Get("Retry-After"))
		refused++
	}
	must.Positive(t, refused)
	executions := 0
	for _, e := range d.engines {
		executions += len(d.executions(e))
	}
	must.Eq(t, ran, executions)
}

// Guards against a second signal that is ignored while requests are in progress.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 2})
	streams := d.openStreams(d.routers[0], 2, longStream)
	d.routers[0].Signal(syscall.SIGTERM)
	d.Eventually("the router is leaving", func() bool { return d.Status(d.routers[0]).GetDraining() })
	must.False(t, streams[0].Done())
	d.routers[0].Signal(syscall.SIGTERM)
	must.NotEq(t, 0, d.routers[0].Wait())
	for _, s := range streams {
		checkStream(t, s.prompt, s.tokens, s.Wait())
	}
}
