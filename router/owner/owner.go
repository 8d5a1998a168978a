package owner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/coordination/rendezvous"
	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
)

const (
	// expireInterval is the interval at which expired entries of the queues are
	// evicted.
	expireInterval = 250 * time.Millisecond
	// idleTimeout is the time without messages after which a queue that this
	// router no longer owns is deleted.
	idleTimeout = 10 * time.Second
	// maxRoutersListed bounds the routers that FindOwner returns.
	maxRoutersListed = 16
	// maxTicketAge bounds the ticket age that a sender may state.
	maxTicketAge = time.Hour
)

// View is this router's view of the members.
type View interface {
	// Owner returns the address of the owner of a service's queue.
	Owner(service string) string
	// Live returns the addresses of the other live routers.
	Live() []string
}

// Options configures an Owner.
type Options struct {
	Clients *fleetrpc.ClientPool
	Store   *configstore.Store
	View    View
	// Ordering and Placement select the policies of the queues. Default: fair
	// and affinity.
	Ordering  fairqueue.Ordering
	Placement fairqueue.Placement
	// CreditLimit is in cost units per weight. Default: no limit.
	CreditLimit uint64
	// MaxQueuedPerTeam bounds the waiting tickets of a team in one queue.
	// Default: fairqueue.MaxTickets.
	MaxQueuedPerTeam int
	// Logger receives refused messages. Default: slog.Default().
	Logger *slog.Logger
	// Metrics is the registry. Default: a new one.
	Metrics metrics.Registry
	// Clock returns the current time. Default: time.Now.
	Clock func() time.Time
}

// Owner serves the queues of the services that this router owns. It is safe for
// concurrent use.
type Owner struct {
	opts       Options
	self       string
	configs    configIndexer
	dispatcher *dispatcher
	logLimiter observability.LogLimiter

	mu       sync.Mutex
	services map[string]*service

	grants          metrics.Counter
	waiting         metrics.Gauge
	free            metrics.Gauge
	refusedMessages metrics.Counter
}

// service is one queue with its mutex.
type service struct {
	name string

	mu    sync.Mutex
	queue *fairqueue.Queue
	// config is the configuration that the queue's endpoints were taken from.
	config *serviceConfig
	// lastMessage is the time of the last message for the service.
	lastMessage time.Time
	// deleted is set once the service has been removed from the table.
	deleted bool
}

// New returns an Owner without queues.
func New(opts Options) *Owner {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &Owner{
		opts:            opts,
		self:            opts.Clients.Identity().Address,
		configs:         configIndexer{store: opts.Store},
		dispatcher:      newDispatcher(),
		services:        map[string]*service{},
		grants:          metrics.GetOrRegisterCounter("owner.grants", opts.Metrics),
		waiting:         metrics.GetOrRegisterGauge("owner.waiting", opts.Metrics),
		free:            metrics.GetOrRegisterGauge("owner.free_tokens", opts.Metrics),
		refusedMessages: metrics.GetOrRegisterCounter("owner.refused_messages", opts.Metrics),
	}
}

// Run sends grants and expires the entries of the queues until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	var tasks errgroup.Group
	for range numWorkers {
		tasks.Go(func() error { o.runWorker(ctx); return nil })
	}
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return tasks.Wait()
		case <-tick.C:
			o.expire()
		}
	}
}

// Enqueue adds the tickets of an entry router to the queue.
func (o *Owner) Enqueue(_ context.Context, r *fleetpb.EnqueueRequest) (*fleetpb.EnqueueReply, error) {
	if err := o.checkSender(r.Sender); err != nil {
		return nil, err
	}
	index := o.configs.current()
	s, err := o.lookupService(index, r.Sender, r.Service)
	if err != nil {
		return nil, err
	}
	if len(r.Tickets) > fairqueue.MaxTickets {
		return nil, o.refuse(r.Sender, twirp.InvalidArgumentError("tickets", "are too many"))
	}
	now := o.opts.Clock()
	tickets, refused := s.convertTickets(now, index, r)
	wantFull := false
	o.withQueue(r.Service, s, func(sv *service) {
		sv.lastMessage = now
		id := r.Sender
		refused = append(refused, sv.queue.Sync(now, id.Address, id.Instance, r.Sequence, tickets, r.FullSync)...)
		if d := r.Digest; d != nil {
			held := fairqueue.Digest{Count: d.Count, Hash: d.Hash}
			wantFull = sv.queue.CompareDigest(now, id.Address, id.Instance, r.Sequence, held)
		}
	})
	return &fleetpb.EnqueueReply{
		Sender:       o.opts.Clients.ReplySender(),
		OwnerAddress: o.otherOwner(r.Service),
		Refused:      refused,
		WantFull:     wantFull,
	}, nil
}

