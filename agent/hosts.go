package agent

import (
	"context"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/transport/hostlist"
)

// hostsInterval is the time between two reads of the host list.
const hostsInterval = time.Second

// followHosts reads the host list for contacts and for the state of this host.
// If it can't be read, the latest list stays in use.
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
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := hostlist.Fetch(call, a.platform, a.settings.HostsURL)
	if err != nil {
		if ctx.Err() == nil && a.limiter.Allow(time.Now(), a.settings.HostsURL, "hosts") {
			a.log.Warn("host list not read", "error", err)
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
	a.contacts.setHosts(routers)
}
