package slots

import "fmt"

// Reason is the reason why a request was not accepted or not started.
type Reason string

// The reasons of a refusal.
const (
	// UnknownToken means that this agent instance never offered the token.
	UnknownToken Reason = "unknown-token"
	// SpentToken means that the token was used by another request or cancelled.
	SpentToken Reason = "spent-token"
	// LapsedToken means that the token was offered, but its lease has expired.
	LapsedToken Reason = "lapsed-token"
	// Draining means that the agent is leaving and accepts no new requests.
	Draining Reason = "draining"
	// Superseded means that a later instance has replaced the agent.
	Superseded Reason = "superseded"
	// NotReady means that the agent can't serve requests yet, for example
	// because it has no configuration or its endpoint accepts no connections.
	NotReady Reason = "not-ready"
	// Duplicate means that this attempt, or a later one, was accepted before.
	Duplicate Reason = "duplicate"
	// InProgress means that an earlier attempt of the request has not ended.
	// This attempt was not run; its router has a record of the earlier one.
	InProgress Reason = "in-progress"
	// TooManyTeams means that the counter table is full and no counter can be evicted.
	TooManyTeams Reason = "too-many-teams"
	// StartTimeout means that no slot became available in time.
	StartTimeout Reason = "start-timeout"
	// NotAccepted means that the table has no such request.
	NotAccepted Reason = "not-accepted"
)

// Refusal is the error that Accept and TryStart return.
type Refusal struct {
	Reason Reason
	// Request is the identifier of the refused request.
	Request string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request %s refused: %s", r.Request, r.Reason)
}

// MayHaveRun reports whether this attempt may be running or may have run. If
// so, the caller must not report the outcome "not-run".
func (r *Refusal) MayHaveRun() bool { return r.Reason == Duplicate }
