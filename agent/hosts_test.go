package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against an agent that drops the leaving state of its host, and offers
// tokens again, while the host list can't be read.
func TestHostStateKeptWhileHostListUnavailable(t *testing.T) {
	var failing, hostLive atomic.Bool
	var reads atomic.Int64
	var address atomic.Value
	address.Store("")
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads.Add(1)
		if failing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		state := "leaving"
		if hostLive.Load() {
			state = "live"
		}
		_ = json.NewEncoder(w).Encode([]map[string]any{{
			"targets": []any{address.Load()},
			"labels":  map[string]any{"role": "agent", "state": state},
		}})
	}))
	t.Cleanup(hosts.Close)
	f := startFixture(t, options{
		handler:   func(http.ResponseWriter, *http.Request) {},
		configure: func(s *Settings) { s.HostsURL = hosts.URL },
	})
	address.Store(f.agent.FleetAddress())
	eventually(t, "a draining report", func() bool { return f.router.lastReport().Draining })
	failing.Store(true)
	before := reads.Load()
	// The second read starts after the response to the first was processed.
	eventually(t, "two failed reads", func() bool { return reads.Load() >= before+3 })
	sequence := f.router.lastReport().Sequence
	eventually(t, "a later report", func() bool { return f.router.lastReport().Sequence > sequence })
	if !f.router.lastReport().Draining {
		t.Fatal("the agent accepts requests again while the host list is unavailable")
	}
	failing.Store(false)
	hostLive.Store(true)
	eventually(t, "a token", func() bool { return len(f.router.lastReport().FreeTokens) == 1 })
}
