package owner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

const (
	ownerAddress = "127.0.0.1:1"
	entryAddress = "127.0.0.1:2"
	agentAddress = "127.0.0.1:3"
)

// fixedView is a View that always returns the same owner and routers.
type fixedView struct{ owner string }

func (v *fixedView) Owner(string) string { return v.owner }

func (v *fixedView) Live() []string { return []string{entryAddress} }

// fakeEntry is an entry router that records its assignments.
type fakeEntry struct {
	mu           sync.Mutex
	received     []*fleetpb.Assignment
	result       fleetpb.DispatchResult
	unresponsive bool
}

func (e *fakeEntry) Dispatch(ctx context.Context, r *fleetpb.DispatchRequest) (*fleetpb.DispatchReply, error) {
	e.mu.Lock()
	unresponsive := e.unresponsive
	e.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, r.Assignments...)
	reply := &fleetpb.DispatchReply{Sender: sender(entryAddress, "entry", 1)}
	for range r.Assignments {
		reply.Results = append(reply.Results, e.result)
	}
	return reply, nil
}

func (e *fakeEntry) setResult(result fleetpb.DispatchResult, unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.result, e.unresponsive = result, unresponsive
}

func (e *fakeEntry) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, a := range e.received {
		out = append(out, a.Request)
	}
	return out
}

// RoundTrip calls the entry router's handler in memory.
func (e *fakeEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	fleetpb.NewEntryServer(e).ServeHTTP(rec, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}

func sender(address, instance string, version uint64) *fleetpb.Sender {
	return &fleetpb.Sender{
		Fleet:         "f",
		Address:       address,
		Instance:      instance,
		Zone:          "z",
		ConfigVersion: version,
		Protocol:      fleetrpc.ProtocolVersion,
	}
}

func testConfig(version uint64) *configstore.Config {
	set := objects.NewSet()
	set.Teams["a"] = &objects.Team{Name: "a"}
	set.Teams["b"] = &objects.Team{Name: "b"}
	set.Services["svc"] = &objects.Service{
		Name:        "svc",
		Operations:  []objects.Operation{{Name: "op", Path: "/op"}},
		DefaultCost: 10,
		MaxCost:     100,
	}
	set.Endpoints["e"] = &objects.Endpoint{Name: "e", Service: "svc", Slots: 4}
	set.Shares["a"] = &objects.Share{Name: "a", Team: "a", Service: "svc", Weight: 7}
	return &configstore.Config{Version: version, Set: set}
}

type fixture struct {
	*Owner
	entry *fakeEntry
	view  *fixedView
	store *configstore.Store
	seq   uint64
}

// runOwner starts an Owner in a synctest bubble, calls f and stops the Owner.
func runOwner(t *testing.T, f func(t *testing.T, x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{
			entry: &fakeEntry{result: fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED},
			view:  &fixedView{owner: ownerAddress},
			store: configstore.New(),
		}
		x.store.Advance(testConfig(1))
		id := fleetrpc.Identity{Fleet: "f", Address: ownerAddress, Instance: "owner"}
		x.Owner = New(Options{
			Clients: fleetrpc.NewClientPool(id, x.store, &http.Client{Transport: x.entry}, "http"),
			Store:   x.store,
			View:    x.view,
			Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- x.Run(ctx) }()
		f(t, x)
		cancel()
		must.NoError(t, <-done)
	})
}

func (x *fixture) sync(t *testing.T, full bool, requests ...string) *fleetpb.EnqueueReply {
	t.Helper()
	x.seq++
	r := &fleetpb.EnqueueRequest{
		Sender:   sender(entryAddress, "entry", 1),
		Service:  "svc",
		Sequence: x.seq,
		FullSync: full,
	}
	for _, id := range requests {
		r.Tickets = append(r.Tickets, &fleetpb.Ticket{Request: id, Attempt: 1, Team: "a", Operation: "op"})
	}
	reply, err := x.Enqueue(t.Context(), r)
	must.NoError(t, err)
	return reply
}

func (x *fixture) report(t *testing.T, tokens ...uint64) *fleetpb.ReportReply {
	t.Helper()
	x.seq++
	reply, err := x.Report(t.Context(), &fleetpb.ReportRequest{
		Sender:     sender(agentAddress, "agent", 1),
		Endpoint:   "e",
		Service:    "svc",
		Sequence:   x.seq,
		FreeTokens: tokens,
		Full:       true,
		Capacity:   4,
	})
	must.NoError(t, err)
	return reply
}

// Guards against grants that are delayed although a ticket and a free token are
// present.
func TestGrantsReachEntryRouter(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		must.SliceEmpty(t, x.sync(t, false, "r1", "r2").Refused)
		x.report(t, 1)
		synctest.Wait()
		must.Eq(t, []string{"r1"}, x.entry.requests())
		a := x.entry.received[0]
		must.Eq(t, agentAddress, a.AgentAddress)
		must.Eq(t, "agent-1", a.SlotToken)
		must.Eq(t, 7, a.Weight)
		x.report(t, 2)
		synctest.Wait()
		must.Eq(t, []string{"r1", "r2"}, x.entry.requests())
		must.Eq(t, 2, x.grants.Count())
		must.Len(t, 1, x.Teams())
		must.Len(t, 1, x.Endpoints())
	})
}

