// Package outcome defines what the fleet tells a caller about a request whose
// answer is not the endpoint's own. It owns no state.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Header carries the outcome on every answer that is not the endpoint's own.
const Header = "Acaciaspar-Outcome"

// RequestHeader carries the request's identifier on every answer.
const RequestHeader = "Acaciaspar-Request"

// StreamEvent is the name of the server-sent event that ends a stream which
// was cut after its answer had begun.
const StreamEvent = "acaciaspar-outcome"

// Kind says how far a request got.
type Kind string

const (
	// NotRun means that the request certainly did not run; it is safe to send it again.
	NotRun Kind = "not-run"
	// Unknown means that the request may have run.
	Unknown Kind = "unknown"
	// Failed means that the request ran and failed.
	Failed Kind = "failed"
)

// Outcome is the answer to a request that did not end with the endpoint's own answer.
type Outcome struct {
	// Kind is sent as the field "outcome" and as Header.
	Kind Kind `json:"outcome"`
	// Reason is a short English sentence.
	Reason string `json:"reason"`
	// Request is the request's identifier.
	Request string `json:"request"`
	// RetryAfterSeconds is 0 where waiting doesn't help.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// New returns an outcome without a time to wait.
func New(kind Kind, status int, request, reason string) Outcome {
	return Outcome{Kind: kind, Status: status, Request: request, Reason: reason}
}

// WithRetryAfter returns a copy that asks the caller to wait for d, rounded up to seconds.
func (o Outcome) WithRetryAfter(d time.Duration) Outcome {
	o.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	return o
}

// Write sends the outcome as a whole HTTP answer.
func (o Outcome) Write(w http.ResponseWriter) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(Header, string(o.Kind))
	h.Set(RequestHeader, o.Request)
	if o.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(o.RetryAfterSeconds))
	}
	w.WriteHeader(o.Status)
	_, err = w.Write(append(body, '\n'))
	return err
}

// Event returns the outcome as a server-sent event.
func (o Outcome) Event() ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	event := []byte("event: " + StreamEvent + "\ndata: ")
	event = append(event, body...)
	return append(event, '\n', '\n'), nil
}
