// Command acaciaspar-bench benchmarks the built binaries. It must be run inside
// the workspace, after "make build".
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "acaciaspar-bench")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&overheadCommand{}, "")
	commander.Register(&slopesCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}
