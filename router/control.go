package router

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// maxTrailRequestBytes is the maximum length of the request identifier in a TrailRequest.
const maxTrailRequestBytes = 128

// control implements the twirp service Control. It has no state of its own.
type control struct {
	p *process
}

// check returns an error for messages of other fleets and of unknown protocol versions.
func (c *control) check(s *fleetpb.Sender) error {
	err := c.p.clients.Check(s)
	if err != nil {
		c.p.recordRefusedMessage("control.refused_messages", s.GetAddress(), err)
	}
	return err
}

// recordRefusedMessage counts a refused message and logs it at most once per minute for
// each source and error.
func (p *process) recordRefusedMessage(metric, source string, err error) {
	metrics.GetOrRegisterCounter(metric, p.registry).Inc(1)
	if p.logLimiter.Allow(time.Now(), source, err.Error()) {
		p.log.Warn("message refused", "source", source, "error", err.Error())
	}
}

// malformedCallHooks returns hooks that count the calls that are rejected before
// they reach a service because the body or path is malformed.
func (p *process) malformedCallHooks() *twirp.ServerHooks {
	return &twirp.ServerHooks{
		Error: func(ctx context.Context, err twirp.Error) context.Context {
			if code := err.Code(); code == twirp.Malformed || code == twirp.BadRoute {
				method, _ := twirp.MethodName(ctx)
				p.recordRefusedMessage("fleet.refused_messages", "call to "+method, err)
			}
			return ctx
		},
	}
}

// FetchConfig implements fleetpb.Control.
func (c *control) FetchConfig(ctx context.Context, in *fleetpb.FetchConfigRequest) (*fleetpb.FetchConfigReply, error) {
	if err := c.check(in.Sender); err != nil {
		return nil, err
	}
	return c.p.follower.FetchConfig(ctx, in)
}

// Status implements fleetpb.Control.
func (c *control) Status(_ context.Context, in *fleetpb.StatusRequest) (*fleetpb.StatusReply, error) {
	if err := c.check(in.Sender); err != nil {
		return nil, err
	}
	reply := &fleetpb.StatusReply{
		Sender:        c.p.clients.Sender(),
		ConfigVersion: c.p.store.Version(),
		Members:       c.p.gossip.Updates(),
		Teams:         c.p.owner.Teams(),
		Endpoints:     c.p.owner.Endpoints(),
		Draining:      c.p.draining.Load(),
	}
	if config := c.p.store.Current(); config != nil {
		for _, service := range config.Set.ServiceNames() {
			if c.p.gossip.Owner(service) == c.p.clients.Identity().Address {
				reply.OwnedServices = append(reply.OwnedServices, service)
			}
		}
	}
	return reply, nil
}

// Trail implements fleetpb.Control.
func (c *control) Trail(_ context.Context, in *fleetpb.TrailRequest) (*fleetpb.TrailReply, error) {
	if err := c.check(in.Sender); err != nil {
		return nil, err
	}
	reply := &fleetpb.TrailReply{Sender: c.p.clients.Sender()}
	if len(in.Request) <= maxTrailRequestBytes {
		reply.Lines = c.p.audit.Lines(in.Request)
	}
	return reply, nil
}
