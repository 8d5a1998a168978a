package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/testbed/bench"
)

type runOptions struct {
	Variants string        `flag:"variants" usage:"names of the variants, separated by commas (default: all)"`
	Duration time.Duration `flag:"duration" default:"0s" usage:"time during which requests arrive; 0 uses the workload's duration"`
	Repeat   int           `flag:"repeat" default:"1" usage:"number of runs per variant; each run increments the seed"`
	JSON     string        `flag:"json" usage:"write the results to this file as JSON"`
	Plot     string        `flag:"plot" usage:"write a plot of the fairness gaps to this file (.svg or .png)"`
}

// runCommand benchmarks workloads with variants of the settings.
type runCommand struct {
	options runOptions
	loader  *settings.Loader
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run workloads with variants of the settings" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string { return "acaciaspar-bench run [flags] WORKLOAD.yaml...\n" }

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(fs *flag.FlagSet) { c.loader = settings.Bind(fs, &c.options, nil) }

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.loader.Finish(fs, nil); err != nil || fs.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	variants, err := selectVariants(c.options.Variants)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	var results []*bench.Result
	for _, path := range fs.Args() {
		w, err := bench.LoadWorkload(path)
		if err != nil {
			return exitFailure(err)
		}
		completed, err := c.runVariants(ctx, w, variants)
		results = append(results, completed...)
		if err != nil {
			c.report(results)
			return exitFailure(err)
		}
	}
	return c.report(results)
}

// runVariants runs a workload with all variants. On an error it also returns the
// results of the completed runs.
func (c *runCommand) runVariants(ctx context.Context, w *bench.Workload, variants []bench.Variant) ([]*bench.Result, error) {
	if c.options.Duration > 0 {
		w.Duration = c.options.Duration
	}
	var results []*bench.Result
	for range c.options.Repeat {
		for _, v := range variants {
			if ctx.Err() != nil {
				return results, ctx.Err()
			}
			fmt.Fprintf(os.Stderr, "%s %s %s seed %d\n", time.Now().Format(time.TimeOnly), w.Name, v.Name, w.Seed)
			result, err := bench.Run(os.Stderr, w, v)
			if err != nil {
				return results, fmt.Errorf("%s, %s: %w", w.Name, v.Name, err)
			}
			results = append(results, result)
		}
		w.Seed++
	}
	return results, nil
}

func (c *runCommand) report(results []*bench.Result) subcommands.ExitStatus {
	bench.WriteTables(os.Stdout, results)
	if c.options.Plot != "" {
		if err := bench.WritePlot(c.options.Plot, results); err != nil {
			return exitFailure(err)
		}
	}
	return writeResults(c.options.JSON, results)
}

// selectVariants returns the variants with the given comma-separated names, or all
// variants if names is empty. An unknown name is an error.
func selectVariants(names string) ([]bench.Variant, error) {
	all := bench.Variants()
	if names == "" {
		return all, nil
	}
	var out []bench.Variant
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(all, func(v bench.Variant) bool { return v.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown variant %q", name)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// writeResults writes the results as JSON to path, unless it is empty, and returns
// the exit status.
func writeResults(path string, results any) subcommands.ExitStatus {
	if path == "" {
		return subcommands.ExitSuccess
	}
	if err := bench.WriteJSON(path, results); err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

// exitFailure prints err and returns the exit status of a failure.
func exitFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "acaciaspar-bench:", err)
	return subcommands.ExitFailure
}
