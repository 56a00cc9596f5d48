// Package shedder chooses the waiting request to reject when a tier is being shed.
package shedder

import (
	"cmp"
	"container/list"

	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

// Owner is a caller of a workspace in a tier.
type Owner struct {
	Tier              int
	Workspace, Caller string
}

// Candidates holds the waiting requests by owner, with the tokens they need divided by the weight of the workspace. It is not
// safe for concurrent use.
type Candidates[T any] struct {
	tiers  map[int]*ranker.Heap[*ownerRequests]
	owners map[Owner]*ranker.Node[*ownerRequests]
}

// Handle identifies an added request for its removal.
type Handle struct {
	owner   Owner
	cost    float64
	element *list.Element
}

type ownerRequests struct {
	owner   Owner
	tokens  float64
	waiting *list.List
}

// NewCandidates returns an empty set of requests.
func NewCandidates[T any]() *Candidates[T] {
	return &Candidates[T]{tiers: make(map[int]*ranker.Heap[*ownerRequests]), owners: make(map[Owner]*ranker.Node[*ownerRequests])}
}

// Add adds a waiting request that needs the given tokens. The weight is that of the workspace.
func (c *Candidates[T]) Add(o Owner, tokens, weight float64, v T) *Handle {
	n := c.owners[o]
	if n == nil {
		h := c.tiers[o.Tier]
		if h == nil {
			h = ranker.New(moreTokensFirst)
			c.tiers[o.Tier] = h
		}
		n = h.Push(&ownerRequests{owner: o, waiting: list.New()})
		c.owners[o] = n
	}
	handle := &Handle{owner: o, cost: tokens / max(weight, 1e-9), element: n.Value.waiting.PushBack(v)}
	n.Value.tokens += handle.cost
	c.tiers[o.Tier].Fix(n)
	return handle
}

// Remove removes a request. It does nothing when the request has already been removed.
func (c *Candidates[T]) Remove(h *Handle) {
	n := c.owners[h.owner]
	if n == nil || h.element == nil {
		return
	}
	n.Value.waiting.Remove(h.element)
	h.element = nil
	n.Value.tokens -= h.cost
	if n.Value.waiting.Len() > 0 {
		c.tiers[h.owner.Tier].Fix(n)
		return
	}
	c.tiers[h.owner.Tier].Remove(n)
	delete(c.owners, h.owner)
}

// Victims returns the oldest and the newest request of the caller in a tier whose waiting requests need the most weighted
// tokens. It returns false when no request of the tier waits.
func (c *Candidates[T]) Victims(tier int) (oldest, newest T, ok bool) {
	h := c.tiers[tier]
	if h == nil || h.Len() == 0 {
		return oldest, newest, false
	}
	w := h.Min().Value.waiting
	return w.Front().Value.(T), w.Back().Value.(T), true
}

func moreTokensFirst(x, y *ownerRequests) bool {
	return cmp.Or(cmp.Compare(y.tokens, x.tokens), cmp.Compare(x.owner.Workspace, y.owner.Workspace),
		cmp.Compare(x.owner.Caller, y.owner.Caller)) < 0
}
