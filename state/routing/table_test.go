package routing

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func config(version uint64) *Config {
	to := func(s string) []Destination { return []Destination{{Service: s, Weight: 1}} }
	return &Config{
		Version:  version,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "root", Host: "Shop.example", PathPrefix: "/", Destinations: to("a")},
			{Name: "orders", Host: "shop.example", PathPrefix: "/orders/", Destinations: to("b")},
			{Name: "bulk", Host: "shop.example", PathPrefix: "/orders/bulk/", Destinations: to("a")},
		},
		Teams: []Team{{Name: "t1", Keys: []string{"k1", "k2"}}},
	}
}

// Guards against matching a route with a shorter prefix or of another host.
func TestMatchLongestPrefixOfHost(t *testing.T) {
	table, err := Compile(config(1))
	must.NoError(t, err)
	for path, want := range map[string]string{
		"/": "root", "/orders/1": "orders", "/orders/bulk/2": "bulk", "/orders": "root", "/ordersbulk/": "root",
	} {
		must.Eq(t, want, table.Match("shop.example:8080", path).Name, must.Sprint(path))
	}
	must.Nil(t, table.Match("other.example", "/"))
	must.Eq(t, "t1", table.TeamOf("k2").Name)
	must.Nil(t, table.TeamOf("k3"))
}

// Guards against accepting a route that has no service to send requests to.
func TestCompileRejectsInvalidRoutes(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"unknown service": func(c *Config) { c.Routes[0].Destinations[0].Service = "none" },
		"no weight":       func(c *Config) { c.Routes[0].Destinations[0].Weight = 0 },
		"no destination":  func(c *Config) { c.Routes[0].Destinations = nil },
		"bad prefix":      func(c *Config) { c.Routes[0].PathPrefix = "x" },
	} {
		c := config(1)
		invalidate(c)
		_, err := Compile(c)
		must.Error(t, err, must.Sprint(name))
	}
}

// Guards against traffic to a destination of weight 0.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Destinations: []Destination{{"none", 0}, {"a", 30}, {"b", 70}, {"none", 0}}}
	must.Eq(t, "a", r.Pick(0))
	must.Eq(t, "a", r.Pick(0.29))
	must.Eq(t, "b", r.Pick(0.31))
	must.Eq(t, "b", r.Pick(0.9999999))
}

// Guards against a version that decreases, for any order and concurrency of
// configurations from the store and from peers.
func TestAdvanceNeverDecreasesVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 40).Draw(t, "versions")
		var s Store
		var wg sync.WaitGroup
		var highest uint64
		for _, v := range versions {
			highest = max(highest, v)
			wg.Go(func() {
				before := s.Current()
				s.Advance(&Table{Version: v})
				if after := s.Current(); before != nil && after.Version < before.Version {
					t.Errorf("version %d after %d", after.Version, before.Version)
				}
			})
		}
		wg.Wait()
		if got := s.Current().Version; got != highest {
			t.Fatalf("current version %d, want %d", got, highest)
		}
	})
}
