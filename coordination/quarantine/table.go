package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// clearedFor is how long a part counts as sound after a request with it was served.
	clearedFor = 10 * time.Second
	// confirmTimeout is how long an interrupted attempt waits for evidence that its
	// engine is down. Without it, only the connection broke.
	confirmTimeout = 2 * time.Second
	// minCrashes is the number of crashes from which a set of suspects is quarantined,
	// minCommonCrashes that for a set that is only the common part of several sets.
	minCrashes       = 2
	minCommonCrashes = 3
	// minSpan and minQueuedSpan are the shortest times between the first and the last of
	// these crashes. Engines that crash at the same moment have a common cause other
	// than their requests. minQueuedSpan applies if no response had begun: such a
	// request may only have waited beside the one that crashed the engine.
	minSpan       = 100 * time.Millisecond
	minQueuedSpan = 2 * time.Second
	// initialPeriod and maxPeriod bound how long a set is quarantined after its latest
	// crash. The period doubles with each crash.
	initialPeriod = time.Minute
	maxPeriod     = 30 * time.Minute
	// maxJitter lengthens the period by a random fraction in each router, so that the
	// first request after it is a trial by one router.
	maxJitter = 0.5
	// trialTime is how long a router waits for the result of a trial before it lets
	// another request through.
	trialTime = 5 * time.Second
	// maxInterrupted bounds the interrupted attempts that are kept, maxPending those
	// that are not confirmed, and maxServed the served parts.
	maxInterrupted = 128
	maxPending     = 512
	maxServed      = 8192
	// maxNews bounds the interrupted attempts in one report to peers.
	maxNews = 512
	// involvedFor is how long after a crash peers are told that parts of its requests
	// are sound. maxInvolved bounds their number.
	involvedFor = time.Minute
	maxInvolved = 256
)

// Interrupted is an attempt that was interrupted by the crash of its engine.
type Interrupted struct {
	// Crash identifies the incarnation of the engine that crashed.
	Crash uint32
	At    time.Time
	// Responding is set if the engine had begun the response. Otherwise the request may
	// still have been queued.
	Responding bool
	// Begun is set if an event was received, so that the attempt is judged among the begun responses only.
	// Lasted is the time since that event.
	Begun  bool
	Lasted time.Duration
	// Parts holds the IDs of the request's shared parts.
	Parts []uint64
	// Request is the fingerprint of the whole request, or 0 if it is unknown. Repetitions
	// of a request have the same one.
	Request uint64
}

// pending is an interrupted attempt whose endpoint isn't known to be down yet.
type pending struct {
	Interrupted
	endpoint uint32
}

// set is a quarantined set of parts. A request is refused if it contains all of them.
type set struct {
	parts []uint64
	quarantine
}

// Table holds the interrupted attempts and the sets in quarantine. It is not safe for
// concurrent use.
type Table struct {
	interrupted []Interrupted
	pending     []pending
	// served holds the time of the latest served request by part, involved the time of the
	// latest crash by part of the interrupted attempts.
	served   map[uint64]time.Time
	involved map[uint64]time.Time
	sets     []set
	// suspected holds the parts and fingerprints that were suspects of an interrupted attempt when
	// the sets were last derived.
	suspected map[uint64]struct{}
	// requests holds the quarantined requests by fingerprint.
	requests map[uint64]*quarantine
	// recent holds the fingerprints of requests that were answered lately.
	recent recentRequests
	jitter float64
	// runs judges the responses that crashes broke off.
	runs runs
	// latest is the latest time that a call named.
	latest time.Time
	// news holds the observations that peers haven't been told.
	news Facts
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		served: map[uint64]time.Time{}, involved: map[uint64]time.Time{}, requests: map[uint64]*quarantine{},
		jitter: maxJitter * rand.Float64(), runs: newRuns(),
	}
}

// AddInterrupted records an attempt whose connection to the endpoint with this hash broke.
// down reports whether the endpoint is known to be down; otherwise the attempt counts once
// EndpointDown is called for it, and check is true for the first one at an endpoint.
func (t *Table) AddInterrupted(i Interrupted, endpoint uint32, down bool) (check bool) {
	if len(i.Parts) == 0 && i.Request == 0 {
		return false
	}
	t.noteTime(i.At)
	if down {
		if t.add(i) {
			t.update()
		}
		return false
	}
	t.pending = slices.DeleteFunc(t.pending, func(p pending) bool { return i.At.Sub(p.At) > confirmTimeout })
	check = !slices.ContainsFunc(t.pending, func(p pending) bool { return p.endpoint == endpoint })
	if len(t.pending) >= maxPending {
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, pending{Interrupted: i, endpoint: endpoint})
	return check
}

