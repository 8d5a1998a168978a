package follow_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/direct/follow"
)

// partialOutage is an outage in which the store answers no call that isAffected selects, and all others.
type partialOutage struct {
	routers, killed int
	// calm is the time before the outage, killAt and startAt are offsets in it.
	calm, length, killAt, startAt time.Duration
	isAffected                    func(topic follow.Topic, isList bool) bool
}

// run plays the outage. It returns how long after its end all routers have the configuration and the
// entry that the store acknowledged at the end, and the largest number of affected calls in one of the 4 s from
// a second after the routers started on.
func (o partialOutage) run(t *testing.T) (took time.Duration, calls int64) {
	runFleet(t, o.routers, 0, func(f *fleet, ctx context.Context) {
		f.store.isAffected.Store(&o.isAffected)
		f.store.Append(follow.Configuration, "c", config(1))
		f.store.Append(follow.Endpoints, "a", endpoint("a"))
		time.Sleep(o.calm)
		begin := time.Now()
		f.store.setSilent(true)
		time.Sleep(o.killAt)
		killed := f.members[o.routers-o.killed:]
		for _, m := range killed {
			m.kill()
		}
		time.Sleep(time.Until(begin.Add(o.startAt)))
		for _, m := range killed {
			m.start(ctx)
		}
		time.Sleep(min(time.Second, time.Until(begin.Add(o.length))))
		var counts []int64
		for time.Until(begin.Add(o.length)) > 0 {
			counts = append(counts, f.store.calls.Load())
			time.Sleep(min(callsWindow/40, time.Until(begin.Add(o.length))))
		}
		for i := 40; i < len(counts); i++ {
			calls = max(calls, counts[i]-counts[i-40])
		}
		took = f.endSilence()
	})
	return took, calls
}

const (
	// callsWindow is the period in which calls to a silent topic are counted.
	callsWindow = 4 * time.Second
	// maxSilentCalls is twice the number of calls in callsWindow to a store that answers nobody, to which
	// a fleet makes one call in each turn.
	maxSilentCalls = 2 * int64(callsWindow/turnLength)
)

// partialOutages are the calls that the outages of the tests concern.
var partialOutages = map[string]func(topic follow.Topic, isList bool) bool{
	"configuration": func(topic follow.Topic, _ bool) bool { return topic == follow.Configuration },
	"listings":      func(topic follow.Topic, isList bool) bool { return topic == follow.Configuration && isList },
	"reads":         func(topic follow.Topic, isList bool) bool { return topic == follow.Configuration && !isList },
	"all reads":     func(_ follow.Topic, isList bool) bool { return !isList },
	"endpoints":     func(topic follow.Topic, _ bool) bool { return topic == follow.Endpoints },
}

// Guards against a configuration that comes into force late after an outage in which the store answers
// calls for one topic only: a router that is answered for the other topic waits for its lost calls. Also
// guards against calls to the silent topic that grow with the fleet.
func TestOutageOfOneTopicDelaysNoConfiguration(t *testing.T) {
	// The observed sequence: the outage begins at 5.5 s, the routers start at 8.74 s, and the store
	// answers again at 13.7 s.
	observed := partialOutage{calm: 5500 * time.Millisecond, killAt: 2 * time.Second, startAt: 3240 * time.Millisecond, length: 8200 * time.Millisecond}
	for _, routers := range []int{5, 29} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			o := observed
			o.routers, o.killed, o.isAffected = routers, routers, partialOutages["configuration"]
			took, calls := o.run(t)
			must.LessEq(t, catchUpBound, took)
			must.LessEq(t, maxSilentCalls, calls)
		})
	}
}

// Guards against the same delay at other moments of the life of a call: the silence ends at any moment
// from the start of the routers on, concerns only listings or only reads, and some or no routers are
// killed in it.
func TestPartialOutageMayEndAtAnyMoment(t *testing.T) {
	const seed = 54
	for name, isAffected := range partialOutages {
		for _, fleet := range []struct{ routers, killed int }{{1, 1}, {5, 0}, {5, 3}, {5, 5}, {29, 0}, {29, 29}} {
			t.Run(fmt.Sprintf("%s,%d of %d killed", name, fleet.killed, fleet.routers), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, uint64(fleet.killed)))
				var latest time.Duration
				var most int64
				var late []string
				step := 170 * time.Millisecond
				if fleet.routers > 5 {
					// A large fleet takes ten times as long to play.
					step = 1330 * time.Millisecond
				}
				for length := 3300 * time.Millisecond; length <= 10*time.Second; length += step {
					o := partialOutage{
						routers: fleet.routers, killed: fleet.killed, isAffected: isAffected, length: length,
						calm:    3*time.Second + time.Duration(random.Int64N(int64(readWait))),
						killAt:  1700*time.Millisecond + time.Duration(random.Int64N(int64(500*time.Millisecond))),
						startAt: 3240 * time.Millisecond,
					}
					took, calls := o.run(t)
					latest, most = max(latest, took), max(most, calls)
					if took > catchUpBound || calls > maxSilentCalls {
						late = append(late, fmt.Sprintf("outage %v after %v, killed at %v: %v, %d calls", length, o.calm, o.killAt, took, calls))
					}
				}
				t.Logf("latest %v, most calls %d", latest, most)
				must.SliceEmpty(t, late, must.Sprintf("seed %d, latest %v, most calls %d", seed, latest, most))
			})
		}
	}
}

// Guards against calls in calm that grow, as they are billed: each router that reads the store makes one call
// for each topic in the time that the store holds a read.
func TestCallsInCalmDoNotGrow(t *testing.T) {
	const calm = time.Minute
	for routers, readers := range map[int]int64{1: 1, 5: 5, 29: 3} {
		runFleet(t, routers, 0, func(f *fleet, _ context.Context) {
			f.store.Append(follow.Configuration, "c", config(1))
			f.store.Append(follow.Endpoints, "a", endpoint("a"))
			time.Sleep(5 * time.Second)
			before := f.store.calls.Load()
			time.Sleep(calm)
			must.LessEq(t, 2*readers*int64(calm/readWait), f.store.calls.Load()-before, must.Sprint(routers, " routers"))
		})
	}
}
