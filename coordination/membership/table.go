package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State of a member, in the order of precedence at the same incarnation.
type State int

// The states.
const (
	Alive State = iota
	Suspect
	// Leaving members finish their work and take no more.
	Leaving
	Dead
)

// String returns the name of a state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Times of the protocol.
const (
	// PingInterval is the time between two regular pings.
	PingInterval = 500 * time.Millisecond
	// PingTimeout is the time limit of a direct ping.
	PingTimeout = 300 * time.Millisecond
	// IndirectTimeout is the time limit of an indirect ping: the helper's own
	// ping and the way to the helper.
	IndirectTimeout = 2 * PingTimeout
	// SuspicionTime is the time from suspicion to death.
	SuspicionTime = 2 * time.Second
	// ForgetAfter is the time for which dead members are listed.
	ForgetAfter = 10 * time.Minute
	// ProbeDeadInterval is the time between two probes of dead members.
	ProbeDeadInterval = 5 * time.Second
	// ProbeForgotten is the time for which forgotten members are still probed.
	// It covers a partition of an hour.
	ProbeForgotten = 2 * time.Hour
	// RepairInterval is the time between two requests for a whole table.
	RepairInterval = 30 * time.Second
)

// Bounds.
const (
	// Helpers is the number of members asked for an indirect ping.
	Helpers = 3
	// MaxUpdates bounds the updates piggybacked on one message.
	MaxUpdates = 16
	// MaxMembers bounds the table: four times the 520 nodes of the target.
	MaxMembers = 2_080
	// maxVerify bounds the extra pings per period for members about which two
	// tables differ.
	maxVerify = 4
	// retransmitFactor times log2 of the number of members is the number of
	// messages that carry an update.
	retransmitFactor = 4
	// maxIncarnation keeps incarnations from overflowing.
	maxIncarnation = 1 << 62
)

// Member is an entry of the table, and an update about it.
type Member struct {
	// Address is the IP address and port of the fleet listener.
	Address string
	// Instance is the random identifier of the process.
	Instance    string
	Zone        string
	Incarnation uint64
	State       State
}

// Ping is a message to send to Target. The caller answers it with HandleAck,
// or with HandleTimeout after PingTimeout.
type Ping struct {
	Target  string
	Updates []Member
	// WantAll asks for the whole table.
	WantAll bool
	// incarnation of the target when the ping was made; suspicion is for it.
	incarnation uint64
	// regular is set if the target is a member that may be suspected.
	regular bool
}

// Options of a table.
type Options struct {
	// Seeds are addresses for the first contact.
	Seeds []string
	// Rand orders the pings. Default: a fixed seed.
	Rand *rand.Rand
}

type entry struct {
	Member
	// since is the time of the last change of state.
	since time.Time
	// unanswered is set on a member that this router itself found silent.
	unanswered bool
	// failing is the time since which a leaving member is silent.
	failing time.Time
}

type pending struct {
	address string
	sent    int
}

// Table is one router's view. It isn't safe for use by several goroutines.
type Table struct {
	self    Member
	rand    *rand.Rand
	seeds   []string
	members map[string]*entry
	queue   map[string]*pending
	// forgotten holds members that are still probed, with the time they were forgotten.
	forgotten map[string]time.Time
	verify    map[string]bool
	// round lists the members still to be pinged in this round.
	round      []string
	probes     []string
	nextPing   time.Time
	nextProbe  time.Time
	nextRepair time.Time
	version    uint64
}

// New returns the table of the router self. Its incarnation is the time of its
// start in Unix milliseconds.
func New(now time.Time, self Member, opts Options) *Table {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(1, 1))
	}
	self.State = Alive
	self.Incarnation = max(1, uint64(now.UnixMilli()))
	t := &Table{
		self:      self,
		rand:      opts.Rand,
		members:   map[string]*entry{},
		queue:     map[string]*pending{},
		forgotten: map[string]time.Time{},
		verify:    map[string]bool{},
		nextPing:  now,
		nextProbe: now,
	}
	t.SetSeeds(opts.Seeds)
	t.announce(self.Address)
	return t
}

// SetSeeds replaces the addresses for the first contact.
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

// Version grows with every change of a member's address, instance or state.
func (t *Table) Version() uint64 { return t.version }

// Leave marks this router as leaving. It returns a ping to every live member,
// so that all hand over at once.
func (t *Table) Leave() []Ping {
	if t.self.State == Leaving {
		return nil
	}
	t.self.State = Leaving
	t.self.Incarnation++
	t.version++
	t.announce(t.self.Address)
	var pings []Ping
	for _, address := range t.reachable() {
		pings = append(pings, t.ping(address, false))
	}
	return pings
}

