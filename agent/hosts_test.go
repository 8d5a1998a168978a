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
	var out, live atomic.Bool
	var reads atomic.Int64
	var address atomic.Value
	address.Store("")
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads.Add(1)
		if out.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		state := "leaving"
		if live.Load() {
			state = "live"
		}
		_ = json.NewEncoder(w).Encode([]map[string]any{{
			"targets": []any{address.Load()},
			"labels":  map[string]any{"role": "agent", "state": state},
		}})
	}))
	t.Cleanup(hosts.Close)
	f := start(t, options{
		handler: func(http.ResponseWriter, *http.Request) {},
		change:  func(s *Settings) { s.HostsURL = hosts.URL },
	})
	address.Store(f.agent.FleetAddress())
	eventually(t, "a draining report", func() bool { return f.router.last().Draining })
	out.Store(true)
	before := reads.Load()
	// The second read starts after the response to the first was processed.
	eventually(t, "two failed reads", func() bool { return reads.Load() >= before+3 })
	sequence := f.router.last().Sequence
	eventually(t, "a later report", func() bool { return f.router.last().Sequence > sequence })
	if !f.router.last().Draining {
		t.Fatal("the agent accepts requests again while the host list is unavailable")
	}
	out.Store(false)
	live.Store(true)
	eventually(t, "a token", func() bool { return len(f.router.last().FreeTokens) == 1 })
}
