package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// beginUnframedStream writes the headers of an event stream that ends with its connection.
func beginUnframedStream(c net.Conn, call *directtest.Call) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nContent-Type: text/event-stream\r\n\r\n",
		headers.RequestID, call.ID(), headers.Signature)
}

// Guards against a stream of a silent, sound endpoint that is ended for a second attempt whose
// stream ends before its first complete event.
func TestSecondAttemptThatEndsWithoutAnEventDoesNotWin(t *testing.T) {
	others := map[string]directtest.Script{
		"unframed, no event": func(c net.Conn, call *directtest.Call) bool {
			beginUnframedStream(c, call)
			return false
		},
		"unframed, part of an event": func(c net.Conn, call *directtest.Call) bool {
			beginUnframedStream(c, call)
			_, _ = fmt.Fprintf(c, "id: %d\nda", firstEvent(call))
			return false
		},
		"framed, part of an event": func(c net.Conn, call *directtest.Call) bool {
			directtest.BeginStream(c, call)
			directtest.Chunk(c, "id: "+strconv.Itoa(firstEvent(call))+"\nda")
			directtest.Chunk(c, "")
			return true
		},
	}
	for name, other := range others {
		for _, events := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, after %d events", name, events), func(t *testing.T) {
				t.Parallel()
				r := newRouter(t)
				received := make(chan struct{}, 1)
				sound := silentAfter(events)(func() { time.Sleep(shortSilence) })
				r.add("first", "engines", func(c net.Conn, call *directtest.Call) bool {
					received <- struct{}{}
					return sound(c, call)
				})
				answered := make(chan result, 1)
				go func() { answered <- r.post("/resumable/1") }()
				<-received
				r.add("other", "engines", other)
				got := <-answered
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, streamEvents, strings.Count(got.body, "id:"))
			})
		}
	}
}