// EndpointDown confirms the interrupted attempts at the endpoint with this hash.
func (t *Table) EndpointDown(now time.Time, endpoint uint32) {
	if len(t.pending) == 0 {
		return
	}
	kept, changed := t.pending[:0], false
	for _, p := range t.pending {
		switch {
		case now.Sub(p.At) > confirmTimeout:
		case p.endpoint == endpoint:
			changed = t.add(p.Interrupted) || changed
		default:
			kept = append(kept, p)
		}
	}
	t.pending = kept
	if changed {
		t.update()
	}
}

// noteTime keeps the latest time that a call named, for facts of peers, which name none.
func (t *Table) noteTime(now time.Time) {
	if now.After(t.latest) {
		t.latest = now
	}
}

// add adds an interrupted attempt and reports whether that may change the sets.
func (t *Table) add(i Interrupted) (changed bool) {
	changedRuns := t.addRun(&i)
	changed = !i.Begun && t.merge(i)
	if changedRuns && !changed {
		// Peers need only what is suspected.
		i.Begun, i.Parts, i.Request = true, t.runSuspects(&i), 0
	}
	if (changed || changedRuns) && len(t.news.Interrupted) < maxNews {
		t.news.Interrupted = append(t.news.Interrupted, i)
	}
	return changed
}

// merge adds an interrupted attempt that has suspects and reports whether that may change
// the sets. Of the attempts with parts in one crash, those whose response had not begun count
// only if no other's had: engines begin the response when they begin to run a prompt.
func (t *Table) merge(i Interrupted) bool {
	t.recordInvolved(&i)
	if !t.hasSuspects(&i) {
		return false
	}
	hasParts := len(i.Parts) > 0
	sameEngine := func(k Interrupted) bool { return k.Crash == i.Crash && hasParts && len(k.Parts) > 0 }
	if !i.Responding && slices.ContainsFunc(t.interrupted, func(k Interrupted) bool { return sameEngine(k) && k.Responding }) {
		return false
	}
	if i.Responding {
		t.interrupted = slices.DeleteFunc(t.interrupted, func(k Interrupted) bool { return sameEngine(k) && !k.Responding })
	}
	at := slices.IndexFunc(t.interrupted, func(k Interrupted) bool {
		return k.Crash == i.Crash && k.Request == i.Request && slices.Equal(k.Parts, i.Parts)
	})
	if at >= 0 {
		known := &t.interrupted[at]
		earlier := i.At.Before(known.At)
		if earlier {
			known.At = i.At
		}
		return earlier
	}
	if len(t.interrupted) >= maxInterrupted {
		t.dropOldest()
	}
	t.interrupted = append(t.interrupted, i)
	return true
}

func (t *Table) recordInvolved(i *Interrupted) {
	for _, p := range i.ids() {
		at, ok := t.involved[p]
		if i.At.After(at) && (ok || len(t.involved) < maxInvolved) {
			t.involved[p] = i.At
		}
	}
}

// ids returns the IDs of the parts and the fingerprint of the request.
func (i *Interrupted) ids() []uint64 {
	if i.Request == 0 {
		return i.Parts
	}
	return append(slices.Clone(i.Parts), i.Request)
}

func (t *Table) dropOldest() {
	oldest := 0
	for n := range t.interrupted {
		if t.interrupted[n].At.Before(t.interrupted[oldest].At) {
			oldest = n
		}
	}
	t.interrupted = slices.Delete(t.interrupted, oldest, oldest+1)
}

// hasSuspects reports whether an interrupted attempt has a part that isn't cleared, or the
// request itself isn't.
func (t *Table) hasSuspects(i *Interrupted) bool {
	return slices.ContainsFunc(i.ids(), func(p uint64) bool { return !t.cleared(p, i.At) })
}

// Served records that an engine produced an event for a request with these parts, which
// clears them.
func (t *Table) Served(now time.Time, parts []uint64) {
	t.noteTime(now)
	if len(t.served) > maxServed {
		t.evictServed(now)
	}
	cleared := false
	for _, p := range parts {
		if t.isSuspected(p) && len(t.news.Served) < maxInvolved {
			t.news.Served = append(t.news.Served, ServedPart{Part: p, At: now})
			cleared = true
		}
		t.served[p] = now
	}
	if cleared {
		t.update()
	}
}

