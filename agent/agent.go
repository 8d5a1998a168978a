package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/work"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

const (
	// callTimeout bounds every call to another process.
	callTimeout = time.Second
	// shutdownTimeout bounds the wait for connections after the last request has ended.
	shutdownTimeout = 2 * time.Second
)

// Agent is one agent process.
type Agent struct {
	settings Settings
	log      *slog.Logger
	identity fleetrpc.Identity
	started  time.Time

	config   *configstore.Store
	caller   *fleetrpc.Caller
	platform *http.Client
	keys     *logclient.Client
	endpoint *endpointClient
	// unreachable is signalled when the endpoint takes no connection.
	unreachable chan struct{}
	contacts    *contacts
	fencing     fencing
	pool        *pool
	reporter    *reporter
	counts      *counts
	limiter     observability.Limiter

	ahead struct {
		mu sync.Mutex
		// address is the latest sender with a higher configuration version.
		address string
	}

	// applyMu guards applyConfig. It comes before all other mutexes.
	applyMu sync.Mutex

	fleetListener net.Listener
	adminListener net.Listener
	fleetServer   *http.Server
	adminServer   *http.Server
	// cancelWork ends all requests in progress.
	cancelWork context.CancelFunc
}

// New opens the agent's listeners. Run serves them.
func New(s Settings, log *slog.Logger) (*Agent, error) {
	server, client, err := tlsConfigs(s.tlsFiles())
	if err != nil {
		return nil, err
	}
	fleetListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "open fleet listener")
	}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		_ = fleetListener.Close()
		return nil, eris.Wrap(err, "open admin listener")
	}
	a := &Agent{
		settings:      s,
		log:           log,
		started:       time.Now(),
		config:        configstore.New(),
		platform:      newPlatformClient(),
		endpoint:      newEndpointClient(s.EndpointURL),
		unreachable:   make(chan struct{}, 1),
		contacts:      newContacts(s.routers()),
		fleetListener: fleetListener,
		adminListener: adminListener,
	}
	a.identity = fleetrpc.Identity{
		Fleet:    s.Fleet,
		Address:  s.Advertise,
		Instance: fleetrpc.NewInstance(),
		Zone:     s.Zone,
	}
	if a.identity.Address == "" {
		a.identity.Address = fleetListener.Addr().String()
	}
	a.pool = newPool(slots.Params{Instance: a.identity.Instance, StartTimeout: s.StartTimeout})
	a.counts = newCounts(a.pool)
	hc := fleethttp.NewTraffic(a.counts.registry).Client(fleethttp.NewClient(client))
	a.caller = fleetrpc.NewCaller(a.identity, a.config, hc, fleethttp.Scheme(client))
	a.reporter = newReporter(a)
	if s.LogURL != "" {
		a.keys = logclient.New(s.LogURL, a.platform)
	}
	a.newServers(server)
	return a, nil
}

func tlsConfigs(files tlsconf.Files) (server, client *tls.Config, err error) {
	if files.Empty() {
		return nil, nil, nil
	}
	source, err := tlsconf.Open(files)
	if err != nil {
		return nil, nil, err
	}
	return source.FleetServer(), source.FleetClient(), nil
}

// newPlatformClient returns the client for the log and the host list.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callTimeout}).DialContext,
		IdleConnTimeout: time.Minute,
	}}
}

func (a *Agent) newServers(tlsConfig *tls.Config) {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancelWork = cancel
	fleet := http.NewServeMux()
	fleet.HandleFunc("POST "+work.Path, a.serveWork)
	fleet.HandleFunc("GET /healthz", a.serveHealth)
	a.fleetServer = fleethttp.NewServer(fleet, tlsConfig)
	a.fleetServer.BaseContext = func(net.Listener) context.Context { return ctx }
	a.fleetServer.ErrorLog = slog.NewLogLogger(a.log.Handler(), slog.LevelWarn)
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", observability.Handler(a.counts.registry))
	admin.HandleFunc("GET /healthz", a.serveHealth)
	admin.HandleFunc("GET /status", a.serveStatus)
	if a.settings.PProf {
		observability.HandleProfiles(admin)
	}
	a.adminServer = &http.Server{
		Handler:           admin,
		ReadHeaderTimeout: callTimeout,
		ErrorLog:          a.fleetServer.ErrorLog,
	}
}

// FleetAddress returns the address of the listener for routers.
func (a *Agent) FleetAddress() string { return a.fleetListener.Addr().String() }

// AdminAddress returns the address of the admin listener.
func (a *Agent) AdminAddress() string { return a.adminListener.Addr().String() }

// Run serves until ctx ends, which cancels all work, or until stop is closed
// and the agent has drained. It returns ErrDrainTimeout if work had to be cancelled.
func (a *Agent) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreClosed(fleethttp.Serve(a.fleetServer, a.fleetListener)) })
	group.Go(func() error { return ignoreClosed(a.adminServer.Serve(a.adminListener)) })
	group.Go(func() error { observability.TuneGC(ctx); return nil })
	group.Go(func() error { return a.reporter.run(ctx) })
	group.Go(func() error { return a.followConfig(ctx) })
	group.Go(func() error { return a.followHosts(ctx) })
	group.Go(func() error { return a.fetchFencingNumber(ctx) })
	group.Go(func() error { return a.followEndpoint(ctx) })
	group.Go(func() error {
		defer cancel()
		defer a.closeServers()
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			err := a.drain(ctx)
			a.shutdownServers()
			return err
		}
	})
	a.log.Info("ready", "fleet", a.FleetAddress(), "admin", a.AdminAddress(),
		"endpoint", a.settings.Endpoint, "instance", a.identity.Instance)
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdownServers lets connections end in good order.
func (a *Agent) shutdownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = a.fleetServer.Shutdown(ctx)
	_ = a.adminServer.Shutdown(ctx)
}

// closeServers cancels the work that is left and ends all connections.
func (a *Agent) closeServers() {
	a.cancelWork()
	_ = a.fleetServer.Close()
	_ = a.adminServer.Close()
	a.caller.HTTP().CloseIdleConnections()
	a.platform.CloseIdleConnections()
}

// objects returns the endpoint and its service in the configuration in force,
// or nil if there are none.
func (a *Agent) objects() (*objects.Endpoint, *objects.Service) {
	c := a.config.Current()
	if c == nil {
		return nil, nil
	}
	endpoint := c.Set.Endpoints[a.settings.Endpoint]
	if endpoint == nil || c.Set.Services[endpoint.Service] == nil {
		return nil, nil
	}
	return endpoint, c.Set.Services[endpoint.Service]
}

// kick has a report sent soon.
func (a *Agent) kick() { a.reporter.kick() }

// setStop adds or removes a reason to offer nothing and logs the change.
func (a *Agent) setStop(why slots.StopReasons, on bool, cause string) {
	var before slots.StopReasons
	a.pool.update(func(t *slots.Table) {
		before = t.Stopped()
		if on {
			t.Drain(why)
		} else {
			t.Resume(why)
		}
	})
	if (before&why != 0) == on {
		return
	}
	a.log.Info("offering of slots changed", "cause", cause, "stopped", on)
	a.kick()
}
