package queuer

import (
	"cmp"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

// Flow identifies the tier, workspace and caller to which a waiting item belongs.
type Flow struct {
	Tier              int
	Workspace, Caller string
}

// Queue holds waiting items, ordered within each tier by workspace, caller and deadline. Queues that share Accounts are compared
// by the tags that Head returns.
type Queue[T any] struct {
	accounts *Accounts
	tiers    map[int]*tierNode[T]
	parked   map[string]bool
	length   int
}

// Entry is a waiting item.
type Entry[T any] struct {
	Value    T
	deadline time.Duration
	seq      uint64
	node     *ranker.Node[*Entry[T]]
	caller   *callerNode[T]
}

type tierNode[T any] struct {
	workspaces *ranker.Heap[*workspaceNode[T]]
	byName     map[string]*workspaceNode[T]
}

type workspaceNode[T any] struct {
	name    string
	tier    *tierNode[T]
	order   int
	account *account
	tag     float64 // the account's tag by which the heap is ordered
	node    *ranker.Node[*workspaceNode[T]]
	callers *ranker.Heap[*callerNode[T]]
	byName  map[string]*callerNode[T]
}

type callerNode[T any] struct {
	name      string
	workspace *workspaceNode[T]
	account   *account
	tag       float64
	node      *ranker.Node[*callerNode[T]]
	entries   *ranker.Heap[*Entry[T]]
}

// New returns an empty queue that orders workspaces and callers by the given accounts.
func New[T any](accounts *Accounts) *Queue[T] {
	return &Queue[T]{accounts: accounts, tiers: make(map[int]*tierNode[T]), parked: make(map[string]bool)}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item. Items of one caller are ordered by deadline, then by seq.
func (q *Queue[T]) Push(p Flow, deadline time.Duration, seq uint64, v T) *Entry[T] {
	c := q.caller(p)
	e := &Entry[T]{Value: v, deadline: deadline, seq: seq, caller: c}
	e.node = c.entries.Push(e)
	q.length++
	return e
}

// Remove removes an item from the queue; a second call has no effect.
func (q *Queue[T]) Remove(e *Entry[T]) {
	c := e.caller
	if c == nil {
		return
	}
	e.caller = nil
	q.length--
	c.entries.Remove(e.node)
	if c.entries.Len() > 0 {
		return
	}
	w := c.workspace
	w.callers.Remove(c.node)
	delete(w.byName, c.name)
	c.account.refs--
	if w.callers.Len() > 0 {
		return
	}
	if w.node != nil {
		w.tier.workspaces.Remove(w.node)
	}
	delete(w.tier.byName, w.name)
	w.account.refs--
}

// Head returns the next item of a tier and the virtual start time of its workspace, by which the heads of several queues are
// compared.
func (q *Queue[T]) Head(tier int) (e *Entry[T], tag float64, ok bool) {
	t := q.tiers[tier]
	if t == nil {
		return nil, 0, false
	}
	w := leastWorkspace(t)
	if w == nil {
		return nil, 0, false
	}
	c := leastCaller(w)
	return c.entries.Min().Value, w.tag, true
}

// SetParked sets whether Head skips the items of a workspace, in all tiers, for example while the workspace is at its limit of
// running requests.
func (q *Queue[T]) SetParked(workspace string, parked bool) {
	if parked {
		q.parked[workspace] = true
	} else {
		delete(q.parked, workspace)
	}
	for _, t := range q.tiers {
		w := t.byName[workspace]
		switch {
		case w == nil:
		case parked && w.node != nil:
			t.workspaces.Remove(w.node)
			w.node = nil
		case !parked && w.node == nil:
			w.tag = w.account.tag
			w.node = t.workspaces.Push(w)
		}
	}
}

// leastWorkspace returns the workspace with the lowest tag. Like leastCaller, it first updates outdated tags at the top of the
// heap; that is enough, because charges through other queues only raise tags.
func leastWorkspace[T any](t *tierNode[T]) *workspaceNode[T] {
	for {
		n := t.workspaces.Min()
		if n == nil {
			return nil
		}
		w := n.Value
		if w.tag == w.account.tag {
			return w
		}
		w.tag = w.account.tag
		t.workspaces.Fix(n)
	}
}

func leastCaller[T any](w *workspaceNode[T]) *callerNode[T] {
	for {
		n := w.callers.Min()
		c := n.Value
		if c.tag == c.account.tag {
			return c
		}
		c.tag = c.account.tag
		w.callers.Fix(n)
	}
}

func (q *Queue[T]) caller(p Flow) *callerNode[T] {
	w := q.workspace(p)
	if c := w.byName[p.Caller]; c != nil {
		return c
	}
	account := q.accounts.activate(accountKey{p.Tier, p.Workspace, ""}, accountKey{p.Tier, p.Workspace, p.Caller})
	c := &callerNode[T]{name: p.Caller, workspace: w, account: account, tag: account.tag, entries: ranker.New(entryLess[T])}
	c.node = w.callers.Push(c)
	w.byName[p.Caller] = c
	return c
}

func (q *Queue[T]) workspace(p Flow) *workspaceNode[T] {
	t := q.tiers[p.Tier]
	if t == nil {
		t = &tierNode[T]{
			workspaces: ranker.New(lessWorkspace[T]),
			byName:     make(map[string]*workspaceNode[T]),
		}
		q.tiers[p.Tier] = t
	}
	if w := t.byName[p.Workspace]; w != nil {
		return w
	}
	account := q.accounts.activate(accountKey{tier: p.Tier}, accountKey{p.Tier, p.Workspace, ""})
	w := &workspaceNode[T]{
		name: p.Workspace, tier: t, order: p.Tier, account: account, tag: account.tag,
		callers: ranker.New(lessCaller[T]), byName: make(map[string]*callerNode[T]),
	}
	t.byName[p.Workspace] = w
	if !q.parked[p.Workspace] {
		w.node = t.workspaces.Push(w)
	}
	return w
}

func entryLess[T any](a, b *Entry[T]) bool {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.seq, b.seq)) < 0
}

func lessWorkspace[T any](a, b *workspaceNode[T]) bool {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.name, b.name)) < 0
}

func lessCaller[T any](a, b *callerNode[T]) bool {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.name, b.name)) < 0
}
