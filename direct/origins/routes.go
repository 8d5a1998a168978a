package origins

import (
	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Shares holds, by route, the share of new streams that begin at each build.
type Shares map[streamorigin.Route]map[streamorigin.Build]float64

// SharesOf returns the shares of a configuration's routes with resumable streams, or nil if there is no
// configuration. endpoints holds, by service, the number of endpoints of each build.
func SharesOf(t *routing.Table, endpoints map[string]map[streamorigin.Build]int) Shares {
	if t == nil {
		return nil
	}
	shares := make(Shares, len(t.Resumable()))
	for route := range t.Resumable() {
		builds := map[streamorigin.Build]float64{}
		for _, d := range route.Destinations {
			if d.Weight > 0 {
				addShares(builds, d.Weight, endpoints[d.Service])
			}
		}
		shares[routeOf(route)] = builds
	}
	return shares
}

// addShares divides the weight of a service among its builds by their endpoints.
func addShares(shares map[streamorigin.Build]float64, weight float64, endpoints map[streamorigin.Build]int) {
	total := 0
	for _, n := range endpoints {
		total += n
	}
	for build, n := range endpoints {
		shares[build] += weight * float64(n) / float64(total)
	}
}

func routeOf(r *routing.Route) streamorigin.Route {
	return streamorigin.RouteOf(routing.NormalizeHost(r.Host), r.PathPrefix)
}

func routesOf(routes []*routing.Route) []streamorigin.Route {
	list := make([]streamorigin.Route, len(routes))
	for i, r := range routes {
		list[i] = routeOf(r)
	}
	return list
}
