package keyclaim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

const (
	// busyPollInterval is the time between reads while claims are open, and
	// idlePollInterval while none is.
	busyPollInterval = 50 * time.Millisecond
	idlePollInterval = time.Second
	// minRetryInterval and maxRetryInterval bound the backoff after failed reads
	// and appends.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// maxReadRecords is the maximum number of records of one read.
	maxReadRecords = 1000
)

// position is the reader's position in the topic.
type position struct {
	// known is set once next and end hold offsets of the topic.
	known bool
	next  int64
	// end is the offset up to which the topic must be read before claims are
	// accepted.
	end int64
}

// runReader reads the topic until ctx ends. Failed reads are retried with
// backoff.
func (c *Claimer) runReader(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	var pos position
	for ctx.Err() == nil {
		more, err := c.readOnce(ctx, &pos)
		if ctx.Err() != nil {
			break
		}
		c.setReadErr(err)
		switch {
		case err != nil:
			sleep(ctx, retry.NextBackOff(), nil)
		case more:
			retry.Reset()
		default:
			retry.Reset()
			sleep(ctx, c.pollInterval(), c.wakeReader)
		}
	}
	return ctx.Err()
}

// readOnce reads and applies the next records. It reports whether the next read
// should follow without a delay.
func (c *Claimer) readOnce(ctx context.Context, pos *position) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !pos.known {
		beginning, end, err := c.opts.Log.Offsets(ctx, Topic)
		if err != nil {
			return false, err
		}
		*pos = position{known: true, next: beginning, end: end}
	}
	records, err := c.opts.Log.Read(ctx, Topic, pos.next, maxReadRecords)
	var expired *logclient.ExpiredError
	if errors.As(err, &expired) {
		// The missed records are older than the log's retention, which is as
		// long as claims are guaranteed to be valid.
		pos.known = false
		return true, nil
	}
	if err != nil {
		return false, err
	}
	c.apply(records)
	if len(records) > 0 {
		pos.next = records[len(records)-1].Offset + 1
	}
	if pos.next >= pos.end {
		c.setReady()
	}
	return len(records) > 0, nil
}

func (c *Claimer) setReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
}

func (c *Claimer) setReadErr(err error) {
	c.mu.Lock()
	previous := c.readErr
	c.readErr = err
	c.mu.Unlock()
	if (err == nil) != (previous == nil) {
		c.logReadChange(err)
	}
}

func (c *Claimer) logReadChange(err error) {
	if err != nil {
		c.opts.Logger.Warn("read key topic failed, requests with idempotency keys are refused", "error", err.Error())
		return
	}
	c.opts.Logger.Info("key topic is readable again")
}

func (c *Claimer) pollInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openClaims) > 0 {
		return busyPollInterval
	}
	return idlePollInterval
}

// apply applies records in the order of their offsets. Records that can't be
// decoded are skipped.
func (c *Claimer) apply(records []logclient.Record) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		record, err := idemkey.Decode(r.Value)
		if err != nil {
			c.counters.skipped.Inc(1)
			continue
		}
		for _, e := range record.Claims {
			verdict := c.table.Claim(now, e.Key, e.Request)
			if record.Router == c.opts.Instance {
				c.decide(now, e, verdict)
			}
		}
		for _, e := range record.Releases {
			c.table.Release(now, e.Key, e.Request)
		}
	}
	c.evictExpired(now)
}

// decide delivers the decision on one of this router's claims to its caller. A
// claim whose request won't be dispatched is released. The caller holds c.mu.
func (c *Claimer) decide(now time.Time, e idemkey.Entry, verdict idemkey.Verdict) {
	oc, ok := c.openClaims[e.Request]
	if !ok {
		if verdict != idemkey.Repeated {
			c.release(e)
		}
		return
	}
	delete(c.openClaims, e.Request)
	switch verdict {
	case idemkey.Won, idemkey.Repeated:
		c.wonClaims[e.Request] = wonClaim{key: e.Key, validUntil: now.Add(c.opts.Window)}
		c.wonOrder = append(c.wonOrder, e.Request)
		dispatchBefore := oc.started.Add(c.opts.Window / 2)
		oc.done <- decision{result: idemkey.Result{Verdict: idemkey.Won, DispatchBefore: dispatchBefore}}
	case idemkey.Duplicate:
		// Otherwise the losing claim would hold the key after the winner
		// has released it.
		c.release(e)
		oc.done <- decision{result: idemkey.Result{Verdict: idemkey.Duplicate}}
	default:
		c.release(e)
		oc.done <- decision{err: errTableFull}
	}
}

// evictExpired deletes won claims that are no longer valid. The caller holds c.mu.
func (c *Claimer) evictExpired(now time.Time) {
	n := 0
	for n < len(c.wonOrder) {
		request := c.wonOrder[n]
		if claim, ok := c.wonClaims[request]; ok && now.Before(claim.validUntil) {
			break
		}
		delete(c.wonClaims, request)
		n++
	}
	c.wonOrder = c.wonOrder[n:]
}

// sleep returns after d, when ctx ends or when wake receives a signal.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
