package e2e

import (
	"fmt"
	"testing"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// Guards against requests of small teams that wait until the queue of a large
// team is empty.
func TestSmallTeamsServedDuringFlood(t *testing.T) {
	t.Parallel()
	const teams, flood, tokens = 9, 200, 40
	d := deploy(t, deployOptions{routers: 2, teams: teams})
	var flooding []*stream
	for i := range flood {
		prompt := fmt.Sprintf("flood %d", i)
		r := completion(d.routers[i%2], teamName(0), prompt, tokens)
		flooding = append(flooding, &stream{Pending: d.Send(r), prompt: prompt, tokens: tokens})
	}
	d.Eventually("half of the flood waits at the owner", func() bool {
		var n uint64
		for _, team := range d.Status(d.Owner(modelService, d.routers...)).GetTeams() {
			n += team.GetWaiting()
		}
		return n >= flood/2
	})
	var small []*fleet.Pending
	for i := 1; i < teams; i++ {
		small = append(small, d.Send(completion(d.routers[i%2], teamName(i), "small team", tokens)))
	}
	for _, p := range small {
		mustComplete(t, "small team", tokens, p.Wait())
	}
	inProgress := 0
	for _, s := range flooding {
		if !s.Done() {
			inProgress++
		}
	}
	// Eight requests of small teams share eight slots with the flood, so only
	// a few rounds of the flood can have ended by now.
	if inProgress < flood/4 {
		t.Fatalf("only %d of %d requests of the flood were in progress after the small teams were served", inProgress, flood)
	}
	for _, s := range flooding {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
}
