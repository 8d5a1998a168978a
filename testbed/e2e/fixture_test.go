package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/engine"
	"github.com/acaciaspar/acaciaspar/testbed/standin/plainservice"
)

const (
	modelService = "strand-assist"
	plainService = "post-desk"
	// modelSlots and plainSlots are the numbers of slots of each endpoint.
	modelSlots = 4
	plainSlots = 4
	// maxFleets is the maximum number of fleets that run at the same time.
	maxFleets = 4
)

var (
	zones          = []string{"duluth", "toledo", "kingston"}
	fleetSemaphore = make(chan struct{}, maxFleets)
)

// deployment is a fleet with two model endpoints and one plain endpoint.
type deployment struct {
	*fleet.Fleet
	t       *testing.T
	objects *fleet.Objects
	routers []*fleet.Process
	engines []*fleet.Process
	plain   *fleet.Process
	// modelAgents are the agents of engines, in the same order.
	modelAgents []*fleet.Process
	plainAgent  *fleet.Process
}

type deployOptions struct {
	routers int
	teams   int
	// proxies enables a fault proxy in front of every router and agent.
	proxies    bool
	routerArgs []string
	agentArgs  []string
	plainArgs  []string
	// extraPeer, if set, is an additional peer of the first router.
	extraPeer string
	// prepare, if set, runs before the first router starts.
	prepare func(f *fleet.Fleet)
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// deploy starts a fleet, publishes its objects and waits until it can serve
// requests. It blocks while maxFleets fleets are running.
func deploy(t *testing.T, o deployOptions) *deployment {
	t.Helper()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	d := &deployment{Fleet: fleet.New(t, "e2e"), t: t, objects: testObjects(o.teams)}
	if o.prepare != nil {
		o.prepare(d.Fleet)
	}
	for i := range o.routers {
		args := o.routerArgs
		if i == 0 && o.extraPeer != "" {
			args = append([]string{"-peers", o.extraPeer}, args...)
		}
		d.routers = append(d.routers, d.StartRouter(fleet.ProcessOptions{
			Name:  fmt.Sprintf("router-%d", i+1),
			Zone:  zones[i%len(zones)],
			Proxy: o.proxies,
			Args:  args,
		}))
	}
	d.Publish(d.objects)
	for i := range 2 {
		name := fmt.Sprintf("engine-%d", i+1)
		e := d.StartStandin(name, "engine", "-step-base", "10ms", "-max-batch", fmt.Sprint(modelSlots))
		d.engines = append(d.engines, e)
		d.modelAgents = append(d.modelAgents, d.StartAgent(fleet.ProcessOptions{
			Name:  fmt.Sprintf("model-agent-%d", i+1),
			Zone:  zones[i],
			Proxy: o.proxies,
			Args:  o.agentArgs,
		}, modelEndpoint(i), e.URL("listen")))
	}
	d.plain = d.StartStandin("plain", "plain", append([]string{"-check-fencing"}, o.plainArgs...)...)
	d.plainAgent = d.StartAgent(fleet.ProcessOptions{Name: "plain-agent", Zone: zones[2], Proxy: o.proxies, Args: o.agentArgs}, plainService+"-1", d.plain.URL("listen"))
	d.awaitConverged(1)
	return d
}

func modelEndpoint(i int) string { return fmt.Sprintf("%s-%d", modelService, i+1) }

func testObjects(teams int) *fleet.Objects {
	o := &fleet.Objects{
		Services: []objects.Service{
			{
				Name: modelService, Type: objects.ModelService, DefaultCost: 50, MaxCost: 4096,
				Operations: []objects.Operation{{Name: "complete", Path: "/v1/completions", Idempotent: true}},
			},
			{
				Name: plainService, Type: objects.PlainService, DefaultCost: 20, MaxCost: 5000,
				Operations: []objects.Operation{
					{Name: "look-up-stock", Path: "/stock", Idempotent: true},
					{Name: "book-courier", Path: "/bookings"},
				},
			},
		},
		Endpoints: []objects.Endpoint{
			testEndpoint(modelEndpoint(0), modelService, 0, modelSlots, objects.FencingIgnored),
			testEndpoint(modelEndpoint(1), modelService, 1, modelSlots, objects.FencingIgnored),
			testEndpoint(plainService+"-1", plainService, 2, plainSlots, objects.FencingChecked),
		},
	}
	for i := range teams {
		o.AddTeam(teamName(i), 10, modelService, plainService)
	}
	return o
}

func testEndpoint(name, service string, zone int, slots uint32, fencing objects.Fencing) objects.Endpoint {
	return objects.Endpoint{
		Name: name, Service: service, Zone: zones[zone], Slots: slots,
		Fencing: fencing, State: objects.EndpointActive,
	}
}

// awaitConverged waits until every router sees all others as alive and has at
// least version in force, each service has one owner, and all slots of active
// endpoints are free.
func (d *deployment) awaitConverged(version uint64) {
	d.t.Helper()
	d.Eventually("the fleet converges", func() bool {
		for _, r := range d.routers {
			status := d.Status(r)
			if status.GetConfigVersion() < version || d.countAliveRouters(status, r) != len(d.routers) {
				return false
			}
		}
		return d.allSlotsFree()
	})
}

// countAliveRouters returns the number of routers of the fleet that are alive
// according to status, the status of r. It includes r.
func (d *deployment) countAliveRouters(status *fleetpb.StatusReply, r *fleet.Process) int {
	alive := map[string]bool{r.FleetAddress(): true}
	for _, m := range status.GetMembers() {
		if m.GetState() == fleetpb.MemberState_MEMBER_STATE_ALIVE {
			alive[m.GetAddress()] = true
		}
	}
	n := 0
	for _, known := range d.routers {
		if alive[known.FleetAddress()] {
			n++
		}
	}
	return n
}

func (d *deployment) allSlotsFree() bool {
	for _, e := range d.objects.Endpoints {
		if e.State != objects.EndpointActive {
			continue
		}
		owner := d.Owner(e.Service, d.routers...)
		if owner == nil {
			return false
		}
		if free, _, ok := d.FreeSlots(e.Name, owner); !ok || free != e.Slots {
			return false
		}
	}
	return true
}

// awaitVersion waits until version is in force on the given routers.
func (d *deployment) awaitVersion(version uint64, on ...*fleet.Process) {
	d.t.Helper()
	d.Eventually(fmt.Sprintf("version %d is in force", version), func() bool {
		for _, p := range on {
			if d.Status(p).GetConfigVersion() < version {
				return false
			}
		}
		return true
	})
}

// otherRouters returns all routers except p.
func (d *deployment) otherRouters(p *fleet.Process) []*fleet.Process {
	var remaining []*fleet.Process
	for _, r := range d.routers {
		if r != p {
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// completion returns a request for a stream of n tokens that repeat the words of
// prompt.
func completion(router *fleet.Process, team, prompt string, n int) fleet.Request {
	return fleet.Request{
		Router: router,
		Team:   team,
		Path:   "/" + modelService + "/v1/completions",
		Body:   fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, n),
		Hint:   uint64(n),
	}
}

func booking(router *fleet.Process, team, id string) fleet.Request {
	return fleet.Request{
		Router: router,
		Team:   team,
		Path:   "/" + plainService + "/bookings",
		Body:   fmt.Sprintf(`{"id":%q}`, id),
	}
}

func lookup(router *fleet.Process, team, id string) fleet.Request {
	return fleet.Request{
		Router: router,
		Team:   team,
		Path:   "/" + plainService + "/stock",
		Body:   fmt.Sprintf(`{"id":%q}`, id),
	}
}

// expectedText returns the engine's response to a prompt, n tokens long.
func expectedText(prompt string, n int) string {
	words := strings.Fields(prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(words[i%len(words)] + " ")
	}
	return text.String()
}

// checkStream checks that the text of a response is the expected text for prompt
// or a prefix of it, and that the response counts as complete exactly if the
// stream has its end marker.
func checkStream(t *testing.T, prompt string, n int, resp *fleet.Response) {
	t.Helper()
	want := expectedText(prompt, n)
	complete := strings.Contains(resp.Body, "[DONE]")
	must.True(t, strings.HasPrefix(want, resp.Text()), must.Sprintf("got %q, want a prefix of %q", resp.Text(), want))
	must.Eq(t, resp.Complete(), complete, must.Sprintf("status %d, outcome %+v, error %v", resp.Status, resp.Outcome, resp.Err))
	if complete {
		must.Eq(t, want, resp.Text())
	}
}

// mustComplete checks that a streamed response is complete and correct.
func mustComplete(t *testing.T, prompt string, n int, resp *fleet.Response) {
	t.Helper()
	must.True(t, resp.Complete(), must.Sprintf("status %d, outcome %+v, error %v", resp.Status, resp.Outcome, resp.Err))
	checkStream(t, prompt, n, resp)
}

// stream is a completion in progress.
type stream struct {
	*fleet.Pending
	prompt string
	tokens int
}

// openStreams starts n completions at a router and waits until all have started
// to respond.
func (d *deployment) openStreams(router *fleet.Process, n, tokens int) []*stream {
	d.t.Helper()
	var streams []*stream
	for i := range n {
		prompt := fmt.Sprintf("%s caller %d wool", router.Name, i)
		r := completion(router, d.objects.Teams[i%len(d.objects.Teams)].Name, prompt, tokens)
		streams = append(streams, &stream{Pending: d.Send(r), prompt: prompt, tokens: tokens})
	}
	d.Eventually("the streams have started", func() bool {
		for _, s := range streams {
			if !s.Started() {
				return false
			}
		}
		return true
	})
	return streams
}

// callWithRetry repeats a request as long as its outcome is not-run.
func (d *deployment) callWithRetry(r fleet.Request) *fleet.Response {
	d.t.Helper()
	var resp *fleet.Response
	d.Eventually("a request runs", func() bool {
		resp = d.Call(r)
		return resp.Outcome.Kind != outcome.NotRun
	})
	return resp
}

// bookings returns the number of executions of each booking.
func (d *deployment) bookings() map[string]int {
	d.t.Helper()
	var x plainservice.Executions
	d.Get(d.plain, "/standin/executions", &x)
	return x.Counts["bookings"]
}

// checkBookings checks that the responses to each booking agree with the number
// of its executions, and that no booking ran more than once.
func (d *deployment) checkBookings(responsesByID map[string][]*fleet.Response) {
	d.t.Helper()
	ran := d.bookings()
	for id, responses := range responsesByID {
		complete, unknown := 0, 0
		for _, resp := range responses {
			switch {
			case resp.Complete():
				must.StrContains(d.t, resp.Body, fmt.Sprintf("%q", id))
				complete++
			case resp.Outcome.Kind == outcome.NotRun:
			default:
				unknown++
			}
		}
		must.GreaterEq(d.t, complete, ran[id], must.Sprintf("booking %s", id))
		must.LessEq(d.t, complete+unknown, ran[id], must.Sprintf("booking %s", id))
		must.LessEq(d.t, 1, ran[id], must.Sprintf("booking %s ran more than once", id))
	}
}

// executions returns the executions of all requests that an engine admitted.
func (d *deployment) executions(e *fleet.Process) []engine.Execution {
	d.t.Helper()
	var all []engine.Execution
	d.Get(e, "/standin/executions", &all)
	return all
}

// awaitIdleEngines waits until no engine has running or waiting requests, so that
// cancelled requests have ended too.
func (d *deployment) awaitIdleEngines() {
	d.t.Helper()
	d.Eventually("the engines are idle", func() bool {
		for _, e := range d.engines {
			var busy engine.Load
			d.Get(e, "/standin/busy", &busy)
			if busy.Running+busy.Waiting > 0 {
				return false
			}
		}
		return true
	})
}

// totalTokens returns the total token usage that the engine reported in a response.
func totalTokens(t *testing.T, resp *fleet.Response) uint64 {
	t.Helper()
	for line := range strings.Lines(resp.Body) {
		data, ok := strings.CutPrefix(line, "data: ")
		var chunk struct {
			Usage *struct {
				Total uint64 `json:"total_tokens"`
			} `json:"usage"`
		}
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && chunk.Usage != nil {
			return chunk.Usage.Total
		}
	}
	t.Fatalf("response contains no usage: %s", resp.Body)
	return 0
}
