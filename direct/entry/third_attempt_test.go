package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Guards against a request that ends without an answer although its route allows a third attempt
// and another endpoint answers, because the first two attempts hang, fail or break off.
func TestThirdAttemptFollowsTwoThatFail(t *testing.T) {
	t.Parallel()
	hang := func(c net.Conn, _ *directtest.Call) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}
	resetLater := func(c net.Conn, call *directtest.Call) bool {
		time.Sleep(longSilence)
		return reset(c, call)
	}
	config := config()
	for i := range config.Routes {
		config.Routes[i].Attempts = 3
	}
	table, err := routing.Compile(config)
	must.NoError(t, err)
	for _, path := range []string{"/lookup/1", "/resumable/1"} {
		for _, c := range []struct {
			name          string
			first, second directtest.Script
		}{
			{"both hang", hang, hang},
			{"the second fails", hang, status(http.StatusInternalServerError)},
			{"the second resets", hang, reset},
			{"the first resets while the second hangs", resetLater, hang},
		} {
			t.Run(fmt.Sprintf("%s %s", path, c.name), func(t *testing.T) {
				t.Parallel()
				r := newRouter(t)
				logOnFailure(t, r)
				r.handler.Routes = &routing.Store{}
				r.handler.Routes.Advance(table)
				service, want := "plain", "other"
				sound := func(c net.Conn, call *directtest.Call) bool {
					directtest.Respond(c, call, http.StatusOK, "other")
					return true
				}
				if path == "/resumable/1" {
					service, want, sound = "engines", completeStream(), silentAfter(streamEvents)(func() {})
				}
				received := make(chan struct{}, 2)
				complete := make(chan struct{})
				answered := make(chan result, 1)
				r.add("first", service, func(conn net.Conn, call *directtest.Call) bool {
					received <- struct{}{}
					return c.first(conn, call)
				})
				go func() { answered <- r.post(path) }()
				awaitRequest(t, received, answered)
				r.add("second", service, func(conn net.Conn, call *directtest.Call) bool {
					received <- struct{}{}
					<-complete
					return c.second(conn, call)
				})
				awaitRequest(t, received, answered)
				third := r.add("third", service, sound)
				close(complete)
				got := <-answered
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, want, got.body)
				must.Len(t, 1, third.Calls())
				mustBeIdle(t, r)
			})
		}
	}
}
