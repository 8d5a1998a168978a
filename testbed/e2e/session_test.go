package e2e

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// sessionVariable holds the parts that vary besides those of other golden
// files, such as durations and the cost of requests in progress.
var sessionVariable = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`"(waitedMs|waitedAtOwnerMs|tookMs)":\d+`), `"$1":DURATION`},
	{regexp.MustCompile(`(?m)^(strand-assist team-\d+ \d+ \d+ \d+) \d+ (?:\d+|NORMALIZED)$`), "$1 COST NORMALIZED"},
	{regexp.MustCompile(`(?m)^(.* draining(?: \d+){4}) \d+ ADDRESS$`), "$1 FENCING ADDRESS"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`\bcmpl-[\w-]+`), "COMPLETION"},
}

// session is the text of a golden file in the making.
type session struct {
	d    *deployment
	text strings.Builder
}

func (s *session) check(name string) {
	s.d.t.Helper()
	text := s.text.String()
	// A session has one router, and the order of a trail's lines counts, so
	// lines aren't sorted as in other golden files.
	for _, v := range append(variable[:len(variable):len(variable)], sessionVariable...) {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	checkGolden(s.d.t, name, text)
}

func (s *session) title(format string, args ...any) {
	fmt.Fprintf(&s.text, "## "+format+"\n", args...)
}

// request notes a request and its answer. Of an event stream, the first and
// the last event with text are kept, and the number of those between.
func (s *session) request(r fleet.Request, a *fleet.Response) {
	s.d.t.Helper()
	must.NoError(s.d.t, a.Err)
	body := r.Body
	if len(body) > 200 {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	fmt.Fprintf(&s.text, "%s: POST %s %s\n%d\n", r.Team, r.Path, body, a.Status)
	for _, name := range []string{"Content-Type", outcome.RequestHeader, outcome.Header, "Retry-After"} {
		if value := a.Header.Get(name); value != "" {
			fmt.Fprintf(&s.text, "%s: %s\n", name, value)
		}
	}
	s.text.WriteString(shortStream(a.Body) + "\n")
}

func shortStream(body string) string {
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	// The last events are the end of the text, the usage and the end mark.
	const first, last = 1, 3
	if len(events) <= first+last {
		return strings.TrimSuffix(body, "\n") + "\n"
	}
	between := fmt.Sprintf("(%d events)", len(events)-first-last)
	kept := append(append(events[:first:first], between), events[len(events)-last:]...)
	return strings.Join(kept, "\n") + "\n"
}

// tool notes a run of the operators' tool.
func (s *session) tool(command string, r fleet.Result) {
	fmt.Fprintf(&s.text, "$ acaciaspar %s\n%s%s(exit code %d)\n\n", command, r.Stdout, r.Stderr, r.Code)
}

func (s *session) trail(a *fleet.Response) {
	s.d.t.Helper()
	id := a.Header.Get(outcome.RequestHeader)
	s.tool("audit -request ID", s.d.QueryRouters(s.d.routers, "audit", "-request", id))
}

// ranAt returns the index of the engine that admitted a request.
func (d *deployment) ranAt(id string) int {
	d.t.Helper()
	for i, e := range d.engines {
		for _, x := range d.executions(e) {
			if x.Request == id {
				return i
			}
		}
	}
	d.t.Fatalf("no engine admitted request %s", id)
	return -1
}

// Guards against a drained endpoint that cuts a stream or gets new work, and
// against changes of what operators and callers see of it.
func TestSessionDrainedEndpoint(t *testing.T) {
	t.Parallel()
	d := deploy(t, setup{routers: 1, teams: 1})
	s := &session{d: d}
	streaming := completion(d.routers[0], teamName(0), "one stream that stays", 2*longStream)
	pending := d.Send(streaming)
	d.Eventually("the stream begins", pending.Started)
	busy := -1
	for i, e := range d.engines {
		if len(d.executions(e)) > 0 {
			busy = i
		}
	}
	must.GreaterEq(t, 0, busy)

	s.title("an operator drains the endpoint that streams an answer")
	d.objects.Endpoints[busy].State = objects.EndpointDraining
	s.tool("publish objects.yaml", d.ToolPublish(d.Write(d.objects)))
	d.Eventually("the agent drains", func() bool {
		status := d.AgentStatus(d.modelAgents[busy])
		return status.Draining && status.Free == 0 && status.Running == 1
	})
	var status fleet.Result
	d.Eventually("the status shows the publication everywhere", func() bool {
		status = d.QueryRouters(d.routers, "status")
		return strings.Contains(normalize(status.Stdout), "draining 2 4 1 0 ") &&
			strings.Count(normalize(status.Stdout), "active 2 4 0 4 ") == 2
	})
	s.tool("status", status)

	s.title("the next request goes elsewhere")
	next := completion(d.routers[0], teamName(0), "the next request", 4)
	elsewhere := d.Call(next)
	s.request(next, elsewhere)
	must.False(t, pending.Done())
	must.Eq(t, 1-busy, d.ranAt(elsewhere.Header.Get(outcome.RequestHeader)))

	s.title("the stream ends whole")
	whole := pending.Wait()
	mustWhole(t, "one stream that stays", 2*longStream, whole)
	s.request(streaming, whole)

	s.title("audit")
	s.tool("audit", d.RunTool("audit", "-log-url", d.Log.URL("listen")))
	s.trail(elsewhere)
	s.trail(whole)
	must.Eq(t, 1, len(d.executions(d.engines[busy])))
	s.check("session-drained-endpoint.golden")
}

// Guards against a flood that takes the room of others, against refusals that
// don't say when to try again, and against changes of what a caller sees.
func TestSessionFlood(t *testing.T) {
	t.Parallel()
	const queueCount, queueBytes = 2, 64 << 10
	d := deploy(t, setup{routers: 1, teams: 2, routerArgs: []string{
		"-team-queue-count", fmt.Sprint(queueCount), "-team-queue-bytes", fmt.Sprint(queueBytes),
	}})
	s := &session{d: d}
	router := d.routers[0]
	running := func(r fleet.Request, n int) []*fleet.Pending {
		var all []*fleet.Pending
		for range n {
			all = append(all, d.Send(r))
			// One at a time, so that the queue's limit holds none of them back.
			d.Eventually("the request begins", all[len(all)-1].Started)
		}
		return all
	}
	flood := completion(router, teamName(0), "a flood", longStream)
	all := running(flood, 2*modelSlots)
	for range queueCount {
		all = append(all, d.Send(flood))
	}
	d.Eventually("the queue is full", func() bool { return d.Metric(router, "entry.waiting") == queueCount })

	s.title("one request more than the team's queue takes")
	refused := d.Call(flood)
	s.request(flood, refused)
	must.Eq(t, 429, refused.Status)
	must.Eq(t, outcome.NotRun, refused.Outcome.Kind)

	s.title("a body that the other team's queue doesn't take")
	large := completion(router, teamName(1), strings.Repeat("wool ", queueBytes/5), 4)
	tooMany := d.Call(large)
	s.request(large, tooMany)
	must.Eq(t, 429, tooMany.Status)

	s.title("another team's request is served")
	other := completion(router, teamName(1), "a small team", 4)
	served := d.Call(other)
	mustWhole(t, "a small team", 4, served)
	s.request(other, served)

	s.title("the flood's waiting requests run, the refused one never does")
	for _, p := range all {
		mustWhole(t, "a flood", longStream, p.Wait())
	}
	ran := 0
	for _, e := range d.engines {
		ran += len(d.executions(e))
	}
	must.Eq(t, len(all)+1, ran)
	fmt.Fprintf(&s.text, "%d requests ran\n\n", ran)

	s.title("audit: a request that found no room in a full queue leaves no trail")
	s.trail(refused)
	s.trail(tooMany)
	s.trail(served)
	// The small team's request goes to whichever slot becomes free first.
	text := regexp.MustCompile(`"endpoint":"strand-assist-\d"`).ReplaceAllString(s.text.String(), `"endpoint":"ENDPOINT"`)
	s.text.Reset()
	s.text.WriteString(text)
	s.check("session-flood.golden")
}
