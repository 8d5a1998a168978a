package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
)

// Guards against a path from caller to agent and back that loses the body, the
// query, headers, status or trail of a request.
func TestAnswerPassesThrough(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, eachTo(agent.address))
	got := b.post("/post-desk/label?size=a6", "harbour-token", "parcel", "X-Note", "n1", costHintHeader, "9000")
	must.NoError(t, got.failure)
	must.Eq(t, 201, got.status)
	must.Eq(t, "harbour:parcel", got.body)
	must.Eq(t, "press", got.header.Get("X-Endpoint"))
	must.Eq(t, "", got.header.Get(outcome.Header))

	sent := agent.first()
	must.Eq(t, got.header.Get(outcome.RequestHeader), sent.Request)
	must.Eq(t, "/label?size=a6", sent.URI)
	must.Eq(t, "POST", sent.Method)
	must.Eq(t, "n1", sent.Forwarded.Get("X-Note"))
	must.Eq(t, "", sent.Forwarded.Get("Authorization"))
	must.Eq(t, uint64(100), sent.Hint)
	must.Eq(t, uint64(3), sent.Weight)

	eventually(t, "the request has ended", func() bool { return b.counter("entry.outcome.finished") == 1 })
	lines := b.trails.Lines(sent.Request)
	must.SliceLen(t, 6, lines)
	must.StrContains(t, lines[5], `"event":"finished"`)
	must.StrContains(t, lines[5], `"cost":"7"`)
}

// Guards against an answer without a body for the caller that is taken for a
// caller that is gone, although the agent sends one.
func TestAnswerWithoutBody(t *testing.T) {
	agent := newAgent(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "text") })
	b := newBench(t, eachTo(agent.address))
	req, err := http.NewRequest(http.MethodHead, b.front.URL+"/post-desk/stock", nil)
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer harbour-token")
	resp, err := b.client.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 200, resp.StatusCode)
	eventually(t, "the request has ended", func() bool { return b.counter("entry.outcome.finished") == 1 })
	must.Eq(t, "HEAD", agent.first().Method)
}

