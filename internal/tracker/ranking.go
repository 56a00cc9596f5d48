package tracker

import (
	"cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

// ranking orders endpoints by load, so that a decision looks at a few of them only.
type ranking struct {
	heap  *ranker.Heap[ranked]
	nodes map[string]*ranker.Node[ranked]
}

type ranked struct {
	name  string
	score float64
}

// newRanking returns an empty ranking.
func newRanking() *ranking {
	return &ranking{heap: ranker.New(lessRanked), nodes: make(map[string]*ranker.Node[ranked])}
}

func lessRanked(a, b ranked) bool {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name)) < 0
}

// set adds an endpoint or changes its score.
func (r *ranking) set(name string, score float64) {
	if n := r.nodes[name]; n != nil {
		if n.Value.score != score {
			n.Value.score = score
			r.heap.Fix(n)
		}
		return
	}
	r.nodes[name] = r.heap.Push(ranked{name, score})
}

// remove takes an endpoint out.
func (r *ranking) remove(name string) {
	if n := r.nodes[name]; n != nil {
		r.heap.Remove(n)
		delete(r.nodes, name)
	}
}

// least appends the k endpoints of the lowest scores to dst, the lowest first.
func (r *ranking) least(dst []string, k int) []string {
	for _, e := range r.heap.Least(nil, k) {
		dst = append(dst, e.name)
	}
	return dst
}
