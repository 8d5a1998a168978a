package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of prompt tokens per cache block; only complete
// blocks are cached, as in engines with paged prefix caches.
const blockTokens = 16

// prefixCache is an LRU cache of prompt prefixes. A block is identified by the
// hash of the whole prefix up to its end. The caller serializes access.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   cacheEvents
}

func newPrefixCache(capacityTokens int) *prefixCache {
	return &prefixCache{
		capacity: capacityTokens / blockTokens,
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// lookUpAndStore returns the number of leading prompt tokens found in the cache
// and stores the prompt's blocks, evicting the least recently used ones.
func (c *prefixCache) lookUpAndStore(words []string) int {
	hit := 0
	missed := false
	digest := xxhash.New()
	for start := 0; start+blockTokens <= len(words); start += blockTokens {
		_, _ = digest.WriteString(strings.Join(words[start:start+blockTokens], " "))
		_, _ = digest.WriteString(" ")
		if c.touch(digest.Sum64()) && !missed {
			hit += blockTokens
		} else {
			missed = true
		}
	}
	return hit
}

// touch reports whether a block is cached. It marks the block as most recently
// used, storing it if needed.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.order.Len() >= c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
		c.events.add(blockRemoved, oldest.Value.(uint64))
	}
	c.blocks[block] = c.order.PushFront(block)
	c.events.add(blockStored, block)
	return false
}
