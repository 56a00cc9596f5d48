// Package timekeeper implements a queue of timers on a virtual clock that the caller advances.
package timekeeper

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

// Timer is a function to be run at a given time. Timers with the same time run in the order of their creation.
type Timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// Handle identifies a pending timer.
type Handle = ranker.Node[Timer]

// Timers is the queue of pending timers of one clock. It is not safe for concurrent use.
type Timers struct {
	heap *ranker.Heap[Timer]
	seq  uint64
}

// New returns an empty queue.
func New() *Timers { return &Timers{heap: ranker.New(less)} }

func less(a, b Timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// At adds a timer that runs a function at the given time.
func (t *Timers) At(at time.Duration, run func()) *Handle {
	t.seq++
	return t.heap.Push(Timer{at, t.seq, run})
}

// Stop removes a timer; nil is ignored.
func (t *Timers) Stop(h *Handle) {
	if h != nil {
		t.heap.Remove(h)
	}
}

// Run runs the timers that are due at time now, including due timers that are added meanwhile.
func (t *Timers) Run(now time.Duration) {
	for n := t.heap.Min(); n != nil && n.Value.at <= now; n = t.heap.Min() {
		t.heap.Remove(n)
		n.Value.run()
	}
}
