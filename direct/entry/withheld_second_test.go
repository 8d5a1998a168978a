package entry_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// Guards against a stream that fails because its first event can't be forwarded without a saved
// origin, and the second attempt, which could go on, was ended for that event.
func TestWithheldEventDoesNotEndTheSecondAttempt(t *testing.T) {
	const answerDelay = 700 * time.Millisecond
	r := newRouter(t)
	received := make(chan struct{}, 1)
	sound := silentAfter(0)(func() { time.Sleep(shortSilence) })
	r.addVersion("first", "engines", "v1", func(c net.Conn, call *directtest.Call) bool {
		received <- struct{}{}
		return sound(c, call)
	})
	answered := make(chan result, 1)
	go func() { answered <- r.post("/resumable/1") }()
	<-received
	r.origins.failSaves(dispatch.BuildOf(registry.Endpoint{Service: "engines", Version: "v2"}))
	other := r.addVersion("other", "engines", "v2", func(c net.Conn, call *directtest.Call) bool {
		time.Sleep(answerDelay)
		return streamFrom("v2", streamEvents, streamEvents)(c, call)
	})
	got := <-answered
	must.NoError(t, got.err)
	must.Len(t, 1, other.Calls())
	must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
	must.Eq(t, streamEvents, strings.Count(got.body, "data: v2"))
}

// Guards against a stream that fails because an endpoint whose first event can't be forwarded
// without a saved origin replaces a silent, sound endpoint whose stream needs none.
func TestWithheldSecondAttemptDoesNotEndTheFirst(t *testing.T) {
	r := newRouter(t)
	received := make(chan struct{}, 1)
	r.addVersion("first", "engines", "v1", func(c net.Conn, call *directtest.Call) bool {
		received <- struct{}{}
		time.Sleep(shortSilence)
		return streamFrom("v1", streamEvents, streamEvents)(c, call)
	})
	answered := make(chan result, 1)
	go func() { answered <- r.post("/resumable/1") }()
	<-received
	r.origins.failSaves(dispatch.BuildOf(registry.Endpoint{Service: "engines", Version: "v1"}))
	r.addVersion("other", "engines", "v2", streamFrom("v2", streamEvents, streamEvents))
	got := <-answered
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
	must.Eq(t, streamEvents, strings.Count(got.body, "data: v1"))
}
