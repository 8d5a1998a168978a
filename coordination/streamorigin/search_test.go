package streamorigin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
// depends on the real time. The routers save the origins of streams that began without one only before they
// acknowledge what they have read, and forget their own streams otherwise, as if all were killed.
type simulation struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Time

	log []simulatedRecord
	// late holds writes without an answer, which are executed at the time in their records.
	late []simulatedRecord
	// origins, implied and registrations are what the records of log say.
	origins       map[Stream]Build
	implied       *ImpliedBuilds
	registrations map[string]simulatedRegistration
	era           int64
	unreachable   bool
	// disturbEvery is the mean number of steps between two disturbances. areRoutesFixed is set if they don't
	// change routes.
	disturbEvery   int
	areRoutesFixed bool
	// processes counts the processes that were started, hosts the routers.
	processes, hosts int

	view    view
	routers []*simulatedRouter
	streams []simulatedStream
	// begun counts the streams that began, omitted those of them without a saved origin, and concluded
	// how often a build was concluded for one. quick counts the builds that were settled because all processes had
	// acknowledged them.
	begun, omitted, concluded, quick int
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
	// key is set for the registration of a process. removed is set if the record removes it.
	key          string
	registration simulatedRegistration
	removed      bool
	at           time.Time
}

type simulatedRegistration struct {
	router, process string
	retired         bool
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
	// suspended is set while the router doesn't run, cut while it can't reach the store, muted while it can't
	// reach its peers.
	suspended, cut, muted bool
	name, process         string
	startedAt             time.Time
	processes             *Processes
	// keys counts the registrations that this process has written.
	keys int
	// unsaved holds the streams that began without a saved origin, and toSave those of them that need one.
	unsaved, toSave []simulatedStream
	// acknowledgedEra and acknowledged are what the process tells its peers.
	acknowledgedEra, acknowledged int64
	view                          view
	viewedAt                      time.Time
}

func (s *simulation) reaches(r *simulatedRouter) bool {
	return !s.unreachable && !r.cut && !r.suspended
}

// newRouter returns a new process of a router.
func (s *simulation) newRouter(name string, isFirst bool) simulatedRouter {
	s.processes++
	processes := NewProcesses()
	return simulatedRouter{
		name: name, process: fmt.Sprint("process-", s.processes), startedAt: s.now, processes: processes,
		policy: ImpliedPolicy{FirstStart: isFirst, Processes: processes},
	}
}

// restart kills a router and starts it again, or starts one on a new host in its place.
func (s *simulation) restart(r *simulatedRouter, isReplaced bool) {
	if isReplaced {
		s.hosts++
		*r = s.newRouter(fmt.Sprint("host-", s.hosts), false)
		return
	}
	*r = s.newRouter(r.name, false)
}

// read reads the records of the implied builds and of the processes.
func (s *simulation) read(r *simulatedRouter) {
	if s.era > r.era {
		r.policy.Restored()
	}
	r.era, r.end, r.saved = s.era, int64(len(s.log)), s.implied
	listed := map[string]bool{}
	for key, g := range s.registrations {
		listed[key] = true
		r.processes.Register(s.now, key, g.router, g.process, g.retired)
	}
	r.processes.KeepOnly(listed)
	builds := ImpliedBuilds{}
	if s.implied != nil {
		builds = *s.implied
	}
	for _, b := range builds.Unsettled(r.lease.ImpliedBuilds) {
		for _, stream := range r.unsaved {
			if stream.build == b {
				r.toSave = append(r.toSave, stream)
			}
		}
	}
	r.lease = Lease{ImpliedBuilds: builds}
	if r.processes.IsRegistered(r.process) {
		r.lease.ReadAt = s.now
	}
}

// acknowledge saves the origins of streams that need it now, and tells the peers what this process has read.
func (s *simulation) acknowledge(r *simulatedRouter) {
	if s.reaches(r) && s.random.IntN(2) == 0 {
		for _, stream := range r.toSave {
			s.append(simulatedRecord{stream: stream.id, build: stream.build})
		}
		r.toSave = nil
	}
	if len(r.toSave) == 0 && !r.suspended && !r.lease.ReadAt.IsZero() {
		r.acknowledgedEra, r.acknowledged = r.era, r.end
	}
	for _, peer := range s.routers {
		if peer == r || !r.suspended && !peer.suspended && !r.muted && !peer.muted && s.random.IntN(2) == 0 {
			peer.processes.Acknowledge(s.now, r.process, r.acknowledgedEra, r.acknowledged)
		}
	}
}

// register keeps the registrations of the processes.
func (s *simulation) register(r *simulatedRouter) {
	if !r.processes.IsRegistered(r.process) {
		r.keys++
		s.write(simulatedRecord{key: fmt.Sprint(r.process, "-", r.keys), registration: simulatedRegistration{router: r.name, process: r.process}})
	}
	for _, key := range r.processes.Ended(s.now, r.name, r.process, r.startedAt, streamLife) {
		s.write(simulatedRecord{key: key, removed: true})
	}
	for _, key := range r.processes.Silent(s.now, r.process) {
		g := s.registrations[key]
		g.retired = true
		s.write(simulatedRecord{key: key, registration: g})
	}
	r.processes.Expire(s.now, streamLife)
}

