package mesh

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/warmup"
)

// Guards against routers that disagree who uses a cold endpoint: with peers as candidates that are silent,
// out of rotation or leaving, and against a router that forgets at once the peers that it may be cut off
// from.
func TestFleetView(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	out := false
	m := &Mesh{address: netip.MustParseAddrPort("10.0.0.1:7400"), local: LocalState{OutOfRotation: func() bool { return out }}}
	m.peers = map[string]*peer{
		"heard":           {lastReport: now.Add(-900 * time.Millisecond)},
		"out of rotation": {lastReport: now, outOfRotation: true},
		"leaving":         {lastReport: now, outOfRotation: true, leaving: true},
		"silent":          {lastReport: now.Add(-29 * time.Second)},
		"gone":            {lastReport: now.Add(-31 * time.Second)},
		"announced":       {addedAt: now.Add(-29 * time.Second)},
		"never there":     {addedAt: now.Add(-31 * time.Second)},
	}
	view := func() warmup.Fleet {
		f := m.fleetView(now)
		slices.Sort(f.Candidates)
		slices.Sort(f.Known)
		return f
	}
	must.Eq(t, warmup.Fleet{
		Self: "10.0.0.1:7400", Candidates: []string{"10.0.0.1:7400", "heard"}, Heard: 2,
		Known: []string{"heard", "out of rotation", "silent"}, Unheard: []string{"announced"},
	}, view())
	out = true
	must.Eq(t, []string{"heard"}, view().Candidates)
	delete(m.peers, "heard")
	must.Eq(t, []string{"10.0.0.1:7400", "out of rotation"}, view().Candidates)
}
