package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// fetchInterval is the time between two attempts to get a configuration. Half
// a second leaves several attempts within the 4 s in which one must be in force.
const fetchInterval = 500 * time.Millisecond

// checkSender refuses a reply of another fleet and notes a sender that has a
// higher configuration version.
func (a *Agent) checkSender(s *fleetpb.Sender, address string) error {
	if err := a.caller.Check(s); err != nil {
		return err
	}
	if s.ConfigVersion > a.config.Version() {
		a.noteAhead(address)
	}
	return nil
}

func (a *Agent) noteAhead(address string) {
	a.ahead.mu.Lock()
	defer a.ahead.mu.Unlock()
	a.ahead.address = address
}

// takeAhead returns the latest address given to noteAhead, once.
func (a *Agent) takeAhead() string {
	a.ahead.mu.Lock()
	defer a.ahead.mu.Unlock()
	address := a.ahead.address
	a.ahead.address = ""
	return address
}

// followConfig fetches the configuration at the start and whenever a message
// shows that there is a later one.
func (a *Agent) followConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if a.config.Current() != nil && a.config.HighestSeen() <= a.config.Version() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := a.fetchConfig(ctx); err != nil {
			if a.limiter.Allow(time.Now(), "", "fetch-config") {
				a.log.Warn("configuration not fetched", "error", err)
			}
			sleep(ctx, fetchInterval)
		}
	}
	return nil
}

// fetchConfig asks a router that has a higher version, or else any.
func (a *Agent) fetchConfig(ctx context.Context) error {
	address := a.takeAhead()
	if address == "" {
		address = a.contacts.pick("")
	}
	if address == "" {
		return eris.New("no router is known")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Version 0 asks for the endpoint's whole slice, which is small.
	reply, err := a.caller.Control(address).FetchConfig(ctx, &fleetpb.FetchConfigRequest{
		Sender:   a.caller.Sender(),
		Endpoint: a.settings.Endpoint,
	})
	if err != nil {
		return err
	}
	if err := a.caller.Check(reply.Sender); err != nil {
		return err
	}
	return a.takeConfig(reply)
}

func (a *Agent) takeConfig(reply *fleetpb.FetchConfigReply) error {
	set, err := objects.Decode(reply.Objects)
	if err != nil {
		return err
	}
	c := &configstore.Config{Version: reply.Version, Set: set}
	copy(c.Hash[:], reply.SetHash)
	if reply.Version == 0 || !a.config.Advance(c) {
		return eris.Errorf("the router has no later version than %d", a.config.Version())
	}
	a.log.Info("configuration in force", "version", c.Version)
	a.applyConfig()
	return nil
}

// applyConfig brings the table of slots in line with the configuration in
// force and with the fencing number. It is called when either changes; the
// mutex keeps an earlier configuration from being applied after a later one.
func (a *Agent) applyConfig() {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	endpoint, _ := a.objects()
	if endpoint == nil {
		a.setStop(slots.StopObject, true, "endpoint's object")
		return
	}
	_, hasFencing := a.fencing.get()
	waits := endpoint.Fencing == objects.FencingChecked && !hasFencing
	a.pool.update(func(t *slots.Table) { t.Resize(endpoint.Slots, endpoint.Prefetch) })
	a.setStop(slots.StopObject, endpoint.State == objects.EndpointDraining, "endpoint's object")
	a.setStop(slots.StopStarting, waits, "missing fencing number")
	a.kick()
}
