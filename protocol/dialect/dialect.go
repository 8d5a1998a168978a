// Package dialect names the headers of the traffic interface. A deployment
// whose callers and endpoints use other names supplies its own Dialect. The
// package owns no state.
package dialect

// Dialect holds header names in canonical form. An empty name switches the
// header off.
type Dialect struct {
	// RequestID identifies one attempt of a caller; endpoints echo it.
	RequestID string
	// DeadlineRemaining is the time that the caller still waits, in milliseconds.
	DeadlineRemaining string
	// ExpectedInstance names the only endpoint instance that may run the request.
	ExpectedInstance string
	// Instance names the endpoint instance that answered.
	Instance string
	// Team names the team that holds the caller's key.
	Team string
	// NotExecuted on an endpoint's answer states that the request did not run.
	NotExecuted string
	// Signature is the endpoint's proof that an answer is its own.
	Signature string
	// PromptParts lists the parts of a prompt as ID:TOKENS entries.
	PromptParts string
	// TokenCounts holds the prompt tokens and the maximum of generated tokens.
	TokenCounts string
	// LengthHint is the caller's estimate of the generated tokens.
	LengthHint string
	// LastEventID resumes a stream after the named event.
	LastEventID string
	// Reserved lists headers that only the fleet may set towards an endpoint.
	Reserved []string
	// Required lists headers that reach the endpoint even if a caller names
	// them as concerning only its connection.
	Required []string
}

// Default returns the product's own header names.
func Default() Dialect {
	return Dialect{
		RequestID:         "Acaciaspar-Request",
		DeadlineRemaining: "Acaciaspar-Deadline-Ms",
		ExpectedInstance:  "Acaciaspar-Expected-Instance",
		Instance:          "Acaciaspar-Instance",
		Team:              "Acaciaspar-Team",
		NotExecuted:       "Acaciaspar-Not-Executed",
		Signature:         "Acaciaspar-Signature",
		PromptParts:       "Acaciaspar-Prompt-Parts",
		TokenCounts:       "Acaciaspar-Tokens",
		LengthHint:        "Acaciaspar-Length-Hint",
		LastEventID:       "Last-Event-Id",
	}
}
