package retry

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/timebucket"
)

const (
	// Window is the interval over which requests and retries are counted.
	Window = 10 * time.Second
	// Floor is the number of retries per Window allowed regardless of the number
	// of requests.
	Floor = 10
	// Fraction is the fraction of the requests in Window that may be retried in
	// addition to Floor.
	Fraction = 0.1

	// bucketWidth is the resolution of the counts.
	bucketWidth = time.Second
	// requestBuckets is the number of buckets in which requests are counted. They
	// cover at most Window, including the current, partial bucket.
	requestBuckets = int64(Window / bucketWidth)
	// retryBuckets is the number of buckets in which retries are counted. They
	// cover at least Window, so that the limit is never exceeded.
	retryBuckets = requestBuckets + 1
)

// bucket holds the counts of the interval of bucketWidth with the number index.
type bucket struct {
	index    int64
	requests int64
	retries  int64
}

// Limits bounds the number of retries per Window.
type Limits struct {
	// Floor is the number of retries allowed regardless of the number of requests.
	Floor float64
	// Fraction is the fraction of the requests that may be retried in addition to
	// Floor.
	Fraction float64
}

// DefaultLimits returns the limits that apply if none are configured.
func DefaultLimits() Limits { return Limits{Floor: Floor, Fraction: Fraction} }

// Divide returns the limits of each router in a fleet of n routers that share l.
// Fraction is unchanged, since each router counts its own requests.
func (l Limits) Divide(n int) Limits {
	return Limits{Floor: l.Floor / float64(n), Fraction: l.Fraction}
}

// UnknownSpan is how long retries that an earlier process of a router made may share a Window with those of the
// present one.
const UnknownSpan = Window + bucketWidth

// Start bounds the retries of a process that doesn't know what was retried before it began. Zero for one
// that does.
type Start struct {
	// Until is UnknownSpan after the beginning of the process.
	Until time.Time
	// Fraction is the fraction of the requests that may be retried before, without a floor. With Limits.Fraction,
	// it must stay within what all processes may retry.
	Fraction float64
}

// Budget is the retry budget of one router. The zero value uses DefaultLimits.
// It is not safe for concurrent use.
type Budget struct {
	limits  *Limits
	start   Start
	origin  timebucket.Origin
	buckets [retryBuckets]bucket
}

// NewBudget returns a budget with the given limits and no counts.
func NewBudget(limits Limits, start Start) *Budget { return &Budget{limits: &limits, start: start} }

// SetLimits replaces the limits and keeps the counts.
func (b *Budget) SetLimits(limits Limits) { b.limits = &limits }

func (b *Budget) allowed(now time.Time, requests int64) float64 {
	if now.Before(b.start.Until) {
		return b.start.Fraction * float64(requests)
	}
	limits := DefaultLimits()
	if b.limits != nil {
		limits = *b.limits
	}
	return limits.Floor + limits.Fraction*float64(requests)
}

// CountRequest counts a new request.
func (b *Budget) CountRequest(now time.Time) {
	b.bucketAt(now).requests++
}

// Take reports whether another retry is allowed at now, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

// Allows reports whether another retry is allowed at now.
func (b *Budget) Allows(now time.Time) bool {
	current := b.bucketAt(now)
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
	return float64(retries+1) <= b.allowed(now, requests)
}

// bucketAt returns the bucket for now, cleared if it held an earlier interval.
func (b *Budget) bucketAt(now time.Time) *bucket {
	index := b.origin.Index(now, bucketWidth)
	bk := &b.buckets[index%retryBuckets]
	if bk.index != index {
		*bk = bucket{index: index}
	}
	return bk
}
