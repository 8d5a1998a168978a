package direct

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/coordination/warmup"
	"github.com/acaciaspar/acaciaspar/direct/confirm"
	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/direct/entry"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/mesh"
	"github.com/acaciaspar/acaciaspar/direct/origins"
	"github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/protocol/explanation"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

const (
	// dialTimeout bounds connecting to an endpoint. It covers two of the longest
	// round trips between zones plus a slow accept, and stays well below latency
	// targets.
	dialTimeout = 250 * time.Millisecond
	// headerTimeout bounds reading a request's headers while the configured
	// limits are not known yet.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time between two requests on a connection. It is longer
	// than every idle timeout that is announced to callers.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 32 << 10
	// sweepInterval is the interval at which idle connections are closed, expired
	// table entries evicted and gauges updated.
	sweepInterval = time.Second
	// reservedDescriptors is the number of file descriptors reserved for files
	// and for connections to the store and to peers.
	reservedDescriptors = 300
	// memoryFraction is the fraction of the memory that the Go runtime may use;
	// the rest is left for the kernel's receive buffers.
	memoryFraction = 0.6
	// bodyMemoryFraction is the fraction of the memory for request bodies.
	bodyMemoryFraction = 0.2
	// heldMemoryFraction is the fraction of the memory for bodies, buffered responses and events that
	// wait for callers: half of what the Go runtime may use, which also holds the tables and garbage.
	heldMemoryFraction = 0.3
	// socketMemoryFraction is the fraction of the memory for the receive buffers of callers' connections
	// that aren't read yet. With memoryFraction, it leaves a twentieth for the rest.
	socketMemoryFraction = 0.35
	// inFlightBytes is the memory of a request in progress without its body, in bytes: 32 KB for
	// goroutines, headers and the HTTP server's buffers, 80 KB for the send buffer of the caller's
	// connection and the rest for the receive buffer of the one to the endpoint.
	inFlightBytes = 160 << 10
	// loggedUtilization is the CPU utilization from which the load is logged once a second.
	loggedUtilization = 0.8
	// rotationInterval is the interval between checks whether this router should
	// be in the load balancer's rotation.
	rotationInterval = 100 * time.Millisecond
	// membersInterval is the interval at which a router without live peers lists
	// the announced routers again.
	membersInterval = 5 * time.Second
	// drainPollInterval is the interval at which a drain checks for completion.
	drainPollInterval = 50 * time.Millisecond
	// minDrainTime is the shortest drain: the load balancer needs two readiness
	// checks, one second apart, to take the router out of rotation, and callers may
	// reuse connections that became idle before it.
	minDrainTime = entry.ReuseTime + 200*time.Millisecond
	// finalAnswerTime is the time before the end of a drain at which requests that aren't finished get an
	// answer that says so.
	finalAnswerTime = 400 * time.Millisecond
	// drainMargin is subtracted from the drain timeout, so that the process ends
	// before it.
	drainMargin = 300 * time.Millisecond
)

// Options configures a router for one deployment.
type Options struct {
	Settings Settings
	Store    follow.Store
	Decoder  follow.Decoder
	Dialect  dialect.Dialect
	Output   io.Writer
	// ReadyPath is the URL path of the readiness check.
	ReadyPath string
	// Report describes how endpoints report their start time.
	Report confirm.Report
	// Signals delivers SIGTERM and SIGINT, which drain the router, and SIGHUP.
	Signals <-chan os.Signal
	// Reload reads the settings again after SIGHUP; nil if there is nothing to
	// reload.
	Reload func() error
}

type process struct {
	options    Options
	log        *slog.Logger
	metrics    metrics.Registry
	routes     *routing.Store
	endpoints  *registry.Table
	dispatcher *dispatch.Dispatcher
	pool       *endpointhttp.Pool
	handler    *entry.Handler
	follower   *follow.Follower
	origins    *origins.Origins
	confirmer  *confirm.Confirmer
	// steadySince is the beginning of the time that storeAnswered returns.
	steadySince time.Time
	mesh        *mesh.Mesh
	evacuations *evacuation.Table
	listeners   listeners
	// callers accepts the connections of callers.
	callers *conns.Listener
	// requests is the context of all requests of callers. endRequests ends those that can't be finished.
	requests    context.Context
	endRequests context.CancelCauseFunc
	monitor     overload.Monitor
	admission   overload.Admission
	rotation    *overload.Rotation
	stopping    chan struct{}
}

