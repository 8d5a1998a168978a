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
	Calls    int           `flag:"calls" default:"2000" usage:"calls of each kind for the latency"`
	Rounds   int           `flag:"rounds" default:"3" usage:"number of repeats"`
	Callers  int           `flag:"callers" default:"32" usage:"concurrent callers for the throughput"`
	Duration time.Duration `flag:"duration" default:"5s" usage:"time of each measurement of the throughput"`
	Profiles string        `flag:"profiles" usage:"directory for CPU profiles of router and agent; empty takes none"`
	JSON     string        `flag:"json" usage:"file for the results as JSON"`
}

// overheadCommand compares direct calls with calls through the path.
type overheadCommand struct {
	options overheadOptions
	loader  *settings.Loader
}

// Name implements subcommands.Command.
func (*overheadCommand) Name() string { return "overhead" }

// Synopsis implements subcommands.Command.
func (*overheadCommand) Synopsis() string { return "compare direct calls with calls through the path" }

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
		return failed(err)
	}
	bench.WriteOverhead(os.Stdout, result)
	return finish(c.options.JSON, result)
}
