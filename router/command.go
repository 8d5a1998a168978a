package router

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/settings"
)

// command is the subcommand "router".
type command struct {
	settings Settings
	loader   *settings.Loader
}

// Command returns the subcommand that runs a router.
func Command() subcommands.Command { return &command{} }

// Name implements subcommands.Command.
func (*command) Name() string { return "router" }

// Synopsis implements subcommands.Command.
func (*command) Synopsis() string { return "run a router" }

// Usage implements subcommands.Command.
func (*command) Usage() string {
	return "router [flags]\n\nRuns a router until SIGTERM or SIGINT, then drains: requests in progress end\n" +
		"first. A second signal ends the process at once. Every flag can be set by the\n" +
		"environment variable in brackets.\n\nExit codes: 0 drained, 1 failed or requests were interrupted, 2 bad settings.\n\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(fs *flag.FlagSet) {
	c.loader = settings.Bind(fs, &c.settings, settings.Environ())
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "unexpected argument %q\n", fs.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := c.loader.Finish(fs, settings.Environ()); err != nil {
		fmt.Fprintf(os.Stderr, "bad settings:\n%v\n", err)
		return subcommands.ExitUsageError
	}
	if c.settings.PrintSettings {
		if err := c.loader.Print(os.Stdout); err != nil {
			return subcommands.ExitFailure
		}
		return subcommands.ExitSuccess
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	err := Run(ctx, &c.settings, os.Stderr, signals)
	if err == nil {
		return subcommands.ExitSuccess
	}
	if !errors.Is(err, ErrInterrupted) {
		fmt.Fprintf(os.Stderr, "router failed: %v\n", err)
	}
	return subcommands.ExitFailure
}
