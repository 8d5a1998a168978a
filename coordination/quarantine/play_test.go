package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// play is a simulated minute of a few routers and engines. Requests share their first part; each has a topic
// and a part of its own. Some have a part, or are a request, that crashes the engine during the response.
type play struct {
	random  *rand.Rand
	tables  []*Table
	engines []*playedEngine
	// duration is that of a sound response, crashAfter the time from the first event to the crash.
	duration   time.Duration
	crashAfter func() time.Duration
	// rate is the number of requests a second, deadlyShare the share of those that crash engines.
	rate        float64
	deadlyShare float64
	topics      int
	// isRequest is set if one request that comes again crashes engines, and no part.
	isRequest bool

	crashes []time.Duration
	// reached holds when requests that crash engines reached one; served and refused count the sound
	// requests after the fifth crash.
	reached         []time.Duration
	served, refused int
}

type playedEngine struct {
	incarnation uint32
	downUntil   time.Duration
	running     []*playedRun
}

type playedRun struct {
	table    int
	parts    []uint64
	request  uint64
	isDeadly bool
	began    time.Duration
	end      time.Duration
}

const (
	playStep = 50 * time.Millisecond
	playTime = 40 * time.Second
	playCalm = 5 * time.Second
	// playBack is the time for which an engine that crashed is down.
	playBack = 3 * time.Second
	// stability is the time after the fifth crash from which on at most three requests may crash engines.
	stability = 3 * time.Second
)

func (p *play) run() {
	for now := time.Duration(0); now < playTime; now += playStep {
		for _, e := range p.engines {
			p.advance(e, now)
		}
		for n := p.rate * playStep.Seconds(); p.random.Float64() < n; n-- {
			p.send(now)
		}
		if now%time.Second == 0 {
			p.gossip(now)
		}
		p.tellPeers(now)
	}
}

// advance ends the responses of an engine that are complete, and lets it crash.
func (p *play) advance(e *playedEngine, now time.Duration) {
	crashes := false
	e.running = slices.DeleteFunc(e.running, func(r *playedRun) bool {
		if r.end > now {
			return false
		}
		crashes = crashes || r.isDeadly
		if !r.isDeadly {
			p.tables[r.table].Ran(start.Add(now), r.parts, Completed)
			p.tables[r.table].Answered(start.Add(now), r.request)
		}
		return !r.isDeadly
	})
	if !crashes {
		return
	}
	p.crashes = append(p.crashes, now)
	for _, r := range e.running {
		p.tables[r.table].AddInterrupted(Interrupted{
			Crash: e.incarnation, At: start.Add(now), Responding: true, Begun: now > r.began, Lasted: now - r.began, Parts: r.parts, Request: r.request,
		}, e.incarnation, true)
	}
	e.running, e.downUntil = nil, now+playBack
	e.incarnation += 1000
}

func (p *play) send(now time.Duration) {
	e := p.engines[p.random.IntN(len(p.engines))]
	if now < e.downUntil {
		return
	}
	r := &playedRun{table: p.random.IntN(len(p.tables)), began: now, isDeadly: now >= playCalm && p.random.Float64() < p.deadlyShare}
	topic := uint64(100 + p.random.IntN(p.topics))
	r.request, r.end = p.random.Uint64(), now+p.duration/2+time.Duration(p.random.Int64N(int64(p.duration)))
	switch {
	case r.isDeadly && p.isRequest:
		r.request = 666
		topic = 50
	case r.isDeadly:
		topic = deadly
	}
	if r.isDeadly {
		r.end = now + p.crashAfter()
	}
	r.parts = []uint64{caller, topic}
	table := p.tables[r.table]
	isLate := len(p.crashes) >= 5 && now > p.crashes[4]+2*stability
	if _, refuse := table.Refuse(start.Add(now), r.parts, r.request); refuse {
		if isLate && !r.isDeadly {
			p.refused++
		}
		return
	}
	if r.isDeadly {
		p.reached = append(p.reached, now)
	} else if isLate {
		p.served++
	}
	table.Served(start.Add(now), r.parts)
	e.running = append(e.running, r)
}

// tellPeers sends the news of each table to the others, and lets each record how long its responses last.
func (p *play) tellPeers(now time.Duration) {
	for _, e := range p.engines {
		for _, r := range e.running {
			if t := p.tables[r.table]; now%time.Second == 0 && t.IsRunSuspect(r.parts) {
				t.Ran(start.Add(now), r.parts, now-r.began)
			}
		}
	}
	for i, t := range p.tables {
		news := t.TakeNews()
		for k, peer := range p.tables {
			if k != i && !news.Empty() {
				peer.Merge(news)
			}
		}
	}
}

func (p *play) gossip(now time.Duration) {
	for i, t := range p.tables {
		t.Expire(start.Add(now))
		peer := (i + 1 + p.random.IntN(len(p.tables)-1)) % len(p.tables)
		if p.tables[peer].Merge(t.Facts()) {
			t.Merge(p.tables[peer].Facts())
		}
	}
}

func (p *play) late() int {
	n := 0
	for _, at := range p.reached {
		if len(p.crashes) >= 5 && at > p.crashes[4]+stability {
			n++
		}
	}
	return n
}

func newPlay(seed uint64) *play {
	random := rand.New(rand.NewPCG(seed, 3))
	p := &play{
		random: random, duration: time.Duration(1+random.IntN(8)) * time.Second, rate: []float64{15, 40, 120}[random.IntN(3)],
		deadlyShare: []float64{0.02, 0.05, 0.1}[random.IntN(3)], topics: []int{3, 30, 90}[random.IntN(3)], isRequest: random.IntN(3) == 0,
	}
	// The moment of the crash: before the first event, right after it, after a fixed time, or at any time.
	most := time.Duration(1+random.IntN(1500)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		p.crashAfter = func() time.Duration { return 0 }
	case 1:
		p.crashAfter = func() time.Duration { return playStep }
	case 2:
		p.crashAfter = func() time.Duration { return most }
	case 3:
		p.crashAfter = func() time.Duration { return time.Duration(random.Int64N(int64(most))) }
	}
	for range 2 + random.IntN(4) {
		p.tables = append(p.tables, NewTable())
	}
	for i := range 4 + random.IntN(20) {
		p.engines = append(p.engines, &playedEngine{incarnation: uint32(i)})
	}
	return p
}

func (p *play) String() string {
	return fmt.Sprintf("%d routers, %d engines, responses of %v, %v requests a second, %v of them deadly, %d topics, a request: %t; %d crashes, %d late, %d sound requests served, %d refused",
		len(p.tables), len(p.engines), p.duration, p.rate, p.deadlyShare, p.topics, p.isRequest, len(p.crashes), p.late(), p.served, p.refused)
}

// Guards against a part, or a request, that crashes engines at any moment of the response and is never
// quarantined, because other responses with it have begun; and against sound requests that are refused since
// crashes break off theirs, too.
func TestCrashingPartIsQuarantinedAtAnyMoment(t *testing.T) {
	for seed := range uint64(80) {
		p := newPlay(seed)
		p.run()
		must.LessEq(t, 3, p.late(), must.Sprint("seed ", seed, ": ", p))
		if p.served+p.refused >= 20 {
			must.Greater(t, p.refused, p.served, must.Sprint("seed ", seed, ": ", p))
		}
	}
}
