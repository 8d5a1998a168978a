package requestlimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a copy that shares its turns with the table: what is asked of it would take them.
func TestCloneIsIndependent(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := NewTable()
	table.Observe(now, 1, 1, now)
	now = now.Add(time.Minute)
	before := *table.limits[1]
	c := table.Clone()
	must.True(t, c.Allow(now, 1))
	for c.Allow(now, 1) {
		c.Take(now, 1)
	}
	c.SetPeerRequests(now, "p", 5)
	must.Eq(t, before.tokens, table.limits[1].tokens)
	must.Eq(t, before.refilledAt, table.limits[1].refilledAt)
	must.MapEmpty(t, table.demand.peers)
	must.True(t, table.Allow(now, 1))
}
