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

// fetchRetryDelay is the delay after a failed attempt to fetch a configuration. At
// 500 ms, several attempts fit in the 4 s within which a new configuration must
// take effect.
const fetchRetryDelay = 500 * time.Millisecond

// checkSender returns an error if s fails the caller's check, for example because
// it belongs to another fleet. It records address if the sender has a newer
// configuration.
func (a *Agent) checkSender(s *fleetpb.Sender, address string) error {
	if err := a.clients.Check(s); err != nil {
		return err
	}
	if s.ConfigVersion > a.config.Version() {
		a.recordNewerConfig(address)
	}
	return nil
}

func (a *Agent) recordNewerConfig(address string) {
	a.configSource.mu.Lock()
	defer a.configSource.mu.Unlock()
	a.configSource.address = address
}

// takeConfigSource returns and clears the latest address passed to recordNewerConfig.
func (a *Agent) takeConfigSource() string {
	a.configSource.mu.Lock()
	defer a.configSource.mu.Unlock()
	address := a.configSource.address
	a.configSource.address = ""
	return address
}

// followConfig fetches the configuration at startup and whenever a message
// carries a newer version, until ctx is cancelled.
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
			if a.logLimiter.Allow(time.Now(), "", "fetch-config") {
				a.log.Warn("fetch configuration failed", "error", err)
			}
			sleep(ctx, fetchRetryDelay)
		}
	}
	return nil
}

// fetchConfig fetches the configuration from a router known to have a newer
// version, or from any router. It returns an error if the reply has no newer version.
func (a *Agent) fetchConfig(ctx context.Context) error {
	address := a.takeConfigSource()
	if address == "" {
		address = a.routers.pick("")
	}
	if address == "" {
		return eris.New("no router address known")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Version 0 requests all objects of the endpoint; they are few.
	reply, err := a.clients.Control(address).FetchConfig(ctx, &fleetpb.FetchConfigRequest{
		Sender:   a.clients.Sender(),
		Endpoint: a.settings.Endpoint,
	})
	if err != nil {
		return err
	}
	if err := a.clients.Check(reply.Sender); err != nil {
		return err
	}
	return a.installConfig(reply)
}

func (a *Agent) installConfig(reply *fleetpb.FetchConfigReply) error {
	set, err := objects.Decode(reply.Objects)
	if err != nil {
		return err
	}
	c := &configstore.Config{Version: reply.Version, Set: set}
	copy(c.Hash[:], reply.SetHash)
	if reply.Version == 0 || !a.config.Advance(c) {
		return eris.Errorf("router has no configuration newer than version %d", a.config.Version())
	}
	a.log.Info("configuration in force", "version", c.Version)
	a.applyConfig()
	return nil
}

// applyConfig updates the slot table from the current configuration and the
// fencing number. It is called when either changes; the mutex prevents an older
// configuration from being applied after a newer one.
func (a *Agent) applyConfig() {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	endpoint, _ := a.currentObjects()
	if endpoint == nil {
		a.setStop(slots.StopObject, true, "endpoint's object")
		return
	}
	_, hasFencing := a.fencing.get()
	missingFencing := endpoint.Fencing == objects.FencingChecked && !hasFencing
	a.slots.update(func(t *slots.Table) { t.Resize(endpoint.Slots, endpoint.Prefetch) })
	a.setStop(slots.StopObject, endpoint.State == objects.EndpointDraining, "endpoint's object")
	a.setStop(slots.StopStarting, missingFencing, "missing fencing number")
	a.triggerReport()
}
