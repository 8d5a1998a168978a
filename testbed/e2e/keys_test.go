package e2e

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// keyedBooking returns a booking whose idempotency key is its ID.
func keyedBooking(router *fleet.Process, id string) fleet.Request {
	r := booking(router, teamName(0), id)
	r.Key = id
	return r
}

// callAllRouters sends a keyed booking to all routers at the same time and
// returns the responses.
func (d *deployment) callAllRouters(id string) []*fleet.Response {
	var pending []*fleet.Pending
	for _, r := range d.routers {
		pending = append(pending, d.Send(keyedBooking(r, id)))
	}
	var responses []*fleet.Response
	for _, p := range pending {
		responses = append(responses, p.Wait())
	}
	return responses
}

// Guards against a key that is dispatched by two routers that receive it at the
// same time, and against a router that loses its claims in a restart.
func TestKeyClaimedOnceAcrossRoutersAndRestart(t *testing.T) {
	t.Parallel()
	const keys = 10
	d := deploy(t, deployOptions{routers: 2, teams: 1})
	responsesByID := map[string][]*fleet.Response{}
	for i := range keys {
		id := fmt.Sprintf("key-%d", i)
		d.callWithRetry(keyedBooking(d.routers[i%2], "warm-up-"+id))
		responsesByID[id] = d.callAllRouters(id)
	}
	checkOneComplete(t, responsesByID)
	d.checkBookings(responsesByID)

	d.routers[0].Kill()
	d.routers[0].Start()
	d.awaitConverged(1)
	for id := range responsesByID {
		resp := d.callWithRetry(keyedBooking(d.routers[0], id))
		must.Eq(t, 409, resp.Status, must.Sprintf("booking %s: outcome %+v, error %v", id, resp.Outcome, resp.Err))
		must.Eq(t, outcome.Unknown, resp.Outcome.Kind)
		responsesByID[id] = append(responsesByID[id], resp)
	}
	d.checkBookings(responsesByID)
}

// checkOneComplete checks that for each booking one caller received the complete
// response and all others received the outcome unknown.
func checkOneComplete(t *testing.T, responsesByID map[string][]*fleet.Response) {
	t.Helper()
	for id, responses := range responsesByID {
		complete := 0
		for _, resp := range responses {
			if resp.Complete() {
				complete++
				continue
			}
			must.Eq(t, outcome.Unknown, resp.Outcome.Kind, must.Sprintf("booking %s: status %d, error %v", id, resp.Status, resp.Err))
		}
		must.Eq(t, 1, complete, must.Sprintf("booking %s", id))
	}
}

// Guards against a keyed booking that runs without a claim or twice while the log
// is unavailable, hangs, or loses requests and replies, and against keys that
// stay claimed after a request with the outcome not-run.
func TestKeyDuringLogFaults(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 1, routerArgs: []string{"-key-timeout", "1s"}})
	responsesByID := map[string][]*fleet.Response{"before": d.callAllRouters("before")}
	faults := map[string]logservice.Faults{
		"outage":         {Outage: true},
		"refused":        {Refuse: true},
		"hang":           {Hang: true},
		"dropped":        {DropAppends: 2},
		"lost-replies":   {LoseAppendReplies: 2},
		"slow":           {DelayMS: 400},
		"slow-and-lossy": {DelayMS: 400, LoseAppendReplies: 1, DropAppends: 1},
	}
	for name, f := range faults {
		d.callWithRetry(keyedBooking(d.routers[0], "warm-up-0-"+name))
		d.callWithRetry(keyedBooking(d.routers[1], "warm-up-1-"+name))
		d.Put(d.Log, "/standin/faults", f)
		responsesByID[name] = d.callAllRouters(name)
		responsesByID["before"] = append(responsesByID["before"], d.callAllRouters("before")...)
		d.checkBookings(responsesByID)
		if f.Outage || f.Refuse || f.Hang {
			must.Eq(t, 0, d.bookings()[name], must.Sprintf("%s ran unclaimed", name))
		}
		d.Put(d.Log, "/standin/faults", logservice.Faults{})
	}
	for name := range responsesByID {
		// The release of a claim whose record was written late may still be in
		// progress, so callers may get the outcome unknown until the key is free.
		d.Eventually(name+" runs", func() bool {
			responsesByID[name] = append(responsesByID[name], d.callAllRouters(name)...)
			return d.bookings()[name] == 1
		})
	}
	d.checkBookings(responsesByID)
}

// Guards against a key that stays claimed by a request with the outcome not-run,
// which the caller may send again.
func TestKeyReleasedAfterNotRun(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 2, teams: 1, routerArgs: []string{"-queue-timeout", "1s"}})
	d.plainAgent.Stop()
	responsesByID := map[string][]*fleet.Response{"freed": d.callAllRouters("freed")}
	notRun := 0
	for _, resp := range responsesByID["freed"] {
		must.False(t, resp.Complete())
		if resp.Outcome.Kind == outcome.NotRun {
			notRun++
		}
	}
	must.Positive(t, notRun)
	d.plainAgent.Start()
	d.awaitConverged(1)
	for _, r := range []*fleet.Process{d.routers[1], d.routers[0]} {
		responsesByID["freed"] = append(responsesByID["freed"], d.callWithRetry(keyedBooking(r, "freed")))
	}
	must.True(t, responsesByID["freed"][2].Complete(), must.Sprintf("outcome %+v", responsesByID["freed"][2].Outcome))
	must.Eq(t, 409, responsesByID["freed"][3].Status)
	d.checkBookings(responsesByID)
}
