// Package placer chooses the endpoint at which a request is predicted to finish first.
package placer

import (
	"container/list"
	"slices"
)

const (
	// maxBlocksPerEndpoint is the largest number of blocks indexed per endpoint.
	maxBlocksPerEndpoint = 4096
	// maxHolders is the largest number of endpoints listed per block. A block that more endpoints cache is likely to be
	// cached at the least loaded ones too.
	maxHolders = 16
)

// PrefixIndex is an index of the prompt blocks in the prefix caches of endpoints. It is not safe for concurrent use.
type PrefixIndex struct {
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
	// confirmed is false for a block that is known only from a dispatch, or from cache events before a gap in their
	// sequence.
	confirmed bool
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{caches: make(map[string]*cache), holders: make(map[uint64][]string)}
}

// ApplyEvent applies a cache event. Events with a sequence number not above the last one are ignored, except for 1, which starts
// a new sequence. After a gap in the sequence, the blocks held so far become unconfirmed.
func (p *PrefixIndex) ApplyEvent(endpoint string, seq uint64, added, removed []uint64) {
	c := p.cache(endpoint)
	switch {
	case c.synced && seq <= c.seq && seq != 1:
		return
	case c.synced && seq == c.seq+1, !c.synced && seq == 1:
	default:
		c.markUnconfirmed()
	}
	c.seq, c.synced = seq, true
	for _, b := range removed {
		p.remove(endpoint, c, b)
	}
	for _, b := range added {
		p.add(endpoint, c, b, true)
	}
}

// RecordDispatch records that a prompt runs at the endpoint and will be in its cache.
func (p *PrefixIndex) RecordDispatch(endpoint string, blocks []uint64) {
	c := p.cache(endpoint)
	// The first block is added last, so that it is never evicted before the blocks that extend it.
	for _, b := range slices.Backward(blocks[:min(len(blocks), maxBlocksPerEndpoint)]) {
		p.add(endpoint, c, b, false)
	}
}

// RemoveEndpoint removes all blocks of an endpoint, for example after a crash.
func (p *PrefixIndex) RemoveEndpoint(endpoint string) {
	c := p.caches[endpoint]
	if c == nil {
		return
	}
	for e := c.order.Front(); e != nil; e = e.Next() {
		p.removeHolder(endpoint, e.Value.(*block).hash)
	}
	delete(p.caches, endpoint)
}

// Match returns the number of leading blocks that the endpoint is expected to cache. It is reduced by a quarter if the last of
// them is unconfirmed although the endpoint sends events.
func (p *PrefixIndex) Match(endpoint string, blocks []uint64) int {
	c := p.caches[endpoint]
	if c == nil {
		return 0
	}
	// An endpoint that caches a block also caches the ones before it, since caches evict from the end.
	n, _ := slices.BinarySearchFunc(blocks, true, func(b uint64, _ bool) int {
		if c.blocks[b] != nil {
			return -1
		}
		return 1
	})
	if n == 0 {
		return 0
	}
	if !c.blocks[blocks[n-1]].Value.(*block).confirmed && c.synced {
		// An event would have confirmed an older block, and a prompt that was just dispatched may not be cached yet.
		return n * 3 / 4
	}
	return n
}

// Holders appends to dst up to k endpoints that cache the longest prefixes of blocks.
func (p *PrefixIndex) Holders(dst []string, blocks []uint64, k int) []string {
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

func (p *PrefixIndex) cache(endpoint string) *cache {
	c := p.caches[endpoint]
	if c == nil {
		c = &cache{order: list.New(), blocks: make(map[uint64]*list.Element)}
		p.caches[endpoint] = c
	}
	return c
}

func (p *PrefixIndex) add(endpoint string, c *cache, hash uint64, confirmed bool) {
	if e := c.blocks[hash]; e != nil {
		b := e.Value.(*block)
		b.confirmed = b.confirmed || confirmed
		c.order.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.order.PushFront(&block{hash: hash, confirmed: confirmed})
	if holders := p.holders[hash]; len(holders) < maxHolders {
		p.holders[hash] = append(holders, endpoint)
	}
	for c.order.Len() > maxBlocksPerEndpoint {
		p.remove(endpoint, c, c.order.Back().Value.(*block).hash)
	}
}

func (p *PrefixIndex) remove(endpoint string, c *cache, hash uint64) {
	e := c.blocks[hash]
	if e == nil {
		return
	}
	c.order.Remove(e)
	delete(c.blocks, hash)
	p.removeHolder(endpoint, hash)
}

func (p *PrefixIndex) removeHolder(endpoint string, hash uint64) {
	holders := p.holders[hash]
	i := slices.Index(holders, endpoint)
	if i < 0 {
		return
	}
	if holders = slices.Delete(holders, i, i+1); len(holders) == 0 {
		delete(p.holders, hash)
		return
	}
	p.holders[hash] = holders
}

func (c *cache) markUnconfirmed() {
	for e := c.order.Front(); e != nil; e = e.Next() {
		e.Value.(*block).confirmed = false
	}
}
