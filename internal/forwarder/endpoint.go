package forwarder

import (
	"sync"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// endpointList joins the platform's list with the pool settings of the table in force. It applies changes of either one after
// another, so that a change that takes longer doesn't replace a later one. Set Apply before use.
type endpointList struct {
	// Apply is called with each joined list and the table, which is nil before the first one.
	Apply func(endpoints []balancer.Endpoint, index *router.Index)

	mu      sync.Mutex
	entries []cataloguer.Entry
	index   *router.Index
}

// setEntries replaces the platform's list.
func (l *endpointList) setEntries(entries []cataloguer.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries = entries; entries == nil {
		l.entries = []cataloguer.Entry{}
	}
	l.apply()
}

// setIndex replaces the table.
func (l *endpointList) setIndex(index *router.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	l.apply()
}

// apply passes on the joined list once the platform has sent one. The caller holds the lock.
func (l *endpointList) apply() {
	if l.entries != nil {
		l.Apply(joinEndpoints(l.entries, l.index), l.index)
	}
}

// joinEndpoints combines the platform's list with the pool settings of a table, which may be nil.
func joinEndpoints(list []cataloguer.Entry, index *router.Index) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(list))
	for _, e := range list {
		endpoint := balancer.Endpoint{
			ID: e.ID, Addr: e.Addr, Zone: e.Zone, Pool: e.Pool, Slots: e.Slots, Leaving: e.Leaving, Version: e.Version,
		}
		if index != nil {
			if p := index.Pool(e.Pool); p != nil && p.Engine != nil {
				endpoint.Engine, endpoint.MemoryTokens = true, p.Engine.MemoryTokens
			}
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
