package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/state/registry"
)

// silence is longer than the time after which a silent endpoint's streams are moved.
const silence = 2 * time.Second

// silentStream sends two events, is silent, and then sends the other two.
func silentStream(c net.Conn, call *directtest.Call) bool {
	first := 0
	_, _ = fmt.Sscan(call.Header.Get(headers.LastEventID), &first)
	directtest.BeginStream(c, call)
	for n := first + 1; n <= 4; n++ {
		if n == 3 {
			time.Sleep(silence)
		}
		directtest.Chunk(c, fmt.Sprintf("id: %d\ndata: v1\n\n", n))
	}
	directtest.Chunk(c, "")
	return true
}

// keepReceiving makes the endpoint of an attempt seem to work until the end of the test.
func keepReceiving(t *testing.T, a *dispatch.Assignment) {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				a.Receive(time.Now())
			}
		}
	}()
}

// Guards against a stream that is cut because its endpoint, which is sound, was silent for a
// second or two, and the other endpoint that seemed usable didn't take the stream.
func TestStreamOfASilentEndpointIsNotCut(t *testing.T) {
	t.Run("the other endpoint is saturated", func(t *testing.T) {
		r := newRouter(t)
		r.addVersion("e1", "engines", "v1", silentStream)
		e2 := r.addVersion("e2", "engines", "v1", streamFrom("v1", 4, 4))
		fill := &dispatch.Request{Service: "engines", Cost: prompt.Cost{UnsharedTokens: 3000}, Target: time.Minute, Exclude: []string{"e1"}, Continued: true}
		for {
			a, refusal := r.handler.Dispatcher.PlaceEngine(time.Now(), fill)
			if refusal != nil {
				break
			}
			keepReceiving(t, a)
		}
		got := r.post("/resumable/1")
		must.NoError(t, got.err)
		must.Eq(t, 4, strings.Count(got.body, "id:"))
		must.Len(t, 0, e2.Calls())
	})
	t.Run("the other endpoint can't be reached", func(t *testing.T) {
		r := newRouter(t)
		r.addVersion("e1", "engines", "v1", silentStream)
		answered := make(chan result)
		go func() { answered <- r.post("/resumable/1") }()
		time.Sleep(silence / 4)
		address := directtest.RefusingAddress(t)
		r.endpoints.Put(registry.Endpoint{ID: "e2", Service: "engines", Address: address, Zone: "z", Version: "v1", Slots: 4})
		got := <-answered
		must.NoError(t, got.err)
		must.Eq(t, 4, strings.Count(got.body, "id:"))
	})
}

// Guards against streams that stay at an endpoint that hangs while another one takes them.
func TestStreamOfAHangingEndpointIsMoved(t *testing.T) {
	r := newRouter(t)
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	r.addVersion("e1", "engines", "v1", func(c net.Conn, call *directtest.Call) bool {
		directtest.BeginStream(c, call)
		directtest.Chunk(c, "id: 1\ndata: v1\n\n")
		<-hang
		return false
	})
	answered := make(chan result)
	go func() { answered <- r.post("/resumable/1") }()
	time.Sleep(silence / 4)
	r.addVersion("e2", "engines", "v1", streamFrom("v1", 4, 4))
	got := <-answered
	must.Eq(t, http.StatusOK, got.status)
	must.NoError(t, got.err)
	must.Eq(t, 4, strings.Count(got.body, "id:"))
}
