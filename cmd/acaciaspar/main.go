// Command acaciaspar runs a router and provides the operators' tool.
package main

import (
	"context"
	"flag"
	"os"
	"path"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/operator"
	"github.com/acaciaspar/acaciaspar/platform"
	"github.com/acaciaspar/acaciaspar/router"
)

func main() {
	flags := flag.NewFlagSet(path.Base(os.Args[0]), flag.ExitOnError)
	commander := subcommands.NewCommander(flags, flags.Name())
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	operator.Register(commander, operator.NewApp())
	commander.Register(router.Command(), "fleet")
	commander.Register(platform.Command(), "fleet")
	// With flag.ExitOnError, Parse exits with code 2 on an error.
	_ = flags.Parse(os.Args[1:])
	os.Exit(int(commander.Execute(context.Background())))
}
