// Package ejector decides whether an endpoint may take work: after failures it proves itself with small work, and
// endpoints much slower than their peers are taken out for a time.
package ejector

import (
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 10 * time.Second
	// proofRuns is the number of runs that must finish one by one before an endpoint shares load again.
	proofRuns = 2
	// returnStep is the time between doublings of the returning part.
	returnStep = 2 * time.Second
	// returnPart is the first part of the bound that a proven endpoint may use.
	returnPart = 0.25
	// ejectTime is the first ejection; repeated ones double up to maxEjectTime.
	ejectTime    = 10 * time.Second
	maxEjectTime = 5 * time.Minute
	// aliveDelay after a failure sign must pass until progress disproves it. Reports of progress from before the failure
	// may still be under way.
	aliveDelay = time.Second
	// calmTime without trouble forgets earlier failures.
	calmTime = time.Minute
)

type phase int

const (
	open      phase = iota // full use
	out                    // no work until the back-off ends
	probing                // one small run at a time
	returning              // a growing part of the bound
)

// Availability is the state of one endpoint as its runs show it.
type Availability struct {
	phase   phase
	until   time.Duration
	failed  time.Duration
	backoff time.Duration
	eject   time.Duration
	proofs  int
	part    float64
	ejected bool
	// refusing is true when the last failure was a refused connect.
	refusing bool
}

// Part returns which part of an endpoint's bound may be used at now, and whether only one small run may be there.
func (a *Availability) Part(now time.Duration) (part float64, probe bool) {
	switch a.phase {
	case out:
		if now < a.until {
			return 0, false
		}
		return 1, true
	case probing:
		return 1, true
	case returning:
		steps := min((now-a.until)/returnStep, 4)
		return min(a.part*float64(int64(1)<<max(steps, 0)), 1), false
	default:
		return 1, false
	}
}

// Proving returns how long the endpoint could have proved itself; it is meaningful while Part asks for a probe.
func (a *Availability) Proving(now time.Duration) time.Duration { return now - a.until }

// Open reports whether the endpoint is in full use.
func (a *Availability) Open(now time.Duration) bool {
	part, probe := a.Part(now)
	return part == 1 && !probe
}

// Next returns when the state changes by itself, and false when it does not.
func (a *Availability) Next(now time.Duration) (time.Duration, bool) {
	switch {
	case a.phase == out && now < a.until:
		return a.until, true
	case a.phase == returning && !a.Open(now):
		return now + returnStep, true
	}
	return 0, false
}

// Ejected reports whether the endpoint is out because it is slow.
func (a *Availability) Ejected(now time.Duration) bool {
	return a.ejected && a.phase == out && now < a.until
}

// FailedAt returns the time of the last failure sign, and false when there was none since the endpoint last proved
// itself.
func (a *Availability) FailedAt() (time.Duration, bool) {
	return a.failed, a.phase == out || a.phase == probing
}

// Fail takes the endpoint out after a sign of failure. Refusing is true for a refused connect, which an endpoint that
// shuts down gives while its runs still progress. Repeated failures double the back-off, with jitter so that endpoints
// that failed together do not return together. It returns false when the endpoint is out already; the signs of one
// failure reach the scheduler from many hosts.
func (a *Availability) Fail(now time.Duration, refusing bool, rng *rand.Rand) bool {
	a.refusing = refusing
	if a.phase == out && now < a.until && !a.ejected {
		a.failed = now
		return false
	}
	if now-a.failed > calmTime {
		a.backoff = 0
	}
	a.backoff = min(max(a.backoff*2, firstBackoff), maxBackoff)
	until := now + a.backoff + time.Duration(rng.Int64N(int64(a.backoff/4)))
	if a.Ejected(now) {
		until = max(until, a.until)
	}
	a.phase, a.failed, a.proofs, a.ejected, a.until = out, now, 0, false, until
	return true
}

// Eject takes the endpoint out because it is slow.
func (a *Availability) Eject(now time.Duration) time.Duration {
	if now-a.until > calmTime {
		a.eject = 0
	}
	a.eject = min(max(a.eject*2, ejectTime), maxEjectTime)
	a.phase, a.proofs, a.ejected = out, 0, true
	a.until = now + a.eject
	return a.eject
}

// Probe records that a run was granted while the endpoint proves itself.
func (a *Availability) Probe(now time.Duration) {
	if a.phase == out && now >= a.until {
		a.phase = probing
	}
}

// Succeed records a run that ended well.
func (a *Availability) Succeed(now time.Duration) {
	if a.phase != probing {
		return
	}
	if a.proofs++; a.proofs >= proofRuns {
		a.phase, a.part, a.until, a.ejected = returning, returnPart, now, false
	}
}

// Alive returns the endpoint to use, since a run that began before the failure sign has progressed after it. It returns
// false when that proves nothing: too early, or after a refused connect.
func (a *Availability) Alive(now time.Duration) bool {
	if a.ejected || a.refusing || (a.phase != out && a.phase != probing) || now-a.failed < aliveDelay {
		return false
	}
	a.phase, a.part, a.until = returning, returnPart*2, now
	return true
}
