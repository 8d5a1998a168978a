package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// configChanges returns changes that would refuse, move or end the requests of the tests.
func configChanges() map[string]func(c *routing.Config) {
	eachRoute := func(change func(route *routing.Route)) func(c *routing.Config) {
		return func(c *routing.Config) {
			for i := range c.Routes {
				change(&c.Routes[i])
			}
		}
	}
	move := eachRoute(func(route *routing.Route) {
		route.Destinations = []routing.Destination{{Service: "other", Weight: 1}}
	})
	return map[string]func(c *routing.Config){
		"routes moved": move,
		"routes removed": func(c *routing.Config) {
			c.Routes = []routing.Route{route("new", "/new/", routing.Idempotent, "other")}
		},
		"services removed":   func(c *routing.Config) { move(c); c.Services = []routing.Service{{Name: "other"}} },
		"key removed":        func(c *routing.Config) { c.Teams = []routing.Team{{Name: "t2", Keys: []string{"k2"}}} },
		"timeouts shortened": eachRoute(func(route *routing.Route) { route.Timeout = time.Millisecond }),
		"one attempt":        eachRoute(func(route *routing.Route) { route.Attempts = 1 }),
		"semantics changed":  eachRoute(func(route *routing.Route) { route.Semantics, route.Resumable = routing.NonIdempotent, false }),
		"idle timeout reduced": func(c *routing.Config) {
			c.Limits.IdleTimeout, c.Limits.HeaderTimeout = time.Millisecond, time.Millisecond
		},
		"limit on bodies":       func(c *routing.Config) { c.Limits.BodyBytes = 1 },
		"capacity reduced":      func(c *routing.Config) { c.Limits.TokensPerSecond = 1 },
		"services become plain": func(c *routing.Config) { c.Services[1].Engine = nil },
	}
}

// waitingOrigins finds no origin before the configuration has changed.
type waitingOrigins struct {
	*origins
	asked   chan<- struct{}
	changed <-chan struct{}
}

func (o waitingOrigins) Find(ctx context.Context, attempt string, routes []*routing.Route) (streamorigin.Build, bool) {
	o.asked <- struct{}{}
	<-o.changed
	return o.origins.Find(ctx, attempt, routes)
}

// changedRouter is a router whose configuration changes while an endpoint, or another part, holds a request.
type changedRouter struct {
	*router
	// held gets a value once the request has come as far as it should before the change.
	held    chan struct{}
	changed chan struct{}
}

func (r *changedRouter) hold() {
	r.held <- struct{}{}
	<-r.changed
}

