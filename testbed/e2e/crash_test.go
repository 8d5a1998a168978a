package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// longStreamTokens is the length in tokens of a stream that lasts longer than the
// detection of a failed process.
const longStreamTokens = 800

// suspendDuration is longer than the lease of a slot token (2 s) and than the time
// without reports after which a queue owner removes an agent (3 s).
const suspendDuration = 4 * time.Second

// Guards against a crash of an entry router that affects requests sent to other
// routers, leaves slots occupied, or lets its callers mistake a truncated response
// for a complete one.
func TestEntryRouterCrash(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4})
	owner := d.Owner(modelService, d.routers...)
	killed := d.otherRouters(owner)[0]
	interrupted := d.openStreams(killed, 2, longStreamTokens)
	unaffected := d.openStreams(owner, 2, 200)
	killed.Kill()
	for _, s := range interrupted {
		resp := s.Wait()
		must.Error(t, resp.Err)
		checkStream(t, s.prompt, s.tokens, resp)
	}
	for _, s := range unaffected {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	d.awaitIdleEngines()
	cancelled := 0
	for _, e := range d.engines {
		for _, x := range d.executions(e) {
			if x.Cancelled {
				cancelled++
			}
		}
	}
	must.Eq(t, len(interrupted), cancelled)
	mustServe(d, d.otherRouters(killed)...)
	killed.Start()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
}

// mustServe checks that each of the routers serves both services.
func mustServe(d *deployment, routers ...*fleet.Process) {
	d.t.Helper()
	for i, r := range routers {
		prompt := fmt.Sprintf("after the fault at %s", r.Name)
		mustComplete(d.t, prompt, 5, d.callWithRetry(completion(r, teamName(0), prompt, 5)))
		id := fmt.Sprintf("after-%d", i)
		resp := d.callWithRetry(lookup(r, teamName(1), id))
		must.True(d.t, resp.Complete(), must.Sprintf("status %d, outcome %+v, error %v", resp.Status, resp.Outcome, resp.Err))
		must.StrContains(d.t, resp.Body, id)
	}
}

// Guards against requests that fail or never start because the queue owner crashed.
func TestQueueOwnerCrash(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4})
	killed := d.Owner(modelService, d.routers...)
	remaining := d.otherRouters(killed)
	running := append(d.openStreams(remaining[0], modelSlots, longStreamTokens), d.openStreams(remaining[1], modelSlots, longStreamTokens)...)
	// All slots are occupied, so these requests wait at the owner when it crashes.
	var waiting []*stream
	for i := range 4 {
		prompt := fmt.Sprintf("waits %d", i)
		r := completion(remaining[i%2], teamName(i), prompt, 5)
		waiting = append(waiting, &stream{Pending: d.Send(r), prompt: prompt, tokens: 5})
	}
	d.Eventually("the requests wait at the owner", func() bool {
		var n uint64
		for _, team := range d.Status(killed).GetTeams() {
			n += team.GetWaiting()
		}
		return n == 4
	})
	killed.Kill()
	for _, s := range append(running, waiting...) {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	d.Eventually("another router owns the queue", func() bool { return d.Owner(modelService, remaining...) != nil })
	mustServe(d, remaining...)
}

// Guards against a crashed agent whose streams appear complete, whose requests
// run twice, or that keeps other agents from serving.
func TestAgentCrash(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 4, plainArgs: []string{"-service-time", "1s"}})
	streams := append(d.openStreams(d.routers[0], modelSlots, longStreamTokens), d.openStreams(d.routers[1], modelSlots, longStreamTokens)...)
	var pending []*fleet.Pending
	for i := range plainSlots {
		pending = append(pending, d.Send(booking(d.routers[i%2], teamName(i), fmt.Sprintf("b%d", i))))
	}
	d.Eventually("the bookings run", func() bool { return len(d.bookings()) == plainSlots })
	d.modelAgents[0].Kill()
	d.plainAgent.Kill()
	responsesByID := map[string][]*fleet.Response{}
	for i, p := range pending {
		resp := p.Wait()
		must.Eq(t, outcome.Unknown, resp.Outcome.Kind)
		responsesByID[fmt.Sprintf("b%d", i)] = []*fleet.Response{resp}
	}
	interrupted := 0
	for _, s := range streams {
		resp := s.Wait()
		checkStream(t, s.prompt, s.tokens, resp)
		if !resp.Complete() {
			must.Eq(t, outcome.Unknown, resp.Outcome.Kind, must.Sprintf("error %v", resp.Err))
			interrupted++
		}
	}
	must.Eq(t, modelSlots, interrupted)
	d.awaitIdleEngines()
	d.checkBookings(responsesByID)
	prompt := "the other endpoint serves"
	mustComplete(t, prompt, 5, d.callWithRetry(completion(d.routers[0], teamName(0), prompt, 5)))

	d.modelAgents[0].Start()
	d.plainAgent.Start()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
	d.checkBookings(responsesByID)
}

// Guards against an agent that uses tokens with an expired lease after a
// suspension, and against bookings that run twice as a result.
func TestSuspendedAgentDropsExpiredTokens(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 4})
	l := d.startLoad(0, 6, 0)
	l.awaitFinished(20)
	d.plainAgent.Signal(syscall.SIGSTOP)
	time.Sleep(suspendDuration)
	d.plainAgent.Signal(syscall.SIGCONT)
	l.awaitFinished(20)
	l.stop()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
}

// Guards against a second execution after the reply to the first was lost.
func TestLostReplyCausesNoSecondExecution(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 4, proxies: true})
	responsesByID := map[string][]*fleet.Response{}
	d.Put(d.plain, "/standin/faults", plainFaults(2))
	for i, key := range []string{"", "key-1"} {
		id := fmt.Sprintf("endpoint-%d", i)
		r := booking(d.routers[i], teamName(i), id)
		r.Key = key
		resp := d.callWithRetry(r)
		must.Eq(t, outcome.Unknown, resp.Outcome.Kind)
		responsesByID[id] = append(responsesByID[id], resp)
	}
	for i, key := range []string{"", "key-2"} {
		id := fmt.Sprintf("network-%d", i)
		d.plainAgent.Proxy.LoseReply(id, 0)
		r := booking(d.routers[i], teamName(i), id)
		r.Key = key
		resp := d.callWithRetry(r)
		must.True(t, d.plainAgent.Proxy.ReplyLost())
		must.Eq(t, outcome.Unknown, resp.Outcome.Kind)
		responsesByID[id] = append(responsesByID[id], resp)
	}
	for id := range responsesByID {
		must.Eq(t, 1, d.bookings()[id], must.Sprintf("booking %s", id))
	}
	d.checkBookings(responsesByID)

	// An idempotent request is retried within the retry budget.
	d.plainAgent.Proxy.LoseReply("lookup-1", 0)
	resp := d.callWithRetry(lookup(d.routers[0], teamName(0), "lookup-1"))
	must.True(t, resp.Complete(), must.Sprintf("status %d, outcome %+v, error %v", resp.Status, resp.Outcome, resp.Err))
	must.True(t, strings.Contains(resp.Body, "lookup-1"))
}
