package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/membership"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/hostlist"
)

const (
	// tickInterval is how often the table is asked for due pings.
	tickInterval = 100 * time.Millisecond
	// hostListInterval is the time between two readings of the host list.
	hostListInterval = 2 * time.Second
	// hostListTimeout is the time limit of one reading.
	hostListTimeout = 5 * time.Second
	// maxInFlight bounds the pings in progress.
	maxInFlight = 128
	// roleRouter is the role of routers in the host list.
	roleRouter = "router"
)

// Options of a Gossip.
type Options struct {
	Caller *fleetrpc.Caller
	// Seeds are addresses of routers for the first contact.
	Seeds []string
	// HostList reads the host list. Default: none.
	HostList func(ctx context.Context) ([]hostlist.Host, error)
	// Logger takes changes of members and refused messages. Default: slog.Default().
	Logger *slog.Logger
	// Metrics is the registry. Default: a new one.
	Metrics metrics.Registry
}

// Gossip is safe for use by several goroutines.
type Gossip struct {
	opts  Options
	self  string
	limit observability.Limiter

	mu      sync.Mutex
	table   *membership.Table
	waiting []membership.Ping
	version uint64
	live    []string
	changed chan struct{}

	wake chan struct{}

	pings  metrics.Counter
	failed metrics.Counter
	bad    metrics.Counter
	alive  metrics.Gauge
}

// New returns a Gossip that knows only itself.
func New(opts Options) *Gossip {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	id := opts.Caller.Identity()
	self := membership.Member{Address: id.Address, Instance: id.Instance, Zone: id.Zone}
	g := &Gossip{
		opts: opts,
		self: id.Address,
		table: membership.New(time.Now(), self, membership.Options{
			Seeds: opts.Seeds,
			Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		pings:   metrics.GetOrRegisterCounter("gossip.pings", opts.Metrics),
		failed:  metrics.GetOrRegisterCounter("gossip.failed_pings", opts.Metrics),
		bad:     metrics.GetOrRegisterCounter("gossip.refused_messages", opts.Metrics),
		alive:   metrics.GetOrRegisterGauge("gossip.live", opts.Metrics),
	}
	return g
}

// Run sends pings until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	var senders, tasks errgroup.Group
	senders.SetLimit(maxInFlight)
	if g.opts.HostList != nil {
		tasks.Go(func() error { return g.followHostList(ctx) })
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var logged uint64
	for ctx.Err() == nil {
		logged = g.logChange(logged)
		for _, p := range g.due() {
			senders.Go(func() error { g.send(ctx, p); return nil })
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-g.wake:
		}
	}
	_ = senders.Wait()
	return tasks.Wait()
}

// logChange logs the number of live routers if members changed since the
// version that was logged, and returns the present version.
func (g *Gossip) logChange(logged uint64) uint64 {
	g.mu.Lock()
	version, live := g.version, len(g.live)
	g.mu.Unlock()
	if version != logged {
		g.opts.Logger.Info("members changed", "live", live+1)
	}
	return version
}

// update runs f on the table and announces a change of members.
func (g *Gossip) update(f func(now time.Time)) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f(now)
	if v := g.table.Version(); v != g.version {
		g.version = v
		g.live = g.table.Live()
		g.alive.Update(int64(len(g.live)))
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func (g *Gossip) due() []membership.Ping {
	var pings []membership.Ping
	g.update(func(now time.Time) {
		pings = append(g.waiting, g.table.Tick(now)...)
		g.waiting = nil
	})
	return pings
}

func (g *Gossip) send(ctx context.Context, p membership.Ping) {
	g.pings.Inc(1)
	if g.ping(ctx, p) {
		return
	}
	g.failed.Inc(1)
	if ctx.Err() != nil {
		return
	}
	var helpers []string
	g.update(func(now time.Time) { helpers = g.table.HandleTimeout(now, p) })
	if len(helpers) > 0 {
		g.askHelpers(ctx, p, helpers)
	}
}

// ping sends one direct ping and reports whether the target answered.
func (g *Gossip) ping(ctx context.Context, p membership.Ping) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.PingTimeout)
	defer cancel()
	reply, err := g.opts.Caller.Members(p.Target).Ping(ctx, &fleetpb.PingRequest{
		Sender:  g.opts.Caller.Sender(),
		Updates: toProto(p.Updates),
		WantAll: p.WantAll,
	})
	if err != nil || g.check(reply.GetSender(), len(reply.GetUpdates())) != nil {
		return false
	}
	updates := fromProto(reply.Updates)
	if reply.Sender.Address != p.Target {
		// Another process has taken the address, or a seed is an alias.
		g.update(func(now time.Time) { g.table.Merge(now, updates) })
		return false
	}
	g.update(func(now time.Time) { g.table.HandleAck(now, p, updates) })
	return true
}

// askHelpers pings the target through helpers at the same time.
func (g *Gossip) askHelpers(ctx context.Context, p membership.Ping, helpers []string) {
	ctx, cancel := context.WithTimeout(ctx, membership.IndirectTimeout)
	defer cancel()
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { reached <- g.askHelper(ctx, p.Target, helper) }()
	}
	for range helpers {
		if <-reached {
			g.update(func(time.Time) { g.table.HandleIndirectAck(p) })
			return
		}
	}
	g.update(func(now time.Time) { g.table.HandlePingFailure(now, p) })
}

