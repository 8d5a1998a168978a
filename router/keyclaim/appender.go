package keyclaim

import (
	"context"

	"github.com/cenkalti/backoff/v5"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// runAppender appends claims and releases until ctx ends. Claims are appended
// once. Releases are retried until the log confirms them, which is safe because
// a second copy of a release has no effect.
func (c *Claimer) runAppender(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for ctx.Err() == nil {
		sleep(ctx, idlePollInterval, c.wakeAppender)
		sleep(ctx, batchInterval, nil)
		claims, releases := c.takeBatch()
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

// takeBatch removes the entries of the next append from the lists and returns
// them. Claims that have been abandoned are dropped.
func (c *Claimer) takeBatch() (claims, releases []idemkey.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.pending[:0]
	for _, e := range c.pending {
		if c.openClaims[e.Request] == nil {
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

// append appends claims and releases to the log and reports whether the log
// confirmed it. Unconfirmed releases return to the list.
func (c *Claimer) append(ctx context.Context, claims, releases []idemkey.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	_, err := c.opts.Log.Append(ctx, Topic, c.encodeRecords(claims, releases)...)
	signal(c.wakeReader)
	if err == nil {
		return true
	}
	c.opts.Logger.Debug("append to key topic not confirmed", "claims", len(claims), "releases", len(releases), "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releases = append(releases, c.releases...)
	if logclient.IsRefused(err) {
		c.rejectClaims(claims)
	}
	return false
}

// encodeRecords encodes the records of an append.
func (c *Claimer) encodeRecords(claims, releases []idemkey.Entry) [][]byte {
	var values [][]byte
	records := []idemkey.Record{
		{Type: idemkey.ReleasesRecord, Router: c.opts.Instance, Releases: releases},
		{Type: idemkey.ClaimsRecord, Router: c.opts.Instance, Claims: claims},
	}
	for _, r := range records {
		if len(r.Claims)+len(r.Releases) == 0 {
			continue
		}
		value, err := r.Encode()
		if err != nil {
			// Unreachable: the lists hold only entries that this router created.
			panic(err)
		}
		values = append(values, value)
	}
	return values
}

// rejectClaims ends claims that the log has definitely not stored. The caller
// holds c.mu.
func (c *Claimer) rejectClaims(claims []idemkey.Entry) {
	for _, e := range claims {
		if oc := c.openClaims[e.Request]; oc != nil {
			delete(c.openClaims, e.Request)
			oc.done <- decision{err: errRefused}
		}
	}
}
