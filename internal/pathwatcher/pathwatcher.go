// Package pathwatcher decides from connection attempts whether this host has lost its paths to all endpoints of a pool. It does no I/O and
// reads no clock: time and events are inputs.
package pathwatcher

import (
	"math/rand/v2"
	"time"
)

const (
	// verdictTime is how long the result of a check that reached an endpoint holds for further failures.
	verdictTime = 400 * time.Millisecond
	// RecheckInterval is the time between two checks while the paths are lost.
	RecheckInterval = 500 * time.Millisecond
	// sampleSize is the number of endpoints that one check tries to reach.
	sampleSize = 4
	// minSample is the number of endpoints that must be out of reach before the paths count as lost. A single one may have failed
	// itself.
	minSample = 2
)

// Watcher holds the newest evidence about the paths. It is not safe for concurrent use.
type Watcher struct {
	checkedAt, lostAt time.Time
	lost              bool
}

// Lost reports whether the paths to all endpoints are lost.
func (w *Watcher) Lost() bool { return w.lost }

// LostFor returns for how long the paths have been lost; 0 if they are not.
func (w *Watcher) LostFor(now time.Time) time.Duration {
	if !w.lost {
		return 0
	}
	return now.Sub(w.lostAt)
}

// NeedsCheck reports whether a failed connect or a broken connection calls for a check.
func (w *Watcher) NeedsCheck(now time.Time) bool {
	return !w.lost && now.Sub(w.checkedAt) >= verdictTime
}

// Sample returns the addresses that a check tries to reach, which are some of all at random.
func Sample(r *rand.Rand, addrs []string) []string {
	out := make([]string, 0, sampleSize)
	for _, i := range r.Perm(len(addrs)) {
		if out = append(out, addrs[i]); len(out) == sampleSize {
			break
		}
	}
	return out
}

// RecordCheck records the result of a check. It returns true if it has changed whether the paths are lost.
func (w *Watcher) RecordCheck(now time.Time, tried, reached int) (changed bool) {
	w.checkedAt = now
	lost := reached == 0 && (w.lost || tried >= minSample)
	if lost == w.lost {
		return false
	}
	w.lost, w.lostAt = lost, now
	return true
}
