package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// Guards against an attempt that goes on at its endpoint, or in the accounting, after the caller
// has left or the deadline has passed while two attempts at the request run.
func TestBothAttemptsEndWithTheirCaller(t *testing.T) {
	t.Parallel()
	const (
		// closeTime bounds the time until the endpoints see their connections closed.
		closeTime = 500 * time.Millisecond
		deadline  = "2500"
	)
	silent := func(net.Conn, *directtest.Call) {}
	begin := func(n int) func(net.Conn, *directtest.Call) {
		return func(c net.Conn, call *directtest.Call) {
			directtest.BeginStream(c, call)
			if n > 0 {
				directtest.Chunk(c, eventsFrom(1, n))
			}
		}
	}
	half := func(c net.Conn, call *directtest.Call) { beginBody(c, call, largeBody("first"), bufferedBytes/2) }
	for _, c := range []struct {
		name, path, service string
		first, other        func(net.Conn, *directtest.Call)
	}{
		{"stream before its headers", "/resumable/1", "engines", silent, silent},
		{"stream before its first event", "/resumable/1", "engines", begin(0), begin(0)},
		{"stream after two events", "/resumable/1", "engines", begin(2), silent},
		{"request before its response", "/lookup/1", "plain", silent, silent},
		{"request inside its response", "/lookup/1", "plain", half, half},
	} {
		for _, leaves := range []bool{true, false} {
			name := c.name + ", deadline"
			if leaves {
				name = c.name + ", caller leaves"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := newRouter(t)
				logOnFailure(t, r)
				closed := make(chan time.Time, 2)
				received := make(chan struct{}, 2)
				until := func(begin func(net.Conn, *directtest.Call)) directtest.Script {
					return func(conn net.Conn, call *directtest.Call) bool {
						received <- struct{}{}
						begin(conn, call)
						_, _ = conn.Read(make([]byte, 1))
						closed <- time.Now()
						return false
					}
				}
				r.add("first", c.service, until(c.first))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				ended := make(chan struct{})
				in := r.request(http.MethodPost, c.path, "body").WithContext(ctx)
				in.Header.Set(headers.DeadlineRemaining, deadline)
				go func() {
					defer close(ended)
					response, err := r.server.Client().Do(in)
					if err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				}()
				await := func() {
					select {
					case <-received:
					case <-ended:
						t.Fatal("the request ended before both endpoints had it")
					}
				}
				await()
				r.add("other", c.service, until(c.other))
				await()
				must.Eq(t, 0, len(closed), must.Sprint("both attempts run"))
				if leaves {
					time.Sleep(50 * time.Millisecond)
					cancel()
				}
				<-ended
				end := time.Now()
				for range 2 {
					select {
					case at := <-closed:
						t.Logf("closed after %v", at.Sub(end))
					case <-time.After(closeTime):
						t.Fatalf("an endpoint's connection is open %v after the end of the request", closeTime)
					}
				}
				mustBeIdle(t, r)
			})
		}
	}
}