// convertTickets converts the tickets of a message. Tickets without an identifier, of
// a team without a share or for an unknown operation are refused. If the sender
// has a newer configuration they are skipped instead, and the sender's next sync
// includes them again.
func (s *serviceConfig) convertTickets(now time.Time, index *configIndex, r *fleetpb.EnqueueRequest) ([]fairqueue.Ticket, []string) {
	tickets := make([]fairqueue.Ticket, 0, len(r.Tickets))
	var refused []string
	for _, t := range r.Tickets {
		known := s.weights[t.GetTeam()] > 0 && s.operations[t.GetOperation()] && t.GetRequest() != ""
		switch {
		case known:
			tickets = append(tickets, s.convertTicket(now, r.Sender, t))
		case r.Sender.ConfigVersion <= index.version:
			refused = append(refused, t.GetRequest())
		}
	}
	return tickets, refused
}

func (s *serviceConfig) convertTicket(now time.Time, from *fleetpb.Sender, t *fleetpb.Ticket) fairqueue.Ticket {
	age := min(t.AgeMs, uint64(maxTicketAge.Milliseconds()))
	return fairqueue.Ticket{
		Request:        t.Request,
		Attempt:        t.Attempt,
		Team:           t.Team,
		Operation:      t.Operation,
		Affinity:       t.Affinity,
		Router:         from.Address,
		RouterInstance: from.Instance,
		Zone:           from.Zone,
		Hint:           s.effectiveHint(t.Hint),
		QueuedAt:       now.Add(-time.Duration(age) * time.Millisecond),
	}
}

// Withdraw removes tickets of an entry router from the queue.
func (o *Owner) Withdraw(_ context.Context, r *fleetpb.WithdrawRequest) (*fleetpb.WithdrawReply, error) {
	if err := o.checkSender(r.Sender); err != nil {
		return nil, err
	}
	if s := o.configs.current().services[r.Service]; s != nil {
		now := o.opts.Clock()
		o.withQueue(r.Service, s, func(sv *service) {
			sv.lastMessage = now
			sv.queue.Withdraw(now, r.Sender.Address, r.Sender.Instance, r.Requests)
		})
	}
	return &fleetpb.WithdrawReply{Sender: o.opts.Clients.ReplySender()}, nil
}

// Report applies the state that an agent reports to the queue.
func (o *Owner) Report(_ context.Context, r *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	if err := o.checkSender(r.Sender); err != nil {
		return nil, err
	}
	s, err := o.lookupService(o.configs.current(), r.Sender, r.Service)
	if err != nil {
		return nil, err
	}
	now := o.opts.Clock()
	var result fairqueue.ReportResult
	o.withQueue(r.Service, s, func(sv *service) {
		result = sv.queue.Report(now, reportFromProto(r))
		if result.Refused == fairqueue.RefusedNone {
			sv.lastMessage = now
		}
	})
	if result.Refused != fairqueue.RefusedNone {
		return nil, o.refuse(r.Sender, twirp.InvalidArgumentError("report", string(result.Refused)))
	}
	return o.reportReply(r.Service, result), nil
}

func (o *Owner) reportReply(name string, result fairqueue.ReportResult) *fleetpb.ReportReply {
	reply := &fleetpb.ReportReply{
		Sender:       o.opts.Clients.ReplySender(),
		OwnerAddress: o.otherOwner(name),
		WantFull:     result.WantFull,
		Superseded:   result.Superseded,
		VirtualTime:  result.VirtualTime,
	}
	for _, b := range result.Bases {
		reply.Bases = append(reply.Bases, &fleetpb.TeamBase{Team: b.Team, Base: b.Base})
	}
	return reply
}

// FindOwner returns the owner of a service in this router's view, and up to
// maxRoutersListed routers. They are ranked by the caller's address, so that
// callers spread over the routers.
func (o *Owner) FindOwner(_ context.Context, r *fleetpb.OwnerRequest) (*fleetpb.OwnerReply, error) {
	if err := o.checkSender(r.Sender); err != nil {
		return nil, err
	}
	routers := rendezvous.Rank(r.Sender.Address, append(o.opts.View.Live(), o.self))
	return &fleetpb.OwnerReply{
		Sender:       o.opts.Clients.ReplySender(),
		OwnerAddress: o.opts.View.Owner(r.Service),
		Routers:      routers[:min(len(routers), maxRoutersListed)],
	}, nil
}

