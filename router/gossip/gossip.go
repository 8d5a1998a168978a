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
	// tickInterval is the interval at which due pings are taken from the table.
	tickInterval = 100 * time.Millisecond
	// hostListInterval is the interval at which the host list is read.
	hostListInterval = 2 * time.Second
	// hostListTimeout bounds one read of the host list.
	hostListTimeout = 5 * time.Second
	// maxConcurrentPings bounds the pings in progress.
	maxConcurrentPings = 128
	// roleRouter is the role of routers in the host list.
	roleRouter = "router"
)

// Options configures a Gossip.
type Options struct {
	Clients *fleetrpc.ClientPool
	// Seeds are the addresses of routers that are contacted to join the fleet.
	Seeds []string
	// HostList reads the host list. Default: nil, no host list is read.
	HostList func(ctx context.Context) ([]hostlist.Host, error)
	// Logger receives changes of members and refused messages. Default: slog.Default().
	Logger *slog.Logger
	// Metrics is the registry. Default: a new one.
	Metrics metrics.Registry
}

// Gossip maintains this router's view of the fleet's members. It is safe for
// concurrent use.
type Gossip struct {
	opts       Options
	self       string
	logLimiter observability.LogLimiter

	mu    sync.Mutex
	table *membership.Table
	// pendingPings holds pings to be sent in addition to those due by time.
	pendingPings []membership.Ping
	// version and live are the table's version and live routers after the last
	// change of a member.
	version uint64
	live    []string
	// changed is closed and replaced at each change of a member.
	changed chan struct{}

	// wake makes Run send the pending pings without waiting for the next tick.
	wake chan struct{}

	pings           metrics.Counter
	failedPings     metrics.Counter
	refusedMessages metrics.Counter
	liveRouters     metrics.Gauge
}

