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
	// callTimeout is the timeout of one call to a router.
	callTimeout = 3 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls to routers.
	maxConcurrentCalls = 32
)

type routerOutput struct {
	Address  string   `json:"address"`
	Instance string   `json:"instance,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	Version  uint64   `json:"version"`
	Draining bool     `json:"draining"`
	Owns     []string `json:"owns"`
	// Error is the error of the call to the router.
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

// newClientPool returns the clients for calls to routers. It returns an error if
// the TLS files can't be loaded.
func (c *command) newClientPool() (*fleetrpc.ClientPool, error) {
	files := c.settings.tlsFiles()
	var config *tls.Config
	if !files.Empty() {
		source, err := tlsconf.Open(files)
		if err != nil {
			return nil, err
		}
		config = source.FleetClientConfig()
	}
	identity := fleetrpc.Identity{Fleet: c.settings.Fleet, Instance: newID()}
	return fleetrpc.NewClientPool(identity, configstore.New(), fleethttp.NewClient(config), fleethttp.Scheme(config)), nil
}

// routerReply is the reply of a router, or the error of the call.
type routerReply struct {
	address string
	reply   *fleetpb.StatusReply
	err     error
}

// queryRouters queries the status of the seeds and, transitively, of all members in
// their replies that are not marked dead. The result is sorted by address.
func queryRouters(ctx context.Context, clients *fleetrpc.ClientPool, seeds []string) []routerReply {
	var all []routerReply
	queried := map[string]bool{}
	for next := seeds; len(next) > 0; {
		var batch []string
		for _, address := range next {
			if !queried[address] {
				queried[address] = true
				batch = append(batch, address)
			}
		}
		replies := queryAll(ctx, clients, batch)
		next = nil
		for _, r := range replies {
			next = append(next, liveMembers(r.reply)...)
		}
		all = append(all, replies...)
	}
	slices.SortFunc(all, func(a, b routerReply) int { return cmp.Compare(a.address, b.address) })
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

func queryAll(ctx context.Context, clients *fleetrpc.ClientPool, addresses []string) []routerReply {
	replies := make([]routerReply, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, address := range addresses {
		group.Go(func() error {
			reply, err := queryStatus(ctx, clients, address)
			replies[i] = routerReply{address: address, reply: reply, err: err}
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

func queryStatus(ctx context.Context, clients *fleetrpc.ClientPool, address string) (*fleetpb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := clients.Control(address).Status(ctx, &fleetpb.StatusRequest{Sender: clients.Sender()})
	if err != nil {
		return nil, err
	}
	return reply, clients.Check(reply.GetSender())
}

// queryFleet queries the routers, starting with those of the routers setting. It
// returns an error if the setting is empty or the TLS files can't be loaded.
func (c *command) queryFleet(ctx context.Context) (*fleetrpc.ClientPool, []routerReply, error) {
	seeds := c.settings.routers()
	if len(seeds) == 0 {
		return nil, nil, eris.New("-routers is not set")
	}
	clients, err := c.newClientPool()
	if err != nil {
		return nil, nil, err
	}
	return clients, queryRouters(ctx, clients, seeds), nil
}

func runStatus(ctx context.Context, c *command, args []string) subcommands.ExitStatus {
	if len(args) > 0 {
		return c.usageError("takes no arguments")
	}
	_, replies, err := c.queryFleet(ctx)
	if err != nil {
		return c.fail("%v", err)
	}
	out := newStatusOutput(replies)
	if c.settings.JSON {
		c.printJSON(out)
	} else {
		c.printStatus(out)
	}
	if !slices.ContainsFunc(replies, func(r routerReply) bool { return r.err == nil }) {
		return c.fail("no router answered")
	}
	return ExitOK
}

func newStatusOutput(replies []routerReply) statusOutput {
	out := statusOutput{Routers: []routerOutput{}, Teams: []teamOutput{}, Endpoints: []endpointOutput{}}
	for _, r := range replies {
		out.Routers = append(out.Routers, newRouterOutput(r))
		if r.err != nil {
			continue
		}
		for _, t := range r.reply.GetTeams() {
			out.Teams = append(out.Teams, teamOutput{
				Service: t.GetService(), Team: t.GetTeam(), Weight: t.GetWeight(), Waiting: t.GetWaiting(),
				Running: t.GetRunning(), Cost: t.GetCost(), Normalized: t.GetNormalized(), Router: r.address,
			})
		}
		for _, e := range r.reply.GetEndpoints() {
			out.Endpoints = append(out.Endpoints, endpointOutput{
				Endpoint: e.GetEndpoint(), Service: e.GetService(), Agent: e.GetAgentAddress(), Instance: e.GetInstance(),
				State: e.GetState(), Version: e.GetConfigVersion(), Capacity: e.GetCapacity(), Running: e.GetRunning(),
				Free: e.GetFree(), FencingNumber: e.GetFencingNumber(), Router: r.address,
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

func newRouterOutput(r routerReply) routerOutput {
	if r.err != nil {
		return routerOutput{Address: r.address, Owns: []string{}, Error: r.err.Error()}
	}
	owns := slices.Clone(r.reply.GetOwnedServices())
	slices.Sort(owns)
	return routerOutput{
		Address: r.address, Instance: r.reply.GetSender().GetInstance(), Zone: r.reply.GetSender().GetZone(),
		Version: r.reply.GetConfigVersion(), Draining: r.reply.GetDraining(), Owns: nonNil(owns),
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
	writeTable(c.app.Stdout, "ROUTER ZONE VERSION OWNS STATE", rows)
	c.printf("\nversions in force: %s\n\n", formatVersions(versions))
	rows = nil
	for _, t := range out.Teams {
		rows = append(rows, []any{t.Service, t.Team, t.Weight, t.Waiting, t.Running, t.Cost, t.Normalized})
	}
	writeTable(c.app.Stdout, "SERVICE TEAM WEIGHT WAITING RUNNING COST NORMALIZED", rows)
	c.printf("\n")
	rows = nil
	for _, e := range out.Endpoints {
		rows = append(rows, []any{e.Service, e.Endpoint, e.State, e.Version, e.Capacity, e.Running, e.Free, e.FencingNumber, e.Agent})
	}
	writeTable(c.app.Stdout, "SERVICE ENDPOINT STATE VERSION CAPACITY RUNNING FREE FENCING AGENT", rows)
}

func formatVersions(versions map[uint64]int) string {
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
