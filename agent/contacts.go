package agent

import (
	"math/rand/v2"
	"slices"
	"sync"
)

const (
	// maxContacts bounds the router addresses that an agent keeps.
	maxContacts = 16
	// maxLearned bounds those that come from one router, so that a router with
	// an outdated view can't displace the others.
	maxLearned = 8
)

// contacts holds addresses of routers. Its mutex guards its fields.
type contacts struct {
	mu sync.Mutex
	// learned come from a router, hosts from the host list, seeds from the settings.
	learned []string
	hosts   []string
	seeds   []string
	next    int
}

func newContacts(seeds []string) *contacts {
	return &contacts{seeds: seeds, next: rand.IntN(maxContacts)}
}

// learn takes the addresses that a router named.
func (c *contacts) learn(routers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = slices.Clone(routers[:min(len(routers), maxLearned)])
}

// setHosts takes the live routers of the host list. Known ones stay; the rest
// is a random choice, so that agents spread over the routers.
func (c *contacts) setHosts(routers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(c.hosts), func(h string) bool { return !slices.Contains(routers, h) })
	for _, i := range rand.Perm(len(routers)) {
		if len(kept) >= maxLearned {
			break
		}
		if !slices.Contains(kept, routers[i]) {
			kept = append(kept, routers[i])
		}
	}
	c.hosts = kept
}

// all returns the addresses, at most maxContacts, without duplicates.
func (c *contacts) all() []string {
	var all []string
	for _, source := range [][]string{c.learned, c.hosts, c.seeds} {
		for _, address := range source {
			if len(all) < maxContacts && !slices.Contains(all, address) {
				all = append(all, address)
			}
		}
	}
	return all
}

// pick returns the next address, one that isn't avoid if there is another, or
// "" if there is none.
func (c *contacts) pick(avoid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.all()
	if len(all) > 1 {
		all = slices.DeleteFunc(all, func(address string) bool { return address == avoid })
	}
	if len(all) == 0 {
		return ""
	}
	c.next++
	return all[c.next%len(all)]
}
