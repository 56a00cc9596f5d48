// Package notifier notifies observers of leadership changes without blocking the goroutine that detects them.
package notifier

import (
	"context"
	"sync"
)

// Notifier calls observers of leadership changes in order, from the goroutine of Run. The zero value is ready to use.
type Notifier struct {
	mu        sync.Mutex
	observers []func(term uint64, leader bool)
	queue     []func()
	queued    chan struct{}
}

// AddObserver registers an observer of later changes.
func (n *Notifier) AddObserver(fn func(term uint64, leader bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observers = append(n.observers, fn)
}

// Notify queues a notification of a change for every observer. It does not block.
func (n *Notifier) Notify(term uint64, leader bool) {
	wake := n.queuedSignal()
	n.mu.Lock()
	for _, fn := range n.observers {
		n.queue = append(n.queue, func() { fn(term, leader) })
	}
	n.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run calls observers for queued changes until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	wake := n.queuedSignal()
	for {
		for _, call := range n.takeQueue() {
			call()
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Notifier) takeQueue() []func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queue
	n.queue = nil
	return queue
}

// queuedSignal returns the channel that signals queued calls, and creates it on the first call.
func (n *Notifier) queuedSignal() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queued == nil {
		n.queued = make(chan struct{}, 1)
	}
	return n.queued
}
