package configfollow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/observability"
	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

const (
	// DefaultPollInterval is the time between two reads at the end of the log.
	DefaultPollInterval = 250 * time.Millisecond

	// maxPollInterval bounds the time between two reads in a large fleet. It
	// lets a new version take effect within half of the guaranteed 4 s.
	maxPollInterval = 2 * time.Second
	// fleetPollInterval is the time between two reads of the log by all routers
	// together: 250 reads per second, regardless of the number of routers, until
	// maxPollInterval is reached.
	fleetPollInterval = 4 * time.Millisecond
	// maxBackoff is the maximum backoff while the log or the peers fail.
	maxBackoff = 2 * time.Second
	// randomizationFactor is the fraction by which the backoff varies.
	randomizationFactor = 0.25
	// minReadTimeout bounds the first read after a successful one. An
	// unresponsive connection to the log must not use up the 4 s within which a
	// new version must take effect (guarantee P8).
	minReadTimeout = 1500 * time.Millisecond
	// logTimeout bounds appends, and reads after repeated errors.
	logTimeout = 10 * time.Second
	// maxBatch is the number of records requested at once. It is halved after
	// an error, because a reply with many large records can exceed the client's
	// limit.
	maxBatch = 256
)

// errNoHigherVersion is returned if records are missing between the state and
// the retained records, and these lead to no higher version than the state's.
var errNoHigherVersion = eris.New("recover configuration: retained records lead to no higher version")

// Options configures a Follower. All fields without a default are required.
type Options struct {
	Store *configstore.Store
	// State is the initial state. Default: read from the log or a peer.
	State *publication.State
	Log   *logclient.Client
	// Clients calls other routers and checks senders.
	Clients *fleetrpc.ClientPool
	// Peers returns the fleet addresses of other routers.
	Peers func() []string
	// IsSnapshotWriter reports whether this router appends snapshots.
	IsSnapshotWriter func() bool
	// SnapshotEvery is the number of accepted publications between snapshots.
	SnapshotEvery int
	// SnapshotInterval is the maximum time between snapshots.
	SnapshotInterval time.Duration
	// PollInterval is the time between two reads at the end of the log. Default: DefaultPollInterval.
	PollInterval time.Duration
	Logger       *slog.Logger
	Metrics      metrics.Registry
}

// Follower keeps a configstore.Store up to date. It is safe for concurrent use.
// Its mutex guards the fields below it. The mutex is not held during calls of
// other processes or of the store, and no other mutex is held when it is taken.
type Follower struct {
	options    Options
	logLimiter observability.LogLimiter
	// fullReplies is a semaphore that bounds the replies with a full set that
	// are encoded concurrently.
	fullReplies chan struct{}

	mu sync.Mutex
	// state is nil until the log or a peer has delivered one.
	state   *publication.State
	history history
	// behind is set while records are missing between state and the log.
	behind bool
	// atEnd is set while the last read reached the end of the log.
	atEnd bool
	// lastRead is the time of the last successful read.
	lastRead time.Time
	// sinceSnapshot counts accepted publications after the last snapshot.
	sinceSnapshot int
	lastSnapshot  time.Time
	// nextSnapshot is the earliest time of the next attempt to append a snapshot.
	nextSnapshot time.Time
}

// New returns a Follower. It does not read until Run is called.
func New(options Options) *Follower {
	if options.PollInterval == 0 {
		options.PollInterval = DefaultPollInterval
	}
	return &Follower{
		options:     options,
		fullReplies: make(chan struct{}, maxFullReplies),
		state:       options.State,
	}
}

// Run follows the log and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.lastSnapshot = time.Now()
	f.mu.Unlock()
	f.advanceStore()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.runSnapshots(ctx) })
	return group.Wait()
}

func newBackOff(initial time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.RandomizationFactor = randomizationFactor
	b.MaxInterval = time.Duration(float64(maxBackoff) / (1 + randomizationFactor))
	b.Reset()
	return b
}

