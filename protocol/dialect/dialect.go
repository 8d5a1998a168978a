// Package dialect defines the names of the HTTP headers exchanged with callers and
// endpoints. A deployment whose callers and endpoints use other names supplies its
// own Dialect. The package owns no state.
package dialect

// Dialect holds header names in canonical form. An empty name disables the
// header.
type Dialect struct {
	// RequestID identifies one attempt of a caller; endpoints return it in the response.
	RequestID string
	// DeadlineRemaining is the time until the caller's deadline, in milliseconds.
	DeadlineRemaining string
	// ExpectedInstance identifies the only endpoint instance that may execute the request.
	ExpectedInstance string
	// Instance identifies the endpoint instance that sent the response.
	Instance string
	// Team is the name of the team that the caller's key belongs to.
	Team string
	// NotExecuted in an endpoint's response states that the request was not executed.
	NotExecuted string
	// Signature authenticates a response as sent by the endpoint.
	Signature string
	// PromptParts lists the parts of the prompt as ID:TOKENS entries.
	PromptParts string
	// TokenCounts holds the number of prompt tokens and the maximum number of
	// generated tokens.
	TokenCounts string
	// LengthHint is the caller's estimate of the number of generated tokens.
	LengthHint string
	// RequestLimit in an endpoint's response is the number of requests per second that
	// the endpoint accepts from all routers together, for as long as it sends it.
	RequestLimit string
	// Leaving in an endpoint's response states that the endpoint is leaving: it finishes the
	// requests in progress and then stops.
	Leaving string
	// LastEventID is the identifier of the event after which a stream is resumed.
	LastEventID string
	// Resumes identifies the caller's attempt that brought the first event of a stream
	// that the caller takes up again.
	Resumes string
	// Reserved lists headers that only the fleet may set in requests to endpoints.
	Reserved []string
	// Required lists headers that are forwarded to the endpoint even if the caller
	// lists them in its Connection header.
	Required []string
}

// Default returns the default header names.
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
		RequestLimit:      "Acaciaspar-Request-Limit",
		Leaving:           "Acaciaspar-Leaving",
		LastEventID:       "Last-Event-Id",
		Resumes:           "Acaciaspar-Resumes",
	}
}