func (g *Gossip) askHelper(ctx context.Context, target, helper string) bool {
	var updates []membership.Member
	g.update(func(time.Time) { updates = g.table.Updates(helper) })
	reply, err := g.opts.Caller.Members(helper).PingIndirect(ctx, &fleetpb.PingIndirectRequest{
		Sender:  g.opts.Caller.Sender(),
		Target:  target,
		Updates: toProto(updates),
	})
	if err != nil || g.check(reply.GetSender(), len(reply.GetUpdates())) != nil {
		return false
	}
	g.update(func(now time.Time) { g.table.Merge(now, fromProto(reply.Updates)) })
	return reply.Reached
}

// check refuses messages of other fleets and oversized ones.
func (g *Gossip) check(s *fleetpb.Sender, updates int) error {
	err := g.opts.Caller.Check(s)
	if err == nil && updates > membership.MaxMembers {
		err = twirp.InvalidArgumentError("updates", "are too many")
	}
	if err != nil {
		g.bad.Inc(1)
		if g.limit.Allow(time.Now(), s.GetAddress(), err.Error()) {
			g.opts.Logger.Warn("membership message refused", "source", s.GetAddress(), "error", err.Error())
		}
	}
	return err
}

// Ping answers a ping of another router.
func (g *Gossip) Ping(_ context.Context, r *fleetpb.PingRequest) (*fleetpb.PingReply, error) {
	if err := g.check(r.Sender, len(r.Updates)); err != nil {
		return nil, err
	}
	var updates []membership.Member
	g.update(func(now time.Time) {
		updates = g.table.HandlePing(now, r.Sender.Address, fromProto(r.Updates), r.WantAll)
	})
	return &fleetpb.PingReply{Sender: g.opts.Caller.Sender(), Updates: toProto(updates)}, nil
}

// PingIndirect pings a member for another router.
func (g *Gossip) PingIndirect(ctx context.Context, r *fleetpb.PingIndirectRequest) (*fleetpb.PingIndirectReply, error) {
	if err := g.check(r.Sender, len(r.Updates)); err != nil {
		return nil, err
	}
	var p membership.Ping
	var known bool
	var updates []membership.Member
	g.update(func(now time.Time) {
		g.table.Merge(now, fromProto(r.Updates))
		p, known = g.table.PingFor(r.Target)
		updates = g.table.Updates(r.Sender.Address)
	})
	if !known {
		return nil, twirp.NotFoundError("target is not a member")
	}
	reached := g.ping(ctx, p)
	return &fleetpb.PingIndirectReply{
		Sender:  g.opts.Caller.Sender(),
		Reached: reached,
		Updates: toProto(updates),
	}, nil
}

// Owner returns the address of the router that owns the queue of a service in
// this router's view.
func (g *Gossip) Owner(service string) string {
	g.mu.Lock()
	leaving := g.table.Self().State == membership.Leaving
	candidates := g.live
	g.mu.Unlock()
	if len(candidates) == 0 {
		return g.self
	}
	if !leaving {
		candidates = append([]string{g.self}, candidates...)
	}
	return rendezvous.Choose(service, candidates)
}

// Live returns the addresses of the other routers that are alive and not leaving.
func (g *Gossip) Live() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.live...)
}

// Members returns this router and all listed members.
func (g *Gossip) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Members()
}

// Changed returns a channel that is closed at the next change of a member.
func (g *Gossip) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Leave tells all members that this router takes no more work. Run sends the
// messages.
func (g *Gossip) Leave() {
	g.update(func(time.Time) { g.waiting = append(g.waiting, g.table.Leave()...) })
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Leaving reports whether this router is leaving.
func (g *Gossip) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self().State == membership.Leaving
}

// followHostList takes seeds and this router's own state from the host list.
// While the list can't be read, the last one stays in use.
func (g *Gossip) followHostList(ctx context.Context) error {
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	for {
		g.readHostList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (g *Gossip) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := g.opts.HostList(ctx)
	if err != nil {
		if ctx.Err() == nil && g.limit.Allow(time.Now(), "host list", err.Error()) {
			g.opts.Logger.Warn("host list can't be read", "error", err.Error())
		}
		return
	}
	seeds := append([]string(nil), g.opts.Seeds...)
	leaving := false
	for _, h := range hosts {
		if h.Role != roleRouter {
			continue
		}
		seeds = append(seeds, h.Address)
		leaving = leaving || (h.Address == g.self && h.Leaving)
	}
	g.update(func(time.Time) { g.table.SetSeeds(seeds) })
	if leaving && !g.Leaving() {
		g.opts.Logger.Info("host list says that this router is leaving")
		g.Leave()
	}
}
