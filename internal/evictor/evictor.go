// Package evictor implements a map of limited size that evicts the least recently used entry.
package evictor

import "container/list"

// Map is a map that evicts the least recently used entry when it exceeds its capacity. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	capacity int
	order    *list.List // of *entry[K, V], the most recently used first
	byKey    map[K]*list.Element
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// New returns an empty map for at most capacity entries.
func New[K comparable, V any](capacity int) *Map[K, V] {
	return &Map[K, V]{capacity: capacity, order: list.New(), byKey: make(map[K]*list.Element)}
}

// Get returns the value of a key, or nil if there is none, and marks the entry as used.
func (m *Map[K, V]) Get(key K) *V {
	e := m.byKey[key]
	if e == nil {
		return nil
	}
	m.order.MoveToFront(e)
	return &e.Value.(*entry[K, V]).value
}

// Put returns the value of a key, and adds a zero value first if there is none.
func (m *Map[K, V]) Put(key K) *V {
	if v := m.Get(key); v != nil {
		return v
	}
	e := &entry[K, V]{key: key}
	m.byKey[key] = m.order.PushFront(e)
	if m.order.Len() > m.capacity {
		oldest := m.order.Back()
		delete(m.byKey, m.order.Remove(oldest).(*entry[K, V]).key)
	}
	return &e.value
}

// Remove removes a key.
func (m *Map[K, V]) Remove(key K) {
	if e := m.byKey[key]; e != nil {
		m.order.Remove(e)
		delete(m.byKey, key)
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.byKey) }