// Tick returns the pings that are due. It runs several times per PingInterval.
func (t *Table) Tick(now time.Time) []Ping {
	t.expire(now)
	if now.Before(t.nextPing) {
		return nil
	}
	t.nextPing = now.Add(PingInterval)
	targets := map[string]bool{}
	t.addRegular(targets)
	t.addSuspected(targets)
	t.addVerify(targets)
	all := t.takeDue(now, &t.nextRepair, RepairInterval)
	var pings []Ping
	for _, address := range sortedKeys(targets) {
		pings = append(pings, t.ping(address, all))
	}
	if address := t.probe(now, len(t.reachable()) == 0); address != "" && !targets[address] {
		pings = append(pings, t.ping(address, true))
	}
	return pings
}

func (t *Table) takeDue(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

// addRegular adds the next member of the round.
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

// addSuspected adds the members that this router found silent.
func (t *Table) addSuspected(targets map[string]bool) {
	for address, e := range t.members {
		if e.unanswered && e.State != Dead {
			targets[address] = true
		}
	}
}

func (t *Table) addVerify(targets map[string]bool) {
	addresses := sortedKeys(t.verify)
	for _, address := range addresses[:min(maxVerify, len(addresses))] {
		delete(t.verify, address)
		targets[address] = true
	}
}

// probe returns the next address outside the reachable members. A router that
// reaches nobody probes in every period.
func (t *Table) probe(now time.Time, alone bool) string {
	if !alone && now.Before(t.nextProbe) {
		return ""
	}
	t.nextProbe = now.Add(ProbeDeadInterval)
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

// reachable lists the other members that aren't dead.
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

func (t *Table) unreachable() []string {
	set := map[string]bool{}
	for address, e := range t.members {
		if e.State == Dead {
			set[address] = true
		}
	}
	for address := range t.forgotten {
		set[address] = true
	}
	for _, address := range t.seeds {
		if t.members[address] == nil {
			set[address] = true
		}
	}
	return sortedKeys(set)
}

// ping makes a message. It tells the target what is said of it, so that it can refute.
func (t *Table) ping(address string, all bool) Ping {
	p := Ping{Target: address, WantAll: all}
	if e := t.members[address]; e != nil {
		p.incarnation = e.Incarnation
		p.regular = e.State != Dead
	}
	p.Updates = t.updatesFor(address)
	return p
}

// updatesFor takes the updates of one message to address.
func (t *Table) updatesFor(address string) []Member {
	out := []Member{t.self}
	if e := t.members[address]; e != nil && e.State != Alive {
		out = append(out, e.Member)
	}
	return t.appendQueued(out, address)
}

// appendQueued adds the updates that were sent least often.
func (t *Table) appendQueued(out []Member, address string) []Member {
	due := make([]*pending, 0, len(t.queue))
	for _, p := range t.queue {
		if p.address != t.self.Address && p.address != address {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *pending) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.address, b.address))
	})
	limit := t.retransmissions()
	for _, p := range due[:min(len(due), MaxUpdates-len(out))] {
		if e := t.members[p.address]; e != nil {
			out = append(out, e.Member)
		}
		p.sent++
		if p.sent >= limit {
			delete(t.queue, p.address)
		}
	}
	return out
}

func (t *Table) retransmissions() int {
	return retransmitFactor * bits.Len(uint(len(t.members)+1))
}

func (t *Table) announce(address string) {
	t.queue[address] = &pending{address: address}
}

// HandlePing takes the updates of a ping from a router and returns those of
// the reply, which starts with this router's own entry.
func (t *Table) HandlePing(now time.Time, from string, updates []Member, wantAll bool) []Member {
	t.merge(now, updates)
	if !wantAll {
		return t.updatesFor(from)
	}
	return t.Members()
}

// HandleAck takes the reply to a ping.
func (t *Table) HandleAck(now time.Time, p Ping, updates []Member) {
	if e := t.members[p.Target]; e != nil {
		e.unanswered = false
		e.failing = time.Time{}
	}
	if p.WantAll {
		t.mergeAll(now, p.Target, updates)
		return
	}
	t.merge(now, updates)
}

// HandleTimeout takes the failure of a direct ping and returns the members to
// ask for an indirect ping. Without any, the ping has failed.
func (t *Table) HandleTimeout(now time.Time, p Ping) []string {
	if !p.regular {
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
		t.HandleUnreached(now, p)
	}
	return helpers
}

