package fairqueue

import (
	"math/rand/v2"
	"time"
)

// Ordering selects the team that is served next.
type Ordering int

const (
	// Fair serves the backlogged team with the least service per weight.
	Fair Ordering = iota
	// FCFS serves the ticket with the earliest queueing time.
	FCFS
	// RouterFair serves the entry routers round robin, and orders the teams of each
	// router fairly.
	RouterFair
)

// Placement selects the endpoint of a grant.
type Placement int

const (
	// Affinity prefers the endpoint that the affinity key selects, then an endpoint
	// in the zone of the entry router, then the endpoint with the most free tokens.
	Affinity Placement = iota
	// Random selects a random endpoint with a free token.
	Random
)

// Time limits of the queue.
const (
	// OfferTTL is the time after a report during which its tokens are granted. It
	// is below the lease of 2 s, so that a grant reaches the agent before the lease
	// expires.
	OfferTTL = 1500 * time.Millisecond
	// TokenLease is the lease of a token at its agent. A token that is still listed
	// as free this long after its grant was accepted was not used.
	TokenLease = 2 * time.Second
	// LivenessTimeout is the time without messages after which the tickets of a
	// router or the tokens of an agent are dropped.
	LivenessTimeout = 3 * time.Second
	// FoldTimeout is the time without reports after which the counters of an agent
	// instance are folded into the bases of its teams.
	FoldTimeout = time.Minute
	// FoldedRetention is the time without reports after which a folded instance is
	// deleted. It covers a partition of an hour: when the instance returns, only
	// what it has charged since then is added.
	FoldedRetention = 2 * time.Hour
	// RebuildTimeout is the maximum time that a new queue waits for the full
	// reports of its endpoints before the first grant: two report intervals.
	RebuildTimeout = time.Second
	// BaseRefreshInterval is the interval at which all bases are sent again,
	// because agents that hold copies are replaced over time.
	BaseRefreshInterval = time.Minute
)

// Bounds of the tables and of single values.
const (
	// MaxTeams bounds the table of teams: three times the design target of 18,000
	// teams.
	MaxTeams = 54_000
	// MaxTickets bounds the waiting tickets of a service.
	MaxTickets = 1 << 18
	// MaxRouters bounds the table of entry routers: four times the design target of
	// 520 nodes.
	MaxRouters = 2_080
	// MaxInstances bounds the table of agent instances, including those that no
	// longer report.
	MaxInstances = 4_096
	// MaxAgents bounds the endpoints that report: three times the design target of
	// 350 agents per service.
	MaxAgents = 1_024
	// MaxTokens bounds the free tokens plus the requests in progress of one report.
	MaxTokens = 4_096
	// MaxCost is the largest valid cost counter, in cost units.
	MaxCost = 1_000_000_000_000
	// MaxCountedHint is the largest part of a hint that is charged, in cost units.
	// It is more than the cost of a 10 min request at a plain service. Together
	// with the bounds above it keeps the sum of all outstanding hints below 1<<62.
	MaxCountedHint = 1_000_000
	// MaxBasesPerReply bounds the bases in one reply.
	MaxBasesPerReply = 64
	// baseCopies is the number of replies that carry a changed base. Several agents
	// then hold it, so that it survives the loss of some agents or of a reply.
	baseCopies = 8
	// maxCachedHomes bounds the cached home endpoints of affinity keys.
	maxCachedHomes = 1 << 16
	// maxVirtualTime bounds a base and the sum of a team's counters, in millionths,
	// so that v never overflows.
	maxVirtualTime = 1 << 61
	// millionths is the virtual time of one cost unit at weight 1.
	millionths = 1_000_000
)

// Options configures a queue.
type Options struct {
	// Ordering of the teams. Default: Fair.
	Ordering Ordering
	// Placement of the grants. Default: Affinity.
	Placement Placement
	// CreditLimit is the largest distance of a backlogged team below the largest v
	// of any backlogged team, in cost units per weight. It must be above the
	// fairness bound. Default: no limit.
	CreditLimit uint64
	// MaxQueuedPerTeam bounds the waiting tickets of one team. Default: MaxTickets.
	MaxQueuedPerTeam int
	// Rand is the source of random placement. Default: a source with a fixed seed.
	Rand *rand.Rand
}

