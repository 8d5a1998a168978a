package keyclaim

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/router/entry"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

var _ entry.KeyClaimer = (*Claimer)(nil)

// fakeLog is an in-memory log whose calls take random times. Its failures grow
// more likely with faultRate, which is between 0 and 1.
type fakeLog struct {
	mu          sync.Mutex
	random      *rand.Rand
	faultRate   float64
	unavailable bool
	records     []logclient.Record
	appends     int
	reads       int
}

var errLost = errors.New("reply lost")

func newFakeLog(seed uint64, faultRate float64) *fakeLog {
	return &fakeLog{random: rand.New(rand.NewPCG(seed, 1)), faultRate: faultRate}
}

func (l *fakeLog) randomBool(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < p
}

func (l *fakeLog) randomDelay(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.Int64N(int64(limit)))
}

func (l *fakeLog) isUnavailable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unavailable
}

func (l *fakeLog) store(values [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range values {
		l.records = append(l.records, logclient.Record{Offset: int64(len(l.records)), Value: v})
	}
}

func (l *fakeLog) Append(ctx context.Context, _ string, values ...[]byte) ([]int64, error) {
	l.mu.Lock()
	l.appends++
	l.mu.Unlock()
	time.Sleep(l.randomDelay(30 * time.Millisecond))
	switch {
	case l.isUnavailable() || l.randomBool(0.3*l.faultRate):
		return nil, &logclient.RefusedError{Status: 503}
	case l.randomBool(0.2 * l.faultRate):
		// The record is stored after the call has ended, possibly after the
		// claim was abandoned.
		late := l.randomDelay(10 * time.Second)
		go func() {
			time.Sleep(late)
			l.store(values)
		}()
		return nil, errLost
	case l.randomBool(0.3 * l.faultRate):
		l.store(values)
		<-ctx.Done()
		return nil, errLost
	case l.randomBool(0.2 * l.faultRate):
		l.store(values)
	}
	l.store(values)
	return make([]int64, len(values)), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, offset int64, count int) ([]logclient.Record, error) {
	time.Sleep(l.randomDelay(20 * time.Millisecond))
	if l.isUnavailable() || l.randomBool(0.2*l.faultRate) {
		return nil, errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	rest := l.records[min(offset, int64(len(l.records))):]
	return append([]logclient.Record(nil), rest[:min(len(rest), count)]...), nil
}

func (l *fakeLog) Offsets(context.Context, string) (int64, int64, error) {
	if l.isUnavailable() {
		return 0, 0, errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return 0, int64(len(l.records)), nil
}

// process is the Claimer of one router process.
type process struct {
	*Claimer
	stop context.CancelFunc
	done chan struct{}
}

func startProcess(log Log, instance string, window time.Duration) *process {
	c := New(Options{
		Log: log, Instance: instance, Window: window,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Claimer: c, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = c.Run(ctx)
	}()
	return p
}

func (p *process) stopAndWait() {
	p.stop()
	<-p.done
}

func (p *process) claim(key, request string) (idemkey.Result, error) {
	return p.Claim(context.Background(), "harbour", "post-desk", "label", key, request)
}

// dispatchRecorder records when each key was dispatched.
type dispatchRecorder struct {
	mu         sync.Mutex
	dispatches map[string][]dispatchTimes
	wins       int
	violation  string
}

// dispatchTimes holds the times of a dispatch and of the start of its claim.
type dispatchTimes struct{ claimed, dispatched time.Time }

// dispatch records a dispatch and checks it against the others of the key.
func (r *dispatchRecorder) dispatch(key string, d dispatchTimes, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wins++
	for _, other := range r.dispatches[key] {
		first, second := other, d
		if second.claimed.Before(first.claimed) {
			first, second = second, first
		}
		if second.dispatched.Sub(first.claimed) < window || first.dispatched.Sub(first.claimed) >= window/2 {
			r.violation = fmt.Sprintf("key %s dispatched twice: %+v and %+v", key, first, second)
		}
	}
	r.dispatches[key] = append(r.dispatches[key], d)
}

// Guards against two dispatches of one key within the window. Two routers run
// in random interleavings with refused, lost, late and duplicate appends, failed
// reads and restarts.
func TestOneDispatchPerKeyWithinWindow(t *testing.T) {
	const window = 40 * time.Second
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			faultRate := float64(seed%4) / 4
			log := newFakeLog(seed, faultRate)
			recorder := &dispatchRecorder{dispatches: map[string][]dispatchTimes{}}
			var wg sync.WaitGroup
			for router := range 2 {
				wg.Go(func() { runRouter(log, recorder, router, seed, window) })
			}
			wg.Wait()
			time.Sleep(time.Minute)
			must.Eq(t, "", recorder.violation, must.Sprintf("seed %d", seed))
			must.Greater(t, 20, recorder.wins, must.Sprintf("seed %d: too few dispatches", seed))
		})
	}
}

// runRouter claims a small set of keys repeatedly from several callers, in three
// processes one after the other. A request of a process that has ended is not
// dispatched.
func runRouter(log *fakeLog, recorder *dispatchRecorder, router int, seed uint64, window time.Duration) {
	for run := range 3 {
		p := startProcess(log, fmt.Sprintf("router-%d.%d", router, run), window)
		var callers sync.WaitGroup
		for caller := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(router*100+run*10+caller)))
			callers.Go(func() {
				for n := range 30 {
					time.Sleep(time.Duration(random.Int64N(int64(5 * time.Second))))
					key := fmt.Sprint("k", random.IntN(8))
					runRequest(p, recorder, random, key, fmt.Sprintf("%d.%d.%d.%d", router, run, caller, n), window)
				}
			})
		}
		callers.Wait()
		p.stopAndWait()
	}
}

