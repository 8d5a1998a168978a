package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// Names of the ends of a request that carry no outcome header.
const (
	endFinished  outcome.Kind = "finished"
	endCancelled outcome.Kind = "cancelled"
)

// meters are the metrics of the package. Times are in nanoseconds.
type meters struct {
	requests metrics.Counter
	retries  metrics.Counter
	badCalls metrics.Counter
	requeues metrics.Counter
	// fullSyncs counts syncs that an owner asked for after a digest.
	fullSyncs  metrics.Counter
	waiting    metrics.Gauge
	inProgress metrics.Gauge
	heldBytes  metrics.Gauge
	waitTime   metrics.Timer
	firstByte  metrics.Timer
	outcomes   map[outcome.Kind]metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	m := &meters{
		requests:   metrics.GetOrRegisterCounter("entry.requests", r),
		retries:    metrics.GetOrRegisterCounter("entry.retries", r),
		badCalls:   metrics.GetOrRegisterCounter("entry.refused_messages", r),
		requeues:   metrics.GetOrRegisterCounter("entry.requeues", r),
		fullSyncs:  metrics.GetOrRegisterCounter("entry.full_syncs", r),
		waiting:    metrics.GetOrRegisterGauge("entry.waiting", r),
		inProgress: metrics.GetOrRegisterGauge("entry.in_progress", r),
		heldBytes:  metrics.GetOrRegisterGauge("entry.held_bytes", r),
		waitTime:   metrics.GetOrRegisterTimer("entry.wait_time", r),
		firstByte:  metrics.GetOrRegisterTimer("entry.first_byte_time", r),
		outcomes:   map[outcome.Kind]metrics.Counter{},
	}
	kinds := []outcome.Kind{endFinished, endCancelled, outcome.NotRun, outcome.Unknown, outcome.Failed}
	for _, kind := range kinds {
		m.outcomes[kind] = metrics.GetOrRegisterCounter("entry.outcome."+string(kind), r)
	}
	return m
}
