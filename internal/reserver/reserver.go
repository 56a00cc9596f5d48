// Package reserver reserves memory for request bodies before they are read.
package reserver

import (
	"context"
	"expvar"
	"sync"

	"golang.org/x/sync/semaphore"
)

var waits = expvar.NewInt("reserver_waits")

// Memory is the memory set aside for bodies. Half of it is open to all tiers, the other half is split into a reserve for each
// tier, so that the waiting bodies of a flood of one tier do not keep the bodies of another tier from being read.
type Memory struct {
	shared  *semaphore.Weighted
	mu      sync.Mutex
	reserve map[string]*semaphore.Weighted
	each    func(tiers int) int64
}

// New returns the memory of a listener whose largest body has maxBody bytes.
func New(total, maxBody int64) *Memory {
	half := max(total/2, maxBody)
	return &Memory{
		shared:  semaphore.NewWeighted(half),
		reserve: make(map[string]*semaphore.Weighted),
		each:    func(tiers int) int64 { return max(half/int64(max(1, tiers)), maxBody) },
	}
}

// Acquire waits for n bytes and returns how to give some of them back.
func (m *Memory) Acquire(ctx context.Context, tier string, tiers int, n int64) (func(n int64), error) {
	if m.shared.TryAcquire(n) {
		return m.shared.Release, nil
	}
	m.mu.Lock()
	r := m.reserve[tier]
	if r == nil {
		r = semaphore.NewWeighted(m.each(tiers))
		m.reserve[tier] = r
	}
	m.mu.Unlock()
	if !r.TryAcquire(n) {
		waits.Add(1)
		if err := r.Acquire(ctx, n); err != nil {
			return nil, err
		}
	}
	return r.Release, nil
}
