package slots

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// Lease is how long a token is valid after the latest report that listed it.
	Lease = 2 * time.Second
	// MaxSlots is the maximum number of slots, and also of prefetched requests,
	// of an endpoint. Queue owners accept at most 4,096 tokens and requests in
	// one report.
	MaxSlots = 2_048
	// MaxAttemptHistory is the number of accepted attempts that are remembered to
	// detect duplicates. At 1,000 requests per second it covers 16 s, longer than
	// a duplicate of a message can be in transit.
	MaxAttemptHistory = 16_384
)

// StopReasons is a bit set of reasons for which an agent offers no tokens.
type StopReasons uint8

// The reasons for which an agent offers no tokens.
const (
	// StopStarting is set until the agent is ready to serve requests.
	StopStarting StopReasons = 1 << iota
	// StopShutdown is set when the process shuts down.
	StopShutdown
	// StopObject is set while the endpoint's configuration object is missing or
	// marked as draining.
	StopObject
	// StopHost is set while the host list marks the host as leaving.
	StopHost
	// StopSuperseded is set while a queue owner reports a later instance.
	StopSuperseded
	// StopFenced is set once the endpoint has refused the fencing number.
	StopFenced
	// StopUnreachable is set while the endpoint accepts no connections.
	StopUnreachable
	// StopMoving is set while the endpoint moves to another service.
	StopMoving
)

const (
	stopDraining   = StopShutdown | StopObject | StopHost
	stopSuperseded = StopSuperseded | StopFenced
)

// TokenName returns the name of a token of an agent instance.
func TokenName(instance string, number uint64) string {
	return instance + "-" + strconv.FormatUint(number, 10)
}

// token is a free token. offered is the time of the latest report that listed
// it, or zero if none has.
type token struct {
	number  uint64
	name    string
	owner   string
	offered time.Time
}

type request struct {
	id       string
	attempt  uint32
	token    string
	counter  *teamCounter
	weight   uint64
	hint     uint64
	metered  uint64
	accepted time.Time
	started  bool
}

type acceptedAttempt struct {
	id      string
	attempt uint32
}

// Table is the state of one agent instance.
type Table struct {
	instance     string
	startTimeout time.Duration
	slots        int
	prefetch     int
	stopReasons  StopReasons
	owner        string

	nextToken uint64
	free      []token
	// waiting holds accepted requests that have not started, in order of acceptance.
	waiting    []*request
	inProgress map[string]*request
	started    int
	// attempts holds the highest accepted attempt of the requests in history.
	attempts map[string]uint32
	history  []acceptedAttempt

	counters counters
	reports  reportState
}

// Params configures a Table.
type Params struct {
	// Instance identifies the agent instance. It is part of every token's name.
	Instance string
	// StartTimeout is the maximum time between acceptance and start of a request.
	StartTimeout time.Duration
	// MaxTeams is the maximum number of team counters; 0 means the constant MaxTeams.
	MaxTeams int
}

// New returns a table without capacity. It offers no tokens until StopStarting
// is cleared.
func New(p Params) *Table {
	if p.MaxTeams == 0 {
		p.MaxTeams = MaxTeams
	}
	return &Table{
		instance:     p.Instance,
		startTimeout: p.StartTimeout,
		stopReasons:  StopStarting,
		inProgress:   map[string]*request{},
		attempts:     map[string]uint32{},
		counters:     newCounters(p.MaxTeams),
	}
}

// ContinueTokenNumbers makes token numbers continue after those of an earlier table of
// the same instance, so that no token name is used twice.
func (t *Table) ContinueTokenNumbers(earlier *Table) {
	t.nextToken = max(t.nextToken, earlier.nextToken)
}

// Resize sets the number of slots and of prefetched requests. Accepted requests
// are kept; surplus free tokens are cancelled.
func (t *Table) Resize(slots, prefetch uint32) {
	t.slots = int(min(slots, MaxSlots))
	t.prefetch = int(min(prefetch, MaxSlots))
	t.adjustFreeTokens()
}

// Size returns the number of slots and of prefetched requests.
func (t *Table) Size() (slots, prefetch uint32) { return uint32(t.slots), uint32(t.prefetch) }

