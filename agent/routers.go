package agent

import (
	"math/rand/v2"
	"slices"
	"sync"
)

const (
	// maxRouters is the maximum number of router addresses that an agent uses.
	maxRouters = 16
	// maxPerSource is the maximum number of addresses from one router or from the
	// host list, so that a router with an outdated view can't displace all others.
	maxPerSource = 8
)

// routerList holds the addresses of known routers. mu guards the other fields.
type routerList struct {
	mu sync.Mutex
	// learned is from a router's reply, hosts from the host list, seeds from the settings.
	learned []string
	hosts   []string
	seeds   []string
	next    int
}

func newRouterList(seeds []string) *routerList {
	return &routerList{seeds: seeds, next: rand.IntN(maxRouters)}
}

// setLearned replaces the addresses learned from routers.
func (l *routerList) setLearned(routers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned = slices.Clone(routers[:min(len(routers), maxPerSource)])
}

// setHosts replaces the addresses from the host list. Addresses already held are
// kept if still listed; the rest are selected at random, so that agents spread
// over the routers.
func (l *routerList) setHosts(routers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(l.hosts), func(h string) bool { return !slices.Contains(routers, h) })
	for _, i := range rand.Perm(len(routers)) {
		if len(kept) >= maxPerSource {
			break
		}
		if !slices.Contains(kept, routers[i]) {
			kept = append(kept, routers[i])
		}
	}
	l.hosts = kept
}

// all returns at most maxRouters addresses without duplicates. The caller holds mu.
func (l *routerList) all() []string {
	var all []string
	for _, source := range [][]string{l.learned, l.hosts, l.seeds} {
		for _, address := range source {
			if len(all) < maxRouters && !slices.Contains(all, address) {
				all = append(all, address)
			}
		}
	}
	return all
}

// pick returns the next address in rotation, or "" if there is none. It returns
// exclude only if no other address is known.
func (l *routerList) pick(exclude string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.all()
	if len(all) > 1 {
		all = slices.DeleteFunc(all, func(address string) bool { return address == exclude })
	}
	if len(all) == 0 {
		return ""
	}
	l.next++
	return all[l.next%len(all)]
}
