package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// WriteTable prints one line per run and service as a Markdown table.
func WriteTable(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(table, " workload \t service \t variant \t gap \t bound \t gap/bound max \t backlogged teams \t half backlogged \t busy \t occupied \t largest control B/s, msg/s \t mean control B/s, msg/s \t first token ms 50/95/99 \t between tokens ms 50/95/99 \t requests \t whole \t refused \t unknown \t failed \t retried \t requeued \t doubled \t not-run ran \t lost ")
	for _, r := range results {
		for i := range r.Services {
			writeRow(table, r, &r.Services[i])
		}
	}
	return eris.Wrap(table.Flush(), "write the table")
}

func writeRow(out io.Writer, r *Result, s *ServiceResult) {
	fmt.Fprintf(out, " %s \t %s \t %s \t %.0f \t %.0f \t %.2f \t %.2f \t %.2f \t %.4f \t %.4f \t %.0f, %.0f \t %.0f, %.0f \t %s \t %s \t %d \t %d \t %d \t %d \t %d \t %.0f \t %.0f \t %d \t %d \t %d \n",
		r.Workload, s.Service, r.Variant,
		s.Gap.Largest, s.Gap.Bound, s.Gap.OverBound, s.Gap.MeanBacklogged, s.Gap.HalfBacklogged,
		s.Utilisation.Busy, s.Utilisation.Occupied,
		r.Traffic.LargestBytes, r.Traffic.LargestMessages, r.Traffic.MeanBytes, r.Traffic.MeanMessages,
		s.FirstToken, s.BetweenToken,
		s.Requests, s.Whole, s.Refused, s.Unknown, s.Failed, r.Retries, r.Requeues, s.Doubled, s.NotRunRan, s.Lost)
}

// String prints the percentiles in milliseconds.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g/%.3g/%.3g", p.P50, p.P95, p.P99)
}

// WriteSmallTeams prints the waiting times of small teams with and without the flood.
func WriteSmallTeams(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(table, " workload \t service \t ordering \t wait ms 50/95/99 without flood \t with flood \t ratio of the 99th \t samples ")
	for _, with := range results {
		without := find(results, with.Workload, with.Variant+"-no-flood", with.Seed)
		if without == nil {
			continue
		}
		for i, s := range with.Services {
			quiet := without.Services[i].SmallWait
			fmt.Fprintf(table, " %s \t %s \t %s \t %s \t %s \t %.2f \t %d, %d \n", with.Workload, s.Service, with.Variant,
				quiet, s.SmallWait, s.SmallWait.P99/quiet.P99, quiet.Count, s.SmallWait.Count)
		}
	}
	return eris.Wrap(table.Flush(), "write the table")
}

func find(results []*Result, workload, variant string, seed uint64) *Result {
	for _, r := range results {
		if r.Workload == workload && r.Variant == variant && r.Seed == seed {
			return r
		}
	}
	return nil
}

// WriteJSON writes v to a file.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the results")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write the results")
}
