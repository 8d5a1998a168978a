package bench

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

const (
	// maxTime is the largest value that a histogram holds.
	maxTime = 10 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Percentiles are times in milliseconds.
type Percentiles struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Count int64   `json:"count"`
}

// newHistogram returns an empty histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTime.Microseconds(), significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only above maxTime, and runs are shorter than that.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Count: h.TotalCount()}
}

// ServiceResult holds the results of one service.
type ServiceResult struct {
	Service     string      `json:"service"`
	Gap         Gap         `json:"gap"`
	Utilization Utilization `json:"utilisation"`
	// SmallWait is the queueing time of the small teams' requests.
	SmallWait    Percentiles `json:"smallWaitMs"`
	FirstToken   Percentiles `json:"firstTokenMs"`
	BetweenToken Percentiles `json:"betweenTokenMs"`
	// WaitingMean and WaitingLargest are the mean and the largest number of
	// requests that wait at the same time.
	WaitingMean    float64 `json:"waitingMean"`
	WaitingLargest int     `json:"waitingLargest"`
	Requests       int     `json:"requests"`
	Completed      int     `json:"whole"`
	// Refused counts requests with the outcome "not-run".
	Refused   int `json:"refused"`
	QueueFull int `json:"queueFull"`
	Unknown   int `json:"unknown"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// RouterKilled counts requests whose entry router was killed, so that their callers
	// received no outcome.
	RouterKilled int `json:"cut"`
	Lost         int `json:"lost"`
	// Duplicated counts non-idempotent requests that were executed more than once.
	Duplicated int `json:"doubled"`
	// NotRunExecuted counts requests that were executed although their outcome was
	// "not-run".
	NotRunExecuted int `json:"notRunRan"`
	// Failures holds the errors of the lost requests.
	Failures []string `json:"failures,omitempty"`
	// Teams holds the results of each team, in the order of the workload.
	Teams []TeamResult `json:"teams"`
}

// TeamResult holds the results of one team in one service.
type TeamResult struct {
	Team              string  `json:"team"`
	Weight            uint64  `json:"weight"`
	Requests          int     `json:"requests"`
	Refused           int     `json:"refused"`
	ReceivedPerWeight float64 `json:"receivedPerWeight"`
	WaitP99           float64 `json:"waitP99Ms"`
}

// Traffic is the control traffic of a run.
type Traffic struct {
	// LargestBytes and MeanBytes are bytes per second per process.
	LargestBytes    float64 `json:"largestBytesPerSecond"`
	LargestProcess  string  `json:"largestProcess"`
	MeanBytes       float64 `json:"meanBytesPerSecond"`
	LargestMessages float64 `json:"largestMessagesPerSecond"`
	MeanMessages    float64 `json:"meanMessagesPerSecond"`
}

// Result holds the results of one run.
type Result struct {
	Workload string          `json:"workload"`
	Variant  string          `json:"variant"`
	Seed     uint64          `json:"seed"`
	Seconds  float64         `json:"seconds"`
	Services []ServiceResult `json:"services"`
	Traffic  Traffic         `json:"control"`
	// LoadAverage is the machine's one-minute load average at the end of the run.
	LoadAverage float64 `json:"loadAverage"`
	Retries     float64 `json:"retries"`
	Requeues    float64 `json:"requeues"`
	// GeneratorLateP99 is the 99th percentile of the delay between a request's
	// scheduled time and the time at which the generator sent it, in milliseconds.
	GeneratorLateP99 float64 `json:"generatorLateP99Ms"`
}

// waitEnd returns the time at which a request stopped waiting for a slot. It is
// derived from the response: the first token arrives one step after the endpoint
// has admitted the request, and a plain response one service time after it.
func (s *Service) waitEnd(r *Record) time.Duration {
	if r.First == 0 {
		return r.End
	}
	if s.Type == objects.PlainService {
		return max(r.Sent, r.First-s.ServiceTime)
	}
	return max(r.Sent, r.First-s.step())
}

// wasQueued reports whether the request was accepted into a queue.
func (r *Record) wasQueued() bool { return r.Status != http.StatusTooManyRequests }

// events returns the events of one service in order of time.
func events(s *Service, records []*Record) []serviceEvent {
	var out []serviceEvent
	for _, r := range records {
		if end := s.waitEnd(r); r.wasQueued() && end > r.Sent {
			out = append(out,
				serviceEvent{at: r.Sent, team: r.Team, waitingDelta: 1},
				serviceEvent{at: end, team: r.Team, waitingDelta: -1})
		}
		for _, c := range r.Charges {
			out = append(out, serviceEvent{at: c.At, team: r.Team, units: c.Units})
		}
	}
	slices.SortStableFunc(out, func(a, b serviceEvent) int { return cmp.Compare(a.at, b.at) })
	return out
}

// waitingCounts returns the mean number of waiting requests up to end, and the
// largest number.
func waitingCounts(events []serviceEvent, end time.Duration) (mean float64, largest int) {
	waiting, last := 0, time.Duration(0)
	for _, e := range events {
		at := min(e.at, end)
		mean += float64(waiting) * (at - last).Seconds() / end.Seconds()
		waiting, last = waiting+e.waitingDelta, at
		largest = max(largest, waiting)
	}
	return mean, largest
}

// summarize computes the results of one service.
func summarize(w *Workload, service int, prefetch uint32, records []*Record, samples []Sample) ServiceResult {
	s := &w.Services[service]
	out := ServiceResult{Service: s.Name, Requests: len(records)}
	small, first, between := newHistogram(), newHistogram(), newHistogram()
	largest := 0.0
	for _, r := range records {
		out.countOutcome(r)
		largest = max(largest, r.cost())
		if r.First == 0 {
			continue
		}
		recordDuration(first, r.First-r.Sent)
		if w.Teams[r.Team].Small {
			recordDuration(small, s.waitEnd(r)-r.Sent)
		}
		for _, gap := range r.TokenGaps {
			recordDuration(between, gap)
		}
	}
	all := events(s, records)
	out.WaitingMean, out.WaitingLargest = waitingCounts(all, w.Duration)
	tokens := s.slots() + s.Endpoints*int(prefetch)
	out.Gap = fairnessGap(w.Teams, all, tokens, largest, w.Duration)
	out.Utilization = utilization(samplesUntil(samples, w.Duration), idleSpans(all, w.Duration), s.slots())
	out.SmallWait, out.FirstToken, out.BetweenToken = percentiles(small), percentiles(first), percentiles(between)
	for team := range w.Teams {
		out.Teams = append(out.Teams, summarizeTeam(w, s, team, records))
	}
	return out
}

func (out *ServiceResult) countOutcome(r *Record) {
	switch r.Outcome {
	case outcomeCompleted:
		out.Completed++
	case outcomeCancelled:
		out.Cancelled++
	case outcomeRouterKilled:
		out.RouterKilled++
	case string(outcome.NotRun):
		out.Refused++
		if r.Status == http.StatusTooManyRequests {
			out.QueueFull++
		}
	case string(outcome.Unknown):
		out.Unknown++
	case string(outcome.Failed):
		out.Failed++
	default:
		out.Lost++
		out.Failures = append(out.Failures, r.Failure)
	}
}

func summarizeTeam(w *Workload, s *Service, team int, records []*Record) TeamResult {
	t := TeamResult{Team: w.Teams[team].Name, Weight: w.Teams[team].Weight}
	waits := newHistogram()
	for _, r := range records {
		if r.Team != team {
			continue
		}
		t.Requests++
		if r.Outcome == string(outcome.NotRun) {
			t.Refused++
		}
		for _, c := range r.Charges {
			if c.At <= w.Duration {
				t.ReceivedPerWeight += c.Units / float64(t.Weight)
			}
		}
		if r.First > 0 {
			recordDuration(waits, s.waitEnd(r)-r.Sent)
		}
	}
	t.WaitP99 = percentiles(waits).P99
	return t
}

// samplesUntil returns the samples up to end.
func samplesUntil(samples []Sample, end time.Duration) []Sample {
	i := slices.IndexFunc(samples, func(s Sample) bool { return s.At > end })
	if i < 0 {
		return samples
	}
	return samples[:i]
}
