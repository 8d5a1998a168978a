package owner

import (
	"slices"
	"strings"
	"sync"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// configIndex holds the lookup tables of one configuration. It is immutable.
type configIndex struct {
	config   *configstore.Config
	version  uint64
	services map[string]*serviceConfig
}

// serviceConfig is the configuration of one service.
type serviceConfig struct {
	defaultCost uint64
	maxCost     uint64
	operations  map[string]bool
	// weights holds the weights of the shares, by team.
	weights   map[string]uint64
	endpoints []fairqueue.Endpoint
}

// configIndexer builds and caches the index of the current configuration.
type configIndexer struct {
	store *configstore.Store
	mu    sync.Mutex
	last  *configIndex
}

// current returns the index of the current configuration.
func (c *configIndexer) current() *configIndex {
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.store.Current()
	if c.last == nil || c.last.config != config {
		c.last = newConfigIndex(config)
	}
	return c.last
}

func newConfigIndex(config *configstore.Config) *configIndex {
	index := &configIndex{config: config, services: map[string]*serviceConfig{}}
	if config == nil {
		return index
	}
	index.version = config.Version
	for name, s := range config.Set.Services {
		index.services[name] = newServiceConfig(s)
	}
	for _, share := range config.Set.Shares {
		if s := index.services[share.Service]; s != nil {
			s.weights[share.Team] = share.Weight
		}
	}
	for _, e := range config.Set.Endpoints {
		if s := index.services[e.Service]; s != nil {
			draining := e.State == objects.EndpointDraining
			s.endpoints = append(s.endpoints, fairqueue.Endpoint{Name: e.Name, Draining: draining})
		}
	}
	for _, s := range index.services {
		slices.SortFunc(s.endpoints, func(a, b fairqueue.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
	return index
}

func newServiceConfig(s *objects.Service) *serviceConfig {
	out := &serviceConfig{
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
func (s *serviceConfig) weight(team string) uint64 { return s.weights[team] }

// effectiveHint returns the hint that is charged for a ticket: the default cost
// if there is no hint, limited to the maximum cost if there is one.
func (s *serviceConfig) effectiveHint(hint uint64) uint64 {
	if hint == 0 {
		hint = s.defaultCost
	}
	if s.maxCost > 0 {
		hint = min(hint, s.maxCost)
	}
	return hint
}
