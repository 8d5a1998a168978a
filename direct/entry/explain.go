package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/explanation"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Explain answers where a request would be sent now, and why, without sending it. It serves operators and
// must not be reachable by callers.
func (h *Handler) Explain(w http.ResponseWriter, in *http.Request) {
	query := explanation.Parse(in.URL.Query())
	if query.Path == "" && query.Service == "" {
		http.Error(w, "neither a path nor a service is given", http.StatusBadRequest)
		return
	}
	reply := h.explain(time.Now(), query)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		h.Log.Info("explanation not delivered", "error", err.Error())
	}
}

func (h *Handler) explain(now time.Time, query explanation.Query) explanation.Reply {
	reply := explanation.Reply{Team: explanation.Team{Name: query.Team, Allowance: 1}, Services: []explanation.Service{}}
	r := &request{h: h, in: h.queriedRequest(query), table: h.Routes.Current(), team: query.Team, receivedAt: now}
	if r.table == nil {
		reply.Refusal = &explanation.Decision{Status: http.StatusServiceUnavailable, Reason: "no configuration yet", RetryAfterMs: notReadyRetryAfter.Milliseconds()}
		return reply
	}
	reply.ConfigVersion = r.table.Version
	if query.Path != "" {
		r.route = r.table.Match(query.Host, query.Path)
	} else {
		r.route = r.table.RouteTo(query.Service)
	}
	if r.route == nil {
		reply.Refusal = &explanation.Decision{Status: http.StatusNotFound, Reason: "no route"}
		return reply
	}
	reply.Route = r.route.Name
	if refusal := r.explainAccess(); refusal != nil {
		reply.Refusal = refusal
		return reply
	}
	r.deadline = now.Add(r.timeout())
	reply.TargetMs = r.latencyTarget(now).Milliseconds()
	for _, d := range r.route.Destinations {
		if d.Weight > 0 && (query.Service == "" || d.Service == query.Service) {
			r.explainService(now, d, &reply)
		}
	}
	if len(reply.Services) == 0 {
		reply.Refusal = &explanation.Decision{Status: http.StatusNotFound, Reason: "the route doesn't lead to the service"}
	}
	return reply
}

// queriedRequest returns a request with the headers that the query gives.
func (h *Handler) queriedRequest(query explanation.Query) *http.Request {
	in := &http.Request{Header: http.Header{}}
	in.Header.Set(h.Dialect.PromptParts, query.PromptParts)
	in.Header.Set(h.Dialect.TokenCounts, query.TokenCounts)
	in.Header.Set(h.Dialect.LengthHint, query.LengthHint)
	return in
}

// explainAccess returns the refusal of a caller that may not use the route, or nil. Operators name the
// team itself instead of a key.
func (r *request) explainAccess() *explanation.Decision {
	if !r.table.RequiresKeys() {
		return nil
	}
	switch {
	case r.team == "" && !r.route.Public:
		return &explanation.Decision{Status: http.StatusUnauthorized, Reason: "the route needs a team"}
	case r.team != "" && !r.table.HasTeam(r.team):
		return &explanation.Decision{Status: http.StatusUnauthorized, Reason: "unknown team"}
	}
	return nil
}

// explainService adds what is known of one destination of the route to the reply.
func (r *request) explainService(now time.Time, d routing.Destination, reply *explanation.Reply) {
	r.service = r.table.Service(d.Service)
	r.parseCost()
	isEngine := r.service.Engine != nil
	x := r.h.Dispatcher.Explain(now, dispatch.Request{
		Service: r.service.Name, Team: r.team, Cost: r.cost, Target: r.latencyTarget(now),
		Build: r.explainedBuild(), Resumable: r.isResumable(),
	}, isEngine)
	reply.PromptTokens = max(reply.PromptTokens, r.cost.PromptTokens())
	reply.GeneratedTokens = max(reply.GeneratedTokens, r.cost.GeneratedTokens)
	reply.Team = explanation.Team{
		Name: r.team, Allowance: x.Team.Allowance, RequestedTokens: x.Team.Usage.Requested, StartedTokens: x.Team.Usage.Started,
		BegunTokens: x.Team.Usage.Begun, ShareTokens: x.Team.Share, LimitTokens: x.Team.Limit,
	}
	service := explanation.Service{Service: r.service.Name, Weight: d.Weight, Candidates: []explanation.Candidate{}}
	for _, c := range x.Candidates {
		service.Candidates = append(service.Candidates, explainCandidate(&c))
	}
	service.Decision = explanation.Decision{Endpoint: x.Chosen}
	if refusal := x.Refusal; refusal != nil {
		service.Decision = explanation.Decision{
			Status: statusOf(refusal), Reason: string(refusal.Reason), RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		}
	}
	reply.Services = append(reply.Services, service)
}

// explainedBuild returns the build at which a new stream should begin at present, or streamorigin.AnyBuild.
func (r *request) explainedBuild() streamorigin.Build {
	if !r.isResumable() {
		return streamorigin.AnyBuild
	}
	build, _ := r.h.Origins.Restriction(r.resumableRoutes())
	return build
}

func explainCandidate(c *dispatch.CandidateExplanation) explanation.Candidate {
	e := explanation.Candidate{
		Endpoint: c.Endpoint.ID, Zone: c.Endpoint.Zone, State: string(c.State), UntilMs: c.For.Milliseconds(),
		Running: c.Running, PendingTokens: c.Pending,
	}
	if c.Compared {
		e.Cost = &explanation.Cost{
			WaitMs: float64(c.Wait) / float64(time.Millisecond), UncachedTokens: c.UncachedTokens, Score: c.Score,
		}
	}
	return e
}