// Guards against losing a token when the entry router replies that the request
// no longer waits.
func TestGoneResultFreesToken(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		x.entry.setResult(fleetpb.DispatchResult_DISPATCH_RESULT_GONE, false)
		x.sync(t, false, "r1", "r2")
		x.report(t, 1)
		synctest.Wait()
		must.Eq(t, []string{"r1", "r2"}, x.entry.requests())
	})
}

// Guards against tokens that stay bound to an entry router that doesn't reply:
// after the dispatch timeout the token can be used again once the agent reports it.
func TestUnresponsiveEntryRouterDoesNotHoldTokens(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		x.entry.setResult(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, true)
		x.sync(t, false, "r1")
		x.report(t, 1)
		time.Sleep(dispatchTimeout + time.Millisecond)
		x.entry.setResult(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, false)
		x.sync(t, true, "r1")
		synctest.Wait()
		must.SliceEmpty(t, x.entry.requests())
		x.report(t, 1)
		synctest.Wait()
		must.Eq(t, []string{"r1"}, x.entry.requests())
	})
}

// Guards against sending grants after the lease of their token has expired, and
// against losing the token of such a grant.
func TestLateGrantIsNotSent(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		x.entry.setResult(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, true)
		x.sync(t, false, "r1", "r2")
		x.report(t, 1)
		synctest.Wait()
		// The send queue is busy with r1 while this grant waits.
		x.report(t, 1, 2)
		time.Sleep(dispatchTimeout + time.Millisecond)
		x.entry.setResult(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, false)
		synctest.Wait()
		must.SliceEmpty(t, x.entry.requests())
		x.sync(t, true, "r2")
		synctest.Wait()
		must.Eq(t, []string{"r2"}, x.entry.requests())
		must.Eq(t, "agent-2", x.entry.received[0].SlotToken)
	})
}

// Guards against accepting tickets that the configuration doesn't allow, and
// against refusing tickets that only a newer configuration allows.
func TestTicketsNotInConfiguration(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		send := func(version uint64, team, operation string) []string {
			x.seq++
			reply, err := x.Enqueue(t.Context(), &fleetpb.EnqueueRequest{
				Sender:   sender(entryAddress, "entry", version),
				Service:  "svc",
				Sequence: x.seq,
				Tickets:  []*fleetpb.Ticket{{Request: "r", Attempt: 1, Team: team, Operation: operation}},
			})
			must.NoError(t, err)
			return reply.Refused
		}
		must.Eq(t, []string{"r"}, send(1, "b", "op"))
		must.Eq(t, []string{"r"}, send(1, "a", "other"))
		must.SliceEmpty(t, send(2, "b", "op"))
		must.SliceEmpty(t, x.Teams())
		_, err := x.Enqueue(t.Context(), &fleetpb.EnqueueRequest{Sender: sender(entryAddress, "entry", 1), Service: "none"})
		must.ErrorContains(t, err, "unknown service")
		_, err = x.Report(t.Context(), &fleetpb.ReportRequest{Sender: sender(agentAddress, "agent", 1), Service: "svc", Endpoint: "none"})
		must.ErrorContains(t, err, "unknown endpoint")
		must.Eq(t, 2, x.refusedMessages.Count())
	})
}

// Guards against replies that don't name the new owner, and against queues that
// stay at a router that is no longer the owner.
func TestOwnershipChange(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		must.Eq(t, "", x.sync(t, true, "r1").OwnerAddress)
		x.view.owner = entryAddress
		must.Eq(t, entryAddress, x.sync(t, true, "r1").OwnerAddress)
		must.Eq(t, entryAddress, x.report(t).OwnerAddress)
		time.Sleep(9 * time.Second)
		must.Eq(t, []string{"svc"}, x.Services())
		time.Sleep(2 * time.Second)
		must.SliceEmpty(t, x.Services())
		reply, err := x.FindOwner(t.Context(), &fleetpb.OwnerRequest{Sender: sender(agentAddress, "agent", 1), Service: "svc"})
		must.NoError(t, err)
		must.Eq(t, entryAddress, reply.OwnerAddress)
		must.Len(t, 2, reply.Routers)
	})
}

// Guards against grants for a service that was removed from the configuration.
func TestRemovedServiceIsDeleted(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		x.sync(t, true, "r1")
		x.store.Advance(&configstore.Config{Version: 2, Set: objects.NewSet()})
		time.Sleep(time.Second)
		must.SliceEmpty(t, x.Services())
	})
}

// Guards against data races and lost grants when messages arrive concurrently.
func TestConcurrentMessages(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		const requests = 200
		var ids []string
		for i := range requests {
			ids = append(ids, fmt.Sprint("r", i))
		}
		x.sync(t, true, ids...)
		for i := range requests {
			go func() {
				_, _ = x.Withdraw(context.Background(), &fleetpb.WithdrawRequest{Sender: sender(entryAddress, "entry", 1), Service: "svc"})
			}()
			x.report(t, uint64(i))
		}
		synctest.Wait()
		must.SliceContainsAll(t, ids, x.entry.requests())
	})
}

// Guards against a queue that stays locked for as long as the process runs because a handler ended
// by a panic, from which the HTTP server recovers.
func TestPanicLeavesNoQueueLocked(t *testing.T) {
	runOwner(t, func(t *testing.T, x *fixture) {
		x.sync(t, false, "r1")
		config := x.configs.current().services["svc"]
		func() {
			defer func() { must.NotNil(t, recover()) }()
			x.withQueue("svc", config, func(*service) { panic("invalid message") })
		}()
		queue := x.getOrCreate("svc")
		must.True(t, queue.mu.TryLock())
		queue.mu.Unlock()
	})
}
