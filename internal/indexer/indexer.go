// Package indexer indexes the requests of a pool by ID and by idempotency key.
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
	// maxEntries bounds the memory of the index. An entry takes about 300 bytes.
	maxEntries = 1 << 16
	// maxMovesPerEviction bounds the time of one eviction.
	maxMovesPerEviction = 64
	// endedRetention is how long a finished request, or one that was running when its host was lost, keeps its entry and key
	// while the index is not full.
	endedRetention = 5 * time.Minute
	// lostWaitingRetention is how long a request that was waiting when its host was lost keeps its key. It is longer than any
	// grant that the lost host may still use.
	lostWaitingRetention = 2 * time.Second
)

// Claim binds an idempotency key to one request.
type Claim struct {
	Workspace, Key, Digest, RequestID string
}

// Location is the host, endpoint and state of a request. Endpoint is empty until the request runs.
type Location struct {
	RequestID, Host, Endpoint, State, Digest, Workspace string
	// HostLost is true when the session of the owning host has ended.
	HostLost bool
}

type claimKey struct{ workspace, key string }

type entry struct {
	Location
	key     claimKey
	endedAt time.Duration
	ended   bool
}

// Index holds the requests of a pool. It is built from the sessions of the entry hosts, takes the time as an argument, and is
// not safe for concurrent use.
type Index struct {
	byID  map[string]*entry
	byKey map[claimKey]*entry
	// arrivals holds the IDs in order of arrival, so that the oldest ended requests are evicted first.
	arrivals []string
}

// New returns an empty index.
func New() *Index {
	return &Index{byID: make(map[string]*entry), byKey: make(map[claimKey]*entry)}
}

// Claim binds a key to a request unless another request holds the key, and returns the location of the holder.
func (x *Index) Claim(now time.Duration, host string, c Claim) Location {
	k := claimKey{c.Workspace, c.Key}
	if e := x.byKey[k]; e != nil && !e.expired(now) {
		return e.Location
	}
	e := x.getOrCreate(now, host, c.RequestID, c.Workspace)
	e.key, e.Digest = k, c.Digest
	x.byKey[k] = e
	return e.Location
}

func (x *Index) getOrCreate(now time.Duration, host, id, workspace string) *entry {
	if e := x.byID[id]; e != nil {
		e.Host, e.HostLost = host, false
		if e.ended && e.State != StateFinished {
			e.ended = false
		}
		return e
	}
	x.evict(now)
	e := &entry{Location: Location{RequestID: id, Host: host, Workspace: workspace, State: StateWaiting}}
	x.byID[id] = e
	x.arrivals = append(x.arrivals, id)
	return e
}

func (x *Index) add(now time.Duration, host string, d scheduler.Descriptor) *entry {
	e := x.getOrCreate(now, host, d.RequestID, d.Workspace)
	if d.IdempotencyKey != "" {
		e.key = claimKey{d.Workspace, d.IdempotencyKey}
		e.Digest = d.Fingerprint
		if x.byKey[e.key] == nil || x.byKey[e.key].expired(now) {
			x.byKey[e.key] = e
		}
	}
	return e
}

// Observe applies an event that the scheduler receives.
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
				e.markEnded(now)
			}
		}
	case scheduler.Started:
		if e := x.byID[ev.RequestID]; e != nil {
			e.State, e.Endpoint = StateRunning, ev.Endpoint
		}
	case scheduler.Finished:
		if e := x.byID[ev.RequestID]; e != nil {
			e.State = StateFinished
			e.markEnded(now)
		}
	case scheduler.Cancelled:
		x.Remove(ev.RequestID)
	case scheduler.Declined:
		if ev.Reason == scheduler.DeclineGone {
			x.Remove(ev.RequestID)
		}
	}
}

// AddFinished adds a request with a key that finished before its host was synced.
func (x *Index) AddFinished(now time.Duration, host string, c Claim) {
	if l := x.Claim(now, host, c); l.RequestID == c.RequestID {
		e := x.byID[c.RequestID]
		e.State = StateFinished
		e.markEnded(now)
	}
}

func (e *entry) markEnded(now time.Duration) {
	if !e.ended {
		e.ended, e.endedAt = true, now
	}
}

func (e *entry) expired(now time.Duration) bool {
	if !e.ended {
		return false
	}
	if e.State == StateWaiting {
		return now-e.endedAt > lostWaitingRetention
	}
	return now-e.endedAt > endedRetention
}

// Remove deletes a request that cannot run, and frees its key.
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

// evict deletes expired entries at the front of the arrivals, and the oldest ended ones when the index is full. An entry in
// progress at the front moves to the back when it prevents the eviction of others.
func (x *Index) evict(now time.Duration) {
	for moved := 0; len(x.arrivals) > 0 && moved < maxMovesPerEviction; {
		id := x.arrivals[0]
		e := x.byID[id]
		full := len(x.byID) >= maxEntries
		mustShrink := full || len(x.arrivals) > 2*len(x.byID)+maxMovesPerEviction
		switch {
		case e == nil:
		case e.expired(now), full && e.ended:
			x.Remove(id)
		case mustShrink:
			x.arrivals = append(x.arrivals, id)
			moved++
		default:
			return
		}
		x.arrivals = x.arrivals[1:]
	}
}

// Locate returns the location of a request, and false when the index has no entry for it.
func (x *Index) Locate(id string) (Location, bool) {
	e := x.byID[id]
	if e == nil {
		return Location{}, false
	}
	return e.Location, true
}
