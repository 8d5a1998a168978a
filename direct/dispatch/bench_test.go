package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// BenchmarkDecision measures one refused placement among 55 engines with 29
// peers, the size of the largest deployments.
func BenchmarkDecision(b *testing.B) {
	table := registry.NewTable()
	var loads []endpointload.PeerLoad
	for i := range 55 {
		id := fmt.Sprintf("e%d", i)
		table.Put(registry.Endpoint{ID: id, Service: "s", Slots: 64})
		loads = append(loads, endpointload.PeerLoad{Endpoint: endpointload.Hash(id), Load: endpointload.Load{Pending: 1000, Running: 2}})
	}
	d := New("z", table, placement.DefaultPolicy(), retry.DefaultLimits())
	d.SetCapacity(1e6, 55)
	now := time.Now()
	var teams []TeamUsage
	for i := range 30 {
		teams = append(teams, TeamUsage{TeamHash(fmt.Sprint(i)), fairshare.Usage{Requested: 100000, Started: 80000}})
	}
	for i := range 29 {
		d.ApplyPeerReport(now, PeerReport{Instance: fmt.Sprint(i), Sequence: 1, Loads: loads, HasTeams: true, Teams: teams})
	}
	request := &Request{Service: "s", Team: "1", Cost: prompt.Parse("aa:500,bb:5000,cc:600", "6100,300", ""), Target: time.Second}
	for b.Loop() {
		if _, refusal := d.PlaceEngine(now, request); refusal == nil {
			b.Fatal("request was placed instead of refused")
		}
	}
}
