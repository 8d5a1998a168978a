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
	// callTimeout is the timeout of a call to a router or the host list, of dials
	// to the log and the host list, and of reading headers on the admin listener.
	callTimeout = time.Second
	// shutdownTimeout is the maximum time to wait for connections to close after
	// the last request has ended.
	shutdownTimeout = 2 * time.Second
)

// Agent serves the requests of one endpoint.
type Agent struct {
	settings Settings
	log      *slog.Logger
	identity fleetrpc.Identity
	started  time.Time

	config         *configstore.Store
	clients        *fleetrpc.ClientPool
	platformClient *http.Client
	logClient      *logclient.Client
	endpoint       *endpointClient
	// unreachable receives a signal when the endpoint accepts no connections.
	unreachable chan struct{}
	routers     *routerList
	fencing     fencing
	slots       *slotTable
	reporter    *reporter
	metrics     *agentMetrics
	logLimiter  observability.LogLimiter

	configSource struct {
		mu sync.Mutex
		// address is that of the latest sender with a newer configuration.
		address string
	}

	// applyMu serializes applyConfig. It is acquired before all other mutexes.
	applyMu sync.Mutex

	fleetListener net.Listener
	adminListener net.Listener
	fleetServer   *http.Server
	adminServer   *http.Server
	// cancelRequests cancels all requests in progress.
	cancelRequests context.CancelFunc
}

// New returns an agent with open listeners, which Run serves. It returns an error
// if the TLS files can't be loaded or a listener can't be opened.
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
		settings:       s,
		log:            log,
		started:        time.Now(),
		config:         configstore.New(),
		platformClient: newPlatformClient(),
		endpoint:       newEndpointClient(s.EndpointURL),
		unreachable:    make(chan struct{}, 1),
		routers:        newRouterList(s.routers()),
		fleetListener:  fleetListener,
		adminListener:  adminListener,
	}
	a.identity = fleetrpc.Identity{
		Fleet:    s.Fleet,
		Address:  s.Advertise,
		Instance: fleetrpc.NewInstanceID(),
		Zone:     s.Zone,
	}
	if a.identity.Address == "" {
		a.identity.Address = fleetListener.Addr().String()
	}
	a.slots = newSlotTable(slots.Params{Instance: a.identity.Instance, StartTimeout: s.StartTimeout})
	a.metrics = newMetrics(a.slots)
	hc := fleethttp.NewTraffic(a.metrics.registry).Client(fleethttp.NewClient(client))
	a.clients = fleetrpc.NewClientPool(a.identity, a.config, hc, fleethttp.Scheme(client))
	a.reporter = newReporter(a)
	if s.LogURL != "" {
		a.logClient = logclient.New(s.LogURL, a.platformClient)
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
	return source.FleetServerConfig(), source.FleetClientConfig(), nil
}

// newPlatformClient returns the HTTP client for the log and the host list.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callTimeout}).DialContext,
		IdleConnTimeout: time.Minute,
	}}
}

func (a *Agent) newServers(tlsConfig *tls.Config) {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancelRequests = cancel
	fleet := http.NewServeMux()
	fleet.HandleFunc("POST "+work.Path, a.serveWork)
	fleet.HandleFunc("GET /healthz", a.serveHealth)
	a.fleetServer = fleethttp.NewServer(fleet, tlsConfig)
	a.fleetServer.BaseContext = func(net.Listener) context.Context { return ctx }
	a.fleetServer.ErrorLog = slog.NewLogLogger(a.log.Handler(), slog.LevelWarn)
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", observability.Handler(a.metrics.registry))
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

// Run serves until ctx is cancelled, which cancels all requests, or until stop is
// closed and the agent has drained. It returns ErrDrainTimeout if requests were
// cancelled at the end of the drain timeout.
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
	group.Go(func() error { return a.probeUnreachableEndpoint(ctx) })
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

// shutdownServers shuts the servers down gracefully, within shutdownTimeout.
func (a *Agent) shutdownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = a.fleetServer.Shutdown(ctx)
	_ = a.adminServer.Shutdown(ctx)
}

// closeServers cancels the remaining requests and closes all connections.
func (a *Agent) closeServers() {
	a.cancelRequests()
	_ = a.fleetServer.Close()
	_ = a.adminServer.Close()
	a.clients.HTTP().CloseIdleConnections()
	a.platformClient.CloseIdleConnections()
}

// currentObjects returns the endpoint and its service from the current
// configuration, or nil if either is missing.
func (a *Agent) currentObjects() (*objects.Endpoint, *objects.Service) {
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

// triggerReport schedules a report to the queue owner.
func (a *Agent) triggerReport() { a.reporter.trigger() }

// setStop sets or clears a reason to offer no tokens and logs the change.
func (a *Agent) setStop(reason slots.StopReasons, set bool, cause string) {
	var before slots.StopReasons
	a.slots.update(func(t *slots.Table) {
		before = t.StopReasons()
		if set {
			t.Stop(reason)
		} else {
			t.Resume(reason)
		}
	})
	if (before&reason != 0) == set {
		return
	}
	a.log.Info("stop reason changed", "cause", cause, "stopped", set)
	a.triggerReport()
}