type listeners struct {
	traffic, ready, fleet, metrics net.Listener
	datagrams                      *net.UDPConn
}

// Run runs a router until it receives a stop signal, then drains it. It returns
// an error if the router can't start or one of its goroutines fails.
func Run(ctx context.Context, options Options) error {
	p, closeLog, err := newProcess(options)
	if err != nil {
		return err
	}
	defer closeLog()
	debug.SetMemoryLimit(int64(memoryFraction * float64(options.Settings.MemoryBytes)))
	p.log.Info("start", "name", options.Settings.Name, "zone", options.Settings.Zone,
		"traffic", p.listeners.traffic.Addr().String(), "ready", p.listeners.ready.Addr().String(),
		"fleet", p.listeners.fleet.Addr().String())
	return p.run(ctx)
}

func newProcess(o Options) (*process, func(), error) {
	writer := observability.NewAsyncWriter(o.Output)
	registry := metrics.NewRegistry()
	level := o.Settings.LogLevel
	logger := observability.NewRateLimitedLogger(writer, level, "direct-router", o.Settings.LogLinesPerSecond, registry)
	p := &process{options: o, log: logger, metrics: registry, stopping: make(chan struct{}), rotation: overload.NewRotation(time.Now())}
	if err := p.listeners.open(&o.Settings); err != nil {
		writer.Close()
		return nil, nil, err
	}
	p.requests, p.endRequests = context.WithCancelCause(context.Background())
	p.compose()
	return p, writer.Close, nil
}

// listenConfig disables keep-alive probes, which cost four system calls for
// each accepted connection; idle connections are closed by a timeout instead.
var listenConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}

func (l *listeners) open(s *Settings) error {
	for _, item := range []struct {
		address string
		target  *net.Listener
	}{{s.Listen, &l.traffic}, {s.ReadyListen, &l.ready}, {s.FleetListen, &l.fleet}, {s.MetricsListen, &l.metrics}} {
		if item.address == "" {
			continue
		}
		listener, err := listenConfig.Listen(context.Background(), "tcp4", item.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", item.address)
		}
		*item.target = listener
	}
	address, err := net.ResolveUDPAddr("udp4", l.fleet.Addr().String())
	if err != nil {
		return eris.Wrap(err, "resolve UDP address")
	}
	if l.datagrams, err = net.ListenUDP("udp4", address); err != nil {
		return eris.Wrapf(err, "listen on UDP %s", address)
	}
	return nil
}

