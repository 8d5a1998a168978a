package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a goal reported as met although one result missed it, and
// against comparing results of different workloads.
func TestGoalsCountEveryRunWithinOneWorkload(t *testing.T) {
	run := func(workload, variant string, gap, wait float64) *Result {
		return &Result{Workload: workload, Variant: variant, Services: []ServiceResult{{
			Service: workload + "-llm", Gap: Gap{Largest: gap, MaxBoundRatio: gap / 100},
			Utilization: Utilization{Busy: 0.99}, SmallWait: Percentiles{P99: wait, Count: 1},
		}}}
	}
	results := []*Result{
		run("a", "default", 10, 100), run("a", "router-fair", 60, 0), run("a", "default-no-flood", 10, 80),
		run("b", "default", 20, 100), run("b", "router-fair", 80, 0), run("b", "default-no-flood", 10, 50),
	}
	results[4].Services[0].Lost = 1
	var out strings.Builder
	WriteTables(&out, results)
	for _, want := range []string{
		"| largest gap/bound at most 1 (default) | 2 | 2 | 0.2 |",
		"| gap at least 5 times smaller than with router-fair | 1 | 2 | 4 |",
		"| small teams' 99th percentile of waiting at most 1.5 times that without the flood | 1 | 2 | 2 |",
		"| doubled, lost and not-run that ran 0 (all variants) | 5 | 6 | 1 |",
	} {
		must.StrContains(t, out.String(), want)
	}
	path := filepath.Join(t.TempDir(), "gaps.svg")
	must.NoError(t, WritePlot(path, results))
	info, err := os.Stat(path)
	must.NoError(t, err)
	must.Positive(t, info.Size())
}

// Guards against fitting points that could not be measured and against swapped
// axes.
func TestFitSkipsFailedPoints(t *testing.T) {
	points := []SlopePoint{
		{Point: Point{Series: "agents", Agents: 10}, InForce: 3},
		{Point: Point{Series: "agents", Agents: 20}, InForce: 5},
		{Point: Point{Series: "agents", Agents: 99}, Error: "did not start"},
		{Point: Point{Series: "teams", Teams: 16}},
	}
	lines := Fit(points)
	must.SliceNotEmpty(t, lines)
	last := lines[len(lines)-1]
	must.Eq(t, "agents", last.Series)
	must.Eq(t, "publish to in force s", last.Metric)
	must.Between(t, 0.999, last.Intercept, 1.001)
	must.Between(t, 0.1999, last.Slope, 0.2001)
}
