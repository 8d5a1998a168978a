package fairqueue

import (
	"math/rand/v2"
	"time"
)

// Ordering selects the team that is served next.
type Ordering int

const (
	// Fair serves the backlogged team that received the least service per weight.
	Fair Ordering = iota
	// FCFS serves the ticket that was queued first.
	FCFS
	// RouterFair serves the entry routers in turn and is fair among the teams of each.
	RouterFair
)

// Placement selects the endpoint of a grant.
type Placement int

const (
	// Affinity prefers the endpoint that the affinity key selects, then the
	// zone of the entry router, then the endpoint with the most free tokens.
	Affinity Placement = iota
	// Random takes any endpoint with a free token.
	Random
)

// Times of the queue.
const (
	// FreshFor is the time after a report in which its tokens are granted. It
	// is below the lease of 2 s, so that a grant reaches the agent in time.
	FreshFor = 1500 * time.Millisecond
	// TokenLease is the lease of a token at its agent. A token whose grant was
	// accepted this long ago and that is still listed as free was not used.
	TokenLease = 2 * time.Second
	// SilentAfter is the silence after which the tickets of a router or the
	// tokens of an agent are dropped.
	SilentAfter = 3 * time.Second
	// FoldAfter is the silence after which the counters of an agent instance
	// move into the bases of its teams.
	FoldAfter = time.Minute
	// ForgetFolded is the time for which a folded instance is remembered. It
	// covers a partition of an hour: when the instance returns, only what it
	// charged since counts.
	ForgetFolded = 2 * time.Hour
	// RebuildTime is the longest time that a new queue waits for the full
	// reports of its endpoints before the first grant: two report intervals.
	RebuildTime = time.Second
	// BaseRefresh is the interval at which all bases are sent again, because
	// agents that hold copies are replaced over time.
	BaseRefresh = time.Minute
)

// Bounds of the tables and of single values.
const (
	// MaxTeams bounds the table of teams: three times the 18,000 teams of the target.
	MaxTeams = 54_000
	// MaxTickets bounds the waiting tickets of a service.
	MaxTickets = 1 << 18
	// MaxRouters bounds the table of entry routers: four times the 520 nodes of the target.
	MaxRouters = 2_080
	// MaxInstances bounds the table of agent instances, with those that are gone.
	MaxInstances = 4_096
	// MaxAgents bounds the endpoints that report: three times the 350 agents
	// of a service at the target.
	MaxAgents = 1_024
	// MaxTokens bounds the tokens and the running requests of one report.
	MaxTokens = 4_096
	// MaxCost is the largest possible cost, in cost units.
	MaxCost = 1_000_000_000_000
	// MaxCountedHint is the largest part of a hint that counts, in cost units:
	// more than a request of 10 min at a plain service costs. With the bounds
	// above it keeps the sum of all outstanding hints below 1<<62.
	MaxCountedHint = 1_000_000
	// MaxBasesPerReply bounds the bases of one reply.
	MaxBasesPerReply = 64
	// baseCopies is the number of replies that carry a changed base. Several
	// agents then hold it, and the loss of some of them or of a reply does no harm.
	baseCopies = 8
	// maxHomes bounds the remembered selections of affinity keys.
	maxHomes = 1 << 16
	// maxVirtual bounds a base and the sum of a team's counters, in
	// millionths, so that v never overflows.
	maxVirtual = 1 << 61
	// millionths is the unit of virtual time per cost unit at weight 1.
	millionths = 1_000_000
)

// Options of a queue.
type Options struct {
	// Ordering of the teams. Default: Fair.
	Ordering Ordering
	// Placement of the grants. Default: Affinity.
	Placement Placement
	// CreditLimit is the largest distance of a backlogged team below the
	// largest v of a backlogged team, in cost units per weight. Default: no
	// limit. It must be above the fairness bound.
	CreditLimit uint64
	// MaxQueuedPerTeam bounds the waiting tickets of one team. Default: MaxTickets.
	MaxQueuedPerTeam int
	// Rand is used by the random placement. Default: a fixed seed.
	Rand *rand.Rand
}

// Ticket stands for one waiting request. Request and Attempt identify it.
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

// Endpoint is a back end that may report.
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
	// Normalized is the cost divided by weight, in millionths.
	Normalized uint64
	// Base is the largest base that the agent knows, in millionths.
	Base     uint64
	Finished uint64
	Failed   uint64
	// Outstanding is the part of the hints of accepted requests that isn't
	// metered yet, divided by weight, in millionths.
	Outstanding uint64
	// Running counts accepted requests that have not ended.
	Running uint32
}

// Report is the state of one agent.
type Report struct {
	Endpoint string
	Instance string
	Address  string
	Zone     string
	// ConfigVersion is the agent's configuration version, for status.
	ConfigVersion uint64
	// StartedUnixMs orders the instances of an endpoint; the later one wins.
	StartedUnixMs int64
	Sequence      uint64
	FreeTokens    []string
	// Running counts accepted requests of all teams.
	Running uint32
	// Counters that changed, or all of them if Full is set. They must contain
	// the teams whose requests were accepted or ended since the last report
	// that the queue has taken.
	Counters      []Counter
	Full          bool
	Draining      bool
	Capacity      uint32
	FencingNumber uint64
	// VirtualTime is the largest one that an owner has sent, in millionths.
	VirtualTime uint64
}

// Refusal is the reason for which a report was refused whole.
type Refusal string

// The reasons.
const (
	RefusedNone             Refusal = ""
	RefusedUnknownEndpoint  Refusal = "unknown endpoint"
	RefusedTooManyTokens    Refusal = "too many tokens"
	RefusedImpossibleCost   Refusal = "impossible cost"
	RefusedCounterDecreased Refusal = "counter went down"
	RefusedDuplicate        Refusal = "token or team listed twice"
	RefusedTableFull        Refusal = "table is full"
)

// TeamBase is a base that agents keep for the next owner.
type TeamBase struct {
	Team string
	Base uint64
}

// ReportResult answers a report.
type ReportResult struct {
	// Refused is set if the report changed nothing because it is faulty.
	Refused Refusal
	// Stale is set if the report changed nothing because a later one came before.
	Stale bool
	// WantFull asks for all counters.
	WantFull bool
	// Superseded is set if a later instance of the endpoint is known.
	Superseded  bool
	Bases       []TeamBase
	VirtualTime uint64
}

// Grant gives one slot token to one ticket.
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

// Resolution is the result of the dispatch of a grant.
type Resolution int

const (
	// Accepted means that the entry router sends the request to the agent.
	Accepted Resolution = iota
	// Gone means that the request no longer waits.
	Gone
	// Lost means that there was no answer.
	Lost
)

// TeamState is the state of one team, for status.
type TeamState struct {
	Team    string
	Waiting int
	Running int
	// Cost is the sum of the known counters, in cost units.
	Cost uint64
	// Virtual is v, in millionths.
	Virtual uint64
}

// EndpointState is the state of one endpoint that reports.
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
