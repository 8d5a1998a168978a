package operator

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

const (
	// pollInterval is the interval between reads while waiting for the verdict.
	pollInterval = 100 * time.Millisecond
	// anyBase means that the publication applies to whichever version is in force.
	anyBase = -1

	verdictUnchanged = "unchanged"
	verdictUnknown   = "unknown"
)

type publishOutput struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Base     uint64 `json:"base"`
	// Version is the version in force after the publication, if known.
	Version uint64 `json:"version"`
	// Verdict is accepted, refused, unknown or unchanged.
	Verdict string           `json:"verdict"`
	Reason  string           `json:"reason,omitempty"`
	Changes []objects.Change `json:"changes"`
}

// publish is the publish command.
type publish struct {
	*command
	id   string
	base int64
	// allowEmpty permits a set without objects, which deletes all objects and thus
	// stops all services.
	allowEmpty bool
	view       *logView
	out        publishOutput
}

func (a *App) publishCommand() subcommands.Command {
	p := &publish{}
	p.command = &command{app: a, name: "publish", arguments: "FILE...",
		synopsis: "put the objects in files in force as the whole configuration"}
	p.flags = func(fs *flag.FlagSet) {
		fs.Int64Var(&p.base, "base", anyBase, "refuse unless this version is in force (-1: any)")
		fs.StringVar(&p.id, "id", "", "id of the publication, 32 hexadecimal digits, to repeat one whose outcome is not known (default: random)")
		fs.BoolVar(&p.allowEmpty, "allow-empty", false, "publish a set without objects, which deletes everything")
	}
	p.run = func(ctx context.Context, _ *command, args []string) subcommands.ExitStatus { return p.start(ctx, args) }
	return p
}

func (p *publish) start(ctx context.Context, files []string) subcommands.ExitStatus {
	if p.settings.Operator == "" || len(p.settings.Operator) > publication.MaxOperatorBytes {
		return p.usageError("-operator must have 1 to %d bytes", publication.MaxOperatorBytes)
	}
	if p.base < anyBase {
		return p.usageError("-base must be a version")
	}
	repeated := p.id != ""
	if !repeated {
		p.id = p.app.NewID()
	}
	if !publication.ValidID(p.id) {
		return p.usageError("-id must be 32 lower-case hexadecimal digits")
	}
	set, status := p.load(files)
	if set == nil {
		return status
	}
	if set.Size() == 0 && !p.allowEmpty {
		return p.usageError("the files hold no objects; publishing them needs -allow-empty")
	}
	view, err := p.requireState(ctx)
	if err != nil {
		return p.fail("%v; nothing was published", err)
	}
	p.view = view
	p.out = publishOutput{ID: p.id, Operator: p.settings.Operator, Base: view.state.Version, Version: view.state.Version}
	record := view.state.Propose(p.id, p.settings.Operator, p.app.Now(), set)
	p.out.Changes = nonNil(record.Changes)
	if repeated {
		if done, status := p.findEarlier(record); done {
			return status
		}
	}
	return p.send(ctx, record)
}

// findEarlier reports the outcome of the publication with this ID if it is already
// in the log. Otherwise it returns false.
func (p *publish) findEarlier(record *publication.Publication) (bool, subcommands.ExitStatus) {
	verdict := p.view.find(p.id)
	if verdict != nil && verdict.Publication.Hash != record.Hash {
		return true, p.fail("id %s belongs to a publication of another set; nothing was published", p.id)
	}
	if verdict != nil {
		p.out.Changes = nonNil(verdict.Publication.Changes)
		return true, p.reportVerdict(verdict)
	}
	if slices.Contains(p.view.state.Recent(), p.id) {
		return true, p.finish(string(publication.Accepted), "it was accepted before the first retained record", ExitOK)
	}
	return false, ExitOK
}

func (p *publish) send(ctx context.Context, record *publication.Publication) subcommands.ExitStatus {
	if p.base != anyBase && uint64(p.base) != record.Base {
		reason := fmt.Sprintf("version %d is in force, not the version %d given by -base", record.Base, p.base)
		return p.finish(string(publication.Refused), reason, ExitRefused)
	}
	if len(record.Changes) == 0 {
		return p.finish(verdictUnchanged, "", ExitOK)
	}
	if !p.settings.JSON {
		p.printChanges(p.view.state.Set, record.Changes)
		p.printf("%d changes to version %d\n", len(record.Changes), record.Base)
	}
	data, err := record.Encode()
	if err != nil {
		return p.fail("%v; nothing was published", err)
	}
	fmt.Fprintf(p.app.Stderr, "publishing %s as %s on base version %d\n", p.id, p.settings.Operator, record.Base)
	err = p.append(ctx, data)
	if logclient.IsRefused(err) {
		return p.fail("%v; nothing was published", err)
	}
	return p.await(ctx, err)
}

// append uses at most half of the timeout, so that there is time to look for the
// record in the log if there is no reply.
func (p *publish) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout/2)
	defer cancel()
	_, err := p.view.client.Append(ctx, publication.Topic, data)
	return err
}

// await polls the log until it contains the publication. cause is the error of the
// append if its outcome is unknown.
func (p *publish) await(ctx context.Context, cause error) subcommands.ExitStatus {
	for {
		err := p.view.poll(ctx)
		if verdict := p.view.find(p.id); verdict != nil {
			return p.reportVerdict(verdict)
		}
		if err != nil {
			cause = err
		}
		select {
		case <-ctx.Done():
			return p.reportUnknown(cause)
		case <-time.After(pollInterval):
		}
	}
}

func (p *publish) reportUnknown(cause error) subcommands.ExitStatus {
	reason := fmt.Sprintf("the publication was not found in the log in time; repeat it with -id %s -base %d", p.id, p.out.Base)
	if cause != nil {
		reason += ": " + cause.Error()
	}
	return p.finish(verdictUnknown, reason, ExitUnknown)
}

func (p *publish) reportVerdict(verdict *publication.Verdict) subcommands.ExitStatus {
	p.out.Base = verdict.Publication.Base
	p.out.Version = verdict.Version
	if verdict.Outcome == publication.Refused {
		return p.finish(string(publication.Refused), verdict.Reason, ExitRefused)
	}
	return p.finish(string(publication.Accepted), "", ExitOK)
}

func (p *publish) finish(verdict, reason string, status subcommands.ExitStatus) subcommands.ExitStatus {
	p.out.Verdict = verdict
	p.out.Reason = reason
	if p.settings.JSON {
		p.printJSON(p.out)
		return status
	}
	switch {
	case verdict == verdictUnchanged:
		p.printf("nothing to change, version %d is in force\n", p.out.Base)
	case status == ExitOK:
		p.printf("accepted: version %d (id %s)\n", p.out.Version, p.id)
	case status == ExitRefused:
		p.printf("refused: %s (id %s)\n", reason, p.id)
	default:
		p.printf("outcome not known: %s\n", reason)
	}
	return status
}
