package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

const (
	// versionedEvents and versionedEventDelay define streams that last over a second.
	versionedEvents     = 30
	versionedEventDelay = 50 * time.Millisecond
	// numVersionedStreams is the number of streams in these tests.
	numVersionedStreams = 48
)

// versionedStream is a stream as its caller sees it over all attempts.
type versionedStream struct {
	id string
	// versions holds the version that wrote each event.
	versions []string
	complete bool
}

// mixed reports whether the stream holds events of several versions.
func (s *versionedStream) mixed() bool {
	for _, v := range s.versions {
		if v != s.versions[0] {
			return true
		}
	}
	return false
}

// addVersionedEngine starts an engine of a software version.
func (f *fleet) addVersionedEngine(id, version string) {
	f.addWorker("engines", version, &platformtest.Worker{
		ID: id, Version: version, ExecutionCounter: f.executions, Events: versionedEvents, EventDelay: versionedEventDelay,
	})
}

// attempt sends one attempt of a stream to a router, under an identifier of its own, and
// appends the events of the response.
func (s *versionedStream) attempt(ctx context.Context, r *router, number int) (status int, retryAfter time.Duration, err error) {
	id := fmt.Sprintf("%s-%d", s.id, number)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.trafficAddress+"/stream/again/"+s.id, strings.NewReader("body"))
	if err != nil {
		return 0, 0, err
	}
	req.Host = "soak.example"
	req.Header.Set(platformtest.RequestID, id)
	req.Header.Set("Authorization", "Bearer k1")
	if len(s.versions) > 0 {
		req.Header.Set(platformtest.LastEventID, fmt.Sprint(len(s.versions)))
		req.Header.Set(platformtest.Resumes, s.id+"-0")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok && response.StatusCode == http.StatusOK {
			version, _, _ := strings.Cut(text, " ")
			s.versions = append(s.versions, version)
		}
	}
	s.complete = lines.Err() == nil && len(s.versions) == versionedEvents
	// Without the header, the delay is zero.
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), lines.Err()
}

// takeUp takes the stream up again until it is complete or refused several times.
func (s *versionedStream) takeUp(ctx context.Context, routers []*router) {
	for number := 1; number <= 4 && !s.complete; number++ {
		status, retryAfter, err := s.attempt(ctx, routers[number%len(routers)], number)
		if err == nil && status != http.StatusOK {
			time.Sleep(max(retryAfter, 300*time.Millisecond))
		}
	}
}

// checkStreams checks that no stream was joined from two versions and that at least half
// of them went on, and returns the number that did.
func checkStreams(t *testing.T, streams []*versionedStream) {
	t.Helper()
	mixed, complete := 0, 0
	for _, s := range streams {
		if s.mixed() {
			mixed++
		}
		if s.complete {
			complete++
		}
	}
	t.Logf("%d streams, %d complete, %d of two versions", len(streams), complete, mixed)
	must.Zero(t, mixed, must.Sprint("streams hold events of two software versions"))
	must.GreaterEq(t, len(streams)/2, complete)
}

// beginStreams starts streams at all routers and returns a function that waits for their end.
func (f *fleet) beginStreams(ctx context.Context, name string) (streams []*versionedStream, wait func()) {
	var running sync.WaitGroup
	for i := range numVersionedStreams {
		s := &versionedStream{id: fmt.Sprintf("%s-%d", name, i)}
		streams = append(streams, s)
		// An attempt that a kill interrupts returns an error, which the events received show.
		running.Go(func() { _, _, _ = s.attempt(ctx, f.routers[i%len(f.routers)], 0) })
		time.Sleep(10 * time.Millisecond)
	}
	return streams, running.Wait
}

// Guards against streams that are joined from two software versions of a service, because
// all routers were killed and don't know which version began a stream that is taken up.
func TestStreamsTakenUpAfterAKillStayAtTheirVersion(t *testing.T) {
	f := startFleet(t, func(f *fleet) {
		for i := range 2 {
			f.addVersionedEngine(fmt.Sprintf("engine-old-%d", i), "v1")
			f.addVersionedEngine(fmt.Sprintf("engine-new-%d", i), "v2")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	streams, wait := f.beginStreams(ctx, "stream")
	time.Sleep(300 * time.Millisecond)
	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
	}
	wait()
	for _, r := range f.routers {
		r.restart()
	}
	for _, r := range f.routers {
		r.waitUntilReady()
	}
	var running sync.WaitGroup
	for _, s := range streams {
		running.Go(func() { s.takeUp(ctx, f.routers) })
	}
	running.Wait()
	checkStreams(t, streams)
}

// Guards against streams that go on at another software version, and against streams that don't go
// on at all, because all routers were killed in an outage of the store: neither was the origin of a
// stream saved, nor are the entries of all endpoints back when callers return. Those of one version
// are back later than the others.
func TestStreamsTakenUpAfterAnOutageStayAtTheirVersion(t *testing.T) {
	const (
		entriesBack     = 200 * time.Millisecond
		lateEntriesBack = 1150 * time.Millisecond
	)
	for _, late := range []string{"v1", "v2"} {
		t.Run(late+" is back late", func(t *testing.T) {
			f := startFleet(t, func(f *fleet) {
				// The endpoints of each version have room for all streams.
				for i := range 8 {
					f.addVersionedEngine(fmt.Sprintf("engine-old-%d", i), "v1")
				}
			})
			// The routers see that the service has a single version before the other one joins.
			time.Sleep(2 * time.Second)
			for i := range 8 {
				f.addVersionedEngine(fmt.Sprintf("engine-new-%d", i), "v2")
			}
			time.Sleep(500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			before, waitBefore := f.beginStreams(ctx, "before")
			f.store.SetFault(platformtest.Unresponsive)
			during, waitDuring := f.beginStreams(ctx, "during")
			time.Sleep(300 * time.Millisecond)
			for _, e := range f.endpoints {
				f.store.Put("keyed.servers", e.id, nil)
			}
			for _, r := range f.routers {
				r.signal(syscall.SIGKILL)
			}
			waitBefore()
			waitDuring()
			for _, r := range f.routers {
				r.restart()
			}
			f.store.SetFault(platformtest.Healthy)
			var running sync.WaitGroup
			for _, e := range f.endpoints {
				delay := entriesBack
				if e.version == late {
					delay = lateEntriesBack
				}
				running.Go(func() {
					time.Sleep(delay)
					f.register(e, "ready")
				})
			}
			for _, r := range f.routers {
				r.waitUntilReady()
			}
			for _, s := range append(before, during...) {
				running.Go(func() { s.takeUp(ctx, f.routers) })
			}
			running.Wait()
			checkStreams(t, before)
			checkStreams(t, during)
		})
	}
}
