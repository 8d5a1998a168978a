package slots

import (
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// reports tracks what the current owner has acknowledged.
type reports struct {
	sequence uint64
	// acknowledged is the logical time up to which the owner knows all changes.
	acknowledged uint64
	// moved is the logical time up to which the owner knows which requests run.
	moved uint64
	// full is set once the owner has acknowledged a report with all counters.
	full bool
	// last describes the latest report.
	last struct {
		sequence uint64
		cut      uint64
		full     bool
		brief    bool
	}
	virtualTime uint64
}

// reset forgets what an earlier owner acknowledged. The sequence continues.
func (r *reports) reset() {
	r.acknowledged = 0
	r.moved = 0
	r.full = false
	r.last.sequence = 0
}

// BuildReport returns the next report for the owner at address, without the
// fields that the table doesn't know: sender, endpoint, service, fencing number
// and start time. It renews the lease of every token that it lists, and
// replaces tokens that have lapsed. It lists the counters that changed, or all
// of them if full is set or if this owner has not acknowledged a full report.
func (t *Table) BuildReport(now time.Time, owner string, full bool) *fleetpb.ReportRequest {
	return t.build(now, owner, full, false)
}

// BuildBrief is like BuildReport, but lists only the counters of teams whose
// requests were accepted or ended, so that its size doesn't depend on the
// number of running requests.
func (t *Table) BuildBrief(now time.Time, owner string) *fleetpb.ReportRequest {
	return t.build(now, owner, false, true)
}

func (t *Table) build(now time.Time, owner string, full, brief bool) *fleetpb.ReportRequest {
	t.SetOwner(owner)
	t.replaceLapsed(now)
	full = full || !t.reports.full
	brief = brief && !full
	t.reports.sequence++
	t.reports.last.sequence = t.reports.sequence
	t.reports.last.cut = t.counters.clock
	t.reports.last.full = full
	t.reports.last.brief = brief
	out := &fleetpb.ReportRequest{
		Sequence:    t.reports.sequence,
		Running:     uint32(len(t.held)),
		Counters:    t.listCounters(t.listed(full, brief)),
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

func (t *Table) replaceLapsed(now time.Time) {
	t.free = slices.DeleteFunc(t.free, func(f token) bool {
		return f.owner != t.owner || (!f.offered.IsZero() && now.Sub(f.offered) > Lease)
	})
	t.fill()
}

// listed returns the teams that a report lists, the latest change first.
func (t *Table) listed(full, brief bool) []*team {
	since := t.reports.acknowledged
	if brief {
		since = t.reports.moved
	}
	var out []*team
	for e := t.counters.byChange.Back(); e != nil; e = e.Prev() {
		c := e.Value.(*team)
		if !full && c.stamp <= since {
			break
		}
		if !brief || c.moved > since {
			out = append(out, c)
		}
	}
	return out
}

func (t *Table) listCounters(teams []*team) []*fleetpb.TeamCounter {
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

// outstanding returns, by team, the part of the hints that isn't metered yet,
// divided by weight, in millionths. Owners count no larger part of a hint.
func (t *Table) outstanding() map[*team]uint64 {
	out := map[*team]uint64{}
	for _, r := range t.held {
		if hint := min(r.hint, fairqueue.MaxCountedHint); hint > r.metered {
			out[r.team] += (hint - r.metered) * Millionths / r.weight
		}
	}
	return out
}

// Acknowledge notes that the owner has taken the report with this sequence.
// Anything but the latest report is ignored.
func (t *Table) Acknowledge(sequence uint64) {
	last := &t.reports.last
	if sequence == 0 || sequence != last.sequence {
		return
	}
	t.reports.moved = max(t.reports.moved, last.cut)
	if !last.brief {
		t.reports.acknowledged = max(t.reports.acknowledged, last.cut)
	}
	t.reports.full = t.reports.full || last.full
}

// Merge keeps the largest bases and the largest virtual time that owners have
// sent. A base of an unknown team is dropped when the table is full.
func (t *Table) Merge(bases []*fleetpb.TeamBase, virtualTime uint64) {
	t.reports.virtualTime = max(t.reports.virtualTime, virtualTime)
	for _, b := range bases {
		_, known := t.counters.teams[b.Team]
		if !known && len(t.counters.teams) >= t.counters.limit {
			continue
		}
		c := t.counters.get(b.Team, t.reports.acknowledged)
		c.base = max(c.base, b.Base)
	}
}
