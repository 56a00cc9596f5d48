// Package indexer finds the requests of a pool by id and by idempotency key.
package indexer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// States of a request in the index.
const (
	StateWaiting  = "waiting"
	StateRunning  = "running"
	StateFinished = "finished"
)

const (
	// maxIndexed bounds the memory of the index, about 300 bytes each.
	maxIndexed = 1 << 16
	// maxMoved bounds the work of one eviction.
	maxMoved = 64
	// indexRetention is how long a finished or lost request can be located.
	indexRetention = 5 * time.Minute
	// lostWaitingRetention outlasts every grant that a lost host may still use.
	lostWaitingRetention = 2 * time.Second
)

// Claim ties an idempotency key to one request.
type Claim struct {
	Workspace, Key, Digest, RequestID string
}

// Location says where a request is.
type Location struct {
	RequestID, Host, Endpoint, State, Digest, Workspace string
	// HostLost is true when the session of the owning host has ended.
	HostLost bool
}

type claimKey struct{ workspace, key string }

type indexed struct {
	Location
	key     claimKey
	endedAt time.Duration
	ended   bool
}

// Index is rebuilt from the sessions of the entry hosts. It is pure and not safe for concurrent use.
type Index struct {
	byID  map[string]*indexed
	byKey map[claimKey]*indexed
	// order holds ids by arrival, so that the oldest ended ones are evicted first.
	order []string
}

// New returns an empty index.
func New() *Index {
	return &Index{byID: make(map[string]*indexed), byKey: make(map[claimKey]*indexed)}
}

// Claim ties a key to a request unless another request holds it, and returns the request that holds it.
func (x *Index) Claim(now time.Duration, host string, c Claim) Location {
	k := claimKey{c.Workspace, c.Key}
	if e := x.byKey[k]; e != nil && !e.expired(now) {
		return e.Location
	}
	e := x.put(now, host, c.RequestID, c.Workspace)
	e.key, e.Digest = k, c.Digest
	x.byKey[k] = e
	return e.Location
}

func (x *Index) put(now time.Duration, host, id, workspace string) *indexed {
	if e := x.byID[id]; e != nil {
		e.Host, e.HostLost = host, false
		if e.ended && e.State != StateFinished {
			e.ended = false
		}
		return e
	}
	x.evict(now)
	e := &indexed{Location: Location{RequestID: id, Host: host, Workspace: workspace, State: StateWaiting}}
	x.byID[id] = e
	x.order = append(x.order, id)
	return e
}

func (x *Index) add(now time.Duration, host string, d scheduler.Descriptor) *indexed {
	e := x.put(now, host, d.RequestID, d.Workspace)
	if d.IdempotencyKey != "" {
		e.key = claimKey{d.Workspace, d.IdempotencyKey}
		e.Digest = d.Fingerprint
		if x.byKey[e.key] == nil || x.byKey[e.key].expired(now) {
			x.byKey[e.key] = e
		}
	}
	return e
}

// Observe follows the events that the scheduler sees.
func (x *Index) Observe(now time.Duration, ev scheduler.Event) {
	switch ev := ev.(type) {
	case scheduler.Submit:
		x.add(now, ev.Host, ev.Descriptor)
	case scheduler.HostSynced:
		for _, d := range ev.Waiting {
			x.add(now, ev.Host, d)
		}
		for _, r := range ev.Running {
			e := x.add(now, ev.Host, r.Descriptor)
			e.State, e.Endpoint = StateRunning, r.Endpoint
		}
	case scheduler.HostLost:
		for _, e := range x.byID {
			if e.Host == ev.Host && !e.HostLost {
				e.HostLost = true
				e.end(now)
			}
		}
	case scheduler.Started:
		if e := x.byID[ev.RequestID]; e != nil {
			e.State, e.Endpoint = StateRunning, ev.Endpoint
		}
	case scheduler.Finished:
		if e := x.byID[ev.RequestID]; e != nil {
			e.State = StateFinished
			e.end(now)
		}
	case scheduler.Cancelled:
		x.Remove(ev.RequestID)
	case scheduler.Declined:
		if ev.Reason == scheduler.DeclineGone {
			x.Remove(ev.RequestID)
		}
	}
}

// Finished records a request with a key that ended before its host was synced.
func (x *Index) Finished(now time.Duration, host string, c Claim) {
	if l := x.Claim(now, host, c); l.RequestID == c.RequestID {
		e := x.byID[c.RequestID]
		e.State = StateFinished
		e.end(now)
	}
}

func (e *indexed) end(now time.Duration) {
	if !e.ended {
		e.ended, e.endedAt = true, now
	}
}

func (e *indexed) expired(now time.Duration) bool {
	if !e.ended {
		return false
	}
	if e.State == StateWaiting {
		return now-e.endedAt > lostWaitingRetention
	}
	return now-e.endedAt > indexRetention
}

// Remove forgets a request that cannot run.
func (x *Index) Remove(id string) {
	e := x.byID[id]
	if e == nil {
		return
	}
	delete(x.byID, id)
	if x.byKey[e.key] == e {
		delete(x.byKey, e.key)
	}
}

// evict drops expired entries at the old end, and the oldest ended ones when the index is full. An entry that is still in
// progress moves to the new end when it stands in the way of others.
func (x *Index) evict(now time.Duration) {
	for moved := 0; len(x.order) > 0 && moved < maxMoved; {
		id := x.order[0]
		e := x.byID[id]
		full := len(x.byID) >= maxIndexed
		crowded := full || len(x.order) > 2*len(x.byID)+maxMoved
		switch {
		case e == nil:
		case e.expired(now), full && e.ended:
			x.Remove(id)
		case crowded:
			x.order = append(x.order, id)
			moved++
		default:
			return
		}
		x.order = x.order[1:]
	}
}

// Locate returns where a request is.
func (x *Index) Locate(id string) (Location, bool) {
	e := x.byID[id]
	if e == nil {
		return Location{}, false
	}
	return e.Location, true
}
