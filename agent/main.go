package agent

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/settings"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the agent with the given arguments and environment and returns the
// exit code of the process.
func Main(args, environ []string, stdout, stderr io.Writer) int {
	var s Settings
	flags := flag.NewFlagSet("acaciaspar-agent", flag.ContinueOnError)
	flags.SetOutput(stderr)
	loader := settings.Bind(flags, &s, environ)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	err := loader.Finish(flags, environ)
	if err == nil && flags.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	switch {
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitUsage
	case s.Version:
		fmt.Fprintln(stdout, "acaciaspar-agent", version())
		return exitOK
	case s.PrintSettings:
		if err := loader.Print(stdout); err != nil {
			return exitFailed
		}
		return exitOK
	}
	return serve(s, stderr)
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

func serve(s Settings, logOutput io.Writer) int {
	level, err := settings.LogLevel(s.LogLevel)
	if err != nil {
		return exitUsage
	}
	log := observability.NewLogger(logOutput, level, "agent")
	a, err := New(s, log)
	if err != nil {
		log.Error("start failed", "error", err)
		return exitFailed
	}
	if err := a.Run(context.Background(), stopOnSignal()); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	log.Info("stopped")
	return exitOK
}

// stopOnSignal returns a channel that is closed on the first SIGTERM or SIGINT.
// The second signal exits the process immediately.
func stopOnSignal() <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		os.Exit(exitFailed)
	}()
	return stop
}
