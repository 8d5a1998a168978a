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

	// maxPollInterval bounds the time between two reads in a large fleet. With
	// it a new version is in force within half of the 4 s that are promised.
	maxPollInterval = 2 * time.Second
	// pollShare is the time between two reads of the log by all routers
	// together: 250 reads a second, however many routers there are, until
	// maxPollInterval is reached.
	pollShare = 4 * time.Millisecond
	// maxBackoff is the longest time between two attempts while the log or the peers fail.
	maxBackoff = 2 * time.Second
	// randomization is the part by which the time between two attempts varies.
	randomization = 0.25
	// minReadTimeout bounds the first read after a successful one. A connection
	// to the log that went silent must not use up the 4 s of promise P8.
	minReadTimeout = 1500 * time.Millisecond
	// logTimeout bounds appends, and reads after others have run out of time.
	logTimeout = 10 * time.Second
	// maxBatch is the number of records asked for at once. It is halved after
	// an error, because one reply with many large records exceeds the client's limit.
	maxBatch = 256
)

// errNotHigher says that the retained records lead to a version that is not
// above the one in force, although records are missing in between.
var errNotHigher = eris.New("the retained records lead to no higher version")

// Options configures a Follower. All fields without a default are required.
type Options struct {
	Store *configstore.Store
	// State is the state to start from. Default: read from the log or a peer.
	State *publication.State
	Log   *logclient.Client
	// Caller calls other routers and checks senders.
	Caller *fleetrpc.Caller
	// Peers returns the fleet addresses of other routers.
	Peers func() []string
	// SnapshotDuty reports whether this router appends snapshots.
	SnapshotDuty func() bool
	// SnapshotEvery is the number of accepted publications between snapshots.
	SnapshotEvery int
	// SnapshotInterval is the longest time between snapshots.
	SnapshotInterval time.Duration
	// PollInterval is the time between two reads at the end of the log. Default: DefaultPollInterval.
	PollInterval time.Duration
	Logger       *slog.Logger
	Metrics      metrics.Registry
}

// Follower is safe for use by several goroutines. Its mutex guards the fields
// below it, is not held during calls of other processes or of the store, and
// is taken after no other.
type Follower struct {
	options Options
	limiter observability.Limiter
	// wholeSets bounds the replies with a whole set that are made at the same time.
	wholeSets chan struct{}

	mu sync.Mutex
	// state is nil until the log or a peer has delivered one.
	state   *publication.State
	history history
	// behind is set while records are missing between state and the log.
	behind bool
	// atEnd is set while the last read reached the end of the log.
	atEnd bool
	// logAnswered is the time of the last successful read.
	logAnswered time.Time
	// sinceSnapshot counts accepted publications after the last snapshot.
	sinceSnapshot int
	lastSnapshot  time.Time
	// nextSnapshot is the earliest time of the next attempt.
	nextSnapshot time.Time
}

// New returns a follower; Run starts its work.
func New(options Options) *Follower {
	if options.PollInterval == 0 {
		options.PollInterval = DefaultPollInterval
	}
	return &Follower{
		options:   options,
		wholeSets: make(chan struct{}, maxWholeSets),
		state:     options.State,
	}
}

// Run follows the log and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.lastSnapshot = time.Now()
	f.mu.Unlock()
	f.putInForce()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.followSnapshots(ctx) })
	return group.Wait()
}

