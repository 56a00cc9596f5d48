// Package quarantiner follows requests that may have crashed an endpoint, by the fingerprint of workspace and body.
package quarantiner

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is the number of endpoints that one fingerprint may cost before it is refused.
	maxCrashes = 2
	// holdGrowth is the factor by which each further crash makes the hold longer, up to longestHold or the first hold.
	holdGrowth  = 4
	longestHold = time.Hour
	// maxRecords bounds the remembered fingerprints of each kind.
	maxRecords = 32_768
	// restart is the least time between the crash of an endpoint and a run of its next process. What hosts tell each other may
	// also be late by as much.
	restart = time.Second
)

// Verdict says how a fingerprint may run.
type Verdict int

// The verdicts.
const (
	// Free requests run beside others.
	Free Verdict = iota
	// Fresh requests have not finished yet anywhere; at most MaxFreshEndpoints run them at once.
	Fresh
	// Suspect requests run alone, at one endpoint at a time.
	Suspect
	// Refused requests crashed two endpoints.
	Refused
)

// MaxFreshEndpoints bounds the endpoints that run one fingerprint before any of its runs has finished. It keeps equal
// requests that are sent concurrently within the bound of two lost endpoints.
const MaxFreshEndpoints = maxCrashes

// Quarantine remembers fingerprints that crashed endpoints and those that have finished.
type Quarantine struct {
	hold    time.Duration
	crashes *records[crashRecord]
	proven  *records[struct{}]
}

type crashRecord struct {
	count int
	// lastAt is the time of the last crash of each endpoint.
	lastAt       map[string]time.Duration
	refusedUntil time.Duration
	// triedUntil is the time until which a run after the hold keeps others from beginning.
	triedUntil time.Duration
}

// New returns an empty quarantine that refuses a fingerprint for hold after its second crash, and longer after each further one.
func New(hold time.Duration) *Quarantine {
	return &Quarantine{hold: hold, crashes: newRecords[crashRecord](), proven: newRecords[struct{}]()}
}

// SetHold changes the time for which a fingerprint is refused after its second crash; it holds for later crashes.
func (q *Quarantine) SetHold(hold time.Duration) { q.hold = hold }

// holdAfter returns for how long a fingerprint is refused after a number of crashes.
func (q *Quarantine) holdAfter(crashes int) time.Duration {
	hold, longest := q.hold, max(q.hold, longestHold)
	for range crashes - maxCrashes {
		if hold *= holdGrowth; hold >= longest {
			return longest
		}
	}
	return hold
}

// Verdict returns how a fingerprint may run, and for Refused the time until it may be tried again.
func (q *Quarantine) Verdict(now time.Duration, fingerprint string) (Verdict, time.Duration) {
	if fingerprint == "" {
		return Free, 0
	}
	key := xxhash.Sum64String(fingerprint)
	if c := q.crashes.get(key); c != nil {
		if until := max(c.refusedUntil, c.triedUntil); c.count >= maxCrashes && now < until {
			return Refused, until - now
		}
		return Suspect, 0
	}
	if q.proven.get(key) != nil {
		return Free, 0
	}
	return Fresh, 0
}

// Try notes that a run begins. If the fingerprint has been refused before, others are refused until the run has shown how it ends,
// for a time at most.
func (q *Quarantine) Try(now time.Duration, fingerprint string, atMost time.Duration) {
	if c := q.crashes.get(xxhash.Sum64String(fingerprint)); c != nil && c.count >= maxCrashes {
		c.triedUntil = now + atMost
	}
}

