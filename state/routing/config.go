package routing

import "time"

// Semantics determines how often a request may be executed.
type Semantics int

const (
	// NonIdempotent requests are executed at most once per attempt of the caller.
	NonIdempotent Semantics = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Stream requests get server-sent events as their response. They are executed at
	// most once unless their route is resumable.
	Stream
)

// Config is one published configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Semantics  Semantics
	// Destinations has at least one entry with a positive weight.
	Destinations []Destination
	// Attempts is the maximum number of endpoints that may execute one attempt of a
	// caller.
	Attempts int
	// Timeout is the maximum time to the final response; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the target time to the response, or to the first event of
	// a stream.
	LatencyTarget time.Duration
	// PauseTarget is the target for the longest pause between two events of a
	// stream.
	PauseTarget time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Public routes require no API key.
	Public bool
	// PromptAffinity is set if requests list the parts of their prompt.
	PromptAffinity bool
	// Resumable streams may continue at another endpoint after the last event.
	Resumable bool
}

// Destination is one service of a route with its relative share of the traffic.
type Destination struct {
	Service string
	Weight  float64
}

// Service is a set of equivalent endpoints.
type Service struct {
	Name string
	// ConnectionLimit is the maximum number of connections to one endpoint from
	// all callers.
	ConnectionLimit int
	// ColdStart is how long an endpoint is cold after its start, and ColdRate is the number of requests per
	// second that a cold endpoint sustains. If ColdRate is 0, no endpoint is ever cold.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil unless the endpoints are model engines.
	Engine *Engine
}

// Engine describes the batching of a service's model engines.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// CacheTokens is the memory, in tokens, that running requests and cached
	// prompt parts share.
	CacheTokens int64
	// TokensPerEvent is the number of generated tokens in one stream event.
	TokensPerEvent int
}

// Team is one customer.
type Team struct {
	Name string
	// Keys lists the API keys that callers of the team send as bearer tokens.
	Keys     []string
	Priority int
}

// Limits bound what callers may send and state what the engines can process.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time for reading a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a keep-alive connection may be idle.
	IdleTimeout time.Duration
	// TokensPerSecond is the total token rate of all engines. A prompt token
	// counts once and a generated token twice. 0 means unknown.
	TokensPerSecond float64
}
