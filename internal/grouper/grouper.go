// Package grouper tracks which members of a group wait, which run, and which are held until a run of their group ends.
package grouper

import (
	"container/list"
	"iter"
	"maps"
	"slices"
)

// releasedPerRun is the number of held members that are released after the end of a run.
const releasedPerRun = 4

// Groups holds groups by key. It is not safe for concurrent use.
type Groups[M comparable] struct {
	byKey map[string]*Group[M]
}

// New returns an empty set of groups.
func New[M comparable]() *Groups[M] { return &Groups[M]{byKey: make(map[string]*Group[M])} }

// Get returns the group of a key, or nil when there is none. A nil group is empty.
func (g *Groups[M]) Get(key string) *Group[M] { return g.byKey[key] }

// Ensure returns the group of a key, and creates it if there is none.
func (g *Groups[M]) Ensure(key string) *Group[M] {
	group := g.byKey[key]
	if group == nil {
		group = &Group[M]{}
		g.byKey[key] = group
	}
	return group
}

// Prune deletes the group of a key if none of its members waits or runs.
func (g *Groups[M]) Prune(key string) {
	if group := g.byKey[key]; group != nil && len(group.running) == 0 && group.waiting.Len() == 0 {
		delete(g.byKey, key)
	}
}

// All yields all groups in no particular order.
func (g *Groups[M]) All() iter.Seq2[string, *Group[M]] { return maps.All(g.byKey) }

// Handle identifies a waiting member of a group for its removal.
type Handle = list.Element

// Group is a set of members with one key. A nil group is empty.
type Group[M comparable] struct {
	waiting list.List // of M
	held    []M       // in the order in which they were held
	running []M
}

// AddWaiting adds a waiting member and returns the argument for its removal.
func (g *Group[M]) AddWaiting(m M) *Handle { return g.waiting.PushBack(m) }

// RemoveWaiting removes a waiting member. It does nothing for a nil group, a nil argument or a member that was already removed.
func (g *Group[M]) RemoveWaiting(p *Handle) {
	if g != nil && p != nil {
		g.waiting.Remove(p)
	}
}

// Waiting returns the waiting members in the order in which they were added.
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

// AddRunning adds a running member.
func (g *Group[M]) AddRunning(m M) { g.running = append(g.running, m) }

// RemoveRunning removes a running member.
func (g *Group[M]) RemoveRunning(m M) { g.running = remove(g.running, m) }

// Running returns the running members in the order in which they were added. The caller must not change the result.
func (g *Group[M]) Running() []M {
	if g == nil {
		return nil
	}
	return g.running
}

// AddHeld adds a held member, which waits for the end of a run of its group.
func (g *Group[M]) AddHeld(m M) { g.held = append(g.held, m) }

// RemoveHeld removes a held member. It does nothing when the member is not held.
func (g *Group[M]) RemoveHeld(m M) {
	if g != nil {
		g.held = remove(g.held, m)
	}
}

// HeldCount returns the number of held members.
func (g *Group[M]) HeldCount() int { return len(g.held) }

// NextReleased returns the held members to release after the end of a run, without removing them. It returns releasedPerRun
// members while others run, so that the cost after each run does not grow with the number of held members, and all members once
// none runs.
func (g *Group[M]) NextReleased() []M {
	n := len(g.held)
	if len(g.running) > 0 {
		n = min(n, releasedPerRun)
	}
	return slices.Clone(g.held[:n])
}

func remove[M comparable](members []M, m M) []M {
	if i := slices.Index(members, m); i >= 0 {
		return slices.Delete(members, i, i+1)
	}
	return members
}
