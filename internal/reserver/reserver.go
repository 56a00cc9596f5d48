// Package reserver reserves memory for request bodies before they are read.
package reserver

import (
	"context"
	"expvar"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// maxSmall is the size of a small body. Small bodies have a reserve of their own, a smallShare of the memory, so that they do not wait
	// behind large ones.
	maxSmall   = 64 << 10
	smallShare = 1.0 / 16
)

var waits = expvar.NewInt("reserver_waits")

// Memory is the memory for request bodies. Half of it is shared by all tiers; the other half is split into one reserve for each
// tier, so that many bodies of one tier do not prevent the bodies of another tier from being read.
type Memory struct {
	shared, small *semaphore.Weighted
	mu            sync.Mutex
	reserves      map[string]*semaphore.Weighted
	reserveBytes  func(tiers int) int64
}

// New returns a memory of total bytes for bodies of at most maxBody bytes. The shared half and each reserve have at least maxBody
// bytes, so that the largest body fits; together with the reserve for small bodies they may then exceed total.
func New(total, maxBody int64) *Memory {
	half := max(total/2, maxBody)
	return &Memory{
		shared:       semaphore.NewWeighted(half),
		small:        semaphore.NewWeighted(max(maxSmall, int64(smallShare*float64(total)))),
		reserves:     make(map[string]*semaphore.Weighted),
		reserveBytes: func(tiers int) int64 { return max(half/int64(max(1, tiers)), maxBody) },
	}
}

// Acquire waits for n bytes and returns the function that releases them, which may be called several times for parts of them. It
// returns the error of ctx when ctx ends first.
func (m *Memory) Acquire(ctx context.Context, tier string, tiers int, n int64) (func(n int64), error) {
	if m.shared.TryAcquire(n) {
		return m.shared.Release, nil
	}
	if n <= maxSmall && m.small.TryAcquire(n) {
		return m.small.Release, nil
	}
	m.mu.Lock()
	r := m.reserves[tier]
	if r == nil {
		r = semaphore.NewWeighted(m.reserveBytes(tiers))
		m.reserves[tier] = r
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
