// Package objects defines the objects that operators publish: teams, services,
// endpoints and shares. It parses and validates them and computes differences
// between sets of them. A Set is immutable once built; the package holds no
// other state.
package objects

// Kind names a kind of object.
type Kind string

// The kinds of objects.
const (
	KindTeam     Kind = "Team"
	KindService  Kind = "Service"
	KindEndpoint Kind = "Endpoint"
	KindShare    Kind = "Share"
)

// Team is a customer whose requests the endpoints serve.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// TokenSHA256 lists lower-case hexadecimal SHA-256 hashes of the team's bearer tokens.
	TokenSHA256 []string `json:"tokenSHA256" yaml:"tokenSHA256"`
}

// ServiceType determines how the cost of a service's requests is measured.
type ServiceType string

const (
	// ModelService requests cost one unit per token.
	ModelService ServiceType = "model"
	// PlainService requests cost one unit per millisecond of endpoint time.
	PlainService ServiceType = "plain"
)

// Operation is one kind of request that a service accepts.
type Operation struct {
	Name string `json:"name" yaml:"name"`
	// Path is the URL path below the service's name. It starts with a slash.
	Path string `json:"path" yaml:"path"`
	// Idempotent operations may be sent again after an unknown outcome. Default: false.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent"`
}

// Service is served by endpoints and used by teams through shares.
type Service struct {
	Name       string      `json:"name" yaml:"name"`
	Type       ServiceType `json:"type" yaml:"type"`
	Operations []Operation `json:"operations" yaml:"operations"`
	// DefaultCost is the cost hint, in cost units, of requests without one.
	DefaultCost uint64 `json:"defaultCost" yaml:"defaultCost"`
	// MaxCost is the largest cost of one request, in cost units. Larger hints are reduced to it.
	MaxCost uint64 `json:"maxCost" yaml:"maxCost"`
}

// Fencing is whether an endpoint checks fencing numbers.
type Fencing string

const (
	// FencingChecked endpoints refuse requests with an older fencing number.
	FencingChecked Fencing = "checked"
	// FencingIgnored endpoints accept requests with any number.
	FencingIgnored Fencing = "ignored"
)

// EndpointState is whether an endpoint accepts new requests.
type EndpointState string

const (
	// EndpointActive endpoints accept requests. This is the default.
	EndpointActive EndpointState = "active"
	// EndpointDraining endpoints finish the requests in progress and accept no
	// new ones.
	EndpointDraining EndpointState = "draining"
)

// Endpoint is one backend of a service.
type Endpoint struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	// Zone is the endpoint's availability zone.
	Zone string `json:"zone" yaml:"zone"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots uint32 `json:"slots" yaml:"slots"`
	// Prefetch is the number of requests that the agent may hold in addition to Slots. Default: 0.
	Prefetch uint32        `json:"prefetch,omitempty" yaml:"prefetch"`
	Fencing  Fencing       `json:"fencing" yaml:"fencing"`
	State    EndpointState `json:"state,omitempty" yaml:"state"`
}

// Share gives a team a weighted part of a service's capacity.
type Share struct {
	Name    string `json:"name" yaml:"name"`
	Team    string `json:"team" yaml:"team"`
	Service string `json:"service" yaml:"service"`
	// Weight is relative to the other shares of the service, 1 to MaxWeight.
	Weight uint64 `json:"weight" yaml:"weight"`
}

// MaxWeight is the largest weight of a share.
const MaxWeight = 1_000_000
