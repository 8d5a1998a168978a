package entry_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Guards against a response that has begun and is cut because a newer configuration no longer
// allows the request.
func TestConfigurationChangeDoesNotEndAResponse(t *testing.T) {
	changes := map[string]func(c *routing.Config){
		"key revoked":       func(c *routing.Config) { c.Teams = []routing.Team{{Name: "t2", Keys: []string{"k2"}}} },
		"route removed":     func(c *routing.Config) { c.Routes = c.Routes[:1] },
		"route moved":       func(c *routing.Config) { c.Routes[4].Destinations[0].Service = "plain" },
		"timeout shortened": func(c *routing.Config) { c.Routes[4].Timeout = time.Second },
		"one attempt":       func(c *routing.Config) { c.Routes[4].Attempts = 1 },
		"quota reduced":     func(c *routing.Config) { c.Limits.TokensPerSecond = 1 },
	}
	endings := map[string]directtest.Script{
		"silent": silentStream,
		"reset after silence": func(c net.Conn, call *directtest.Call) bool {
			if firstEvent(call) > 1 {
				return silentStream(c, call)
			}
			directtest.BeginStream(c, call)
			directtest.Chunk(c, eventsFrom(1, 2))
			time.Sleep(time.Second)
			return reset(c, call)
		},
	}
	for name, change := range changes {
		for ending, script := range endings {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				r := newRouter(t)
				r.addVersion("e1", "engines", "v1", script)
				answered := make(chan result)
				go func() { answered <- r.post("/resumable/1") }()
				time.Sleep(silence / 8)
				e2 := directtest.NewEndpoint(t, streamFrom("v1", 4, 4))
				r.endpoints.Put(registry.Endpoint{ID: "e2", Service: "engines", Address: e2.Address, Zone: "z", Version: "v1", Slots: 4})
				newer := config()
				newer.Version = 2
				change(newer)
				table, err := routing.Compile(newer)
				must.NoError(t, err)
				r.handler.Routes.Advance(table)
				r.handler.Dispatcher.SetCapacity(table.Limits.TokensPerSecond, 2)
				got := <-answered
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, 4, strings.Count(got.body, "id:"))
			})
		}
	}
}