// sleep returns ctx's error if ctx ends within d.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// followLog reads the configuration topic until ctx ends. After an error it
// halves the batch size and doubles the timeout.
func (f *Follower) followLog(ctx context.Context) error {
	retryBackOff := newBackOff(f.options.PollInterval)
	batch, timeout := maxBatch, minReadTimeout
	for {
		delay := jittered(pollInterval(f.options.PollInterval, len(f.options.Peers())+1))
		more, err := f.readOnce(ctx, batch, timeout)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			f.recordReadError(err)
			batch, timeout = max(1, batch/2), min(logTimeout, 2*timeout)
			delay = retryBackOff.NextBackOff()
		case more:
			batch, timeout = min(maxBatch, 2*batch), minReadTimeout
			retryBackOff.Reset()
			delay = 0
		default:
			batch, timeout = min(maxBatch, 2*batch), minReadTimeout
			retryBackOff.Reset()
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// pollInterval returns the time between two reads of one router in a fleet of
// this many routers.
func pollInterval(interval time.Duration, routers int) time.Duration {
	return max(interval, min(maxPollInterval, time.Duration(routers)*fleetPollInterval))
}

// jittered varies d by up to 20 %, so that routers that started together don't
// read at the same times.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (f *Follower) recordReadError(err error) {
	f.count("config.log_errors")
	f.mu.Lock()
	f.atEnd = false
	f.mu.Unlock()
	if f.logLimiter.Allow(time.Now(), "log", "read") {
		f.options.Logger.Warn("read configuration topic failed", "error", err.Error())
	}
}

// readOnce applies the next records and reports whether there may be more.
func (f *Follower) readOnce(ctx context.Context, batch int, timeout time.Duration) (more bool, err error) {
	next, ok := f.nextOffset()
	if !ok {
		return true, f.recover(ctx)
	}
	records, err := f.read(ctx, next, batch, timeout)
	var expired *logclient.ExpiredError
	if errors.As(err, &expired) {
		return true, f.recover(ctx)
	}
	if err != nil {
		return false, err
	}
	if len(records) > 0 && records[0].Offset > next {
		missing, err := f.isExpired(ctx, next)
		if err != nil {
			return false, err
		}
		if missing {
			return true, f.recover(ctx)
		}
	}
	f.recordRead(len(records) == 0)
	for _, r := range records {
		f.apply(r)
	}
	return len(records) > 0, nil
}

func (f *Follower) nextOffset() (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return 0, false
	}
	return f.state.NextOffset, true
}

func (f *Follower) recordRead(atEnd bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.atEnd = atEnd
	f.lastRead = time.Now()
	f.behind = false
}

func (f *Follower) read(ctx context.Context, offset int64, count int, timeout time.Duration) ([]logclient.Record, error) {
	return firstAnswer(ctx, timeout, f.repeatInterval(), func(ctx context.Context) ([]logclient.Record, error) {
		return f.options.Log.Read(ctx, publication.Topic, offset, count)
	})
}

// repeatInterval returns the interval at which a call to the log that isn't answered is repeated: all
// routers together then make no more calls than while the log answers.
func (f *Follower) repeatInterval() time.Duration {
	return max(minReadTimeout, pollInterval(f.options.PollInterval, len(f.options.Peers())+1))
}

func (f *Follower) offsets(ctx context.Context) (beginning, end int64, err error) {
	type offsets struct{ beginning, end int64 }
	o, err := firstAnswer(ctx, logTimeout, f.repeatInterval(), func(ctx context.Context) (o offsets, err error) {
		o.beginning, o.end, err = f.options.Log.Offsets(ctx, publication.Topic)
		return o, err
	})
	return o.beginning, o.end, err
}

// isExpired reports whether the record at offset is no longer retained.
func (f *Follower) isExpired(ctx context.Context, offset int64) (bool, error) {
	beginning, _, err := f.offsets(ctx)
	return beginning > offset, err
}

// apply applies one record to the state and passes an accepted version to the store.
func (f *Follower) apply(r logclient.Record) {
	f.mu.Lock()
	verdict := f.state.Apply(r.Offset, r.Value)
	f.recordVerdict(verdict)
	f.mu.Unlock()
	f.reportVerdict(verdict)
	if verdict.Outcome == publication.Accepted {
		f.advanceStore()
	}
}

// recordVerdict updates the history and the snapshot counters. The caller holds
// the mutex.
func (f *Follower) recordVerdict(v publication.Verdict) {
	switch v.Outcome {
	case publication.Accepted:
		f.history.add(v.Version-1, v.Version, v.Publication.Changes)
		f.sinceSnapshot++
	case publication.SnapshotConfirmed:
		f.sinceSnapshot = 0
		f.lastSnapshot = time.Now()
	}
}

