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

type slopesOptions struct {
	Series string        `flag:"series" usage:"measure only this series: routers, agents, teams or publication"`
	Window time.Duration `flag:"window" default:"4s" usage:"time over which each rate is measured"`
	Rate   int           `flag:"rate" default:"40" usage:"total requests per second in the loaded window"`
	JSON   string        `flag:"json" usage:"write the results to this file as JSON"`
}

// slopesCommand measures how the processes' resource usage grows with the size of
// the fleet.
type slopesCommand struct {
	options slopesOptions
	loader  *settings.Loader
}

// Name implements subcommands.Command.
func (*slopesCommand) Name() string { return "slopes" }

// Synopsis implements subcommands.Command.
func (*slopesCommand) Synopsis() string { return "measure resource usage by fleet size" }

// Usage implements subcommands.Command.
func (*slopesCommand) Usage() string { return "acaciaspar-bench slopes [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *slopesCommand) SetFlags(fs *flag.FlagSet) { c.loader = settings.Bind(fs, &c.options, nil) }

// Execute implements subcommands.Command.
func (c *slopesCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.loader.Finish(fs, nil); err != nil || fs.NArg() > 0 || c.options.Rate < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	options := bench.SlopesOptions{Window: c.options.Window, Rate: c.options.Rate}
	var points []bench.SlopePoint
	for _, p := range bench.Points() {
		if ctx.Err() != nil || (c.options.Series != "" && c.options.Series != p.Series) {
			continue
		}
		fmt.Fprintf(os.Stderr, "%s %+v\n", time.Now().Format(time.TimeOnly), p)
		points = append(points, bench.MeasurePoint(os.Stderr, p, options))
	}
	lines := bench.Fit(points)
	bench.WriteSlopes(os.Stdout, points, lines)
	return writeResults(c.options.JSON, map[string]any{"points": points, "lines": lines})
}
