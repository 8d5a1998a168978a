package lifecycle

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// maxDepth covers three attempts with a full response each and the events after
// the end.
const maxDepth = 14

// history is what the test derives from the accepted events, independently of
// Request.
type history struct {
	attempts     int
	possibleRuns int
	forwarded    bool
	inFlight     bool
}

func (h history) after(event Event) history {
	switch event {
	case Dispatched:
		h.attempts++
		h.inFlight = true
		h.possibleRuns++
	case AgentRefused:
		h.inFlight = false
		h.possibleRuns--
	case Forwarded:
		h.forwarded = true
	}
	return h
}

// Guards against a second run of a non-idempotent request, and against the
// outcome not-run for a request that may have run. It tries every sequence of
// events up to maxDepth.
func TestEventSequencesKeepOutcomeGuarantees(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		explored := 0
		explore(t, *New(idempotent), history{}, maxDepth, &explored)
		t.Logf("idempotent %v: %d events explored", idempotent, explored)
		must.Greater(t, 1000, explored)
	}
}

func explore(t *testing.T, r Request, h history, depth int, explored *int) {
	t.Helper()
	if depth == 0 {
		return
	}
	for event := range eventCount {
		next := r
		before := r.state
		state, err := next.Apply(event)
		*explored++
		if err != nil {
			must.Eq(t, r, next, must.Sprint("a rejected event changed the request"))
			continue
		}
		nextHistory := h.after(event)
		checkTransition(t, &next, h, nextHistory, before, event, state)
		explore(t, next, nextHistory, depth-1, explored)
	}
}

func checkTransition(t *testing.T, r *Request, before, after history, from State, event Event, to State) {
	t.Helper()
	if event == Dispatched && before.possibleRuns > 0 {
		must.True(t, r.idempotent, must.Sprint("a non-idempotent request that may have run was sent again"))
		must.False(t, before.forwarded, must.Sprint("a request was sent again after its response had begun"))
	}
	kind, ended := r.Outcome()
	if ended && kind == outcome.NotRun {
		must.Zero(t, after.possibleRuns, must.Sprint("not-run was reported after an attempt that no agent refused"))
	}
	must.Eq(t, after.possibleRuns > 0, r.MayHaveRun(), must.Sprintf("%s after %s in %s", to, event, from))
	if from == Finished || from == Refused || from == Failed || from == Cancelled {
		t.Fatalf("%s left the final state %s", event, from)
	}
}

// Guards against a transition between two states that the list below does not allow.
func TestOnlySpecifiedTransitionsExist(t *testing.T) {
	allowed := map[State][]State{
		Queued:  {Sending, Refused, Unknown, Cancelled},
		Sending: {Queued, Started, Failed, Unknown, Cancelled},
		Started: {Started, Finished, Failed, Unknown, Cancelled},
		Unknown: {Queued},
	}
	for _, tr := range transitions {
		must.SliceContains(t, allowed[tr.from], tr.to)
	}
}

// Guards against more than eight requeues of one request.
func TestRequeueLimit(t *testing.T) {
	r := New(false)
	for range MaxRequeues + 1 {
		must.False(t, r.RequeuesExhausted())
		_, err := r.Apply(Dispatched)
		must.NoError(t, err)
		_, err = r.Apply(AgentRefused)
		must.NoError(t, err)
	}
	must.True(t, r.RequeuesExhausted())
}

// Guards against wrong names in logs and errors.
func TestStateAndEventNames(t *testing.T) {
	_, err := New(true).Apply(Retried)
	must.EqError(t, err, "request in state queued does not allow event retried")
	must.Eq(t, "cancelled", Cancelled.String())
	must.Eq(t, "state 9", State(9).String())
}
