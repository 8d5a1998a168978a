package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

// reports tracks what the current owner has acknowledged.
type reports struct {
	sequence uint64
	// acknowledged is the logical time up to which the owner knows all changes.
	acknowledged uint64
	// full is set once the owner has acknowledged a report with all counters.
	full bool
	// last describes the latest report.
	last struct {
		sequence uint64
		cut      uint64
		full     bool
	}
	virtualTime uint64
}

// reset forgets what an earlier owner acknowledged. The sequence continues.
func (r *reports) reset() {
	r.acknowledged = 0
	r.full = false
	r.last.sequence = 0
}

// BuildReport returns the next report for the owner at address, without the
// fields that the table doesn't know: sender, endpoint, service, fencing number
// and start time. It renews the lease of every token that it lists, and
// replaces tokens that have lapsed. All counters are listed if full is set or
// if this owner has not acknowledged a full report.
func (t *Table) BuildReport(now time.Time, owner string, full bool) *fleetpb.ReportRequest {
	t.SetOwner(owner)
	t.replaceLapsed(now)
	full = full || !t.reports.full
	t.reports.sequence++
	t.reports.last.sequence = t.reports.sequence
	t.reports.last.cut = t.counters.clock
	t.reports.last.full = full
	out := &fleetpb.ReportRequest{
		Sequence:    t.reports.sequence,
		Running:     t.listRunning(),
		Counters:    t.listCounters(full),
		Full:        full,
		Draining:    t.Draining(),
		Capacity:    uint32(t.Capacity()),
		VirtualTime: t.reports.virtualTime,
	}
	for i := range t.free {
		t.free[i].offered = now
		out.FreeTokens = append(out.FreeTokens, t.free[i].name)
	}
	return out
}

func (t *Table) replaceLapsed(now time.Time) {
	t.free = slices.DeleteFunc(t.free, func(f token) bool {
		return f.owner != t.owner || (!f.offered.IsZero() && now.Sub(f.offered) > Lease)
	})
	t.fill()
}

func (t *Table) listRunning() []*fleetpb.Running {
	out := make([]*fleetpb.Running, 0, len(t.held))
	for _, r := range t.held {
		out = append(out, &fleetpb.Running{
			Request:   r.id,
			Team:      r.team.name,
			SlotToken: r.token,
			Hint:      r.hint,
			Metered:   r.metered,
			Weight:    r.weight,
		})
	}
	slices.SortFunc(out, func(a, b *fleetpb.Running) int { return strings.Compare(a.Request, b.Request) })
	return out
}

func (t *Table) listCounters(full bool) []*fleetpb.TeamCounter {
	var out []*fleetpb.TeamCounter
	for e := t.counters.byChange.Back(); e != nil; e = e.Prev() {
		c := e.Value.(*team)
		if !full && c.stamp <= t.reports.acknowledged {
			break
		}
		out = append(out, &fleetpb.TeamCounter{
			Team:       c.name,
			Cost:       c.cost,
			Normalized: c.normalized,
			Base:       c.base,
			Finished:   c.finished,
			Failed:     c.failed,
		})
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
	t.reports.acknowledged = max(t.reports.acknowledged, last.cut)
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
