package operator

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// logView is what a reader knows of the configuration stream.
type logView struct {
	client *logclient.Client
	state  *publication.State
	// verdicts are those of the retained records, in order.
	verdicts []publication.Verdict
	// undecided are publications before the first record with a known base.
	undecided []publication.Verdict
}

// openLog reads the retained log. If the records have no usable start, the
// view has no state and all publications are undecided.
func (c *command) openLog(ctx context.Context) (*logView, error) {
	if c.settings.LogURL == "" {
		return nil, eris.New("-log-url is not set")
	}
	view := &logView{client: logclient.New(c.settings.LogURL, &http.Client{})}
	beginning, end, err := view.client.Offsets(ctx, publication.Topic)
	if err != nil {
		return nil, eris.Wrap(err, "the log can't be read")
	}
	retained, err := view.client.ReadRange(ctx, publication.Topic, beginning, end)
	if err != nil {
		return nil, eris.Wrap(err, "the log can't be read")
	}
	records := make([]publication.Record, 0, len(retained))
	for _, r := range retained {
		records = append(records, publication.Record(r))
	}
	view.state, _ = publication.RecoverEarliest(beginning, records)
	for _, r := range records {
		view.apply(r)
	}
	return view, nil
}

// needState is openLog for commands that can't work without the current set.
func (c *command) needState(ctx context.Context) (*logView, error) {
	view, err := c.openLog(ctx)
	if err != nil {
		return nil, err
	}
	if view.state == nil {
		return nil, eris.New("the configuration in force is not known: the log has no usable snapshot; " +
			"a router appends one within its -snapshot-interval")
	}
	return view, nil
}

func (v *logView) apply(r publication.Record) {
	if v.state == nil || r.Offset < v.state.NextOffset {
		p, _, err := publication.Decode(r.Value)
		if err == nil && p != nil {
			v.undecided = append(v.undecided, publication.Verdict{Offset: r.Offset, Publication: p})
		}
		return
	}
	v.verdicts = append(v.verdicts, v.state.Apply(r.Offset, r.Value))
}

// readBatch is the number of records asked for at once while waiting for one.
const readBatch = 64

// poll applies records that were appended since.
func (v *logView) poll(ctx context.Context) error {
	for {
		records, err := v.client.Read(ctx, publication.Topic, v.state.NextOffset, readBatch)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return nil
		}
		for _, r := range records {
			v.apply(publication.Record(r))
		}
	}
}

// find returns the verdict of a publication id: the accepted one if there is
// one, otherwise the first.
func (v *logView) find(id string) *publication.Verdict {
	var found *publication.Verdict
	for i := range v.verdicts {
		p := v.verdicts[i].Publication
		if p == nil || p.ID != id {
			continue
		}
		if v.verdicts[i].Outcome == publication.Accepted {
			return &v.verdicts[i]
		}
		if found == nil {
			found = &v.verdicts[i]
		}
	}
	return found
}