func (p *process) compose() {
	s := &p.options.Settings
	p.routes = &routing.Store{}
	p.endpoints = registry.NewTable()
	// Entries that this router reads or fetches later than that would leave too little of the bound on
	// draining for the way of a record to it and of a request to the endpoint.
	p.endpoints.SetMaxAge(s.StoreWait)
	limits := retry.Limits{Floor: s.RetryFloor, Fraction: s.RetryFraction}
	p.dispatcher = dispatch.New(s.Zone, p.endpoints, placement.DefaultPolicy(), limits)
	if !s.FirstStart {
		p.dispatcher.LimitRetriesAtStart(retry.Start{Until: time.Now().Add(retry.UnknownSpan), Fraction: s.RetryStart})
	}
	p.evacuations = evacuation.NewTable()
	p.dispatcher.UseEvacuations(p.evacuations)
	p.dispatcher.SetColdBounds(warmup.Bounds{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack})
	p.pool = endpointhttp.NewPool(dialTimeout)
	p.handler = &entry.Handler{
		Routes: p.routes, Dispatcher: p.dispatcher, Pool: p.pool, Dialect: p.options.Dialect,
		Log: p.log, Metrics: entry.NewMetrics(p.metrics),
		MaxHeldBytes: int64(bodyMemoryFraction * float64(s.MemoryBytes)),
		MaxInFlight:  min(int64(s.Descriptors-reservedDescriptors)/3, s.MemoryBytes/inFlightBytes),
		Memory:       conns.NewMemory(int64(heldMemoryFraction*float64(s.MemoryBytes)), p.log, p.metrics),
	}
	localState := mesh.LocalState{ConfigVersion: p.configVersion, Mirror: func(t follow.Topic) *mirror.Topic { return p.follower.Mirror(t) },
		ReadsStore: func() bool { return p.follower.ReadsStore() }, OutOfRotation: p.rotation.Out, Streams: func() mesh.Streams { return p.origins }}
	instance := fleetrpc.NewInstanceID()
	p.mesh = mesh.New(instance, p.listeners.datagrams.LocalAddr().(*net.UDPAddr).AddrPort(), p.listeners.datagrams,
		p.dispatcher, localState, p.log, p.metrics)
	p.mesh.Add(s.peerList()...)
	p.follower = follow.New(follow.Options{
		ReadWait: s.StoreWait, Store: p.options.Store, Decoder: p.options.Decoder, Peers: p.mesh,
		Routes: p.routes, Endpoints: p.endpoints, Evacuations: p.evacuations, Log: p.log, Metrics: p.metrics,
	})
	p.follower.OnChange, p.follower.OnStoreNews = p.updateDispatcher, p.mesh.SendSoon
	p.follower.OnZoneReturned = func(zone string) { p.dispatcher.ZoneReturned(time.Now(), zone) }
	p.origins = origins.New(origins.Options{
		Name: s.Name, Process: instance, Store: p.follower, Saves: p.mesh.SavesStreams, StoreIsRead: p.mesh.StoreIsRead,
		Shares:            func() origins.Shares { return origins.SharesOf(p.routes.Current(), p.dispatcher.Builds()) },
		KnowsAllEndpoints: func() bool { return p.dispatcher.KnowsAllEndpoints(time.Now()) }, Routers: p.dispatcher.Routers,
		LongestStream: p.longestStream, FirstStart: s.FirstStart, Log: p.log, Metrics: p.metrics,
	})
	p.handler.Origins = p.origins
	p.confirmer = &confirm.Confirmer{
		Dispatcher: p.dispatcher, Pool: p.pool, Dialect: p.options.Dialect, Report: p.options.Report,
		StoreAnswered: p.storeAnswered, Log: p.log, Metrics: p.metrics,
	}
	p.handler.Verification = p.confirmer.Verification
	p.pool.OnBroken = p.doubtIncarnation
	p.pool.Uncertain = func() bool { return p.endpoints.EntriesDue(time.Now()) > 0 }
}

// doubtIncarnation handles a broken connection to an endpoint. While the store answers, it tells of a
// restart; endpoints also close idle connections while they run.
func (p *process) doubtIncarnation(id string, idle bool) {
	now := time.Now()
	if !idle || p.endpoints.EntriesDue(now) > 0 {
		p.dispatcher.DoubtIncarnation(now, id)
	}
}

// storeAnswered returns the bounds of the latest time in which the store is known to have answered this
// router or a peer, or zero times. A router that reads the store notices an outage when its read times
// out. Only the confirmer calls it.
func (p *process) storeAnswered(now time.Time) (since, until time.Time) {
	switch {
	case p.follower.ReadsStore():
		until = p.follower.AnsweredAt()
	case p.mesh.HasStoreReader():
		until = now.Add(-p.follower.ReadTimeout() - p.mesh.ReaderTimeout())
	default:
		p.steadySince = time.Time{}
		return time.Time{}, time.Time{}
	}
	if p.steadySince.IsZero() {
		p.steadySince = now
	}
	return p.steadySince, until
}

// longestStream returns the longest timeout of a route whose streams may be resumed.
func (p *process) longestStream() time.Duration {
	if t := p.routes.Current(); t != nil {
		return t.LongestResumableStream()
	}
	return 0
}

func (p *process) configVersion() uint64 {
	if t := p.routes.Current(); t != nil {
		return t.Version
	}
	return 0
}

