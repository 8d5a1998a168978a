package operator

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// logView is the state of the configuration topic as read from the log.
type logView struct {
	client *logclient.Client
	state  *publication.State
	// verdicts are the verdicts of the retained records, in log order.
	verdicts []publication.Verdict
	// undecided are the publications before the first record with a known base.
	undecided []publication.Verdict
}

// openLog reads the retained records of the log. If they contain no record from
// which the state can be recovered, state is nil and all publications are undecided.
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

// requireState opens the log. It returns an error if the configuration in force
// can't be recovered from it.
func (c *command) requireState(ctx context.Context) (*logView, error) {
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

// readBatch is the maximum number of records in one read by poll.
const readBatch = 64

// poll reads and applies the records appended since the last read.
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

// find returns the verdict of the publication with the given ID: the accepted one
// if there is one, otherwise the first, or nil if there is none.
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
