package emulator

import (
	"container/list"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	maxBlocks int
	seq       uint64
	lru       *list.List // block hashes (uint64), the most recently used first
	blocks    map[uint64]*list.Element
	events    []connector.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxBlocks: limit, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) lookup(prefix []uint64) int {
	n := 0
	for n < len(prefix) && c.blocks[prefix[n]] != nil {
		n++
	}
	c.touch(prefix[:n])
	return n
}

// touch marks blocks as used, the first block last, so that a block is never evicted before the blocks that follow it in a
// prefix.
func (c *prefixCache) touch(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[prefix[i]])
	}
}

// insert stores the blocks of a prompt and evicts the least recently used ones.
func (c *prefixCache) insert(prefix []uint64) {
	prefix = prefix[:min(len(prefix), c.maxBlocks)]
	var event connector.CacheEvent
	for _, b := range prefix {
		if c.blocks[b] == nil {
			c.blocks[b] = c.lru.PushFront(b)
			event.Added = append(event.Added, b)
		}
	}
	c.touch(prefix)
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Back()
		b := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, b)
		event.Removed = append(event.Removed, b)
	}
	if len(event.Added) > 0 || len(event.Removed) > 0 {
		c.seq++
		event.Seq = c.seq
		c.events = append(c.events, event)
	}
}

// reset empties the cache. It skips a sequence number, by which readers of the events detect the loss.
func (c *prefixCache) reset() {
	c.seq++
	c.lru.Init()
	clear(c.blocks)
	c.events = nil
}

func (c *prefixCache) takeEvents() []connector.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
