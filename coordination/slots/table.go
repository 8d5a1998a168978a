package slots

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// Lease is the time for which a token is valid after the latest report that listed it.
	Lease = 2 * time.Second
	// MaxSlots bounds the slots, and also the prefetch, of an endpoint. Queue
	// owners take at most 4,096 tokens and requests in one report.
	MaxSlots = 2_048
	// MaxSeen bounds the remembered requests. At 1,000 requests per second it
	// covers 16 s, longer than a duplicate of a message can be under way.
	MaxSeen = 16_384
)

// Stop is a set of reasons for which an agent offers no tokens.
type Stop uint8

// The reasons for which an agent offers no tokens.
const (
	// StopStarting is set until the agent has what it needs for work.
	StopStarting Stop = 1 << iota
	// StopShutdown is set when the process ends.
	StopShutdown
	// StopObject is set while the endpoint's object says draining or is missing.
	StopObject
	// StopHost is set while the host list says leaving.
	StopHost
	// StopSuperseded is set while a queue owner knows a later instance.
	StopSuperseded
	// StopFenced is set once the endpoint has refused the fencing number.
	StopFenced
	// StopUnreachable is set while the endpoint takes no connections.
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

// token is a free token. offered is zero until a report lists it.
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
	team     *team
	weight   uint64
	hint     uint64
	metered  uint64
	accepted time.Time
	started  bool
}

type seen struct {
	id      string
	attempt uint32
}

// Table is the state of one agent instance.
type Table struct {
	instance     string
	startTimeout time.Duration
	slots        int
	prefetch     int
	stop         Stop
	owner        string

	nextToken uint64
	free      []token
	// waiting holds accepted requests that have not started, in order of acceptance.
	waiting []*request
	held    map[string]*request
	started int
	// attempts holds the highest accepted attempt of the requests in history.
	attempts map[string]uint32
	history  []seen

	counters counters
	reports  reports
}

// Params are the constants of a table.
type Params struct {
	// Instance is the agent instance. It is part of every token's name.
	Instance string
	// StartTimeout is the longest time between acceptance and start.
	StartTimeout time.Duration
	// MaxTeams bounds the counters; 0 means MaxTeams.
	MaxTeams int
}

// New returns a table without capacity. It offers nothing until StopStarting is cleared.
func New(p Params) *Table {
	if p.MaxTeams == 0 {
		p.MaxTeams = MaxTeams
	}
	return &Table{
		instance:     p.Instance,
		startTimeout: p.StartTimeout,
		stop:         StopStarting,
		held:         map[string]*request{},
		attempts:     map[string]uint32{},
		counters:     newCounters(p.MaxTeams),
	}
}

// ContinueAfter makes the numbers of new tokens start after those of an earlier
// table of the same instance.
func (t *Table) ContinueAfter(earlier *Table) {
	t.nextToken = max(t.nextToken, earlier.nextToken)
}

// Resize sets the number of slots and of prefetched requests. Requests that
// were accepted keep their place; surplus free tokens are cancelled.
func (t *Table) Resize(slots, prefetch uint32) {
	t.slots = int(min(slots, MaxSlots))
	t.prefetch = int(min(prefetch, MaxSlots))
	t.fill()
}

// Size returns the number of slots and of prefetched requests.
func (t *Table) Size() (slots, prefetch uint32) { return uint32(t.slots), uint32(t.prefetch) }

// SetOwner binds new tokens to the queue owner at address and cancels those
// that were offered to another.
func (t *Table) SetOwner(address string) {
	if address == t.owner {
		return
	}
	t.owner = address
	t.free = t.free[:0]
	t.reports.reset()
	t.fill()
}

// Owner returns the address of the queue owner.
func (t *Table) Owner() string { return t.owner }

// Drain adds a reason to offer nothing and cancels the free tokens.
func (t *Table) Drain(why Stop) {
	t.stop |= why
	t.fill()
}

// Resume removes a reason to offer nothing.
func (t *Table) Resume(why Stop) {
	t.stop &^= why
	t.fill()
}

// Stopped returns the reasons to offer nothing.
func (t *Table) Stopped() Stop { return t.stop }

// Draining reports whether the agent takes no new work because it is leaving
// or has been replaced.
func (t *Table) Draining() bool { return t.stop&(stopDraining|stopSuperseded) != 0 }

// Held returns the number of accepted requests that have not ended.
func (t *Table) Held() int { return len(t.held) }

// Started returns the number of requests that occupy a slot.
func (t *Table) Started() int { return t.started }

// Free returns the number of free tokens.
func (t *Table) Free() int { return len(t.free) }

// Capacity returns the slots plus the prefetch.
func (t *Table) Capacity() int { return t.slots + t.prefetch }

