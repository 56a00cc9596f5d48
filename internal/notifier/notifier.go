// Package notifier tells observers of changes of leadership without holding up the goroutine that finds them.
package notifier

import (
	"context"
	"sync"
)

// Notifier calls observers in order from one goroutine. The zero value is ready to use.
type Notifier struct {
	mu    sync.Mutex
	fns   []func(term uint64, leader bool)
	queue []func()
	wake  chan struct{}
}

// Add registers an observer of later changes.
func (n *Notifier) Add(fn func(term uint64, leader bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fns = append(n.fns, fn)
}

// Tell queues a change for every observer and returns at once.
func (n *Notifier) Tell(term uint64, leader bool) {
	wake := n.signal()
	n.mu.Lock()
	for _, fn := range n.fns {
		n.queue = append(n.queue, func() { fn(term, leader) })
	}
	n.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run calls observers until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	wake := n.signal()
	for {
		for _, call := range n.take() {
			call()
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Notifier) take() []func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queue
	n.queue = nil
	return queue
}

func (n *Notifier) signal() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wake == nil {
		n.wake = make(chan struct{}, 1)
	}
	return n.wake
}
