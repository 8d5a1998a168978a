package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// counts holds the agent's metrics.
type counts struct {
	registry     metrics.Registry
	accepted     metrics.Counter
	cost         metrics.Counter
	costAboveMax metrics.Counter
	reports      metrics.Counter
	// reportFailures counts reports without a usable reply.
	reportFailures metrics.Counter
}

func newCounts(p *pool) *counts {
	registry := metrics.NewRegistry()
	_ = registry.Register("agent.running", metrics.NewFunctionalGauge(func() int64 {
		var held int
		p.read(func(t *slots.Table) { held = t.InProgress() })
		return int64(held)
	}))
	return &counts{
		registry:       registry,
		accepted:       metrics.NewRegisteredCounter("agent.accepted", registry),
		cost:           metrics.NewRegisteredCounter("agent.cost", registry),
		costAboveMax:   metrics.NewRegisteredCounter("agent.cost_above_max", registry),
		reports:        metrics.NewRegisteredCounter("agent.reports", registry),
		reportFailures: metrics.NewRegisteredCounter("agent.report_failures", registry),
	}
}

func (c *counts) refused(reason string) {
	metrics.GetOrRegisterCounter("agent.refused."+reason, c.registry).Inc(1)
}
