package engine

import (
	"fmt"
	"time"
)

// maxCacheEvents bounds the buffered events; the oldest are dropped.
const maxCacheEvents = 10_000

// Cache event types, named as in the KV cache events of vLLM.
const (
	blockStored  = "BlockStored"
	blockRemoved = "BlockRemoved"
)

// CacheEvent describes one change of the prefix cache.
type CacheEvent struct {
	// Sequence increases by one per change; a gap indicates a lost event.
	Sequence int    `json:"sequence"`
	Type     string `json:"type"`
	// Block is the hash of the prefix up to the block's end.
	Block string `json:"block"`

	at time.Time
}

// cacheEvents publishes cache changes with a delay and with lost events, as
// real engines do. The caller serializes access.
type cacheEvents struct {
	lag time.Duration
	// loseEvery drops each event whose sequence number is a multiple of it; 0
	// drops none.
	loseEvery int
	sequence  int
	buffered  []CacheEvent
}

func (c *cacheEvents) add(kind string, block uint64) {
	c.sequence++
	if c.loseEvery > 0 && c.sequence%c.loseEvery == 0 {
		return
	}
	if len(c.buffered) >= maxCacheEvents {
		c.buffered = c.buffered[1:]
	}
	c.buffered = append(c.buffered, CacheEvent{Sequence: c.sequence, Type: kind, Block: fmt.Sprintf("%016x", block), at: time.Now()})
}

// after returns the published events with a higher sequence number.
func (c *cacheEvents) after(sequence int) []CacheEvent {
	published := time.Now().Add(-c.lag)
	events := []CacheEvent{}
	for _, e := range c.buffered {
		if e.Sequence > sequence && !e.at.After(published) {
			events = append(events, e)
		}
	}
	return events
}
