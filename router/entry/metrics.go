package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// Metric names of the results that have no outcome header.
const (
	kindFinished  outcome.Kind = "finished"
	kindCancelled outcome.Kind = "cancelled"
)

// serverMetrics are the metrics of a Server. Times are in nanoseconds.
type serverMetrics struct {
	requests        metrics.Counter
	retries         metrics.Counter
	refusedMessages metrics.Counter
	requeues        metrics.Counter
	// fullSyncs counts the full syncs that owners requested after a digest mismatch.
	fullSyncs  metrics.Counter
	waiting    metrics.Gauge
	inProgress metrics.Gauge
	heldBytes  metrics.Gauge
	waitTime   metrics.Timer
	firstByte  metrics.Timer
	outcomes   map[outcome.Kind]metrics.Counter
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	m := &serverMetrics{
		requests:        metrics.GetOrRegisterCounter("entry.requests", r),
		retries:         metrics.GetOrRegisterCounter("entry.retries", r),
		refusedMessages: metrics.GetOrRegisterCounter("entry.refused_messages", r),
		requeues:        metrics.GetOrRegisterCounter("entry.requeues", r),
		fullSyncs:       metrics.GetOrRegisterCounter("entry.full_syncs", r),
		waiting:         metrics.GetOrRegisterGauge("entry.waiting", r),
		inProgress:      metrics.GetOrRegisterGauge("entry.in_progress", r),
		heldBytes:       metrics.GetOrRegisterGauge("entry.held_bytes", r),
		waitTime:        metrics.GetOrRegisterTimer("entry.wait_time", r),
		firstByte:       metrics.GetOrRegisterTimer("entry.first_byte_time", r),
		outcomes:        map[outcome.Kind]metrics.Counter{},
	}
	kinds := []outcome.Kind{kindFinished, kindCancelled, outcome.NotRun, outcome.Unknown, outcome.Failed}
	for _, kind := range kinds {
		m.outcomes[kind] = metrics.GetOrRegisterCounter("entry.outcome."+string(kind), r)
	}
	return m
}
