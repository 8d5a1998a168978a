package engine

import (
	"fmt"
	"time"
)

// maxCacheEvents bounds the events that are kept; the oldest are dropped.
const maxCacheEvents = 10_000

// The types of cache events, named as in the KV cache events of vLLM.
const (
	blockStored  = "BlockStored"
	blockRemoved = "BlockRemoved"
)

// CacheEvent tells of one change of the prefix cache.
type CacheEvent struct {
	// Sequence grows by one per change; a gap shows a lost event.
	Sequence int    `json:"sequence"`
	Type     string `json:"type"`
	// Block is the hash of the prefix up to the block's end.
	Block string `json:"block"`

	at time.Time
}

// cacheEvents publishes changes late and with gaps, as engines do. The caller
// serializes access.
type cacheEvents struct {
	lag time.Duration
	// loseEvery is the distance of lost events; 0 loses none.
	loseEvery int
	sequence  int
	kept      []CacheEvent
}

func (c *cacheEvents) add(kind string, block uint64) {
	c.sequence++
	if c.loseEvery > 0 && c.sequence%c.loseEvery == 0 {
		return
	}
	if len(c.kept) >= maxCacheEvents {
		c.kept = c.kept[1:]
	}
	c.kept = append(c.kept, CacheEvent{Sequence: c.sequence, Type: kind, Block: fmt.Sprintf("%016x", block), at: time.Now()})
}

// after returns the published events with a higher sequence number.
func (c *cacheEvents) after(sequence int) []CacheEvent {
	published := time.Now().Add(-c.lag)
	events := []CacheEvent{}
	for _, e := range c.kept {
		if e.Sequence > sequence && !e.at.After(published) {
			events = append(events, e)
		}
	}
	return events
}
