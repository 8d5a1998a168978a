package observability

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against frequent collections of a small heap, and against a large heap
// that doubles between collections.
func TestGrowthPercent(t *testing.T) {
	tests := map[uint64]int{
		0:        100,
		1 << 20:  400,
		3 << 20:  400,
		6 << 20:  200,
		12 << 20: 100,
		24 << 20: 50,
		30 << 20: 40,
		1 << 40:  40,
	}
	for live, want := range tests {
		must.Eq(t, want, growthPercent(live))
	}
}
