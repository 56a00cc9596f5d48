// Package shedder chooses which waiting request is given up when a tier may be shed.
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

// Book keeps the waiting requests by owner, with the tokens that they ask for relative to the owner's weight.
type Book[T any] struct {
	tiers  map[int]*ranker.Heap[*owned]
	owners map[Owner]*ranker.Node[*owned]
}

// Handle is the place of a request in a Book.
type Handle struct {
	owner   Owner
	cost    float64
	element *list.Element
}

type owned struct {
	owner   Owner
	tokens  float64
	waiting *list.List
}

// NewBook returns an empty book.
func NewBook[T any]() *Book[T] {
	return &Book[T]{tiers: make(map[int]*ranker.Heap[*owned]), owners: make(map[Owner]*ranker.Node[*owned])}
}

// Add books a waiting request of the given tokens. Weight is that of the workspace.
func (b *Book[T]) Add(o Owner, tokens, weight float64, v T) *Handle {
	n := b.owners[o]
	if n == nil {
		h := b.tiers[o.Tier]
		if h == nil {
			h = ranker.New(largerFirst)
			b.tiers[o.Tier] = h
		}
		n = h.Push(&owned{owner: o, waiting: list.New()})
		b.owners[o] = n
	}
	handle := &Handle{owner: o, cost: tokens / max(weight, 1e-9), element: n.Value.waiting.PushBack(v)}
	n.Value.tokens += handle.cost
	b.tiers[o.Tier].Fix(n)
	return handle
}

// Remove takes a request out of the book.
func (b *Book[T]) Remove(h *Handle) {
	n := b.owners[h.owner]
	if n == nil || h.element == nil {
		return
	}
	n.Value.waiting.Remove(h.element)
	h.element = nil
	n.Value.tokens -= h.cost
	if n.Value.waiting.Len() > 0 {
		b.tiers[h.owner.Tier].Fix(n)
		return
	}
	b.tiers[h.owner.Tier].Remove(n)
	delete(b.owners, h.owner)
}

// Victims returns the oldest and the newest request of the caller that asks for the most tokens in a tier.
func (b *Book[T]) Victims(tier int) (oldest, newest T, ok bool) {
	h := b.tiers[tier]
	if h == nil || h.Len() == 0 {
		return oldest, newest, false
	}
	w := h.Min().Value.waiting
	return w.Front().Value.(T), w.Back().Value.(T), true
}

func largerFirst(x, y *owned) bool {
	return cmp.Or(cmp.Compare(y.tokens, x.tokens), cmp.Compare(x.owner.Workspace, y.owner.Workspace),
		cmp.Compare(x.owner.Caller, y.owner.Caller)) < 0
}
