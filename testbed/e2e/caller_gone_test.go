package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/engine"
)

// cancelTokens is the number of tokens that an engine may still produce for a
// caller that is gone: 2 s, for which a connection may hold a request after it
// went silent (docs/protocol.md), at one token per step of 10 ms.
const cancelTokens = 200

// execution returns what an engine did for a request.
func (d *deployment) execution(id string) engine.Execution {
	d.t.Helper()
	for _, e := range d.engines {
		for _, x := range d.executions(e) {
			if x.Request == id {
				return x
			}
		}
	}
	d.t.Fatalf("no engine admitted request %s", id)
	return engine.Execution{}
}

// Guards against engines that go on working for callers that are gone, and
// against slots that stay taken.
func TestCallersGoneInMidStream(t *testing.T) {
	t.Parallel()
	const long = 4000
	for name, newClient := range map[string]func(*testing.T) *http.Client{
		"HTTP/1.1": func(*testing.T) *http.Client { return nil },
		"HTTP/2":   http2Caller,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, setup{routers: 2, teams: 2})
			client := newClient(t)
			stays := d.openStreams(d.routers[1], 1, longStream)
			var leaving []*fleet.Pending
			for i := range 2*modelSlots - 1 {
				r := completion(d.routers[i%2], teamName(i%2), "a caller that leaves", long)
				r.Client = client
				leaving = append(leaving, d.Send(r))
			}
			d.Eventually("the streams begin", func() bool {
				for _, p := range leaving {
					if !p.Started() {
						return false
					}
				}
				return true
			})
			for _, p := range leaving {
				p.Cancel()
			}
			for _, p := range leaving {
				a := p.Wait()
				must.Error(t, a.Err)
				id := a.Header.Get(outcome.RequestHeader)
				d.Eventually("the engine stops", func() bool { return d.execution(id).Cancelled })
				x := d.execution(id)
				must.False(t, x.Finished)
				read := len(strings.Fields(a.Text()))
				must.LessEq(t, read+cancelTokens, x.Tokens, must.Sprintf("the caller read %d tokens", read))
			}
			// As many requests run at once as there are slots.
			again := d.openStreams(d.routers[0], 2*modelSlots-1, 20)
			for _, s := range append(stays, again...) {
				mustWhole(t, s.prompt, s.tokens, s.Wait())
			}
			d.awaitIdleEngines()
			d.awaitSettled(1)
		})
	}
}
