package e2e

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// keyed returns a booking whose idempotency key is its id.
func keyed(router *fleet.Process, id string) fleet.Request {
	r := booking(router, teamName(0), id)
	r.Key = id
	return r
}

// race sends a keyed booking to all routers at once and returns the answers.
func (d *deployment) race(id string) []*fleet.Response {
	var pending []*fleet.Pending
	for _, r := range d.routers {
		pending = append(pending, d.Send(keyed(r, id)))
	}
	var answers []*fleet.Response
	for _, p := range pending {
		answers = append(answers, p.Wait())
	}
	return answers
}

// Guards against a key that two routers dispatch when they get it at once, and
// against a router that forgets the claims of before its restart.
func TestKeyAtTwoRoutersAndAfterRestart(t *testing.T) {
	t.Parallel()
	const keys = 10
	d := deploy(t, setup{routers: 2, teams: 1})
	told := map[string][]*fleet.Response{}
	for i := range keys {
		id := fmt.Sprintf("key-%d", i)
		d.callUntilRun(keyed(d.routers[i%2], "warm-up-"+id))
		told[id] = d.race(id)
	}
	checkOneWhole(t, told)
	d.checkBookings(told)

	d.routers[0].Kill()
	d.routers[0].Start()
	d.awaitSettled(1)
	for id := range told {
		a := d.callUntilRun(keyed(d.routers[0], id))
		must.Eq(t, 409, a.Status, must.Sprintf("booking %s: outcome %+v, error %v", id, a.Outcome, a.Err))
		must.Eq(t, outcome.Unknown, a.Outcome.Kind)
		told[id] = append(told[id], a)
	}
	d.checkBookings(told)
}

// checkOneWhole checks that one caller of each booking got the answer and the
// others were told that it may have run.
func checkOneWhole(t *testing.T, told map[string][]*fleet.Response) {
	t.Helper()
	for id, answers := range told {
		whole := 0
		for _, a := range answers {
			if a.Complete() {
				whole++
				continue
			}
			must.Eq(t, outcome.Unknown, a.Outcome.Kind, must.Sprintf("booking %s: status %d, error %v", id, a.Status, a.Err))
		}
		must.Eq(t, 1, whole, must.Sprintf("booking %s", id))
	}
}

// Guards against a keyed booking that runs unclaimed or twice while the log is
// out, silent or loses requests and replies, and against keys that stay
// claimed by requests that were told not-run.
func TestKeyDuringLogFaults(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 1, routerArgs: []string{"-key-timeout", "1s"}})
	told := map[string][]*fleet.Response{"before": d.race("before")}
	faults := map[string]logservice.Faults{
		"outage":         {Outage: true},
		"refused":        {Refuse: true},
		"silence":        {Hang: true},
		"dropped":        {DropAppends: 2},
		"lost-replies":   {LoseAppendReplies: 2},
		"slow":           {DelayMS: 400},
		"slow-and-lossy": {DelayMS: 400, LoseAppendReplies: 1, DropAppends: 1},
	}
	for name, f := range faults {
		d.callUntilRun(keyed(d.routers[0], "warm-up-0-"+name))
		d.callUntilRun(keyed(d.routers[1], "warm-up-1-"+name))
		d.Put(d.Log, "/standin/faults", f)
		told[name] = d.race(name)
		told["before"] = append(told["before"], d.race("before")...)
		d.checkBookings(told)
		if f.Outage || f.Refuse || f.Hang {
			must.Eq(t, 0, d.bookings()[name], must.Sprintf("%s ran unclaimed", name))
		}
		d.Put(d.Log, "/standin/faults", logservice.Faults{})
	}
	for name := range told {
		// A release of a claim whose record turned up late may still be under
		// way, so a caller may be told "unknown" before the key is free.
		d.Eventually(name+" runs", func() bool {
			told[name] = append(told[name], d.race(name)...)
			return d.bookings()[name] == 1
		})
	}
	d.checkBookings(told)
}

// Guards against a key that stays claimed by a request that certainly did not
// run: the caller was told that it may send it again.
func TestKeyIsFreeAfterNotRun(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 2, teams: 1, routerArgs: []string{"-queue-timeout", "1s"}})
	d.plainAgent.Stop()
	told := map[string][]*fleet.Response{"freed": d.race("freed")}
	notRun := 0
	for _, a := range told["freed"] {
		must.False(t, a.Complete())
		if a.Outcome.Kind == outcome.NotRun {
			notRun++
		}
	}
	must.Positive(t, notRun)
	d.plainAgent.Start()
	d.awaitSettled(1)
	for _, r := range []*fleet.Process{d.routers[1], d.routers[0]} {
		told["freed"] = append(told["freed"], d.callUntilRun(keyed(r, "freed")))
	}
	must.True(t, told["freed"][2].Complete(), must.Sprintf("outcome %+v", told["freed"][2].Outcome))
	must.Eq(t, 409, told["freed"][3].Status)
	d.checkBookings(told)
}