// HandleReached takes the success of an indirect ping.
func (t *Table) HandleReached(p Ping) {
	if e := t.members[p.Target]; e != nil && e.Incarnation == p.incarnation {
		e.unanswered = false
		e.failing = time.Time{}
	}
}

// HandleUnreached takes the failure of the direct and all indirect pings.
func (t *Table) HandleUnreached(now time.Time, p Ping) {
	e := t.members[p.Target]
	if !p.regular || e == nil || e.Incarnation != p.incarnation || e.State == Dead {
		return
	}
	e.unanswered = true
	switch e.State {
	case Alive:
		t.setState(now, e, Suspect)
	case Leaving:
		if e.failing.IsZero() {
			e.failing = now
		}
	}
}

// Updates returns the piggybacked updates of another message to address.
func (t *Table) Updates(address string) []Member { return t.updatesFor(address) }

// Merge takes updates from a message.
func (t *Table) Merge(now time.Time, updates []Member) { t.merge(now, updates) }

func (t *Table) merge(now time.Time, updates []Member) {
	for _, m := range updates {
		t.apply(now, m)
	}
}

// mergeAll takes a whole table. Where it differs from this one only in whether
// a member lives, that member is pinged first. Only the sender's word on itself
// counts at once.
func (t *Table) mergeAll(now time.Time, from string, updates []Member) {
	for _, m := range updates {
		e := t.members[m.Address]
		switch {
		case m.Address == from || m.Address == t.self.Address:
			t.apply(now, m)
		case e == nil && m.State == Dead:
			// A dead member that this table doesn't know needs no entry.
		case e != nil && m.Incarnation == e.Incarnation && m.State != e.State && m.State != Leaving:
			t.verify[m.Address] = true
		case e != nil && e.State == Alive && m.Incarnation > e.Incarnation && m.State == Dead:
			m.State = Suspect
			t.apply(now, m)
		default:
			t.apply(now, m)
		}
	}
}

// apply takes one update by the rule of precedence.
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
		if len(t.members) >= MaxMembers-1 && (m.State == Dead || !t.dropDead(now)) {
			return
		}
		t.members[m.Address] = &entry{Member: m, since: now}
		delete(t.forgotten, m.Address)
		t.version++
		t.announce(m.Address)
		return
	}
	if !supersedes(m, e.Member) {
		return
	}
	changed := m.Instance != e.Instance || m.State != e.State
	if m.Incarnation > e.Incarnation {
		e.unanswered = false
		e.failing = time.Time{}
	}
	if changed {
		e.since = now
		t.version++
	}
	e.Member = m
	delete(t.verify, m.Address)
	t.announce(m.Address)
}

// dropDead forgets the member that is dead for longest, and reports whether
// there was one.
func (t *Table) dropDead(now time.Time) bool {
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
	t.remove(now, oldest.Address)
	return true
}

// supersedes is the rule of precedence. The instance only breaks ties between
// two processes that started in the same millisecond.
func supersedes(m, old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Instance != old.Instance {
		return m.Instance > old.Instance
	}
	return m.State > old.State
}

// refute answers an update about this router that isn't its own.
func (t *Table) refute(m Member) {
	if m.Incarnation < t.self.Incarnation {
		return
	}
	if m == t.self || (m.Incarnation == t.self.Incarnation && m.Instance == t.self.Instance && m.State < t.self.State) {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.announce(t.self.Address)
}

func (t *Table) setState(now time.Time, e *entry, s State) {
	e.State = s
	e.since = now
	t.version++
	t.announce(e.Address)
}

// expire ends suspicions and forgets dead members.
func (t *Table) expire(now time.Time) {
	for address, e := range t.members {
		silent := e.State == Suspect && now.Sub(e.since) >= SuspicionTime
		left := e.State == Leaving && !e.failing.IsZero() && now.Sub(e.failing) >= SuspicionTime
		if silent || left {
			t.setState(now, e, Dead)
		}
		if e.State == Dead && now.Sub(e.since) >= ForgetAfter {
			t.remove(now, address)
		}
	}
	for address, since := range t.forgotten {
		if now.Sub(since) >= ProbeForgotten {
			delete(t.forgotten, address)
		}
	}
}

// remove takes a dead member out of the table. It is still probed for a while.
func (t *Table) remove(now time.Time, address string) {
	t.version++
	delete(t.members, address)
	delete(t.queue, address)
	if len(t.forgotten) < MaxMembers {
		t.forgotten[address] = now
	}
}

// Members returns this router and all listed members in order of address.
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

// PingFor returns a ping to a listed member for another router.
func (t *Table) PingFor(address string) (Ping, bool) {
	if t.members[address] == nil {
		return Ping{}, false
	}
	return t.ping(address, false), true
}
