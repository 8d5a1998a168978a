package e2e

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
	"github.com/acaciaspar/acaciaspar/testbed/standin/plainservice"
)

func plainFaults(loseReplies int) plainservice.Faults {
	return plainservice.Faults{LoseReplies: loseReplies}
}

// Guards against processes that wait forever on stalled connections although new
// connections work.
func TestStalledConnections(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4, proxies: true})
	streams := d.openStreams(d.routers[0], 2, longStreamTokens)
	for _, p := range append(append([]*fleet.Process{d.plainAgent}, d.modelAgents...), d.routers...) {
		p.Proxy.StallExisting()
	}
	for _, s := range streams {
		checkStream(t, s.prompt, s.tokens, s.Wait())
	}
	d.awaitIdleEngines()
	d.awaitConverged(1)
	mustServe(d, d.routers...)
}

// Guards against a side of a partition that stops serving, and against charges
// that are lost or two queue owners that remain after the partition heals.
func TestPartitionAndHeal(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 2, proxies: true})
	sides := [][]*fleet.Process{
		{d.routers[0], d.modelAgents[0]},
		{d.routers[1], d.modelAgents[1], d.plainAgent},
	}
	var want uint64
	serve := func(router *fleet.Process, phase string) {
		for i := range 5 {
			prompt := fmt.Sprintf("%s %s %d", phase, router.Name, i)
			resp := d.callWithRetry(completion(router, teamName(0), prompt, 20))
			mustComplete(t, prompt, 20, resp)
			want += totalTokens(t, resp)
		}
	}
	serve(d.routers[0], "before")
	d.Partition(sides[0], sides[1])
	d.Eventually("each side has its own queue owner", func() bool {
		return d.Owner(modelService, d.routers[0]) != nil && d.Owner(modelService, d.routers[1]) != nil
	})
	serve(d.routers[0], "partitioned")
	serve(d.routers[1], "partitioned")

	d.ClearRules()
	d.awaitConverged(1)
	serve(d.routers[0], "healed")
	serve(d.routers[1], "healed")
	d.Eventually("the owner has received all charges", func() bool {
		for _, team := range d.Status(d.Owner(modelService, d.routers...)).GetTeams() {
			if team.GetService() == modelService && team.GetTeam() == teamName(0) {
				return team.GetCost() == want
			}
		}
		return false
	})
	must.Eq(t, 0, len(d.bookings()))
}

// Guards against a fleet that needs the log to serve, a restarted router that
// gets no configuration without the log, and a keyed booking that runs without a
// claim.
func TestRouterRestartDuringLogOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 3, teams: 4})
	d.Put(d.Log, "/standin/faults", logservice.Faults{Outage: true})
	d.routers[0].Stop()
	d.routers[0].Start()
	d.awaitConverged(1)
	mustServe(d, d.routers...)

	keyed := booking(d.routers[0], teamName(0), "keyed")
	keyed.Key = "key-1"
	resp := d.Call(keyed)
	must.Eq(t, 503, resp.Status)
	must.Eq(t, "not-run", string(resp.Outcome.Kind))
	must.Eq(t, 0, d.bookings()["keyed"])
	d.objects.Shares[0].Weight = 77
	result := d.RunPublish(d.WriteObjects(d.objects))
	must.NotEq(t, 0, result.Code)

	d.Put(d.Log, "/standin/faults", logservice.Faults{DelayMS: 500})
	d.Publish(d.objects)
	d.awaitVersion(2, d.routers...)
	resp = d.callWithRetry(keyed)
	must.True(t, resp.Complete(), must.Sprintf("status %d, outcome %+v, error %v", resp.Status, resp.Outcome, resp.Err))
	must.Eq(t, 1, d.bookings()["keyed"])
}
