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

// resendPause is the time after which a caller sends a request again that did not run.
const resendPause = 50 * time.Millisecond

// pool is the routers that a load balancer in front of the fleet would use.
type pool struct {
	mu      sync.Mutex
	routers []*fleet.Process
	next    int
}

func (p *pool) take() *fleet.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return p.routers[p.next%len(p.routers)]
}

func (p *pool) set(routers []*fleet.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = routers
}

// load sends requests until it is stopped.
type load struct {
	d       *deployment
	pool    *pool
	stopped chan struct{}
	workers sync.WaitGroup

	mu       sync.Mutex
	bookings map[string][]*fleet.Response
	streams  []ended
	finished int
}

type ended struct {
	prompt string
	tokens int
	answer *fleet.Response
}

// startLoad runs workers that each send completions or bookings, one after the other.
func (d *deployment) startLoad(streamers, bookers, tokens int) *load {
	l := &load{
		d:        d,
		pool:     &pool{routers: d.routers},
		stopped:  make(chan struct{}),
		bookings: map[string][]*fleet.Response{},
	}
	for w := range streamers {
		l.workers.Go(func() { l.repeat(func(i int) { l.stream(w, i, tokens) }) })
	}
	for w := range bookers {
		l.workers.Go(func() { l.repeat(func(i int) { l.book(w, i) }) })
	}
	return l
}

func (l *load) repeat(f func(i int)) {
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

// send repeats a request while it certainly did not run and returns all answers.
func (l *load) send(r fleet.Request) []*fleet.Response {
	var answers []*fleet.Response
	for deadline := time.Now().Add(fleet.WaitTimeout); ; time.Sleep(resendPause) {
		r.Router = l.pool.take()
		a := l.d.Call(r)
		if errors.Is(a.Err, syscall.ECONNREFUSED) {
			a.Err = nil
			a.Outcome.Kind = outcome.NotRun
		}
		answers = append(answers, a)
		if a.Outcome.Kind != outcome.NotRun || time.Now().After(deadline) {
			return answers
		}
	}
}

func (l *load) stream(worker, i, tokens int) {
	prompt := fmt.Sprintf("worker %d request %d wool", worker, i)
	answers := l.send(completion(nil, l.team(worker), prompt, tokens))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = append(l.streams, ended{prompt: prompt, tokens: tokens, answer: answers[len(answers)-1]})
}

func (l *load) book(worker, i int) {
	id := fmt.Sprintf("load-%d-%d", worker, i)
	answers := l.send(booking(nil, l.team(worker), id))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bookings[id] = answers
}

// awaitMore waits until n more requests have ended.
func (l *load) awaitMore(n int) {
	l.d.t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.finished
	}
	begin := count()
	l.d.Eventually("the load goes on", func() bool { return count() >= begin+n })
}

// stop ends the load, waits for the requests in progress and checks what the
// callers were told against what ran.
func (l *load) stop() {
	l.d.t.Helper()
	close(l.stopped)
	l.workers.Wait()
	l.d.checkBookings(l.bookings)
	for _, s := range l.streams {
		checkStream(l.d.t, s.prompt, s.tokens, s.answer)
	}
}

// stopUndisturbed also checks that no request was cut off or left without an answer.
func (l *load) stopUndisturbed() {
	l.d.t.Helper()
	l.stop()
	for _, s := range l.streams {
		mustWhole(l.d.t, s.prompt, s.tokens, s.answer)
	}
	for id, answers := range l.bookings {
		last := answers[len(answers)-1]
		if !last.Complete() {
			l.d.t.Fatalf("booking %s: status %d, outcome %+v, error %v", id, last.Status, last.Outcome, last.Err)
		}
	}
}
