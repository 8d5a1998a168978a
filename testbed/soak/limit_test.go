package soak

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

// Guards against a fleet of router processes that sends an engine more than the limit
// that it names.
func TestLimitInAFleet(t *testing.T) {
	const (
		limit  = 3
		window = 4 * time.Second
	)
	received := &arrivals{}
	f := startFleet(t, func(f *fleet) {
		for i := range numIncidentEngines {
			worker := &platformtest.Worker{ID: fmt.Sprintf("engine-%d", i), ExecutionCounter: f.executions, Events: 2, EventDelay: 10 * time.Millisecond}
			if i == 0 {
				worker.Limit = fmt.Sprint(limit)
				worker.Receive = func(*http.Request) bool { received.add(); return true }
			}
			f.registerAddress(worker.ID, "engines", f.serve(worker))
		}
	})
	ctx, stop := context.WithTimeout(t.Context(), 14*time.Second)
	defer stop()
	sent, served := f.sendEvery(ctx, 10*time.Millisecond, "limited", "caller:100,topic:50,")
	times := received.all()
	must.SliceNotEmpty(t, times)
	from := times[0].Add(stabilityWindow)
	most := 0
	for i, at := range times {
		n := 0
		for _, later := range times[i:] {
			if later.Sub(at) <= window {
				n++
			}
		}
		if at.After(from) {
			most = max(most, n)
		}
	}
	t.Logf("%d of %d requests succeeded; the limited engine got %d, at most %d in %v", served, sent, len(times), most, window)
	must.LessEq(t, int(1.5*limit*window.Seconds()+5), most)
	must.Greater(t, sent*9/10, served, must.Sprint("other engines are free"))
}