// write appends a record, or lets the store execute the write later.
func (s *simulation) write(r simulatedRecord) {
	if s.random.IntN(3) > 0 {
		s.append(r)
		return
	}
	r.at = s.now.Add(time.Duration(s.random.IntN(20)) * time.Second)
	s.late = append(s.late, r)
}

func (s *simulation) executeLate() {
	s.late = slices.DeleteFunc(s.late, func(r simulatedRecord) bool {
		isDue := !s.now.Before(r.at)
		if isDue {
			s.append(r)
		}
		return isDue
	})
}

// follow reads the routes and the endpoints.
func (s *simulation) follow(r *simulatedRouter) { r.view, r.viewedAt = s.view.clone(), s.now }

func (s *simulation) append(r simulatedRecord) {
	r.at = s.now
	s.log = append(s.log, r)
	s.apply(r)
}

func (s *simulation) apply(r simulatedRecord) {
	switch {
	case r.implied != nil:
		s.implied = r.implied
	case r.removed:
		delete(s.registrations, r.key)
	case r.key != "":
		s.registrations[r.key] = r.registration
	default:
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
		r.unsaved = append(r.unsaved, stream)
		s.omitted++
	case s.reaches(r):
		s.append(simulatedRecord{stream: stream.id, build: stream.build})
	case r.lease.Fallback(s.now, routes) == stream.build:
		r.toSave = append(r.toSave, stream)
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
		s.countQuick(r, next)
		s.append(simulatedRecord{implied: &next})
	}
}

// countQuick counts the builds that are settled earlier than by the time that has passed.
func (s *simulation) countQuick(r *simulatedRouter, next ImpliedBuilds) {
	for route, i := range next.Of {
		before, ok := r.saved.of(route)
		if ok && before.State == Replacing && i.State == Settled && s.now.Sub(s.log[before.Since].at) < LeaseDuration+streamLife {
			s.quick++
		}
	}
}

func (b *ImpliedBuilds) of(r Route) (Implied, bool) {
	if b == nil {
		return Implied{}, false
	}
	i, ok := b.Of[r]
	return i, ok
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
	s.origins, s.implied, s.registrations = map[Stream]Build{}, nil, map[string]simulatedRegistration{}
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
	kind := s.random.IntN(10)
	if s.areRoutesFixed && (kind == 3 || kind == 4) {
		s.release()
		return
	}
	switch kind {
	case 0, 1:
		s.view.endpoints[build] = 1 + s.random.IntN(3)
	case 2:
		delete(s.view.endpoints, build)
	case 3:
		s.view.weights[route] = [][2]int{{1, 0}, {0, 1}, {9, 1}, {1, 1}}[s.random.IntN(4)]
	case 4:
		delete(s.view.weights, route)
	case 5:
		s.restart(r, s.random.IntN(3) == 0)
	case 6:
		for _, r := range s.routers {
			s.restart(r, false)
		}
	case 7:
		r.suspended, r.cut, r.muted = s.random.IntN(3) == 0, s.random.IntN(3) == 0, s.random.IntN(3) == 0
	case 8:
		s.unreachable = !s.unreachable
	case 9:
		if s.random.IntN(5) == 0 {
			s.restore()
		}
	}
}

// release replaces the endpoints of a service by those of another build.
func (s *simulation) release() {
	builds := services[s.random.IntN(2)]
	for _, b := range builds {
		delete(s.view.endpoints, b)
	}
	s.view.endpoints[builds[s.random.IntN(len(builds))]] = 2
}

func (s *simulation) run() {
	for ; s.now.Sub(start) < searchTime; s.now = s.now.Add(searchStep) {
		if s.random.IntN(s.disturbEvery) == 0 {
			s.disturb()
		}
		s.executeLate()
		for _, r := range s.routers {
			if s.reaches(r) && s.random.IntN(16) == 0 {
				s.read(r)
			}
			if s.reaches(r) && r.era == s.era && r.end > 0 && s.random.IntN(4) == 0 {
				s.register(r)
			}
			s.acknowledge(r)
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
// a build, changes of routes, kills, replacements of hosts, suspensions, cuts between routers, late writes,
// outages and restorations of the store.
func TestStreamsAreNeverTakenForAnotherBuild(t *testing.T) {
	begun, omitted, concluded, quick := 0, 0, 0, 0
	for seed := range uint64(searchSeeds) {
		s := &simulation{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), now: start, origins: map[Stream]Build{},
			registrations: map[string]simulatedRegistration{}, hosts: 3, disturbEvery: 12,
			view: view{weights: map[Route][2]int{wide: {1, 0}}, endpoints: map[Build]int{1: 2, 4: 1}},
		}
		if seed%2 == 1 {
			s.disturbEvery, s.areRoutesFixed = 30, true
			s.view.weights[narrow] = [2]int{1, 1}
		}
		for i := range 3 {
			r := s.newRouter(fmt.Sprint("host-", i+1), true)
			s.routers = append(s.routers, &r)
			s.register(&r)
		}
		for _, r := range s.routers {
			s.read(r)
			s.follow(r)
		}
		s.run()
		begun, omitted, concluded, quick = begun+s.begun, omitted+s.omitted, concluded+s.concluded, quick+s.quick
	}
	t.Logf("%d streams began, %d without a saved origin, %d times a build was concluded, and %d builds were settled early", begun, omitted, concluded, quick)
	if omitted == 0 || concluded == 0 || quick == 0 {
		t.Fatal("no origin was omitted, no build concluded, or none settled early")
	}
}
