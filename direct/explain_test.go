package direct_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/direct"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/operator"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/protocol/explanation"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// explain runs the operators' command and returns its exit code and output.
func explain(args ...string) (subcommands.ExitStatus, string) {
	var stdout, stderr bytes.Buffer
	flags := flag.NewFlagSet("acaciaspar", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "acaciaspar")
	operator.Register(commander, &operator.App{Stdout: &stdout, Stderr: &stderr, Now: time.Now})
	if err := flags.Parse(append([]string{"explain"}, args...)); err != nil {
		return operator.ExitUsage, err.Error()
	}
	return commander.Execute(context.Background()), stdout.String() + stderr.String()
}

// Guards against a command and a router that don't understand each other.
func TestExplainAsksALiveRouter(t *testing.T) {
	reserved, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := reserved.Addr().String()
	must.NoError(t, reserved.Close())
	store, log := directtest.NewStore(), &output{}
	store.Append(follow.Configuration, "c", directtest.Encode(routing.Config{
		Version:  3,
		Services: []routing.Service{{Name: "engines", Engine: &routing.Engine{Slots: 8}}},
		Routes: []routing.Route{{
			Name: "stream", Host: "shop.example", PathPrefix: "/stream/", Semantics: routing.Stream, Attempts: 2, LatencyTarget: time.Second,
			Timeout: 5 * time.Second, Destinations: []routing.Destination{{Service: "engines", Weight: 1}},
		}},
	}))
	e := registry.Endpoint{ID: "e1", Service: "engines", Address: "127.0.0.1:1", Zone: "z", Slots: 8}
	store.Append(follow.Endpoints, "e1", directtest.Encode(e))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = direct.Run(ctx, direct.Options{
			Settings: direct.Settings{
				Name: "r1", Zone: "z", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", FleetListen: "127.0.0.1:0", MetricsListen: address,
				StoreWait: 100 * time.Millisecond, DrainTimeout: time.Second, MemoryBytes: 512 << 20, Descriptors: 4096,
				RetryFraction: 0.2, RetryFloor: 100, FirstStart: true, LogLinesPerSecond: 500,
			},
			Store: store, Decoder: directtest.Decoder{}, Dialect: dialect.Default(), Output: log, ReadyPath: "/ready",
			Signals: make(chan os.Signal), Reload: func() error { return nil },
		})
	}()
	args := []string{"-json", "-router", address, "-host", "shop.example", "-path", "/stream/x", "-prompt-parts", "a:300,b:20", "-token-counts", "320,40"}
	var out string
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		status, text := explain(args...)
		out = text
		return status == operator.ExitOK
	}), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)))
	var reply explanation.Reply
	must.NoError(t, json.Unmarshal([]byte(out), &reply))
	must.Eq(t, 3, reply.ConfigVersion)
	must.Eq(t, 320, reply.PromptTokens)
	must.Eq(t, 40, reply.GeneratedTokens)
	must.Eq(t, explanation.Decision{Endpoint: "e1"}, reply.Services[0].Decision)

	e.State = registry.Draining
	store.Append(follow.Endpoints, "e1", directtest.Encode(e))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		status, _ := explain(args...)
		return status == operator.ExitRefused
	}), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)))
	_, text := explain(args[1:]...)
	must.StrContains(t, text, "refused with 503: no usable endpoint, retry after 1000 ms\n")
	must.StrContains(t, text, "leaving")
}
