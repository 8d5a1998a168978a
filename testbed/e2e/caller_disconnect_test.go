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

// maxTokensAfterCancel is the number of tokens that an engine may still produce
// after its caller has disconnected. A stalled connection can keep a request
// open for 2 s (docs/protocol.md), and the engine produces one token per step of
// 10 ms.
const maxTokensAfterCancel = 200

// execution returns the execution of a request, from the engine that admitted it.
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

// Guards against engines that keep producing tokens after the caller has
// disconnected, and against slots that aren't freed.
func TestCallerDisconnectCancelsStream(t *testing.T) {
	t.Parallel()
	const long = 4000
	for name, newClient := range map[string]func(*testing.T) *http.Client{
		"HTTP/1.1": func(*testing.T) *http.Client { return nil },
		"HTTP/2":   newHTTP2Client,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deployOptions{routers: 2, teams: 2})
			client := newClient(t)
			unaffected := d.openStreams(d.routers[1], 1, longStreamTokens)
			var disconnecting []*fleet.Pending
			for i := range 2*modelSlots - 1 {
				r := completion(d.routers[i%2], teamName(i%2), "a caller that leaves", long)
				r.Client = client
				disconnecting = append(disconnecting, d.Send(r))
			}
			d.Eventually("the streams have started", func() bool {
				for _, p := range disconnecting {
					if !p.Started() {
						return false
					}
				}
				return true
			})
			for _, p := range disconnecting {
				p.Cancel()
			}
			for _, p := range disconnecting {
				resp := p.Wait()
				must.Error(t, resp.Err)
				id := resp.Header.Get(outcome.RequestHeader)
				d.Eventually("the engine cancels the request", func() bool { return d.execution(id).Cancelled })
				x := d.execution(id)
				must.False(t, x.Finished)
				read := len(strings.Fields(resp.Text()))
				must.LessEq(t, read+maxTokensAfterCancel, x.Tokens, must.Sprintf("the caller read %d tokens", read))
			}
			// The freed slots accept as many concurrent requests as before.
			reopened := d.openStreams(d.routers[0], 2*modelSlots-1, 20)
			for _, s := range append(unaffected, reopened...) {
				mustComplete(t, s.prompt, s.tokens, s.Wait())
			}
			d.awaitIdleEngines()
			d.awaitConverged(1)
		})
	}
}
