package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
	"github.com/acaciaspar/acaciaspar/coordination/prompt"
)

// Guards against a log that names the wrong teams when one gets less than its share, or
// only what this router's own callers used.
func TestSharesNameLeastAndBestServedTeam(t *testing.T) {
	d := newEngines(2, 100_000)
	now := time.Unix(1_700_000_000, 0)
	_, contended := d.Shares(now)
	must.False(t, contended)
	d.RecordRequest(now, "s", "starved", 900_000)
	d.ApplyPeerReport(now, PeerReport{Instance: "peer", Sequence: 1, HasTeams: true, Teams: []TeamUsage{
		{TeamHash("starved"), fairshare.Usage{Requested: 100_000, Started: 20_000, Begun: 15_000}},
		{TeamHash("best"), fairshare.Usage{Requested: 1_000_000, Started: 300_000, Begun: 250_000}},
		{TeamHash("small"), fairshare.Usage{Requested: 1000, Started: 1000, Begun: 1000}},
	}})
	request := &Request{Service: "s", Team: "starved", Cost: prompt.Cost{UnsharedTokens: 2000}, Target: time.Second}
	a, refusal := d.PlaceEngine(now, request)
	must.Nil(t, refusal)
	a.Begin(now)
	_, refusal = d.PlaceEngine(now, request)
	must.Nil(t, refusal)
	now = now.Add(levelRefreshInterval)
	s, contended := d.Shares(now)
	must.True(t, contended)
	must.Eq(t, TeamShare{
		Name: "starved", Hash: TeamHash("starved"), Fleet: fairshare.Usage{Requested: 1_000_000, Started: 24_000, Begun: 17_000},
		Own: fairshare.Usage{Requested: 900_000, Started: 4000, Begun: 2000},
	}, s.Least)
	must.Eq(t, TeamShare{Hash: TeamHash("best"), Fleet: fairshare.Usage{Requested: 1_000_000, Started: 300_000, Begun: 250_000}}, s.Best)
	must.Eq(t, int64(1.8*17_000), s.ServedLimit)
}
