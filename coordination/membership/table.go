package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the state of a member. At the same incarnation a larger value takes
// precedence.
type State int

// The states of a member.
const (
	Alive State = iota
	Suspect
	// Leaving members complete their requests and accept no new ones.
	Leaving
	Dead
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Intervals and timeouts of the protocol.
const (
	// PingInterval is the time between two regular pings.
	PingInterval = 500 * time.Millisecond
	// PingTimeout is the timeout of a direct ping.
	PingTimeout = 300 * time.Millisecond
	// IndirectTimeout is the timeout of an indirect ping. It covers the helper's
	// own ping and the round trip to the helper.
	IndirectTimeout = 2 * PingTimeout
	// SuspicionTime is how long a member is suspect before it is marked dead.
	SuspicionTime = 2 * time.Second
	// DeadRetention is how long dead members stay in the table.
	DeadRetention = 10 * time.Minute
	// DeadProbeInterval is the time between two probes of dead members.
	DeadProbeInterval = 5 * time.Second
	// EvictedProbeDuration is how long evicted members are still probed. It
	// covers a partition of an hour.
	EvictedProbeDuration = 2 * time.Hour
	// FullSyncInterval is the time between two requests for a peer's full table.
	FullSyncInterval = 30 * time.Second
)

// Limits of the protocol.
const (
	// Helpers is the number of members from which an indirect ping is requested.
	Helpers = 3
	// MaxUpdates is the maximum number of updates piggybacked on one message.
	MaxUpdates = 16
	// MaxMembers is the maximum size of the table: four times the target of 520
	// nodes.
	MaxMembers = 2_080
	// maxVerifyPings is the maximum number of additional pings per period to
	// members on whose state two tables conflict.
	maxVerifyPings = 4
	// transmitFactor times log2 of the number of members is the number of
	// messages on which an update is piggybacked.
	transmitFactor = 4
	// maxIncarnation is the bound from which incarnations are rejected, so that
	// raising one can't overflow.
	maxIncarnation = 1 << 62
)

// Member is an entry of the table, or an update to one.
type Member struct {
	// Address is the IP address and port of the fleet listener.
	Address string
	// Instance is the random identifier of the process.
	Instance    string
	Zone        string
	Incarnation uint64
	State       State
}

// Ping is a message to send to Target. The caller reports its result with
// HandleAck, or with HandleTimeout after PingTimeout.
type Ping struct {
	Target  string
	Updates []Member
	// WantAll requests the full table.
	WantAll bool
	// incarnation is that of the target when the ping was created. A failure of
	// the ping counts only for this incarnation.
	incarnation uint64
	// maySuspect is set if the target is a member that isn't dead, so that a
	// failure of the ping may make it suspect.
	maySuspect bool
}

// Options configures a Table.
type Options struct {
	// Seeds are the addresses to contact first.
	Seeds []string
	// Rand shuffles the order of pings. The default has a fixed seed.
	Rand *rand.Rand
}

type entry struct {
	Member
	// since is the time of the last change of state.
	since time.Time
	// unanswered is set while this router can't reach the member, neither
	// directly nor through helpers.
	unanswered bool
	// unansweredSince is the time of the first failed ping to a leaving member,
	// or zero.
	unansweredSince time.Time
}

type queuedUpdate struct {
	address       string
	transmissions int
}

// Table is one router's view of the members. It is not safe for concurrent use.
type Table struct {
	self    Member
	rand    *rand.Rand
	seeds   []string
	members map[string]*entry
	queue   map[string]*queuedUpdate
	// evicted maps members that are still probed to the time of their eviction.
	evicted map[string]time.Time
	// unverified holds members to ping because two tables conflict on them.
	unverified map[string]bool
	// round lists the members not yet pinged in this round.
	round        []string
	probes       []string
	nextPing     time.Time
	nextProbe    time.Time
	nextFullSync time.Time
	version      uint64
}

// New returns the table of the router self. Its first incarnation is now in Unix
// milliseconds.
func New(now time.Time, self Member, opts Options) *Table {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(1, 1))
	}
	self.State = Alive
	self.Incarnation = max(1, uint64(now.UnixMilli()))
	t := &Table{
		self:       self,
		rand:       opts.Rand,
		members:    map[string]*entry{},
		queue:      map[string]*queuedUpdate{},
		evicted:    map[string]time.Time{},
		unverified: map[string]bool{},
		nextPing:   now,
		nextProbe:  now,
	}
	t.SetSeeds(opts.Seeds)
	t.enqueueUpdate(self.Address)
	return t
}