// Ticket represents one queued request. Request and Attempt identify it.
type Ticket struct {
	Request   string
	Attempt   uint32
	Team      string
	Operation string
	// Affinity is the key for prefix locality. Default: the team.
	Affinity string
	// Router is the address of the entry router.
	Router         string
	RouterInstance string
	Zone           string
	// Hint is the expected cost, in cost units.
	Hint     uint64
	QueuedAt time.Time
}

// Endpoint is an endpoint of the service that may report.
type Endpoint struct {
	Name string
	// Draining endpoints get no grants.
	Draining bool
}

// Counter holds the totals of one team at one agent instance.
type Counter struct {
	Team string
	// Cost is in cost units.
	Cost uint64
	// Normalized is the cost divided by the weight, in millionths.
	Normalized uint64
	// Base is the largest base that the agent knows, in millionths.
	Base     uint64
	Finished uint64
	Failed   uint64
	// Outstanding is the part of the hints of accepted requests that has not been
	// metered yet, divided by the weight, in millionths.
	Outstanding uint64
	// Running is the number of accepted requests that have not ended.
	Running uint32
}

// Report is the state of one agent.
type Report struct {
	Endpoint string
	Instance string
	Address  string
	Zone     string
	// ConfigVersion is the agent's configuration version, reported in the status.
	ConfigVersion uint64
	// StartedUnixMs orders the instances of an endpoint; the latest one is current.
	StartedUnixMs int64
	Sequence      uint64
	FreeTokens    []string
	// Running is the number of accepted requests of all teams.
	Running uint32
	// Counters holds the counters that changed, or all of them if Full is set. It
	// must contain the teams whose requests were accepted or ended since the last
	// report that the queue applied.
	Counters      []Counter
	Full          bool
	Draining      bool
	Capacity      uint32
	FencingNumber uint64
	// VirtualTime is the largest virtual time that the agent has received from an
	// owner, in millionths.
	VirtualTime uint64
}

// Refusal is the reason why a report was refused as a whole.
type Refusal string

// Reasons for refusing a report.
const (
	RefusedNone             Refusal = ""
	RefusedUnknownEndpoint  Refusal = "unknown endpoint"
	RefusedTooManyTokens    Refusal = "too many tokens"
	RefusedImpossibleCost   Refusal = "impossible cost"
	RefusedCounterDecreased Refusal = "counter went down"
	RefusedDuplicate        Refusal = "token or team listed twice"
	RefusedTableFull        Refusal = "table is full"
)

// TeamBase is the base of a team, which agents keep for the next owner.
type TeamBase struct {
	Team string
	Base uint64
}

// ReportResult is the reply to a report.
type ReportResult struct {
	// Refused is the reason if the report is invalid and was not applied.
	Refused Refusal
	// Stale is set if the report was not applied because a later one had already
	// arrived.
	Stale bool
	// WantFull requests a report with all counters from the agent.
	WantFull bool
	// Superseded is set if a later instance of the endpoint is known.
	Superseded  bool
	Bases       []TeamBase
	VirtualTime uint64
}

// Grant assigns one slot token to one ticket.
type Grant struct {
	Ticket       Ticket
	Endpoint     string
	Instance     string
	AgentAddress string
	Token        string
	Weight       uint64
	Waited       time.Duration
	serial       uint64
}

// Resolution is the result of dispatching a grant.
type Resolution int

const (
	// Accepted means that the entry router sends the request to the agent.
	Accepted Resolution = iota
	// Gone means that the request is no longer waiting.
	Gone
	// Lost means that the entry router did not reply.
	Lost
)

// TeamState is the state of one team, for the status.
type TeamState struct {
	Team    string
	Waiting int
	Running int
	// Cost is the sum of the known counters, in cost units.
	Cost uint64
	// VirtualTime is the team's v, in millionths.
	VirtualTime uint64
}

// EndpointState is the state of one reporting endpoint, for the status.
type EndpointState struct {
	Endpoint      string
	Address       string
	Instance      string
	Draining      bool
	Capacity      uint32
	Running       int
	Free          int
	FencingNumber uint64
	ConfigVersion uint64
}
