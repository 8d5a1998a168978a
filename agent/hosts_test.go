package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against an agent that forgets what the host list said when the list
// can't be read: its host is leaving, and it must not get work again.
func TestHostListOut(t *testing.T) {
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
	// The second read begins after the reply to the first was handled.
	eventually(t, "two reads fail", func() bool { return reads.Load() >= before+3 })
	sequence := f.router.last().Sequence
	eventually(t, "a later report", func() bool { return f.router.last().Sequence > sequence })
	if !f.router.last().Draining {
		t.Fatal("the agent takes work again while the host list is out")
	}
	out.Store(false)
	live.Store(true)
	eventually(t, "a token", func() bool { return len(f.router.last().FreeTokens) == 1 })
}
