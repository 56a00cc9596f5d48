// Package ejector decides whether an endpoint may receive work. An endpoint that failed is probed with small runs before it
// receives its full load again, and endpoints much slower than their peers are ejected for a limited time.
package ejector

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 10 * time.Second
	// requiredProbes is the number of probe runs that must succeed, one at a time, before an endpoint receives load again.
	requiredProbes = 2
	// rampInterval is the time between doublings of the usable share of an endpoint's limit during the ramp-up.
	rampInterval = 2 * time.Second
	// initialRampShare is the usable share of an endpoint's limit at the start of the ramp-up that follows successful probes.
	initialRampShare = 0.25
	// initialEjection is the duration of the first ejection. Repeated ones double it, up to maxEjection.
	initialEjection = 10 * time.Second
	maxEjection     = 5 * time.Minute
	// minProgressDelay is the least time between a failure and the progress that disproves it. Reports of progress from
	// before the failure may still be in transit.
	minProgressDelay = time.Second
	// failureMemory is the time after which an earlier failure or ejection no longer lengthens the next one.
	failureMemory = time.Minute
)

type phase int

const (
	phaseAvailable   phase = iota // the full limit is usable
	phaseUnavailable              // no work until the back-off or the ejection ends
	phaseProbing                  // one small run at a time
	phaseRampingUp                // a growing share of the limit is usable
)

// Availability is the state of one endpoint, derived from the outcomes and the progress of its runs.
type Availability struct {
	phase phase
	// changeAt is the end of the unavailable phase, or the start of the ramp-up.
	changeAt  time.Duration
	failedAt  time.Duration
	backoff   time.Duration
	ejection  time.Duration
	successes int
	rampShare float64
	ejected   bool
	// connectRefused is true when the last failure was a refused connection.
	connectRefused bool
}

// UsableShare returns the share of the endpoint's limit that is usable at now, and whether the endpoint takes only one small run
// at a time, as a probe.
func (a *Availability) UsableShare(now time.Duration) (share float64, probe bool) {
	switch a.phase {
	case phaseUnavailable:
		if now < a.changeAt {
			return 0, false
		}
		return 1, true
	case phaseProbing:
		return 1, true
	case phaseRampingUp:
		steps := min((now-a.changeAt)/rampInterval, 4)
		return min(a.rampShare*float64(int64(1)<<max(steps, 0)), 1), false
	default:
		return 1, false
	}
}

// ProbingFor returns the time since the endpoint could first be probed. It is valid only while the endpoint needs a probe.
func (a *Availability) ProbingFor(now time.Duration) time.Duration { return now - a.changeAt }

// FullyAvailable reports whether the full limit of the endpoint is usable without a probe.
func (a *Availability) FullyAvailable(now time.Duration) bool {
	share, probe := a.UsableShare(now)
	return share == 1 && !probe
}

// NextChange returns the next time at which the state changes without an event, and false when there is none.
func (a *Availability) NextChange(now time.Duration) (time.Duration, bool) {
	switch {
	case a.phase == phaseUnavailable && now < a.changeAt:
		return a.changeAt, true
	case a.phase == phaseRampingUp && !a.FullyAvailable(now):
		return now + rampInterval, true
	}
	return 0, false
}

// Ejected reports whether the endpoint is unavailable because it is slow.
func (a *Availability) Ejected(now time.Duration) bool {
	return a.ejected && a.phase == phaseUnavailable && now < a.changeAt
}

// LastFailure returns the time of the last failure. It returns false unless the endpoint is unavailable or being probed.
func (a *Availability) LastFailure() (time.Duration, bool) {
	return a.failedAt, a.phase == phaseUnavailable || a.phase == phaseProbing
}

// RecordFailure makes the endpoint unavailable after a failure. The flag connectRefused is true for a refused connection: an
// endpoint that shuts down refuses connections while its runs still progress. Repeated failures double the back-off, with jitter
// so that endpoints that failed together do not return together. It returns false when the endpoint is already backing off,
// since many hosts report the same failure to the scheduler.
func (a *Availability) RecordFailure(now time.Duration, connectRefused bool, rng *rand.Rand) bool {
	a.connectRefused = connectRefused
	if a.phase == phaseUnavailable && now < a.changeAt && !a.ejected {
		a.failedAt = now
		return false
	}
	if now-a.failedAt > failureMemory {
		a.backoff = 0
	}
	a.backoff = min(max(a.backoff*2, initialBackoff), maxBackoff)
	changeAt := now + a.backoff + time.Duration(rng.Int64N(int64(a.backoff/4)))
	if a.Ejected(now) {
		changeAt = max(changeAt, a.changeAt)
	}
	a.phase, a.failedAt, a.successes, a.ejected, a.changeAt = phaseUnavailable, now, 0, false, changeAt
	return true
}

// Eject makes the endpoint unavailable because it is slow. It returns the duration of the ejection.
func (a *Availability) Eject(now time.Duration) time.Duration {
	if now-a.changeAt > failureMemory {
		a.ejection = 0
	}
	a.ejection = min(max(a.ejection*2, initialEjection), maxEjection)
	a.phase, a.successes, a.ejected = phaseUnavailable, 0, true
	a.changeAt = now + a.ejection
	return a.ejection
}

// RecordProbe records that a probe run was granted.
func (a *Availability) RecordProbe(now time.Duration) {
	if a.phase == phaseUnavailable && now >= a.changeAt {
		a.phase = phaseProbing
	}
}

// RecordSuccess records a run that succeeded. While the endpoint is being probed, requiredProbes of them start the ramp-up.
func (a *Availability) RecordSuccess(now time.Duration) {
	if a.phase != phaseProbing {
		return
	}
	if a.successes++; a.successes >= requiredProbes {
		a.phase, a.rampShare, a.changeAt, a.ejected = phaseRampingUp, initialRampShare, now, false
	}
}

// RecordProgress starts the ramp-up without probes, since a run that began before the failure has progressed after it. It returns
// false, and changes nothing, when the progress is no proof: too soon after the failure, or after a refused connection.
func (a *Availability) RecordProgress(now time.Duration) bool {
	if a.ejected || a.connectRefused || (a.phase != phaseUnavailable && a.phase != phaseProbing) || now-a.failedAt < minProgressDelay {
		return false
	}
	a.phase, a.rampShare, a.changeAt = phaseRampingUp, initialRampShare*2, now
	return true
}
