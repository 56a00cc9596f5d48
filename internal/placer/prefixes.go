// Package placer chooses the endpoint at which a request is predicted to finish first.
package placer

import (
	"container/list"
	"slices"
)

const (
	// maxBlocksPerEndpoint bounds the index of one endpoint.
	maxBlocksPerEndpoint = 4096
	// maxHolders bounds the endpoints listed under one block. A block that more endpoints hold is found at the least
	// loaded ones anyway.
	maxHolders = 16
)

// Prefixes index the prompt blocks that endpoints hold in their prefix caches.
type Prefixes struct {
	caches  map[string]*cache
	holders map[uint64][]string
}

type cache struct {
	seq    uint64
	synced bool
	order  *list.List // of *block, the most recently used first
	blocks map[uint64]*list.Element
}

type block struct {
	hash uint64
	// sure is false for a block that a gap in the events or the scheduler's own account alone supports.
	sure bool
}

// NewPrefixes returns an empty index.
func NewPrefixes() *Prefixes {
	return &Prefixes{caches: make(map[string]*cache), holders: make(map[uint64][]string)}
}

// Change applies one cache event. Events that are not newer than the last one are ignored; after a gap the blocks held
// so far become unsure.
func (p *Prefixes) Change(endpoint string, seq uint64, added, removed []uint64) {
	c := p.cache(endpoint)
	switch {
	case c.synced && seq <= c.seq && seq != 1:
		return
	case c.synced && seq == c.seq+1, !c.synced && seq == 1:
	default:
		c.unsure()
	}
	c.seq, c.synced = seq, true
	for _, b := range removed {
		p.drop(endpoint, c, b)
	}
	for _, b := range added {
		p.put(endpoint, c, b, true)
	}
}

// Dispatched records that a prompt runs at the endpoint, which fills its cache.
func (p *Prefixes) Dispatched(endpoint string, blocks []uint64) {
	c := p.cache(endpoint)
	// The first block is touched last, so that it is never evicted before those that extend it.
	for _, b := range slices.Backward(blocks[:min(len(blocks), maxBlocksPerEndpoint)]) {
		p.put(endpoint, c, b, false)
	}
}

// Forget removes all blocks of an endpoint, for example after a crash.
func (p *Prefixes) Forget(endpoint string) {
	c := p.caches[endpoint]
	if c == nil {
		return
	}
	for e := c.order.Front(); e != nil; e = e.Next() {
		p.unlist(endpoint, e.Value.(*block).hash)
	}
	delete(p.caches, endpoint)
}

// Match returns how many leading blocks the endpoint is expected to hold. Unsure blocks count in part.
func (p *Prefixes) Match(endpoint string, blocks []uint64) int {
	c := p.caches[endpoint]
	if c == nil {
		return 0
	}
	// An endpoint that holds a block holds the ones before it, since caches evict from the end.
	n, _ := slices.BinarySearchFunc(blocks, true, func(b uint64, _ bool) int {
		if c.blocks[b] != nil {
			return -1
		}
		return 1
	})
	if n == 0 {
		return 0
	}
	if !c.blocks[blocks[n-1]].Value.(*block).sure && c.synced {
		// Events would have confirmed the block if it were old; a dispatch in progress has not filled it yet.
		return n * 3 / 4
	}
	return n
}

// Holders appends up to k endpoints that hold the longest prefixes of blocks to dst.
func (p *Prefixes) Holders(dst []string, blocks []uint64, k int) []string {
	for i := len(blocks) - 1; i >= 0 && k > 0; i-- {
		for _, e := range p.holders[blocks[i]] {
			if k > 0 && !slices.Contains(dst, e) {
				dst = append(dst, e)
				k--
			}
		}
	}
	return dst
}

func (p *Prefixes) cache(endpoint string) *cache {
	c := p.caches[endpoint]
	if c == nil {
		c = &cache{order: list.New(), blocks: make(map[uint64]*list.Element)}
		p.caches[endpoint] = c
	}
	return c
}

func (p *Prefixes) put(endpoint string, c *cache, hash uint64, sure bool) {
	if e := c.blocks[hash]; e != nil {
		b := e.Value.(*block)
		b.sure = b.sure || sure
		c.order.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.order.PushFront(&block{hash: hash, sure: sure})
	if h := p.holders[hash]; len(h) < maxHolders {
		p.holders[hash] = append(h, endpoint)
	}
	for c.order.Len() > maxBlocksPerEndpoint {
		p.drop(endpoint, c, c.order.Back().Value.(*block).hash)
	}
}

func (p *Prefixes) drop(endpoint string, c *cache, hash uint64) {
	e := c.blocks[hash]
	if e == nil {
		return
	}
	c.order.Remove(e)
	delete(c.blocks, hash)
	p.unlist(endpoint, hash)
}

func (p *Prefixes) unlist(endpoint string, hash uint64) {
	h := p.holders[hash]
	i := slices.Index(h, endpoint)
	if i < 0 {
		return
	}
	if h = slices.Delete(h, i, i+1); len(h) == 0 {
		delete(p.holders, hash)
		return
	}
	p.holders[hash] = h
}

func (c *cache) unsure() {
	for e := c.order.Front(); e != nil; e = e.Next() {
		e.Value.(*block).sure = false
	}
}
