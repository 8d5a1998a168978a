package requestlimit

import (
	"math/rand/v2"
	"time"
)

const (
	// minRate is the number of requests per second that a fleet sends to an endpoint
	// whose limit is lower: only a response shows that the limit has changed.
	minRate = 0.25
	// shareInterval is how long a computed share is used.
	shareInterval = 100 * time.Millisecond
	// endedFor is how long the end of a limit is remembered, so that older reports of
	// peers don't bring it back.
	endedFor = 30 * time.Second
	// lapsedFor is how long after its latest response an endpoint without an entry keeps its limit.
	// The entry of a running endpoint may be away for a while.
	lapsedFor = 5 * time.Minute
)

// NoLimit is the Rate of an endpoint that names no limit.
const NoLimit = -1

// Limit is the limit that an endpoint has named for all routers together.
type Limit struct {
	// Endpoint is the hash of the endpoint's identifier.
	Endpoint uint32
	// Rate is the number of requests per second, or NoLimit after a limit has ended.
	Rate float64
	// At is the time of the response that named it.
	At time.Time
}

// Table holds the limits and what the routers have to send. It is not safe for
// concurrent use.
type Table struct {
	limits map[uint32]*state
	demand demand
	// random returns numbers from 0 to 1.
	random func() float64
	// news is set while there are changes that peers haven't been told.
	news bool
}

// state is the state of one limited endpoint.
type state struct {
	Limit
	// learnedAt is when this router learned that the endpoint has a limit.
	learnedAt time.Time
	// tokens is the number of requests that may be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
	// share is this router's part of the limit, 0 to 1.
	share    float64
	sharedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{limits: map[uint32]*state{}, demand: newDemand(), random: rand.Float64}
}

// Observe records the limit in a response, or NoLimit if it names none, and reports
// whether it is new. sentAt is when its request was sent: a response that names no limit
// ends one only if it was requested after the limit was known.
func (t *Table) Observe(now time.Time, endpoint uint32, rate float64, sentAt time.Time) bool {
	s := t.limits[endpoint]
	limited := s != nil && s.Rate >= 0
	if rate < 0 && (!limited || sentAt.Before(s.learnedAt)) {
		return false
	}
	changed := t.apply(now, Limit{Endpoint: endpoint, Rate: rate, At: now})
	t.news = t.news || changed
	return changed
}

// Merge applies the limits that a peer reports, unless this router knows newer ones.
func (t *Table) Merge(now time.Time, limits []Limit) {
	for _, l := range limits {
		if s := t.limits[l.Endpoint]; s == nil || l.At.After(s.At) {
			t.apply(now, l)
		}
	}
}

// apply replaces the limit of an endpoint and reports whether its rate has changed.
func (t *Table) apply(now time.Time, l Limit) bool {
	s := t.limits[l.Endpoint]
	if s == nil {
		s = &state{Limit: Limit{Rate: NoLimit}}
		t.limits[l.Endpoint] = s
	}
	if l.Rate >= 0 && s.Rate < 0 {
		s.learnedAt, s.refilledAt, s.tokens = now, now, 0
		if t.demand.routers <= maxMembers(l.Rate) {
			// Routers learn a limit at about the same time; a random start spreads
			// their requests.
			s.tokens = t.random()
		}
	}
	changed := s.Rate != l.Rate
	s.Limit = l
	if changed {
		s.sharedAt = time.Time{}
	}
	return changed
}

// Allow reports whether this router may send a request to the endpoint now.
func (t *Table) Allow(now time.Time, endpoint uint32) bool {
	s := t.limits[endpoint]
	if s == nil || s.Rate < 0 {
		return true
	}
	t.refill(now, s)
	return s.tokens >= 1
}

// Take counts a request that is sent to the endpoint.
func (t *Table) Take(now time.Time, endpoint uint32) {
	if s := t.limits[endpoint]; s != nil && s.Rate >= 0 {
		t.refill(now, s)
		s.tokens--
	}
}

func (t *Table) refill(now time.Time, s *state) {
	rate := max(s.Rate, minRate)
	if now.Sub(s.sharedAt) >= shareInterval {
		s.share = t.demand.share(now, s.Endpoint, rate)
		s.sharedAt = now
	}
	elapsed := max(now.Sub(s.refilledAt), 0)
	s.refilledAt = now
	s.tokens = min(s.tokens+s.share*rate*elapsed.Seconds(), max(1, s.share*burst(rate)))
	if s.share == 0 {
		// Other routers use the endpoint.
		s.tokens = 0
	}
}

// Forget ends the limit of an endpoint that has restarted. Peers that don't know of the restart yet
// don't bring it back.
func (t *Table) Forget(now time.Time, endpoint uint32) {
	t.apply(now, Limit{Endpoint: endpoint, Rate: NoLimit, At: now})
}

// Expire drops limits that ended long ago and, after lapsedFor, those of endpoints for which known
// returns false.
func (t *Table) Expire(now time.Time, known func(endpoint uint32) bool) {
	for endpoint, s := range t.limits {
		if !known(endpoint) && now.Sub(s.At) > lapsedFor || s.Rate < 0 && now.Sub(s.At) > endedFor {
			delete(t.limits, endpoint)
		}
	}
}

// Limits returns the limits and those that have ended lately.
func (t *Table) Limits() []Limit {
	var list []Limit
	for _, s := range t.limits {
		list = append(list, s.Limit)
	}
	return list
}

// TakeNews reports whether a limit has changed that peers haven't been told, and clears
// that state.
func (t *Table) TakeNews() bool {
	news := t.news
	t.news = false
	return news
}

// Limited returns the number of endpoints with a limit.
func (t *Table) Limited() int {
	n := 0
	for _, s := range t.limits {
		if s.Rate >= 0 {
			n++
		}
	}
	return n
}
