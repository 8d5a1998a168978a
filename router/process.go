package router

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/router/configfollow"
	"github.com/acaciaspar/acaciaspar/router/entry"
	"github.com/acaciaspar/acaciaspar/router/gossip"
	"github.com/acaciaspar/acaciaspar/router/keyclaim"
	"github.com/acaciaspar/acaciaspar/router/owner"
	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/state/audit"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/callerconn"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/hostlist"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

const (
	// platformTimeout limits one call to the log or the host list.
	platformTimeout = 3 * time.Second
	// leaveDelay is the minimum time between leaving the fleet and closing the
	// listeners, so that other processes are notified first.
	leaveDelay = 2 * time.Second
	// closeTimeout limits the graceful shutdown of the listeners at exit, and
	// finishTimeout the part of it in which the HTTP/1.1 connections of callers end.
	closeTimeout  = 5 * time.Second
	finishTimeout = 2 * time.Second

	callerReadHeaderTimeout = 10 * time.Second
	callerIdleTimeout       = 2 * time.Minute
	callerMaxHeaderBytes    = 64 << 10
	// callerMaxStreams is the maximum number of concurrent requests on one HTTP/2
	// connection of a caller.
	callerMaxStreams = 1_000

	// maxControlBytes limits the body of a message between processes. The largest
	// are full syncs of tickets and full reports of agents, with 1 to 2 MiB at
	// their limits.
	maxControlBytes = 8 << 20

	// snapshotWriterKey is the rendezvous hashing key that selects the router that
	// appends snapshots.
	snapshotWriterKey = "config-snapshot"
)

// ErrInterrupted means that requests in progress were ended by the drain timeout
// or a second signal.
var ErrInterrupted = eris.New("requests in progress were ended")

// process is one running router.
type process struct {
	settings   *Settings
	log        *slog.Logger
	registry   metrics.Registry
	tls        *tlsconf.Source
	logLimiter observability.LogLimiter

	store    *configstore.Store
	clients  *fleetrpc.ClientPool
	traffic  *fleethttp.Traffic
	audit    *audit.Trails
	gossip   *gossip.Gossip
	follower *configfollow.Follower
	owner    *owner.Owner
	keys     *keyclaim.Claimer
	entry    *entry.Server

	callers      *callerconn.Listener
	callerServer *http.Server
	fleetServer  *http.Server
	adminServer  *http.Server
	draining     atomic.Bool
}

type listeners struct {
	callers, fleet, admin net.Listener
}

// Run runs a router until ctx ends, a server fails, or a signal is received. After
// the first signal it drains the router; the second ends the drain. It returns
// ErrInterrupted if requests in progress were ended. It writes JSON log lines to
// out.
func Run(ctx context.Context, s *Settings, out io.Writer, signals <-chan os.Signal) error {
	level, err := settings.LogLevel(s.LogLevel)
	if err != nil {
		return eris.Wrap(err, "log level")
	}
	p := &process{
		settings: s,
		log:      observability.NewLogger(out, level, "router"),
		registry: metrics.NewRegistry(),
	}
	if files := s.tlsFiles(); !files.Empty() {
		if p.tls, err = tlsconf.Open(files); err != nil {
			return err
		}
	}
	ls, err := listen(s)
	if err != nil {
		return err
	}
	p.build(ls)
	return p.run(ctx, ls, signals)
}

func listen(s *Settings) (listeners, error) {
	var ls listeners
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{{s.Listen, &ls.callers}, {s.FleetListen, &ls.fleet}, {s.AdminListen, &ls.admin}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, eris.Wrap(err, "listen")
		}
		*l.listener = listener
	}
	return ls, nil
}

// build creates the components and the servers. It does not start them.
func (p *process) build(ls listeners) {
	s := p.settings
	address := s.Advertise
	if address == "" {
		address = ls.fleet.Addr().String()
	}
	var clientTLS, fleetTLS, callerTLS *tls.Config
	if p.tls != nil {
		clientTLS, fleetTLS, callerTLS = p.tls.FleetClientConfig(), p.tls.FleetServerConfig(), p.tls.CallerServerConfig()
	}
	p.traffic = fleethttp.NewTraffic(p.registry)
	p.store = configstore.New()
	identity := fleetrpc.Identity{Fleet: s.Fleet, Address: address, Instance: fleetrpc.NewInstanceID(), Zone: s.Zone}
	client := p.traffic.Client(fleethttp.NewClient(clientTLS))
	p.clients = fleetrpc.NewClientPool(identity, p.store, client, fleethttp.Scheme(clientTLS))
	p.audit = audit.New(s.AuditTrails, p.log)
	p.buildCoordination()
	p.buildEntry()
	p.clients.SetLocal(fleetrpc.Local{Owner: p.owner, Entry: p.entry})
	p.buildServers(ls, callerTLS, fleetTLS)
}

