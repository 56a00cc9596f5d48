// Package returnwatcher recognizes requests that come back after a refusal.
package returnwatcher

import "time"

const (
	// generationTime is the time for which refusals are collected in one generation. Two are kept, so a refusal is remembered for one to two
	// of these times. Callers honor a retry delay up to a third of the time that they have left.
	generationTime = 4 * time.Second
	// maxRefusals bounds the refusals of a generation; further ones are not remembered. It is 10 s of what the busiest coordinator refuses.
	maxRefusals = 16 << 10
)

// Watcher remembers refused requests by their fingerprints. The zero value is ready for use. It is not safe for concurrent use.
type Watcher struct {
	// recent and earlier count the refusals of each fingerprint for which no request has come back. The generation of recent began at began.
	recent, earlier map[uint64]int
	began           time.Time
}

// RecordRefusal records that a request was refused. A fingerprint of 0 is unknown and is not recorded.
func (w *Watcher) RecordRefusal(now time.Time, fingerprint uint64) {
	w.renew(now)
	if fingerprint != 0 && (w.recent[fingerprint] > 0 || len(w.recent) < maxRefusals) {
		w.recent[fingerprint]++
	}
}

// TakeReturn reports whether a request that has arrived comes back after a refusal. A refusal accounts for one return only, so that of many
// equal requests no more count as returned than were refused.
func (w *Watcher) TakeReturn(now time.Time, fingerprint uint64) bool {
	w.renew(now)
	for _, generation := range []map[uint64]int{w.earlier, w.recent} {
		switch generation[fingerprint] {
		case 0:
		case 1:
			delete(generation, fingerprint)
			return true
		default:
			generation[fingerprint]--
			return true
		}
	}
	return false
}

// renew begins a new generation when the current one has ended.
func (w *Watcher) renew(now time.Time) {
	switch age := now.Sub(w.began); {
	case w.recent == nil || age >= 2*generationTime:
		w.recent, w.earlier, w.began = map[uint64]int{}, nil, now
	case age >= generationTime:
		w.recent, w.earlier, w.began = map[uint64]int{}, w.recent, now
	}
}
