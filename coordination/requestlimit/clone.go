package requestlimit

import (
	"maps"
	"slices"
)

// Clone returns an independent copy, so that what would be allowed can be found out without a change:
// Allow brings the limits up to date.
func (t *Table) Clone() *Table {
	c := *t
	c.limits = make(map[uint32]*state, len(t.limits))
	for endpoint, s := range t.limits {
		copied := *s
		c.limits[endpoint] = &copied
	}
	c.demand.peers = maps.Clone(t.demand.peers)
	c.demand.reported = slices.Clone(t.demand.reported)
	return &c
}