// SetOwner binds new tokens to the queue owner at address and cancels the free
// tokens of any other owner.
func (t *Table) SetOwner(address string) {
	if address == t.owner {
		return
	}
	t.owner = address
	t.free = t.free[:0]
	t.reports.reset()
	t.adjustFreeTokens()
}

// Owner returns the address of the queue owner.
func (t *Table) Owner() string { return t.owner }

// Stop adds reasons to offer no tokens and cancels the free tokens.
func (t *Table) Stop(reasons StopReasons) {
	t.stopReasons |= reasons
	t.adjustFreeTokens()
}

// Resume removes reasons to offer no tokens. Tokens are offered again once no
// reason is left.
func (t *Table) Resume(reasons StopReasons) {
	t.stopReasons &^= reasons
	t.adjustFreeTokens()
}

// StopReasons returns the reasons to offer no tokens, or 0 if there are none.
func (t *Table) StopReasons() StopReasons { return t.stopReasons }

// Draining reports whether the agent accepts no new requests because it is
// leaving or has been superseded.
func (t *Table) Draining() bool { return t.stopReasons&(stopDraining|stopSuperseded) != 0 }

// InProgress returns the number of accepted requests that have not ended.
func (t *Table) InProgress() int { return len(t.inProgress) }

// Started returns the number of requests that occupy a slot.
func (t *Table) Started() int { return t.started }

// Free returns the number of free tokens.
func (t *Table) Free() int { return len(t.free) }

// Capacity returns the slots plus the prefetch.
func (t *Table) Capacity() int { return t.slots + t.prefetch }

// adjustFreeTokens adds or cancels free tokens so that their number equals the
// remaining capacity, or 0 while there is a reason to offer none.
func (t *Table) adjustFreeTokens() {
	if t.stopReasons != 0 {
		t.free = t.free[:0]
		return
	}
	remaining := max(t.Capacity()-len(t.inProgress), 0)
	if len(t.free) > remaining {
		t.free = t.free[:remaining]
	}
	for len(t.free) < remaining {
		t.nextToken++
		t.free = append(t.free, token{
			number: t.nextToken,
			name:   TokenName(t.instance, t.nextToken),
			owner:  t.owner,
		})
	}
}

// AcceptParams describes an attempt of a request that presents a token.
type AcceptParams struct {
	Token   string
	Request string
	Attempt uint32
	Team    string
	Weight  uint64
	Hint    uint64
}

// Accept accepts a request that presents a valid token. It returns a *Refusal
// if the request can't be accepted.
func (t *Table) Accept(now time.Time, a AcceptParams) error {
	if reason := t.refusalReason(now, a); reason != "" {
		return &Refusal{Reason: reason, Request: a.Request}
	}
	counter := t.counters.get(a.Team, t.reports.acknowledged)
	if counter == nil {
		return &Refusal{Reason: TooManyTeams, Request: a.Request}
	}
	t.free = slices.DeleteFunc(t.free, func(f token) bool { return f.name == a.Token })
	t.counters.accept(counter)
	r := &request{
		id:       a.Request,
		attempt:  a.Attempt,
		token:    a.Token,
		counter:  counter,
		weight:   max(a.Weight, 1),
		hint:     min(a.Hint, MaxCost),
		accepted: now,
	}
	t.inProgress[r.id] = r
	t.waiting = append(t.waiting, r)
	t.recordAttempt(r)
	return nil
}

// refusalReason returns why the request can't be accepted, or "". It checks for
// duplicates first: the token of a duplicate was already used, and SpentToken would
// wrongly indicate to the router that the attempt did not run.
func (t *Table) refusalReason(now time.Time, a AcceptParams) Reason {
	if a.Attempt <= t.attempts[a.Request] {
		return Duplicate
	}
	if _, ok := t.inProgress[a.Request]; ok {
		return InProgress
	}
	if reason := t.stopRefusal(); reason != "" {
		return reason
	}
	return t.checkToken(now, a.Token)
}

func (t *Table) stopRefusal() Reason {
	switch {
	case t.stopReasons&stopSuperseded != 0:
		return Superseded
	case t.stopReasons&stopDraining != 0:
		return Draining
	case t.stopReasons != 0:
		return NotReady
	}
	return ""
}