// Guards against an answer that reaches another caller, with many callers at
// once, duplicated dispatches, refusals and cut attempts.
func TestAnswersAreNotCrossed(t *testing.T) {
	var calls atomic.Int64
	agent := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); {
		case n%5 == 0:
			says(outcome.NotRun, 503)(w, r)
		case n%97 == 0:
			cut(w, r)
		default:
			echo(w, r)
		}
	})
	b := newBench(t, eachTo(agent.address))
	b.owner.set(func() { b.owner.copies = 2 })
	var wg sync.WaitGroup
	var answered atomic.Int64
	for caller := range 40 {
		team := []string{"harbour", "quarry"}[caller%2]
		wg.Go(func() {
			for n := range 10 {
				body := strings.Repeat(fmt.Sprintf("%d.%d;", caller, n), 1+700*(n%2))
				got := b.post("/post-desk/label", team+"-token", body)
				if got.failure == nil && got.status == 201 {
					test.Eq(t, team+":"+body, got.body)
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	must.Greater(t, 300, answered.Load())
	must.Eq(t, b.counter("entry.requests"), answered.Load()+b.counter("entry.outcome.unknown")+b.counter("entry.outcome.not-run"))
	eventually(t, "all requests are forgotten", func() bool { return len(b.server.Status()) == 0 })
	must.MapEmpty(t, b.server.teams)
	must.Zero(t, b.server.held)
}

// Guards against requeues that are used up before the owner has stopped
// granting the tokens of an agent that is gone, which takes it 1.5 s.
func TestRequeuesOutlastLostTokens(t *testing.T) {
	var total time.Duration
	for attempt := range uint32(lifecycle.MaxRequeues) {
		total += nextDelay(attempt + 2)
	}
	must.Greater(t, 1500*time.Millisecond, total)
	must.Eq(t, maxRequeueDelay, nextDelay(1000))
}

// Guards against a request that is sent once per delivery of its dispatch.
func TestDuplicateDispatch(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, eachTo(agent.address))
	b.owner.set(func() { b.owner.copies = 3 })
	must.Eq(t, 201, b.post("/post-desk/label", "harbour-token", "x").status)
	must.Eq(t, 1, agent.calls.Load())
}

// Guards against a second token for a request in progress, and against an
// assignment for another service or attempt.
func TestDispatchOfARequestThatDoesNotWait(t *testing.T) {
	release := make(chan struct{})
	agent := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	b := newBench(t, func(ticket *fleetpb.Ticket) string {
		if ticket.Team == "quarry" {
			return ""
		}
		return agent.address
	})
	done, waits := make(chan reply, 1), make(chan reply, 1)
	go func() { done <- b.post("/post-desk/label", "harbour-token", "x") }()
	go func() { waits <- b.post("/post-desk/label", "quarry-token", "x") }()
	eventually(t, "one request runs and one waits", func() bool {
		return agent.calls.Load() == 1 && len(b.server.Status()) == 2
	})
	must.Eq(t, []TeamCount{
		{Service: "post-desk", Team: "harbour", InProgress: 1},
		{Service: "post-desk", Team: "quarry", Waiting: 1},
	}, b.server.Status())
	id := agent.first().Request
	var waiting string
	eventually(t, "the owner has the ticket", func() bool {
		b.owner.mu.Lock()
		defer b.owner.mu.Unlock()
		for request := range b.owner.waiting {
			if request != id {
				waiting = request
			}
		}
		return waiting != ""
	})
	grant := func(request string, attempt uint32, token, address string) *fleetpb.Assignment {
		return &fleetpb.Assignment{Request: request, Attempt: attempt, SlotToken: token, AgentAddress: address, Weight: 1}
	}
	in := &fleetpb.DispatchRequest{Sender: b.owner.caller.Sender(), Service: "post-desk", Assignments: []*fleetpb.Assignment{
		grant(id, 1, "other", agent.address),
		grant(id, 2, "other", agent.address),
		grant("nobody", 1, "other", agent.address),
		grant(id, 1, "token-1", agent.address),
		grant(id, 1, "token-1", "no address"),
		grant(waiting, 2, "other", agent.address),
		grant(waiting, 1, "other", agent.address),
	}}
	got, err := b.server.Dispatch(context.Background(), in)
	must.NoError(t, err)
	gone, accepted := fleetpb.DispatchResult_DISPATCH_RESULT_GONE, fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED
	must.Eq(t, []fleetpb.DispatchResult{gone, gone, gone, accepted, gone, gone, accepted}, got.Results)
	in.Sender.Fleet = "another"
	_, err = b.server.Dispatch(context.Background(), in)
	must.Error(t, err)
	close(release)
	must.Eq(t, 201, (<-done).status)
	must.Eq(t, 201, (<-waits).status)
	must.Eq(t, 2, agent.calls.Load())
}

// Guards against a request that is never dispatched because its ticket or its
// dispatch was lost: the full sync brings the ticket back.
func TestLostDispatch(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, eachTo(agent.address))
	lost := 0
	b.owner.set(func() {
		b.owner.pick = func(ticket *fleetpb.Ticket) string {
			lost++
			if lost < 3 {
				// The owner drops the ticket when its dispatch has no reply.
				delete(b.owner.waiting, ticket.Request)
				return ""
			}
			return agent.address
		}
	})
	must.Eq(t, 201, b.post("/post-desk/label", "harbour-token", "x").status)
	eventually(t, "the owner hears that nothing waits", func() bool {
		b.owner.mu.Lock()
		defer b.owner.mu.Unlock()
		return b.owner.empties == 1
	})
	eventually(t, "the exchange stops", func() bool {
		b.server.mu.Lock()
		defer b.server.mu.Unlock()
		return !b.server.links["post-desk"].running
	})
}

// Guards against periodic messages that list every waiting ticket, and against
// an owner that isn't repaired after it lost one.
func TestSyncByDigest(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, nowhere)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { test.Eq(t, 201, b.post("/post-desk/label", "harbour-token", "x").status) })
	}
	eventually(t, "all tickets wait", func() bool { return b.owner.waits() == 10 })
	var fulls, messages int
	b.owner.set(func() { fulls, messages = b.owner.fulls, b.owner.messages })
	eventually(t, "more digests have come", func() bool {
		b.owner.mu.Lock()
		defer b.owner.mu.Unlock()
		return b.owner.messages > messages+5
	})
	b.owner.set(func() {
		must.Eq(t, fulls, b.owner.fulls)
		for id := range b.owner.waiting {
			delete(b.owner.waiting, id)
			break
		}
	})
	eventually(t, "the lost ticket is back", func() bool { return b.owner.waits() == 10 })
	b.owner.set(func() {
		must.Eq(t, fulls+1, b.owner.fulls)
		b.owner.pick = eachTo(agent.address)
		clear(b.owner.waiting)
	})
	wg.Wait()
}

