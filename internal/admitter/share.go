package admitter

import (
	"math"
	"time"
)

const (
	// minSizeShare is the share of the requests of a size class that are granted an endpoint, relative to the share of all requests
	// of the tier, below which the class goes before the others.
	minSizeShare = 0.75
	// shareHalfLife is the time in which the weight of a past request halves.
	shareHalfLife = 2 * time.Second
	// minDecided is the decayed number of requests of a size class that must have been granted an endpoint or refused before the
	// class can count as underserved.
	minDecided = 0.5
)

// tally counts the requests that were granted an endpoint or refused, and those granted. Past requests weigh less.
type tally struct {
	decided, granted float64
	at               time.Time
}

// decay applies the time since the last change.
func (t *tally) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(t.at)) / float64(shareHalfLife))
	t.decided, t.granted, t.at = t.decided*factor, t.granted*factor, now
}

// tierShares tracks the share of granted requests of each size class of one tier. Under overload, the order by size alone would serve
// hardly any of the largest requests.
type tierShares struct {
	all     tally
	classes map[int]*tally
}

// record counts a request that was granted an endpoint or refused.
func (s *tierShares) record(now time.Time, class int, granted bool) {
	if s.classes[class] == nil {
		s.classes[class] = &tally{at: now}
	}
	for _, t := range []*tally{&s.all, s.classes[class]} {
		t.decay(now)
		t.decided++
		if granted {
			t.granted++
		}
	}
}

// isUnderserved reports whether fewer requests of a size class are granted an endpoint than minSizeShare allows.
func (s *tierShares) isUnderserved(now time.Time, class int) bool {
	t := s.classes[class]
	if t == nil {
		return false
	}
	t.decay(now)
	s.all.decay(now)
	return t.decided >= minDecided && t.granted*s.all.decided < minSizeShare*s.all.granted*t.decided
}

// shareKey identifies the tier of a pool.
type shareKey struct {
	pool string
	tier int
}

// tierShares returns the shares of the tier of a request. The caller holds the lock.
func (a *Admitter) tierShares(req Request) *tierShares {
	key := shareKey{req.Pool, req.Tier}
	if a.shares[key] == nil {
		a.shares[key] = &tierShares{classes: map[int]*tally{}}
	}
	return a.shares[key]
}

// recordShare counts a request that was granted an endpoint or refused. The caller holds the lock.
func (a *Admitter) recordShare(now time.Time, req Request, granted bool) {
	a.tierShares(req).record(now, req.Work.SizeClass(), granted)
}
