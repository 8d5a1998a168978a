package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

const (
	// wrongHintDivisor is the number by which the cost is divided for a wrong hint.
	wrongHintDivisor = 20
	// meanQuantiles is the number of quantiles whose average approximates the mean
	// of a distribution.
	meanQuantiles = 10_000
)

// Arrival is one scheduled request. Team, Service and Router are indices.
type Arrival struct {
	At      time.Duration
	Team    int
	Service int
	Router  int
	// Tokens is the length of the response of a model service, in tokens.
	Tokens        int
	Hint          uint64
	NonIdempotent bool
	HasKey        bool
}

func (d *Distribution) valid() bool {
	switch d.Kind {
	case "lognormal":
		return d.Median > 0 && d.Sigma > 0 && d.Max > d.Median
	case "pareto":
		return d.Min > 0 && d.Alpha > 0 && d.Max > d.Min
	default:
		return false
	}
}

// quantile is the inverse of the distribution function, truncated at Max.
func (d *Distribution) quantile(p float64) float64 {
	if d.Kind == "pareto" {
		f := distuv.Pareto{Xm: d.Min, Alpha: d.Alpha}
		return f.Quantile(p * f.CDF(d.Max))
	}
	f := distuv.LogNormal{Mu: math.Log(d.Median), Sigma: d.Sigma}
	return f.Quantile(p * f.CDF(d.Max))
}

func (d *Distribution) mean() float64 {
	sum := 0.0
	for i := range meanQuantiles {
		sum += d.quantile((float64(i) + 0.5) / meanQuantiles)
	}
	return sum / meanQuantiles
}

// Schedule returns all arrivals in order of time. It depends only on the workload
// and flood, so that all variants get the same requests. The arrivals without the
// flood are a subset of those with it.
func (w *Workload) Schedule(flood bool) []Arrival {
	var all []Arrival
	for service := range w.Services {
		rate := w.Services[service].capacity()
		for team, t := range w.Teams {
			all = append(all, w.poissonArrivals(team, service, 0, rate*t.Load, 0)...)
			if flood && t.Name == w.Flood.Team {
				all = append(all, w.poissonArrivals(team, service, 1, rate*t.Load*(w.Flood.Factor-1), w.Flood.Start)...)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// poissonArrivals returns the arrivals of a Poisson process for one team and
// service, from start on. The sequence number selects an independent random sequence.
func (w *Workload) poissonArrivals(team, service, sequence int, rate float64, start time.Duration) []Arrival {
	random := rand.New(rand.NewPCG(w.Seed, uint64(team)<<16|uint64(service)<<8|uint64(sequence)))
	gap := distuv.Exponential{Rate: rate, Src: random}
	router := distuv.NewCategorical(w.Teams[team].RouterWeights, random)
	var out []Arrival
	at := start.Seconds()
	for {
		at += gap.Rand()
		if at >= w.Duration.Seconds() {
			return out
		}
		a := w.Services[service].drawRequest(random)
		a.At = time.Duration(at * float64(time.Second))
		a.Team, a.Service, a.Router = team, service, int(router.Rand())
		out = append(out, a)
	}
}

// drawRequest draws the properties of one request.
func (s *Service) drawRequest(random *rand.Rand) Arrival {
	if s.Type == objects.PlainService {
		return Arrival{NonIdempotent: random.Float64() < s.NonIdempotentShare, HasKey: random.Float64() < s.KeyedShare}
	}
	tokens := max(1, int(s.Tokens.quantile(random.Float64())))
	cost := uint64(tokens + s.PromptTokens)
	if random.Float64() < s.WrongHints {
		cost = max(1, cost/wrongHintDivisor)
	}
	return Arrival{Tokens: tokens, Hint: cost}
}
