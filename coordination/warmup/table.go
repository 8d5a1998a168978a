package warmup

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Source is where the information that an endpoint is cold comes from.
type Source int

const (
	// Entry is the endpoint's entry in the store.
	Entry Source = iota
	// Evacuation is the end of the evacuation of the endpoint's zone.
	Evacuation
	// Connection is a connection of this router that broke or could not be opened.
	Connection
	// Peer is the report of a peer that could not reach the endpoint.
	Peer
	sources
)

// String returns the name of the source for log lines.
func (s Source) String() string {
	return [...]string{"entry", "evacuation", "broken connection", "report of a peer"}[s]
}

const (
	// creditFraction is the part of the spacing by which a turn may be used late without delaying the next
	// one. It makes up for the time until a member has a request; more would be a burst.
	creditFraction = 0.25
	// minTurnTime is the shortest time for which a turn may be used. Hosts without CPU time stand still for
	// up to 100 ms, the period of their quota. The window keeps the rate with late requests, too.
	minTurnTime = 100 * time.Millisecond
	// maxChanges bounds the changes that are kept for the log.
	maxChanges = 1024
)

// Change says that an endpoint has become cold, or warm again.
type Change struct {
	Endpoint uint32
	Cold     bool
	Source   Source
	Until    time.Time
}

// Turn is the permission to send one request to a cold endpoint. The zero value is that of an endpoint
// that isn't cold.
type Turn struct{ at, due time.Time }

// Table holds the cold endpoints, by the hashes of their identifiers. It is not safe for concurrent use.
type Table struct {
	bounds    Bounds
	endpoints map[uint32]*state
	changes   []Change

	self      string
	startedAt time.Time
	// views holds the view in force and those before it that ended within the settle time.
	views []view
	// known holds the peers that were heard before, while this router may be cut off from them.
	known       []string
	cutOffSince time.Time
}

// state is the state of one cold endpoint.
type state struct {
	key      string
	rate     float64
	maxSends int
	// until holds the ends of the cold time by source.
	until [sources]time.Time
	// reported is the source that was reported as the cause.
	reported Source
	// shares holds this router's share in each of the views; share is the smallest.
	shares []share
	share  share
	// nextTurn is when the next turn is due, lastTurn when the latest one was taken.
	nextTurn, lastTurn time.Time
	// sent holds the times of the requests sent within the window.
	sent []time.Time
}

// NewTable returns an empty table.
func NewTable(b Bounds) *Table {
	return &Table{bounds: b, endpoints: map[uint32]*state{}}
}

// SetBounds sets the limits on the requests to cold endpoints. It is called before the table is used.
func (t *Table) SetBounds(b Bounds) { t.bounds = b }

// Len returns the number of endpoints that are cold or were until lately.
func (t *Table) Len() int { return len(t.endpoints) }

// Set records that an endpoint which sustains rate requests per second is cold until a time, according
// to a source. It replaces what that source said before, except that a broken connection and a peer's
// report never shorten the time.
func (t *Table) Set(now time.Time, endpoint uint32, rate float64, source Source, until time.Time) {
	s := t.endpoints[endpoint]
	if s == nil {
		if !now.Before(until) || !(rate > 0) {
			return
		}
		s = t.add(now, endpoint, rate)
	}
	if source != Entry && until.Before(s.until[source]) {
		return
	}
	wasCold := now.Before(s.end())
	s.until[source] = until
	if s.rate != rate {
		t.setRate(s, rate)
	}
	if !wasCold && now.Before(until) {
		s.reported = source
		s.nextTurn = now.Add(time.Duration(s.share.phase * float64(s.spacing())))
		t.report(Change{Endpoint: endpoint, Cold: true, Source: source, Until: until})
	}
}

func (t *Table) add(now time.Time, endpoint uint32, rate float64) *state {
	t.dropViews(now)
	s := &state{key: key(endpoint)}
	t.endpoints[endpoint] = s
	t.setRate(s, rate)
	return s
}

// key returns the key by which rendezvous hashing selects the members of an endpoint.
func key(endpoint uint32) string {
	return string(binary.LittleEndian.AppendUint32([]byte("warm-up"), endpoint))
}

func (t *Table) setRate(s *state, rate float64) {
	s.rate, s.maxSends, s.shares = rate, t.bounds.maxSends(rate), nil
	for _, v := range t.views {
		s.addShare(t, v.candidates)
	}
}

func (s *state) addShare(t *Table, candidates []string) {
	s.shares = append(s.shares, shareOf(t.self, s.key, candidates, s.maxSends))
	s.setShare()
}

// setShare uses the smallest share of the views. A router that has just become a member may send once
// those whose place it takes have noticed, too.
func (s *state) setShare() {
	s.share = share{sends: math.MaxInt}
	for _, v := range s.shares {
		if v.sends < s.share.sends {
			s.share = v
		}
	}
}

