package direct

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/entry"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/protocol/explanation"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Guards against a listener for metrics that doesn't serve explanations, or no metrics any more.
func TestOperatorListenerServesMetricsAndExplanations(t *testing.T) {
	p := &process{metrics: metrics.NewRegistry()}
	metrics.GetOrRegisterCounter("direct.requests", p.metrics).Inc(3)
	p.handler = &entry.Handler{Routes: &routing.Store{}, Dialect: dialect.Default(), Log: slog.New(slog.DiscardHandler)}
	get := func(method, target string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		p.operatorHandler().ServeHTTP(recorder, httptest.NewRequest(method, target, nil))
		return recorder
	}
	for _, path := range []string{"/metrics", "/"} {
		must.StrContains(t, get(http.MethodGet, path).Body.String(), "acaciaspar_direct_requests 3\n")
	}
	must.StrContains(t, get(http.MethodGet, explanation.Path+"?path=/x").Body.String(), `"no configuration yet"`)
}
