// Package cacheestimator estimates which parts of prompts an engine has in its prefix cache.
package cacheestimator

import "container/list"

// Part is a part of a prompt. An engine can reuse a cached part only if all parts before it are cached too.
type Part struct {
	// Key is a digest of the part and all parts before it.
	Key    uint64
	Tokens int
}

// PrefixCache is the expected prefix cache of one engine. It evicts the least recently used parts. The zero value is not usable;
// call New.
type PrefixCache struct {
	order       *list.List // of Part, the most recently used first
	parts       map[uint64]*list.Element
	totalTokens int
}

// New returns an empty cache.
func New() *PrefixCache { return &PrefixCache{order: list.New(), parts: map[uint64]*list.Element{}} }

// CachedPrefixTokens returns the number of tokens in the longest cached prefix of a prompt.
func (c *PrefixCache) CachedPrefixTokens(prompt []Part) int {
	tokens := 0
	for _, p := range prompt {
		if _, cached := c.parts[p.Key]; !cached {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Record records that the engine processes a prompt, and evicts parts until the cache fits a capacity in tokens.
func (c *PrefixCache) Record(prompt []Part, capacity int) {
	// The first part is marked as used last, so that it is evicted after the parts that depend on it.
	for i := len(prompt) - 1; i >= 0; i-- {
		p := prompt[i]
		if element, cached := c.parts[p.Key]; cached {
			c.order.MoveToFront(element)
			continue
		}
		c.parts[p.Key] = c.order.PushFront(p)
		c.totalTokens += p.Tokens
	}
	for c.totalTokens > capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		p, _ := c.order.Remove(oldest).(Part)
		delete(c.parts, p.Key)
		c.totalTokens -= p.Tokens
	}
}

// Tokens returns the number of tokens of all cached parts.
func (c *PrefixCache) Tokens() int { return c.totalTokens }
