package routing

import "time"

// Semantics says how often a request may run.
type Semantics int

const (
	// NonIdempotent requests run at most once per caller attempt.
	NonIdempotent Semantics = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with server-sent events and run at most
	// once, unless their route is resumable.
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
	// Attempts is the largest number of endpoints that may run one caller attempt.
	Attempts int
	// Timeout is the longest time to the final answer; 0 means none.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between two events of a stream.
	PauseTarget time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// PromptAffinity routes carry prompt parts.
	PromptAffinity bool
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool
}

// Destination is one service of a route with its share of the traffic.
type Destination struct {
	Service string
	Weight  float64
}

// Service is a set of equivalent endpoints.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections of one endpoint from all callers.
	ConnectionLimit int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the batching of a service's model engines.
type Engine struct {
	// Slots is the largest number of requests in one batch.
	Slots int
	// CacheTokens is the memory shared by running requests and cached parts.
	CacheTokens int64
	// TokensPerEvent is the number of generated tokens in one stream event.
	TokensPerEvent int
}

// Team is one customer with its keys.
type Team struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what callers may send and what the engines can do.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a kept connection may be idle.
	IdleTimeout time.Duration
	// TokensPerSecond is what all engines produce together: each prompt token
	// counts once and each generated token twice. 0 means unknown.
	TokensPerSecond float64
}
