package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against connections closed by a router that has time, and against a
// router that closes all of them.
func TestSheddingGrowsWithTheLateness(t *testing.T) {
	must.Eq(t, 0.0, shedProbability(shedFrom))
	must.Positive(t, shedProbability(shedFrom+time.Millisecond))
	must.Less(t, shedProbability(300*time.Millisecond), shedProbability(200*time.Millisecond))
	must.Eq(t, mostShed, shedProbability(time.Minute))
}

// Guards against one late probe that sheds for seconds.
func TestLatenessFades(t *testing.T) {
	var m Monitor
	m.observe(300 * time.Millisecond)
	must.Eq(t, 300*time.Millisecond, m.Lateness())
	for range 10 {
		m.observe(0)
	}
	must.Less(t, shedFrom, m.Lateness())
}
