package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/prompt"
	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/direct/conns"
	"github.com/acaciaspar/acaciaspar/direct/entry"
	load "github.com/acaciaspar/acaciaspar/direct/overload"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// serveOwnConns serves the router with the connections of the process, and returns the address.
func (r *router) serveOwnConns(t testing.TB) string {
	t.Helper()
	const descriptors = 1000
	s := httptest.NewUnstartedServer(r.handler)
	s.Config.ConnContext, s.Config.ConnState = entry.ConnContext, conns.ConnState
	s.Listener = conns.New(s.Listener, conns.Limits{Descriptors: descriptors}, conns.Load{
		Monitor: &load.Monitor{}, Admission: &load.Admission{}, Rotation: load.NewRotation(time.Now()),
	}, r.handler.Log, metrics.NewRegistry())
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// rawRequest is a request whose body is written piece by piece.
type rawRequest struct {
	path, key, parts, deadline string
	bytes, pieces              int
	pause                      time.Duration
	chunked, expects           bool
}

func (q *rawRequest) head() string {
	framing := fmt.Sprintf("Content-Length: %d", q.bytes)
	if q.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if q.expects {
		framing += "\r\nExpect: 100-continue"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: id-1\r\n%s: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
		q.path, headers.RequestID, headers.DeadlineRemaining, q.deadline, headers.PromptParts, q.parts, q.key, framing)
}

// write writes the whole request.
func (q *rawRequest) write(c net.Conn) error {
	if _, err := io.WriteString(c, q.head()); err != nil {
		return err
	}
	piece := strings.Repeat("x", q.bytes/q.pieces)
	if q.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	for range q.pieces {
		time.Sleep(q.pause)
		if _, err := io.WriteString(c, piece); err != nil {
			return err
		}
	}
	if q.chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

// Guards against a caller that writes its whole request before it reads, and gets a reset instead of
// the refusal, and against the rest of a refused body that is taken for the next request.
func TestRefusalReachesCallersThatAreStillSending(t *testing.T) {
	t.Parallel()
	type refusal struct {
		prepare func(t *testing.T) *router
		adapt   func(q *rawRequest)
		status  int
	}
	with := func(change func(r *router)) func(t *testing.T) *router {
		return func(t *testing.T) *router {
			r := newRouter(t)
			change(r)
			return r
		}
	}
	none := func(*rawRequest) {}
	refusals := map[string]refusal{
		"overloaded":           {with(func(r *router) { r.overload.shed.Store(true) }), none, 503},
		"too little CPU time":  {with(func(r *router) { r.overload.refuse.Store(true) }), none, 503},
		"connections closed":   {with(func(r *router) { r.overload.shed.Store(true); r.overload.closeConnections.Store(true) }), none, 503},
		"no configuration":     {with(func(r *router) { r.handler.Routes = &routing.Store{} }), none, 503},
		"too many in progress": {with(func(r *router) { r.handler.MaxInFlight = 0 }), none, 503},
		"no route":             {with(func(*router) {}), func(q *rawRequest) { q.path = "/none/" }, 404},
		"unknown key":          {with(func(*router) {}), func(q *rawRequest) { q.key = "k2" }, 401},
		"deadline passed":      {with(func(*router) {}), func(q *rawRequest) { q.deadline = "0" }, 503},
		"body too large":       {with(func(r *router) { limitBodies(t, r, 64<<10) }), none, 413},
		"too many bodies":      {with(func(r *router) { r.handler.MaxHeldBytes = 50 << 10 }), none, 503},
		"draining":             {with(func(r *router) { r.handler.Drain(time.Now().Add(-time.Minute), time.Now()) }), none, 503},
		"no endpoint":          {with(func(*router) {}), none, 503},
		"quarantined": {with(func(r *router) {
			now := time.Now()
			var facts quarantine.Facts
			for i := range uint32(2) {
				facts.Interrupted = append(facts.Interrupted, quarantine.Interrupted{
					Crash: i, At: now.Add(-time.Duration(i) * time.Second), Responding: true, Parts: prompt.Parse("dead:70,ff:9", "", "").SharedIDs(),
				})
			}
			r.handler.Dispatcher.MergeCrashFacts(now, facts)
		}), func(q *rawRequest) { q.path, q.parts = "/resumable/x", "dead:70,ff:9" }, 503},
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := refusal.prepare(t)
			address := r.serveOwnConns(t)
			var lost atomic.Int64
			var callers sync.WaitGroup
			for _, size := range []int{100 << 10, 300 << 10, 900 << 10} {
				for _, chunked := range []bool{false, true} {
					for _, pause := range []time.Duration{0, 60 * time.Millisecond} {
						q := rawRequest{path: "/order/1", key: "k1", deadline: "5000", bytes: size, pieces: 20, pause: pause, chunked: chunked}
						refusal.adapt(&q)
						callers.Go(func() {
							if err := sendAndRead(address, &q, refusal.status); err != nil {
								lost.Add(1)
								t.Errorf("%d bytes, chunked %v, pause %v: %v", size, chunked, pause, err)
							}
						})
					}
				}
			}
			callers.Wait()
			must.Eq(t, 0, lost.Load())
			mustBeIdle(t, r)
		})
	}
}

