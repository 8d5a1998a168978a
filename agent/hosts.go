package agent

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/transport/hostlist"
)

// hostsInterval is the delay between reads of the host list.
const hostsInterval = time.Second

// followHosts polls the host list for router addresses and the state of this host.
// If a read fails, the last list stays in effect.
func (a *Agent) followHosts(ctx context.Context) error {
	if a.settings.HostsURL == "" {
		return nil
	}
	for ctx.Err() == nil {
		a.readHosts(ctx)
		sleep(ctx, hostsInterval)
	}
	return nil
}

func (a *Agent) readHosts(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := hostlist.Fetch(callCtx, a.platformClient, a.settings.HostsURL)
	if err != nil {
		if ctx.Err() == nil && a.logLimiter.Allow(time.Now(), a.settings.HostsURL, "hosts") {
			a.log.Warn("read host list failed", "error", err)
		}
		return
	}
	var routers []string
	for _, h := range hosts {
		if h.Role == "router" && !h.Leaving {
			routers = append(routers, h.Address)
		}
		if h.Role == "agent" && h.Address == a.identity.Address {
			a.setStop(slots.StopHost, h.Leaving, "host list")
		}
	}
	a.routers.setHosts(routers)
}
