package incarnation

import "time"

const (
	// EntryTime is how long after its start, while the store answers, the entry of an endpoint
	// may still be missing.
	EntryTime = 2500 * time.Millisecond
	// firstAskDelay is the delay between a broken connection and the first question to the
	// endpoint. An endpoint that ends needs a moment to close its listener.
	firstAskDelay = 50 * time.Millisecond
	// minAskBackoff and maxAskBackoff bound the backoff between two questions.
	minAskBackoff = 250 * time.Millisecond
	maxAskBackoff = 2 * time.Second
)

// Table is not safe for concurrent use.
type Table struct {
	endpoints map[string]*endpoint
	// doubted is the number of endpoints whose incarnation is in doubt.
	doubted int
}

type endpoint struct {
	// started is the start time of the incarnation that is known to run or, in doubt, to have
	// run last. It is zero if the endpoint doesn't name one.
	started time.Time
	// superseded is the start time of the registered incarnation if the endpoint reported
	// another one and its entry wasn't read yet.
	superseded    time.Time
	hasSuperseded bool
	// doubtedAt is when the latest connection broke or failed; zero without a doubt.
	doubtedAt time.Time
	// reachedAt is when the endpoint was first reached after that, or zero.
	reachedAt time.Time
	// wanted is set once a request needed the endpoint while it was in doubt.
	wanted  bool
	asking  bool
	askAt   time.Time
	backoff time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{endpoints: map[string]*endpoint{}} }

func (t *Table) endpoint(id string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = &endpoint{}
		t.endpoints[id] = e
	}
	return e
}

// Register records the start time in an endpoint's entry. A start time that wasn't known confirms
// the incarnation. It returns the start time of the latest known incarnation, which is another one
// if the endpoint has reported it and its entry is still that of the incarnation before.
func (t *Table) Register(id string, started time.Time) time.Time {
	e := t.endpoint(id)
	switch {
	case e.hasSuperseded && started.Equal(e.superseded):
	case e.hasSuperseded || !started.Equal(e.started):
		e.started, e.hasSuperseded = started, false
		t.confirm(e)
	}
	return e.started
}

// Doubt records that a connection to an endpoint broke or could not be opened.
func (t *Table) Doubt(now time.Time, id string) {
	e := t.endpoint(id)
	if e.doubtedAt.IsZero() {
		t.doubted++
		e.askAt, e.backoff, e.wanted = now.Add(firstAskDelay), minAskBackoff, false
	}
	e.doubtedAt, e.reachedAt = now, time.Time{}
}

func (t *Table) confirm(e *endpoint) {
	if !e.doubtedAt.IsZero() {
		t.doubted--
	}
	e.doubtedAt, e.reachedAt = time.Time{}, time.Time{}
}

// Reached records that a connection to an endpoint that was opened after askedAt carried an
// answer which doesn't tell incarnations apart.
func (t *Table) Reached(now, askedAt time.Time, id string) {
	e := t.endpoints[id]
	if e != nil && !e.doubtedAt.IsZero() && askedAt.After(e.doubtedAt) && e.reachedAt.IsZero() {
		e.reachedAt = now
	}
}

// Reported records the start time that an endpoint reported on a connection that was opened after
// askedAt. It confirms the registered incarnation. Of another one the version is unknown until its
// entry is read. It reports whether the endpoint has restarted.
func (t *Table) Reported(askedAt time.Time, id string, started time.Time) (restarted bool) {
	e := t.endpoints[id]
	if e == nil || e.doubtedAt.IsZero() || !askedAt.After(e.doubtedAt) || e.started.IsZero() {
		return false
	}
	if started.Equal(e.started) {
		if !e.hasSuperseded {
			t.confirm(e)
		}
		return false
	}
	if !e.hasSuperseded {
		e.superseded, e.hasSuperseded = e.started, true
	}
	e.started = started
	return true
}

// Settle ends the doubt about endpoints that were reached, if the store has answered all the time for
// EntryTime since: an incarnation that had started by then is registered. since and until are the
// bounds of the time in which the store is known to have answered.
func (t *Table) Settle(since, until time.Time) {
	if t.doubted == 0 {
		return
	}
	for _, e := range t.endpoints {
		if e.reachedAt.IsZero() || e.hasSuperseded {
			continue
		}
		from := e.reachedAt
		if since.After(from) {
			from = since
		}
		if until.Sub(from) >= EntryTime {
			t.confirm(e)
		}
	}
}

// Doubted returns the number of endpoints whose incarnation is in doubt.
func (t *Table) Doubted() int { return t.doubted }

// Confirmed reports whether the incarnation of an endpoint is not in doubt.
func (t *Table) Confirmed(id string) bool {
	e := t.endpoints[id]
	return e == nil || e.doubtedAt.IsZero()
}

// Want records that a request could not use an endpoint because its incarnation is in doubt.
func (t *Table) Want(id string) {
	if e := t.endpoints[id]; e != nil {
		e.wanted = true
	}
}

// TakeQuestions returns the wanted endpoints that should be asked for their incarnation now.
// Asked must be called for each of them.
func (t *Table) TakeQuestions(now time.Time) []string {
	if t.doubted == 0 {
		return nil
	}
	var ids []string
	for id, e := range t.endpoints {
		open := !e.doubtedAt.IsZero() && e.reachedAt.IsZero() && !e.hasSuperseded
		if open && e.wanted && !e.asking && !now.Before(e.askAt) {
			e.asking = true
			ids = append(ids, id)
		}
	}
	return ids
}

// Asked records that a question was answered or failed.
func (t *Table) Asked(now time.Time, id string) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.asking = false
	e.askAt = now.Add(e.backoff)
	e.backoff = min(2*e.backoff, maxAskBackoff)
}

// Postpone records that a question was not asked. It stays due.
func (t *Table) Postpone(id string) {
	if e := t.endpoints[id]; e != nil {
		e.asking = false
	}
}

// Evict deletes the endpoints for which keep returns false.
func (t *Table) Evict(keep func(id string) bool) {
	for id, e := range t.endpoints {
		if !keep(id) {
			t.confirm(e)
			delete(t.endpoints, id)
		}
	}
}
