package router

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// maxTrailRequestBytes bounds the identifier in a TrailRequest.
const maxTrailRequestBytes = 128

// control implements the twirp service Control. It owns no state.
type control struct {
	r *process
}

// check refuses messages of other fleets and of unknown protocol versions.
func (c *control) check(s *fleetpb.Sender) error {
	err := c.r.caller.Check(s)
	if err != nil {
		c.r.noteRefused("control.refused_messages", s.GetAddress(), err)
	}
	return err
}

// noteRefused counts a refused message and logs it once per source and minute.
func (p *process) noteRefused(metric, source string, err error) {
	metrics.GetOrRegisterCounter(metric, p.registry).Inc(1)
	if p.refusals.Allow(time.Now(), source, err.Error()) {
		p.log.Warn("message refused", "source", source, "error", err.Error())
	}
}

// undecodable returns hooks that count calls that reach no service because
// their bodies or paths are malformed.
func (p *process) undecodable() *twirp.ServerHooks {
	return &twirp.ServerHooks{
		Error: func(ctx context.Context, err twirp.Error) context.Context {
			if code := err.Code(); code == twirp.Malformed || code == twirp.BadRoute {
				method, _ := twirp.MethodName(ctx)
				p.noteRefused("fleet.refused_messages", "call of "+method, err)
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
	return c.r.follower.FetchConfig(ctx, in)
}

// Status implements fleetpb.Control.
func (c *control) Status(_ context.Context, in *fleetpb.StatusRequest) (*fleetpb.StatusReply, error) {
	if err := c.check(in.Sender); err != nil {
		return nil, err
	}
	reply := &fleetpb.StatusReply{
		Sender:        c.r.caller.Sender(),
		ConfigVersion: c.r.store.Version(),
		Members:       c.r.gossip.Updates(),
		Teams:         c.r.owner.Teams(),
		Endpoints:     c.r.owner.Endpoints(),
		Draining:      c.r.draining.Load(),
	}
	if config := c.r.store.Current(); config != nil {
		for _, service := range config.Set.ServiceNames() {
			if c.r.gossip.Owner(service) == c.r.caller.Identity().Address {
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
	reply := &fleetpb.TrailReply{Sender: c.r.caller.Sender()}
	if len(in.Request) <= maxTrailRequestBytes {
		reply.Lines = c.r.audit.Lines(in.Request)
	}
	return reply, nil
}
