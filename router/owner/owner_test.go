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

// view is a fixed view of the members.
type view struct{ owner string }

func (v *view) Owner(string) string { return v.owner }

func (v *view) Live() []string { return []string{entryAddress} }

// entry is an entry router that records its assignments.
type entry struct {
	mu     sync.Mutex
	got    []*fleetpb.Assignment
	result fleetpb.DispatchResult
	silent bool
}

func (e *entry) Dispatch(ctx context.Context, r *fleetpb.DispatchRequest) (*fleetpb.DispatchReply, error) {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got = append(e.got, r.Assignments...)
	reply := &fleetpb.DispatchReply{Sender: sender(entryAddress, "entry", 1)}
	for range r.Assignments {
		reply.Results = append(reply.Results, e.result)
	}
	return reply, nil
}

func (e *entry) set(result fleetpb.DispatchResult, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.result, e.silent = result, silent
}

func (e *entry) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, a := range e.got {
		out = append(out, a.Request)
	}
	return out
}

// RoundTrip serves the entry router without sockets.
func (e *entry) RoundTrip(r *http.Request) (*http.Response, error) {
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

func config(version uint64) *configstore.Config {
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
	entry *entry
	view  *view
	store *configstore.Store
	seq   uint64
}

// run starts an owner in a bubble and stops it after f.
func run(t *testing.T, f func(t *testing.T, x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{
			entry: &entry{result: fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED},
			view:  &view{owner: ownerAddress},
			store: configstore.New(),
		}
		x.store.Advance(config(1))
		id := fleetrpc.Identity{Fleet: "f", Address: ownerAddress, Instance: "owner"}
		x.Owner = New(Options{
			Caller: fleetrpc.NewCaller(id, x.store, &http.Client{Transport: x.entry}, "http"),
			Store:  x.store,
			View:   x.view,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
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

// Guards against tickets and tokens that don't meet at once.
func TestGrantsReachTheEntryRouter(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		must.SliceEmpty(t, x.sync(t, false, "r1", "r2").Refused)
		x.report(t, 1)
		synctest.Wait()
		must.Eq(t, []string{"r1"}, x.entry.requests())
		a := x.entry.got[0]
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

// Guards against a token that is lost when the request no longer waits.
func TestGoneFreesTheToken(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.entry.set(fleetpb.DispatchResult_DISPATCH_RESULT_GONE, false)
		x.sync(t, false, "r1", "r2")
		x.report(t, 1)
		synctest.Wait()
		must.Eq(t, []string{"r1", "r2"}, x.entry.requests())
	})
}

// Guards against an entry router that stops answering and keeps the tokens.
func TestSilentEntryRouter(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.entry.set(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, true)
		x.sync(t, false, "r1")
		x.report(t, 1)
		time.Sleep(dispatchTimeout + time.Millisecond)
		x.entry.set(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, false)
		x.sync(t, true, "r1")
		synctest.Wait()
		must.SliceEmpty(t, x.entry.requests())
		x.report(t, 1)
		synctest.Wait()
		must.Eq(t, []string{"r1"}, x.entry.requests())
	})
}

// Guards against grants that leave after their token's lease, and against the
// loss of the token of such a grant.
func TestLateGrantIsNotSent(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.entry.set(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, true)
		x.sync(t, false, "r1", "r2")
		x.report(t, 1)
		synctest.Wait()
		// The lane is busy with r1 while this grant waits.
		x.report(t, 1, 2)
		time.Sleep(dispatchTimeout + time.Millisecond)
		x.entry.set(fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED, false)
		synctest.Wait()
		must.SliceEmpty(t, x.entry.requests())
		x.sync(t, true, "r2")
		synctest.Wait()
		must.Eq(t, []string{"r2"}, x.entry.requests())
		must.Eq(t, "agent-2", x.entry.got[0].SlotToken)
	})
}

// Guards against tickets that the configuration doesn't allow, and against
// refusing what only a newer configuration knows.
func TestTicketsOutsideTheConfiguration(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
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
		must.Eq(t, 2, x.refused.Count())
	})
}

// Guards against a reply that doesn't name the owner, and against queues that
// stay at a router that isn't the owner any more.
func TestOwnershipMoves(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
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

// Guards against grants to a service that left the configuration.
func TestRemovedServiceIsDropped(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.sync(t, true, "r1")
		x.store.Advance(&configstore.Config{Version: 2, Set: objects.NewSet()})
		time.Sleep(time.Second)
		must.SliceEmpty(t, x.Services())
	})
}

// Guards against data races and lost grants between messages at the same time.
func TestConcurrentMessages(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
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