func newBackOff(initial time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.RandomizationFactor = randomization
	b.MaxInterval = time.Duration(float64(maxBackoff) / (1 + randomization))
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

func (f *Follower) followLog(ctx context.Context) error {
	failures := newBackOff(f.options.PollInterval)
	batch, limit := maxBatch, minReadTimeout
	for {
		pause := jittered(pollPause(f.options.PollInterval, len(f.options.Peers())+1))
		more, err := f.readOnce(ctx, batch, limit)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			f.logFailed(err)
			batch, limit = max(1, batch/2), min(logTimeout, 2*limit)
			pause = failures.NextBackOff()
		case more:
			batch, limit = min(maxBatch, 2*batch), minReadTimeout
			failures.Reset()
			pause = 0
		default:
			batch, limit = min(maxBatch, 2*batch), minReadTimeout
			failures.Reset()
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// pollPause returns the time between two reads in a fleet of this many routers.
func pollPause(interval time.Duration, routers int) time.Duration {
	return max(interval, min(maxPollInterval, time.Duration(routers)*pollShare))
}

// jittered spreads the reads of routers that started together.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (f *Follower) logFailed(err error) {
	f.count("config.log_errors")
	f.mu.Lock()
	f.atEnd = false
	f.mu.Unlock()
	if f.limiter.Allow(time.Now(), "log", "read") {
		f.options.Logger.Warn("the configuration stream can't be read", "error", err.Error())
	}
}

// readOnce applies the next records and reports whether there may be more.
func (f *Follower) readOnce(ctx context.Context, batch int, limit time.Duration) (more bool, err error) {
	next, ok := f.nextOffset()
	if !ok {
		return true, f.recover(ctx)
	}
	records, err := f.read(ctx, next, batch, limit)
	var expired *logclient.ExpiredError
	if errors.As(err, &expired) {
		return true, f.recover(ctx)
	}
	if err != nil {
		return false, err
	}
	if len(records) > 0 && records[0].Offset > next {
		missing, err := f.isMissing(ctx, next)
		if err != nil {
			return false, err
		}
		if missing {
			return true, f.recover(ctx)
		}
	}
	f.answered(len(records) == 0)
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

func (f *Follower) answered(atEnd bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.atEnd = atEnd
	f.logAnswered = time.Now()
	f.behind = false
}

func (f *Follower) read(ctx context.Context, offset int64, count int, limit time.Duration) ([]logclient.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.options.Log.Read(ctx, publication.Topic, offset, count)
}

func (f *Follower) offsets(ctx context.Context) (beginning, end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return f.options.Log.Offsets(ctx, publication.Topic)
}

// isMissing reports whether the record at offset is no longer retained.
func (f *Follower) isMissing(ctx context.Context, offset int64) (bool, error) {
	beginning, _, err := f.offsets(ctx)
	return beginning > offset, err
}

// apply takes one record and puts the resulting version in force.
func (f *Follower) apply(r logclient.Record) {
	f.mu.Lock()
	verdict := f.state.Apply(r.Offset, r.Value)
	f.note(verdict)
	f.mu.Unlock()
	f.report(verdict)
	if verdict.Outcome == publication.Accepted {
		f.putInForce()
	}
}

// note updates what depends on verdicts; the mutex is held.
func (f *Follower) note(v publication.Verdict) {
	switch v.Outcome {
	case publication.Accepted:
		f.history.add(v.Version-1, v.Version, v.Publication.Changes)
		f.sinceSnapshot++
	case publication.SnapshotConfirmed:
		f.sinceSnapshot = 0
		f.lastSnapshot = time.Now()
	}
}

// report counts a verdict and logs those about publications; these lines are
// the trail of changes.
func (f *Follower) report(v publication.Verdict) {
	f.count("config.records." + string(v.Outcome))
	switch v.Outcome {
	case publication.Accepted, publication.Refused, publication.Duplicate:
		p := v.Publication
		f.options.Logger.Info("publication", "id", p.ID, "operator", p.Operator, "base", p.Base,
			"version", v.Version, "verdict", string(v.Outcome), "reason", v.Reason, "offset", v.Offset)
	case publication.Malformed, publication.SnapshotRefused:
		if f.limiter.Allow(time.Now(), "log", string(v.Outcome)) {
			f.options.Logger.Warn("record not used", "offset", v.Offset, "verdict", string(v.Outcome), "reason", v.Reason)
		}
	}
}

// putInForce hands the derived version to the store, which keeps the highest.
func (f *Follower) putInForce() {
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

// recover reads all retained records and continues from the state they lead
// to. If they don't lead to a higher version, the peers are asked.
// isBehindAtStart reports whether a process that has no configuration in force
// yet has heard of a higher version than this. Before a restart it may have had
// that version in force, and it must never go back.
func (f *Follower) isBehindAtStart(version uint64) bool {
	return f.options.Store.Current() == nil && version < f.options.Store.HighestSeen()
}

func (f *Follower) recover(ctx context.Context) error {
	f.count("config.recoveries")
	f.mu.Lock()
	f.behind = f.state != nil
	f.mu.Unlock()
	beginning, end, err := f.offsets(ctx)
	if err != nil {
		return err
	}
	state, verdicts, err := f.derive(ctx, beginning, end)
	if err != nil {
		return err
	}
	if !f.adopt(state, verdicts) {
		return f.checkPlace(beginning, end)
	}
	for _, v := range verdicts {
		f.report(v)
	}
	f.putInForce()
	f.options.Logger.Info("configuration read from the log", "version", state.Version, "nextOffset", state.NextOffset)
	return nil
}

// checkPlace returns an error if the state can't be continued from the
// retained records. It can if a peer has delivered a state in the meantime.
func (f *Follower) checkPlace(beginning, end int64) error {
	next, ok := f.nextOffset()
	if !ok || next < beginning || next > end {
		return errNotHigher
	}
	return nil
}

func (f *Follower) derive(ctx context.Context, beginning, end int64) (*publication.State, []publication.Verdict, error) {
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

// adopt replaces the state by one that another source has derived. The state
// never goes back: a version that isn't higher is taken only if it has the
// same content and a later offset.
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
		f.note(v)
	}
	return true
}

// isAhead reports whether state may replace the follower's; the mutex is held.
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