// New returns a Gossip whose only member is this router.
func New(opts Options) *Gossip {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	id := opts.Clients.Identity()
	self := membership.Member{Address: id.Address, Instance: id.Instance, Zone: id.Zone}
	g := &Gossip{
		opts: opts,
		self: id.Address,
		table: membership.New(time.Now(), self, membership.Options{
			Seeds: opts.Seeds,
			Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		changed:         make(chan struct{}),
		wake:            make(chan struct{}, 1),
		pings:           metrics.GetOrRegisterCounter("gossip.pings", opts.Metrics),
		failedPings:     metrics.GetOrRegisterCounter("gossip.failed_pings", opts.Metrics),
		refusedMessages: metrics.GetOrRegisterCounter("gossip.refused_messages", opts.Metrics),
		liveRouters:     metrics.GetOrRegisterGauge("gossip.live", opts.Metrics),
	}
	return g
}

// Run sends pings and follows the host list until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	var probes, tasks errgroup.Group
	probes.SetLimit(maxConcurrentPings)
	if g.opts.HostList != nil {
		tasks.Go(func() error { return g.followHostList(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var logged uint64
	for ctx.Err() == nil {
		logged = g.logMemberChange(logged)
		for _, p := range g.takeDuePings() {
			probes.Go(func() error { g.probe(ctx, p); return nil })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-g.wake:
		}
	}
	_ = probes.Wait()
	return tasks.Wait()
}

// logMemberChange logs the number of live routers if members have changed since the
// version logged last, and returns the current version.
func (g *Gossip) logMemberChange(logged uint64) uint64 {
	g.mu.Lock()
	version, live := g.version, len(g.live)
	g.mu.Unlock()
	if version != logged {
		g.opts.Logger.Info("members changed", "live", live+1)
	}
	return version
}

// updateTable runs f with the mutex held. If f changed a member, it then closes
// the channel returned by Changed.
func (g *Gossip) updateTable(f func(now time.Time)) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f(now)
	if v := g.table.Version(); v != g.version {
		g.version = v
		g.live = g.table.Live()
		g.liveRouters.Update(int64(len(g.live)))
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// takeDuePings removes and returns the pending pings and the pings of the table
// that are due.
func (g *Gossip) takeDuePings() []membership.Ping {
	var pings []membership.Ping
	g.updateTable(func(now time.Time) {
		pings = append(g.pendingPings, g.table.Tick(now)...)
		g.pendingPings = nil
	})
	return pings
}

// probe pings the target directly and, if it doesn't respond, indirectly.
func (g *Gossip) probe(ctx context.Context, p membership.Ping) {
	g.pings.Inc(1)
	if g.ping(ctx, p) {
		return
	}
	g.failedPings.Inc(1)
	if ctx.Err() != nil {
		return
	}
	var helpers []string
	g.updateTable(func(now time.Time) { helpers = g.table.HandleTimeout(now, p) })
	if len(helpers) > 0 {
		g.pingIndirectly(ctx, p, helpers)
	}
}

// ping sends one direct ping and reports whether the target responded.
func (g *Gossip) ping(ctx context.Context, p membership.Ping) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.PingTimeout)
	defer cancel()
	reply, err := g.opts.Clients.Members(p.Target).Ping(ctx, &fleetpb.PingRequest{
		Sender:  g.opts.Clients.Sender(),
		Updates: toProto(p.Updates),
		WantAll: p.WantAll,
	})
	if err != nil || g.checkMessage(reply.GetSender(), len(reply.GetUpdates())) != nil {
		return false
	}
	updates := fromProto(reply.Updates)
	if reply.Sender.Address != p.Target {
		// Another process uses the address now, or the target is a seed
		// whose address is an alias.
		g.updateTable(func(now time.Time) { g.table.Merge(now, updates) })
		return false
	}
	g.updateTable(func(now time.Time) { g.table.HandleAck(now, p, updates) })
	return true
}

// pingIndirectly requests indirect pings of the target from all helpers concurrently.
func (g *Gossip) pingIndirectly(ctx context.Context, p membership.Ping, helpers []string) {
	ctx, cancel := context.WithTimeout(ctx, membership.IndirectTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { results <- g.requestIndirectPing(ctx, p.Target, helper) }()
	}
	for range helpers {
		if <-results {
			g.updateTable(func(time.Time) { g.table.HandleIndirectAck(p) })
			return
		}
	}
	g.updateTable(func(now time.Time) { g.table.HandlePingFailure(now, p) })
}

// requestIndirectPing requests an indirect ping of the target from a helper and
// reports whether the helper reached it.
func (g *Gossip) requestIndirectPing(ctx context.Context, target, helper string) bool {
	var updates []membership.Member
	g.updateTable(func(time.Time) { updates = g.table.Updates(helper) })
	reply, err := g.opts.Clients.Members(helper).PingIndirect(ctx, &fleetpb.PingIndirectRequest{
		Sender:  g.opts.Clients.Sender(),
		Target:  target,
		Updates: toProto(updates),
	})
	if err != nil || g.checkMessage(reply.GetSender(), len(reply.GetUpdates())) != nil {
		return false
	}
	g.updateTable(func(now time.Time) { g.table.Merge(now, fromProto(reply.Updates)) })
	return reply.Reached
}

// checkMessage refuses messages that ClientPool.Check rejects, such as those of
// other fleets, and messages with more than membership.MaxMembers updates.
func (g *Gossip) checkMessage(s *fleetpb.Sender, updates int) error {
	err := g.opts.Clients.Check(s)
	if err == nil && updates > membership.MaxMembers {
		err = twirp.InvalidArgumentError("updates", "are too many")
	}
	if err != nil {
		g.refusedMessages.Inc(1)
		if g.logLimiter.Allow(time.Now(), s.GetAddress(), err.Error()) {
			g.opts.Logger.Warn("membership message refused", "source", s.GetAddress(), "error", err.Error())
		}
	}
	return err
}

// Ping responds to a ping of another router.
func (g *Gossip) Ping(_ context.Context, r *fleetpb.PingRequest) (*fleetpb.PingReply, error) {
	if err := g.checkMessage(r.Sender, len(r.Updates)); err != nil {
		return nil, err
	}
	var updates []membership.Member
	g.updateTable(func(now time.Time) {
		updates = g.table.HandlePing(now, r.Sender.Address, fromProto(r.Updates), r.WantAll)
	})
	return &fleetpb.PingReply{Sender: g.opts.Clients.Sender(), Updates: toProto(updates)}, nil
}

// PingIndirect pings a member on behalf of another router.
func (g *Gossip) PingIndirect(ctx context.Context, r *fleetpb.PingIndirectRequest) (*fleetpb.PingIndirectReply, error) {
	if err := g.checkMessage(r.Sender, len(r.Updates)); err != nil {
		return nil, err
	}
	var p membership.Ping
	var known bool
	var updates []membership.Member
	g.updateTable(func(now time.Time) {
		g.table.Merge(now, fromProto(r.Updates))
		p, known = g.table.PingFor(r.Target)
		updates = g.table.Updates(r.Sender.Address)
	})
	if !known {
		return nil, twirp.NotFoundError("target is not a member")
	}
	reached := g.ping(ctx, p)
	return &fleetpb.PingIndirectReply{
		Sender:  g.opts.Clients.Sender(),
		Reached: reached,
		Updates: toProto(updates),
	}, nil
}

// Owner returns the address of the router that owns the queue of a service in
// this router's view. A leaving router is the owner only if no other is live.
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

// Leave marks this router as leaving and notifies all members, so that it
// receives no new requests. Run sends the messages.
func (g *Gossip) Leave() {
	g.updateTable(func(time.Time) { g.pendingPings = append(g.pendingPings, g.table.Leave()...) })
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

// followHostList takes the seeds and whether this router is leaving from the
// host list. While the list can't be read, the last one stays in use.
func (g *Gossip) followHostList(ctx context.Context) error {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		g.readHostList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *Gossip) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := g.opts.HostList(ctx)
	if err != nil {
		if ctx.Err() == nil && g.logLimiter.Allow(time.Now(), "host list", err.Error()) {
			g.opts.Logger.Warn("read host list failed", "error", err.Error())
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
	g.updateTable(func(time.Time) { g.table.SetSeeds(seeds) })
	if leaving && !g.Leaving() {
		g.opts.Logger.Info("leaving the fleet: the host list marks this router as leaving")
		g.Leave()
	}
}
