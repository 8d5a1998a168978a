package origins_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/streamorigin"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/direct/origins"
)

// begunStream is a stream that began in a search.
type begunStream struct {
	attempt string
	build   streamorigin.Build
	at      time.Time
}

// originSearch plays a fleet of three routers beside a store that executes some writes late, is down at times or
// comes back from a copy.
type originSearch struct {
	f      *routers
	random *rand.Rand
	peers  *peers
	paths  []*link
	late   *lateStore
	// lateShare is the share of late writes, in percent.
	lateShare atomic.Uint64
	begun     []begunStream
	// copies are those of the store since its latest restoration.
	copies []directtest.Copy
	// found counts the streams whose build was found.
	found int
}

const searchedRouters = 3

// searchedLife is how long a stream may be taken up.
const searchedLife = 10 * time.Second

func newOriginSearch(t *testing.T, seed uint64) *originSearch {
	s := &originSearch{f: newRouters(t, build), random: rand.New(rand.NewPCG(seed, 2))}
	s.f.longestStream.Store(int64(searchedLife))
	var draws atomic.Uint64
	draws.Store(seed)
	s.late = &lateStore{Store: s.f.store, delay: func() time.Duration {
		draw := rand.New(rand.NewPCG(draws.Add(1), seed))
		if draw.Uint64N(100) >= s.lateShare.Load() {
			return 0
		}
		return time.Second + time.Duration(draw.Int64N(int64(9*time.Second)))
	}}
	s.copies = append(s.copies, s.f.store.Copy())
	s.start()
	return s
}

// start starts all routers.
func (s *originSearch) start() {
	s.paths = nil
	s.peers = s.f.startPeersOn(func(int) follow.Store {
		s.paths = append(s.paths, &link{Store: s.late})
		return s.paths[len(s.paths)-1]
	}, "r0", "r1", "r2")
}

func (s *originSearch) router() *origins.Origins {
	return s.peers.fleet[s.random.IntN(searchedRouters)]
}

// copyAge is the age of the copy from which the store is restored, in steps of half a second on average.
const copyAge = 8

// disturb changes the endpoints, the store or the routers.
func (s *originSearch) disturb() {
	switch s.random.IntN(8) {
	case 0:
		s.f.kill()
		s.start()
	case 1:
		s.paths[s.random.IntN(searchedRouters)].cut.Store(s.random.IntN(2) == 0)
	case 2:
		s.peers.silent.Store(s.random.IntN(2) == 0)
	case 3:
		s.lateShare.Store(uint64(s.random.IntN(3) * 25))
	case 4:
		isDown := s.random.IntN(2) == 0
		s.f.store.SetUnreachable(isDown)
		s.f.unread.Store(isDown)
	case 5:
		if s.random.IntN(3) == 0 {
			s.f.store.Restore(s.copies[max(0, len(s.copies)-copyAge)])
			s.copies = []directtest.Copy{s.f.store.Copy()}
		}
	default:
		s.f.builds.set([][]streamorigin.Build{{build}, {otherBuild}, {build, otherBuild}}[s.random.IntN(3)]...)
	}
}

// begin begins a stream at one of the builds that have endpoints.
func (s *originSearch) begin(attempt string) {
	counts := s.f.builds.counts()
	b := build + streamorigin.Build(s.random.IntN(2))
	if counts[b] > 0 && s.router().Begin(s.f.t.Context(), attempt, onChat, b) {
		s.begun = append(s.begun, begunStream{attempt, b, time.Now()})
	}
}

// takeUp takes a stream up that may still be taken up.
func (s *originSearch) takeUp() error {
	if len(s.begun) == 0 {
		return nil
	}
	stream := s.begun[len(s.begun)-1-s.random.IntN(min(len(s.begun), 20))]
	got, ok := s.router().Find(s.f.t.Context(), stream.attempt, onChat)
	if !ok || time.Since(stream.at) > searchedLife {
		return nil
	}
	s.found++
	if got != stream.build {
		return fmt.Errorf("%s of build %d, begun %v ago, is taken for one of build %d", stream.attempt, stream.build, time.Since(stream.at), got)
	}
	return nil
}

// Guards against streams that are taken for ones of another build in any order of releases, kills of all routers,
// writes that the store executes late, outages, restorations, and routers that reach neither the store nor a peer.
func TestStreamsStayAtTheirBuildInAnyOrder(t *testing.T) {
	found := 0
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			s := newOriginSearch(t, seed)
			for step := range 250 {
				if s.random.IntN(10) == 0 {
					s.disturb()
				}
				s.begin(fmt.Sprint("stream-", step))
				for range 2 {
					if err := s.takeUp(); err != nil {
						t.Fatalf("seed %d, step %d: %v", seed, step, err)
					}
				}
				s.copies = append(s.copies, s.f.store.Copy())
				time.Sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
			}
			found += s.found
			s.f.kill()
			time.Sleep(20 * time.Second)
		})
	}
	must.Positive(t, found)
	t.Logf("the builds of %d streams were found", found)
}