// Guards against a request in progress that gets neither its answer nor a refusal because a newer
// configuration takes effect.
func TestConfigurationChangeLeavesRequestsInProgress(t *testing.T) {
	t.Parallel()
	const connects = 50 * time.Millisecond
	events := func(n int, then func(r *changedRouter, c net.Conn, call *directtest.Call) bool) func(r *changedRouter) directtest.Script {
		return func(r *changedRouter) directtest.Script {
			return func(c net.Conn, call *directtest.Call) bool {
				if n > 0 {
					directtest.BeginStream(c, call)
					directtest.Chunk(c, eventsFrom(1, n))
				}
				r.hold()
				return then(r, c, call)
			}
		}
	}
	complete := streamFrom("v1", streamEvents, streamEvents)
	rest := func(_ *changedRouter, c net.Conn, _ *directtest.Call) bool {
		directtest.Chunk(c, eventsFrom(3, streamEvents))
		directtest.Chunk(c, "")
		return true
	}
	breakOff := func(_ *changedRouter, c net.Conn, call *directtest.Call) bool { return reset(c, call) }
	silent := func(_ *changedRouter, c net.Conn, _ *directtest.Call) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	answer := func(_ *changedRouter, c net.Conn, call *directtest.Call) bool { return ok(c, call) }
	turnAway := func(_ *changedRouter, c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusServiceUnavailable, "", headers.NotExecuted+": 1")
		return true
	}
	for _, c := range []struct {
		name, path, service string
		first               func(r *changedRouter) directtest.Script
		// second is the script of an endpoint that is added after the request was sent to the first.
		second directtest.Script
		status int
		events int
	}{
		{"safe request", "/lookup/1", "plain", events(0, answer), nil, 200, 0},
		{"request that may run once", "/order/1", "plain", events(0, answer), nil, 200, 0},
		{"safe request that breaks off", "/lookup/1", "plain", events(0, breakOff), ok, 200, 0},
		{"request that may run once and breaks off", "/order/1", "plain", events(0, breakOff), ok, 502, 0},
		{"request that is turned away", "/order/1", "plain", events(0, turnAway), ok, 200, 0},
		{"request that is turned away everywhere", "/order/1", "plain", events(0, turnAway), nil, 503, 0},
		{"safe request beside a silent endpoint", "/lookup/1", "plain", events(0, silent), ok, 200, 0},
		{"stream before its first event", "/stream/1", "engines", events(0, func(_ *changedRouter, c net.Conn, call *directtest.Call) bool { return complete(c, call) }), nil, 200, streamEvents},
		{"stream that has begun", "/stream/1", "engines", events(2, rest), nil, 200, streamEvents},
		{"resumable stream that breaks off", "/resumable/1", "engines", events(2, breakOff), complete, 200, streamEvents},
		{"resumable stream beside a silent endpoint", "/resumable/1", "engines", events(2, silent), complete, 200, streamEvents},
	} {
		for name, change := range configChanges() {
			t.Run(c.name+", "+name, func(t *testing.T) {
				t.Parallel()
				r := newChangedRouter(t)
				r.add("first", c.service, c.first(r))
				answered := make(chan result, 1)
				go func() { answered <- r.post(c.path) }()
				<-r.held
				if c.second != nil {
					r.add("second", c.service, c.second)
				}
				r.change(change)
				got := <-answered
				must.NoError(t, got.err)
				must.Eq(t, c.status, got.status, must.Sprint(got.body))
				must.Eq(t, c.events, strings.Count(got.body, "id:"))
				mustBeIdle(t, r.router)
			})
		}
	}
	for name, change := range configChanges() {
		t.Run("resumable stream that waits for a place, "+name, func(t *testing.T) {
			t.Parallel()
			r := newChangedRouter(t)
			r.add("first", "engines", func(c net.Conn, call *directtest.Call) bool {
				directtest.BeginStream(c, call)
				directtest.Chunk(c, eventsFrom(1, 2))
				r.held <- struct{}{}
				return reset(c, call)
			})
			answered := make(chan result, 1)
			go func() { answered <- r.post("/resumable/1") }()
			<-r.held
			time.Sleep(connects)
			r.change(change)
			time.Sleep(connects)
			r.add("second", "engines", complete)
			got := <-answered
			must.NoError(t, got.err)
			must.Eq(t, streamEvents, strings.Count(got.body, "id:"))
			mustBeIdle(t, r.router)
		})
		t.Run("stream that its caller takes up, "+name, func(t *testing.T) {
			t.Parallel()
			r := newChangedRouter(t)
			r.addVersion("first", "engines", "v1", complete)
			r.origins.Record("earlier", streamorigin.BuildOf("engines", "v1"))
			r.handler.Origins = waitingOrigins{&r.origins, r.held, r.changed}
			in := r.request(http.MethodPost, "/resumable/1", "body")
			in.Header.Set(headers.LastEventID, "2")
			in.Header.Set(headers.Resumes, "earlier")
			answered := make(chan result, 1)
			go func() { answered <- r.do(in) }()
			<-r.held
			r.change(change)
			got := <-answered
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
			must.Eq(t, streamEvents-2, strings.Count(got.body, "id:"))
			mustBeIdle(t, r.router)
		})
		t.Run("request whose body is being read, "+name, func(t *testing.T) {
			t.Parallel()
			r := newChangedRouter(t)
			r.add("first", "plain", ok)
			body, writer := io.Pipe()
			in := r.request(http.MethodPost, "/order/1", "")
			in.Body, in.ContentLength = body, -1
			answered := make(chan result, 1)
			go func() { answered <- r.do(in) }()
			_, err := io.WriteString(writer, "one ")
			must.NoError(t, err)
			for r.handler.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(connects)
			r.change(change)
			_, err = io.WriteString(writer, "two")
			must.NoError(t, err)
			must.NoError(t, writer.Close())
			got := <-answered
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
			mustBeIdle(t, r.router)
		})
	}
}

func newChangedRouter(t *testing.T) *changedRouter {
	r := &changedRouter{newRouter(t), make(chan struct{}, 2), make(chan struct{})}
	logOnFailure(t, r.router)
	return r
}

// change brings a changed configuration into force and lets held requests go on.
func (r *changedRouter) change(change func(c *routing.Config)) {
	r.t.Helper()
	newer := config()
	newer.Version = 2
	newer.Services = append(newer.Services, routing.Service{Name: "other"})
	change(newer)
	table, err := routing.Compile(newer)
	must.NoError(r.t, err)
	r.handler.Routes.Advance(table)
	r.handler.Dispatcher.SetCapacity(table.Limits.TokensPerSecond, 2)
	close(r.changed)
}