// updateDispatcher passes endpoint restarts and the token capacity to the
// dispatcher after the configuration or the endpoints changed.
func (p *process) updateDispatcher() {
	table := p.routes.Current()
	if table == nil {
		return
	}
	engines := 0
	for _, e := range p.endpoints.All() {
		p.dispatcher.Restarted(e.ID, e.Started)
		if service := table.Service(e.Service); service != nil && service.Engine != nil && e.State == registry.Ready {
			engines++
		}
	}
	p.dispatcher.SetCapacity(table.Limits.TokensPerSecond, engines)
	p.dispatcher.UpdateCold(time.Now(), coldServices(table))
}

// errStopped is returned by the goroutine that completed a drain. It ends the
// process's other goroutines.
var errStopped = errors.New("stopped")

func (p *process) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	traffic := &http.Server{
		Handler: p.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: entry.ConnContext, ConnState: conns.ConnState, BaseContext: func(net.Listener) context.Context { return p.requests },
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	load := conns.Load{Monitor: &p.monitor, Admission: &p.admission, Rotation: p.rotation}
	s := &p.options.Settings
	limits := conns.Limits{Descriptors: s.Descriptors - reservedDescriptors, SocketMemory: int64(socketMemoryFraction * float64(s.MemoryBytes))}
	p.callers = conns.New(p.listeners.traffic, limits, load, p.log, p.metrics)
	p.handler.Overload = p.callers
	serve(ctx, group, traffic, p.callers)
	serve(ctx, group, p.server(p.readiness()), p.listeners.ready)
	serve(ctx, group, p.server(p.mesh.Handler()), p.listeners.fleet)
	if p.listeners.metrics != nil {
		serve(ctx, group, p.server(p.operatorHandler()), p.listeners.metrics)
	}
	group.Go(func() error { observability.TuneGC(ctx); return ctx.Err() })
	group.Go(func() error { return p.monitor.Run(ctx) })
	group.Go(func() error { return p.updateRotation(ctx) })
	group.Go(func() error { return p.follower.Run(ctx) })
	group.Go(func() error { return p.mesh.Send(ctx) })
	group.Go(func() error { return p.mesh.SendCrashes(ctx) })
	group.Go(func() error { return p.mesh.SendLimits(ctx) })
	group.Go(func() error { return p.keepCrashes(ctx) })
	group.Go(func() error { return p.origins.Run(ctx) })
	group.Go(func() error { return p.confirmer.Run(ctx) })
	group.Go(func() error { return p.mesh.Receive(ctx) })
	group.Go(func() error {
		return p.follower.Announce(ctx, p.options.Settings.Name, p.listeners.fleet.Addr().String())
	})
	group.Go(func() error { return p.join(ctx) })
	group.Go(func() error { return p.sweep(ctx) })
	group.Go(func() error { return p.awaitStop(ctx) })
	err := group.Wait()
	if errors.Is(err, errStopped) {
		p.log.Info("stopped")
		return nil
	}
	p.log.Error("stopped by an error", "error", err.Error())
	return err
}

// operatorHandler serves operators' questions, and the metrics at all other paths.
func (p *process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+explanation.Path, p.handler.Explain)
	mux.Handle("/", observability.Handler(p.metrics))
	return mux
}

func (p *process) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
}

func serve(ctx context.Context, group *errgroup.Group, s *http.Server, l net.Listener) {
	group.Go(func() error {
		// The listener for callers is closed before their last requests are answered.
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "serve")
		}
		<-ctx.Done()
		return ctx.Err()
	})
	context.AfterFunc(ctx, func() { _ = s.Close() })
}

// readiness returns a handler that responds with 200 while this router should get new
// connections: while the configuration and the endpoints are known and the router
// is neither draining nor out of the rotation. Otherwise it responds with 503.
func (p *process) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != p.options.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		select {
		case <-p.stopping:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		default:
		}
		if !p.follower.Ready() || p.rotation.Out() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// updateRotation periodically decides, from the scheduling delay and the CPU