// SetSeeds replaces the addresses to contact first.
func (t *Table) SetSeeds(seeds []string) {
	t.seeds = nil
	for _, s := range seeds {
		if s != t.self.Address && s != "" && len(t.seeds) < MaxMembers {
			t.seeds = append(t.seeds, s)
		}
	}
}

// Self returns this router's own entry.
func (t *Table) Self() Member { return t.self }

// Version increases with every change of a member's address, instance or state.
func (t *Table) Version() uint64 { return t.version }

// Leave marks this router as leaving. It returns a ping to every member that
// isn't dead, so that all of them are notified at once, or nil if the router is
// already leaving.
func (t *Table) Leave() []Ping {
	if t.self.State == Leaving {
		return nil
	}
	t.self.State = Leaving
	t.self.Incarnation++
	t.version++
	t.enqueueUpdate(t.self.Address)
	var pings []Ping
	for _, address := range t.reachable() {
		pings = append(pings, t.ping(address, false))
	}
	return pings
}

// Tick returns the pings that are due. Callers run it several times per
// PingInterval.
func (t *Table) Tick(now time.Time) []Ping {
	t.expire(now)
	if now.Before(t.nextPing) {
		return nil
	}
	t.nextPing = now.Add(PingInterval)
	targets := map[string]bool{}
	t.addRegular(targets)
	t.addSuspected(targets)
	t.addUnverified(targets)
	wantAll := t.advanceIfDue(now, &t.nextFullSync, FullSyncInterval)
	var pings []Ping
	for _, address := range sortedKeys(targets) {
		pings = append(pings, t.ping(address, wantAll))
	}
	if address := t.probe(now, len(t.reachable()) == 0); address != "" && !targets[address] {
		pings = append(pings, t.ping(address, true))
	}
	return pings
}