func (p *process) buildCoordination() {
	s := p.settings
	platformClient := &http.Client{Timeout: platformTimeout}
	var hosts func(context.Context) ([]hostlist.Host, error)
	if s.HostsURL != "" {
		hosts = func(ctx context.Context) ([]hostlist.Host, error) {
			return hostlist.Fetch(ctx, platformClient, s.HostsURL)
		}
	}
	p.gossip = gossip.New(gossip.Options{
		Clients:  p.clients,
		Seeds:    s.peers(),
		HostList: hosts,
		Logger:   p.log,
		Metrics:  p.registry,
	})
	var logClient *logclient.Client
	if s.LogURL != "" {
		logClient = logclient.New(s.LogURL, platformClient)
	}
	p.follower = configfollow.New(configfollow.Options{
		Store:            p.store,
		Log:              logClient,
		Clients:          p.clients,
		Peers:            p.gossip.Live,
		IsSnapshotWriter: p.isSnapshotWriter,
		SnapshotEvery:    s.SnapshotEvery,
		SnapshotInterval: s.SnapshotInterval,
		Logger:           p.log,
		Metrics:          p.registry,
	})
	p.owner = owner.New(owner.Options{
		Clients:     p.clients,
		Store:       p.store,
		View:        p.gossip,
		Ordering:    orderings[s.Ordering],
		Placement:   placements[s.Placement],
		CreditLimit: s.CreditLimit,
		Logger:      p.log,
		Metrics:     p.registry,
	})
	if logClient != nil {
		p.keys = keyclaim.New(keyclaim.Options{
			Log:      logClient,
			Instance: p.clients.Identity().Instance,
			Window:   s.KeyWindow,
			Timeout:  s.KeyTimeout,
			Logger:   p.log,
			Metrics:  p.registry,
		})
	}
}

var (
	orderings = map[string]fairqueue.Ordering{
		"fair":        fairqueue.Fair,
		"fcfs":        fairqueue.FCFS,
		"router-fair": fairqueue.RouterFair,
	}
	placements = map[string]fairqueue.Placement{
		"affinity": fairqueue.Affinity,
		"random":   fairqueue.Random,
	}
)

func (p *process) isSnapshotWriter() bool {
	self := p.clients.Identity().Address
	if p.gossip.Leaving() {
		return false
	}
	return rendezvous.Choose(snapshotWriterKey, append(p.gossip.Live(), self)) == self
}

func (p *process) buildEntry() {
	s := p.settings
	limits := entry.DefaultLimits()
	limits.MaxBody = s.MaxBody
	limits.MaxHeldBody = s.MaxHeldBody
	limits.TeamQueueCount = s.TeamQueueCount
	limits.TeamQueueBytes = s.TeamQueueBytes
	limits.QueueTimeout = s.QueueTimeout
	limits.ResponseTimeout = s.ResponseTimeout
	limits.IdleTimeout = s.IdleTimeout
	limits.BodyTimeout = s.BodyTimeout
	options := entry.Options{
		Clients:      p.clients,
		Store:        p.store,
		Owner:        p.gossip.Owner,
		OwnerChanged: p.gossip.Changed,
		Audit:        p.audit,
		Logger:       p.log,
		Metrics:      p.registry,
		Limits:       limits,
	}
	if p.keys != nil {
		options.Keys = p.keys
	}
	p.entry = entry.New(options)
}

