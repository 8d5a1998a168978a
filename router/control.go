package router

import (
	"context"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// maxTrailRequestBytes bounds the identifier in a TrailRequest.
const maxTrailRequestBytes = 128

// control implements the twirp service Control. It owns no state.
type control struct {
	r *process
}

// FetchConfig implements fleetpb.Control.
func (c *control) FetchConfig(ctx context.Context, in *fleetpb.FetchConfigRequest) (*fleetpb.FetchConfigReply, error) {
	if err := c.r.caller.Check(in.Sender); err != nil {
		return nil, err
	}
	return c.r.follower.FetchConfig(ctx, in)
}

// Status implements fleetpb.Control.
func (c *control) Status(_ context.Context, in *fleetpb.StatusRequest) (*fleetpb.StatusReply, error) {
	if err := c.r.caller.Check(in.Sender); err != nil {
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
	if err := c.r.caller.Check(in.Sender); err != nil {
		return nil, err
	}
	reply := &fleetpb.TrailReply{Sender: c.r.caller.Sender()}
	if len(in.Request) <= maxTrailRequestBytes {
		reply.Lines = c.r.audit.Lines(in.Request)
	}
	return reply, nil
}
