package dispatch

import (
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// UseEvacuations sets the table of evacuated zones. It must be called before the first request.
func (d *Dispatcher) UseEvacuations(t *evacuation.Table) { d.evacuations = t }

// Evacuated reports whether an endpoint is in an evacuated zone. Nothing new may be sent to it.
func (d *Dispatcher) Evacuated(e registry.Endpoint) bool { return d.evacuations.Zones().Has(e.Zone) }

// notEvacuated returns the endpoints outside of evacuated zones. The list may be shared.
func (d *Dispatcher) notEvacuated(endpoints []registry.Endpoint) []registry.Endpoint {
	zones := d.evacuations.Zones()
	evacuated := func(e registry.Endpoint) bool { return zones.Has(e.Zone) }
	if len(zones) == 0 || !slices.ContainsFunc(endpoints, evacuated) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), evacuated)
}

// hasEvacuated reports whether one of the endpoints is of a build and in an evacuated zone.
func (d *Dispatcher) hasEvacuated(endpoints []registry.Endpoint, build streamorigin.Build) bool {
	zones := d.evacuations.Zones()
	return len(zones) > 0 && slices.ContainsFunc(endpoints, func(e registry.Endpoint) bool { return zones.Has(e.Zone) && runs(e, build) })
}

// hasBuild reports whether one of the endpoints is of a build.
func hasBuild(endpoints []registry.Endpoint, build streamorigin.Build) bool {
	return slices.ContainsFunc(endpoints, func(e registry.Endpoint) bool { return runs(e, build) })
}

// EvacuatedInProgress returns the number of this router's requests in progress at endpoints in
// evacuated zones.
func (d *Dispatcher) EvacuatedInProgress(now time.Time) int {
	zones := d.evacuations.Zones()
	if len(zones) == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for id, load := range d.loads.OwnLoads(now) {
		if e, ok := d.registry.Lookup(id); ok && zones.Has(e.Zone) {
			n += load.Running
		}
	}
	return n
}
