package emulator

import (
	"container/list"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// prefixCache holds prompt blocks in the order of their last use.
type prefixCache struct {
	limit  int
	seq    uint64
	order  *list.List // of uint64, the most recently used first
	blocks map[uint64]*list.Element
	events []connector.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
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

// touch marks blocks as used, the first block last, so that a block is never evicted before those that extend it.
func (c *prefixCache) touch(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[prefix[i]])
	}
}

// insert stores the blocks of a prompt and evicts the least recently used ones.
func (c *prefixCache) insert(prefix []uint64) {
	prefix = prefix[:min(len(prefix), c.limit)]
	var event connector.CacheEvent
	for _, b := range prefix {
		if c.blocks[b] == nil {
			c.blocks[b] = c.order.PushFront(b)
			event.Added = append(event.Added, b)
		}
	}
	c.touch(prefix)
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		b := c.order.Remove(oldest).(uint64)
		delete(c.blocks, b)
		event.Removed = append(event.Removed, b)
	}
	if len(event.Added) > 0 || len(event.Removed) > 0 {
		c.seq++
		event.Seq = c.seq
		c.events = append(c.events, event)
	}
}

// reset empties the cache. The skipped sequence number shows readers that they have missed the change.
func (c *prefixCache) reset() {
	c.seq++
	c.order.Init()
	clear(c.blocks)
	c.events = nil
}

func (c *prefixCache) takeEvents() []connector.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
