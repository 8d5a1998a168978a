package entry_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// refuseFor returns a script that refuses requests and names this Retry-After.
func refuseFor(retryAfter string) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusServiceUnavailable, "", headers.NotExecuted+": 1", "Retry-After: "+retryAfter)
		return true
	}
}

// callTimes records when an endpoint's requests arrive.
type callTimes struct {
	mu    sync.Mutex
	times []time.Time
}

// record returns a script that records the time and then runs another one.
func (c *callTimes) record(script directtest.Script) directtest.Script {
	return func(conn net.Conn, call *directtest.Call) bool {
		c.mu.Lock()
		c.times = append(c.times, time.Now())
		c.mu.Unlock()
		return script(conn, call)
	}
}

// sinceFirst returns how long after the first request the others arrived.
func (c *callTimes) sinceFirst() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var since []time.Duration
	for _, t := range c.times[1:] {
		since = append(since, t.Sub(c.times[0]))
	}
	return since
}

// Guards against requests to an endpoint that has refused one and said for how long it wants
// no further ones, alone or beside another endpoint.
func TestRefusingEndpointIsLeftAlone(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for path, service := range map[string]string{"/lookup/x": "plain", "/stream/x": "engines"} {
		for _, alone := range []bool{true, false} {
			r := newRouter(t)
			var calls callTimes
			e := r.add("a-refusing", service, calls.record(refuseFor("1.5")))
			began := time.Now()
			first := r.post(path)
			must.Eq(t, http.StatusServiceUnavailable, first.status)
			must.NotEq(t, "1.00", first.header.Get("Retry-After"))
			must.Eq(t, 1, len(e.Calls()))
			if !alone {
				r.add("b-other", service, ok)
			}
			for time.Since(began) < pause-100*time.Millisecond {
				got := r.post(path)
				if alone {
					must.Eq(t, http.StatusServiceUnavailable, got.status)
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					must.NoError(t, err)
					left := (pause - time.Since(began)).Seconds()
					must.Between(t, left-0.1, after, 1.5*pause.Seconds(), must.Sprint("an honest delay"))
				} else {
					must.Eq(t, http.StatusOK, got.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(pause/2 + 100*time.Millisecond)
			// A request that this test sent before the end of the pause may be placed after it.
			for _, after := range calls.sinceFirst() {
				must.GreaterEq(t, pause, after)
			}
			if alone {
				r.post(path)
				must.Greater(t, 1, len(e.Calls()), must.Sprint("it is used again after the pause"))
			}
		}
	}
}

// Guards against invalid or extreme delays that lose an endpoint or stop the process.
func TestUnusableRetryAfterIsIgnored(t *testing.T) {
	for _, value := range []string{"0", "-1", "-1e300", "NaN", "soon", "", "Thu, 01 Jan 1970 00:00:00 GMT", "\x01"} {
		r := newRouter(t)
		e := r.add("refusing", "plain", refuseFor(value))
		r.post("/lookup/x")
		r.post("/lookup/x")
		must.Eq(t, 2, len(e.Calls()), must.Sprintf("%q", value))
	}
	for _, value := range []string{"1e300", "Inf", "Fri, 31 Dec 9999 23:59:59 GMT"} {
		r := newRouter(t)
		r.add("refusing", "plain", refuseFor(value))
		r.post("/lookup/x")
		after, err := strconv.ParseFloat(r.post("/lookup/x").header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 60, after, 600, must.Sprintf("%q", value))
	}
}
