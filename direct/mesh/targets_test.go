package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against routers that share the retry budget among fewer than use it: a peer that is cut off goes on, and
// both sides of a partition would use the whole. A peer that said that it stops doesn't.
func TestSilentPeersKeepTheirPartOfTheRetryBudget(t *testing.T) {
	now := time.Now()
	m := &Mesh{peers: map[string]*peer{
		"heard":     {addedAt: now.Add(-time.Hour), lastReport: now.Add(-time.Second)},
		"cut off":   {addedAt: now.Add(-time.Hour), lastReport: now.Add(-evictAfter)},
		"stopping":  {addedAt: now.Add(-time.Hour), lastReport: now.Add(-time.Second), leaving: true},
		"stopped":   {addedAt: now.Add(-time.Hour), lastReport: now.Add(-silentAfter), leaving: true},
		"not heard": {addedAt: now.Add(-time.Second)},
		"gone":      {addedAt: now.Add(-time.Hour), lastReport: now.Add(-evictAfter - 1)},
	}}
	_, routers, budgetRouters := m.targets(now, 0)
	must.Eq(t, 3, routers)
	must.Eq(t, 5, budgetRouters)
	must.MapNotContainsKey(t, m.peers, "gone")
}
