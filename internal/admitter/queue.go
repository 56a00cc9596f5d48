package admitter

import (
	"cmp"
	"slices"
)

// queue holds the waiting requests of a pool, each list in order of urgency. Those that are bound to a software version are apart:
// places may be free that none of them may take, or that only they may take.
type queue struct{ unbound, bound []*waiter }

// compareWaiters orders waiting requests by urgency.
func compareWaiters(x, y *waiter) int {
	if x.req.Tier != y.req.Tier {
		return x.req.Tier - y.req.Tier
	}
	if x.req.Work.Bound != y.req.Work.Bound {
		// The caller of bound work already holds the first part of its answer.
		if x.req.Work.Bound {
			return -1
		}
		return 1
	}
	if x.returned != y.returned {
		// A request that comes back after a refusal is late already; a new one may still be in time.
		if y.returned {
			return -1
		}
		return 1
	}
	if x.underserved != y.underserved {
		if x.underserved {
			return -1
		}
		return 1
	}
	if c := x.req.Work.SizeClass() - y.req.Work.SizeClass(); c != 0 {
		return c
	}
	// A retry after a refusal has less time left than a new request and is granted first.
	if c := x.req.Work.Deadline.Compare(y.req.Work.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(x.seq, y.seq)
}

// len returns the number of waiting requests. The queue may be nil.
func (q *queue) len() int {
	if q == nil {
		return 0
	}
	return len(q.unbound) + len(q.bound)
}

// list returns the list for a request.
func (q *queue) list(w *waiter) *[]*waiter {
	if w.req.Work.Bound {
		return &q.bound
	}
	return &q.unbound
}

// insert adds a request and returns its position among all waiting requests, counted from 1.
func (q *queue) insert(w *waiter) int {
	position := q.position(w)
	list := q.list(w)
	at, _ := slices.BinarySearchFunc(*list, w, compareWaiters)
	*list = slices.Insert(*list, at, w)
	return position
}

// position returns the position that a request would have among all waiting requests, counted from 1.
func (q *queue) position(w *waiter) int {
	before, _ := slices.BinarySearchFunc(q.unbound, w, compareWaiters)
	boundBefore, _ := slices.BinarySearchFunc(q.bound, w, compareWaiters)
	return before + boundBefore + 1
}
