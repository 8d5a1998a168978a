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

// Topic is the stream of the log that holds claims and releases.
const Topic = "acaciaspar.keys"

const (
	// DefaultWindow is the default time for which a claim counts.
	DefaultWindow = 30 * time.Minute
	// DefaultTimeout is the default time within which a claim must be decided.
	DefaultTimeout = 5 * time.Second

	// batchDelay is the time for which a claim waits for others to share its record.
	batchDelay = 20 * time.Millisecond
	// maxReleases bounds the releases that wait for the log. Beyond it, keys
	// stay claimed for the window.
	maxReleases = 10_000
)

var (
	errNotReady = errors.New("the key stream has not been read to its end")
	errLog      = errors.New("the log can't be read")
	errTimeout  = errors.New("the claim was not found in the key stream in time")
	errFull     = errors.New("the table of keys is full")
	errRefused  = errors.New("the log refused the claim")
)

// Log is the part of the log's client that a Claimer uses.
type Log interface {
	Append(ctx context.Context, topic string, values ...[]byte) ([]int64, error)
	Read(ctx context.Context, topic string, offset int64, count int) ([]logclient.Record, error)
	Offsets(ctx context.Context, topic string) (beginning, end int64, err error)
}

var _ Log = (*logclient.Client)(nil)

// Options are the parts and settings of a Claimer.
type Options struct {
	Log Log
	// Instance is the router's identifier, new at every start.
	Instance string
	// Window is the time for which a claim counts. Default: DefaultWindow.
	Window time.Duration
	// Timeout is the time within which a claim must be decided. Default: DefaultTimeout.
	Timeout time.Duration
	// Limit is the number of claims remembered. Default: idemkey.DefaultLimit.
	Limit   int
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Claimer is safe for use by several goroutines.
type Claimer struct {
	o Options
	m *meters
	// wakeReader and wakeAppender hold at most one signal.
	wakeReader   chan struct{}
	wakeAppender chan struct{}

	mu    sync.Mutex
	table *idemkey.Table
	// ready is set once the stream was read to its end.
	ready bool
	// readFault is the error of the last read, or nil.
	readFault error
	// open holds the claims that are not decided, by request.
	open map[string]*openClaim
	// pending lists the open claims that no append has carried.
	pending []idemkey.Entry
	// releases wait for the next append.
	releases []idemkey.Entry
	// won holds the claims that this router won and did not release, by request.
	won map[string]wonClaim
	// wonOrder lists them in the order in which they expire.
	wonOrder []string
}

type openClaim struct {
	key     idemkey.Key
	started time.Time
	// done carries the decision; it has room for it.
	done chan decision
}

type decision struct {
	result idemkey.Result
	err    error
}

type wonClaim struct {
	key   idemkey.Key
	until time.Time
}

type meters struct {
	claims   metrics.Counter
	won      metrics.Counter
	losses   metrics.Counter
	faults   metrics.Counter
	releases metrics.Counter
	skipped  metrics.Counter
}

// New returns a Claimer that refuses claims until Run has read the stream.
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
		o: o,
		m: &meters{
			claims:   metrics.GetOrRegisterCounter("keys.claims", o.Metrics),
			won:      metrics.GetOrRegisterCounter("keys.won", o.Metrics),
			losses:   metrics.GetOrRegisterCounter("keys.duplicates", o.Metrics),
			faults:   metrics.GetOrRegisterCounter("keys.faults", o.Metrics),
			releases: metrics.GetOrRegisterCounter("keys.releases", o.Metrics),
			skipped:  metrics.GetOrRegisterCounter("keys.records_skipped", o.Metrics),
		},
		wakeReader:   make(chan struct{}, 1),
		wakeAppender: make(chan struct{}, 1),
		table:        idemkey.NewTable(o.Window, o.Limit),
		open:         map[string]*openClaim{},
		won:          map[string]wonClaim{},
	}
}

// Run reads and appends until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runReader(ctx) })
	group.Go(func() error { return c.runAppender(ctx) })
	return group.Wait()
}

// Claim claims a key for a request and returns the decision. After an error
// the request holds no claim and must not be dispatched.
func (c *Claimer) Claim(ctx context.Context, team, service, operation, key, request string) (idemkey.Result, error) {
	c.m.claims.Inc(1)
	oc, err := c.begin(idemkey.KeyOf(team, service, operation, key), request)
	if err != nil {
		c.m.faults.Inc(1)
		return idemkey.Result{}, err
	}
	timeout := time.NewTimer(c.o.Timeout)
	defer timeout.Stop()
	var d decision
	select {
	case d = <-oc.done:
	case <-timeout.C:
		d = c.abandon(oc, request, errTimeout)
	case <-ctx.Done():
		d = c.abandon(oc, request, ctx.Err())
	}
	c.measure(d)
	return d.result, d.err
}

// begin registers a claim for the next append.
func (c *Claimer) begin(key idemkey.Key, request string) (*openClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, errNotReady
	}
	if c.readFault != nil {
		return nil, errors.Join(errLog, c.readFault)
	}
	oc := &openClaim{key: key, started: time.Now(), done: make(chan decision, 1)}
	c.open[request] = oc
	c.pending = append(c.pending, idemkey.Entry{Key: key, Request: request})
	signal(c.wakeAppender)
	return oc, nil
}

// abandon gives an open claim up, unless it was decided meanwhile.
func (c *Claimer) abandon(oc *openClaim, request string, reason error) decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[request] != oc {
		return <-oc.done
	}
	delete(c.open, request)
	return decision{err: reason}
}

func (c *Claimer) measure(d decision) {
	switch {
	case d.err != nil:
		c.m.faults.Inc(1)
	case d.result.Verdict == idemkey.Won:
		c.m.won.Inc(1)
	default:
		c.m.losses.Inc(1)
	}
}

// Release frees the key of a request that certainly did not run.
func (c *Claimer) Release(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.won[request]
	if !ok {
		return
	}
	delete(c.won, request)
	c.release(idemkey.Entry{Key: claim.key, Request: request})
}

// release puts a release into the next append. The caller holds c.mu.
func (c *Claimer) release(e idemkey.Entry) {
	if len(c.releases) >= maxReleases {
		return
	}
	c.m.releases.Inc(1)
	c.releases = append(c.releases, e)
	signal(c.wakeAppender)
}

func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