func (p *process) buildServers(ls listeners, callerTLS, fleetTLS *tls.Config) {
	fleet := http.NewServeMux()
	hooks := twirp.WithServerHooks(p.malformedCallHooks())
	fleet.Handle(fleetpb.OwnerPathPrefix, fleetpb.NewOwnerServer(p.owner, hooks))
	fleet.Handle(fleetpb.EntryPathPrefix, fleetpb.NewEntryServer(p.entry, hooks))
	fleet.Handle(fleetpb.MembersPathPrefix, fleetpb.NewMembersServer(p.gossip, hooks))
	fleet.Handle(fleetpb.ControlPathPrefix, fleetpb.NewControlServer(&control{p}, hooks))
	p.fleetServer = fleethttp.NewServer(p.traffic.Handler(http.MaxBytesHandler(fleet, maxControlBytes)), fleetTLS)

	callers := http.NewServeMux()
	callers.HandleFunc("GET /healthz", p.serveHealth)
	callers.Handle("/", p.entry)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(callerTLS != nil)
	protocols.SetUnencryptedHTTP2(callerTLS == nil)
	p.callers = callerconn.NewListener(ls.callers, callerTLS != nil)
	p.callerServer = &http.Server{
		Handler:           p.closeWhileDraining(callers),
		ConnState:         callerconn.ConnState,
		TLSConfig:         callerTLS,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: callerMaxStreams},
		ReadHeaderTimeout: callerReadHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerMaxHeaderBytes,
	}

	admin := http.NewServeMux()
	admin.Handle("GET /metrics", observability.Handler(p.registry))
	admin.HandleFunc("GET /healthz", p.serveHealth)
	if p.settings.PProf {
		observability.HandleProfiles(admin)
	}
	p.adminServer = &http.Server{Handler: admin, ReadHeaderTimeout: callerReadHeaderTimeout}
}

// closeWhileDraining tells callers over HTTP/1.1 that their connection is closed after the response while
// this router drains.
func (p *process) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// With HTTP/2, it would end the whole connection.
		if r.ProtoMajor == 1 && p.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// serveHealth responds with 200 while this router accepts new requests, otherwise 503.
func (p *process) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if p.draining.Load() || p.store.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// run starts the components, and drains and stops them after a signal.
func (p *process) run(ctx context.Context, ls listeners, signals <-chan os.Signal) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return serve(p.callerServer, p.callers) })
	group.Go(func() error { return serve(p.fleetServer, ls.fleet) })
	group.Go(func() error { return serve(p.adminServer, ls.admin) })
	group.Go(func() error { observability.TuneGC(runCtx); return nil })
	group.Go(func() error { return ignoreCanceled(p.gossip.Run(runCtx)) })
	group.Go(func() error { return ignoreCanceled(p.follower.Run(runCtx)) })
	group.Go(func() error { return ignoreCanceled(p.owner.Run(runCtx)) })
	if p.keys != nil {
		group.Go(func() error { return ignoreCanceled(p.keys.Run(runCtx)) })
	}
	identity := p.clients.Identity()
	p.log.Info("ready",
		"callers", ls.callers.Addr().String(),
		"fleet", ls.fleet.Addr().String(),
		"admin", ls.admin.Addr().String(),
		"advertise", identity.Address,
		"instance", identity.Instance,
		"zone", identity.Zone)

	var drainErr error
	select {
	case sig := <-signals:
		p.log.Info("drain started", "signal", sig.String())
		drainErr = p.drain(runCtx, signals)
	case <-runCtx.Done():
	}
	p.close()
	stop()
	if err := group.Wait(); err != nil {
		return err
	}
	return drainErr
}

// drain waits until the requests of this router have ended. It returns
// ErrInterrupted if the drain timeout or a second signal comes first.
func (p *process) drain(ctx context.Context, signals <-chan os.Signal) error {
	p.draining.Store(true)
	p.gossip.Leave()
	leaveTimer := time.After(leaveDelay)
	ctx, cancel := context.WithTimeout(ctx, p.settings.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.entry.Drain(ctx) }()
	select {
	case err := <-done:
		if err != nil {
			p.log.Warn("drain timed out; requests in progress were ended", "limit", p.settings.DrainTimeout.String())
			return ErrInterrupted
		}
	case sig := <-signals:
		p.log.Warn("second signal received; ending requests in progress", "signal", sig.String())
		return ErrInterrupted
	}
	select {
	case <-leaveTimer:
	case <-signals:
	}
	p.log.Info("drain completed")
	return nil
}

// close shuts the servers down, and closes them if requests are still active
// after closeTimeout.
func (p *process) close() {
	p.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.finishCallers(ctx)
	for _, server := range []*http.Server{p.callerServer, p.fleetServer, p.adminServer} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
}

// finishCallers ends the HTTP/1.1 connections of callers, because Shutdown would close those in whose
// socket a request waits.
func (p *process) finishCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	result, err := p.callers.Finish(ctx)
	if err != nil {
		p.log.Warn("accept the last connections failed", "error", err.Error())
	}
	p.log.Info("connections finished", "lastAccepted", result.LastAccepted, "endedIdle", result.EndedIdle, "left", result.Left)
}

func serve(s *http.Server, l net.Listener) error {
	err := fleethttp.Serve(s, l)
	// The listener for callers is closed before its server is shut down.
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "serve")
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