func (s *state) spacing() time.Duration {
	if s.share.sends == 0 || s.rate <= 0 {
		return 0
	}
	return period(s.rate, s.maxSends) / time.Duration(s.share.sends)
}

// end returns the latest end of the cold time.
func (s *state) end() time.Time {
	end := s.until[0]
	for _, u := range s.until[1:] {
		if u.After(end) {
			end = u
		}
	}
	return end
}

// Confirm ends the cold time of an endpoint as far as it was only suspected to have restarted, because
// it is confirmed to be the same incarnation.
func (t *Table) Confirm(endpoint uint32) {
	if s := t.endpoints[endpoint]; s != nil {
		s.until[Connection], s.until[Peer] = time.Time{}, time.Time{}
	}
}

// Suspected reports whether an endpoint counts as cold because it may have restarted.
func (t *Table) Suspected(now time.Time, endpoint uint32) bool {
	s := t.endpoints[endpoint]
	return s != nil && (now.Before(s.until[Connection]) || now.Before(s.until[Peer]))
}

// Remove drops an endpoint whose service has no cold endpoints any more.
func (t *Table) Remove(endpoint uint32) {
	if s := t.endpoints[endpoint]; s != nil {
		t.warm(endpoint, s)
	}
}

func (t *Table) warm(endpoint uint32, s *state) {
	delete(t.endpoints, endpoint)
	t.report(Change{Endpoint: endpoint, Source: s.reported, Until: s.end()})
}

// Expire drops the endpoints that are no longer cold.
func (t *Table) Expire(now time.Time) {
	t.dropViews(now)
	for endpoint, s := range t.endpoints {
		if !now.Before(s.end()) {
			t.warm(endpoint, s)
		}
	}
}

// Cold returns the number of endpoints that are cold now.
func (t *Table) Cold(now time.Time) int {
	n := 0
	for _, s := range t.endpoints {
		if now.Before(s.end()) {
			n++
		}
	}
	return n
}

// IsCold reports whether an endpoint is cold now.
func (t *Table) IsCold(now time.Time, endpoint uint32) bool { return t.cold(now, endpoint) != nil }

func (t *Table) cold(now time.Time, endpoint uint32) *state {
	if s := t.endpoints[endpoint]; s != nil && now.Before(s.end()) {
		return s
	}
	return nil
}

// mayUse reports whether this router is a member that has room for another request.
func (t *Table) mayUse(now time.Time, s *state) bool {
	t.dropViews(now)
	if s.share.sends == 0 || !t.ready(now) {
		return false
	}
	s.sent = slices.DeleteFunc(s.sent, func(at time.Time) bool { return now.Sub(at) > window })
	return len(s.sent) < s.share.sends
}

// Allow reports whether a request may be placed at the endpoint now.
func (t *Table) Allow(now time.Time, endpoint uint32) bool {
	s := t.cold(now, endpoint)
	return s == nil || !now.Before(s.nextTurn) && t.mayUse(now, s)
}

// NextTurn returns when the next turn of this router for a cold endpoint is due, or false if it
// isn't a member.
func (t *Table) NextTurn(now time.Time, endpoint uint32) (time.Time, bool) {
	s := t.cold(now, endpoint)
	if s == nil || s.share.sends == 0 || !t.ready(now) {
		return time.Time{}, false
	}
	return s.nextTurn, true
}

// Take takes a turn for a request that is placed at the endpoint.
func (t *Table) Take(now time.Time, endpoint uint32) Turn {
	s := t.cold(now, endpoint)
	if s == nil {
		return Turn{}
	}
	turn := Turn{at: now, due: s.nextTurn}
	spacing := s.spacing()
	from := now.Add(-time.Duration(creditFraction * float64(spacing)))
	if s.nextTurn.After(from) {
		from = s.nextTurn
	}
	s.nextTurn, s.lastTurn = from.Add(spacing), now
	return turn
}

// Return gives back the turn of a request that was not sent.
func (t *Table) Return(endpoint uint32, turn Turn) {
	if s := t.endpoints[endpoint]; s != nil && !turn.at.IsZero() && s.lastTurn.Equal(turn.at) {
		s.nextTurn, s.lastTurn = turn.due, time.Time{}
	}
}

// Send reports whether a request may be sent to the endpoint now with the turn that was taken for it,
// and counts it if so. A request whose turn passed longer ago than the spacing, or that was placed before
// the endpoint became cold, must not be sent.
func (t *Table) Send(now time.Time, endpoint uint32, turn Turn) bool {
	s := t.cold(now, endpoint)
	if s == nil {
		return true
	}
	if turn.at.IsZero() || !t.mayUse(now, s) || now.Sub(turn.at) > max(s.spacing(), minTurnTime) {
		return false
	}
	s.sent = append(s.sent, now)
	return true
}

func (t *Table) report(c Change) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, c)
	}
}

// TakeChanges returns the changes since its latest call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
