package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// agentMetrics holds the agent's metrics.
type agentMetrics struct {
	registry     metrics.Registry
	accepted     metrics.Counter
	cost         metrics.Counter
	costAboveMax metrics.Counter
	reports      metrics.Counter
	// reportFailures counts reports without a valid reply.
	reportFailures metrics.Counter
}

func newMetrics(s *slotTable) *agentMetrics {
	registry := metrics.NewRegistry()
	_ = registry.Register("agent.running", metrics.NewFunctionalGauge(func() int64 {
		var inProgress int
		s.withTable(func(t *slots.Table) { inProgress = t.InProgress() })
		return int64(inProgress)
	}))
	return &agentMetrics{
		registry:       registry,
		accepted:       metrics.NewRegisteredCounter("agent.accepted", registry),
		cost:           metrics.NewRegisteredCounter("agent.cost", registry),
		costAboveMax:   metrics.NewRegisteredCounter("agent.cost_above_max", registry),
		reports:        metrics.NewRegisteredCounter("agent.reports", registry),
		reportFailures: metrics.NewRegisteredCounter("agent.report_failures", registry),
	}
}

func (m *agentMetrics) refused(reason string) {
	metrics.GetOrRegisterCounter("agent.refused."+reason, m.registry).Inc(1)
}
