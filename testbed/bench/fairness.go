package bench

import (
	"cmp"
	"slices"
	"time"
)

// Charge is a cost charged to a request when the generator received the token or
// reply that causes it.
type Charge struct {
	At    time.Duration
	Units float64
}

// serviceEvent is a change of a team's number of waiting requests, or an amount
// of service in cost units that the team received.
type serviceEvent struct {
	at           time.Duration
	team         int
	waitingDelta int
	units        float64
}

// pairRange tracks S_i/w_i - S_j/w_j while both teams are backlogged.
type pairRange struct {
	bothBacklogged        bool
	difference, low, high float64
}

// Gap is the fairness gap of one service.
type Gap struct {
	// Largest is the largest |S_i/w_i - S_j/w_j| over all pairs of teams and all
	// intervals in which both are backlogged throughout; Teams is that pair.
	Largest float64   `json:"largest"`
	Teams   [2]string `json:"teams"`
	// Bound is the bound of that pair, 2*D*C/min(w_i, w_j).
	Bound float64 `json:"bound"`
	// MaxBoundRatio is the largest ratio of gap to bound over all pairs.
	MaxBoundRatio float64 `json:"overBound"`
	// MeanBacklogged is the mean share of teams that are backlogged.
	// HalfBacklogged is the share of time in which at least half of them are.
	MeanBacklogged float64 `json:"meanBacklogged"`
	HalfBacklogged float64 `json:"halfBacklogged"`
	// LargestCost is C, the largest cost of a request. SlotTokens is D, the number
	// of slots including the prefetch of each endpoint.
	LargestCost float64 `json:"largestCost"`
	SlotTokens  int     `json:"tokens"`
}

// gapSweep computes the gaps of all pairs in one pass over the events. The gap of
// a pair is the range of its difference within an interval, tracked as a running
// minimum and maximum.
type gapSweep struct {
	teams   []Team
	waiting []int
	pairs   [][]pairRange
	largest [][]float64
}

func newGapSweep(teams []Team) *gapSweep {
	s := &gapSweep{teams: teams, waiting: make([]int, len(teams))}
	for range teams {
		s.pairs = append(s.pairs, make([]pairRange, len(teams)))
		s.largest = append(s.largest, make([]float64, len(teams)))
	}
	return s
}

func (s *gapSweep) apply(e serviceEvent) {
	wasBacklogged := s.waiting[e.team] > 0
	s.waiting[e.team] += e.waitingDelta
	isBacklogged := s.waiting[e.team] > 0
	for other := range s.teams {
		if other == e.team {
			continue
		}
		p, sign := s.pair(e.team, other)
		if wasBacklogged != isBacklogged {
			*p = pairRange{bothBacklogged: isBacklogged && s.waiting[other] > 0}
		}
		if p.bothBacklogged && e.units > 0 {
			p.difference += sign * e.units / float64(s.teams[e.team].Weight)
			p.low, p.high = min(p.low, p.difference), max(p.high, p.difference)
			i, j := min(e.team, other), max(e.team, other)
			s.largest[i][j] = max(s.largest[i][j], p.difference-p.low, p.high-p.difference)
		}
	}
}

// pair returns the state of a pair, and the sign of team in its difference.
func (s *gapSweep) pair(team, other int) (p *pairRange, sign float64) {
	if team < other {
		return &s.pairs[team][other], 1
	}
	return &s.pairs[other][team], -1
}

// backlogged returns the share of teams with waiting requests.
func (s *gapSweep) backlogged() float64 {
	n := 0
	for _, waiting := range s.waiting {
		if waiting > 0 {
			n++
		}
	}
	return float64(n) / float64(len(s.teams))
}

// fairnessGap computes the gap of a service from its events up to end. tokens and
// largestCost are D and C of the bound.
func fairnessGap(teams []Team, events []serviceEvent, tokens int, largestCost float64, end time.Duration) Gap {
	slices.SortStableFunc(events, func(a, b serviceEvent) int { return cmp.Compare(a.at, b.at) })
	s := newGapSweep(teams)
	g := Gap{LargestCost: largestCost, SlotTokens: tokens}
	last := time.Duration(0)
	for _, e := range events {
		if e.at > end {
			break
		}
		share, fraction := s.backlogged(), (e.at-last).Seconds()/end.Seconds()
		g.MeanBacklogged += share * fraction
		if share >= 0.5 {
			g.HalfBacklogged += fraction
		}
		last = e.at
		s.apply(e)
	}
	for i := range teams {
		for j := i + 1; j < len(teams); j++ {
			bound := 2 * float64(tokens) * largestCost / float64(min(teams[i].Weight, teams[j].Weight))
			if s.largest[i][j] > g.Largest {
				g.Largest, g.Bound = s.largest[i][j], bound
				g.Teams = [2]string{teams[i].Name, teams[j].Name}
			}
			g.MaxBoundRatio = max(g.MaxBoundRatio, s.largest[i][j]/bound)
		}
	}
	return g
}
