package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// rapidSeed is the default seed of the property tests. The flag -rapid.seed
// overrides it.
const rapidSeed = "20261"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(rapidSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// step is the simulated time between two steps of a cluster.
const step = 100 * time.Millisecond

// cluster simulates routers with their tables over a network that loses messages.
type cluster struct {
	rand      *rand.Rand
	now       time.Time
	tables    map[string]*Table
	order     []string
	partition map[string]int
	// brokenLinks holds pairs of members that can't reach each other.
	brokenLinks map[[2]string]bool
	// loss is the percentage of messages that are lost.
	loss   int
	events map[time.Time][]func()
	// maxUpdates is the maximum number of updates on a message without a full table.
	maxUpdates int
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		rand:        rand.New(rand.NewPCG(seed, 2)),
		now:         time.Unix(1_800_000_000, 0),
		tables:      map[string]*Table{},
		partition:   map[string]int{},
		brokenLinks: map[[2]string]bool{},
		events:      map[time.Time][]func(){},
	}
	for i := range size {
		c.order = append(c.order, fmt.Sprint("m", i))
		c.start(c.order[i], "first", c.now)
	}
	return c
}

func (c *cluster) start(address, instance string, clock time.Time) {
	c.tables[address] = New(clock, Member{Address: address, Instance: instance, Zone: "z"}, Options{
		Seeds: []string{c.order[0], "m1"},
		Rand:  rand.New(rand.NewPCG(c.rand.Uint64(), 3)),
	})
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for _, f := range c.events[c.now] {
			f()
		}
		delete(c.events, c.now)
		for _, address := range c.order {
			if t := c.tables[address]; t != nil {
				c.send(t, t.Tick(c.now))
			}
		}
	}
}

func (c *cluster) send(t *Table, pings []Ping) {
	for _, p := range pings {
		c.ping(t, p)
	}
}

func (c *cluster) schedule(d time.Duration, f func()) {
	when := c.now.Add(d)
	c.events[when] = append(c.events[when], f)
}

// delivers reports whether one message from from to to arrives.
func (c *cluster) delivers(from, to string) bool {
	if c.brokenLinks[[2]string{from, to}] || c.brokenLinks[[2]string{to, from}] {
		return false
	}
	return c.tables[to] != nil && c.partition[from] == c.partition[to] && c.rand.IntN(100) >= c.loss
}

// exchange sends a ping and its reply, and reports whether the reply arrived.
func (c *cluster) exchange(t *Table, p Ping) bool {
	c.maxUpdates = max(c.maxUpdates, len(p.Updates))
	if !c.delivers(t.self.Address, p.Target) {
		return false
	}
	reply := c.tables[p.Target].HandlePing(c.now, t.self.Address, p.Updates, p.WantAll)
	if !p.WantAll {
		c.maxUpdates = max(c.maxUpdates, len(reply))
	}
	if !c.delivers(p.Target, t.self.Address) {
		return false
	}
	t.HandleAck(c.now, p, reply)
	return true
}

func (c *cluster) ping(t *Table, p Ping) {
	if c.exchange(t, p) {
		return
	}
	c.schedule(PingTimeout, func() {
		if c.tables[t.self.Address] != t {
			return
		}
		if helpers := t.HandleTimeout(c.now, p); len(helpers) > 0 {
			c.indirect(t, p, helpers)
		}
	})
}

func (c *cluster) indirect(t *Table, p Ping, helpers []string) {
	reached := false
	for _, address := range helpers {
		helper := c.tables[address]
		if !c.delivers(t.self.Address, address) {
			continue
		}
		if hp, ok := helper.PingFor(p.Target); ok && c.exchange(helper, hp) && c.delivers(address, t.self.Address) {
			reached = true
		}
	}
	c.schedule(IndirectTimeout, func() {
		if reached {
			t.HandleIndirectAck(p)
		} else {
			t.HandlePingFailure(c.now, p)
		}
	})
}

// differences describes the entries of running tables that don't match the
// actual state of the members.
func (c *cluster) differences() []string {
	var out []string
	for _, from := range c.order {
		t := c.tables[from]
		if t == nil {
			continue
		}
		seen := map[string]Member{}
		for _, m := range t.Members() {
			seen[m.Address] = m
		}
		for _, to := range c.order {
			other, m := c.tables[to], seen[to]
			switch {
			case other == nil && m.Address != "" && m.State != Dead:
				out = append(out, fmt.Sprintf("%s lists the stopped %s as %s", from, to, m.State))
			case other != nil && (m.State != other.self.State || m.Instance != other.self.Instance):
				out = append(out, fmt.Sprintf("%s lists %s/%s as %s/%s", from, to, other.self.Instance, m.State, m.Instance))
			}
		}
	}
	return out
}

