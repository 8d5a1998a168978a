package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
)

// Metrics holds the counters and timers of requests.
type Metrics struct {
	Requests           metrics.Counter
	Answered           metrics.Counter
	Refused            metrics.Counter
	Failed             metrics.Counter
	CallerDisconnected metrics.Counter
	Resumed            metrics.Counter
	// Hedges counts the attempts that began beside a silent one, HedgesWon those that
	// replaced it.
	Hedges    metrics.Counter
	HedgesWon metrics.Counter
	// Shed counts the requests refused because the router was overloaded or had
	// too many requests in progress.
	Shed metrics.Counter
	// Latency is the time to the end of the response, FirstEvent the time to the
	// first event of a stream, both in nanoseconds.
	Latency    metrics.Timer
	FirstEvent metrics.Timer
	results    []metrics.Counter
}

// NewMetrics registers the metrics in registry.
func NewMetrics(registry metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("direct."+name, registry) }
	m := &Metrics{
		Requests:           counter("requests"),
		Answered:           counter("answered"),
		Refused:            counter("refused"),
		Failed:             counter("failed"),
		CallerDisconnected: counter("caller_gone"),
		Resumed:            counter("resumed"),
		Hedges:             counter("hedges"),
		HedgesWon:          counter("hedges_won"),
		Shed:               counter("shed"),
		Latency:            metrics.GetOrRegisterTimer("direct.latency", registry),
		FirstEvent:         metrics.GetOrRegisterTimer("direct.first_event", registry),
	}
	for result := endpointload.Succeeded; result <= endpointload.NotSent; result++ {
		m.results = append(m.results, counter("sends_"+resultName(result)))
	}
	return m
}

func (m *Metrics) countAttempt(result endpointload.Result) { m.results[result].Inc(1) }
