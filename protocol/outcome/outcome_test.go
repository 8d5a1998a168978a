package outcome

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a response whose status or headers contradict the outcome in its
// body.
func TestWrite(t *testing.T) {
	w := httptest.NewRecorder()
	o := New(NotRun, 429, "r1", "the team's queue is full").WithRetryAfter(1500 * time.Millisecond)
	must.NoError(t, o.Write(w))
	must.Eq(t, 429, w.Code)
	must.Eq(t, "not-run", w.Header().Get(Header))
	must.Eq(t, "2", w.Header().Get("Retry-After"))
	must.Eq(t, `{"outcome":"not-run","reason":"the team's queue is full","request":"r1","retryAfterSeconds":2}`+"\n", w.Body.String())
}