// Guards against tickets that stay unknown because the message that carried
// them was lost and the next one carries only a digest.
func TestLostTicketsAreRepaired(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, eachTo(agent.address))
	b.owner.set(func() { b.owner.forget = true })
	must.Eq(t, 201, b.post("/post-desk/label", "harbour-token", "x").status)
	must.Positive(t, b.counter("entry.full_syncs"))
}

// Guards against one message per request during a burst: requests that arrive
// while a message is in flight share the next one.
func TestBurstSharesMessages(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, eachTo(agent.address), func(o *Options) { o.Limits.SyncInterval = time.Hour })
	hold := make(chan struct{})
	b.owner.set(func() { b.owner.hold = hold })
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { test.Eq(t, 201, b.post("/post-desk/label", "harbour-token", "x").status) })
	}
	eventually(t, "all requests wait", func() bool {
		status := b.server.Status()
		return len(status) == 1 && status[0].Waiting == 100
	})
	close(hold)
	wg.Wait()
	b.owner.set(func() { must.LessEq(t, 3, b.owner.messages) })
}

// Guards against behaviour that holds for callers with HTTP/1.1 only.
func TestCallersWithHTTP2(t *testing.T) {
	agent := newAgent(t, echo, cutAfter("text/html", "<p>"), hang)
	b := newBench(t, eachTo(agent.address), func(o *Options) { o.Limits.BodyTimeout = time.Second })
	b.client = fleethttp.NewClient(nil)
	got := b.post("/post-desk/label", "harbour-token", "x")
	must.NoError(t, got.failure)
	must.Eq(t, "harbour:x", got.body)
	must.Error(t, b.post("/post-desk/label", "harbour-token", "x").failure)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() { done <- b.postContext(ctx, "/post-desk/label", "harbour-token", strings.NewReader("x")) }()
	eventually(t, "the agent has the request", func() bool { return agent.calls.Load() == 3 })
	cancel()
	must.Error(t, (<-done).failure)
	eventually(t, "the request is cancelled", func() bool { return b.counter("entry.outcome.cancelled") == 1 })

	never, writer := io.Pipe()
	defer writer.Close()
	mustOutcome(t, b.postContext(context.Background(), "/post-desk/label", "harbour-token", never), 408, outcome.NotRun)
}

// Guards against tickets that stay with an owner that is gone or wrong.
func TestOwnerChange(t *testing.T) {
	agent := newAgent(t, echo)
	for _, how := range []string{"by the view", "by the reply"} {
		t.Run(how, func(t *testing.T) {
			b := newBench(t, nowhere, func(o *Options) {
				if how == "by the view" {
					// The periodic sync must not be what brings the ticket over.
					o.Limits.SyncInterval = time.Hour
				}
			})
			second := newOwner(t, b.owner.caller, b.owner.entry, eachTo(agent.address))
			done := make(chan reply, 1)
			go func() { done <- b.post("/post-desk/label", "harbour-token", "x") }()
			eventually(t, "the first owner has the ticket", func() bool { return b.owner.waits() == 1 })
			if how == "by the view" {
				b.moveTo(second)
			} else {
				b.owner.set(func() { b.owner.named = second.address })
			}
			must.Eq(t, 201, (<-done).status)
		})
	}
}

