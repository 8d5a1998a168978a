package routing

import (
	"net"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Table is a compiled configuration. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
	teams    int
	// longestResumable is the longest timeout of a route whose streams may be resumed.
	longestResumable time.Duration
	// resumable holds the routes whose streams may be resumed, each with all of them that match whatever
	// it matches, itself first.
	resumable map[*Route][]*Route
}

// Compile validates a configuration and builds its table. It returns an error if
// a route has an invalid path prefix, an unknown service, a negative weight or
// no positive weight.
func Compile(c *Config) (*Table, error) {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		routes:   map[string][]*Route{},
		services: map[string]*Service{},
		keys:     map[string]*Team{},
		teams:    len(c.Teams),

		resumable: map[*Route][]*Route{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.keys[key] = &c.Teams[i]
		}
	}
	for _, routes := range t.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for _, routes := range t.routes {
		t.addResumable(routes)
	}
	return t, nil
}

// addResumable adds the routes of a host, which are ordered from the longest prefix to the shortest.
func (t *Table) addResumable(routes []*Route) {
	for i, r := range routes {
		if !r.Resumable {
			continue
		}
		for _, other := range routes[i:] {
			if other.Resumable && strings.HasPrefix(r.PathPrefix, other.PathPrefix) {
				t.resumable[r] = append(t.resumable[r], other)
			}
		}
	}
}

func (t *Table) addRoute(r *Route) error {
	var total float64
	for _, d := range r.Destinations {
		if d.Weight < 0 {
			return eris.Errorf("route %q: negative weight of service %q", r.Name, d.Service)
		}
		if t.services[d.Service] == nil {
			return eris.Errorf("route %q: unknown service %q", r.Name, d.Service)
		}
		total += d.Weight
	}
	if total <= 0 {
		return eris.Errorf("route %q: no service with a positive weight", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return eris.Errorf("route %q: path prefix %q doesn't begin with a slash", r.Name, r.PathPrefix)
	}
	if r.Resumable {
		t.longestResumable = max(t.longestResumable, r.Timeout)
	}
	host := NormalizeHost(r.Host)
	t.routes[host] = append(t.routes[host], r)
	return nil
}

// NormalizeHost converts the value of a Host header to lower case and removes
// its port.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest path prefix that matches
// path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}

// TeamOf returns the team that an API key belongs to, or nil.
func (t *Table) TeamOf(key string) *Team { return t.keys[key] }

// RouteTo returns the first route by name that sends requests to a service, or nil.
func (t *Table) RouteTo(service string) *Route {
	var first *Route
	for _, routes := range t.routes {
		for _, r := range routes {
			leads := slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Service == service && d.Weight > 0 })
			if leads && (first == nil || r.Name < first.Name) {
				first = r
			}
		}
	}
	return first
}

// HasTeam reports whether a team with this name has a key.
func (t *Table) HasTeam(name string) bool {
	for _, team := range t.keys {
		if team.Name == name {
			return true
		}
	}
	return false
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, routes := range t.routes {
		n += len(routes)
	}
	return n
}

// LongestResumableStream returns the longest timeout of the routes whose streams may be
// resumed.
func (t *Table) LongestResumableStream() time.Duration { return t.longestResumable }

// Resumable returns the routes whose streams may be resumed, each with all of them that match whatever it
// matches, itself first. The caller must not modify it.
func (t *Table) Resumable() map[*Route][]*Route { return t.resumable }

// RequiresKeys reports whether the configuration has any teams, in which case
// callers need an API key for routes that are not public.
func (t *Table) RequiresKeys() bool { return t.teams > 0 }

// Pick selects a destination by weight and returns its service. uniform is a
// uniformly distributed random number in [0, 1).
func (r *Route) Pick(uniform float64) string {
	var total float64
	for _, d := range r.Destinations {
		total += d.Weight
	}
	point := uniform * total
	last := ""
	for _, d := range r.Destinations {
		if d.Weight == 0 {
			continue
		}
		last = d.Service
		if point < d.Weight {
			return d.Service
		}
		point -= d.Weight
	}
	return last
}

// Repeatable reports whether a request of this route may be executed again when
// an earlier attempt may already have been executed.
func (r *Route) Repeatable() bool {
	return r.Semantics == Idempotent || (r.Semantics == Stream && r.Resumable)
}

// Store holds the current table. It is safe for concurrent use.
type Store struct{ current atomic.Pointer[Table] }

// Current returns the current table, or nil before the first call of Advance.
func (s *Store) Current() *Table { return s.current.Load() }

// Advance makes t the current table unless its version is at or below the
// current one. It reports whether it did.
func (s *Store) Advance(t *Table) bool {
	for {
		old := s.current.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if s.current.CompareAndSwap(old, t) {
			return true
		}
	}
}