// utilization, whether this router should get new connections from the load
// balancer.
func (p *process) updateRotation(ctx context.Context) error {
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	cores := p.options.Settings.Cores
	meter, fastMeter := overload.NewCPUMeter(cores, overload.RotationAveraging), overload.NewCPUMeter(cores, overload.AdmissionAveraging)
	var intakeMeter overload.IntakeMeter
	admitted := metrics.GetOrRegisterGaugeFloat64("direct.admitted", p.metrics)
	utilization := metrics.GetOrRegisterGaugeFloat64("direct.processor_busy", p.metrics)
	measured := true
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			reading, err := overload.ReadCPU()
			intake := intakeMeter.Sample(p.callers.Intake())
			if err == nil {
				p.monitor.SetUtilization(meter.Sample(reading))
				p.admission.Step(intake.Utilization(fastMeter.Sample(reading)))
				admitted.Update(p.admission.Admitted())
			} else if measured {
				p.log.Warn("read CPU time failed; overload is detected by scheduling delay only", "error", err.Error())
			}
			measured = err == nil
			pressure := p.monitor.Pressure()
			pressure.Refused, pressure.RefusedUnread = 1-p.admission.Admitted(), intake.RefusedUnread
			utilization.Update(pressure.Utilization)
			p.stepRotation(time.Now(), pressure)
		}
	}
}

func (p *process) stepRotation(now time.Time, pressure overload.Pressure) {
	peers := p.mesh.Rotation()
	if p.rotation.Step(now, pressure, peers) {
		p.log.Warn("rotation changed", "out", p.rotation.Out(), "lateness_ms", pressure.SchedulingDelay.Milliseconds(),
			"busy", pressure.Utilization, "refused", pressure.Refused, "refused_unread", pressure.RefusedUnread, "live_routers", peers.Live, "routers_out", peers.Out)
	}
}

