package direct

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// coldServices returns the services that have cold endpoints.
func coldServices(table *routing.Table) map[string]dispatch.ColdService {
	var services map[string]dispatch.ColdService
	for _, s := range table.Services() {
		if s.ColdRate <= 0 {
			continue
		}
		if services == nil {
			services = map[string]dispatch.ColdService{}
		}
		services[s.Name] = dispatch.ColdService{Start: s.ColdStart, Rate: s.ColdRate}
	}
	return services
}

// reportCold logs the endpoints that have become cold or warm and updates the metrics of cold endpoints.
func (p *process) reportCold(now time.Time) {
	for _, c := range p.dispatcher.TakeColdChanges() {
		if c.Cold {
			p.log.Info("endpoint is cold", "endpoint", c.ID, "source", c.Source.String(), "for_ms", c.Until.Sub(now).Milliseconds())
		} else {
			p.log.Info("endpoint is warm again", "endpoint", c.ID, "cold_by", c.Source.String())
		}
	}
	cold, leftOut := p.dispatcher.ColdEndpoints(now)
	metrics.GetOrRegisterGauge("direct.cold_endpoints", p.metrics).Update(int64(cold))
	counter := metrics.GetOrRegisterCounter("direct.cold_left_out", p.metrics)
	counter.Inc(leftOut - counter.Count())
}
