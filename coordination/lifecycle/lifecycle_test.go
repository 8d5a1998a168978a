package lifecycle

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// exploredDepth covers three sends with a full answer each and the steps after the end.
const exploredDepth = 14

// history is what the test itself derives from the accepted events.
type history struct {
	sends     int
	uncertain int
	forwarded bool
	inFlight  bool
}

func (h history) after(event Event) history {
	switch event {
	case Dispatched:
		h.sends++
		h.inFlight = true
		h.uncertain++
	case AgentRefused:
		h.inFlight = false
		h.uncertain--
	case Forwarded:
		h.forwarded = true
	}
	return h
}

// Guards against a second run of a non-idempotent request, and against not-run
// for a request that may have run: it takes every sequence of events up to a depth.
func TestEveryEventSequence(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		explored := 0
		explore(t, *New(idempotent), history{}, exploredDepth, &explored)
		t.Logf("idempotent %v: %d steps explored", idempotent, explored)
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
		state, err := next.Step(event)
		*explored++
		if err != nil {
			must.Eq(t, r, next, must.Sprint("a refused event changed the request"))
			continue
		}
		nh := h.after(event)
		checkStep(t, &next, h, nh, before, event, state)
		explore(t, next, nh, depth-1, explored)
	}
}

func checkStep(t *testing.T, r *Request, before, after history, from State, event Event, to State) {
	t.Helper()
	if event == Dispatched && before.uncertain > 0 {
		must.True(t, r.idempotent, must.Sprint("a non-idempotent request that may have run was sent again"))
		must.False(t, before.forwarded, must.Sprint("a request was sent again after its answer had begun"))
	}
	kind, told := r.Outcome()
	if told && kind == outcome.NotRun {
		must.Zero(t, after.uncertain, must.Sprint("not-run was given after a send that was not certainly refused"))
	}
	must.Eq(t, after.uncertain > 0, r.MayHaveRun(), must.Sprintf("%s after %s in %s", to, event, from))
	if from == Finished || from == Refused || from == Failed || from == Cancelled {
		t.Fatalf("%s left the final state %s", event, from)
	}
}

// Guards against a step that the design doesn't list.
func TestAllowedSteps(t *testing.T) {
	allowed := map[State][]State{
		Queued:  {Sending, Refused, Unknown, Cancelled},
		Sending: {Queued, Started, Failed, Unknown, Cancelled},
		Started: {Started, Finished, Failed, Unknown, Cancelled},
		Unknown: {Queued},
	}
	for _, s := range steps {
		must.SliceContains(t, allowed[s.from], s.to)
	}
}

// Guards against more than eight requeues of one request.
func TestRefusedTooOften(t *testing.T) {
	r := New(false)
	for range MaxRequeues + 1 {
		must.False(t, r.RefusedTooOften())
		_, err := r.Step(Dispatched)
		must.NoError(t, err)
		_, err = r.Step(AgentRefused)
		must.NoError(t, err)
	}
	must.True(t, r.RefusedTooOften())
}

// Guards against an unknown name in logs and errors.
func TestNames(t *testing.T) {
	_, err := New(true).Step(Retried)
	must.EqError(t, err, "a request that is queued can't take the event retried")
	must.Eq(t, "cancelled", Cancelled.String())
	must.Eq(t, "state 9", State(9).String())
}