// Guards against work that goes on after its caller is gone, waiting or running.
func TestCallerGone(t *testing.T) {
	t.Run("waiting", func(t *testing.T) {
		keys := &fakeKeys{result: idemkey.Result{Verdict: idemkey.Won}}
		b := newBench(t, nowhere, func(o *Options) {
			o.Keys = keys
			o.Limits.SyncInterval = time.Hour
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan reply, 1)
		go func() {
			done <- b.postContext(ctx, "/post-desk/label", "harbour-token", strings.NewReader("x"), keyHeader, "k")
		}()
		eventually(t, "the owner has the ticket", func() bool { return b.owner.waits() == 1 })
		cancel()
		must.Error(t, (<-done).failure)
		eventually(t, "the ticket is withdrawn", func() bool {
			b.owner.mu.Lock()
			defer b.owner.mu.Unlock()
			return len(b.owner.withdrawn) == 1
		})
		eventually(t, "the key is free", func() bool {
			keys.mu.Lock()
			defer keys.mu.Unlock()
			return len(keys.released) == 1
		})
	})
	for name, handler := range map[string]http.HandlerFunc{"sending": hang, "started": hangAfter} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			agent := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
				handler(w, r)
				close(ended)
			})
			b := newBench(t, eachTo(agent.address))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan reply, 1)
			go func() { done <- b.postContext(ctx, "/post-desk/stock", "harbour-token", strings.NewReader("x")) }()
			eventually(t, "the agent has the request", func() bool { return agent.calls.Load() == 1 })
			cancel()
			must.Error(t, (<-done).failure)
			<-ended
			eventually(t, "the request is cancelled", func() bool { return b.counter("entry.outcome.cancelled") == 1 })
			must.Eq(t, 1, agent.calls.Load())
		})
	}
}

// Guards against a shutdown that interrupts requests, takes new ones or never ends.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	agent := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	b := newBench(t, eachTo(agent.address))
	done := make(chan reply, 1)
	go func() { done <- b.post("/post-desk/label", "harbour-token", "x") }()
	eventually(t, "the agent has the request", func() bool { return agent.calls.Load() == 1 })
	drained := make(chan error, 1)
	go func() { drained <- b.server.Drain(context.Background()) }()
	eventually(t, "the router drains", b.server.Draining)
	o := mustOutcome(t, b.post("/post-desk/label", "harbour-token", "x"), 503, outcome.NotRun)
	must.Eq(t, 1, o.RetryAfterSeconds)
	close(release)
	must.NoError(t, <-drained)
	must.Eq(t, 201, (<-done).status)
}

// Guards against a drain timeout that leaves callers without an outcome, and
// against not-run for a request that may have run.
func TestDrainTimeout(t *testing.T) {
	agent := newAgent(t, hang)
	b := newBench(t, func(ticket *fleetpb.Ticket) string {
		if ticket.Operation == "label" {
			return agent.address
		}
		return ""
	})
	label, stock := make(chan reply, 1), make(chan reply, 1)
	go func() { label <- b.post("/post-desk/label", "harbour-token", "x") }()
	go func() { stock <- b.post("/post-desk/stock", "harbour-token", "x") }()
	eventually(t, "one request runs and one waits", func() bool {
		return agent.calls.Load() == 1 && b.owner.waits() == 1
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	must.ErrorIs(t, b.server.Drain(ctx), context.Canceled)
	mustOutcome(t, <-label, 502, outcome.Unknown)
	mustOutcome(t, <-stock, 503, outcome.NotRun)
}

// Guards against a broken invariant that net/http would recover and hide.
func TestBrokenInvariantIsFatal(t *testing.T) {
	caught := make(chan any, 1)
	b := newBench(t, nowhere, func(o *Options) {
		o.Store = nil
		o.Fatal = func(value any) { caught <- value }
	})
	b.post("/post-desk/stock", "harbour-token", "")
	must.NotNil(t, <-caught)
}
