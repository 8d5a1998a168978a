package e2e

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// Guards against requests that run twice, end or never start when the queue
// owner and an agent crash together.
func TestQueueOwnerAndAgentKilledTogether(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 3, teams: 4, plainArgs: []string{"-service-time", "1s"}})
	victim := d.Owner(plainService, d.routers...)
	rest := d.others(victim)
	running := d.openStreams(rest[0], 2, longStream)
	pending := map[string]*fleet.Pending{}
	// Twice as many bookings as slots, so that half of them wait at the owner.
	for i := range 2 * plainSlots {
		id := fmt.Sprintf("both-%d", i)
		pending[id] = d.Send(booking(rest[i%2], teamName(i%4), id))
	}
	d.Eventually("the bookings run", func() bool { return len(d.bookings()) >= plainSlots })
	victim.Kill()
	d.plainAgent.Kill()
	d.plainAgent.Start()
	told := map[string][]*fleet.Response{}
	unknown := 0
	for id, p := range pending {
		a := p.Wait()
		told[id] = append(told[id], a)
		if a.Outcome.Kind == outcome.Unknown {
			unknown++
			continue
		}
		must.True(t, a.Complete(), must.Sprintf("booking %s: status %d, outcome %+v, error %v", id, a.Status, a.Outcome, a.Err))
	}
	must.Positive(t, unknown)
	d.checkBookings(told)
	for _, s := range running {
		mustWhole(t, s.prompt, s.tokens, s.Wait())
	}
	mustServe(d, rest...)
	victim.Start()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
	d.checkBookings(told)
}

// Guards against a queue that needs the log to find its next owner, and
// against keyed bookings that run unclaimed meanwhile.
func TestLogOutWhileTheQueueOwnerIsKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 3, teams: 4})
	victim := d.Owner(modelService, d.routers...)
	rest := d.others(victim)
	d.Put(d.Log, "/standin/faults", logservice.Faults{Hang: true})
	running := append(d.openStreams(rest[0], modelSlots, longStream), d.openStreams(rest[1], modelSlots, longStream)...)
	// All slots are taken, so this one waits at the owner when it crashes.
	prompt := "waits during both faults"
	waiting := d.Send(completion(rest[0], teamName(0), prompt, 5))
	victim.Kill()
	for _, s := range running {
		mustWhole(t, s.prompt, s.tokens, s.Wait())
	}
	mustWhole(t, prompt, 5, waiting.Wait())
	mustServe(d, rest...)
	a := d.Call(keyed(rest[0], "claimed"))
	must.Eq(t, outcome.NotRun, a.Outcome.Kind)
	must.Eq(t, 0, d.bookings()["claimed"])
	// The owner comes back while the log is still out.
	victim.Start()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
	d.Put(d.Log, "/standin/faults", logservice.Faults{})
	a = d.callUntilRun(keyed(victim, "claimed"))
	must.True(t, a.Complete(), must.Sprintf("status %d, outcome %+v, error %v", a.Status, a.Outcome, a.Err))
	must.Eq(t, 1, d.bookings()["claimed"])
}

// Guards against requests that are lost when the next queue owner crashes as
// well, before or after it has rebuilt the queue.
func TestQueueOwnerKilledTwice(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 4, teams: 4})
	first := d.Owner(modelService, d.routers...)
	// The router that becomes the owner isn't known yet, so callers use all
	// routers and those of a crashed one are left out.
	streams := map[*fleet.Process][]*stream{}
	for _, r := range d.others(first) {
		streams[r] = d.openStreams(r, 2, longStream)
		prompt := "waits at " + r.Name
		streams[r] = append(streams[r], &stream{Pending: d.Send(completion(r, teamName(1), prompt, 5)), prompt: prompt, tokens: 5})
	}
	first.Kill()
	rest := d.others(first)
	var second *fleet.Process
	d.Eventually("another router owns the queue", func() bool {
		second = d.Owner(modelService, rest...)
		return second != nil
	})
	second.Kill()
	rest = slices.DeleteFunc(rest, func(r *fleet.Process) bool { return r == second })
	for _, r := range rest {
		for _, s := range streams[r] {
			mustWhole(t, s.prompt, s.tokens, s.Wait())
		}
	}
	mustServe(d, rest...)
	first.Start()
	second.Start()
	d.awaitSettled(1)
	mustServe(d, d.routers...)
}

// Guards against sides of a partition that need the log to serve, and against
// a rejoin that needs it, when the fleet is parted twice while the log is out.
func TestPartedTwiceWhileTheLogIsOut(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 2, proxies: true})
	sides := [][]*fleet.Process{
		{d.routers[0], d.modelAgents[0]},
		{d.routers[1], d.modelAgents[1], d.plainAgent},
	}
	d.Put(d.Log, "/standin/faults", logservice.Faults{Hang: true})
	for round := range 2 {
		d.Partition(sides[0], sides[1])
		d.Eventually("each side has its own owner", func() bool {
			return d.Owner(modelService, d.routers[0]) != nil && d.Owner(modelService, d.routers[1]) != nil
		})
		for i, r := range d.routers {
			prompt := fmt.Sprintf("apart %d at side %d", round, i)
			mustWhole(t, prompt, 20, d.callUntilRun(completion(r, teamName(i), prompt, 20)))
		}
		d.Heal()
		d.awaitSettled(1)
		mustServe(d, d.routers...)
	}
	d.Put(d.Log, "/standin/faults", logservice.Faults{})
	d.objects.Shares[0].Weight = 33
	d.Publish(d.objects)
	d.awaitVersion(2, d.routers...)
}
