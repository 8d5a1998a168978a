package e2e

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// resendDelay is the delay before a caller resends a request that did not run.
const resendDelay = 50 * time.Millisecond

// routerPool selects routers in round-robin order, as a load balancer in front of
// the fleet does.
type routerPool struct {
	mu      sync.Mutex
	routers []*fleet.Process
	next    int
}

func (p *routerPool) nextRouter() *fleet.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return p.routers[p.next%len(p.routers)]
}

func (p *routerPool) set(routers []*fleet.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = routers
}

// load sends requests until it is stopped.
type load struct {
	d       *deployment
	pool    *routerPool
	stopped chan struct{}
	workers sync.WaitGroup

	mu       sync.Mutex
	bookings map[string][]*fleet.Response
	streams  []streamResult
	finished int
}

type streamResult struct {
	prompt   string
	tokens   int
	response *fleet.Response
}

// startLoad starts streamers workers that send completions of the given number of
// tokens and bookers workers that send bookings. Each worker sends one request at
// a time.
func (d *deployment) startLoad(streamers, bookers, tokens int) *load {
	l := &load{
		d:        d,
		pool:     &routerPool{routers: d.routers},
		stopped:  make(chan struct{}),
		bookings: map[string][]*fleet.Response{},
	}
	for w := range streamers {
		l.workers.Go(func() { l.repeatUntilStopped(func(i int) { l.sendCompletion(w, i, tokens) }) })
	}
	for w := range bookers {
		l.workers.Go(func() { l.repeatUntilStopped(func(i int) { l.sendBooking(w, i) }) })
	}
	return l
}

func (l *load) repeatUntilStopped(f func(i int)) {
	for i := 0; !l.isStopped(); i++ {
		f(i)
		l.mu.Lock()
		l.finished++
		l.mu.Unlock()
	}
}

func (l *load) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

func (l *load) team(worker int) string {
	teams := l.d.objects.Teams
	return teams[worker%len(teams)].Name
}

// sendWithRetry repeats a request as long as its outcome is not-run, and returns
// all responses. A refused connection counts as not-run.
func (l *load) sendWithRetry(r fleet.Request) []*fleet.Response {
	var responses []*fleet.Response
	for deadline := time.Now().Add(fleet.WaitTimeout); ; time.Sleep(resendDelay) {
		r.Router = l.pool.nextRouter()
		resp := l.d.Call(r)
		if errors.Is(resp.Err, syscall.ECONNREFUSED) {
			resp.Err = nil
			resp.Outcome.Kind = outcome.NotRun
		}
		responses = append(responses, resp)
		if resp.Outcome.Kind != outcome.NotRun || time.Now().After(deadline) {
			return responses
		}
	}
}

func (l *load) sendCompletion(worker, i, tokens int) {
	prompt := fmt.Sprintf("worker %d request %d wool", worker, i)
	responses := l.sendWithRetry(completion(nil, l.team(worker), prompt, tokens))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = append(l.streams, streamResult{prompt: prompt, tokens: tokens, response: responses[len(responses)-1]})
}

func (l *load) sendBooking(worker, i int) {
	id := fmt.Sprintf("load-%d-%d", worker, i)
	responses := l.sendWithRetry(booking(nil, l.team(worker), id))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bookings[id] = responses
}

// awaitFinished waits until n more requests have ended.
func (l *load) awaitFinished(n int) {
	l.d.t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.finished
	}
	before := count()
	l.d.Eventually("more requests of the load end", func() bool { return count() >= before+n })
}

// stop stops the load, waits for the requests in progress and checks the
// responses against the executions.
func (l *load) stop() {
	l.d.t.Helper()
	close(l.stopped)
	l.workers.Wait()
	l.d.checkBookings(l.bookings)
	for _, s := range l.streams {
		checkStream(l.d.t, s.prompt, s.tokens, s.response)
	}
}

// stopAndRequireComplete is like stop but also checks that every request received a
// complete response.
func (l *load) stopAndRequireComplete() {
	l.d.t.Helper()
	l.stop()
	for _, s := range l.streams {
		mustComplete(l.d.t, s.prompt, s.tokens, s.response)
	}
	for id, responses := range l.bookings {
		last := responses[len(responses)-1]
		if !last.Complete() {
			l.d.t.Fatalf("booking %s: status %d, outcome %+v, error %v", id, last.Status, last.Outcome, last.Err)
		}
	}
}
