// Package fairshare divides the capacity of the engines between teams by max-min
// fairness over the whole fleet. Each router counts the tokens that teams requested,
// those of the requests that it started and those of the requests that engines began, and
// receives the same counts from its peers.
//
// Window holds the counts of one team at one router; MaxMinLevel computes the
// max-min share. Neither reads a clock.
package fairshare

import (
	"slices"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/timebucket"
)

const (
	// WindowLength is the length of the sliding window over which tokens are counted.
	WindowLength = 4 * time.Second
	// bucketWidth is the resolution of the window.
	bucketWidth = 500 * time.Millisecond
	bucketCount = int64(WindowLength / bucketWidth)
)

// Usage holds one team's token counts in the window.
type Usage struct {
	// Requested is the number of tokens of all requests.
	Requested int64
	// Started is the number of tokens of the requests that were assigned to an engine.
	Started int64
	// Begun is the number of tokens of the requests that an engine began. It is what a
	// team got: a started request may still fail, or its caller leave.
	Begun int64
}

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{Requested: u.Requested + o.Requested, Started: u.Started + o.Started, Begun: u.Begun + o.Begun}
}

// Window counts one team's tokens in a sliding window. It is not safe for
// concurrent use.
type Window struct {
	origin  timebucket.Origin
	buckets [bucketCount]bucket
}

type bucket struct {
	index int64
	usage Usage
}

// AddRequested counts tokens that a team requested.
func (w *Window) AddRequested(now time.Time, tokens int64) { w.usageAt(now).Requested += tokens }

// AddStarted counts tokens of a request that was assigned to an engine.
func (w *Window) AddStarted(now time.Time, tokens int64) { w.usageAt(now).Started += tokens }

// AddBegun counts tokens of a request that an engine began.
func (w *Window) AddBegun(now time.Time, tokens int64) { w.usageAt(now).Begun += tokens }

// Refund subtracts the tokens of a request that was counted as started but that no
// engine processed. It has no effect if the tokens have left the window.
func (w *Window) Refund(started time.Time, tokens int64) {
	index := w.origin.Index(started, bucketWidth)
	if b := &w.buckets[index%bucketCount]; b.index == index {
		b.usage.Started -= tokens
	}
}

func (w *Window) usageAt(now time.Time) *Usage {
	index := w.origin.Index(now, bucketWidth)
	b := &w.buckets[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	return &b.usage
}

// Sum returns the counts within the window that ends at now.
func (w *Window) Sum(now time.Time) Usage {
	index := w.origin.Index(now, bucketWidth)
	var total Usage
	for _, b := range w.buckets {
		if index-b.index < bucketCount && b.index <= index {
			total = total.Add(b.usage)
		}
	}
	return total
}

// MaxMinLevel returns the max-min level of a capacity: the largest amount per team for
// which the sum of min(demand, level) over all teams stays within the capacity. It
// returns the largest demand, but at least 1, if all demands fit, and the capacity
// if there are no demands.
func MaxMinLevel(demands []int64, capacity int64) int64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	for i, d := range sorted {
		share := capacity / int64(len(sorted)-i)
		if d > share {
			return share
		}
		capacity -= d
	}
	if len(sorted) == 0 {
		return capacity
	}
	return max(sorted[len(sorted)-1], 1)
}
