package owner

import (
	"slices"
	"strings"
	"sync"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// plan holds the lookup tables of one configuration. It is immutable.
type plan struct {
	config   *configstore.Config
	version  uint64
	services map[string]*servicePlan
}

type servicePlan struct {
	defaultCost uint64
	maxCost     uint64
	operations  map[string]bool
	// weights holds the shares, by team.
	weights   map[string]uint64
	endpoints []fairqueue.Endpoint
}

// planner makes the plan of the configuration in force.
type planner struct {
	store *configstore.Store
	mu    sync.Mutex
	last  *plan
}

func (p *planner) current() *plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	config := p.store.Current()
	if p.last == nil || p.last.config != config {
		p.last = makePlan(config)
	}
	return p.last
}

func makePlan(config *configstore.Config) *plan {
	p := &plan{config: config, services: map[string]*servicePlan{}}
	if config == nil {
		return p
	}
	p.version = config.Version
	for name, s := range config.Set.Services {
		p.services[name] = makeServicePlan(s)
	}
	for _, share := range config.Set.Shares {
		if s := p.services[share.Service]; s != nil {
			s.weights[share.Team] = share.Weight
		}
	}
	for _, e := range config.Set.Endpoints {
		if s := p.services[e.Service]; s != nil {
			draining := e.State == objects.EndpointDraining
			s.endpoints = append(s.endpoints, fairqueue.Endpoint{Name: e.Name, Draining: draining})
		}
	}
	for _, s := range p.services {
		slices.SortFunc(s.endpoints, func(a, b fairqueue.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
	return p
}

func makeServicePlan(s *objects.Service) *servicePlan {
	out := &servicePlan{
		defaultCost: s.DefaultCost,
		maxCost:     s.MaxCost,
		operations:  map[string]bool{},
		weights:     map[string]uint64{},
	}
	for _, op := range s.Operations {
		out.operations[op.Name] = true
	}
	return out
}

// weight returns the weight of a team's share, or 0.
func (s *servicePlan) weight(team string) uint64 { return s.weights[team] }

// hint returns the hint that counts for a ticket.
func (s *servicePlan) hint(hint uint64) uint64 {
	if hint == 0 {
		hint = s.defaultCost
	}
	if s.maxCost > 0 {
		hint = min(hint, s.maxCost)
	}
	return hint
}
