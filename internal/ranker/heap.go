// Package ranker implements a heap in which any value can be removed or reordered.
package ranker

// Heap is a binary min-heap whose nodes store their index. It is not safe for concurrent use.
type Heap[T any] struct {
	less  func(a, b T) bool
	nodes []*Node[T]
}

// Node holds one value of a Heap. Call Fix after a change of Value.
type Node[T any] struct {
	Value T
	index int
}

// New returns an empty heap ordered by less. The order of equal values depends only on the sequence of calls.
func New[T any](less func(a, b T) bool) *Heap[T] { return &Heap[T]{less: less} }

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.nodes) }

// Push adds a value and returns its node.
func (h *Heap[T]) Push(v T) *Node[T] {
	n := &Node[T]{Value: v, index: len(h.nodes)}
	h.nodes = append(h.nodes, n)
	h.up(n.index)
	return n
}

// Min returns the node of the least value, or nil when the heap is empty.
func (h *Heap[T]) Min() *Node[T] {
	if len(h.nodes) == 0 {
		return nil
	}
	return h.nodes[0]
}

// Fix restores the order after the value of n has changed. It does nothing when n has been removed.
func (h *Heap[T]) Fix(n *Node[T]) {
	if n.index < 0 {
		return
	}
	if !h.up(n.index) {
		h.down(n.index)
	}
}

// Remove removes n from the heap. It does nothing when n has already been removed.
func (h *Heap[T]) Remove(n *Node[T]) {
	i, last := n.index, len(h.nodes)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	h.nodes[last] = nil
	h.nodes = h.nodes[:last]
	n.index = -1
	if i < last && !h.up(i) {
		h.down(i)
	}
}

// Least appends the k least values, or all when there are fewer, to dst in order, without removing them. Its time depends on
// k only.
func (h *Heap[T]) Least(dst []T, k int) []T {
	if len(h.nodes) == 0 {
		return dst
	}
	candidates := []int{0}
	for ; k > 0 && len(candidates) > 0; k-- {
		best := 0
		for i := range candidates {
			if h.less(h.nodes[candidates[i]].Value, h.nodes[candidates[best]].Value) {
				best = i
			}
		}
		index := candidates[best]
		dst = append(dst, h.nodes[index].Value)
		candidates[best] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		for child := 2*index + 1; child <= 2*index+2 && child < len(h.nodes); child++ {
			candidates = append(candidates, child)
		}
	}
	return dst
}

func (h *Heap[T]) swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].index, h.nodes[j].index = i, j
}

func (h *Heap[T]) up(i int) bool {
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.nodes[i].Value, h.nodes[parent].Value) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i != start
}

func (h *Heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.nodes) {
			return
		}
		if right := child + 1; right < len(h.nodes) && h.less(h.nodes[right].Value, h.nodes[child].Value) {
			child = right
		}
		if !h.less(h.nodes[child].Value, h.nodes[i].Value) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
