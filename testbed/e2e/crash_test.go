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

// longStream is the length, in tokens, of an answer that outlasts the
// detection of a failed process.
const longStream = 800

// pauseTime is above the lease of a slot token (2 s) and the silence after
// which a queue owner drops an agent (3 s).
const pauseTime = 4 * time.Second

// Guards against a crashed entry router that disturbs the requests of other
// routers, keeps slots, or lets its callers take a cut answer for a whole one.
func TestKilledRouterThatIsNotTheOwner(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 3, teams: 4})
	owner := d.Owner(modelService, d.routers...)
	victim := d.others(owner)[0]
	lost := d.openStreams(victim, 2, longStream)
	kept := d.openStreams(owner, 2, 200)
	victim.Kill()
	for _, s := range lost {
		a := s.Wait()
		must.Error(t, a.Err)
		checkStream(t, s.prompt, s.tokens, a)
	}
	for _, s := range kept {
		mustWhole(t, s.prompt, s.tokens, s.Wait())
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
	must.Eq(t, len(lost), cancelled)
	mustServe(d, d.others(victim)...)
	victim.Start()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
}

// mustServe checks that each router serves both services.
func mustServe(d *deployment, routers ...*fleet.Process) {
	d.t.Helper()
	for i, r := range routers {
		prompt := fmt.Sprintf("after the fault at %s", r.Name)
		mustWhole(d.t, prompt, 5, d.callUntilRun(completion(r, teamName(0), prompt, 5)))
		id := fmt.Sprintf("after-%d", i)
		a := d.callUntilRun(lookup(r, teamName(1), id))
		must.True(d.t, a.Complete(), must.Sprintf("status %d, outcome %+v, error %v", a.Status, a.Outcome, a.Err))
		must.StrContains(d.t, a.Body, id)
	}
}

// Guards against requests that end or never start because the queue owner crashed.
func TestKilledQueueOwner(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 3, teams: 4})
	victim := d.Owner(modelService, d.routers...)
	rest := d.others(victim)
	running := append(d.openStreams(rest[0], modelSlots, longStream), d.openStreams(rest[1], modelSlots, longStream)...)
	// All slots are taken, so these wait at the owner when it crashes.
	var waiting []*stream
	for i := range 4 {
		prompt := fmt.Sprintf("waits %d", i)
		r := completion(rest[i%2], teamName(i), prompt, 5)
		waiting = append(waiting, &stream{Pending: d.Send(r), prompt: prompt, tokens: 5})
	}
	d.Eventually("the requests wait at the owner", func() bool {
		var n uint64
		for _, team := range d.Status(victim).GetTeams() {
			n += team.GetWaiting()
		}
		return n == 4
	})
	victim.Kill()
	for _, s := range append(running, waiting...) {
		mustWhole(t, s.prompt, s.tokens, s.Wait())
	}
	d.Eventually("another router owns the queue", func() bool { return d.Owner(modelService, rest...) != nil })
	mustServe(d, rest...)
}

// Guards against a crashed agent whose streams look complete, run twice or
// keep the others from being served.
func TestKilledAgent(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 4, plainArgs: []string{"-service-time", "1s"}})
	streams := append(d.openStreams(d.routers[0], modelSlots, longStream), d.openStreams(d.routers[1], modelSlots, longStream)...)
	var booked []*fleet.Pending
	for i := range plainSlots {
		booked = append(booked, d.Send(booking(d.routers[i%2], teamName(i), fmt.Sprintf("b%d", i))))
	}
	d.Eventually("the bookings run", func() bool { return len(d.bookings()) == plainSlots })
	d.modelAgents[0].Kill()
	d.plainAgent.Kill()
	told := map[string][]*fleet.Response{}
	for i, p := range booked {
		a := p.Wait()
		must.Eq(t, outcome.Unknown, a.Outcome.Kind)
		told[fmt.Sprintf("b%d", i)] = []*fleet.Response{a}
	}
	cut := 0
	for _, s := range streams {
		a := s.Wait()
		checkStream(t, s.prompt, s.tokens, a)
		if !a.Complete() {
			must.Eq(t, outcome.Unknown, a.Outcome.Kind, must.Sprintf("error %v", a.Err))
			cut++
		}
	}
	must.Eq(t, modelSlots, cut)
	d.awaitIdleEngines()
	d.checkBookings(told)
	prompt := "the other endpoint serves"
	mustWhole(t, prompt, 5, d.callUntilRun(completion(d.routers[0], teamName(0), prompt, 5)))

	d.modelAgents[0].Start()
	d.plainAgent.Start()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
	d.checkBookings(told)
}

// Guards against an agent that uses tokens after their lease when it resumes
// from a pause, and against bookings that run twice because of it.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 4})
	l := d.startLoad(0, 6, 0)
	l.awaitMore(20)
	d.plainAgent.Signal(syscall.SIGSTOP)
	time.Sleep(pauseTime)
	d.plainAgent.Signal(syscall.SIGCONT)
	l.awaitMore(20)
	l.stop()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
}

// Guards against a second execution after a reply that was lost.
func TestReplyLostAfterTheEffect(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 4, proxies: true})
	told := map[string][]*fleet.Response{}
	d.Put(d.plain, "/standin/faults", plainFaults(2))
	for i, key := range []string{"", "key-1"} {
		id := fmt.Sprintf("endpoint-%d", i)
		r := booking(d.routers[i], teamName(i), id)
		r.Key = key
		a := d.callUntilRun(r)
		must.Eq(t, outcome.Unknown, a.Outcome.Kind)
		told[id] = append(told[id], a)
	}
	for i, key := range []string{"", "key-2"} {
		id := fmt.Sprintf("network-%d", i)
		d.plainAgent.Proxy.LoseReply(id, 0)
		r := booking(d.routers[i], teamName(i), id)
		r.Key = key
		a := d.callUntilRun(r)
		must.True(t, d.plainAgent.Proxy.ReplyLost())
		must.Eq(t, outcome.Unknown, a.Outcome.Kind)
		told[id] = append(told[id], a)
	}
	for id := range told {
		must.Eq(t, 1, d.bookings()[id], must.Sprintf("booking %s", id))
	}
	d.checkBookings(told)

	// An idempotent request is sent again within the retry budget.
	d.plainAgent.Proxy.LoseReply("lookup-1", 0)
	a := d.callUntilRun(lookup(d.routers[0], teamName(0), "lookup-1"))
	must.True(t, a.Complete(), must.Sprintf("status %d, outcome %+v, error %v", a.Status, a.Outcome, a.Err))
	must.True(t, strings.Contains(a.Body, "lookup-1"))
}
