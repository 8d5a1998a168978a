package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// WriteTables prints the results as Markdown tables.
func WriteTables(out io.Writer, results []*Result) {
	writeFairness(out, results)
	writeLatency(out, results)
	writeOutcomes(out, results)
	writeSmallTeams(out, results)
	writeGoals(out, results)
}

// forEachService calls f for every service of every result.
func forEachService(results []*Result, f func(r *Result, s *ServiceResult)) {
	for _, r := range results {
		for i := range r.Services {
			f(r, &r.Services[i])
		}
	}
}

func writeFairness(out io.Writer, results []*Result) {
	fmt.Fprintln(out, "\n| service | variant | seed | gap | bound | largest gap/bound | backlogged teams | time with half backlogged | utilisation | slots occupied | load average |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	forEachService(results, func(r *Result, s *ServiceResult) {
		fmt.Fprintf(out, "| %s | %s | %d | %.0f | %.0f | %.2f | %.2f | %.2f | %.3f | %.3f | %.1f |\n", s.Service, r.Variant, r.Seed,
			s.Gap.Largest, s.Gap.Bound, s.Gap.MaxBoundRatio, s.Gap.MeanBacklogged, s.Gap.HalfBacklogged,
			s.Utilization.Busy, s.Utilization.Occupied, r.LoadAverage)
	})
}

func writeLatency(out io.Writer, results []*Result) {
	fmt.Fprintln(out, "\n| service | variant | seed | first token ms 50/95/99 | between tokens ms 50/95/99 | control B/s largest/mean | messages/s largest/mean | largest process | waiting requests largest/mean |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	forEachService(results, func(r *Result, s *ServiceResult) {
		fmt.Fprintf(out, "| %s | %s | %d | %s | %s | %.0f/%.0f | %.0f/%.0f | %s | %d/%.0f |\n", s.Service, r.Variant, r.Seed,
			s.FirstToken, s.BetweenToken, r.Traffic.LargestBytes, r.Traffic.MeanBytes,
			r.Traffic.LargestMessages, r.Traffic.MeanMessages, r.Traffic.LargestProcess, s.WaitingLargest, s.WaitingMean)
	})
}

func writeOutcomes(out io.Writer, results []*Result) {
	fmt.Fprintln(out, "\n| service | variant | seed | requests | whole | refused | of these queue full | given up at the end | unknown | failed | cut | retried | requeued | doubled | not-run that ran | lost |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	forEachService(results, func(r *Result, s *ServiceResult) {
		fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.0f | %.0f | %d | %d | %d |\n", s.Service, r.Variant, r.Seed,
			s.Requests, s.Completed, s.Refused, s.QueueFull, s.Cancelled, s.Unknown, s.Failed, s.RouterKilled,
			r.Retries, r.Requeues, s.Duplicated, s.NotRunExecuted, s.Lost)
	})
}

// String prints the percentiles in milliseconds.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g/%.4g/%.4g", p.P50, p.P95, p.P99)
}

func writeSmallTeams(out io.Writer, results []*Result) {
	fmt.Fprintln(out, "\n| service | ordering | seed | small teams' wait ms 50/95/99 without flood | with flood | ratio of the 99th | samples |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, with := range results {
		without := findResult(results, with, with.Variant+"-no-flood")
		if without == nil {
			continue
		}
		for i, s := range with.Services {
			baseline := without.Services[i].SmallWait
			fmt.Fprintf(out, "| %s | %s | %d | %s | %s | %.2f | %d, %d |\n", s.Service, with.Variant, with.Seed,
				baseline, s.SmallWait, s.SmallWait.P99/baseline.P99, baseline.Count, s.SmallWait.Count)
		}
	}
}

// findResult returns the result of a variant with the same workload and seed as
// like, or nil.
func findResult(results []*Result, like *Result, variant string) *Result {
	for _, r := range results {
		if r.Workload == like.Workload && r.Variant == variant && r.Seed == like.Seed {
			return r
		}
	}
	return nil
}

// Performance goals of the design.
const (
	goalUtilization     = 0.98
	goalControlBytes    = 29_000
	goalRouterFairRatio = 5
	goalFloodWait       = 1.5
)

// writeGoals prints for each goal in how many results it was met. All goals but
// the last apply only to the default variant, which has no faults.
func writeGoals(out io.Writer, results []*Result) {
	fmt.Fprintln(out, "\n| goal | met | runs | worst |")
	fmt.Fprintln(out, "|---|---|---|---|")
	var bound, ratio, busy, control, flood, violations goal
	forEachService(results, func(r *Result, s *ServiceResult) {
		violations.add(float64(s.Duplicated+s.Lost+s.NotRunExecuted), s.Duplicated+s.Lost+s.NotRunExecuted == 0)
		if r.Variant != "default" {
			return
		}
		bound.add(s.Gap.MaxBoundRatio, s.Gap.MaxBoundRatio <= 1)
		busy.add(-s.Utilization.Busy, s.Utilization.Busy >= goalUtilization)
		control.add(r.Traffic.LargestBytes, r.Traffic.LargestBytes < goalControlBytes)
		if other := findResult(results, r, "router-fair"); other != nil {
			times := other.findService(s.Service).Gap.Largest / s.Gap.Largest
			ratio.add(-times, times >= goalRouterFairRatio)
		}
		if baseline := findResult(results, r, "default-no-flood"); baseline != nil {
			times := s.SmallWait.P99 / baseline.findService(s.Service).SmallWait.P99
			flood.add(times, times <= goalFloodWait)
		}
	})
	bound.write(out, "largest gap/bound at most 1 (default)")
	ratio.write(out, fmt.Sprintf("gap at least %d times smaller than with router-fair", goalRouterFairRatio))
	busy.write(out, fmt.Sprintf("utilisation while work waits at least %.2f (default)", goalUtilization))
	control.write(out, fmt.Sprintf("control traffic of each process below %d B/s (default)", goalControlBytes))
	flood.write(out, fmt.Sprintf("small teams' 99th percentile of waiting at most %.1f times that without the flood", goalFloodWait))
	violations.write(out, "doubled, lost and not-run that ran 0 (all variants)")
}

// goal counts the results that met a goal and keeps the worst value, which is the
// largest one.
type goal struct {
	met, runs int
	worst     float64
}

func (g *goal) add(value float64, met bool) {
	if g.runs == 0 || value > g.worst {
		g.worst = value
	}
	g.runs++
	if met {
		g.met++
	}
}

func (g *goal) write(out io.Writer, name string) {
	worst := g.worst
	if worst < 0 {
		worst = -worst
	}
	fmt.Fprintf(out, "| %s | %d | %d | %.4g |\n", name, g.met, g.runs, worst)
}

func (r *Result) findService(name string) *ServiceResult {
	for i := range r.Services {
		if r.Services[i].Service == name {
			return &r.Services[i]
		}
	}
	return nil
}

// WriteJSON writes v to a file as indented JSON.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write results")
}
