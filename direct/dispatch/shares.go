package dispatch

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairshare"
)

// Shares are the inputs and results of the division of the engines' capacity between
// teams, in tokens over the fairness window.
type Shares struct {
	// ConfiguredLevel and AchievedLevel are a team's max-min share of the configured token
	// rate and of the tokens that the engines processed.
	ConfiguredLevel, AchievedLevel int64
	// ServedLimit is the limit for teams that request more than their share; 0 if there is
	// none.
	ServedLimit int64
	// Least and Best are the least and the best served of the teams that request more than
	// ConfiguredLevel.
	Least, Best TeamShare
}

// TeamShare is the usage of a team by its callers at all routers, and at this one.
type TeamShare struct {
	// Name is empty if no caller of the team has reached this router lately.
	Name       string
	Hash       uint32
	Fleet, Own fairshare.Usage
}

// Shares returns the current shares, and false if no team requests more than its share.
func (d *Dispatcher) Shares(now time.Time) (Shares, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLevels(now)
	s := Shares{ConfiguredLevel: d.configuredLevel, AchievedLevel: d.achievedLevel, ServedLimit: d.servedLimit}
	found := false
	for hash, usage := range d.teamTotals(now) {
		if usage.Requested <= d.configuredLevel {
			continue
		}
		if !found || usage.Begun < s.Least.Fleet.Begun {
			s.Least = TeamShare{Hash: hash, Fleet: usage}
		}
		if !found || usage.Begun > s.Best.Fleet.Begun {
			s.Best = TeamShare{Hash: hash, Fleet: usage}
		}
		found = true
	}
	for name, t := range d.teams {
		for _, share := range []*TeamShare{&s.Least, &s.Best} {
			if share.Hash == TeamHash(name) {
				share.Name, share.Own = name, t.window.Sum(now)
			}
		}
	}
	return s, found
}
