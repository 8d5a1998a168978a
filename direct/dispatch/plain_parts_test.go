package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// placePlain places requests of a team at a plain service, each with these parts, and returns
// the endpoints that were chosen and the report to peers.
func placePlain(t *testing.T, parts string) (chosen []string, report Report) {
	t.Helper()
	endpoints := registry.NewTable()
	for i := range 5 {
		endpoints.Put(registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Zone: []string{"z", "y"}[i%2], Slots: 4})
	}
	d := New("z", endpoints, placement.DefaultPolicy(), retry.DefaultLimits())
	now := time.Unix(1_700_000_000, 0)
	for range 30 {
		cost := prompt.ParseParts(parts)
		d.RecordRequest(now, "s", "team", cost.Units())
		a, refusal := d.PlacePlain(now, &Request{Service: "s", Team: "team", Cost: cost, Fingerprint: 1, Target: time.Second})
		must.Nil(t, refusal)
		chosen = append(chosen, a.Endpoint.ID)
	}
	return chosen, d.Report(now)
}

// Guards against requests to plain services that are placed by the prompt parts that they name,
// or charged to their team for them.
func TestPartsDoNotAffectPlacementAtPlainServices(t *testing.T) {
	chosen, report := placePlain(t, "")
	withParts, reportWithParts := placePlain(t, "topic:800,other:400,own:250")
	must.Eq(t, chosen, withParts)
	must.Eq(t, report, reportWithParts)
	must.MapEmpty(t, report.Teams)
	must.SliceEmpty(t, reportWithParts.Placed)
}