// fill makes the number of free tokens fit the capacity that is left.
func (t *Table) fill() {
	if t.stop != 0 {
		t.free = t.free[:0]
		return
	}
	room := max(t.Capacity()-len(t.held), 0)
	if len(t.free) > room {
		t.free = t.free[:room]
	}
	for len(t.free) < room {
		t.nextToken++
		t.free = append(t.free, token{
			number: t.nextToken,
			name:   TokenName(t.instance, t.nextToken),
			owner:  t.owner,
		})
	}
}

// Ask describes a request that presents a token.
type Ask struct {
	Token   string
	Request string
	Attempt uint32
	Team    string
	Weight  uint64
	Hint    uint64
}

// Accept takes a request that presents a valid token. The error is a *Refusal.
func (t *Table) Accept(now time.Time, a Ask) error {
	if reason := t.refuse(now, a); reason != "" {
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
		team:     counter,
		weight:   max(a.Weight, 1),
		hint:     min(a.Hint, MaxCost),
		accepted: now,
	}
	t.held[r.id] = r
	t.waiting = append(t.waiting, r)
	t.remember(r)
	return nil
}

// refuse checks duplicates first: the token of a duplicate is spent, and that
// alone would read as "not run".
func (t *Table) refuse(now time.Time, a Ask) Reason {
	if a.Attempt <= t.attempts[a.Request] {
		return Duplicate
	}
	if _, ok := t.held[a.Request]; ok {
		return InProgress
	}
	if reason := t.stopReason(); reason != "" {
		return reason
	}
	return t.checkToken(now, a.Token)
}

func (t *Table) stopReason() Reason {
	switch {
	case t.stop&stopSuperseded != 0:
		return Superseded
	case t.stop&stopDraining != 0:
		return Draining
	case t.stop != 0:
		return NotReady
	}
	return ""
}

func (t *Table) checkToken(now time.Time, name string) Reason {
	i := slices.IndexFunc(t.free, func(f token) bool { return f.name == name })
	if i < 0 {
		return t.absentToken(name)
	}
	f := t.free[i]
	if f.offered.IsZero() {
		return UnknownToken
	}
	if now.Sub(f.offered) > Lease {
		t.free = slices.Delete(t.free, i, i+1)
		t.fill()
		return LapsedToken
	}
	return ""
}

// absentToken tells a token that was once offered from one that never was.
func (t *Table) absentToken(name string) Reason {
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

func (t *Table) remember(r *request) {
	t.attempts[r.id] = r.attempt
	t.history = append(t.history, seen{r.id, r.attempt})
	for len(t.history) > MaxSeen {
		oldest := t.history[0]
		t.history = t.history[1:]
		if t.attempts[oldest.id] == oldest.attempt {
			delete(t.attempts, oldest.id)
		}
	}
}

// MayStart reports whether the request may be passed to the endpoint now, and
// counts it as started if so. It returns false while the request must wait for
// a slot, and a *Refusal if it must not start at all; the request then has
// ended.
func (t *Table) MayStart(now time.Time, id string) (bool, error) {
	r, ok := t.held[id]
	if !ok {
		return false, &Refusal{Reason: NotAccepted, Request: id}
	}
	if r.started {
		return true, nil
	}
	if reason := t.startReason(now, r); reason != "" {
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

func (t *Table) startReason(now time.Time, r *request) Reason {
	if reason := t.stopReason(); reason != "" && reason != NotReady {
		return reason
	}
	if now.After(t.StartDeadline(r.id)) {
		return StartTimeout
	}
	return ""
}

// StartDeadline returns the latest time at which an accepted request may be
// passed to the endpoint.
func (t *Table) StartDeadline(id string) time.Time {
	r, ok := t.held[id]
	if !ok {
		return time.Time{}
	}
	return r.accepted.Add(t.startTimeout)
}

// Charge adds cost units to a request and to its team's counter.
func (t *Table) Charge(id string, units uint64) {
	r, ok := t.held[id]
	if !ok || units == 0 {
		return
	}
	r.metered = addCost(r.metered, units)
	t.counters.charge(r.team, r.weight, units)
}

// Metered returns the cost units charged to a request that has not ended.
func (t *Table) Metered(id string) uint64 {
	if r, ok := t.held[id]; ok {
		return r.metered
	}
	return 0
}

// Result tells how a request ended.
type Result int

const (
	// NotRun requests were not passed to the endpoint.
	NotRun Result = iota
	// Finished requests ended with the endpoint's answer or were cancelled by the caller.
	Finished
	// Failed requests ended with an error of the endpoint.
	Failed
)

// Finish ends a request and frees its place.
func (t *Table) Finish(id string, result Result) {
	r, ok := t.held[id]
	if !ok {
		return
	}
	delete(t.held, id)
	if r.started {
		t.started--
	} else {
		t.waiting = slices.DeleteFunc(t.waiting, func(w *request) bool { return w == r })
	}
	t.counters.finish(r.team, result)
	t.fill()
}