// checkSender refuses messages of other fleets and those without an address or
// instance.
func (o *Owner) checkSender(s *fleetpb.Sender) error {
	if err := o.checkFleet(s); err != nil {
		return err
	}
	if s.Address == "" || s.Instance == "" {
		return o.refuse(s, twirp.InvalidArgumentError("sender", "has no address or no instance"))
	}
	return nil
}

// checkFleet refuses messages and replies that ClientPool.Check rejects, such as
// those of other fleets.
func (o *Owner) checkFleet(s *fleetpb.Sender) error {
	if err := o.opts.Clients.Check(s); err != nil {
		return o.refuse(s, err)
	}
	return nil
}

// refuse counts a refused message, logs it at most once per source and minute,
// and returns err.
func (o *Owner) refuse(s *fleetpb.Sender, err error) error {
	o.refusedMessages.Inc(1)
	if o.logLimiter.Allow(o.opts.Clock(), s.GetAddress(), err.Error()) {
		o.opts.Logger.Warn("message refused", "source", s.GetAddress(), "error", err.Error())
	}
	return err
}

// lookupService returns the configuration of a service. If the service is
// unknown and the sender has a newer configuration, the error is Unavailable, so
// that the sender sends the message again.
func (o *Owner) lookupService(index *configIndex, from *fleetpb.Sender, name string) (*serviceConfig, error) {
	if s := index.services[name]; s != nil {
		return s, nil
	}
	if from.ConfigVersion > index.version {
		return nil, twirp.NewError(twirp.Unavailable, "the configuration of this router is behind")
	}
	return nil, o.refuse(from, twirp.NotFoundError("unknown service"))
}

// otherOwner returns the owner's address, or "" if this router is the owner.
func (o *Owner) otherOwner(name string) string {
	if owner := o.opts.View.Owner(name); owner != o.self {
		return owner
	}
	return ""
}

// withQueue runs f on a service's queue and dispatches the grants that are
// possible afterwards.
func (o *Owner) withQueue(name string, config *serviceConfig, f func(sv *service)) {
	grants, done := o.getOrCreate(name).run(config, f, o.opts.Clock)
	for !done {
		grants, done = o.getOrCreate(name).run(config, f, o.opts.Clock)
	}
	o.grants.Inc(int64(len(grants)))
	o.enqueueGrants(name, grants)
}

// run runs f on the queue and returns the grants that are possible afterwards. It reports false if
// the queue has been deleted. A panic in f doesn't leave the queue locked.
func (sv *service) run(config *serviceConfig, f func(sv *service), clock func() time.Time) ([]fairqueue.Grant, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.deleted {
		return nil, false
	}
	sv.setConfig(config)
	f(sv)
	return sv.takeGrants(clock()), true
}

// getOrCreate returns a service's queue and creates it if there is none.
func (o *Owner) getOrCreate(name string) *service {
	o.mu.Lock()
	defer o.mu.Unlock()
	sv := o.services[name]
	if sv == nil {
		now := o.opts.Clock()
		sv = &service{name: name, lastMessage: now, queue: fairqueue.New(now, o.queueOptions())}
		o.services[name] = sv
	}
	return sv
}