// Crashed records that a run of the fingerprint, begun at a time, was at an endpoint when it crashed. Runs that began before the
// last known crash of the endpoint were broken off by that one; a later one was broken off by a further crash.
func (q *Quarantine) Crashed(now time.Duration, fingerprint, endpoint string, began time.Duration) {
	if fingerprint == "" {
		return
	}
	key := xxhash.Sum64String(fingerprint)
	q.proven.remove(key)
	c := q.crashes.get(key)
	if c == nil {
		c = q.crashes.put(key)
	}
	if last, known := c.lastAt[endpoint]; known && began < last+restart {
		return
	}
	if c.lastAt == nil {
		c.lastAt = map[string]time.Duration{}
	}
	c.count++
	c.lastAt[endpoint] = now
	if c.count >= maxCrashes {
		c.refusedUntil = max(c.refusedUntil, now+q.holdAfter(c.count))
	}
}

// Absolve takes back the last crash of an endpoint that turned out to be alive.
func (q *Quarantine) Absolve(fingerprint, endpoint string) {
	key := xxhash.Sum64String(fingerprint)
	c := q.crashes.get(key)
	if c == nil {
		return
	}
	if _, known := c.lastAt[endpoint]; !known {
		return
	}
	delete(c.lastAt, endpoint)
	c.refusedUntil = 0
	if c.count--; c.count <= 0 {
		q.crashes.remove(key)
	}
}

// Finished clears a fingerprint, since a run of it ended without a crash. One that is refused stays refused. It tells
// whether the verdict has changed, and whether the fingerprint was suspect.
func (q *Quarantine) Finished(now time.Duration, fingerprint string) (changed, cleared bool) {
	if fingerprint == "" {
		return false, false
	}
	key := xxhash.Sum64String(fingerprint)
	if c := q.crashes.get(key); c != nil {
		if c.count >= maxCrashes && now < c.refusedUntil {
			return false, false
		}
		q.crashes.remove(key)
		cleared = true
	}
	changed = cleared || q.proven.get(key) == nil
	q.proven.put(key)
	return changed, cleared
}

// Crashes returns the endpoints that a fingerprint has cost, and how long it is still refused.
func (q *Quarantine) Crashes(now time.Duration, fingerprint string) (count int, refused time.Duration) {
	if c := q.crashes.get(xxhash.Sum64String(fingerprint)); c != nil {
		return c.count, max(c.refusedUntil-now, 0)
	}
	return 0, 0
}

// Restore takes over what another holder knew of a fingerprint. What is known here already is never reduced.
func (q *Quarantine) Restore(now time.Duration, fingerprint string, count int, refused time.Duration) {
	if fingerprint == "" || count <= 0 {
		return
	}
	key := xxhash.Sum64String(fingerprint)
	c := q.crashes.get(key)
	if c == nil {
		c = q.crashes.put(key)
	}
	c.count = max(c.count, count)
	c.refusedUntil = max(c.refusedUntil, now+refused)
	q.proven.remove(key)
}

// Len returns the number of fingerprints with a crash.
func (q *Quarantine) Len() int { return len(q.crashes.byKey) }

// records is a map that forgets the least recently used entry when it is full.
type records[V any] struct {
	order *list.List // of *record[V], the most recently used first
	byKey map[uint64]*list.Element
}

type record[V any] struct {
	key   uint64
	value V
}

func newRecords[V any]() *records[V] {
	return &records[V]{order: list.New(), byKey: make(map[uint64]*list.Element)}
}

func (r *records[V]) get(key uint64) *V {
	e := r.byKey[key]
	if e == nil {
		return nil
	}
	r.order.MoveToFront(e)
	return &e.Value.(*record[V]).value
}

func (r *records[V]) put(key uint64) *V {
	if v := r.get(key); v != nil {
		return v
	}
	rec := &record[V]{key: key}
	r.byKey[key] = r.order.PushFront(rec)
	if r.order.Len() > maxRecords {
		oldest := r.order.Back()
		delete(r.byKey, r.order.Remove(oldest).(*record[V]).key)
	}
	return &rec.value
}

func (r *records[V]) remove(key uint64) {
	if e := r.byKey[key]; e != nil {
		r.order.Remove(e)
		delete(r.byKey, key)
	}
}
