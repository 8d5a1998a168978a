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
	// busyPoll and idlePoll are the times between reads while claims are open
	// and while none is.
	busyPoll = 50 * time.Millisecond
	idlePoll = time.Second
	// firstRetry and maxRetry bound the time between reads that fail.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// readCount is the largest number of records of one read.
	readCount = 1000
)

// position is where the reader stands in the stream.
type position struct {
	known bool
	next  int64
	// end is the offset up to which the reader must read before it is ready.
	end int64
}

// runReader follows the stream until ctx ends.
func (c *Claimer) runReader(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = maxRetry
	var at position
	for ctx.Err() == nil {
		more, err := c.readOnce(ctx, &at)
		if ctx.Err() != nil {
			break
		}
		c.noteRead(err)
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

// readOnce makes one read and reports whether there may be more to read at once.
func (c *Claimer) readOnce(ctx context.Context, at *position) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !at.known {
		beginning, end, err := c.o.Log.Offsets(ctx, Topic)
		if err != nil {
			return false, err
		}
		*at = position{known: true, next: beginning, end: end}
	}
	records, err := c.o.Log.Read(ctx, Topic, at.next, readCount)
	var expired *logclient.ExpiredError
	if errors.As(err, &expired) {
		// The records that were missed are older than the log's retention,
		// which is as long as claims are promised to count.
		at.known = false
		return true, nil
	}
	if err != nil {
		return false, err
	}
	c.apply(records)
	if len(records) > 0 {
		at.next = records[len(records)-1].Offset + 1
	}
	if at.next >= at.end {
		c.setReady()
	}
	return len(records) > 0, nil
}

func (c *Claimer) setReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
}

func (c *Claimer) noteRead(err error) {
	c.mu.Lock()
	was := c.readFault
	c.readFault = err
	c.mu.Unlock()
	if (err == nil) != (was == nil) {
		c.logReadChange(err)
	}
}

func (c *Claimer) logReadChange(err error) {
	if err != nil {
		c.o.Logger.Warn("key stream not readable, keyed requests are refused", "error", err.Error())
		return
	}
	c.o.Logger.Info("key stream readable again")
}

func (c *Claimer) pollInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 {
		return busyPoll
	}
	return idlePoll
}

// apply applies records in the order of their offsets.
func (c *Claimer) apply(records []logclient.Record) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		record, err := idemkey.Decode(r.Value)
		if err != nil {
			c.m.skipped.Inc(1)
			continue
		}
		for _, e := range record.Claims {
			verdict := c.table.Claim(now, e.Key, e.Request)
			if record.Router == c.o.Instance {
				c.decide(now, e, verdict)
			}
		}
		for _, e := range record.Releases {
			c.table.Release(now, e.Key, e.Request)
		}
	}
	c.forgetWon(now)
}

// decide passes the decision on one of this router's claims on. A claim that
// will not be dispatched is released. The caller holds c.mu.
func (c *Claimer) decide(now time.Time, e idemkey.Entry, verdict idemkey.Verdict) {
	oc, ok := c.open[e.Request]
	if !ok {
		if verdict != idemkey.Repeated {
			c.release(e)
		}
		return
	}
	delete(c.open, e.Request)
	switch verdict {
	case idemkey.Won, idemkey.Repeated:
		c.won[e.Request] = wonClaim{key: e.Key, until: now.Add(c.o.Window)}
		c.wonOrder = append(c.wonOrder, e.Request)
		before := oc.started.Add(c.o.Window / 2)
		oc.done <- decision{result: idemkey.Result{Verdict: idemkey.Won, DispatchBefore: before}}
	case idemkey.Duplicate:
		// Otherwise the losing claim would hold the key after the winner
		// has released it.
		c.release(e)
		oc.done <- decision{result: idemkey.Result{Verdict: idemkey.Duplicate}}
	default:
		c.release(e)
		oc.done <- decision{err: errFull}
	}
}

// forgetWon drops claims that no longer count. The caller holds c.mu.
func (c *Claimer) forgetWon(now time.Time) {
	n := 0
	for n < len(c.wonOrder) {
		request := c.wonOrder[n]
		if claim, ok := c.won[request]; ok && now.Before(claim.until) {
			break
		}
		delete(c.won, request)
		n++
	}
	c.wonOrder = c.wonOrder[n:]
}

// sleep returns after d, when ctx ends or when wake is signalled.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
