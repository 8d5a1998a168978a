package streamorigin

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	searchSeeds = 500
	searchTime  = 240 * time.Second
	searchStep  = 250 * time.Millisecond
	// streamLife is the time for which a stream can be taken up.
	streamLife = 15 * time.Second
	// copyAge is the age of the copy from which the store is restored.
	copyAge = 9 * time.Second
)

// simulation runs routers that follow the lease and the policy, a store, and streams. Nothing in it
// depends on the real time. The routers forget their own streams at once, as if all were killed, and
// save none later.
type simulation struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Time

	log []simulatedRecord
	// origins and implied are what the records of log say.
	origins     map[Stream]Build
	implied     *ImpliedBuilds
	era         int64
	unreachable bool

	endpoints map[Build]int
	routers   []*simulatedRouter
	streams   []simulatedStream
	// begun counts the streams that began, concluded those whose build was concluded from the store.
	begun, concluded int
}

type simulatedRecord struct {
	implied *ImpliedBuilds
	stream  Stream
	build   Build
	at      time.Time
}

type simulatedStream struct {
	id    Stream
	build Build
	began time.Time
}

type simulatedRouter struct {
	lease  Lease
	saved  *ImpliedBuilds
	era    int64
	end    int64
	policy ImpliedPolicy
	// stands is set while the router is suspended, cut while it can't reach the store.
	stands, cut bool
	// endpoints is what the router knows of the endpoints.
	endpoints map[Build]int
}

func (s *simulation) reaches(r *simulatedRouter) bool { return !s.unreachable && !r.cut && !r.stands }

// read reads the store.
func (s *simulation) read(r *simulatedRouter) {
	if s.era > r.era {
		r.policy.Restored()
	}
	r.era, r.end, r.saved = s.era, int64(len(s.log)), s.implied
	builds := ImpliedBuilds{}
	if s.implied != nil {
		builds = *s.implied
	}
	r.lease = Lease{ImpliedBuilds: builds, ReadAt: s.now}
	r.endpoints = maps.Clone(s.endpoints)
}

func (s *simulation) append(r simulatedRecord) {
	r.at = s.now
	s.log = append(s.log, r)
	s.apply(r)
}

func (s *simulation) apply(r simulatedRecord) {
	if r.implied != nil {
		s.implied = r.implied
	} else {
		s.origins[r.stream] = r.build
	}
}

// begin begins a stream, unless its origin can't be saved and the lease doesn't allow to omit that.
func (s *simulation) begin(r *simulatedRouter) {
	var list []Build
	for b := range Build(4) {
		if s.endpoints[b] > 0 {
			list = append(list, b)
		}
	}
	if len(list) == 0 || r.stands {
		return
	}
	build := list[s.random.IntN(len(list))]
	stream := simulatedStream{id: Stream(s.begun + 1), build: build, began: s.now}
	switch {
	case r.lease.MayOmit(s.now, service, build, r.era):
	case s.reaches(r):
		s.append(simulatedRecord{stream: stream.id, build: build})
	case r.lease.Fallback(s.now, service) == build:
	default:
		return
	}
	s.begun++
	s.streams = append(s.streams, stream)
}

// upkeep changes the implied builds if the policy says so.
func (s *simulation) upkeep(r *simulatedRouter) {
	if !s.reaches(r) {
		r.policy.Disturbed()
		return
	}
	if s.random.IntN(4) == 0 {
		// The write depends on an earlier read.
		s.read(r)
	}
	if r.saved == nil && r.lease.ReadAt.IsZero() {
		return
	}
	next, changed := r.policy.Next(s.now, counts(r.endpoints), r.saved, r.era, r.end, streamLife)
	if changed && r.end == int64(len(s.log)) {
		s.append(simulatedRecord{implied: &next})
	}
}

// takeUp looks up a stream at a router that has just started, as after a kill of all routers.
func (s *simulation) takeUp(stream simulatedStream) {
	if _, ok := s.origins[stream.id]; ok || s.implied == nil {
		return
	}
	if b, ok := s.implied.Conclude(service, s.era); ok {
		s.concluded++
		if b != stream.build {
			s.t.Fatalf("seed %d: %v: stream %d of build %d, begun at %v, is taken for one of build %d", s.seed, s.now.Sub(start), stream.id, stream.build, stream.began.Sub(start), b)
		}
	}
}

func (s *simulation) restore() {
	n := len(s.log)
	for n > 0 && s.now.Sub(s.log[n-1].at) < copyAge {
		n--
	}
	s.log = s.log[:n:n]
	s.era++
	s.origins, s.implied = map[Stream]Build{}, nil
	for _, r := range s.log {
		s.apply(r)
	}
}

// disturb changes something: endpoints of a release, of its return or of a crash, a router that is
// killed, suspended or cut off, the store.
func (s *simulation) disturb() {
	r := s.routers[s.random.IntN(len(s.routers))]
	build := Build(1 + s.random.IntN(3))
	switch s.random.IntN(9) {
	case 0, 1:
		s.endpoints[build] = 1 + s.random.IntN(3)
	case 2, 3:
		delete(s.endpoints, build)
	case 4:
		*r = simulatedRouter{}
	case 5:
		for _, r := range s.routers {
			*r = simulatedRouter{}
		}
	case 6:
		r.stands, r.cut = s.random.IntN(3) == 0, s.random.IntN(3) == 0
	case 7:
		s.unreachable = !s.unreachable
	case 8:
		if s.random.IntN(5) == 0 {
			s.restore()
		}
	}
}

func (s *simulation) run() {
	for ; s.now.Sub(start) < searchTime; s.now = s.now.Add(searchStep) {
		if s.random.IntN(12) == 0 {
			s.disturb()
		}
		for _, r := range s.routers {
			if s.reaches(r) && s.random.IntN(16) == 0 {
				s.read(r)
			}
			s.upkeep(r)
			if s.random.IntN(3) == 0 {
				s.begin(r)
			}
		}
		for i := 0; i < len(s.streams); i++ {
			if s.now.Sub(s.streams[i].began) > streamLife {
				s.streams = append(s.streams[:i], s.streams[i+1:]...)
				i--
				continue
			}
			s.takeUp(s.streams[i])
		}
	}
}

// Guards against streams that are taken for ones of another build in any order of releases, returns of
// a build, kills, suspensions, outages and restorations of the store.
func TestStreamsAreNeverTakenForAnotherBuild(t *testing.T) {
	begun, concluded := 0, 0
	for seed := range uint64(searchSeeds) {
		s := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), endpoints: map[Build]int{1: 2}, origins: map[Stream]Build{}}
		for range 3 {
			s.routers = append(s.routers, &simulatedRouter{policy: ImpliedPolicy{FirstStart: true}})
		}
		s.now = start
		for _, r := range s.routers {
			s.read(r)
		}
		s.run()
		begun, concluded = begun+s.begun, concluded+s.concluded
	}
	t.Logf("%d streams began, %d times a build was concluded", begun, concluded)
	if concluded == 0 {
		t.Fatal("no build was ever concluded")
	}
}
