package e2e

import (
	"testing"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// Guards against a graceful stop that truncates responses which take longer than
// the few seconds for which the shutdown of an HTTP server waits by itself.
func TestGracefulStopCompletesLongResponses(t *testing.T) {
	t.Parallel()
	for name, pick := range map[string]func(d *deployment) []*fleet.Process{
		"router": func(d *deployment) []*fleet.Process { return d.routers[:1] },
		"agents": func(d *deployment) []*fleet.Process { return d.modelAgents },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deployOptions{routers: 2, teams: 2})
			streams := d.openStreams(d.routers[0], 4, longStreamTokens)
			for _, p := range pick(d) {
				p.Stop()
			}
			for _, s := range streams {
				mustComplete(t, s.prompt, s.tokens, s.Wait())
			}
		})
	}
}