// runRequest claims a key for one request. If the claim is won, the request is
// dispatched or the claim is released.
func runRequest(p *process, recorder *dispatchRecorder, random *rand.Rand, key, request string, window time.Duration) {
	claimed := time.Now()
	result, err := p.claim(key, request)
	if err != nil || result.Verdict != idemkey.Won {
		return
	}
	time.Sleep(time.Duration(random.Int64N(int64(window))))
	if !time.Now().Before(result.DispatchBefore) || random.IntN(3) == 0 {
		p.Release(request)
		return
	}
	recorder.dispatch(key, dispatchTimes{claimed: claimed, dispatched: time.Now()}, window)
}

// Guards against claims that are accepted before the topic has been read or
// while the log is unavailable, and against a Claimer that doesn't recover.
func TestClaimsFailWhileLogUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog(1, 0)
		log.unavailable = true
		p := startProcess(log, "i1", time.Minute)
		defer p.stopAndWait()
		time.Sleep(time.Second)
		_, err := p.claim("k", "r1")
		must.ErrorIs(t, err, errNotReady)
		log.setUnavailable(false)
		time.Sleep(10 * time.Second)
		result, err := p.claim("k", "r2")
		must.NoError(t, err)
		must.Eq(t, idemkey.Won, result.Verdict)
		log.setUnavailable(true)
		time.Sleep(10 * time.Second)
		_, err = p.claim("k2", "r3")
		must.ErrorIs(t, err, errReadFailed)
	})
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// Guards against accepting claims before the whole topic has been read.
func TestClaimsRefusedUntilTopicIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog(1, 0)
		log.store(make([][]byte, 2*maxReadRecords+1))
		p := startProcess(log, "i1", time.Minute)
		defer p.stopAndWait()
		for {
			_, err := p.registerClaim(idemkey.Key{}, "r")
			if err == nil {
				break
			}
			must.ErrorIs(t, err, errNotReady)
			time.Sleep(time.Millisecond)
		}
		log.mu.Lock()
		defer log.mu.Unlock()
		must.GreaterEq(t, 3, log.reads)
	})
}

// Guards against one append per claim, which would exceed the log's rate, and
// against records of other types that stop the reader.
func TestConcurrentClaimsShareAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog(1, 0)
		log.store([][]byte{[]byte(`{"type":"agent-start","endpoint":"press-1"}`), []byte("not JSON")})
		p := startProcess(log, "i1", time.Minute)
		defer p.stopAndWait()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				result, err := p.claim(fmt.Sprint("k", i%100), fmt.Sprint("r", i))
				must.NoError(t, err)
				must.NotEq(t, 0, result.Verdict)
			})
		}
		wg.Wait()
		must.Eq(t, 1, log.appends)
		must.Eq(t, 100, p.counters.won.Count())
		must.Eq(t, 1, p.counters.skipped.Count())
	})
}

// Guards against a claim that keeps its key after the caller's context has
// ended: the key must be free for the next request.
func TestCancelledClaimFreesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProcess(newFakeLog(1, 0), "i1", time.Minute)
		defer p.stopAndWait()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), batchInterval+time.Millisecond)
		defer cancel()
		_, err := p.Claim(ctx, "harbour", "post-desk", "label", "k", "r1")
		must.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(5 * time.Second)
		result, err := p.claim("k", "r2")
		must.NoError(t, err)
		must.Eq(t, idemkey.Won, result.Verdict)
	})
}
