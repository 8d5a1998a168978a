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

// exitRefused is the exit code of the operators' tool for a refused publication.
const exitRefused = 4

// Guards against concurrent publications that both take effect, and against a
// wrong result reported to the operator after a lost reply.
func TestConcurrentPublishes(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 2})
	var files []string
	for i := range 2 {
		changed := testObjects(2)
		changed.Shares[i].Weight = 500
		files = append(files, d.WriteObjects(changed))
	}
	d.Put(d.Log, "/standin/faults", logservice.Faults{LoseAppendReplies: 1})
	results := make([]fleet.Result, len(files))
	var running sync.WaitGroup
	for i, file := range files {
		running.Go(func() { results[i] = d.RunPublish(file) })
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
	// Both succeed if the second started after the first had ended.
	must.Positive(t, accepted)
	d.awaitVersion(uint64(1+accepted), d.routers...)
	for _, r := range d.routers {
		must.Eq(t, uint64(1+accepted), d.Status(r).GetConfigVersion())
	}
	mustServe(d, d.routers...)
}

// Guards against a drained endpoint that is still assigned requests, and against
// requests that are interrupted by the drain.
func TestEndpointDrainUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 4})
	l := d.startLoad(10, 4, 20)
	l.awaitFinished(40)
	d.objects.Endpoints[0].State = objects.EndpointDraining
	d.Publish(d.objects)
	d.Eventually("the draining endpoint is idle", func() bool {
		status := d.AgentStatus(d.modelAgents[0])
		return status.ConfigVersion >= 2 && status.Draining && status.Running == 0 && status.Free == 0
	})
	before := len(d.executions(d.engines[0]))
	l.awaitFinished(40)
	must.Eq(t, before, len(d.executions(d.engines[0])))

	d.objects.Endpoints[0].State = objects.EndpointActive
	d.Publish(d.objects)
	d.Eventually("the endpoint serves requests again", func() bool { return len(d.executions(d.engines[0])) > before })
	d.modelAgents[0].Stop()
	before = len(d.executions(d.engines[0]))
	l.awaitFinished(40)
	must.Eq(t, before, len(d.executions(d.engines[0])))
	l.stopAndRequireComplete()
}

// Guards against a graceful stop that interrupts a request.
func TestRollingRestartUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4})
	l := d.startLoad(10, 4, 60)
	l.awaitFinished(20)
	for _, r := range d.routers {
		l.pool.set(d.otherRouters(r))
		r.Stop()
		l.awaitFinished(10)
		r.Start()
		d.Eventually(r.Name+" rejoins the fleet", func() bool { return d.countAliveRouters(d.Status(r), r) == len(d.routers) })
		l.pool.set(d.routers)
	}
	for _, a := range append([]*fleet.Process{d.plainAgent}, d.modelAgents...) {
		a.Stop()
		a.Start()
		l.awaitFinished(20)
	}
	l.stopAndRequireComplete()
	d.awaitConverged(1)
}

// Guards against a team that occupies all slots or exhausts the memory, and
// against refused requests that ran anyway.
func TestFloodByOneTeam(t *testing.T) {
	t.Parallel()
	const teams, flood, queueCount = 16, 300, 16
	d := deploy(t, deployOptions{routers: 2, teams: teams, routerArgs: []string{"-team-queue-count", fmt.Sprint(queueCount)}})
	var flooding []*stream
	for i := range flood {
		prompt := fmt.Sprintf("flood %d", i)
		r := completion(d.routers[i%2], teamName(0), prompt, 20)
		flooding = append(flooding, &stream{Pending: d.Send(r), prompt: prompt, tokens: 20})
	}
	var others sync.WaitGroup
	responses := make([]*fleet.Response, teams)
	for i := 1; i < teams; i++ {
		others.Go(func() { responses[i] = d.Call(completion(d.routers[i%2], teamName(i), "small team", 20)) })
	}
	others.Wait()
	for _, resp := range responses[1:] {
		mustComplete(t, "small team", 20, resp)
	}
	ran, refused := teams-1, 0
	for _, s := range flooding {
		resp := s.Wait()
		if resp.Complete() {
			mustComplete(t, s.prompt, s.tokens, resp)
			ran++
			continue
		}
		must.Eq(t, 429, resp.Status, must.Sprintf("outcome %+v, error %v", resp.Outcome, resp.Err))
		must.Eq(t, outcome.NotRun, resp.Outcome.Kind)
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
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
func TestSecondSignalExitsImmediately(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 2})
	streams := d.openStreams(d.routers[0], 2, longStreamTokens)
	d.routers[0].Signal(syscall.SIGTERM)
	d.Eventually("the router is draining", func() bool { return d.Status(d.routers[0]).GetDraining() })
	must.False(t, streams[0].Done())
	d.routers[0].Signal(syscall.SIGTERM)
	must.NotEq(t, 0, d.routers[0].Wait())
	for _, s := range streams {
		checkStream(t, s.prompt, s.tokens, s.Wait())
	}
}
