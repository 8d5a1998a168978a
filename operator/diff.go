package operator

import (
	"context"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

type diffOutput struct {
	// Base is the version in force to which the changes apply.
	Base    uint64           `json:"base"`
	Changes []objects.Change `json:"changes"`
}

func (a *App) diffCommand() subcommands.Command {
	return &command{app: a, name: "diff", arguments: "FILE...",
		synopsis: "show what publishing files would change", run: runDiff}
}

func runDiff(ctx context.Context, c *command, args []string) subcommands.ExitStatus {
	set, status := c.load(args)
	if set == nil {
		return status
	}
	view, err := c.requireState(ctx)
	if err != nil {
		return c.fail("%v", err)
	}
	changes := objects.Diff(view.state.Set, set)
	if c.settings.JSON {
		c.printJSON(diffOutput{Base: view.state.Version, Changes: nonNil(changes)})
		return ExitOK
	}
	c.printChanges(view.state.Set, changes)
	c.printf("%d changes to version %d\n", len(changes), view.state.Version)
	return ExitOK
}
