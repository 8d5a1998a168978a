package lifecycle

import (
	"fmt"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// MaxRequeues is how often a request returns to the queue after certain
// refusals. It bounds the work that one request causes while agents restart.
const MaxRequeues = 8

// MaxRetries is how often a request is sent again after an unknown outcome, so
// that a request that brings endpoints down doesn't visit many of them.
const MaxRetries = 2

// State is the state of one request at its entry router.
type State uint8

// The states of a request.
const (
	// Queued requests wait for a slot token.
	Queued State = iota
	// Sending requests are on the way to an agent; no answer has come.
	Sending
	// Started requests have an answer that is not complete.
	Started
	// Finished requests have passed the whole answer on.
	Finished
	// Refused requests certainly did not run.
	Refused
	// Failed requests ran and failed.
	Failed
	// Unknown requests may have run.
	Unknown
	// Cancelled requests were given up by their caller.
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

// Event is something that happens to a request.
type Event uint8

// The events.
const (
	// Dispatched: a slot token was granted and the body is about to leave.
	Dispatched Event = iota
	// GaveUp: the router stops waiting (queue full, too long, shutting down).
	GaveUp
	// AgentRefused: the request certainly did not reach the endpoint.
	AgentRefused
	// AnswerBegan: the headers of the endpoint's answer have arrived.
	AnswerBegan
	// Forwarded: the first byte of the answer goes to the caller.
	Forwarded
	// AnswerEnded: the whole answer went to the caller.
	AnswerEnded
	// AgentFailed: the agent reports that the request ran and failed.
	AgentFailed
	// ContactLost: the connection or the time for the answer ended.
	ContactLost
	// Retried: the request is put back into the queue after an unknown outcome.
	Retried
	// CallerGone: the caller closed its connection.
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

// step is one allowed step. A nil condition always holds.
type step struct {
	from  State
	event Event
	to    State
	when  func(*Request) bool
}

var steps = []step{
	{Queued, Dispatched, Sending, nil},
	{Queued, GaveUp, Refused, (*Request).certainlyNotRun},
	{Queued, GaveUp, Unknown, (*Request).MayHaveRun},
	{Queued, CallerGone, Cancelled, nil},
	{Sending, AgentRefused, Queued, nil},
	{Sending, AnswerBegan, Started, nil},
	{Sending, AgentFailed, Failed, nil},
	{Sending, ContactLost, Unknown, nil},
	{Sending, CallerGone, Cancelled, nil},
	{Started, Forwarded, Started, nil},
	{Started, AnswerEnded, Finished, nil},
	{Started, AgentFailed, Failed, nil},
	{Started, ContactLost, Unknown, nil},
	{Started, CallerGone, Cancelled, nil},
	{Unknown, Retried, Queued, (*Request).MayResend},
}

// StepError says that an event is not allowed in a state.
type StepError struct {
	State State
	Event Event
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("a request that is %s can't take the event %s", e.State, e.Event)
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	idempotent bool
	state      State
	// uncertain is set once a send may have reached the endpoint.
	uncertain bool
	// forwarded is set once a byte of an answer went to the caller.
	forwarded bool
	// refusals counts certain refusals.
	refusals int
	// retries counts sends after an unknown outcome.
	retries int
}

// New returns a request that is queued.
func New(idempotent bool) *Request {
	return &Request{idempotent: idempotent}
}

// State returns the current state.
func (r *Request) State() State { return r.state }

// Step applies an event. If the event is not allowed, the state stays as it is
// and the error is a *StepError.
func (r *Request) Step(event Event) (State, error) {
	for _, s := range steps {
		if s.from != r.state || s.event != event {
			continue
		}
		if s.when != nil && !s.when(r) {
			continue
		}
		r.apply(s)
		return r.state, nil
	}
	return r.state, &StepError{State: r.state, Event: event}
}

func (r *Request) apply(s step) {
	switch s.event {
	case AgentRefused:
		r.refusals++
	case Retried:
		r.retries++
	case Forwarded:
		r.forwarded = true
	}
	// A send ends either with a certain refusal or with doubt.
	if s.from == Sending && s.event != AgentRefused {
		r.uncertain = true
	}
	r.state = s.to
}

// MayResend reports whether the request may be sent again although it may have run.
func (r *Request) MayResend() bool {
	return r.state == Unknown && r.idempotent && !r.forwarded && r.retries < MaxRetries
}

// RefusedTooOften reports whether the request has used up its requeues.
func (r *Request) RefusedTooOften() bool { return r.refusals > MaxRequeues }

// MayHaveRun reports whether a send may have reached the endpoint.
func (r *Request) MayHaveRun() bool { return r.uncertain || r.state == Sending }

func (r *Request) certainlyNotRun() bool { return !r.MayHaveRun() }

// Forwarded reports whether a byte of the answer went to the caller.
func (r *Request) Forwarded() bool { return r.forwarded }

// Done reports whether the request has ended. An unknown request that may be
// sent again has not ended until its router decides so.
func (r *Request) Done() bool {
	return r.state >= Finished && !r.MayResend()
}

// Outcome returns what the caller is told, and false while the request is in
// progress and where the caller has the endpoint's own answer or is gone.
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
