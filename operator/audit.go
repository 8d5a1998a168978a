package operator

import (
	"context"
	"flag"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// verdictNotKnown is the verdict of publications before the first record with a
// known base.
const verdictNotKnown = "not-known"

type auditEntry struct {
	Offset   int64     `json:"offset"`
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	Base     uint64    `json:"base"`
	// Version is the version in force after the record, or 0 if unknown.
	Version uint64 `json:"version"`
	// Verdict is accepted, refused, duplicate or not-known.
	Verdict string           `json:"verdict"`
	Reason  string           `json:"reason,omitempty"`
	Changes []objects.Change `json:"changes"`
}

type auditOutput struct {
	Publications []auditEntry `json:"publications"`
	// Malformed is the number of records that can't be decoded.
	Malformed int `json:"malformed"`
}

func (a *App) auditCommand() subcommands.Command {
	var request string
	return &command{app: a, name: "audit",
		synopsis: "list the publications in the log, or the trail of one request",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&request, "request", "", "show the trail of the request with this identifier")
		},
		run: func(ctx context.Context, c *command, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return c.usageError("takes no arguments")
			}
			if request != "" {
				return runTrail(ctx, c, request)
			}
			return runAudit(ctx, c)
		}}
}

func runAudit(ctx context.Context, c *command) subcommands.ExitStatus {
	view, err := c.openLog(ctx)
	if err != nil {
		return c.fail("%v", err)
	}
	out := auditOutput{Publications: []auditEntry{}}
	for _, v := range slices.Concat(view.undecided, view.verdicts) {
		if v.Outcome == publication.Malformed {
			out.Malformed++
		}
		if v.Publication != nil {
			out.Publications = append(out.Publications, newAuditEntry(v))
		}
	}
	if c.settings.JSON {
		c.printJSON(out)
		return ExitOK
	}
	rows := make([][]any, 0, len(out.Publications))
	for _, e := range out.Publications {
		rows = append(rows, []any{e.Offset, e.Time.Format(time.RFC3339), e.Operator, e.Base, e.Version, e.Verdict, len(e.Changes), e.ID, e.Reason})
	}
	writeTable(c.app.Stdout, "OFFSET TIME OPERATOR BASE VERSION VERDICT CHANGES ID REASON", rows)
	if out.Malformed > 0 {
		c.printf("%d malformed records\n", out.Malformed)
	}
	return ExitOK
}

func newAuditEntry(v publication.Verdict) auditEntry {
	p := v.Publication
	verdict := string(v.Outcome)
	if verdict == "" {
		verdict = verdictNotKnown
	}
	return auditEntry{
		Offset: v.Offset, ID: p.ID, Operator: p.Operator, Time: p.Time, Base: p.Base,
		Version: v.Version, Verdict: verdict, Reason: v.Reason, Changes: nonNil(p.Changes),
	}
}