// checkToken returns why a token can't be used, or "". It replaces an expired token.
func (t *Table) checkToken(now time.Time, name string) Reason {
	i := slices.IndexFunc(t.free, func(f token) bool { return f.name == name })
	if i < 0 {
		return t.missingTokenReason(name)
	}
	f := t.free[i]
	if f.offered.IsZero() {
		return UnknownToken
	}
	if now.Sub(f.offered) > Lease {
		t.free = slices.Delete(t.free, i, i+1)
		t.adjustFreeTokens()
		return LapsedToken
	}
	return ""
}

// missingTokenReason returns SpentToken for a token that this instance has
// created and UnknownToken for any other.
func (t *Table) missingTokenReason(name string) Reason {
	number, ok := strings.CutPrefix(name, t.instance+"-")
	if !ok {
		return UnknownToken
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || n == 0 || n > t.nextToken {
		return UnknownToken
	}
	return SpentToken
}

func (t *Table) recordAttempt(r *request) {
	t.attempts[r.id] = r.attempt
	t.history = append(t.history, acceptedAttempt{r.id, r.attempt})
	for len(t.history) > MaxAttemptHistory {
		oldest := t.history[0]
		t.history = t.history[1:]
		if t.attempts[oldest.id] == oldest.attempt {
			delete(t.attempts, oldest.id)
		}
	}
}

// TryStart reports whether the request may be sent to the endpoint now, and
// marks it as started if so. It returns false while the request must wait for a
// slot. It returns a *Refusal if the request must not start; the request has
// then ended.
func (t *Table) TryStart(now time.Time, id string) (bool, error) {
	r, ok := t.inProgress[id]
	if !ok {
		return false, &Refusal{Reason: NotAccepted, Request: id}
	}
	if r.started {
		return true, nil
	}
	if reason := t.startRefusal(now, r); reason != "" {
		t.Finish(id, NotRun)
		return false, &Refusal{Reason: reason, Request: id}
	}
	if t.started >= t.slots || t.waiting[0] != r {
		return false, nil
	}
	t.waiting = t.waiting[1:]
	r.started = true
	t.started++
	return true, nil
}

func (t *Table) startRefusal(now time.Time, r *request) Reason {
	if reason := t.stopRefusal(); reason != "" && reason != NotReady {
		return reason
	}
	if now.After(t.StartDeadline(r.id)) {
		return StartTimeout
	}
	return ""
}

// StartDeadline returns the latest time at which an accepted request may be
// sent to the endpoint, or the zero time if there is no such request.
func (t *Table) StartDeadline(id string) time.Time {
	r, ok := t.inProgress[id]
	if !ok {
		return time.Time{}
	}
	return r.accepted.Add(t.startTimeout)
}

// Charge adds cost units to a request and to its team's counter. It ignores
// requests that are not in progress.
func (t *Table) Charge(id string, units uint64) {
	r, ok := t.inProgress[id]
	if !ok || units == 0 {
		return
	}
	r.metered = addCost(r.metered, units)
	t.counters.charge(r.counter, r.weight, units)
}

// Metered returns the cost units charged to a request, or 0 if it is not in
// progress.
func (t *Table) Metered(id string) uint64 {
	if r, ok := t.inProgress[id]; ok {
		return r.metered
	}
	return 0
}

// Result is the way a request ended.
type Result int

const (
	// NotRun means that the request was not sent to the endpoint.
	NotRun Result = iota
	// Finished means that the request ended with the endpoint's response or was
	// cancelled by the caller.
	Finished
	// Failed means that the request ended with an error of the endpoint.
	Failed
)

// Finish ends a request and releases its slot or its position in the queue.
func (t *Table) Finish(id string, result Result) {
	r, ok := t.inProgress[id]
	if !ok {
		return
	}
	delete(t.inProgress, id)
	if r.started {
		t.started--
	} else {
		t.waiting = slices.DeleteFunc(t.waiting, func(w *request) bool { return w == r })
	}
	t.counters.finish(r.counter, result)
	t.adjustFreeTokens()
}
