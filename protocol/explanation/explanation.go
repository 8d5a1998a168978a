// Package explanation defines the question to a direct router where a request would be sent, and the
// router's JSON reply. Asking changes nothing at the router.
package explanation

import "net/url"

// Path is the URL path of the question on the listener for metrics.
const Path = "/explain"

// Query describes a request that isn't sent.
type Query struct {
	// Host and Path select the route. If Path is empty, Service does.
	Host, Path, Service string
	// Team is the name of the team whose caller would send the request.
	Team string
	// PromptParts, TokenCounts and LengthHint are the values of the request's headers.
	PromptParts, TokenCounts, LengthHint string
}

// fields returns the query's fields by parameter name.
func (q *Query) fields() map[string]*string {
	return map[string]*string{
		"host": &q.Host, "path": &q.Path, "service": &q.Service, "team": &q.Team,
		"promptParts": &q.PromptParts, "tokenCounts": &q.TokenCounts, "lengthHint": &q.LengthHint,
	}
}

// Values returns the query's URL parameters.
func (q *Query) Values() url.Values {
	values := url.Values{}
	for name, field := range q.fields() {
		if *field != "" {
			values.Set(name, *field)
		}
	}
	return values
}

// Parse returns the query with these URL parameters.
func Parse(values url.Values) Query {
	var q Query
	for name, field := range q.fields() {
		*field = values.Get(name)
	}
	return q
}

// Reply is the router's answer.
type Reply struct {
	// ConfigVersion is the version of the configuration in force, or 0.
	ConfigVersion uint64 `json:"configVersion"`
	// Route is empty if there is none for the request.
	Route string `json:"route"`
	// TargetMs is the latency target.
	TargetMs int64 `json:"targetMs"`
	// PromptTokens and GeneratedTokens are the size of the request, the latter as expected.
	PromptTokens    int64 `json:"promptTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	Team            Team  `json:"team"`
	// Services are the destinations of the route.
	Services []Service `json:"services"`
	// Refusal is set if the request is refused before a service is picked.
	Refusal *Decision `json:"refusal,omitempty"`
}

// Team is the share of the request's team. Tokens are those of the fairness window.
type Team struct {
	Name string `json:"name"`
	// Allowance is the fraction of an engine's limits that the team's requests may use.
	Allowance float64 `json:"allowance"`
	// RequestedTokens, StartedTokens and BegunTokens count the requests of the team at all routers.
	RequestedTokens int64 `json:"requestedTokens"`
	StartedTokens   int64 `json:"startedTokens"`
	BegunTokens     int64 `json:"begunTokens"`
	// ShareTokens is a team's share of the configured token rate; 0 if it is unknown. LimitTokens is the
	// limit for teams that request more than their share; 0 if there is none.
	ShareTokens int64 `json:"shareTokens"`
	LimitTokens int64 `json:"limitTokens"`
}

// Service is one destination of the route.
type Service struct {
	Service string `json:"service"`
	// Weight is the service's relative part of the route's requests.
	Weight     float64     `json:"weight"`
	Candidates []Candidate `json:"candidates"`
	Decision   Decision    `json:"decision"`
}

// Candidate is one endpoint of the service.
type Candidate struct {
	Endpoint string `json:"endpoint"`
	Zone     string `json:"zone"`
	// State is "ready" if the endpoint may be chosen, and otherwise why not.
	State string `json:"state"`
	// UntilMs is the time until the state may end, if it is known.
	UntilMs int64 `json:"untilMs,omitempty"`
	// Running and PendingTokens are the load of all routers.
	Running       int   `json:"running"`
	PendingTokens int64 `json:"pendingTokens"`
	// Cost is set for endpoints that were compared.
	Cost *Cost `json:"cost,omitempty"`
}

// Cost is what the request costs at an endpoint.
type Cost struct {
	// WaitMs is the expected time until the endpoint begins the request.
	WaitMs         float64 `json:"waitMs"`
	UncachedTokens int64   `json:"uncachedTokens"`
	// Score ranks the endpoints; the lowest one is chosen. It is in prompt tokens for model engines and in
	// requests in progress for plain services.
	Score float64 `json:"score"`
}

// Decision is the endpoint to which the request would be sent, or why it would be refused.
type Decision struct {
	Endpoint string `json:"endpoint,omitempty"`
	// Status, Reason and RetryAfterMs are those of the refusal. RetryAfterMs varies at random.
	Status       int    `json:"status,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}
