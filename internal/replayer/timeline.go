package replayer

import (
	"container/heap"
	"time"
)

// timeline is a queue of scheduled functions, ordered by time and, at equal times, by insertion.
type timeline struct {
	items itemHeap
	seq   uint64
}

type item struct {
	at  time.Duration
	seq uint64
	fn  func()
}

func (t *timeline) add(at time.Duration, fn func()) {
	t.seq++
	heap.Push(&t.items, item{at: at, seq: t.seq, fn: fn})
}

// next removes the first item, sets now to its time and runs it. It returns false when the timeline is empty.
func (t *timeline) next(now *time.Duration) bool {
	if len(t.items) == 0 {
		return false
	}
	first := heap.Pop(&t.items).(item)
	*now = first.at
	first.fn()
	return true
}

type itemHeap []item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap) Push(x any) { *h = append(*h, x.(item)) }

func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = item{}
	*h = old[:len(old)-1]
	return last
}
