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
	// viewAge is the greatest age of the configuration with which a stream is looked up.
	viewAge = 3 * time.Second
)

// Paths below wide match one route, and those below narrow both.
const (
	wide   = Route(1)
	narrow = Route(2)
)

// services holds the builds of two services.
var services = [2][]Build{{1, 2, 3}, {4, 5}}

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

	view    view
	routers []*simulatedRouter
	streams []simulatedStream
	// begun counts the streams that began, omitted those of them without a saved origin, and concluded
	// how often a build was concluded for one.
	begun, omitted, concluded int
}

// view is what is known of the routes and the endpoints.
type view struct {
	// weights holds, by route, the weights of the services.
	weights   map[Route][2]int
	endpoints map[Build]int
}

func (v view) clone() view { return view{maps.Clone(v.weights), maps.Clone(v.endpoints)} }

// matching returns the routes that match a path, the longest one first.
func (v view) matching(isNarrow bool) (routes []Route) {
	for _, r := range []Route{narrow, wide} {
		if _, exists := v.weights[r]; exists && (r == wide || isNarrow) {
			routes = append(routes, r)
		}
	}
	return routes
}

func (v view) shares() map[Route]map[Build]float64 {
	shares := map[Route]map[Build]float64{}
	for r, weights := range v.weights {
		shares[r] = map[Build]float64{}
		for i, weight := range weights {
			for _, b := range services[i] {
				if weight > 0 && v.endpoints[b] > 0 {
					shares[r][b] = float64(weight * v.endpoints[b])
				}
			}
		}
	}
	return shares
}

type simulatedRecord struct {
	implied *ImpliedBuilds
	stream  Stream
	build   Build
	at      time.Time
}

type simulatedStream struct {
	id       Stream
	build    Build
	isNarrow bool
	began    time.Time
}

type simulatedRouter struct {
	lease  Lease
	saved  *ImpliedBuilds
	era    int64
	end    int64
	policy ImpliedPolicy
	// suspended is set while the router doesn't run, cut while it can't reach the store.
	suspended, cut bool
	view           view
	viewedAt       time.Time
}

func (s *simulation) reaches(r *simulatedRouter) bool {
	return !s.unreachable && !r.cut && !r.suspended
}

// read reads the record of the implied builds.
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
}

// follow reads the routes and the endpoints.
func (s *simulation) follow(r *simulatedRouter) { r.view, r.viewedAt = s.view.clone(), s.now }

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
	stream := simulatedStream{id: Stream(s.begun + 1), isNarrow: s.random.IntN(2) == 0, began: s.now}
	routes := r.view.matching(stream.isNarrow)
	if len(routes) == 0 || r.suspended {
		return
	}
	shares := r.view.shares()[routes[0]]
	for b := range Build(6) {
		if shares[b] > 0 && (stream.build == AnyBuild || s.random.IntN(3) == 0) {
			stream.build = b
		}
	}
	switch {
	case stream.build == AnyBuild:
		return
	case r.lease.MayOmit(s.now, routes, stream.build, r.era):
		s.omitted++
	case s.reaches(r):
		s.append(simulatedRecord{stream: stream.id, build: stream.build})
	case r.lease.Fallback(s.now, routes) == stream.build:
		s.omitted++
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
		// Otherwise, the write depends on an earlier read.
		s.read(r)
	}
	if r.lease.ReadAt.IsZero() || r.viewedAt.IsZero() {
		return
	}
	next, changed := r.policy.Next(s.now, r.view.shares(), r.saved, r.era, r.end, streamLife)
	if changed && r.end == int64(len(s.log)) {
		s.append(simulatedRecord{implied: &next})
	}
}

// takeUp looks up a stream at a router that knows nothing of it but what the store holds.
func (s *simulation) takeUp(stream simulatedStream, v view) {
	if _, ok := s.origins[stream.id]; ok || s.implied == nil {
		return
	}
	if b, ok := s.implied.Conclude(v.matching(stream.isNarrow), s.era); ok {
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

// disturb changes something: endpoints of a release, of its return or of a crash, a route that is added,
// removed, split, joined or moved, a router that is killed, suspended or cut off, the store.
func (s *simulation) disturb() {
	r := s.routers[s.random.IntN(len(s.routers))]
	build := Build(1 + s.random.IntN(5))
	route := Route(1 + s.random.IntN(2))
	switch s.random.IntN(10) {
	case 0, 1:
		s.view.endpoints[build] = 1 + s.random.IntN(3)
	case 2:
		delete(s.view.endpoints, build)
	case 3:
		s.view.weights[route] = [][2]int{{1, 0}, {0, 1}, {9, 1}, {1, 1}}[s.random.IntN(4)]
	case 4:
		delete(s.view.weights, route)
	case 5:
		*r = simulatedRouter{}
	case 6:
		for _, r := range s.routers {
			*r = simulatedRouter{}
		}
	case 7:
		r.suspended, r.cut = s.random.IntN(3) == 0, s.random.IntN(3) == 0
	case 8:
		s.unreachable = !s.unreachable
	case 9:
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
			if s.reaches(r) && s.random.IntN(4) == 0 {
				s.follow(r)
			}
			s.upkeep(r)
			if s.random.IntN(3) == 0 {
				s.begin(r)
			}
		}
		views := []view{s.view}
		for _, r := range s.routers {
			if !r.viewedAt.IsZero() && s.now.Sub(r.viewedAt) <= viewAge {
				views = append(views, r.view)
			}
		}
		for i := 0; i < len(s.streams); i++ {
			if s.now.Sub(s.streams[i].began) > streamLife {
				s.streams = append(s.streams[:i], s.streams[i+1:]...)
				i--
				continue
			}
			for _, v := range views {
				s.takeUp(s.streams[i], v)
			}
		}
	}
}

// Guards against streams that are taken for ones of another build in any order of releases, returns of
// a build, changes of routes, kills, suspensions, outages and restorations of the store.
func TestStreamsAreNeverTakenForAnotherBuild(t *testing.T) {
	begun, omitted, concluded := 0, 0, 0
	for seed := range uint64(searchSeeds) {
		s := &simulation{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), now: start, origins: map[Stream]Build{},
			view: view{weights: map[Route][2]int{wide: {1, 0}}, endpoints: map[Build]int{1: 2, 4: 1}},
		}
		for range 3 {
			r := &simulatedRouter{policy: ImpliedPolicy{FirstStart: true}}
			s.routers = append(s.routers, r)
			s.read(r)
			s.follow(r)
		}
		s.run()
		begun, omitted, concluded = begun+s.begun, omitted+s.omitted, concluded+s.concluded
	}
	t.Logf("%d streams began, %d without a saved origin, and %d times a build was concluded", begun, omitted, concluded)
	if omitted == 0 || concluded == 0 {
		t.Fatal("no origin was omitted, or no build concluded")
	}
}