// advanceIfDue reports whether next has been reached, and if so sets it to
// interval after now.
func (t *Table) advanceIfDue(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

// addRegular adds the next member of the round, starting a new round if needed.
func (t *Table) addRegular(targets map[string]bool) {
	for range 2 {
		for len(t.round) > 0 {
			address := t.round[0]
			t.round = t.round[1:]
			if e := t.members[address]; e != nil && e.State != Dead {
				targets[address] = true
				return
			}
		}
		t.round = t.reachable()
		t.rand.Shuffle(len(t.round), func(i, j int) { t.round[i], t.round[j] = t.round[j], t.round[i] })
	}
}

// addSuspected adds the members that this router can't reach.
func (t *Table) addSuspected(targets map[string]bool) {
	for address, e := range t.members {
		if e.unanswered && e.State != Dead {
			targets[address] = true
		}
	}
}

func (t *Table) addUnverified(targets map[string]bool) {
	addresses := sortedKeys(t.unverified)
	for _, address := range addresses[:min(maxVerifyPings, len(addresses))] {
		delete(t.unverified, address)
		targets[address] = true
	}
}

// probe returns the next unreachable address if a probe is due, or "". An
// isolated router, which has no reachable members, probes in every period.
func (t *Table) probe(now time.Time, isolated bool) string {
	if !isolated && now.Before(t.nextProbe) {
		return ""
	}
	t.nextProbe = now.Add(DeadProbeInterval)
	for range 2 {
		for len(t.probes) > 0 {
			address := t.probes[0]
			t.probes = t.probes[1:]
			if e := t.members[address]; e == nil || e.State == Dead {
				return address
			}
		}
		t.probes = t.unreachable()
		t.rand.Shuffle(len(t.probes), func(i, j int) { t.probes[i], t.probes[j] = t.probes[j], t.probes[i] })
	}
	return ""
}

// reachable returns the addresses of the other members that aren't dead.
func (t *Table) reachable() []string {
	var out []string
	for address, e := range t.members {
		if e.State != Dead {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// unreachable returns the addresses of dead and evicted members and of seeds
// that aren't members.
func (t *Table) unreachable() []string {
	set := map[string]bool{}
	for address, e := range t.members {
		if e.State == Dead {
			set[address] = true
		}
	}
	for address := range t.evicted {
		set[address] = true
	}
	for _, address := range t.seeds {
		if t.members[address] == nil {
			set[address] = true
		}
	}
	return sortedKeys(set)
}

// ping returns a ping to address. It includes the target's own entry unless that
// is alive, so that the target can refute it.
func (t *Table) ping(address string, wantAll bool) Ping {
	p := Ping{Target: address, WantAll: wantAll}
	if e := t.members[address]; e != nil {
		p.incarnation = e.Incarnation
		p.maySuspect = e.State != Dead
	}
	p.Updates = t.updatesFor(address)
	return p
}

// updatesFor returns the updates to piggyback on one message to address and
// counts their transmission.
func (t *Table) updatesFor(address string) []Member {
	out := []Member{t.self}
	if e := t.members[address]; e != nil && e.State != Alive {
		out = append(out, e.Member)
	}
	return t.appendQueued(out, address)
}

// appendQueued appends the queued updates with the fewest transmissions, up to
// MaxUpdates in all.
func (t *Table) appendQueued(out []Member, address string) []Member {
	due := make([]*queuedUpdate, 0, len(t.queue))
	for _, p := range t.queue {
		if p.address != t.self.Address && p.address != address {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.address, b.address))
	})
	limit := t.transmitLimit()
	for _, p := range due[:min(len(due), MaxUpdates-len(out))] {
		if e := t.members[p.address]; e != nil {
			out = append(out, e.Member)
		}
		p.transmissions++
		if p.transmissions >= limit {
			delete(t.queue, p.address)
		}
	}
	return out
}

func (t *Table) transmitLimit() int {
	return transmitFactor * bits.Len(uint(len(t.members)+1))
}

func (t *Table) enqueueUpdate(address string) {
	t.queue[address] = &queuedUpdate{address: address}
}

// HandlePing applies the updates of a ping from the router at address from and
// returns the updates of the reply: this router's own entry first and then
// queued updates or, if wantAll is set, the full table in order of address.
func (t *Table) HandlePing(now time.Time, from string, updates []Member, wantAll bool) []Member {
	t.merge(now, updates)
	if !wantAll {
		return t.updatesFor(from)
	}
	return t.Members()
}

// HandleAck processes the reply to a ping.
func (t *Table) HandleAck(now time.Time, p Ping, updates []Member) {
	if e := t.members[p.Target]; e != nil {
		e.unanswered = false
		e.unansweredSince = time.Time{}
	}
	if p.WantAll {
		t.mergeFullTable(now, p.Target, updates)
		return
	}
	t.merge(now, updates)
}

// HandleTimeout processes the failure of a direct ping and returns the members
// from which to request an indirect ping. If there are none, the ping counts as failed.
func (t *Table) HandleTimeout(now time.Time, p Ping) []string {
	if !p.maySuspect {
		return nil
	}
	var candidates []string
	for address, e := range t.members {
		if address != p.Target && e.State != Dead && !e.unanswered {
			candidates = append(candidates, address)
		}
	}
	slices.Sort(candidates)
	t.rand.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	helpers := candidates[:min(Helpers, len(candidates))]
	if len(helpers) == 0 {
		t.HandlePingFailure(now, p)
	}
	return helpers
}

// HandleIndirectAck processes the success of an indirect ping.
func (t *Table) HandleIndirectAck(p Ping) {
	if e := t.members[p.Target]; e != nil && e.Incarnation == p.incarnation {
		e.unanswered = false
		e.unansweredSince = time.Time{}
	}
}

// HandlePingFailure processes the failure of the direct and all indirect pings.
func (t *Table) HandlePingFailure(now time.Time, p Ping) {
	e := t.members[p.Target]
	if !p.maySuspect || e == nil || e.Incarnation != p.incarnation || e.State == Dead {
		return
	}
	e.unanswered = true
	switch e.State {
	case Alive:
		t.setState(now, e, Suspect)
	case Leaving:
		if e.unansweredSince.IsZero() {
			e.unansweredSince = now
		}
	}
}

// Updates returns the updates to piggyback on a message other than a ping to
// address.
func (t *Table) Updates(address string) []Member { return t.updatesFor(address) }

// Merge applies the updates of a message.
func (t *Table) Merge(now time.Time, updates []Member) { t.merge(now, updates) }

func (t *Table) merge(now time.Time, updates []Member) {
	for _, m := range updates {
		t.apply(now, m)
	}
}

// mergeFullTable applies the full table of the router at address from. If the
// tables conflict only on whether a member is alive, that member is pinged
// before its entry changes; a dead entry with a higher incarnation makes an alive
// member suspect. Only the sender's entry for itself is applied without this
// check.
func (t *Table) mergeFullTable(now time.Time, from string, updates []Member) {
	for _, m := range updates {
		e := t.members[m.Address]
		switch {
		case m.Address == from || m.Address == t.self.Address:
			t.apply(now, m)
		case e == nil && m.State == Dead:
			// A dead member without an entry needs none.
		case e != nil && m.Incarnation == e.Incarnation && m.State != e.State && m.State != Leaving:
			t.unverified[m.Address] = true
		case e != nil && e.State == Alive && m.Incarnation > e.Incarnation && m.State == Dead:
			m.State = Suspect
			t.apply(now, m)
		default:
			t.apply(now, m)
		}
	}
}

// apply applies one update if it takes precedence over the current entry.
// Invalid updates are ignored.
func (t *Table) apply(now time.Time, m Member) {
	if m.Address == "" || m.Incarnation >= maxIncarnation || m.State < Alive || m.State > Dead {
		return
	}
	if m.Address == t.self.Address {
		t.refute(m)
		return
	}
	e := t.members[m.Address]
	if e == nil {
		if len(t.members) >= MaxMembers-1 && (m.State == Dead || !t.evictOldestDead(now)) {
			return
		}
		t.members[m.Address] = &entry{Member: m, since: now}
		delete(t.evicted, m.Address)
		t.version++
		t.enqueueUpdate(m.Address)
		return
	}
	if !supersedes(m, e.Member) {
		return
	}
	changed := m.Instance != e.Instance || m.State != e.State
	if m.Incarnation > e.Incarnation {
		e.unanswered = false
		e.unansweredSince = time.Time{}
	}
	if changed {
		e.since = now
		t.version++
	}
	e.Member = m
	delete(t.unverified, m.Address)
	t.enqueueUpdate(m.Address)
}

// evictOldestDead evicts the member that has been dead the longest, and reports
// whether there was one.
func (t *Table) evictOldestDead(now time.Time) bool {
	var oldest *entry
	for _, e := range t.members {
		if e.State != Dead {
			continue
		}
		if oldest == nil || e.since.Before(oldest.since) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.evict(now, oldest.Address)
	return true
}

// supersedes reports whether update m takes precedence over old. The instance
// breaks ties between two processes that started in the same millisecond.
func supersedes(m, old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Instance != old.Instance {
		return m.Instance > old.Instance
	}
	return m.State > old.State
}

// refute raises this router's incarnation above that of an update about it that
// it did not send.
func (t *Table) refute(m Member) {
	if m.Incarnation < t.self.Incarnation {
		return
	}
	if m == t.self || (m.Incarnation == t.self.Incarnation && m.Instance == t.self.Instance && m.State < t.self.State) {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.enqueueUpdate(t.self.Address)
}

func (t *Table) setState(now time.Time, e *entry, s State) {
	e.State = s
	e.since = now
	t.version++
	t.enqueueUpdate(e.Address)
}

// expire marks members dead whose SuspicionTime has passed, evicts dead members
// after DeadRetention, and ends the probing of evicted ones.
func (t *Table) expire(now time.Time) {
	for address, e := range t.members {
		suspicionExpired := e.State == Suspect && now.Sub(e.since) >= SuspicionTime
		leaveExpired := e.State == Leaving && !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) >= SuspicionTime
		if suspicionExpired || leaveExpired {
			t.setState(now, e, Dead)
		}
		if e.State == Dead && now.Sub(e.since) >= DeadRetention {
			t.evict(now, address)
		}
	}
	for address, since := range t.evicted {
		if now.Sub(since) >= EvictedProbeDuration {
			delete(t.evicted, address)
		}
	}
}

// evict removes a dead member from the table. It is still probed for
// EvictedProbeDuration.
func (t *Table) evict(now time.Time, address string) {
	t.version++
	delete(t.members, address)
	delete(t.queue, address)
	if len(t.evicted) < MaxMembers {
		t.evicted[address] = now
	}
}

// Members returns this router and all other members of the table in order of
// address.
func (t *Table) Members() []Member {
	out := []Member{t.self}
	for _, e := range t.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Live returns the addresses of the other members that are alive or suspect.
func (t *Table) Live() []string {
	var out []string
	for address, e := range t.members {
		if e.State == Alive || e.State == Suspect {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func sortedKeys(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for key := range set {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// PingFor returns a ping to a member on behalf of another router, and false if
// address is not a member.
func (t *Table) PingFor(address string) (Ping, bool) {
	if t.members[address] == nil {
		return Ping{}, false
	}
	return t.ping(address, false), true
}
