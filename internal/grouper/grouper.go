// Package grouper follows which members of groups wait, run, or are held until a run of their group ends.
package grouper

import (
	"container/list"
	"iter"
	"maps"
	"slices"
)

// freedPerRun is the number of held members that may take the place of an ended run.
const freedPerRun = 4

// Groups are groups by key. They are not safe for concurrent use.
type Groups[M comparable] struct {
	byKey map[string]*Group[M]
}

// New returns no groups.
func New[M comparable]() *Groups[M] { return &Groups[M]{byKey: make(map[string]*Group[M])} }

// Get returns the group of a key; nil stands for an empty group.
func (g *Groups[M]) Get(key string) *Group[M] { return g.byKey[key] }

// Ensure returns the group of a key and creates it if need be.
func (g *Groups[M]) Ensure(key string) *Group[M] {
	p := g.byKey[key]
	if p == nil {
		p = &Group[M]{}
		g.byKey[key] = p
	}
	return p
}

// Prune forgets the group of a key if none of its members waits or runs.
func (g *Groups[M]) Prune(key string) {
	if p := g.byKey[key]; p != nil && len(p.running) == 0 && p.waiting.Len() == 0 {
		delete(g.byKey, key)
	}
}

// All yields all groups in no particular order.
func (g *Groups[M]) All() iter.Seq2[string, *Group[M]] { return maps.All(g.byKey) }

// Place is the place of a waiting member in its group.
type Place = list.Element

// Group is a set of members that are treated alike. A nil group is empty.
type Group[M comparable] struct {
	waiting list.List // of M
	held    []M       // the first held first
	running []M
}

// Wait adds a waiting member.
func (g *Group[M]) Wait(m M) *Place { return g.waiting.PushBack(m) }

// Leave removes a waiting member; a nil place is ignored.
func (g *Group[M]) Leave(p *Place) {
	if g != nil && p != nil {
		g.waiting.Remove(p)
	}
}

// Waiting returns the waiting members in the order in which they began to wait.
func (g *Group[M]) Waiting() []M {
	if g == nil {
		return nil
	}
	members := make([]M, 0, g.waiting.Len())
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		members = append(members, e.Value.(M))
	}
	return members
}

// Start adds a running member.
func (g *Group[M]) Start(m M) { g.running = append(g.running, m) }

// End removes a running member.
func (g *Group[M]) End(m M) { g.running = remove(g.running, m) }

// Running returns the running members in the order of their start. The caller must not change the result.
func (g *Group[M]) Running() []M {
	if g == nil {
		return nil
	}
	return g.running
}

// Hold remembers that a waiting member waits for the end of a run.
func (g *Group[M]) Hold(m M) { g.held = append(g.held, m) }

// Free forgets that a member is held; it need not be.
func (g *Group[M]) Free(m M) {
	if g != nil {
		g.held = remove(g.held, m)
	}
}

// Held returns the number of members that are held.
func (g *Group[M]) Held() int { return len(g.held) }

// Next returns the held members to be freed after the end of a run: a few after each run, so that a flood of equal members
// is not sorted anew each time, and all of them once nothing runs.
func (g *Group[M]) Next() []M {
	n := len(g.held)
	if len(g.running) > 0 {
		n = min(n, freedPerRun)
	}
	return slices.Clone(g.held[:n])
}

func remove[M comparable](members []M, m M) []M {
	if i := slices.Index(members, m); i >= 0 {
		return slices.Delete(members, i, i+1)
	}
	return members
}
