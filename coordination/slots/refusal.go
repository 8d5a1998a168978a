package slots

import "fmt"

// Reason tells why a request was not accepted or not started.
type Reason string

// The reasons of a refusal.
const (
	// UnknownToken was never offered by this agent instance.
	UnknownToken Reason = "unknown-token"
	// SpentToken was used by another request or was cancelled.
	SpentToken Reason = "spent-token"
	// LapsedToken was offered, but its lease has passed.
	LapsedToken Reason = "lapsed-token"
	// Draining agents take no new work.
	Draining Reason = "draining"
	// Superseded agents have been replaced by a later instance.
	Superseded Reason = "superseded"
	// NotReady agents lack something that they need for work, such as a
	// configuration or an endpoint that takes connections.
	NotReady Reason = "not-ready"
	// Duplicate means that this attempt, or a later one, was accepted before.
	Duplicate Reason = "duplicate"
	// InProgress means that an earlier attempt of the request has not ended.
	// This attempt was not run; its router knows of the earlier one.
	InProgress Reason = "in-progress"
	// TooManyTeams means that the table of counters is full and no entry may be folded.
	TooManyTeams Reason = "too-many-teams"
	// StartTimeout means that no slot became available in time.
	StartTimeout Reason = "start-timeout"
	// NotAccepted means that the table doesn't know the request.
	NotAccepted Reason = "not-accepted"
)

// Refusal is the error of Accept and MayStart.
type Refusal struct {
	Reason Reason
	// Request is the refused request.
	Request string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request %s refused: %s", r.Request, r.Reason)
}

// MayHaveRun reports whether this attempt may be running or may have run, so
// that "not-run" would be a false answer.
func (r *Refusal) MayHaveRun() bool { return r.Reason == Duplicate }
