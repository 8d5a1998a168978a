package keyclaim

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// Topic is the topic of the log which holds claims and releases.
const Topic = "acaciaspar.keys"

const (
	// DefaultWindow is the default time for which a claim is valid.
	DefaultWindow = 30 * time.Minute
	// DefaultTimeout is the default time within which a claim must be decided.
	DefaultTimeout = 5 * time.Second

	// batchInterval is the time that a claim waits for others to share its record.
	batchInterval = 20 * time.Millisecond
	// maxReleases bounds the releases that wait for the log. Releases beyond it
	// are dropped, and their keys stay claimed until the window ends.
	maxReleases = 10_000
)

var (
	errNotReady   = errors.New("key topic not yet read to its end")
	errReadFailed = errors.New("read key topic failed")
	errTimeout    = errors.New("claim not found in key topic within the timeout")
	errTableFull  = errors.New("table of idempotency keys is full")
	errRefused    = errors.New("append claim: refused by the log")
)

// Log is the part of the log's client that a Claimer uses.
type Log interface {
	Append(ctx context.Context, topic string, values ...[]byte) ([]int64, error)
	Read(ctx context.Context, topic string, offset int64, count int) ([]logclient.Record, error)
	Offsets(ctx context.Context, topic string) (beginning, end int64, err error)
}

var _ Log = (*logclient.Client)(nil)

// Options configures a Claimer.
type Options struct {
	Log Log
	// Instance is the router's identifier, new at every start.
	Instance string
	// Window is the time for which a claim is valid. Default: DefaultWindow.
	Window time.Duration
	// Timeout is the time within which a claim must be decided. Default: DefaultTimeout.
	Timeout time.Duration
	// Limit bounds the number of claims in the table. Default: idemkey.DefaultLimit.
	Limit   int
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Claimer claims and releases idempotency keys. It is safe for concurrent use.
type Claimer struct {
	opts     Options
	counters *counters
	// wakeReader and wakeAppender hold at most one signal.
	wakeReader   chan struct{}
	wakeAppender chan struct{}

	mu    sync.Mutex
	table *idemkey.Table
	// ready is set once the topic has been read up to the end that it had
	// when reading started.
	ready bool
	// readErr is the error of the last read, or nil.
	readErr error
	// openClaims holds the undecided claims, by request.
	openClaims map[string]*openClaim
	// pending lists the claims that have not been appended yet.
	pending []idemkey.Entry
	// releases lists the releases for the next append.
	releases []idemkey.Entry
	// wonClaims holds the claims that this router won and has not released, by
	// request.
	wonClaims map[string]wonClaim
	// wonOrder lists the requests of won claims in the order of their expiry.
	wonOrder []string
}

type openClaim struct {
	key     idemkey.Key
	started time.Time
	// done receives the decision. Its capacity is 1, so that sending doesn't block.
	done chan decision
}

type decision struct {
	result idemkey.Result
	err    error
}

type wonClaim struct {
	key        idemkey.Key
	validUntil time.Time
}

type counters struct {
	claims     metrics.Counter
	won        metrics.Counter
	duplicates metrics.Counter
	faults     metrics.Counter
	releases   metrics.Counter
	skipped    metrics.Counter
}

// New returns a Claimer that refuses claims until Run has read the topic.
func New(o Options) *Claimer {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Limit == 0 {
		o.Limit = idemkey.DefaultLimit
	}
	return &Claimer{
		opts: o,
		counters: &counters{
			claims:     metrics.GetOrRegisterCounter("keys.claims", o.Metrics),
			won:        metrics.GetOrRegisterCounter("keys.won", o.Metrics),
			duplicates: metrics.GetOrRegisterCounter("keys.duplicates", o.Metrics),
			faults:     metrics.GetOrRegisterCounter("keys.faults", o.Metrics),
			releases:   metrics.GetOrRegisterCounter("keys.releases", o.Metrics),
			skipped:    metrics.GetOrRegisterCounter("keys.records_skipped", o.Metrics),
		},
		wakeReader:   make(chan struct{}, 1),
		wakeAppender: make(chan struct{}, 1),
		table:        idemkey.NewTable(o.Window, o.Limit),
		openClaims:   map[string]*openClaim{},
		wonClaims:    map[string]wonClaim{},
	}
}

// Run reads the key topic and appends claims and releases until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runReader(ctx) })
	group.Go(func() error { return c.runAppender(ctx) })
	return group.Wait()
}

// Claim claims a key for a request and waits for the decision, at most for
// Options.Timeout. After an error the request holds no claim and must not be
// dispatched.
func (c *Claimer) Claim(ctx context.Context, team, service, operation, key, request string) (idemkey.Result, error) {
	c.counters.claims.Inc(1)
	oc, err := c.registerClaim(idemkey.KeyOf(team, service, operation, key), request)
	if err != nil {
		c.counters.faults.Inc(1)
		return idemkey.Result{}, err
	}
	timeout := time.NewTimer(c.opts.Timeout)
	defer timeout.Stop()
	var d decision
	select {
	case d = <-oc.done:
	case <-timeout.C:
		d = c.abandon(oc, request, errTimeout)
	case <-ctx.Done():
		d = c.abandon(oc, request, ctx.Err())
	}
	c.countDecision(d)
	return d.result, d.err
}

// registerClaim registers a claim for the next append. It returns an error while the
// key topic hasn't been read to its end or can't be read.
func (c *Claimer) registerClaim(key idemkey.Key, request string) (*openClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, errNotReady
	}
	if c.readErr != nil {
		return nil, errors.Join(errReadFailed, c.readErr)
	}
	oc := &openClaim{key: key, started: time.Now(), done: make(chan decision, 1)}
	c.openClaims[request] = oc
	c.pending = append(c.pending, idemkey.Entry{Key: key, Request: request})
	signal(c.wakeAppender)
	return oc, nil
}

// abandon ends an open claim with an error, or returns the decision if it has
// been decided meanwhile.
func (c *Claimer) abandon(oc *openClaim, request string, reason error) decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openClaims[request] != oc {
		return <-oc.done
	}
	delete(c.openClaims, request)
	return decision{err: reason}
}

func (c *Claimer) countDecision(d decision) {
	switch {
	case d.err != nil:
		c.counters.faults.Inc(1)
	case d.result.Verdict == idemkey.Won:
		c.counters.won.Inc(1)
	default:
		c.counters.duplicates.Inc(1)
	}
}

// Release frees the key of a request that definitely did not run. It has no
// effect if the request holds no claim.
func (c *Claimer) Release(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.wonClaims[request]
	if !ok {
		return
	}
	delete(c.wonClaims, request)
	c.release(idemkey.Entry{Key: claim.key, Request: request})
}

// release adds a release to the next append, unless maxReleases are waiting.
// The caller holds c.mu.
func (c *Claimer) release(e idemkey.Entry) {
	if len(c.releases) >= maxReleases {
		return
	}
	c.counters.releases.Inc(1)
	c.releases = append(c.releases, e)
	signal(c.wakeAppender)
}

// signal sends on wake unless a signal is already waiting there.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
