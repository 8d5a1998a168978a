package slots

import (
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// reportState tracks which changes the current owner has acknowledged.
type reportState struct {
	sequence uint64
	// acknowledged is the logical time up to which the owner has acknowledged
	// all changes.
	acknowledged uint64
	// acknowledgedRequests is the logical time up to which the owner has
	// acknowledged the start and end of requests.
	acknowledgedRequests uint64
	// full is set once the owner has acknowledged a report with all counters.
	full bool
	// latest describes the latest report. Its clock is the logical time at which it
	// was built.
	latest struct {
		sequence uint64
		clock    uint64
		full     bool
		brief    bool
	}
	virtualTime uint64
}

// reset clears the acknowledgements of an earlier owner. The sequence continues.
func (r *reportState) reset() {
	r.acknowledged = 0
	r.acknowledgedRequests = 0
	r.full = false
	r.latest.sequence = 0
}

// BuildReport returns the next report for the queue owner at address owner. The
// caller sets the remaining fields: sender, endpoint, service, fencing number
// and start time. The report renews the lease of every token that it lists, and
// expired tokens are replaced. It lists the counters that changed, or all of
// them if full is set or if this owner has not acknowledged a full report.
func (t *Table) BuildReport(now time.Time, owner string, full bool) *fleetpb.ReportRequest {
	return t.newReport(now, owner, full, false)
}

// BuildBriefReport is like BuildReport, but lists only the counters of teams with
// newly accepted or ended requests, so that its size doesn't depend on the
// number of running requests.
func (t *Table) BuildBriefReport(now time.Time, owner string) *fleetpb.ReportRequest {
	return t.newReport(now, owner, false, true)
}

func (t *Table) newReport(now time.Time, owner string, full, brief bool) *fleetpb.ReportRequest {
	t.SetOwner(owner)
	t.replaceExpiredTokens(now)
	full = full || !t.reports.full
	brief = brief && !full
	t.reports.sequence++
	t.reports.latest.sequence = t.reports.sequence
	t.reports.latest.clock = t.counters.clock
	t.reports.latest.full = full
	t.reports.latest.brief = brief
	out := &fleetpb.ReportRequest{
		Sequence:    t.reports.sequence,
		Running:     uint32(len(t.inProgress)),
		Counters:    t.countersToProto(t.countersToReport(full, brief)),
		Full:        full,
		Draining:    t.Draining(),
		Capacity:    uint32(t.Capacity()),
		VirtualTime: t.reports.virtualTime,
	}
	for i := range t.free {
		t.free[i].offered = now
		out.FreeTokens = append(out.FreeTokens, t.free[i].number)
	}
	return out
}

func (t *Table) replaceExpiredTokens(now time.Time) {
	t.free = slices.DeleteFunc(t.free, func(f token) bool {
		return f.owner != t.owner || (!f.offered.IsZero() && now.Sub(f.offered) > Lease)
	})
	t.adjustFreeTokens()
}

// countersToReport returns the counters that a report lists, latest change first.
func (t *Table) countersToReport(full, brief bool) []*teamCounter {
	since := t.reports.acknowledged
	if brief {
		since = t.reports.acknowledgedRequests
	}
	var out []*teamCounter
	for e := t.counters.byChange.Back(); e != nil; e = e.Prev() {
		c := e.Value.(*teamCounter)
		if !full && c.changedAt <= since {
			break
		}
		if !brief || c.requestsChangedAt > since {
			out = append(out, c)
		}
	}
	return out
}

func (t *Table) countersToProto(teams []*teamCounter) []*fleetpb.TeamCounter {
	outstanding := t.outstanding()
	out := make([]*fleetpb.TeamCounter, 0, len(teams))
	for _, c := range teams {
		out = append(out, &fleetpb.TeamCounter{
			Team:        c.name,
			Cost:        c.cost,
			Normalized:  c.normalized,
			Base:        c.base,
			Finished:    c.finished,
			Failed:      c.failed,
			Outstanding: outstanding[c],
			Running:     uint32(c.running),
		})
	}
	return out
}

// outstanding returns, by team, the sum of the hints minus the cost already
// charged, divided by weight, in millionths. Hints are capped at
// fairqueue.MaxCountedHint, since owners count no more of a hint.
func (t *Table) outstanding() map[*teamCounter]uint64 {
	out := map[*teamCounter]uint64{}
	for _, r := range t.inProgress {
		if hint := min(r.hint, fairqueue.MaxCountedHint); hint > r.metered {
			out[r.counter] += (hint - r.metered) * NormalizedScale / r.weight
		}
	}
	return out
}

// Acknowledge records that the owner has processed the report with this
// sequence. Any sequence other than that of the latest report is ignored.
func (t *Table) Acknowledge(sequence uint64) {
	latest := &t.reports.latest
	if sequence == 0 || sequence != latest.sequence {
		return
	}
	t.reports.acknowledgedRequests = max(t.reports.acknowledgedRequests, latest.clock)
	if !latest.brief {
		t.reports.acknowledged = max(t.reports.acknowledged, latest.clock)
	}
	t.reports.full = t.reports.full || latest.full
}

// MergeBases keeps the maximum of each base and of the virtual time that owners have
// sent. The base of a team without a counter is ignored when the table is full.
func (t *Table) MergeBases(bases []*fleetpb.TeamBase, virtualTime uint64) {
	t.reports.virtualTime = max(t.reports.virtualTime, virtualTime)
	for _, b := range bases {
		_, exists := t.counters.teams[b.Team]
		if !exists && len(t.counters.teams) >= t.counters.limit {
			continue
		}
		c := t.counters.get(b.Team, t.reports.acknowledged)
		c.base = max(c.base, b.Base)
	}
}
