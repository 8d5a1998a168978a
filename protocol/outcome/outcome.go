// Package outcome defines the responses that the fleet itself sends to callers
// when a request did not end with a response of the endpoint. It owns no state.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Header is the header that holds the outcome in every response that does not
// come from an endpoint.
const Header = "Acaciaspar-Outcome"

// RequestHeader is the header that holds the request identifier in every response.
const RequestHeader = "Acaciaspar-Request"

// StreamEvent is the name of the server-sent event that ends a stream which
// failed after the response had started.
const StreamEvent = "acaciaspar-outcome"

// Kind states whether a request was executed.
type Kind string

const (
	// NotRun means that the request was not executed; it can safely be retried.
	NotRun Kind = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Kind = "unknown"
	// Failed means that the request was executed and failed.
	Failed Kind = "failed"
)

// Outcome is the response to a request that did not end with a response of the
// endpoint.
type Outcome struct {
	// Kind is sent as the field "outcome" and in the header Header.
	Kind Kind `json:"outcome"`
	// Reason is a short English sentence.
	Reason string `json:"reason"`
	// Request is the request identifier.
	Request string `json:"request"`
	// RetryAfterSeconds is the delay before a retry; 0 if waiting doesn't help.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// New returns an outcome without a retry delay.
func New(kind Kind, status int, request, reason string) Outcome {
	return Outcome{Kind: kind, Status: status, Request: request, Reason: reason}
}

// WithRetryAfter returns a copy of o with the retry delay d, rounded up to seconds.
func (o Outcome) WithRetryAfter(d time.Duration) Outcome {
	o.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	return o
}

// Write writes the outcome to w as a complete HTTP response.
func (o Outcome) Write(w http.ResponseWriter) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	// Without it, a response that is flushed before its handler returns is chunked.
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	h.Set(Header, string(o.Kind))
	h.Set(RequestHeader, o.Request)
	if o.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(o.RetryAfterSeconds))
	}
	w.WriteHeader(o.Status)
	_, err = w.Write(append(body, '\n'))
	return err
}

// Event returns the outcome encoded as a server-sent event.
func (o Outcome) Event() ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	event := []byte("event: " + StreamEvent + "\ndata: ")
	event = append(event, body...)
	return append(event, '\n', '\n'), nil
}
