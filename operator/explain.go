package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/protocol/explanation"
)

// maxExplanation bounds a router's reply, in bytes. A candidate takes about 250, so that this is enough for
// 30,000 endpoints.
const maxExplanation = 8 << 20

func (a *App) explainCommand() subcommands.Command {
	var router string
	var query explanation.Query
	return &command{app: a, name: "explain",
		synopsis: "show where a direct router would send a request, and why, without sending it",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&router, "router", "", "address of the listener for metrics of a direct router")
			fs.StringVar(&query.Host, "host", "", "host of the request")
			fs.StringVar(&query.Path, "path", "", "path of the request")
			fs.StringVar(&query.Service, "service", "", "service, instead of a path or to select one of the route's")
			fs.StringVar(&query.Team, "team", "", "name of the team")
			fs.StringVar(&query.PromptParts, "prompt-parts", "", "parts of the prompt, as in the request's header")
			fs.StringVar(&query.TokenCounts, "token-counts", "", "numbers of tokens, as in the request's header")
			fs.StringVar(&query.LengthHint, "length-hint", "", "expected number of generated tokens, as in the request's header")
		},
		run: func(ctx context.Context, c *command, args []string) subcommands.ExitStatus {
			switch {
			case len(args) > 0:
				return c.usageError("takes no arguments")
			case query.Path == "" && query.Service == "":
				return c.usageError("neither -path nor -service is set")
			}
			if _, _, err := net.SplitHostPort(router); err != nil {
				return c.usageError("-router: %v", err)
			}
			return runExplain(ctx, c, router, query)
		}}
}

func runExplain(ctx context.Context, c *command, router string, query explanation.Query) subcommands.ExitStatus {
	reply, err := askRouter(ctx, router, query)
	if err != nil {
		return c.fail("%v", err)
	}
	if c.settings.JSON {
		c.printJSON(reply)
	} else {
		c.printExplanation(reply)
	}
	if isRefused(reply) {
		return ExitRefused
	}
	return ExitOK
}

// isRefused reports whether the request would be refused whichever service is picked.
func isRefused(reply *explanation.Reply) bool {
	for _, s := range reply.Services {
		if s.Decision.Endpoint != "" {
			return false
		}
	}
	return true
}

func askRouter(ctx context.Context, router string, query explanation.Query) (*explanation.Reply, error) {
	address := url.URL{Scheme: "http", Host: router, Path: explanation.Path, RawQuery: query.Values().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanation))
	if err != nil {
		return nil, eris.Wrapf(err, "explain: reply of %s", router)
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("explain: %s replied %s: %s", router, response.Status, sanitize(strings.TrimSpace(string(body))))
	}
	var reply explanation.Reply
	// A router that doesn't know the question serves its metrics at all paths.
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, eris.Wrapf(err, "explain: %s gave no explanation", router)
	}
	return &reply, nil
}

func (c *command) printExplanation(reply *explanation.Reply) {
	c.printf("route %s, version %d, latency target %d ms, %d prompt tokens, %d generated tokens expected\n", sanitize(reply.Route),
		reply.ConfigVersion, reply.TargetMs, reply.PromptTokens, reply.GeneratedTokens)
	if t := reply.Team; t.Name != "" {
		c.printf("team %s: allowance %.2f, %d tokens requested, %d started, %d begun, share %d, limit %d\n", sanitize(t.Name),
			t.Allowance, t.RequestedTokens, t.StartedTokens, t.BegunTokens, t.ShareTokens, t.LimitTokens)
	}
	if reply.Refusal != nil {
		c.printf("%s\n", formatDecision(reply.Refusal))
	}
	for _, s := range reply.Services {
		c.printf("\nservice %s, weight %g: %s\n", sanitize(s.Service), s.Weight, formatDecision(&s.Decision))
		var rows [][]any
		for _, e := range s.Candidates {
			rows = append(rows, formatCandidate(e))
		}
		writeTable(c.app.Stdout, "ENDPOINT ZONE STATE FOR RUNNING PENDING WAIT UNCACHED SCORE", rows)
	}
}

func formatDecision(d *explanation.Decision) string {
	if d.Endpoint != "" {
		return "sent to " + sanitize(d.Endpoint)
	}
	text := fmt.Sprintf("refused with %d: %s", d.Status, sanitize(d.Reason))
	if d.RetryAfterMs > 0 {
		text += fmt.Sprintf(", retry after %d ms", d.RetryAfterMs)
	}
	return text
}

// formatCandidate returns the row of an endpoint; "-" stands for what isn't known of it.
func formatCandidate(e explanation.Candidate) []any {
	lasts, wait, uncached, score := "-", "-", "-", "-"
	if e.UntilMs > 0 {
		lasts = fmt.Sprintf("%dms", e.UntilMs)
	}
	if e.Cost != nil {
		wait, uncached, score = fmt.Sprintf("%.1fms", e.Cost.WaitMs), fmt.Sprint(e.Cost.UncachedTokens), fmt.Sprintf("%.1f", e.Cost.Score)
	}
	zone := e.Zone
	if zone == "" {
		zone = "-"
	}
	return []any{e.Endpoint, zone, e.State, lasts, e.Running, e.PendingTokens, wait, uncached, score}
}
