package entry_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/protocol/explanation"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// ask asks the router where a request would be sent.
func (r *router) ask(query explanation.Query) explanation.Reply {
	r.t.Helper()
	recorder := httptest.NewRecorder()
	r.handler.Explain(recorder, httptest.NewRequest(http.MethodGet, explanation.Path+"?"+query.Values().Encode(), nil))
	must.Eq(r.t, http.StatusOK, recorder.Code)
	var reply explanation.Reply
	must.NoError(r.t, json.Unmarshal(recorder.Body.Bytes(), &reply))
	return reply
}

// Guards against an explanation of another request than the one that the query describes: its route, latency
// target, team and size are those that the handler derives from the request itself.
func TestExplainedRequest(t *testing.T) {
	r := newRouter(t)
	r.endpoints.Put(registry.Endpoint{ID: "e1", Service: "engines", Zone: "z", Slots: 8})
	r.endpoints.Put(registry.Endpoint{ID: "p1", Service: "plain", Zone: "z", Slots: 8})
	reply := r.ask(explanation.Query{Host: "SHOP.example:80", Path: "/stream/x", Team: "t1", PromptParts: "a:3000,b:200", TokenCounts: "3200,40", LengthHint: "7"})
	must.Nil(t, reply.Refusal)
	must.Eq(t, "stream", reply.Route)
	must.Eq(t, 2000, reply.TargetMs)
	must.Eq(t, 3200, reply.PromptTokens)
	must.Eq(t, 7, reply.GeneratedTokens)
	must.Eq(t, "t1", reply.Team.Name)
	must.Eq(t, 1, reply.Team.Allowance)
	must.Len(t, 1, reply.Services)
	must.Eq(t, explanation.Decision{Endpoint: "e1"}, reply.Services[0].Decision)
	must.Len(t, 1, reply.Services[0].Candidates)
	must.Eq(t, "ready", reply.Services[0].Candidates[0].State)
	must.NotNil(t, reply.Services[0].Candidates[0].Cost)

	reply = r.ask(explanation.Query{Service: "plain", Team: "t1"})
	must.Eq(t, "brief", reply.Route, must.Sprint("the first route that leads to the service"))
	must.Eq(t, "p1", reply.Services[0].Decision.Endpoint)
	must.Eq(t, 0, r.handler.InFlight())
	must.Eq(t, 0, r.handler.Metrics.Requests.Count())
}

// Guards against an explanation that shows an endpoint for a request that is refused before it is placed, or
// another status.
func TestExplainedRefusals(t *testing.T) {
	r := newRouter(t)
	for _, test := range []struct {
		query  explanation.Query
		status int
	}{
		{explanation.Query{Host: "shop.example", Path: "/none/", Team: "t1"}, http.StatusNotFound},
		{explanation.Query{Host: "other.example", Path: "/stream/", Team: "t1"}, http.StatusNotFound},
		{explanation.Query{Service: "none", Team: "t1"}, http.StatusNotFound},
		{explanation.Query{Host: "shop.example", Path: "/stream/", Service: "plain", Team: "t1"}, http.StatusNotFound},
		{explanation.Query{Host: "shop.example", Path: "/stream/"}, http.StatusUnauthorized},
		{explanation.Query{Host: "shop.example", Path: "/stream/", Team: "t2"}, http.StatusUnauthorized},
	} {
		reply := r.ask(test.query)
		must.NotNil(t, reply.Refusal, must.Sprintf("%+v", test.query))
		must.Eq(t, test.status, reply.Refusal.Status, must.Sprintf("%+v", test.query))
		must.SliceEmpty(t, reply.Services)
	}
	reply := r.ask(explanation.Query{Host: "shop.example", Path: "/public/"})
	must.Nil(t, reply.Refusal, must.Sprint("needs no team"))
	must.Eq(t, http.StatusServiceUnavailable, reply.Services[0].Decision.Status)
	must.Eq(t, "no usable endpoint", reply.Services[0].Decision.Reason)
	must.Positive(t, reply.Services[0].Decision.RetryAfterMs)

	recorder := httptest.NewRecorder()
	r.handler.Explain(recorder, httptest.NewRequest(http.MethodGet, explanation.Path, nil))
	must.Eq(t, http.StatusBadRequest, recorder.Code)

	r.handler.Routes = &routing.Store{}
	reply = r.ask(explanation.Query{Host: "shop.example", Path: "/stream/", Team: "t1"})
	must.Eq(t, http.StatusServiceUnavailable, reply.Refusal.Status)
}

// Guards against an explanation that ignores the build at which streams begin while origins can't be saved.
func TestExplainedStreamBeginsAtTheImpliedBuild(t *testing.T) {
	r := newRouter(t)
	for _, version := range []string{"v1", "v2"} {
		r.endpoints.Put(registry.Endpoint{ID: "e-" + version, Service: "engines", Version: version, Slots: 8})
	}
	query := explanation.Query{Host: "shop.example", Path: "/resumable/", Team: "t1"}
	r.origins.failSaves(streamorigin.BuildOf("engines", "v2"))
	reply := r.ask(query)
	must.Eq(t, "e-v2", reply.Services[0].Decision.Endpoint)
	must.Eq(t, "build", reply.Services[0].Candidates[1].State)
	r.origins.failSaves(streamorigin.BuildOf("engines", "v3"))
	must.Eq(t, "ready", r.ask(query).Services[0].Candidates[1].State, must.Sprint("no endpoint is of that build"))
}
