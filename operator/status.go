package operator

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

const (
	// callTimeout bounds one call of a router.
	callTimeout = 3 * time.Second
	// callsAtOnce is the number of routers called at the same time.
	callsAtOnce = 32
)

type routerOutput struct {
	Address  string   `json:"address"`
	Instance string   `json:"instance,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	Version  uint64   `json:"version"`
	Draining bool     `json:"draining"`
	Owns     []string `json:"owns"`
	// Error says why the router didn't answer.
	Error string `json:"error,omitempty"`
}

type teamOutput struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	Weight  uint64 `json:"weight"`
	Waiting uint64 `json:"waiting"`
	Running uint64 `json:"running"`
	// Cost is in cost units.
	Cost uint64 `json:"cost"`
	// Normalized is cost divided by weight, in millionths.
	Normalized uint64 `json:"normalized"`
	// Router is the router that reported the team.
	Router string `json:"router"`
}

type endpointOutput struct {
	Endpoint      string `json:"endpoint"`
	Service       string `json:"service"`
	Agent         string `json:"agent"`
	Instance      string `json:"instance"`
	State         string `json:"state"`
	Version       uint64 `json:"version"`
	Capacity      uint32 `json:"capacity"`
	Running       uint32 `json:"running"`
	Free          uint32 `json:"free"`
	FencingNumber uint64 `json:"fencingNumber"`
	// Router is the router that reported the endpoint.
	Router string `json:"router"`
}

type statusOutput struct {
	Routers   []routerOutput   `json:"routers"`
	Teams     []teamOutput     `json:"teams"`
	Endpoints []endpointOutput `json:"endpoints"`
}

func (a *App) statusCommand() subcommands.Command {
	return &command{app: a, name: "status",
		synopsis: "show routers, versions in force, teams and endpoints", run: runStatus}
}

// newCaller returns a caller of routers.
func (c *command) newCaller() (*fleetrpc.Caller, error) {
	files := c.settings.tlsFiles()
	var config *tls.Config
	if !files.Empty() {
		source, err := tlsconf.Open(files)
		if err != nil {
			return nil, err
		}
		config = source.FleetClient()
	}
	identity := fleetrpc.Identity{Fleet: c.settings.Fleet, Instance: newID()}
	return fleetrpc.NewCaller(identity, configstore.New(), fleethttp.NewClient(config), fleethttp.Scheme(config)), nil
}

// answer is the reply of one router.
type answer struct {
	address string
	reply   *fleetpb.StatusReply
	err     error
}

// survey asks the routers given and those that they name as members.
func survey(ctx context.Context, caller *fleetrpc.Caller, given []string) []answer {
	var all []answer
	asked := map[string]bool{}
	for next := given; len(next) > 0; {
		var round []string
		for _, address := range next {
			if !asked[address] {
				asked[address] = true
				round = append(round, address)
			}
		}
		answers := askAll(ctx, caller, round)
		next = nil
		for _, a := range answers {
			next = append(next, liveMembers(a.reply)...)
		}
		all = append(all, answers...)
	}
	slices.SortFunc(all, func(a, b answer) int { return cmp.Compare(a.address, b.address) })
	return all
}

func liveMembers(reply *fleetpb.StatusReply) []string {
	var addresses []string
	for _, m := range reply.GetMembers() {
		if m.GetState() != fleetpb.MemberState_MEMBER_STATE_DEAD && m.GetAddress() != "" {
			addresses = append(addresses, m.GetAddress())
		}
	}
	return addresses
}

func askAll(ctx context.Context, caller *fleetrpc.Caller, addresses []string) []answer {
	answers := make([]answer, len(addresses))
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i, address := range addresses {
		group.Go(func() error {
			reply, err := askStatus(ctx, caller, address)
			answers[i] = answer{address: address, reply: reply, err: err}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func askStatus(ctx context.Context, caller *fleetrpc.Caller, address string) (*fleetpb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := caller.Control(address).Status(ctx, &fleetpb.StatusRequest{Sender: caller.Sender()})
	if err != nil {
		return nil, err
	}
	return reply, caller.Check(reply.GetSender())
}

// surveyRouters is survey with the settings of the command.
func (c *command) surveyRouters(ctx context.Context) (*fleetrpc.Caller, []answer, error) {
	given := c.settings.routers()
	if len(given) == 0 {
		return nil, nil, eris.New("-routers is not set")
	}
	caller, err := c.newCaller()
	if err != nil {
		return nil, nil, err
	}
	return caller, survey(ctx, caller, given), nil
}

func runStatus(ctx context.Context, c *command, args []string) subcommands.ExitStatus {
	if len(args) > 0 {
		return c.usage("takes no arguments")
	}
	_, answers, err := c.surveyRouters(ctx)
	if err != nil {
		return c.failed("%v", err)
	}
	out := statusOf(answers)
	if c.settings.JSON {
		c.printJSON(out)
	} else {
		c.printStatus(out)
	}
	if !slices.ContainsFunc(answers, func(a answer) bool { return a.err == nil }) {
		return c.failed("no router answered")
	}
	return ExitDone
}

func statusOf(answers []answer) statusOutput {
	out := statusOutput{Routers: []routerOutput{}, Teams: []teamOutput{}, Endpoints: []endpointOutput{}}
	for _, a := range answers {
		out.Routers = append(out.Routers, routerOf(a))
		if a.err != nil {
			continue
		}
		for _, t := range a.reply.GetTeams() {
			out.Teams = append(out.Teams, teamOutput{
				Service: t.GetService(), Team: t.GetTeam(), Weight: t.GetWeight(), Waiting: t.GetWaiting(),
				Running: t.GetRunning(), Cost: t.GetCost(), Normalized: t.GetNormalized(), Router: a.address,
			})
		}
		for _, e := range a.reply.GetEndpoints() {
			out.Endpoints = append(out.Endpoints, endpointOutput{
				Endpoint: e.GetEndpoint(), Service: e.GetService(), Agent: e.GetAgentAddress(), Instance: e.GetInstance(),
				State: e.GetState(), Version: e.GetConfigVersion(), Capacity: e.GetCapacity(), Running: e.GetRunning(),
				Free: e.GetFree(), FencingNumber: e.GetFencingNumber(), Router: a.address,
			})
		}
	}
	slices.SortFunc(out.Teams, func(a, b teamOutput) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Router, b.Router))
	})
	slices.SortFunc(out.Endpoints, func(a, b endpointOutput) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Router, b.Router))
	})
	return out
}

func routerOf(a answer) routerOutput {
	if a.err != nil {
		return routerOutput{Address: a.address, Owns: []string{}, Error: a.err.Error()}
	}
	owns := slices.Clone(a.reply.GetOwnedServices())
	slices.Sort(owns)
	return routerOutput{
		Address: a.address, Instance: a.reply.GetSender().GetInstance(), Zone: a.reply.GetSender().GetZone(),
		Version: a.reply.GetConfigVersion(), Draining: a.reply.GetDraining(), Owns: notNil(owns),
	}
}

func (c *command) printStatus(out statusOutput) {
	versions := map[uint64]int{}
	var rows [][]any
	for _, r := range out.Routers {
		state := "serving"
		switch {
		case r.Error != "":
			state = "no answer: " + r.Error
		case r.Draining:
			state = "draining"
		}
		if r.Error == "" {
			versions[r.Version]++
		}
		rows = append(rows, []any{r.Address, r.Zone, r.Version, strings.Join(r.Owns, ","), state})
	}
	table(c.app.Stdout, "ROUTER ZONE VERSION OWNS STATE", rows)
	c.printf("\nversions in force: %s\n\n", versionsText(versions))
	rows = nil
	for _, t := range out.Teams {
		rows = append(rows, []any{t.Service, t.Team, t.Weight, t.Waiting, t.Running, t.Cost, t.Normalized})
	}
	table(c.app.Stdout, "SERVICE TEAM WEIGHT WAITING RUNNING COST NORMALIZED", rows)
	c.printf("\n")
	rows = nil
	for _, e := range out.Endpoints {
		rows = append(rows, []any{e.Service, e.Endpoint, e.State, e.Version, e.Capacity, e.Running, e.Free, e.FencingNumber, e.Agent})
	}
	table(c.app.Stdout, "SERVICE ENDPOINT STATE VERSION CAPACITY RUNNING FREE FENCING AGENT", rows)
}

func versionsText(versions map[uint64]int) string {
	var parts []string
	for version, routers := range versions {
		parts = append(parts, fmt.Sprintf("%d on %d routers", version, routers))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
