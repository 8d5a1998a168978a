package retry

import "time"

const (
	// Window is the interval over which requests and retries are counted.
	Window = 10 * time.Second
	// Floor is the number of retries per Window that need no requests.
	Floor = 10
	// Fraction is the share of the requests in Window that may be retried.
	Fraction = 0.1

	// bucketWidth is the resolution of the counts.
	bucketWidth = time.Second
	// requestBuckets cover at most Window including the current, partial bucket.
	requestBuckets = int64(Window / bucketWidth)
	// retryBuckets cover at least Window, so that the limit errs to the safe side.
	retryBuckets = requestBuckets + 1
)

type bucket struct {
	index    int64
	requests int64
	retries  int64
}

// Limits bound the retries per Window.
type Limits struct {
	// Floor is the number of retries that need no requests.
	Floor float64
	// Fraction is the share of the requests that may be retried.
	Fraction float64
}

// DefaultLimits are the limits of a router that nobody configured.
func DefaultLimits() Limits { return Limits{Floor: Floor, Fraction: Fraction} }

// Divide returns one router's part of limits that a fleet of n routers shares.
// The fraction stays, since each router counts its own requests.
func (l Limits) Divide(n int) Limits {
	return Limits{Floor: l.Floor / float64(n), Fraction: l.Fraction}
}

// Budget is the retry budget of one router; the zero value has DefaultLimits.
// It is not safe for concurrent use.
type Budget struct {
	limits  *Limits
	buckets [retryBuckets]bucket
}

// NewBudget returns a budget with limits.
func NewBudget(limits Limits) *Budget { return &Budget{limits: &limits} }

// SetLimits replaces the limits; counts stay.
func (b *Budget) SetLimits(limits Limits) { b.limits = &limits }

func (b *Budget) allowed(requests int64) float64 {
	limits := DefaultLimits()
	if b.limits != nil {
		limits = *b.limits
	}
	return limits.Floor + limits.Fraction*float64(requests)
}

// Request counts a new request.
func (b *Budget) Request(now time.Time) {
	b.at(now).requests++
}

// Take reports whether one more retry is allowed at now, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	current := b.at(now)
	var requests, retries int64
	for _, bk := range b.buckets {
		age := current.index - bk.index
		if age < 0 {
			continue
		}
		if age < requestBuckets {
			requests += bk.requests
		}
		if age < retryBuckets {
			retries += bk.retries
		}
	}
	if float64(retries+1) > b.allowed(requests) {
		return false
	}
	current.retries++
	return true
}

// at returns the bucket of now, emptied if it held an older second.
func (b *Budget) at(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketWidth)
	bk := &b.buckets[index%retryBuckets]
	if bk.index != index {
		*bk = bucket{index: index}
	}
	return bk
}