// Answered records that an endpoint answered the request with this fingerprint completely,
// so that it doesn't crash endpoints.
func (t *Table) Answered(now time.Time, request uint64) {
	t.recent.add(now, request)
	if _, ok := t.involved[request]; ok {
		t.Served(now, []uint64{request})
	}
	if t.IsRunSuspect([]uint64{request}) {
		t.Ran(now, []uint64{request}, Completed)
	}
}

// evictServed deletes the parts that no longer count as sound, except those that were
// cleared after a crash.
func (t *Table) evictServed(now time.Time) {
	for p, at := range t.served {
		if _, ok := t.involved[p]; !ok && now.Sub(at) > clearedFor {
			delete(t.served, p)
		}
	}
	if len(t.served) > maxServed {
		clear(t.served)
	}
}

// isSuspected reports whether a part, or a request, is a suspect of an interrupted attempt.
func (t *Table) isSuspected(id uint64) bool {
	_, ok := t.suspected[id]
	return ok
}

// cleared reports whether a part counts as sound for a crash at this time.
func (t *Table) cleared(part uint64, crash time.Time) bool {
	return crash.Before(t.soundUntil(part))
}

// soundUntil returns the time before which crashes don't make a part a suspect.
func (t *Table) soundUntil(part uint64) time.Time {
	at, ok := t.servedAt(part)
	if !ok {
		return time.Time{}
	}
	return at.Add(clearedFor)
}

// servedAt returns the time of the latest served request with a part, or of the latest
// answer to the request with this fingerprint.
func (t *Table) servedAt(id uint64) (at time.Time, ok bool) {
	if at, ok = t.served[id]; ok {
		return at, true
	}
	return t.recent.lookup(id)
}

// Refuse reports whether a request with these parts and this fingerprint must be refused,
// and until when. After a quarantine has ended, it lets one request at a time through. The
// fingerprint is 0 if it is unknown.
func (t *Table) Refuse(now time.Time, parts []uint64, request uint64) (until time.Time, refuse bool) {
	return t.firstRefusal(parts, request, func(q *quarantine) (time.Time, bool) { return q.refuse(now) })
}

// firstRefusal asks the quarantines of the sets that the parts contain, and then that of the request, until
// one refuses.
func (t *Table) firstRefusal(parts []uint64, request uint64, refuse func(q *quarantine) (until time.Time, refuse bool)) (time.Time, bool) {
	for i := range t.sets {
		if !containsAll(parts, t.sets[i].parts) {
			continue
		}
		if until, refused := refuse(&t.sets[i].quarantine); refused {
			return until, true
		}
	}
	if q := t.requests[request]; q != nil {
		if until, refused := refuse(q); refused {
			return until, true
		}
	}
	return t.runs.firstRefusal(parts, request, refuse)
}

// Contains reports whether a request with these parts contains a set that is in
// quarantine, or is itself. Unlike Refuse, it allows no trial.
func (t *Table) Contains(now time.Time, parts []uint64, request uint64) bool {
	if q := t.requests[request]; q != nil && now.Before(q.until) {
		return true
	}
	if slices.ContainsFunc(t.sets, func(s set) bool { return now.Before(s.until) && containsAll(parts, s.parts) }) {
		return true
	}
	_, refuse := t.runs.firstRefusal(parts, request, func(q *quarantine) (time.Time, bool) { return q.until, now.Before(q.until) })
	return refuse
}

func containsAll(parts, subset []uint64) bool {
	for _, p := range subset {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// Quarantined returns the number of quarantined sets of parts and requests.
func (t *Table) Quarantined() int {
	return len(t.sets) + len(t.requests) + len(t.runs.quarantined)
}

// Expire deletes interrupted attempts whose quarantine has ended long ago, and the parts
// that aren't needed to judge the others.
func (t *Table) Expire(now time.Time) {
	t.noteTime(now)
	t.expireRuns(now)
	before := len(t.interrupted)
	t.interrupted = slices.DeleteFunc(t.interrupted, func(i Interrupted) bool { return now.Sub(i.At) > 2*maxPeriod })
	if len(t.interrupted) != before {
		t.update()
	}
	for p, at := range t.involved {
		if now.Sub(at) > involvedFor && !slices.ContainsFunc(t.interrupted, func(i Interrupted) bool { return slices.Contains(i.ids(), p) }) {
			delete(t.involved, p)
		}
	}
}
