package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/testbed/standin/engine"
	"github.com/acaciaspar/acaciaspar/testbed/standin/hostlist"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
	"github.com/acaciaspar/acaciaspar/testbed/standin/plainservice"
)

// shutdownTimeout bounds the wait for requests in progress at shutdown.
const shutdownTimeout = 2 * time.Second

func commands() []subcommands.Command {
	return []subcommands.Command{
		newCommand("log", "append-only log (Kafka REST Proxy)",
			func(_ context.Context, o *logservice.Options) http.Handler {
				return logservice.New(*o, time.Now).Handler()
			}),
		newCommand("hosts", "host list (Prometheus HTTP service discovery)",
			func(_ context.Context, o *hostlist.Options) http.Handler {
				return hostlist.New(*o, time.Now).Handler()
			}),
		newCommand("engine", "model engine (OpenAI completions)",
			func(ctx context.Context, o *engine.Options) http.Handler {
				e := engine.New(*o)
				go e.Run(ctx)
				return e.Handler()
			}),
		newCommand("plain", "plain service (stock lookups, bookings, labels)",
			func(_ context.Context, o *plainservice.Options) http.Handler {
				return plainservice.New(*o).Handler()
			}),
	}
}

// command runs one stand-in, whose options have type O.
type command[O any] struct {
	name     string
	synopsis string
	build    func(context.Context, *O) http.Handler

	listen  listenOptions
	options O
	loaders []*settings.Loader
}

type listenOptions struct {
	Listen string `flag:"listen" default:"127.0.0.1:0" usage:"listen address"`
}

func newCommand[O any](name, synopsis string, build func(context.Context, *O) http.Handler) *command[O] {
	return &command[O]{name: name, synopsis: synopsis, build: build}
}

// Name implements subcommands.Command.
func (c *command[O]) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command[O]) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command[O]) Usage() string {
	return "acaciaspar-standin " + c.name + " [flags]: " + c.synopsis + "\n"
}

// SetFlags implements subcommands.Command. Environment variables are not read,
// because they configure the routers and agents.
func (c *command[O]) SetFlags(fs *flag.FlagSet) {
	c.loaders = []*settings.Loader{
		settings.Bind(fs, &c.listen, nil),
		settings.Bind(fs, &c.options, nil),
	}
}

// Execute implements subcommands.Command.
func (c *command[O]) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, loader := range c.loaders {
		if err := loader.Finish(fs, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitUsageError
		}
	}
	logger := observability.NewLogger(os.Stderr, slog.LevelInfo, "standin-"+c.name)
	// The stand-in keeps running while requests in progress complete.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := serve(ctx, logger, c.listen.Listen, c.build(serveCtx, &c.options)); err != nil {
		logger.Error("serve failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serve serves HTTP requests on address until ctx ends.
func serve(ctx context.Context, logger *slog.Logger, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelWarn)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	logger.Info("ready", "listen", listener.Addr().String())
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		// Requests blocked by a fault never end by themselves.
		return server.Close()
	} else if err != nil {
		return err
	}
	return nil
}
