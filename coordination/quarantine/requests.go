package quarantine

import (
	"slices"
	"time"
)

const (
	// minRequestSpan is the shortest time between the first and the last crash for which a
	// repeated request is suspected. A request is at one endpoint at a time, so crashes at
	// the same moment have another cause.
	minRequestSpan = 20 * time.Millisecond
	// minTiedCrashes is the number of crashes from which a request is quarantined although
	// others were interrupted by the same crashes.
	minTiedCrashes = 3
	// maxRecentRequests bounds each half of recentRequests.
	maxRecentRequests = 4096
)

// quarantine is the time for which something is refused.
type quarantine struct {
	until time.Time
	// trialAt is when the latest trial after the quarantine began.
	trialAt time.Time
}

// refuse reports whether a request must be refused, and until when. After the quarantine,
// it lets one request at a time through.
func (q *quarantine) refuse(now time.Time) (until time.Time, refuse bool) {
	if now.Before(q.until) {
		return q.until, true
	}
	if trialEnd := q.trialAt.Add(trialTime); now.Before(trialEnd) {
		return trialEnd, true
	}
	q.trialAt = now
	return time.Time{}, false
}

// requestCrashes holds the time at which each crash that interrupted a request was first
// noticed.
type requestCrashes map[uint32]time.Time

// updateRequests derives the quarantined requests from the suspects. The request that was
// interrupted by the most crashes explains them; the others that they interrupted are
// suspected only for crashes that no quarantined request explains.
func (t *Table) updateRequests(list []suspects) {
	previous := t.requests
	t.requests = map[uint64]*quarantine{}
	crashes := crashesByRequest(list)
	for {
		most, tied := mostCrashes(crashes)
		if most < minCrashes {
			return
		}
		var uncertain []uint64
		for _, request := range tied {
			first, last := timeRange(crashes[request])
			if most < minTiedCrashes && contested(crashes, request, tied) || last.Sub(first) < minRequestSpan {
				uncertain = append(uncertain, request)
				continue
			}
			q := &quarantine{until: last.Add(t.period(most))}
			if p := previous[request]; p != nil {
				q.trialAt = p.trialAt
			}
			t.requests[request] = q
		}
		for request := range t.requests {
			explain(crashes, request)
		}
		for _, request := range uncertain {
			delete(crashes, request)
		}
	}
}

// contested reports whether another of the tied requests was interrupted by the same
// crashes.
func contested(crashes map[uint64]requestCrashes, request uint64, tied []uint64) bool {
	return slices.ContainsFunc(tied, func(other uint64) bool {
		if other == request {
			return false
		}
		for crash := range crashes[request] {
			if _, ok := crashes[other][crash]; !ok {
				return false
			}
		}
		return true
	})
}

func crashesByRequest(list []suspects) map[uint64]requestCrashes {
	crashes := map[uint64]requestCrashes{}
	for _, s := range list {
		if s.request == 0 {
			continue
		}
		if crashes[s.request] == nil {
			crashes[s.request] = requestCrashes{}
		}
		if at, ok := crashes[s.request][s.crash]; !ok || s.at.Before(at) {
			crashes[s.request][s.crash] = s.at
		}
	}
	return crashes
}

// mostCrashes returns the largest number of crashes of a request, and the requests that
// have it.
func mostCrashes(crashes map[uint64]requestCrashes) (most int, tied []uint64) {
	for request, c := range crashes {
		switch {
		case len(c) > most:
			most, tied = len(c), []uint64{request}
		case len(c) == most:
			tied = append(tied, request)
		}
	}
	return most, tied
}

// explain removes a quarantined request and its crashes.
func explain(crashes map[uint64]requestCrashes, request uint64) {
	explained := crashes[request]
	delete(crashes, request)
	for _, c := range crashes {
		for crash := range explained {
			delete(c, crash)
		}
	}
}

// recentRequests remembers the requests of the last clearedFor to twice that time. Its
// halves bound its size: while one is full, further requests are not remembered.
type recentRequests struct {
	since            time.Time
	current, earlier map[uint64]time.Time
}

func (r *recentRequests) add(now time.Time, request uint64) {
	if now.Sub(r.since) >= clearedFor || r.current == nil {
		r.since, r.earlier, r.current = now, r.current, map[uint64]time.Time{}
	}
	if _, ok := r.current[request]; ok || len(r.current) < maxRecentRequests {
		r.current[request] = now
	}
}

func (r *recentRequests) lookup(request uint64) (at time.Time, ok bool) {
	if at, ok = r.current[request]; !ok {
		at, ok = r.earlier[request]
	}
	return at, ok
}
