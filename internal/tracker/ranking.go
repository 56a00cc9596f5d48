package tracker

import (
	"cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

// ranking orders endpoints by score, so that a decision examines only the few that are least loaded.
type ranking struct {
	heap  *ranker.Heap[rankedEndpoint]
	nodes map[string]*ranker.Node[rankedEndpoint]
}

type rankedEndpoint struct {
	name  string
	score float64
}

// newRanking returns an empty ranking.
func newRanking() *ranking {
	return &ranking{heap: ranker.New(lessRanked), nodes: make(map[string]*ranker.Node[rankedEndpoint])}
}

func lessRanked(a, b rankedEndpoint) bool {
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
	r.nodes[name] = r.heap.Push(rankedEndpoint{name, score})
}

// remove removes an endpoint if it is ranked.
func (r *ranking) remove(name string) {
	if n := r.nodes[name]; n != nil {
		r.heap.Remove(n)
		delete(r.nodes, name)
	}
}

// least appends the names of the k endpoints with the lowest scores to dst, the lowest first.
func (r *ranking) least(dst []string, k int) []string {
	for _, e := range r.heap.Least(nil, k) {
		dst = append(dst, e.name)
	}
	return dst
}
