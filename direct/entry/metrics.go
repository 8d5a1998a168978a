package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/endpointload"
)

// Metrics counts what happens to requests.
type Metrics struct {
	Requests   metrics.Counter
	Answered   metrics.Counter
	Refused    metrics.Counter
	Failed     metrics.Counter
	CallerGone metrics.Counter
	Resumed    metrics.Counter
	// Shed counts the requests refused for want of processor time or room.
	Shed metrics.Counter
	// Latency is the time to the end of the answer, FirstEvent to a stream's
	// first event, both in nanoseconds.
	Latency    metrics.Timer
	FirstEvent metrics.Timer
	results    []metrics.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("direct."+name, registry) }
	m := &Metrics{
		Requests:   counter("requests"),
		Answered:   counter("answered"),
		Refused:    counter("refused"),
		Failed:     counter("failed"),
		CallerGone: counter("caller_gone"),
		Resumed:    counter("resumed"),
		Shed:       counter("shed"),
		Latency:    metrics.GetOrRegisterTimer("direct.latency", registry),
		FirstEvent: metrics.GetOrRegisterTimer("direct.first_event", registry),
	}
	for result := endpointload.Succeeded; result <= endpointload.Abandoned; result++ {
		m.results = append(m.results, counter("sends_"+resultName(result)))
	}
	return m
}

func (m *Metrics) note(result endpointload.Result) { m.results[result].Inc(1) }
