package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/testbed/bench"
)

type overheadOptions struct {
	Calls    int           `flag:"calls" default:"2000" usage:"number of direct and of routed calls in the latency measurement"`
	Rounds   int           `flag:"rounds" default:"3" usage:"number of repetitions"`
	Callers  int           `flag:"callers" default:"32" usage:"concurrent callers in the throughput measurement"`
	Duration time.Duration `flag:"duration" default:"5s" usage:"length of each throughput measurement"`
	Profiles string        `flag:"profiles" usage:"directory for CPU profiles of router and agent; no profiles are taken if empty"`
	JSON     string        `flag:"json" usage:"file for the results as JSON"`
}

// overheadCommand compares direct calls with calls through a router and an agent.
type overheadCommand struct {
	options overheadOptions
	loader  *settings.Loader
}

// Name implements subcommands.Command.
func (*overheadCommand) Name() string { return "overhead" }

// Synopsis implements subcommands.Command.
func (*overheadCommand) Synopsis() string {
	return "compare direct calls with calls through a router and an agent"
}

// Usage implements subcommands.Command.
func (*overheadCommand) Usage() string { return "acaciaspar-bench overhead [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *overheadCommand) SetFlags(fs *flag.FlagSet) { c.loader = settings.Bind(fs, &c.options, nil) }

// Execute implements subcommands.Command.
func (c *overheadCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.loader.Finish(fs, nil); err != nil || fs.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	result, err := bench.Overhead(os.Stderr, bench.OverheadOptions{
		Calls: c.options.Calls, Rounds: c.options.Rounds, Callers: c.options.Callers,
		Duration: c.options.Duration, Profiles: c.options.Profiles,
	})
	if err != nil {
		return exitFailure(err)
	}
	bench.WriteOverhead(os.Stdout, result)
	return writeResults(c.options.JSON, result)
}
