package keyclaim

import (
	"context"

	"github.com/cenkalti/backoff/v5"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// runAppender appends claims and releases until ctx ends. Claims are appended
// once. Releases are appended until the log confirms them, because a second
// copy of a release does nothing.
func (c *Claimer) runAppender(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = maxRetry
	for ctx.Err() == nil {
		sleep(ctx, idlePoll, c.wakeAppender)
		sleep(ctx, batchDelay, nil)
		claims, releases := c.take()
		if len(claims)+len(releases) == 0 {
			continue
		}
		if c.append(ctx, claims, releases) {
			retry.Reset()
			continue
		}
		if len(releases) > 0 {
			sleep(ctx, retry.NextBackOff(), nil)
		}
	}
	return ctx.Err()
}

// take removes the entries of the next append from the lists. Claims that
// were given up meanwhile are dropped.
func (c *Claimer) take() (claims, releases []idemkey.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.pending[:0]
	for _, e := range c.pending {
		if c.open[e.Request] == nil {
			continue
		}
		if len(claims) < idemkey.MaxEntries {
			claims = append(claims, e)
		} else {
			rest = append(rest, e)
		}
	}
	c.pending = rest
	n := min(len(c.releases), idemkey.MaxEntries)
	releases = append(releases, c.releases[:n]...)
	c.releases = c.releases[n:]
	if len(c.pending)+len(c.releases) > 0 {
		signal(c.wakeAppender)
	}
	return claims, releases
}

// append makes one append and reports whether the log confirmed it.
func (c *Claimer) append(ctx context.Context, claims, releases []idemkey.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	_, err := c.o.Log.Append(ctx, Topic, c.values(claims, releases)...)
	signal(c.wakeReader)
	if err == nil {
		return true
	}
	c.o.Logger.Debug("append to the key stream not confirmed", "claims", len(claims), "releases", len(releases), "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releases = append(releases, c.releases...)
	if logclient.IsRefused(err) {
		c.refuse(claims)
	}
	return false
}

// values encodes the records of an append.
func (c *Claimer) values(claims, releases []idemkey.Entry) [][]byte {
	var values [][]byte
	records := []idemkey.Record{
		{Type: idemkey.ReleasesRecord, Router: c.o.Instance, Releases: releases},
		{Type: idemkey.ClaimsRecord, Router: c.o.Instance, Claims: claims},
	}
	for _, r := range records {
		if len(r.Claims)+len(r.Releases) == 0 {
			continue
		}
		value, err := r.Encode()
		if err != nil {
			// The lists hold only entries that this router made.
			panic(err)
		}
		values = append(values, value)
	}
	return values
}

// refuse ends claims that the log certainly did not take. The caller holds c.mu.
func (c *Claimer) refuse(claims []idemkey.Entry) {
	for _, e := range claims {
		if oc := c.open[e.Request]; oc != nil {
			delete(c.open, e.Request)
			oc.done <- decision{err: errRefused}
		}
	}
}
