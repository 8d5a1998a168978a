package observability

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapGrowth is the growth of the heap between two garbage collections, in
	// bytes. A fixed growth keeps collections rare while the heap is small, and
	// keeps a router with 18,000 teams, whose live heap is near 30 MiB, from
	// doubling it.
	heapGrowth = 12 << 20
	// minGrowthPercent and maxGrowthPercent bound the growth relative to the live
	// heap for very large and very small heaps.
	minGrowthPercent = 40
	maxGrowthPercent = 400
	// defaultGrowthPercent is the default of GOGC.
	defaultGrowthPercent = 100
	// heapCheckInterval is the time between two readings of the live heap size.
	heapCheckInterval = 5 * time.Second

	liveHeapMetric = "/gc/heap/live:bytes"
)

// TuneGC adjusts the garbage collector's percentage until ctx ends, so that
// the heap grows by about heapGrowth between two collections. It does nothing if
// the environment variable GOGC is set.
func TuneGC(ctx context.Context) {
	if _, ok := os.LookupEnv("GOGC"); ok {
		return
	}
	ticker := time.NewTicker(heapCheckInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	for {
		metrics.Read(sample)
		debug.SetGCPercent(growthPercent(sample[0].Value.Uint64()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// growthPercent returns the percentage that corresponds to heapGrowth for a live
// heap of the given size in bytes. The size is 0 before the first collection; the
// default is used then, because maxGrowthPercent would let the heap grow fivefold
// at startup with a large configuration.
func growthPercent(live uint64) int {
	if live == 0 {
		return defaultGrowthPercent
	}
	percent := int(min(heapGrowth*100/live, maxGrowthPercent))
	return max(percent, minGrowthPercent)
}
