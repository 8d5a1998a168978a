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
	// wrongHintFactor makes a wrong hint far too low.
	wrongHintFactor = 20
	// meanPoints is the number of quantiles that give the mean of a distribution.
	meanPoints = 10_000
)

// Arrival is one request of the schedule. Team, Service and Router are indices.
type Arrival struct {
	At      time.Duration
	Team    int
	Service int
	Router  int
	// Tokens is the length of the answer of a model service.
	Tokens int
	Hint   uint64
	Act    bool
	Keyed  bool
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

// quantile is the inverse of the distribution function, cut at Max.
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
	for i := range meanPoints {
		sum += d.quantile((float64(i) + 0.5) / meanPoints)
	}
	return sum / meanPoints
}

// Schedule returns all arrivals in order of time. It depends on nothing but the
// workload and flood, so all variants get the same requests; the requests
// without the flood are a part of those with it.
func (w *Workload) Schedule(flood bool) []Arrival {
	var all []Arrival
	for service := range w.Services {
		rate := w.Services[service].capacity()
		for team, t := range w.Teams {
			all = append(all, w.stream(team, service, 0, rate*t.Load, 0)...)
			if flood && t.Name == w.Flood.Team {
				all = append(all, w.stream(team, service, 1, rate*t.Load*(w.Flood.Factor-1), w.Flood.At)...)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// stream returns Poisson arrivals of one team from a time on.
func (w *Workload) stream(team, service, part int, rate float64, from time.Duration) []Arrival {
	random := rand.New(rand.NewPCG(w.Seed, uint64(team)<<16|uint64(service)<<8|uint64(part)))
	gap := distuv.Exponential{Rate: rate, Src: random}
	router := distuv.NewCategorical(w.Teams[team].Spread, random)
	var out []Arrival
	at := from.Seconds()
	for {
		at += gap.Rand()
		if at >= w.Duration.Seconds() {
			return out
		}
		a := w.Services[service].request(random)
		a.At = time.Duration(at * float64(time.Second))
		a.Team, a.Service, a.Router = team, service, int(router.Rand())
		out = append(out, a)
	}
}

// request draws what one request asks for.
func (s *Service) request(random *rand.Rand) Arrival {
	if s.Type == objects.PlainService {
		return Arrival{Act: random.Float64() < s.Acts, Keyed: random.Float64() < s.Keyed}
	}
	tokens := max(1, int(s.Tokens.quantile(random.Float64())))
	cost := uint64(tokens + s.PromptTokens)
	if random.Float64() < s.WrongHints {
		cost = max(1, cost/wrongHintFactor)
	}
	return Arrival{Tokens: tokens, Hint: cost}
}
