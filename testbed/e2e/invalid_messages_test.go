package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

// forgingClient sends messages that no process of the fleet would send.
type forgingClient struct {
	t       *testing.T
	clients *fleetrpc.ClientPool
}

func newForgingClient(t *testing.T, fleetName string) *forgingClient {
	identity := fleetrpc.Identity{Fleet: fleetName, Address: "127.0.0.1:1", Instance: "forged", Zone: zones[0]}
	hc := fleethttp.NewClient(nil)
	t.Cleanup(hc.CloseIdleConnections)
	return &forgingClient{t: t, clients: fleetrpc.NewClientPool(identity, configstore.New(), hc, "http")}
}

// sender returns the sender of a message, modified by edit unless it is nil.
func (f *forgingClient) sender(edit func(*fleetpb.Sender)) *fleetpb.Sender {
	s := f.clients.Sender()
	if edit != nil {
		edit(s)
	}
	return s
}

// report returns a report from an agent instance that started before the real
// one, so that it doesn't change any assignment.
func (f *forgingClient) report(sequence uint64) *fleetpb.ReportRequest {
	return &fleetpb.ReportRequest{
		Sender: f.sender(nil), Endpoint: modelEndpoint(0), Service: modelService, Sequence: sequence,
		Full: true, StartedUnixMs: 1, Capacity: modelSlots,
	}
}

