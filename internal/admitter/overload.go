package admitter

import (
	"expvar"
	"time"

	"k8s.io/klog/v2"
)

var (
	// countReturned counts the requests that came back after a refusal, countShortened those whose wait was shortened.
	countReturned  = expvar.NewInt("admitter_returned")
	countShortened = expvar.NewInt("admitter_shortened_waits")
)

const (
	// overloadGap is the time without a refusal after which an overload counts as over.
	overloadGap = time.Second
	// lastingOverload is the time from which on an overload of a tier counts as lasting. Waiting helps in shorter ones: places become free
	// before the patience of the requests ends.
	lastingOverload = 500 * time.Millisecond
	// shortPatience is the part of its patience for which a request may wait in a lasting overload. The queue stays full then, so a longer wait
	// serves no more requests, and later ones; it only has to bridge the time until the next place is free.
	shortPatience = 0.25
)

// overload is a period in which requests are refused, with the times of its first and last refusal.
type overload struct {
	since, last time.Time
	// reported is true once the log states that the overload lasts.
	reported bool
}

// record counts a refusal.
func (o *overload) record(now time.Time) {
	if now.Sub(o.last) > overloadGap {
		o.since, o.reported = now, false
	}
	o.last = now
}

// isLasting reports whether the overload goes on and has lasted for a while.
func (o overload) isLasting(now time.Time) bool {
	return now.Sub(o.last) < overloadGap && now.Sub(o.since) >= lastingOverload
}

// recordRefusal records a refusal and returns how long the pool is expected to go on refusing: as long as it has done so already.
// A caller that retries earlier would be refused again. The caller holds the lock.
func (a *Admitter) recordRefusal(now time.Time, req Request) time.Duration {
	a.returnsOf(req.Pool).RecordRefusal(now, req.Fingerprint)
	key := shareKey{req.Pool, req.Tier}
	ofTier, ofPool := a.tierOverloads[key], a.overloads[req.Pool]
	ofTier.record(now)
	ofPool.record(now)
	a.tierOverloads[key], a.overloads[req.Pool] = ofTier, ofPool
	return now.Sub(ofPool.since)
}

// limitWait shortens the patience of a request in a lasting overload. Work that goes on with a stream keeps it, since its caller already holds a
// part of the answer, and so does a size that is granted too few endpoints: it fits into few of the places that become free. The caller holds
// the lock.
func (a *Admitter) limitWait(now time.Time, w *waiter) {
	key := shareKey{w.req.Pool, w.req.Tier}
	o := a.tierOverloads[key]
	if w.req.Work.Bound || w.underserved || !o.isLasting(now) {
		return
	}
	if !o.reported {
		o.reported = true
		a.tierOverloads[key] = o
		klog.InfoS("admitter: overload lasts, waits are short", "pool", w.req.Pool, "tier", w.req.Tier, "since", now.Sub(o.since))
	}
	countShortened.Add(1)
	w.req.Patience = time.Duration(shortPatience * float64(w.req.Patience))
}