// reportVerdict counts a verdict and logs it if it is about a publication. These
// log lines are the audit trail of configuration changes.
func (f *Follower) reportVerdict(v publication.Verdict) {
	f.count("config.records." + string(v.Outcome))
	switch v.Outcome {
	case publication.Accepted, publication.Refused, publication.Duplicate:
		p := v.Publication
		f.options.Logger.Info("publication", "id", p.ID, "operator", p.Operator, "base", p.Base,
			"version", v.Version, "verdict", string(v.Outcome), "reason", v.Reason, "offset", v.Offset)
	case publication.Malformed, publication.SnapshotRefused:
		if f.logLimiter.Allow(time.Now(), "log", string(v.Outcome)) {
			f.options.Logger.Warn("configuration record ignored", "offset", v.Offset, "verdict", string(v.Outcome), "reason", v.Reason)
		}
	}
}

// advanceStore passes the derived version to the store, which keeps the highest.
func (f *Follower) advanceStore() {
	f.mu.Lock()
	var config *configstore.Config
	if f.state != nil {
		config = &configstore.Config{Version: f.state.Version, Hash: f.state.Hash, Set: f.state.Set}
	}
	f.mu.Unlock()
	if config == nil || f.isBehindAtStart(config.Version) {
		return
	}
	f.options.Store.Advance(config)
	metrics.GetOrRegisterGauge("config.version", f.options.Metrics).Update(int64(f.options.Store.Version()))
}

func (f *Follower) count(name string) {
	metrics.GetOrRegisterCounter(name, f.options.Metrics).Inc(1)
}

// isBehindAtStart reports whether this process has no current configuration yet
// but has received messages that state a higher version. Before a restart it may
// have used that version, and the version must never decrease.
func (f *Follower) isBehindAtStart(version uint64) bool {
	return f.options.Store.Current() == nil && version < f.options.Store.HighestSeen()
}

// recover reads all retained records and continues from the state that they
// lead to. Until the state is complete again, followPeers queries the peers too.
func (f *Follower) recover(ctx context.Context) error {
	f.count("config.recoveries")
	f.mu.Lock()
	f.behind = f.state != nil
	f.mu.Unlock()
	beginning, end, err := f.offsets(ctx)
	if err != nil {
		return err
	}
	state, verdicts, err := f.deriveState(ctx, beginning, end)
	if err != nil {
		return err
	}
	if !f.adopt(state, verdicts) {
		return f.checkOffset(beginning, end)
	}
	for _, v := range verdicts {
		f.reportVerdict(v)
	}
	f.advanceStore()
	f.options.Logger.Info("configuration read from the log", "version", state.Version, "nextOffset", state.NextOffset)
	return nil
}

// checkOffset returns an error if the state's next offset is not within the
// retained records. It is if a peer has delivered a state in the meantime.
func (f *Follower) checkOffset(beginning, end int64) error {
	next, ok := f.nextOffset()
	if !ok || next < beginning || next > end {
		return errNoHigherVersion
	}
	return nil
}

// deriveState reads the records from beginning to end and returns the state that
// they lead to, with the verdicts on the records after the snapshot it starts from.
func (f *Follower) deriveState(ctx context.Context, beginning, end int64) (*publication.State, []publication.Verdict, error) {
	retained, err := f.options.Log.ReadRange(ctx, publication.Topic, beginning, end)
	if err != nil {
		return nil, nil, err
	}
	records := make([]publication.Record, 0, len(retained))
	for _, r := range retained {
		records = append(records, publication.Record(r))
	}
	state, err := publication.Recover(beginning, records)
	if err != nil {
		return nil, nil, err
	}
	var verdicts []publication.Verdict
	for _, r := range records {
		if r.Offset >= state.NextOffset {
			verdicts = append(verdicts, state.Apply(r.Offset, r.Value))
		}
	}
	return state, verdicts, nil
}

// adopt replaces the state by one derived from the retained records and reports
// whether it did. The state never regresses: a version that isn't higher is
// accepted only if it has the same content and a later offset.
func (f *Follower) adopt(state *publication.State, verdicts []publication.Verdict) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isAhead(state) {
		return false
	}
	if f.state == nil || state.Version > f.state.Version {
		f.history.clear()
	}
	f.state = state
	f.behind = false
	for _, v := range verdicts {
		f.recordVerdict(v)
	}
	return true
}

// isAhead reports whether state may replace the follower's state. The caller
// holds the mutex.
func (f *Follower) isAhead(state *publication.State) bool {
	if f.state == nil {
		return true
	}
	if state.NextOffset < f.state.NextOffset {
		return false
	}
	if state.Version == f.state.Version {
		return state.Hash == f.state.Hash && state.NextOffset > f.state.NextOffset
	}
	return state.Version > f.state.Version
}