// Guards against a live member that stays marked dead, an undetected failure, a
// restarted process mistaken for the earlier instance (also if the clock was set
// back), a lost leaving state and a partition that doesn't heal.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(3, 50).Draw(r, "size")
		c := newCluster(rapid.Uint64().Draw(r, "seed"), size)
		// Without loss at first, so that every member reaches a seed: members
		// that never did could not discover each other.
		c.run(10 * time.Second)
		c.loss = rapid.IntRange(0, 25).Draw(r, "loss")
		events := rapid.IntRange(1, 6).Draw(r, "events")
		for i := range events {
			address := c.order[rapid.IntRange(0, size-1).Draw(r, "member")]
			switch rapid.SampledFrom([]string{"stop", "restart", "leave", "partition", "heal"}).Draw(r, "event") {
			case "stop":
				delete(c.tables, address)
			case "restart":
				clockSkew := time.Duration(rapid.IntRange(0, 100).Draw(r, "back")) * time.Second
				c.start(address, fmt.Sprint("again", i), c.now.Add(-clockSkew))
			case "leave":
				if m := c.tables[address]; m != nil {
					c.send(m, m.Leave())
				}
			case "partition":
				for _, member := range c.order {
					c.partition[member] = c.rand.IntN(2)
				}
			case "heal":
				clear(c.partition)
			}
			c.run(time.Duration(rapid.IntRange(0, 20).Draw(r, "wait")) * time.Second)
		}
		c.loss = 0
		clear(c.partition)
		c.run(2 * time.Minute)
		if found := c.differences(); len(found) > 0 {
			r.Fatalf("%d wrong entries, for example %s", len(found), found[0])
		}
		if c.maxUpdates > MaxUpdates {
			r.Fatalf("a message carried %d updates", c.maxUpdates)
		}
	})
}

// Guards against live members marked dead because of message loss alone: with
// 10% of the messages lost, no member may stay dead, and fewer than 0.1% of the
// entries may be dead on average.
func TestMessageLossRarelyMarksMembersDead(t *testing.T) {
	c := newCluster(7, 20)
	c.run(20 * time.Second)
	must.SliceEmpty(t, c.differences())
	c.loss = 10
	dead := 0
	for range 600 {
		c.run(time.Second)
		for _, table := range c.tables {
			for _, m := range table.Members() {
				if m.State == Dead {
					dead++
				}
			}
		}
	}
	// 20 members list 19 others in each of 600 s.
	must.Less(t, 20*19*600/1000, dead)
}

// Guards against slow detection: all 50 members must mark a failed one dead
// within 10 s.
func TestFailureDetectionTime(t *testing.T) {
	c := newCluster(8, 50)
	c.run(30 * time.Second)
	must.SliceEmpty(t, c.differences())
	delete(c.tables, "m33")
	failed := c.now
	for len(c.differences()) > 0 && c.now.Sub(failed) < time.Minute {
		c.run(step)
	}
	t.Logf("detected everywhere after %s", c.now.Sub(failed))
	must.Less(t, 10*time.Second, c.now.Sub(failed))
}

// Guards against a leaving member that other routers still select after 3 s. The
// test allows one second, since the network loses no messages.
func TestLeaveIsKnownWithinOneSecond(t *testing.T) {
	c := newCluster(9, 50)
	c.run(30 * time.Second)
	c.send(c.tables["m5"], c.tables["m5"].Leave())
	must.SliceEmpty(t, c.tables["m5"].Leave())
	c.run(time.Second)
	for _, address := range c.order {
		must.SliceNotContains(t, c.tables[address].Live(), "m5")
	}
	must.SliceEmpty(t, c.differences())
}

// Guards against a partition that doesn't heal without seeds after the members
// of the other side were evicted, and against marking members of the same side
// dead while it heals.
func TestPartitionHeals(t *testing.T) {
	for _, length := range []time.Duration{time.Minute, time.Hour} {
		t.Run(length.String(), func(t *testing.T) {
			c := newCluster(10, 20)
			c.run(20 * time.Second)
			for _, address := range c.order {
				c.tables[address].SetSeeds(nil)
			}
			for _, address := range c.order[10:] {
				c.partition[address] = 1
			}
			c.run(length)
			must.Len(t, 9, c.tables["m3"].Live())
			if length > DeadRetention {
				must.Len(t, 10, c.tables["m3"].Members())
			}
			clear(c.partition)
			for range 900 {
				c.run(step)
				for _, address := range c.order[4:10] {
					must.SliceContains(t, c.tables["m3"].Live(), address)
				}
			}
			must.SliceEmpty(t, c.differences())
		})
	}
}