func limitBodies(t *testing.T, r *router, limit int64) {
	c := config()
	c.Version, c.Limits.BodyBytes = 2, limit
	table, err := routing.Compile(c)
	must.NoError(t, err)
	r.handler.Routes.Advance(table)
}

// sendAndRead sends two requests on one connection, unless the first response closes it, and
// reads each response after the request has been written.
func sendAndRead(address string, q *rawRequest, status int) error {
	const patience = 8 * time.Second
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(c)
	for i := range 2 {
		if err := q.write(c); err != nil {
			return fmt.Errorf("write request %d: %w", i+1, err)
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return fmt.Errorf("read response %d: %w", i+1, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return fmt.Errorf("read the body of response %d: %w", i+1, err)
		}
		if response.StatusCode != status {
			return fmt.Errorf("status of response %d is %d", i+1, response.StatusCode)
		}
		if response.Close {
			return nil
		}
	}
	return nil
}

// Guards against a refusal that waits for a body that doesn't arrive, and against a connection that is
// held by such a caller for good.
func TestRefusalDoesNotWaitForASlowBody(t *testing.T) {
	t.Parallel()
	const (
		soon    = time.Second
		held    = 12 * time.Second
		partial = 10
	)
	for name, q := range map[string]rawRequest{"length": {}, "chunked": {chunked: true}, "caller that waits": {expects: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			r.overload.shed.Store(true)
			c, err := net.Dial("tcp4", r.serveOwnConns(t))
			must.NoError(t, err)
			defer c.Close()
			q.path, q.key, q.deadline, q.bytes = "/order/1", "k1", "5000", 100<<10
			text := strings.Repeat("x", partial)
			switch {
			case q.chunked:
				text = fmt.Sprintf("%x\r\n%s\r\n", partial, text)
			case q.expects:
				text = ""
			}
			_, err = io.WriteString(c, q.head()+text)
			must.NoError(t, err)
			must.NoError(t, c.SetReadDeadline(time.Now().Add(soon)))
			in := bufio.NewReader(c)
			response, err := http.ReadResponse(in, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			_, err = io.Copy(io.Discard, response.Body)
			must.NoError(t, err)
			must.True(t, response.Close)
			mustBeIdle(t, r)
			must.NoError(t, c.SetReadDeadline(time.Now().Add(held)))
			_, err = in.ReadByte()
			must.ErrorIs(t, err, io.EOF, must.Sprint("the connection is still open"))
		})
	}
}

// Guards against a reset in place of the refusal for a caller whose body takes longer than its request
// may.
func TestRefusalOfALateBodyReachesItsCaller(t *testing.T) {
	t.Parallel()
	r := newRouter(t)
	q := rawRequest{path: "/order/1", key: "k1", deadline: "300", bytes: 900 << 10, pieces: 20, pause: 60 * time.Millisecond}
	must.NoError(t, sendAndRead(r.serveOwnConns(t), &q, http.StatusRequestTimeout))
	mustBeIdle(t, r)
}
