package entry_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
)

// Guards against a stream that is cut after its first events because its endpoint broke off while
// the only other endpoint of its build was too busy for new requests, or silent.
func TestBegunStreamGoesOnAtABusyEndpoint(t *testing.T) {
	t.Parallel()
	other := func(c prompt.Cost) *dispatch.Request {
		return &dispatch.Request{Service: "engines", Cost: c, Target: time.Minute, Exclude: []string{"e1"}, Continued: true}
	}
	for name, prepare := range map[string]func(t *testing.T, r *router){
		"saturated": func(t *testing.T, r *router) {
			for {
				a, refusal := r.handler.Dispatcher.PlaceEngine(time.Now(), other(prompt.Cost{UnsharedTokens: 3000}))
				if refusal != nil {
					must.Eq(t, dispatch.Saturated, refusal.Reason)
					return
				}
				a.Sent(time.Now())
				keepReceiving(t, a)
			}
		},
		"stalled": func(t *testing.T, r *router) {
			a, refusal := r.handler.Dispatcher.PlaceEngine(time.Now(), other(prompt.Cost{}))
			must.Nil(t, refusal)
			a.Sent(time.Now())
			for !a.Stalled(time.Now()) {
				time.Sleep(20 * time.Millisecond)
			}
		},
		"saturated and stalled": func(t *testing.T, r *router) {
			for {
				a, refusal := r.handler.Dispatcher.PlaceEngine(time.Now(), other(prompt.Cost{UnsharedTokens: 3000}))
				if refusal != nil {
					break
				}
				a.Sent(time.Now())
			}
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			logOnFailure(t, r)
			begun := make(chan struct{})
			r.addVersion("e1", "engines", "v1", func(c net.Conn, call *directtest.Call) bool {
				directtest.BeginStream(c, call)
				directtest.Chunk(c, eventsFrom(1, 2))
				<-begun
				return reset(c, call)
			})
			e2 := r.addVersion("e2", "engines", "v1", silentAfter(streamEvents)(func() {}))
			prepare(t, r)
			answered := make(chan result, 1)
			go func() { answered <- r.post("/resumable/1") }()
			time.Sleep(100 * time.Millisecond)
			e3 := r.addVersion("e3", "engines", "v2", silentAfter(streamEvents)(func() {}))
			close(begun)
			got := <-answered
			must.NoError(t, got.err)
			must.Eq(t, completeStream(), got.body)
			must.Len(t, 1, e2.Calls())
			must.Eq(t, "2", e2.Calls()[0].Header.Get(headers.LastEventID))
			must.Len(t, 0, e3.Calls())
		})
	}
}