// Guards against suspecting a member because of one broken link, and against a
// suspect that receives the suspicion too late to refute it.
func TestIndirectPingsPreventSuspicionOverBrokenLink(t *testing.T) {
	c := newCluster(11, 8)
	c.run(20 * time.Second)
	c.brokenLinks[[2]string{"m2", "m5"}] = true
	for range 600 {
		c.run(step)
		for _, table := range c.tables {
			for _, m := range table.Members() {
				must.Eq(t, Alive, m.State)
			}
		}
	}
}

// Guards against an outdated update that replaces a newer entry.
func TestPrecedence(t *testing.T) {
	base := Member{Address: "x", Instance: "b", Incarnation: 5, State: Suspect}
	cases := map[string]struct {
		update Member
		want   bool
	}{
		"same":                 {base, false},
		"alive again":          {Member{"x", "b", "", 5, Alive}, false},
		"refuted":              {Member{"x", "b", "", 6, Alive}, true},
		"dead":                 {Member{"x", "b", "", 5, Dead}, true},
		"leaving":              {Member{"x", "b", "", 5, Leaving}, true},
		"dead, earlier number": {Member{"x", "b", "", 4, Dead}, false},
		"restarted":            {Member{"x", "a", "", 6, Alive}, true},
		"other, same number":   {Member{"x", "c", "", 5, Alive}, true},
		"earlier, same number": {Member{"x", "a", "", 5, Dead}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, supersedes(c.update, base))
		})
	}
}

// Guards against invalid updates that enter the table, and against growth of the
// table beyond MaxMembers.
func TestInvalidUpdatesAreIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New(now, Member{Address: "self", Instance: "i"}, Options{})
	table.Merge(now, []Member{
		{Address: "", Incarnation: 1},
		{Address: "a", Incarnation: maxIncarnation},
		{Address: "b", State: 9},
		{Address: "self", Instance: "i", Incarnation: maxIncarnation, State: Dead},
	})
	must.Len(t, 1, table.Members())
	must.Eq(t, uint64(now.UnixMilli()), table.Self().Incarnation)
	var flood []Member
	for i := range MaxMembers + 10 {
		flood = append(flood, Member{Address: fmt.Sprint("f", i), Incarnation: 1})
	}
	table.Merge(now, flood)
	must.Len(t, MaxMembers, table.Members())
	must.SliceNotContains(t, table.Live(), "f2080")
	flood[3].State = Dead
	table.Merge(now, []Member{flood[3], flood[2080]})
	must.SliceContains(t, table.Live(), "f2080")
	must.Len(t, MaxMembers, table.Members())
}

func targets(pings []Ping) []string {
	var out []string
	for _, p := range pings {
		out = append(out, p.Target)
	}
	return out
}

// Guards against a suspect that isn't pinged in every period and so can't
// refute, and against a conflict of two tables that changes an entry without a
// ping.
func TestSuspectAndConflictingMembersArePingedNext(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New(now, Member{Address: "self", Instance: "i"}, Options{})
	var members []Member
	for i := range 20 {
		members = append(members, Member{Address: fmt.Sprint("m", i), Instance: "i", Incarnation: 1})
	}
	table.Merge(now, members)
	suspect, _ := table.PingFor("m3")
	table.HandlePingFailure(now, suspect)
	for range 3 {
		now = now.Add(PingInterval)
		must.SliceContains(t, targets(table.Tick(now)), "m3")
	}
	refuted := members[3]
	refuted.Incarnation++
	table.HandleAck(now, suspect, []Member{refuted})
	fullSync, _ := table.PingFor("m1")
	fullSync.WantAll = true
	conflicting := members[7]
	conflicting.State = Dead
	table.HandleAck(now, fullSync, []Member{conflicting})
	must.SliceContains(t, table.Live(), "m7")
	now = now.Add(PingInterval)
	must.SliceContains(t, targets(table.Tick(now)), "m7")
	now = now.Add(PingInterval)
	must.SliceLen(t, 1, table.Tick(now))
}
