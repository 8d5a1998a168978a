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
	// maxTime is the longest time that a histogram holds.
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

// histogram holds times in microseconds.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTime.Microseconds(), significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Times are within the range: the runs are shorter than maxTime.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Count: h.TotalCount()}
}

// ServiceResult holds the figures of one service.
type ServiceResult struct {
	Service     string      `json:"service"`
	Gap         Gap         `json:"gap"`
	Utilisation Utilisation `json:"utilisation"`
	// SmallWait is the waiting time of small teams.
	SmallWait    Percentiles `json:"smallWaitMs"`
	FirstToken   Percentiles `json:"firstTokenMs"`
	BetweenToken Percentiles `json:"betweenTokenMs"`
	// WaitingMean and WaitingLargest are the requests that wait at the same time.
	WaitingMean    float64 `json:"waitingMean"`
	WaitingLargest int     `json:"waitingLargest"`
	Requests       int     `json:"requests"`
	Whole          int     `json:"whole"`
	// Refused counts answers "not-run".
	Refused   int `json:"refused"`
	QueueFull int `json:"queueFull"`
	Unknown   int `json:"unknown"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Cut counts requests whose entry router was killed; their callers can't be told more.
	Cut  int `json:"cut"`
	Lost int `json:"lost"`
	// Doubled counts requests that aren't idempotent and ran more than once.
	Doubled int `json:"doubled"`
	// NotRunRan counts requests that ran although their outcome was "not-run".
	NotRunRan int `json:"notRunRan"`
	// Failures holds the errors of lost requests.
	Failures []string `json:"failures,omitempty"`
	// Teams holds the service that each team received, per weight, in the order of the workload.
	Teams []TeamResult `json:"teams"`
}

// TeamResult holds the figures of one team in one service.
type TeamResult struct {
	Team     string  `json:"team"`
	Weight   uint64  `json:"weight"`
	Requests int     `json:"requests"`
	Refused  int     `json:"refused"`
	Received float64 `json:"receivedPerWeight"`
	WaitP99  float64 `json:"waitP99Ms"`
}

// Traffic is the control traffic of a run.
type Traffic struct {
	// LargestBytes and MeanBytes are bytes per second and process.
	LargestBytes    float64 `json:"largestBytesPerSecond"`
	LargestProcess  string  `json:"largestProcess"`
	MeanBytes       float64 `json:"meanBytesPerSecond"`
	LargestMessages float64 `json:"largestMessagesPerSecond"`
	MeanMessages    float64 `json:"meanMessagesPerSecond"`
}

// Result holds the figures of one run.
type Result struct {
	Workload string          `json:"workload"`
	Variant  string          `json:"variant"`
	Seed     uint64          `json:"seed"`
	Seconds  float64         `json:"seconds"`
	Services []ServiceResult `json:"services"`
	Traffic  Traffic         `json:"control"`
	// LoadAverage is the machine's load average of one minute at the end of the run.
	LoadAverage float64 `json:"loadAverage"`
	Retries     float64 `json:"retries"`
	Requeues    float64 `json:"requeues"`
	// Late is the 99th percentile of the time by which the generator sent a
	// request after its time, in milliseconds.
	Late float64 `json:"generatorLateP99Ms"`
}

// waitEnds returns when a request stopped waiting for a slot. The first token
// arrives one step after the endpoint admitted the request.
func (s *Service) waitEnds(r *Record) time.Duration {
	if r.First == 0 {
		return r.End
	}
	if s.Type == objects.PlainService {
		return max(r.Sent, r.First-s.ServiceTime)
	}
	return max(r.Sent, r.First-s.step())
}

// queued reports whether the request waited in a queue at any time.
func (r *Record) queued() bool { return r.Status != http.StatusTooManyRequests }

// events returns the changes of waiting and service of one service.
func events(s *Service, records []*Record) []serviceEvent {
	var out []serviceEvent
	for _, r := range records {
		if ends := s.waitEnds(r); r.queued() && ends > r.Sent {
			out = append(out,
				serviceEvent{at: r.Sent, team: r.Team, waiting: 1},
				serviceEvent{at: ends, team: r.Team, waiting: -1})
		}
		for _, c := range r.Charges {
			out = append(out, serviceEvent{at: c.At, team: r.Team, units: c.Units})
		}
	}
	slices.SortStableFunc(out, func(a, b serviceEvent) int { return cmp.Compare(a.at, b.at) })
	return out
}

// waitingCounts returns the mean and the largest number of waiting requests up to end.
func waitingCounts(events []serviceEvent, end time.Duration) (mean float64, largest int) {
	waiting, last := 0, time.Duration(0)
	for _, e := range events {
		at := min(e.at, end)
		mean += float64(waiting) * (at - last).Seconds() / end.Seconds()
		waiting, last = waiting+e.waiting, at
		largest = max(largest, waiting)
	}
	return mean, largest
}

// summarize computes the figures of one service.
func summarize(w *Workload, service int, prefetch uint32, records []*Record, samples []Sample) ServiceResult {
	s := &w.Services[service]
	out := ServiceResult{Service: s.Name, Requests: len(records)}
	small, first, between := histogram(), histogram(), histogram()
	largest := 0.0
	for _, r := range records {
		out.count(r)
		largest = max(largest, r.cost())
		if r.First == 0 {
			continue
		}
		record(first, r.First-r.Sent)
		if w.Teams[r.Team].Small {
			record(small, s.waitEnds(r)-r.Sent)
		}
		for _, gap := range r.Gaps {
			record(between, gap)
		}
	}
	all := events(s, records)
	out.WaitingMean, out.WaitingLargest = waitingCounts(all, w.Duration)
	tokens := s.slots() + s.Endpoints*int(prefetch)
	out.Gap = fairnessGap(w.Teams, all, tokens, largest, w.Duration)
	out.Utilisation = utilisation(within(samples, w.Duration), idleSpans(all, w.Duration), s.slots())
	out.SmallWait, out.FirstToken, out.BetweenToken = percentiles(small), percentiles(first), percentiles(between)
	for team := range w.Teams {
		out.Teams = append(out.Teams, summarizeTeam(w, s, team, records))
	}
	return out
}

func (out *ServiceResult) count(r *Record) {
	switch r.Ended {
	case endWhole:
		out.Whole++
	case endCancelled:
		out.Cancelled++
	case endCut:
		out.Cut++
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
	waits := histogram()
	for _, r := range records {
		if r.Team != team {
			continue
		}
		t.Requests++
		if r.Ended == string(outcome.NotRun) {
			t.Refused++
		}
		for _, c := range r.Charges {
			if c.At <= w.Duration {
				t.Received += c.Units / float64(t.Weight)
			}
		}
		if r.First > 0 {
			record(waits, s.waitEnds(r)-r.Sent)
		}
	}
	t.WaitP99 = percentiles(waits).P99
	return t
}

// within drops the samples after the end of the arrivals.
func within(samples []Sample, end time.Duration) []Sample {
	i := slices.IndexFunc(samples, func(s Sample) bool { return s.At > end })
	if i < 0 {
		return samples
	}
	return samples[:i]
}
