package bench

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against workload files that don't load, schedules that differ between
// variants, and a load at which fewer than half of the teams are backlogged.
func TestWorkloads(t *testing.T) {
	paths, err := filepath.Glob("workloads/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		w, err := LoadWorkload(path)
		must.NoError(t, err)
		withoutFlood, withFlood := w.Schedule(false), w.Schedule(true)
		must.Eq(t, withFlood, w.Schedule(true))
		must.Less(t, len(withFlood), len(withoutFlood))
		checkArrivals(t, w, withFlood)
		totalWeight, totalLoad, aboveShare := 0.0, 0.0, 0
		for _, team := range w.Teams {
			totalWeight += float64(team.Weight)
			totalLoad += team.Load
		}
		for _, team := range w.Teams {
			if team.Load > float64(team.Weight)/totalWeight {
				aboveShare++
			}
		}
		must.Greater(t, 1, totalLoad)
		must.Greater(t, len(w.Teams)/2, aboveShare)
	}
}

func checkArrivals(t *testing.T, w *Workload, arrivals []Arrival) {
	t.Helper()
	last := time.Duration(0)
	for _, a := range arrivals {
		must.GreaterEq(t, last, a.At)
		must.Less(t, w.Duration, a.At)
		must.Less(t, w.Routers, a.Router)
		last = a.At
	}
}

// Guards against ignoring unknown fields and against faults that have no effect.
func TestInvalidWorkloadsAreRejected(t *testing.T) {
	text, err := os.ReadFile("workloads/lakeshore.yaml")
	must.NoError(t, err)
	for name, change := range map[string][2]string{
		"unknown field":  {"seed:", "sead:"},
		"unknown action": {"action: kill", "action: crash"},
		"unknown team":   {"team: large-1", "team: large-9"},
		"too many":       {"routers: 6", "routers: 2"},
		"distribution":   {"kind: lognormal", "kind: normal"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "w.yaml")
			must.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), change[0], change[1], 1)), 0o600))
			_, err := LoadWorkload(path)
			must.Error(t, err)
		})
	}
}

// Guards against a distribution that isn't truncated at Max or has a wrong mean.
func TestDistributionQuantilesAndMean(t *testing.T) {
	for _, d := range []Distribution{
		{Kind: "lognormal", Median: 30, Sigma: 1, Max: 400},
		{Kind: "pareto", Min: 20, Alpha: 1.2, Max: 400},
	} {
		must.LessEq(t, d.Max+1e-6, d.quantile(1))
		must.Less(t, d.quantile(0.9), d.quantile(0.1))
		must.Between(t, d.quantile(0.5), d.mean(), d.quantile(0.99))
	}
	// The mean of a bounded Pareto distribution with alpha 2 has a closed form.
	d := Distribution{Kind: "pareto", Min: 1, Alpha: 2, Max: 10}
	must.Less(t, 0.01, math.Abs(d.mean()-2*(1-0.1)/(1-0.01)))
}

// Guards against samples that are skipped because they follow a comment or a
// sample with labels.
func TestParseMetrics(t *testing.T) {
	text := "# TYPE a counter\na 3\nb{quantile=\"0.5\"} 4\nc 1.5\n"
	must.Eq(t, map[string]float64{"a": 3, "c": 1.5}, parseMetrics(strings.NewReader(text)))
}
