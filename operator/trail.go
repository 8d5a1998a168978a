package operator

import (
	"context"
	"encoding/json"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

type trailOutput struct {
	Request string        `json:"request"`
	Routers []routerTrail `json:"routers"`
}

type routerTrail struct {
	Address string `json:"address"`
	// Lines are the JSON lines returned by the router, oldest first.
	Lines []json.RawMessage `json:"lines"`
	Error string            `json:"error,omitempty"`
}

func runTrail(ctx context.Context, c *command, request string) subcommands.ExitStatus {
	clients, replies, err := c.queryFleet(ctx)
	if err != nil {
		return c.fail("%v", err)
	}
	trails := fetchTrails(ctx, clients, replies, request)
	found := false
	out := trailOutput{Request: request, Routers: []routerTrail{}}
	for _, t := range trails {
		found = found || len(t.Lines) > 0
		if len(t.Lines) > 0 || t.Error != "" {
			out.Routers = append(out.Routers, t)
		}
	}
	if c.settings.JSON {
		c.printJSON(out)
	} else {
		c.printTrails(out)
	}
	if !found {
		return c.fail("no router that answered knows request %s", sanitize(request))
	}
	return ExitOK
}

func fetchTrails(ctx context.Context, clients *fleetrpc.ClientPool, replies []routerReply, request string) []routerTrail {
	trails := make([]routerTrail, len(replies))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, r := range replies {
		group.Go(func() error {
			trails[i] = fetchTrail(ctx, clients, r, request)
			return nil
		})
	}
	_ = group.Wait()
	return trails
}

func fetchTrail(ctx context.Context, clients *fleetrpc.ClientPool, r routerReply, request string) routerTrail {
	trail := routerTrail{Address: r.address, Lines: []json.RawMessage{}}
	if r.err != nil {
		trail.Error = r.err.Error()
		return trail
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := clients.Control(r.address).Trail(ctx, &fleetpb.TrailRequest{Sender: clients.Sender(), Request: request})
	if err == nil {
		err = clients.Check(reply.GetSender())
	}
	if err != nil {
		trail.Error = err.Error()
		return trail
	}
	for _, line := range reply.GetLines() {
		trail.Lines = append(trail.Lines, jsonLine(line))
	}
	return trail
}

// jsonLine returns line as JSON. A line that is not valid JSON becomes a JSON string.
func jsonLine(line string) json.RawMessage {
	if json.Valid([]byte(line)) {
		return json.RawMessage(line)
	}
	quoted, _ := json.Marshal(line)
	return quoted
}

func (c *command) printTrails(out trailOutput) {
	for _, t := range out.Routers {
		if t.Error != "" {
			c.printf("%s: no answer: %s\n", t.Address, sanitize(t.Error))
		}
		for _, line := range t.Lines {
			c.printf("%s: %s\n", t.Address, sanitize(string(line)))
		}
	}
}
