package observability

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapRoom is the growth of the heap between two collections, in bytes. A
	// fixed room keeps collections rare while the heap is small, and keeps a
	// router with 18,000 teams, whose live heap is near 30 MiB, from doubling it.
	heapRoom = 12 << 20
	// minGrowthPercent and maxGrowthPercent bound what heapRoom means for very
	// large and very small heaps.
	minGrowthPercent = 40
	maxGrowthPercent = 400
	// defaultGrowthPercent is Go's own default.
	defaultGrowthPercent = 100
	// heapInterval is the time between two looks at the live heap.
	heapInterval = 5 * time.Second

	liveHeapMetric = "/gc/heap/live:bytes"
)

// ManageHeap keeps the room between two garbage collections at heapRoom until
// ctx ends. It does nothing if the operator has set GOGC.
func ManageHeap(ctx context.Context) {
	if _, ok := os.LookupEnv("GOGC"); ok {
		return
	}
	ticker := time.NewTicker(heapInterval)
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

// growthPercent returns the growth that stands for heapRoom at a live heap of
// this many bytes. Before the first collection nothing is known, and a start
// with a large configuration must not let the heap grow fivefold.
func growthPercent(live uint64) int {
	if live == 0 {
		return defaultGrowthPercent
	}
	percent := int(min(heapRoom*100/live, maxGrowthPercent))
	return max(percent, minGrowthPercent)
}
