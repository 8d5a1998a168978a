package entry_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Guards against a stream that was resumed at another endpoint, hangs there and is cut at its
// deadline, although a third endpoint takes it and its route allows another attempt.
func TestResumedStreamOfAHangingEndpointIsMoved(t *testing.T) {
	r := newRouter(t)
	newer := config()
	newer.Version = 2
	for i := range newer.Routes {
		newer.Routes[i].Attempts = 3
	}
	table, err := routing.Compile(newer)
	must.NoError(t, err)
	r.handler.Routes.Advance(table)
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	r.add("first", "engines", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, eventsFrom(1, 2))
		r.add("second", "engines", func(net.Conn, *directtest.Call) bool {
			<-hang
			return false
		})
		return reset(c, call)
	})
	answered := make(chan result, 1)
	go func() { answered <- r.post("/resumable/1") }()
	time.Sleep(silence / 4)
	third := r.add("third", "engines", streamFrom("v1", streamEvents, streamEvents))
	got := <-answered
	must.NoError(t, got.err)
	must.Len(t, 1, third.Calls())
	must.Eq(t, streamEvents, strings.Count(got.body, "id:"))
}
