package warmup

import (
	"slices"
	"time"
)

const (
	// startDelay is the time after its start in which a router is not a member: it doesn't know its peers
	// yet, and its previous process may have sent its requests of the present second.
	startDelay = 2 * time.Second
	// settleTime is how long a router must have been a member before it sends, and in which the routers
	// whose place it takes stop. It covers the window and the differences between the views of routers.
	settleTime = window + 20*time.Millisecond
	// splitMemory is how long a router that hears fewer than half of its peers uses the peers that it
	// knew before. After that, the fleet is taken to have shrunk. Crashed hosts are back within a minute.
	splitMemory = 10 * time.Minute
	// minSplitPeers is the number of peers from which a fleet can split into more than maxSets parts.
	minSplitPeers = 2
)

// Fleet is a router's view of the fleet. Addresses are those at which routers reach each other.
type Fleet struct {
	Self string
	// Candidates are the routers in the load balancer's rotation that are heard now, with Self if it is
	// in rotation.
	Candidates []string
	// Heard is the number of peers that are heard now.
	Heard int
	// Known are the peers that were heard in the last 30 s and haven't said that they leave.
	Known []string
	// Unheard are the peers that became known in the last 30 s and were never heard.
	Unheard []string
}

// view is the candidates that were used from a time on.
type view struct {
	from       time.Time
	candidates []string
}

// SetFleet records the present view of the fleet. The first call is at the start of the router.
func (t *Table) SetFleet(now time.Time, f Fleet) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	t.self = f.Self
	candidates := t.candidates(now, f)
	slices.Sort(candidates)
	t.dropViews(now)
	if n := len(t.views); n > 0 && slices.Equal(t.views[n-1].candidates, candidates) {
		return
	}
	t.views = append(t.views, view{from: now, candidates: candidates})
	for _, s := range t.endpoints {
		s.addShare(t, candidates)
	}
}

// candidates returns the routers from which members are chosen.
func (t *Table) candidates(now time.Time, f Fleet) []string {
	if !t.cutOff(now, f) {
		t.cutOffSince = time.Time{}
		t.known = slices.Clone(f.Known)
		return slices.Clone(f.Candidates)
	}
	if t.cutOffSince.IsZero() {
		t.cutOffSince = now
	}
	t.known = union(t.known, f.Known)
	return union(union(t.known, f.Unheard), []string{f.Self})
}

// cutOff reports whether this router hears fewer than half of the peers that it knew. It may be cut
// off then, and many others, too: each of them would take itself for a member.
func (t *Table) cutOff(now time.Time, f Fleet) bool {
	if !t.cutOffSince.IsZero() && now.Sub(t.cutOffSince) >= splitMemory {
		t.known = f.Known
	}
	known := len(union(union(t.known, f.Known), f.Unheard))
	return known >= minSplitPeers && 2*f.Heard < known
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// dropViews drops the views that ended before the settle time.
func (t *Table) dropViews(now time.Time) {
	for len(t.views) > 1 && now.Sub(t.views[1].from) >= settleTime {
		t.views = slices.Delete(t.views, 0, 1)
		for _, s := range t.endpoints {
			s.shares = slices.Delete(s.shares, 0, 1)
			s.setShare()
		}
	}
}

// ready reports whether this router has known its peers for long enough.
func (t *Table) ready(now time.Time) bool {
	return len(t.views) > 0 && now.Sub(t.startedAt) >= startDelay
}
