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

// fakeLog is a log in memory whose calls take random times and fail in the
// ways that chaos, from 0 to 1, makes likely.
type fakeLog struct {
	mu      sync.Mutex
	random  *rand.Rand
	chaos   float64
	out     bool
	records []logclient.Record
	appends int
	reads   int
}

var errLost = errors.New("the reply was lost")

func newLog(seed uint64, chaos float64) *fakeLog {
	return &fakeLog{random: rand.New(rand.NewPCG(seed, 1)), chaos: chaos}
}

func (l *fakeLog) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < p
}

func (l *fakeLog) delay(most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.Int64N(int64(most)))
}

func (l *fakeLog) isOut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}

func (l *fakeLog) add(values [][]byte) {
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
	time.Sleep(l.delay(30 * time.Millisecond))
	switch {
	case l.isOut() || l.chance(0.3*l.chaos):
		return nil, &logclient.RefusedError{Status: 503}
	case l.chance(0.2 * l.chaos):
		// The record arrives after the call has ended, perhaps after the claim was given up.
		late := l.delay(10 * time.Second)
		go func() {
			time.Sleep(late)
			l.add(values)
		}()
		return nil, errLost
	case l.chance(0.3 * l.chaos):
		l.add(values)
		<-ctx.Done()
		return nil, errLost
	case l.chance(0.2 * l.chaos):
		l.add(values)
	}
	l.add(values)
	return make([]int64, len(values)), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, offset int64, count int) ([]logclient.Record, error) {
	time.Sleep(l.delay(20 * time.Millisecond))
	if l.isOut() || l.chance(0.2*l.chaos) {
		return nil, errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	rest := l.records[min(offset, int64(len(l.records))):]
	return append([]logclient.Record(nil), rest[:min(len(rest), count)]...), nil
}

func (l *fakeLog) Offsets(context.Context, string) (int64, int64, error) {
	if l.isOut() {
		return 0, 0, errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return 0, int64(len(l.records)), nil
}

// process is one run of a router's claimer.
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

func (p *process) end() {
	p.stop()
	<-p.done
}

func (p *process) claim(key, request string) (idemkey.Result, error) {
	return p.Claim(context.Background(), "harbour", "post-desk", "label", key, request)
}

// ledger notes when each key was dispatched.
type ledger struct {
	mu    sync.Mutex
	spans map[string][]span
	wins  int
	fault string
}

// span is a dispatch: the start of its claim and the dispatch itself.
type span struct{ claimed, dispatched time.Time }

// dispatch notes a dispatch and checks it against the others of the key.
func (l *ledger) dispatch(key string, s span, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wins++
	for _, other := range l.spans[key] {
		first, second := other, s
		if second.claimed.Before(first.claimed) {
			first, second = second, first
		}
		if second.dispatched.Sub(first.claimed) < window || first.dispatched.Sub(first.claimed) >= window/2 {
			l.fault = fmt.Sprintf("key %s dispatched twice: %+v and %+v", key, first, second)
		}
	}
	l.spans[key] = append(l.spans[key], s)
}

// Guards against two dispatches of one key within the window, over random
// interleavings of two routers with refused, lost, late and doubled appends,
// failed reads and restarts.
func TestOneDispatchPerKeyAndWindow(t *testing.T) {
	const window = 40 * time.Second
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			chaos := float64(seed%4) / 4
			log := newLog(seed, chaos)
			book := &ledger{spans: map[string][]span{}}
			var wg sync.WaitGroup
			for router := range 2 {
				wg.Go(func() { runRouter(log, book, router, seed, window) })
			}
			wg.Wait()
			time.Sleep(time.Minute)
			must.Eq(t, "", book.fault, must.Sprintf("seed %d", seed))
			must.Greater(t, 20, book.wins, must.Sprintf("seed %d: hardly anything was dispatched", seed))
		})
	}
}

// runRouter claims a few keys over and over from several callers and restarts
// now and then. A request of a process that has ended is not dispatched.
func runRouter(log *fakeLog, book *ledger, router int, seed uint64, window time.Duration) {
	for life := range 3 {
		p := startProcess(log, fmt.Sprintf("router-%d.%d", router, life), window)
		var callers sync.WaitGroup
		for caller := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(router*100+life*10+caller)))
			callers.Go(func() {
				for n := range 30 {
					time.Sleep(time.Duration(random.Int64N(int64(5 * time.Second))))
					key := fmt.Sprint("k", random.IntN(8))
					one(p, book, random, key, fmt.Sprintf("%d.%d.%d.%d", router, life, caller, n), window)
				}
			})
		}
		callers.Wait()
		p.end()
	}
}

// one makes one request: it claims, and if it wins it is dispatched, released
// or forgotten.
func one(p *process, book *ledger, random *rand.Rand, key, request string, window time.Duration) {
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
	book.dispatch(key, span{claimed: claimed, dispatched: time.Now()}, window)
}

// Guards against claims that are decided before the stream is read, while the
// log is out, or never.
func TestLogOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(1, 0)
		log.out = true
		p := startProcess(log, "i1", time.Minute)
		defer p.end()
		time.Sleep(time.Second)
		_, err := p.claim("k", "r1")
		must.ErrorIs(t, err, errNotReady)
		log.setOut(false)
		time.Sleep(10 * time.Second)
		result, err := p.claim("k", "r2")
		must.NoError(t, err)
		must.Eq(t, idemkey.Won, result.Verdict)
		log.setOut(true)
		time.Sleep(10 * time.Second)
		_, err = p.claim("k2", "r3")
		must.ErrorIs(t, err, errLog)
	})
}

func (l *fakeLog) setOut(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
}

// Guards against claims of a router that has not read the whole stream.
func TestNotReadyBeforeTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(1, 0)
		log.add(make([][]byte, 2*readCount+1))
		p := startProcess(log, "i1", time.Minute)
		defer p.end()
		for {
			_, err := p.begin(idemkey.Key{}, "r")
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

// Guards against one append per claim, which the log's rate could not bear,
// and against records of other types that stop the reader.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(1, 0)
		log.add([][]byte{[]byte(`{"type":"agent-start","endpoint":"press-1"}`), []byte("not JSON")})
		p := startProcess(log, "i1", time.Minute)
		defer p.end()
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
		must.Eq(t, 100, p.m.won.Count())
		must.Eq(t, 1, p.m.skipped.Count())
	})
}

// Guards against a claim that stays open when its caller is gone: its key is
// free for the next request.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProcess(newLog(1, 0), "i1", time.Minute)
		defer p.end()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), batchDelay+time.Millisecond)
		defer cancel()
		_, err := p.Claim(ctx, "harbour", "post-desk", "label", "k", "r1")
		must.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(5 * time.Second)
		result, err := p.claim("k", "r2")
		must.NoError(t, err)
		must.Eq(t, idemkey.Won, result.Verdict)
	})
}
