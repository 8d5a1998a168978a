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

// Guards against requests that run twice, fail or never start when the queue
// owner and an agent crash at the same time.
func TestQueueOwnerAndAgentCrashTogether(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4, plainArgs: []string{"-service-time", "1s"}})
	killed := d.Owner(plainService, d.routers...)
	remaining := d.otherRouters(killed)
	running := d.openStreams(remaining[0], 2, longStreamTokens)
	pending := map[string]*fleet.Pending{}
	// There are twice as many bookings as slots, so half of them wait at the owner.
	for i := range 2 * plainSlots {
		id := fmt.Sprintf("both-%d", i)
		pending[id] = d.Send(booking(remaining[i%2], teamName(i%4), id))
	}
	d.Eventually("the bookings run", func() bool { return len(d.bookings()) >= plainSlots })
	killed.Kill()
	d.plainAgent.Kill()
	d.plainAgent.Start()
	responsesByID := map[string][]*fleet.Response{}
	unknown := 0
	for id, p := range pending {
		resp := p.Wait()
		responsesByID[id] = append(responsesByID[id], resp)
		if resp.Outcome.Kind == outcome.Unknown {
			unknown++
			continue
		}
		must.True(t, resp.Complete(), must.Sprintf("booking %s: status %d, outcome %+v, error %v", id, resp.Status, resp.Outcome, resp.Err))
	}
	must.Positive(t, unknown)
	d.checkBookings(responsesByID)
	for _, s := range running {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	mustServe(d, remaining...)
	killed.Start()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
	d.checkBookings(responsesByID)
}

// Guards against a queue whose ownership can't change without the log, and
// against keyed bookings that run without a claim during the outage.
func TestQueueOwnerCrashDuringLogOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4})
	killed := d.Owner(modelService, d.routers...)
	remaining := d.otherRouters(killed)
	d.Put(d.Log, "/standin/faults", logservice.Faults{Hang: true})
	running := append(d.openStreams(remaining[0], modelSlots, longStreamTokens), d.openStreams(remaining[1], modelSlots, longStreamTokens)...)
	// All slots are occupied, so this request waits at the owner when it crashes.
	prompt := "waits during both faults"
	waiting := d.Send(completion(remaining[0], teamName(0), prompt, 5))
	killed.Kill()
	for _, s := range running {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	mustComplete(t, prompt, 5, waiting.Wait())
	mustServe(d, remaining...)
	resp := d.Call(keyedBooking(remaining[0], "claimed"))
	must.Eq(t, outcome.NotRun, resp.Outcome.Kind)
	must.Eq(t, 0, d.bookings()["claimed"])
	// The owner restarts while the log is still unavailable.
	killed.Start()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
	d.Put(d.Log, "/standin/faults", logservice.Faults{})
	resp = d.callWithRetry(keyedBooking(killed, "claimed"))
	must.True(t, resp.Complete(), must.Sprintf("status %d, outcome %+v, error %v", resp.Status, resp.Outcome, resp.Err))
	must.Eq(t, 1, d.bookings()["claimed"])
}

// Guards against requests that are lost when the next queue owner crashes too,
// before or after it has rebuilt the queue.
func TestTwoQueueOwnerCrashes(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 4, teams: 4})
	first := d.Owner(modelService, d.routers...)
	// The next owner isn't known yet, so requests are sent to all remaining
	// routers; those sent to the router that crashes are not checked.
	streams := map[*fleet.Process][]*stream{}
	for _, r := range d.otherRouters(first) {
		streams[r] = d.openStreams(r, 2, longStreamTokens)
		prompt := "waits at " + r.Name
		streams[r] = append(streams[r], &stream{Pending: d.Send(completion(r, teamName(1), prompt, 5)), prompt: prompt, tokens: 5})
	}
	first.Kill()
	remaining := d.otherRouters(first)
	var second *fleet.Process
	d.Eventually("another router owns the queue", func() bool {
		second = d.Owner(modelService, remaining...)
		return second != nil
	})
	second.Kill()
	remaining = slices.DeleteFunc(remaining, func(r *fleet.Process) bool { return r == second })
	for _, r := range remaining {
		for _, s := range streams[r] {
			mustComplete(t, s.prompt, s.tokens, s.Wait())
		}
	}
	mustServe(d, remaining...)
	first.Start()
	second.Start()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
}

// Guards against partitioned routers that serve only if the log is available, and
// against a fleet that doesn't converge without it after a partition has healed.
func TestTwoPartitionsDuringLogOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 2, proxies: true})
	sides := [][]*fleet.Process{
		{d.routers[0], d.modelAgents[0]},
		{d.routers[1], d.modelAgents[1], d.plainAgent},
	}
	d.Put(d.Log, "/standin/faults", logservice.Faults{Hang: true})
	for round := range 2 {
		d.Partition(sides[0], sides[1])
		d.Eventually("each side has its own queue owner", func() bool {
			return d.Owner(modelService, d.routers[0]) != nil && d.Owner(modelService, d.routers[1]) != nil
		})
		for i, r := range d.routers {
			prompt := fmt.Sprintf("apart %d at side %d", round, i)
			mustComplete(t, prompt, 20, d.callWithRetry(completion(r, teamName(i), prompt, 20)))
		}
		d.ClearRules()
		d.awaitConverged(1)
		mustServe(d, d.routers...)
	}
	d.Put(d.Log, "/standin/faults", logservice.Faults{})
	d.objects.Shares[0].Weight = 33
	d.Publish(d.objects)
	d.awaitVersion(2, d.routers...)
}
