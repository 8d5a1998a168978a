package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a fleet whose routers all call a store that is down, and against one
// that does not find the routers which the store still serves: in every interval exactly
// one router has its turn, and each has one per round.
func TestRoutersProbeTheStoreInTurn(t *testing.T) {
	const routers = 68
	start := time.Unix(1_700_000_000, 0)
	turns := map[int]int{}
	for step := range routers {
		now := start.Add(time.Duration(step) * probeInterval)
		for rank := range routers {
			if isProbeTurn(now, rank, routers) {
				turns[rank]++
			}
		}
	}
	must.MapLen(t, routers, turns)
	for rank, n := range turns {
		must.Eq(t, 1, n, must.Sprint("rank ", rank))
	}
}
