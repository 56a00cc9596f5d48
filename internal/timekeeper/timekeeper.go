// Package timekeeper runs functions at times on a clock that its caller advances.
package timekeeper

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

// Timer is a function that is due at a time. Timers of equal time run in the order of their creation.
type Timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// Handle identifies a timer that has been set.
type Handle = ranker.Node[Timer]

// Timers are the timers of one clock. They are not safe for concurrent use.
type Timers struct {
	heap *ranker.Heap[Timer]
	seq  uint64
}

// New returns no timers.
func New() *Timers { return &Timers{heap: ranker.New(less)} }

func less(a, b Timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// At sets a timer that runs a function at a time.
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

// Run runs the timers that are due at time now, including those that they set.
func (t *Timers) Run(now time.Duration) {
	for n := t.heap.Min(); n != nil && n.Value.at <= now; n = t.heap.Min() {
		t.heap.Remove(n)
		n.Value.run()
	}
}
