// Package fairshare divides what the engines can do between teams by max-min
// fairness over the whole fleet. Each router counts what teams asked for and
// what was started at itself, and learns the same counts of its peers.
//
// Window owns one router's counts; Level derives the share. Neither reads a
// clock.
package fairshare

import (
	"slices"
	"time"
)

const (
	// Span is the window over which tokens are counted.
	Span = 4 * time.Second
	// bucketWidth is the resolution of the counts.
	bucketWidth = 500 * time.Millisecond
	buckets     = int64(Span / bucketWidth)
)

// Usage counts tokens over Span.
type Usage struct {
	Asked   int64
	Started int64
}

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{Asked: u.Asked + o.Asked, Started: u.Started + o.Started}
}

// Window counts one team's tokens. It is not safe for concurrent use.
type Window struct {
	slots [buckets]bucket
}

type bucket struct {
	index int64
	usage Usage
}

// Ask counts tokens that a team asked for.
func (w *Window) Ask(now time.Time, tokens int64) { w.at(now).Asked += tokens }

// Start counts tokens of a request that was sent to an engine.
func (w *Window) Start(now time.Time, tokens int64) { w.at(now).Started += tokens }

// Refund takes back a Start of a request that no engine began. Starts that have
// left the window are no longer counted anyway.
func (w *Window) Refund(started time.Time, tokens int64) {
	index := started.UnixNano() / int64(bucketWidth)
	if b := &w.slots[index%buckets]; b.index == index {
		b.usage.Started -= tokens
	}
}

func (w *Window) at(now time.Time) *Usage {
	index := now.UnixNano() / int64(bucketWidth)
	b := &w.slots[index%buckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return &b.usage
}

// Sum returns the counts of the latest Span.
func (w *Window) Sum(now time.Time) Usage {
	index := now.UnixNano() / int64(bucketWidth)
	var total Usage
	for _, b := range w.slots {
		if index-b.index < buckets && b.index <= index {
			total = total.Add(b.usage)
		}
	}
	return total
}

// Level returns the max-min level of a capacity: the largest amount that a
// team may take so that all takings, min(demand, level), fit the capacity. It
// returns the largest demand if all demands fit.
func Level(demands []int64, capacity int64) int64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	for i, d := range sorted {
		share := capacity / int64(len(sorted)-i)
		if d >= share {
			return share
		}
		capacity -= d
	}
	if len(sorted) == 0 {
		return capacity
	}
	return max(sorted[len(sorted)-1], 1)
}
