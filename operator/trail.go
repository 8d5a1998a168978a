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
	// Lines are the router's own JSON lines, oldest first.
	Lines []json.RawMessage `json:"lines"`
	Error string            `json:"error,omitempty"`
}

func runTrail(ctx context.Context, c *command, request string) subcommands.ExitStatus {
	caller, answers, err := c.surveyRouters(ctx)
	if err != nil {
		return c.failed("%v", err)
	}
	trails := askTrails(ctx, caller, answers, request)
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
		return c.failed("no router that answered knows request %s", printable(request))
	}
	return ExitDone
}

func askTrails(ctx context.Context, caller *fleetrpc.Caller, answers []answer, request string) []routerTrail {
	trails := make([]routerTrail, len(answers))
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i, a := range answers {
		group.Go(func() error {
			trails[i] = askTrail(ctx, caller, a, request)
			return nil
		})
	}
	_ = group.Wait()
	return trails
}

func askTrail(ctx context.Context, caller *fleetrpc.Caller, a answer, request string) routerTrail {
	trail := routerTrail{Address: a.address, Lines: []json.RawMessage{}}
	if a.err != nil {
		trail.Error = a.err.Error()
		return trail
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := caller.Control(a.address).Trail(ctx, &fleetpb.TrailRequest{Sender: caller.Sender(), Request: request})
	if err == nil {
		err = caller.Check(reply.GetSender())
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

// jsonLine keeps a line that isn't JSON as a JSON string.
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
			c.printf("%s: no answer: %s\n", t.Address, printable(t.Error))
		}
		for _, line := range t.Lines {
			c.printf("%s: %s\n", t.Address, printable(string(line)))
		}
	}
}
