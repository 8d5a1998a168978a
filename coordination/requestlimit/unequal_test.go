package requestlimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a large fleet with very unequal numbers of requests that sends one request more
// than an endpoint's limit allows soon after the limit was named.
func TestUnequalFleetKeepsTheLimitAtFirst(t *testing.T) {
	rates := []float64{
		20, 60, 5, 60, 60, 0.2, 0.2, 20, 1, 60, 20, 60, 20, 0.2, 60, 0.2, 60,
		1, 60, 0.2, 20, 60, 0.2, 5, 1, 0.2, 20, 0.2, 60, 1, 5, 60, 60, 0.2,
		0.2, 1, 20, 60, 1, 5, 60, 0.2, 1, 60, 20, 60, 0.2, 0.2, 20, 60, 1,
		5, 0.2, 20, 0.2, 0.2, 60, 60, 1, 20, 60, 5, 60, 0.2, 1, 5, 1, 0.2,
	}
	const limit = 12
	f := newFleet(0x100fa, limit, rates)
	f.run(6 * time.Second)
	must.LessEq(t, allowed(limit), f.mostInWindow(f.sent[0].Add(judgedAfter)))
}