// join periodically adds the routers that are announced in the store as peers while this
// router has no live peers.
func (p *process) join(ctx context.Context) error {
	if err := p.follower.AwaitAnnounced(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		if p.mesh.Live() == 0 {
			if addresses, err := p.follower.ListMembers(ctx); err != nil {
				p.log.Warn("list routers failed", "error", err.Error())
			} else {
				p.mesh.Add(addresses...)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *process) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := loadCounts{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.pool.Sweep(func(instance string) bool {
				_, ok := p.endpoints.Lookup(instance)
				return ok
			})
			p.dispatcher.EvictExpired(now)
			p.reportCold(now)
			p.logShares(now)
			last = p.logLoad(last)
			idle, dialed := p.pool.Stats()
			metrics.GetOrRegisterGauge("direct.idle_connections", p.metrics).Update(int64(idle))
			metrics.GetOrRegisterGauge("direct.connections_opened", p.metrics).Update(int64(dialed))
			metrics.GetOrRegisterGauge("direct.lateness_ms", p.metrics).Update(p.monitor.SchedulingDelay().Milliseconds())
			metrics.GetOrRegisterGauge("direct.quarantined_prompts", p.metrics).Update(int64(p.dispatcher.QuarantinedSets()))
			metrics.GetOrRegisterGauge("direct.limited_endpoints", p.metrics).Update(int64(p.dispatcher.LimitedEndpoints()))
			metrics.GetOrRegisterGauge("direct.doubted_endpoints", p.metrics).Update(int64(p.dispatcher.DoubtedEndpoints()))
			metrics.GetOrRegisterGauge("direct.evacuated_zones", p.metrics).Update(int64(len(p.evacuations.Zones())))
			metrics.GetOrRegisterGauge("direct.evacuated_in_progress", p.metrics).Update(int64(p.dispatcher.EvacuatedInProgress(now)))
			metrics.GetOrRegisterGauge("direct.stream_origins", p.metrics).Update(int64(p.origins.Len()))
			metrics.GetOrRegisterGauge("direct.in_flight", p.metrics).Update(p.handler.InFlight())
		}
	}
}

// loadCounts are the counts with which logLoad compares the present ones.
type loadCounts struct {
	conns          conns.Counts
	requests, shed int64
}

// logLoad logs the load and what happened since last, while requests are refused because of it or
// connections end without an answer. It returns the present counts.
func (p *process) logLoad(last loadCounts) loadCounts {
	now := loadCounts{p.callers.Counts(), p.handler.Metrics.Requests.Count(), p.handler.Metrics.Shed.Count()}
	unanswered := map[string]int64{}
	for cause, n := range now.conns.Unanswered {
		if n > last.conns.Unanswered[cause] {
			unanswered[cause] = n - last.conns.Unanswered[cause]
		}
	}
	pressure := p.monitor.Pressure()
	if len(unanswered) == 0 && now.shed == last.shed && now.conns.Refused == last.conns.Refused && pressure.Utilization < loggedUtilization {
		return now
	}
	idle, dialed := p.pool.Stats()
	p.log.Info("load", "unanswered", unanswered, "connections", now.conns.Open, "waiting", now.conns.Waiting, "refused_unread", now.conns.Refused-last.conns.Refused, "accepted", now.conns.Accepted-last.conns.Accepted,
		"requests", now.requests-last.requests, "shed", now.shed-last.shed, "in_flight", p.handler.InFlight(),
		"admitted", p.admission.Admitted(), "busy", pressure.Utilization, "lateness_ms", pressure.SchedulingDelay.Milliseconds(),
		"goroutines", runtime.NumGoroutine(), "endpoint_connections_idle", idle, "endpoint_connections_opened", dialed)
	return now
}

// logShares logs how the capacity is divided while a team requests more than its share.
func (p *process) logShares(now time.Time) {
	s, contended := p.dispatcher.Shares(now)
	if !contended {
		return
	}
	p.log.Info("team shares", "configured_level", s.ConfiguredLevel, "achieved_level", s.AchievedLevel, "served_limit", s.ServedLimit,
		teamShareAttr("least_served", s.Least), teamShareAttr("best_served", s.Best))
}

func teamShareAttr(key string, s dispatch.TeamShare) slog.Attr {
	return slog.Group(key, "team", s.Name, "hash", s.Hash, "requested", s.Fleet.Requested, "started", s.Fleet.Started, "begun", s.Fleet.Begun,
		"own_requested", s.Own.Requested, "own_started", s.Own.Started, "own_begun", s.Own.Begun)
}

// awaitStop waits for a stop signal, drains the process and returns errStopped.
// SIGHUP reloads the settings.
func (p *process) awaitStop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-p.options.Signals:
			if s == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.log.Info("stop", "signal", s.String(), "in_flight", p.handler.InFlight())
			p.drain(ctx)
			return errStopped
		}
	}
}

func (p *process) reload() {
	if p.options.Reload == nil {
		p.log.Info("reload", "result", "nothing to read")
		return
	}
	if err := p.options.Reload(); err != nil {
		p.log.Warn("reload", "result", "settings kept", "error", err.Error())
		return
	}
	p.log.Info("reload", "result", "settings read")
}

// drain makes the readiness check fail and continues to accept and serve requests until minDrainTime has
// passed and none is in progress, or until finalAnswerTime before the drain timeout. Then it closes the
// listener and ends the requests that are left with an answer.
func (p *process) drain(ctx context.Context) {
	began := time.Now()
	end := began.Add(p.options.Settings.DrainTimeout - drainMargin)
	answerBy := end.Add(-finalAnswerTime)
	close(p.stopping)
	p.mesh.Leave()
	p.handler.Drain(began, end)
	p.callers.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := began; now.Before(answerBy) && (p.handler.InFlight() > 0 || now.Sub(began) < minDrainTime); now = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	unfinished := time.AfterFunc(time.Until(answerBy), func() {
		p.log.Warn("requests can't be finished before the drain timeout", "in_flight", p.handler.InFlight())
		p.endRequests(entry.ErrStopping)
	})
	defer unfinished.Stop()
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if left := p.callers.Finish(ctx); left > 0 {
		p.log.Warn("drain timeout reached", "connections", left, "in_flight", p.handler.InFlight())
	}
}
