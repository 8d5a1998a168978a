package lifecycle

import (
	"fmt"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// MaxRequeues is the maximum number of times a request returns to the queue
// after an agent refused it. It bounds the load that one request causes while
// agents restart.
const MaxRequeues = 8

// MaxRetries is the maximum number of times a request is sent again after an
// unknown outcome. It bounds the number of endpoints that one request can crash.
const MaxRetries = 2

// State is the state of one request at its entry router.
type State uint8

// The states of a request.
const (
	// Queued means that the request waits for a slot token.
	Queued State = iota
	// Sending means that the request is being sent to an agent and no response has
	// been received.
	Sending
	// Started means that the response has begun and is not complete.
	Started
	// Finished means that the whole response was forwarded to the caller.
	Finished
	// Refused means that the request definitely did not run.
	Refused
	// Failed means that the request ran and failed.
	Failed
	// Unknown means that the request may have run.
	Unknown
	// Cancelled means that the caller closed its connection.
	Cancelled

	stateCount
)

var stateNames = [stateCount]string{
	"queued", "sending", "started", "finished", "refused", "failed", "unknown", "cancelled",
}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Event is an input of the state machine.
type Event uint8

// The events that Apply accepts.
const (
	// Dispatched means that a slot token was granted and the body is about to be sent.
	Dispatched Event = iota
	// GaveUp means that the router removes the request from the queue, because
	// the queue is full, the wait was too long or the router is shutting down.
	GaveUp
	// AgentRefused means that the request definitely did not reach the endpoint.
	AgentRefused
	// ResponseBegan means that the headers of the endpoint's response were received.
	ResponseBegan
	// Forwarded means that the first byte of the response is sent to the caller.
	Forwarded
	// ResponseEnded means that the whole response was sent to the caller.
	ResponseEnded
	// AgentFailed means that the agent reports that the request ran and failed.
	AgentFailed
	// ContactLost means that the connection was lost or the response timed out.
	ContactLost
	// Retried means that the request returns to the queue after an unknown outcome.
	Retried
	// CallerGone means that the caller closed its connection.
	CallerGone

	eventCount
)

var eventNames = [eventCount]string{
	"dispatched", "gave-up", "agent-refused", "answer-began", "forwarded",
	"answer-ended", "agent-failed", "contact-lost", "retried", "caller-gone",
}

// String implements fmt.Stringer.
func (e Event) String() string {
	if e < eventCount {
		return eventNames[e]
	}
	return fmt.Sprintf("event %d", uint8(e))
}

// transition is one allowed transition. A nil condition always holds.
type transition struct {
	from      State
	event     Event
	to        State
	condition func(*Request) bool
}

var transitions = []transition{
	{Queued, Dispatched, Sending, nil},
	{Queued, GaveUp, Refused, (*Request).didNotRun},
	{Queued, GaveUp, Unknown, (*Request).MayHaveRun},
	{Queued, CallerGone, Cancelled, nil},
	{Sending, AgentRefused, Queued, nil},
	{Sending, ResponseBegan, Started, nil},
	{Sending, AgentFailed, Failed, nil},
	{Sending, ContactLost, Unknown, nil},
	{Sending, CallerGone, Cancelled, nil},
	{Started, Forwarded, Started, nil},
	{Started, ResponseEnded, Finished, nil},
	{Started, AgentFailed, Failed, nil},
	{Started, ContactLost, Unknown, nil},
	{Started, CallerGone, Cancelled, nil},
	{Unknown, Retried, Queued, (*Request).MayResend},
}

// TransitionError is the error for an event that is not allowed in the current
// state.
type TransitionError struct {
	State State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("request in state %s does not allow event %s", e.State, e.Event)
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	idempotent bool
	state      State
	// mayHaveRun is set once an attempt may have reached the endpoint.
	mayHaveRun bool
	// forwarded is set once a byte of a response was sent to the caller.
	forwarded bool
	// refusals counts the attempts that an agent refused.
	refusals int
	// retries counts the retries after an unknown outcome.
	retries int
}

// New returns a request in state Queued.
func New(idempotent bool) *Request {
	return &Request{idempotent: idempotent}
}

// State returns the current state.
func (r *Request) State() State { return r.state }

// Apply applies an event and returns the new state. If the event is not allowed,
// the state stays unchanged and the error is a *TransitionError.
func (r *Request) Apply(event Event) (State, error) {
	for _, tr := range transitions {
		if tr.from != r.state || tr.event != event {
			continue
		}
		if tr.condition != nil && !tr.condition(r) {
			continue
		}
		r.applyTransition(tr)
		return r.state, nil
	}
	return r.state, &TransitionError{State: r.state, Event: event}
}

func (r *Request) applyTransition(tr transition) {
	switch tr.event {
	case AgentRefused:
		r.refusals++
	case Retried:
		r.retries++
	case Forwarded:
		r.forwarded = true
	}
	// Only a refusal by the agent proves that an attempt did not run.
	if tr.from == Sending && tr.event != AgentRefused {
		r.mayHaveRun = true
	}
	r.state = tr.to
}

// MayResend reports whether a request with an unknown outcome may be sent again.
func (r *Request) MayResend() bool {
	return r.state == Unknown && r.idempotent && !r.forwarded && r.retries < MaxRetries
}

// RequeuesExhausted reports whether the request was refused more than MaxRequeues times.
func (r *Request) RequeuesExhausted() bool { return r.refusals > MaxRequeues }

// MayHaveRun reports whether an attempt may have reached the endpoint.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun || r.state == Sending }

func (r *Request) didNotRun() bool { return !r.MayHaveRun() }

// Forwarded reports whether a byte of the response was sent to the caller.
func (r *Request) Forwarded() bool { return r.forwarded }

// Done reports whether the request has ended. A request with an unknown outcome
// that may be sent again has not ended until its router decides not to retry.
func (r *Request) Done() bool {
	return r.state >= Finished && !r.MayResend()
}

// Outcome returns the outcome to report to the caller. It returns false while
// the request is in progress, if the caller has the endpoint's own response, and
// if the caller closed its connection.
func (r *Request) Outcome() (outcome.Kind, bool) {
	switch r.state {
	case Refused:
		return outcome.NotRun, true
	case Failed:
		return outcome.Failed, true
	case Unknown:
		return outcome.Unknown, true
	}
	return "", false
}
