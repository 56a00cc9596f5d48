// Package quarantiner tracks requests that may have crashed an endpoint and decides how they may run. A request is identified by
// a fingerprint of its workspace and body.
package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/evictor"
)

const (
	// maxCrashes is the number of crashes after which a fingerprint is refused.
	maxCrashes = 2
	// backoffFactor multiplies the refusal time for each further crash, up to maxBackoff or the first refusal time, whichever is
	// longer.
	backoffFactor = 4
	maxBackoff    = time.Hour
	// maxFingerprints is the largest number of fingerprints kept with crashes, and of those kept without.
	maxFingerprints = 32_768
	// minRestartTime is the least time between the crash of an endpoint and a run of its next process. Reports between hosts may
	// also be delayed by this time.
	minRestartTime = time.Second
)

// Status states how requests of a fingerprint may run.
type Status int

// Statuses of a fingerprint.
const (
	// Unrestricted requests may run concurrently with others at any number of endpoints.
	Unrestricted Status = iota
	// Unproven requests have not finished at any endpoint yet; at most MaxUnprovenEndpoints run them concurrently.
	Unproven
	// Suspect requests run alone, at one endpoint at a time.
	Suspect
	// Refused requests have crashed endpoints at least maxCrashes times and must not run.
	Refused
)

// MaxUnprovenEndpoints is the largest number of endpoints that run a fingerprint before any of its runs has finished. It ensures
// that identical concurrent requests crash at most two endpoints.
const MaxUnprovenEndpoints = maxCrashes

// Quarantine tracks the fingerprints that crashed endpoints and those that finished without a crash. It is not safe for
// concurrent use.
type Quarantine struct {
	firstRefusal time.Duration
	crashes      *evictor.Map[uint64, crashRecord]
	proven       *evictor.Map[uint64, struct{}]
}

type crashRecord struct {
	count int
	// lastCrash is the time of the last crash of each endpoint.
	lastCrash    map[string]time.Duration
	refusedUntil time.Duration
	// trialUntil is the time until which a trial run after the refusal prevents other runs from starting.
	trialUntil time.Duration
}

// New returns an empty quarantine that refuses a fingerprint for firstRefusal after its second crash, and longer after each
// further one.
func New(firstRefusal time.Duration) *Quarantine {
	return &Quarantine{firstRefusal: firstRefusal, crashes: evictor.New[uint64, crashRecord](maxFingerprints), proven: evictor.New[uint64, struct{}](maxFingerprints)}
}

// SetFirstRefusal changes the time for which a fingerprint is refused after its second crash. It applies to later crashes only.
func (q *Quarantine) SetFirstRefusal(firstRefusal time.Duration) { q.firstRefusal = firstRefusal }

// refusalTime returns how long a fingerprint is refused after a number of crashes.
func (q *Quarantine) refusalTime(crashes int) time.Duration {
	refusal, limit := q.firstRefusal, max(q.firstRefusal, maxBackoff)
	for range crashes - maxCrashes {
		if refusal *= backoffFactor; refusal >= limit {
			return limit
		}
	}
	return refusal
}

// Status returns how a fingerprint may run. If it is refused, the duration is the time until it may be tried again.
func (q *Quarantine) Status(now time.Duration, fingerprint string) (Status, time.Duration) {
	if fingerprint == "" {
		return Unrestricted, 0
	}
	key := xxhash.Sum64String(fingerprint)
	if c := q.crashes.Get(key); c != nil {
		if until := max(c.refusedUntil, c.trialUntil); c.count >= maxCrashes && now < until {
			return Refused, until - now
		}
		return Suspect, 0
	}
	if q.proven.Get(key) != nil {
		return Unrestricted, 0
	}
	return Unproven, 0
}

// StartTrial records the start of a run. If the fingerprint was refused before, its other runs are refused until this one has
// ended, but for atMost at the longest.
func (q *Quarantine) StartTrial(now time.Duration, fingerprint string, atMost time.Duration) {
	if c := q.crashes.Get(xxhash.Sum64String(fingerprint)); c != nil && c.count >= maxCrashes {
		c.trialUntil = now + atMost
	}
}

// RecordCrash records that an endpoint crashed during a run of the fingerprint that started at began. A run that started before
// the last known crash of the endpoint was interrupted by that crash and isn't counted again; a later run was interrupted by
// another crash.
func (q *Quarantine) RecordCrash(now time.Duration, fingerprint, endpoint string, began time.Duration) {
	if fingerprint == "" {
		return
	}
	key := xxhash.Sum64String(fingerprint)
	q.proven.Remove(key)
	c := q.crashes.Get(key)
	if c == nil {
		c = q.crashes.Put(key)
	}
	if last, known := c.lastCrash[endpoint]; known && began < last+minRestartTime {
		return
	}
	if c.lastCrash == nil {
		c.lastCrash = map[string]time.Duration{}
	}
	c.count++
	c.lastCrash[endpoint] = now
	if c.count >= maxCrashes {
		c.refusedUntil = max(c.refusedUntil, now+q.refusalTime(c.count))
	}
}

// RetractCrash removes the last crash recorded for an endpoint that turned out to be alive or to have crashed for another reason.
func (q *Quarantine) RetractCrash(fingerprint, endpoint string) {
	key := xxhash.Sum64String(fingerprint)
	c := q.crashes.Get(key)
	if c == nil {
		return
	}
	if _, known := c.lastCrash[endpoint]; !known {
		return
	}
	delete(c.lastCrash, endpoint)
	if c.count--; c.count < maxCrashes {
		c.refusedUntil = 0
	}
	if c.count <= 0 {
		q.crashes.Remove(key)
	}
}

// RecordSuccess records that a run ended without a crash, which clears the fingerprint unless it is refused. It returns whether
// the status changed, and whether crashes were cleared.
func (q *Quarantine) RecordSuccess(now time.Duration, fingerprint string) (changed, cleared bool) {
	if fingerprint == "" {
		return false, false
	}
	key := xxhash.Sum64String(fingerprint)
	if c := q.crashes.Get(key); c != nil {
		if c.count >= maxCrashes && now < c.refusedUntil {
			return false, false
		}
		q.crashes.Remove(key)
		cleared = true
	}
	changed = cleared || q.proven.Get(key) == nil
	q.proven.Put(key)
	return changed, cleared
}

// Crashes returns the number of crashes that a fingerprint caused, and how long it is still refused.
func (q *Quarantine) Crashes(now time.Duration, fingerprint string) (count int, refused time.Duration) {
	if c := q.crashes.Get(xxhash.Sum64String(fingerprint)); c != nil {
		return c.count, max(c.refusedUntil-now, 0)
	}
	return 0, 0
}

// Restore merges the crashes and the remaining refusal time of a fingerprint from another holder. It never reduces the values
// recorded here.
func (q *Quarantine) Restore(now time.Duration, fingerprint string, count int, refused time.Duration) {
	if fingerprint == "" || count <= 0 {
		return
	}
	key := xxhash.Sum64String(fingerprint)
	c := q.crashes.Get(key)
	if c == nil {
		c = q.crashes.Put(key)
	}
	c.count = max(c.count, count)
	c.refusedUntil = max(c.refusedUntil, now+refused)
	q.proven.Remove(key)
}

// Len returns the number of fingerprints with recorded crashes.
func (q *Quarantine) Len() int { return q.crashes.Len() }