func (o *Owner) queueOptions() fairqueue.Options {
	return fairqueue.Options{
		Ordering:         o.opts.Ordering,
		Placement:        o.opts.Placement,
		CreditLimit:      o.opts.CreditLimit,
		MaxQueuedPerTeam: o.opts.MaxQueuedPerTeam,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// setConfig applies the endpoints of a configuration to the queue. The caller
// holds the mutex.
func (sv *service) setConfig(config *serviceConfig) {
	if sv.config != config {
		sv.config = config
		sv.queue.SetEndpoints(config.endpoints)
	}
}

// takeGrants removes from the queue and returns all grants that are possible.
// The caller holds the mutex.
func (sv *service) takeGrants(now time.Time) []fairqueue.Grant {
	var grants []fairqueue.Grant
	for {
		g, ok := sv.queue.Next(now, sv.config.weight)
		if !ok {
			return grants
		}
		grants = append(grants, g)
	}
}

// expire evicts expired entries of the queues. It deletes the queues of removed
// services, and the idle ones that this router no longer owns.
func (o *Owner) expire() {
	index := o.configs.current()
	var waiting, free int
	for _, sv := range o.sortedServices() {
		s := index.services[sv.name]
		if s == nil || o.isIdle(sv) {
			o.deleteService(sv, s == nil)
			continue
		}
		o.withQueue(sv.name, s, func(sv *service) {
			sv.queue.Tick(o.opts.Clock())
			waiting += sv.queue.Waiting()
			free += sv.queue.Free()
		})
	}
	o.waiting.Update(int64(waiting))
	o.free.Update(int64(free))
}

// sortedServices returns the services in order of name.
func (o *Owner) sortedServices() []*service {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*service, 0, len(o.services))
	for _, sv := range o.services {
		out = append(out, sv)
	}
	slices.SortFunc(out, func(a, b *service) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// isIdle reports whether this router doesn't own a queue and the queue received
// no message within idleTimeout.
func (o *Owner) isIdle(sv *service) bool {
	if o.otherOwner(sv.name) == "" {
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return o.opts.Clock().Sub(sv.lastMessage) >= idleTimeout
}

// deleteService removes a service from the table if it is still idle or if
// removed is set.
func (o *Owner) deleteService(sv *service, removed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if removed || o.opts.Clock().Sub(sv.lastMessage) >= idleTimeout {
		sv.deleted = true
		delete(o.services, sv.name)
	}
}

// Services returns the names of the services whose queues this router holds.
func (o *Owner) Services() []string {
	var names []string
	for _, sv := range o.sortedServices() {
		names = append(names, sv.name)
	}
	return names
}

// Teams returns the state of the teams of all queues that this router holds.
func (o *Owner) Teams() []*fleetpb.TeamStatus {
	var out []*fleetpb.TeamStatus
	for _, sv := range o.sortedServices() {
		sv.mu.Lock()
		teams, config := sv.queue.Teams(), sv.config
		sv.mu.Unlock()
		for _, t := range teams {
			status := &fleetpb.TeamStatus{
				Service:    sv.name,
				Team:       t.Team,
				Waiting:    uint64(t.Waiting),
				Running:    uint64(t.Running),
				Cost:       t.Cost,
				Normalized: t.VirtualTime,
			}
			if config != nil {
				status.Weight = config.weight(t.Team)
			}
			out = append(out, status)
		}
	}
	return out
}

// Endpoints returns the state of the endpoints that report to queues that this
// router holds.
func (o *Owner) Endpoints() []*fleetpb.EndpointStatus {
	var out []*fleetpb.EndpointStatus
	for _, sv := range o.sortedServices() {
		sv.mu.Lock()
		endpoints := sv.queue.Endpoints()
		sv.mu.Unlock()
		for _, e := range endpoints {
			out = append(out, endpointStatus(sv.name, e))
		}
	}
	return out
}

func endpointStatus(name string, e fairqueue.EndpointState) *fleetpb.EndpointStatus {
	state := "active"
	if e.Draining {
		state = "draining"
	}
	return &fleetpb.EndpointStatus{
		Endpoint:      e.Endpoint,
		Service:       name,
		AgentAddress:  e.Address,
		Instance:      e.Instance,
		State:         state,
		Capacity:      e.Capacity,
		Running:       uint32(e.Running),
		Free:          uint32(e.Free),
		FencingNumber: e.FencingNumber,
		ConfigVersion: e.ConfigVersion,
	}
}

func reportFromProto(r *fleetpb.ReportRequest) fairqueue.Report {
	out := fairqueue.Report{
		Endpoint:      r.Endpoint,
		Instance:      r.Sender.Instance,
		Address:       r.Sender.Address,
		Zone:          r.Sender.Zone,
		ConfigVersion: r.Sender.ConfigVersion,
		StartedUnixMs: r.StartedUnixMs,
		Sequence:      r.Sequence,
		Running:       r.Running,
		Full:          r.Full,
		Draining:      r.Draining,
		Capacity:      r.Capacity,
		FencingNumber: r.FencingNumber,
		VirtualTime:   r.VirtualTime,
	}
	for _, number := range r.FreeTokens {
		out.FreeTokens = append(out.FreeTokens, slots.TokenName(r.Sender.Instance, number))
	}
	for _, c := range r.Counters {
		out.Counters = append(out.Counters, fairqueue.Counter{
			Team:        c.GetTeam(),
			Cost:        c.GetCost(),
			Normalized:  c.GetNormalized(),
			Base:        c.GetBase(),
			Finished:    c.GetFinished(),
			Failed:      c.GetFailed(),
			Outstanding: c.GetOutstanding(),
			Running:     c.GetRunning(),
		})
	}
	return out
}