// Guards against messages from other fleets, with other protocol versions or with
// invalid contents that change state, crash a process or aren't counted.
func TestRoutersRefuseInvalidMessages(t *testing.T) {
	t.Parallel()
	d := deploy(t, debugOptions())
	router := d.routers[0]
	address := router.FleetAddress()
	f := newForgingClient(t, d.Name)
	ctx, cancel := context.WithTimeout(t.Context(), fleet.WaitTimeout)
	defer cancel()
	streams := d.openStreams(router, 3, longStreamTokens)
	owner, entry := f.clients.Owner(address), f.clients.Entry(address)
	members, control := f.clients.Members(address), f.clients.Control(address)

	senders := map[string]func(*fleetpb.Sender){
		"other fleet":      func(s *fleetpb.Sender) { s.Fleet = "other" },
		"unknown protocol": func(s *fleetpb.Sender) { s.Protocol = 99 },
	}
	for name, edit := range senders {
		s := f.sender(edit)
		calls := []struct {
			metric string
			send   func() error
		}{
			{"owner.refused_messages", func() error {
				_, err := owner.Enqueue(ctx, &fleetpb.EnqueueRequest{Sender: s, Service: modelService})
				return err
			}},
			{"owner.refused_messages", func() error { _, err := owner.Withdraw(ctx, &fleetpb.WithdrawRequest{Sender: s}); return err }},
			{"owner.refused_messages", func() error { r := f.report(1); r.Sender = s; _, err := owner.Report(ctx, r); return err }},
			{"owner.refused_messages", func() error { _, err := owner.FindOwner(ctx, &fleetpb.OwnerRequest{Sender: s}); return err }},
			{"entry.refused_messages", func() error { _, err := entry.Dispatch(ctx, &fleetpb.DispatchRequest{Sender: s}); return err }},
			{"gossip.refused_messages", func() error { _, err := members.Ping(ctx, &fleetpb.PingRequest{Sender: s}); return err }},
			{"gossip.refused_messages", func() error { _, err := members.PingIndirect(ctx, &fleetpb.PingIndirectRequest{Sender: s}); return err }},
			{"control.refused_messages", func() error { _, err := control.Status(ctx, &fleetpb.StatusRequest{Sender: s}); return err }},
			{"control.refused_messages", func() error { _, err := control.Trail(ctx, &fleetpb.TrailRequest{Sender: s}); return err }},
			{"control.refused_messages", func() error { _, err := control.FetchConfig(ctx, &fleetpb.FetchConfigRequest{Sender: s}); return err }},
		}
		for i, c := range calls {
			before := d.Metric(router, c.metric)
			must.ErrorContains(t, c.send(), "invalid_argument", must.Sprintf("%s, call %d", name, i))
			must.Eq(t, before+1, d.Metric(router, c.metric), must.Sprintf("%s, call %d", name, i))
		}
	}
	must.True(t, router.Logged("message refused", "other"))

	f.checkInvalidReports(ctx, d, owner)
	f.checkInvalidDispatches(ctx, d, entry)

	before := d.Metric(router, "fleet.refused_messages")
	for _, path := range []string{"Owner/Report", "Owner/Enqueue", "Entry/Dispatch", "Members/Ping", "Control/Status", "Control/NoSuchMethod"} {
		resp, err := f.clients.HTTP().Post("http://"+address+"/twirp/acaciaspar.fleet.v1."+path, "application/protobuf", strings.NewReader("\xff\xff\xff"))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Between(t, 400, resp.StatusCode, 499, must.Sprint(path))
		before++
	}
	must.Eq(t, before, d.Metric(router, "fleet.refused_messages"))

	// A well-formed message above the limit of 8 MiB must not be held in memory.
	oversized := &fleetpb.WithdrawRequest{Sender: f.sender(nil), Service: modelService, Requests: []string{strings.Repeat("x", 9<<20)}}
	_, err := owner.Withdraw(ctx, oversized)
	must.Error(t, err)

	for _, s := range streams {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	d.awaitConverged(1)
	must.Eq(t, 1, len(d.aliveMembers(router)))
	d.mustNotLogTokens()
}

// aliveMembers returns the addresses of the routers that are alive according to
// the status of router, including router itself.
func (d *deployment) aliveMembers(router *fleet.Process) []string {
	alive := []string{router.FleetAddress()}
	for _, m := range d.Status(router).GetMembers() {
		if m.GetState() == fleetpb.MemberState_MEMBER_STATE_ALIVE && m.GetAddress() != alive[0] {
			alive = append(alive, m.GetAddress())
		}
	}
	return alive
}

func (f *forgingClient) checkInvalidReports(ctx context.Context, d *deployment, owner fleetpb.Owner) {
	t := f.t
	t.Helper()
	router := d.routers[0]
	counters := func(cost uint64) []*fleetpb.TeamCounter {
		return []*fleetpb.TeamCounter{{Team: teamName(0), Cost: cost, Normalized: cost}}
	}
	first := f.report(1)
	first.Counters = counters(10)
	_, err := owner.Report(ctx, first)
	must.NoError(t, err)
	cases := []struct {
		name, text string
		edit       func(*fleetpb.ReportRequest)
	}{
		{"counter goes down", "counter went down", func(r *fleetpb.ReportRequest) { r.Counters = counters(9) }},
		{"cost above the limit", "impossible cost", func(r *fleetpb.ReportRequest) { r.Counters = counters(1 << 63) }},
		{"outstanding cost above the limit", "impossible cost", func(r *fleetpb.ReportRequest) {
			r.Running = 1
			r.Counters = []*fleetpb.TeamCounter{{Team: teamName(0), Cost: 10, Normalized: 10, Running: 1, Outstanding: 1 << 63}}
		}},
		{"outstanding cost without a running request", "impossible cost", func(r *fleetpb.ReportRequest) {
			r.Counters = []*fleetpb.TeamCounter{{Team: teamName(0), Cost: 10, Normalized: 10, Outstanding: 1}}
		}},
		{"normalized cost above the cost", "impossible cost", func(r *fleetpb.ReportRequest) {
			r.Counters = []*fleetpb.TeamCounter{{Team: teamName(0), Cost: 10, Normalized: 1 << 60}}
		}},
		{"virtual time above the limit", "impossible cost", func(r *fleetpb.ReportRequest) { r.VirtualTime = 1 << 63 }},
		{"token listed twice", "listed twice", func(r *fleetpb.ReportRequest) { r.FreeTokens = []uint64{7, 7} }},
		{"unknown endpoint", "unknown endpoint", func(r *fleetpb.ReportRequest) { r.Endpoint = "nowhere" }},
		{"endpoint of another service", "unknown endpoint", func(r *fleetpb.ReportRequest) { r.Endpoint = plainService + "-1" }},
		{"unknown service", "unknown service", func(r *fleetpb.ReportRequest) { r.Service = "nothing" }},
		{"no address", "no address", func(r *fleetpb.ReportRequest) { r.Sender.Address = "" }},
	}
	for i, c := range cases {
		before := d.Metric(router, "owner.refused_messages")
		r := f.report(uint64(2 + i))
		c.edit(r)
		_, err := owner.Report(ctx, r)
		must.ErrorContains(t, err, c.text, must.Sprint(c.name))
		must.Eq(t, before+1, d.Metric(router, "owner.refused_messages"), must.Sprint(c.name))
	}
	// A refused report changes nothing, so its sequence number can still be used.
	again := f.report(2)
	again.Counters = counters(10)
	reply, err := owner.Report(ctx, again)
	must.NoError(t, err)
	must.True(t, reply.GetSuperseded())
}

func (f *forgingClient) checkInvalidDispatches(ctx context.Context, d *deployment, entry fleetpb.Entry) {
	t := f.t
	t.Helper()
	router := d.routers[0]
	unknown := &fleetpb.Assignment{
		Request: "00000000-0000-4000-8000-000000000000", Attempt: 1, AgentAddress: d.modelAgents[0].FleetAddress(),
		SlotToken: "token", Endpoint: modelEndpoint(0), Weight: 1,
	}
	malformed := &fleetpb.Assignment{Request: unknown.Request, Attempt: 1, AgentAddress: "nowhere", SlotToken: "token", Weight: 1}
	before := d.Metric(router, "entry.refused_messages")
	reply, err := entry.Dispatch(ctx, &fleetpb.DispatchRequest{
		Sender: f.sender(nil), Service: modelService, Assignments: []*fleetpb.Assignment{unknown, malformed, {}},
	})
	must.NoError(t, err)
	resultGone := fleetpb.DispatchResult_DISPATCH_RESULT_GONE
	must.Eq(t, []fleetpb.DispatchResult{resultGone, resultGone, resultGone}, reply.GetResults())
	// Dispatching a request that is gone is a normal result and isn't counted.
	must.Eq(t, before+2, d.Metric(router, "entry.refused_messages"))
}

// Guards against agents that accept requests for which they offered no slot, and
// against malformed requests that reach an endpoint or crash the agent.
func TestAgentsRefuseInvalidRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, debugOptions())
	agent := d.plainAgent
	f := newForgingClient(t, d.Name)
	valid := work.Header{
		Fleet: d.Name, Router: d.routers[0].FleetAddress(), Request: "forged", Attempt: 1, Team: teamName(0),
		Service: plainService, Operation: "book-courier", Endpoint: plainService + "-1", SlotToken: "never-offered",
		Weight: 1, Hint: 1, ConfigVersion: 1, Method: http.MethodPost, URI: "/bookings",
	}
	cases := []struct {
		reason string
		edit   func(h *work.Header)
	}{
		{"unknown-token", func(*work.Header) {}},
		{"wrong-fleet", func(h *work.Header) { h.Fleet = "other" }},
		{"wrong-endpoint", func(h *work.Header) { h.Endpoint = modelEndpoint(0) }},
		{"wrong-service", func(h *work.Header) { h.Service = modelService }},
		{"unknown-operation", func(h *work.Header) { h.Operation = "delete-all" }},
		{"malformed", func(h *work.Header) { h.URI = "http://127.0.0.1:1/bookings" }},
		{"malformed", func(h *work.Header) { h.URI = "//127.0.0.1:1/bookings" }},
		{"malformed", func(h *work.Header) { h.URI = "/bookings#x" }},
		{"malformed", func(h *work.Header) { h.Weight = 0 }},
		{"malformed", func(h *work.Header) { h.Attempt = 0 }},
		{"malformed", func(h *work.Header) { h.Team = strings.Repeat("t", 300) }},
		{"malformed", func(h *work.Header) { h.SlotToken = "" }},
	}
	for i, c := range cases {
		h := valid
		c.edit(&h)
		before := d.Metric(agent, "agent.refused."+c.reason)
		status, kind := f.post(agent, &h, `{"id":"forged"}`)
		must.Between(t, 400, status, 599)
		must.Eq(t, string(outcome.NotRun), kind, must.Sprintf("case %d, %s", i, c.reason))
		must.Eq(t, before+1, d.Metric(agent, "agent.refused."+c.reason), must.Sprintf("case %d, %s", i, c.reason))
	}
	must.MapEmpty(t, d.bookings())
	must.Eq(t, plainSlots, d.AgentStatus(agent).Free)
	must.True(t, d.Call(booking(d.routers[0], teamName(0), "after")).Complete())
	d.mustNotLogTokens()
}

func (f *forgingClient) post(agent *fleet.Process, h *work.Header, body string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, agent.URL("fleet")+work.Path, bytes.NewBufferString(body))
	must.NoError(f.t, err)
	h.Encode(req.Header)
	resp, err := f.clients.HTTP().Do(req)
	must.NoError(f.t, err, must.Sprint(fmt.Sprintf("%+v", h)))
	must.NoError(f.t, resp.Body.Close())
	return resp.StatusCode, resp.Header.Get(outcome.Header)
}
