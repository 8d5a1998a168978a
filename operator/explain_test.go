package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/explanation"
)

// explainer is a router that gives one reply and keeps the latest question.
func explainer(t *testing.T, reply *explanation.Reply) (address string, asked *explanation.Query) {
	asked = &explanation.Query{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != explanation.Path {
			http.NotFound(w, r)
			return
		}
		*asked = explanation.Parse(r.URL.Query())
		_ = json.NewEncoder(w).Encode(reply)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), asked
}

// Guards against a question that loses attributes of the request, and against changed output or exit codes.
func TestExplain(t *testing.T) {
	f := newFixture(t)
	reply := &explanation.Reply{
		ConfigVersion: 7, Route: "chat", TargetMs: 500, PromptTokens: 30, GeneratedTokens: 5,
		Team: explanation.Team{Name: "kiln", Allowance: 0.3, RequestedTokens: 90, StartedTokens: 80, BegunTokens: 70, ShareTokens: 60, LimitTokens: 50},
		Services: []explanation.Service{{
			Service: "llm", Weight: 1, Decision: explanation.Decision{Endpoint: "e1"},
			Candidates: []explanation.Candidate{
				{Endpoint: "e1", Zone: "patan", State: "ready", Running: 2, PendingTokens: 40, Cost: &explanation.Cost{WaitMs: 1.5, UncachedTokens: 9, Score: 276}},
				{Endpoint: "e2", State: "paused", UntilMs: 250},
			},
		}},
	}
	address, asked := explainer(t, reply)
	query := explanation.Query{Host: "h", Path: "/v1/x", Service: "llm", Team: "kiln", PromptParts: "a:20,b:10", TokenCounts: "30,5", LengthHint: "5"}
	args := []string{"explain", "-router", address, "-host", "h", "-path", "/v1/x", "-service", "llm", "-team", "kiln",
		"-prompt-parts", query.PromptParts, "-token-counts", query.TokenCounts, "-length-hint", query.LengthHint}
	must.Eq(t, ExitOK, f.run(args...))
	must.Eq(t, query, *asked)
	must.Eq(t, `route chat, version 7, latency target 500 ms, 30 prompt tokens, 5 generated tokens expected
team kiln: allowance 0.30, 90 tokens requested, 80 started, 70 begun, share 60, limit 50

service llm, weight 1: sent to e1
ENDPOINT  ZONE   STATE   FOR    RUNNING  PENDING  WAIT   UNCACHED  SCORE
e1        patan  ready   -      2        40       1.5ms  9         276.0
e2        -      paused  250ms  0        0        -      -         -
`, f.stdout)

	must.Eq(t, ExitOK, f.run(append([]string{"explain", "-json"}, args[1:]...)...))
	var printed explanation.Reply
	must.NoError(t, json.Unmarshal([]byte(f.stdout), &printed))
	must.Eq(t, *reply, printed)

	reply.Services[0].Decision = explanation.Decision{Status: 429, Reason: "team is above its share", RetryAfterMs: 120}
	must.Eq(t, ExitRefused, f.run(args...))
	must.StrContains(t, f.stdout, "service llm, weight 1: refused with 429: team is above its share, retry after 120 ms\n")
	reply.Services, reply.Refusal = nil, &explanation.Decision{Status: 404, Reason: "no route"}
	must.Eq(t, ExitRefused, f.run(args...))
	must.StrContains(t, f.stdout, "refused with 404: no route\n")
}

// Guards against a router that doesn't answer or knows no explanations and looks like one that refuses.
func TestExplainFailures(t *testing.T) {
	f := newFixture(t)
	must.Eq(t, ExitUsage, f.run("explain", "-path", "/"))
	must.Eq(t, ExitUsage, f.run("explain", "-router", "127.0.0.1:1"))
	must.Eq(t, ExitUsage, f.run("explain", "-router", "127.0.0.1:1", "-path", "/", "more"))
	must.Eq(t, ExitFailed, f.run("explain", "-router", "127.0.0.1:1", "-path", "/"))
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("# TYPE a counter\n")) }))
	t.Cleanup(older.Close)
	must.Eq(t, ExitFailed, f.run("explain", "-router", strings.TrimPrefix(older.URL, "http://"), "-path", "/"))
	must.StrContains(t, f.stderr, "gave no explanation")
}
