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

// sessionReplacements are the variable parts of a session in addition to those of
// other golden files, such as durations and the cost of requests in progress.
var sessionReplacements = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`"(waitedMs|waitedAtOwnerMs|tookMs)":\d+`), `"$1":DURATION`},
	{regexp.MustCompile(`(?m)^(strand-assist team-\d+ \d+ \d+ \d+) \d+ (?:\d+|NORMALIZED)$`), "$1 COST NORMALIZED"},
	{regexp.MustCompile(`(?m)^(.* draining(?: \d+){4}) \d+ ADDRESS$`), "$1 FENCING ADDRESS"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`\bcmpl-[\w-]+`), "COMPLETION"},
}

// session collects the text of a golden file.
type session struct {
	d    *deployment
	text strings.Builder
}

func (s *session) check(name string) {
	s.d.t.Helper()
	text := s.text.String()
	// A session has one router and the lines of a trail are in order, so lines
	// aren't sorted as in other golden files.
	for _, v := range append(replacements[:len(replacements):len(replacements)], sessionReplacements...) {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	checkGolden(s.d.t, name, text)
}

func (s *session) writeTitle(format string, args ...any) {
	fmt.Fprintf(&s.text, "## "+format+"\n", args...)
}

// recordRequest writes a request and its response. Of an event stream it keeps
// the first text event and the last three events, and counts those between.
func (s *session) recordRequest(r fleet.Request, resp *fleet.Response) {
	s.d.t.Helper()
	must.NoError(s.d.t, resp.Err)
	body := r.Body
	if len(body) > 200 {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	fmt.Fprintf(&s.text, "%s: POST %s %s\n%d\n", r.Team, r.Path, body, resp.Status)
	for _, name := range []string{"Content-Type", outcome.RequestHeader, outcome.Header, "Retry-After"} {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(&s.text, "%s: %s\n", name, value)
		}
	}
	s.text.WriteString(abbreviateStream(resp.Body) + "\n")
}

func abbreviateStream(body string) string {
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	// The last events are the last text, the usage and the end marker.
	const first, last = 1, 3
	if len(events) <= first+last {
		return strings.TrimSuffix(body, "\n") + "\n"
	}
	between := fmt.Sprintf("(%d events)", len(events)-first-last)
	kept := append(append(events[:first:first], between), events[len(events)-last:]...)
	return strings.Join(kept, "\n") + "\n"
}

// recordTool writes the output of a run of the operators' tool.
func (s *session) recordTool(command string, r fleet.Result) {
	fmt.Fprintf(&s.text, "$ acaciaspar %s\n%s%s(exit code %d)\n\n", command, r.Stdout, r.Stderr, r.Code)
}

func (s *session) recordTrail(resp *fleet.Response) {
	s.d.t.Helper()
	id := resp.Header.Get(outcome.RequestHeader)
	s.recordTool("audit -request ID", s.d.QueryRouters(s.d.routers, "audit", "-request", id))
}

// engineIndex returns the index of the engine that admitted a request.
func (d *deployment) engineIndex(id string) int {
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

// Guards against a drained endpoint that interrupts a stream or is assigned new
// requests, and against unintended changes to what operators and callers see.
func TestSessionDrainedEndpoint(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{routers: 1, teams: 1})
	s := &session{d: d}
	streaming := completion(d.routers[0], teamName(0), "one stream that stays", 2*longStreamTokens)
	pending := d.Send(streaming)
	d.Eventually("the stream has started", pending.Started)
	draining := -1
	for i, e := range d.engines {
		if len(d.executions(e)) > 0 {
			draining = i
		}
	}
	must.GreaterEq(t, 0, draining)

	s.writeTitle("an operator drains the endpoint that streams an answer")
	d.objects.Endpoints[draining].State = objects.EndpointDraining
	s.recordTool("publish objects.yaml", d.RunPublish(d.WriteObjects(d.objects)))
	d.Eventually("the agent drains", func() bool {
		status := d.AgentStatus(d.modelAgents[draining])
		return status.Draining && status.Free == 0 && status.Running == 1
	})
	var status fleet.Result
	d.Eventually("the status shows the publication on all endpoints", func() bool {
		status = d.QueryRouters(d.routers, "status")
		return strings.Contains(normalize(status.Stdout), "draining 2 4 1 0 ") &&
			strings.Count(normalize(status.Stdout), "active 2 4 0 4 ") == 2
	})
	s.recordTool("status", status)

	s.writeTitle("the next request goes to the other endpoint")
	next := completion(d.routers[0], teamName(0), "the next request", 4)
	nextResponse := d.Call(next)
	s.recordRequest(next, nextResponse)
	must.False(t, pending.Done())
	must.Eq(t, 1-draining, d.engineIndex(nextResponse.Header.Get(outcome.RequestHeader)))

	s.writeTitle("the stream completes")
	streamed := pending.Wait()
	mustComplete(t, "one stream that stays", 2*longStreamTokens, streamed)
	s.recordRequest(streaming, streamed)

	s.writeTitle("audit")
	s.recordTool("audit", d.RunTool("audit", "-log-url", d.Log.URL("listen")))
	s.recordTrail(nextResponse)
	s.recordTrail(streamed)
	must.Eq(t, 1, len(d.executions(d.engines[draining])))
	s.check("session-drained-endpoint.golden")
}

// Guards against a flood that uses the queue capacity of other teams, against
// refusals without a Retry-After header, and against unintended changes to what
// a caller sees.
func TestSessionFlood(t *testing.T) {
	t.Parallel()
	const queueCount, queueBytes = 2, 64 << 10
	d := deploy(t, deployOptions{routers: 1, teams: 2, routerArgs: []string{
		"-team-queue-count", fmt.Sprint(queueCount), "-team-queue-bytes", fmt.Sprint(queueBytes),
	}})
	s := &session{d: d}
	router := d.routers[0]
	startAll := func(r fleet.Request, n int) []*fleet.Pending {
		var all []*fleet.Pending
		for range n {
			all = append(all, d.Send(r))
			// Requests start one at a time so that the queue limit refuses none.
			d.Eventually("the request has started", all[len(all)-1].Started)
		}
		return all
	}
	flood := completion(router, teamName(0), "a flood", longStreamTokens)
	all := startAll(flood, 2*modelSlots)
	for range queueCount {
		all = append(all, d.Send(flood))
	}
	d.Eventually("the queue is full", func() bool { return d.Metric(router, "entry.waiting") == queueCount })

	s.writeTitle("one request above the limit of the team's queue")
	refused := d.Call(flood)
	s.recordRequest(flood, refused)
	must.Eq(t, 429, refused.Status)
	must.Eq(t, outcome.NotRun, refused.Outcome.Kind)

	s.writeTitle("a body above the byte limit of the other team's queue")
	large := completion(router, teamName(1), strings.Repeat("wool ", queueBytes/5), 4)
	tooLarge := d.Call(large)
	s.recordRequest(large, tooLarge)
	must.Eq(t, 429, tooLarge.Status)

	s.writeTitle("another team's request is served")
	other := completion(router, teamName(1), "a small team", 4)
	served := d.Call(other)
	mustComplete(t, "a small team", 4, served)
	s.recordRequest(other, served)

	s.writeTitle("the waiting requests of the flood run, the refused one does not")
	for _, p := range all {
		mustComplete(t, "a flood", longStreamTokens, p.Wait())
	}
	ran := 0
	for _, e := range d.engines {
		ran += len(d.executions(e))
	}
	must.Eq(t, len(all)+1, ran)
	fmt.Fprintf(&s.text, "%d requests ran\n\n", ran)

	s.writeTitle("audit: a request refused by a full queue has no trail")
	s.recordTrail(refused)
	s.recordTrail(tooLarge)
	s.recordTrail(served)
	// The small team's request gets whichever slot is freed first.
	text := regexp.MustCompile(`"endpoint":"strand-assist-\d"`).ReplaceAllString(s.text.String(), `"endpoint":"ENDPOINT"`)
	s.text.Reset()
	s.text.WriteString(text)
	s.check("session-flood.golden")
}
