package connlimiter

import (
	"expvar"
	"runtime"
	"sync"
)

var collections = expvar.NewInt("connlimiter_collections")

// collector counts the memory that was released and not collected yet by the runtime. A burst of large bodies releases memory faster than the
// runtime starts to collect it by itself.
type collector struct {
	// running serializes the collections that are asked for.
	running sync.Mutex

	mu sync.Mutex
	// recent is the memory that was released since the last cycle, and earlier that since the one before, which may have begun too early
	// to collect it.
	recent, earlier int64
}

// cycle is an unreachable value whose finalizer runs after each cycle of the garbage collector.
type cycle struct{ c *collector }

// watch counts the cycles of the garbage collector.
func (c *collector) watch() { runtime.SetFinalizer(&cycle{c}, (*cycle).ended) }

func (k *cycle) ended() {
	k.c.mu.Lock()
	k.c.recent, k.c.earlier = 0, k.c.recent
	k.c.mu.Unlock()
	k.c.watch()
}

// add counts released memory.
func (c *collector) add(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent += n
}

// uncollected returns the memory that was released and may not be collected yet.
func (c *collector) uncollected() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent + c.earlier
}

// collect collects the memory that was released before.
func (c *collector) collect() {
	before := c.uncollected()
	c.running.Lock()
	defer c.running.Unlock()
	if c.uncollected() < before {
		// Another collection has ended meanwhile.
		return
	}
	collections.Add(1)
	c.mu.Lock()
	recent, earlier := c.recent, c.earlier
	c.mu.Unlock()
	runtime.GC()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlier = max(0, c.earlier-earlier-recent)
	c.recent = max(0, c.recent-recent)
}
